//! Benchmark of cells for two sizes: parsing a file, applying its layout, and looking up the cells of tenants
//! and hosts. Run it with `cargo run --release -p arrowyard-operator-config --example size`.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

use arrowyard_cells::admission::Capacity;
use arrowyard_cells::assignment::CellAssignment;
use arrowyard_cells::index::CellIndex;
use arrowyard_cells::tenant_move::MoveSettings;
use arrowyard_cells::{Cells, Layout};
use arrowyard_operator_config::{cell_layout, parse};
use arrowyard_types::{GroupId, TimeDelta, Timestamp};

fn config_text(tenants: usize, cells: usize, groups: usize) -> String {
    let mut text = String::from("epoch: 1\ncells {\n");
    for cell in 0..cells {
        let _ = write!(text, "  cell {{ name: \"cell-{cell}\"");
        for group in (cell..groups).step_by(cells) {
            let _ = write!(text, " group: {group}");
        }
        text.push_str(" }\n");
    }
    for tenant in 0..tenants {
        let _ =
            writeln!(text, "  tenant {{ name: \"tenant-{tenant}\" cell: \"cell-{}\" }}", tenant * 7 % cells);
    }
    text.push_str("  rest { each: 1 }\n}\n");
    text
}

/// The anonymous memory of this process, in bytes.
fn process_memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok()).unwrap_or_default() * 1024
}

/// The result of `run` and the seconds that it took.
fn timed<T>(run: impl FnOnce() -> T) -> (T, f64) {
    let started_at = Instant::now();
    let result = run();
    (result, started_at.elapsed().as_secs_f64())
}

/// Nanoseconds per call of `run`, over `count` calls.
fn nanos_per_call(count: usize, mut run: impl FnMut(usize)) -> f64 {
    let ((), seconds) = timed(|| (0..count).for_each(&mut run));
    seconds * 1e9 / count as f64
}

fn run_benchmark(tenants: usize, cells: usize, hosts: usize) {
    let groups = hosts / 3;
    let text = config_text(tenants, cells, groups);
    let (config, parse_seconds) = timed(|| parse(&text).expect("the file is valid"));
    let (layout, convert_seconds) = timed(|| cell_layout(&config).expect("the file has cells"));
    let (mut assignment, assignment_seconds) = timed(|| CellAssignment::new(&layout));
    // Measured on copies, since memory that was freed before may be reused.
    let bytes_before = process_memory();
    let copies: Vec<(Layout, CellAssignment)> =
        (0..8).map(|_| (layout.clone(), assignment.clone())).collect();
    let copy_bytes = process_memory().saturating_sub(bytes_before) / copies.len();
    drop(copies);
    let (index, index_seconds) = timed(|| CellIndex::new(&layout));
    let names: Vec<String> = (0..tenants).map(|n| format!("tenant-{}", n * 31 % tenants)).collect();
    let unlisted_names: Vec<String> = (0..10_000).map(|n| format!("other-{n}")).collect();
    let mut lookup_nanos = |names: &[String]| {
        nanos_per_call(names.len(), |n| {
            drop(black_box(assignment.cells_for(Some(&names[n]), None, GroupId(0))))
        })
    };
    let (listed_nanos, first_hash_nanos, cached_hash_nanos) =
        (lookup_nanos(&names), lookup_nanos(&unlisted_names), lookup_nanos(&unlisted_names));
    let host_nanos = nanos_per_call(hosts, |n| {
        black_box(index.cells_for_host(GroupId((n % groups) as i64), "host-12345").count());
    });
    let move_settings = MoveSettings {
        clients_mark_retries: true,
        max_op_timeout: TimeDelta::ZERO,
        max_clock_skew: TimeDelta::ZERO,
    };
    let mut cell_admission = Cells::new(
        Timestamp::DISTANT_PAST,
        layout.clone(),
        Capacity { ops: 1000, bytes: 1 << 20, probes: 8 },
        move_settings,
    );
    let mut next_layout = Layout { epoch: 2, ..layout.clone() };
    next_layout.cells[0].weight = 2.0;
    let (result, replace_seconds) =
        timed(|| cell_admission.replace_layout(Timestamp::DISTANT_PAST, next_layout));
    assert_eq!(result, Ok(()));
    println!(
        "{tenants:>7} tenants {cells:>5} cells {hosts:>6} hosts: parse {:.3} s, apply {:.3} s, replace on the \
         router's thread {replace_seconds:.3} s, {} bytes per tenant; ns per lookup: listed tenant {listed_nanos:.0}, \
         hashed tenant {first_hash_nanos:.0}, cached {cached_hash_nanos:.0}, cells of a host {host_nanos:.0}",
        parse_seconds,
        convert_seconds + assignment_seconds + index_seconds,
        copy_bytes / tenants.max(1),
    );
}

fn main() {
    for divisor in [10, 1] {
        run_benchmark(100_000 / divisor, 1000 / divisor, 10_000 / divisor);
    }
}
