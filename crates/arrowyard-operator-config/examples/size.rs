//! How cells cost at size: `cargo run --release -p arrowyard-operator-config --example size`. A file of so many tenants and
//! cells is checked and taken in, hosts are divided, and cells of ops are found; each at a tenth of the size, too.

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

fn text(tenants: usize, cells: usize, groups: usize) -> String {
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

/// The process's own memory, in bytes.
fn memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok()).unwrap_or_default() * 1024
}

fn timed<T>(what: impl FnOnce() -> T) -> (T, f64) {
    let begun = Instant::now();
    let done = what();
    (done, begun.elapsed().as_secs_f64())
}

/// Nanoseconds for one of `count`.
fn each(count: usize, mut one: impl FnMut(usize)) -> f64 {
    let ((), seconds) = timed(|| (0..count).for_each(&mut one));
    seconds * 1e9 / count as f64
}

fn run(tenants: usize, cells: usize, hosts: usize) {
    let groups = hosts / 3;
    let text = text(tenants, cells, groups);
    let (book, checked) = timed(|| parse(&text).expect("nothing is wrong with it"));
    let (taken, took) = timed(|| cell_layout(&book).expect("it has cells"));
    let (mut assign, prepared) = timed(|| CellAssignment::new(&taken));
    // Copies, so that what was freed before is not counted as room.
    let before = memory();
    let copies: Vec<(Layout, CellAssignment)> = (0..8).map(|_| (taken.clone(), assign.clone())).collect();
    let held = memory().saturating_sub(before) / copies.len();
    drop(copies);
    let (index, indexed) = timed(|| CellIndex::new(&taken));
    let names: Vec<String> = (0..tenants).map(|n| format!("tenant-{}", n * 31 % tenants)).collect();
    let others: Vec<String> = (0..10_000).map(|n| format!("other-{n}")).collect();
    let mut find = |names: &[String]| {
        each(names.len(), |n| drop(black_box(assign.cells_for(Some(&names[n]), None, GroupId(0)))))
    };
    let (row, first, kept) = (find(&names), find(&others), find(&others));
    let host = each(hosts, |n| {
        black_box(index.cells_for_host(GroupId((n % groups) as i64), "host-12345").count());
    });
    let terms = MoveSettings {
        clients_mark_retries: true,
        max_op_timeout: TimeDelta::ZERO,
        max_clock_skew: TimeDelta::ZERO,
    };
    let mut desk = Cells::new(
        Timestamp::DISTANT_PAST,
        taken.clone(),
        Capacity { ops: 1000, bytes: 1 << 20, probes: 8 },
        terms,
    );
    let mut next = Layout { epoch: 2, ..taken.clone() };
    next.cells[0].weight = 2.0;
    let (held_up, again) = timed(|| desk.replace_layout(Timestamp::DISTANT_PAST, next));
    assert_eq!(held_up, Ok(()));
    println!(
        "{tenants:>7} tenants {cells:>5} cells {hosts:>6} hosts: check {:.3} s, take in {:.3} s, taken anew on the \
         router's thread {again:.3} s, memory a tenant {} bytes; ns: cell by row {row:.0}, hashed first {first:.0}, hashed again {kept:.0}, parts of a host {host:.0}",
        checked,
        took + prepared + indexed,
        held / tenants.max(1),
    );
}

fn main() {
    for part in [10, 1] {
        run(100_000 / part, 1000 / part, 10_000 / part);
    }
}
