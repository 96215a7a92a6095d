//! A demonstration: a router in front of a small replicated group, mixed ops, and a failover.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use arrowyard_testbed::load::{OpStats, TenantLoad, run_load};
use arrowyard_testbed::router::{OP_TYPES, Process, platform_config, sibling_program};
use arrowyard_testbed::{Cluster, HostSpec};
use clap::Parser;
use comfy_table::{Table, presets};

/// Starts a router in front of a group of simulated hosts on loopback, sends it mixed ops, kills the
/// primary after a third of the time, and prints the results by op type.
#[derive(Parser)]
struct Args {
    /// Duration of the run, in seconds.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Ops per second.
    #[arg(long, default_value_t = 300.0)]
    rate: f64,
    /// The router program; by default the one next to this program.
    #[arg(long)]
    router: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let hosts: Vec<HostSpec> = (0..4)
        .map(|index| HostSpec {
            service_time: Duration::from_millis(4),
            slots: 8,
            ..HostSpec::new(&format!("host-{index}"), 7, index == 0)
        })
        .collect();
    let cluster = Cluster::start(&hosts);
    let program = args.router.unwrap_or_else(|| sibling_program("arrowyard"));
    let router = match Process::start(&program, &platform_config(&cluster, &OP_TYPES, 1024), None) {
        Ok(router) => router,
        Err(error) => {
            eprintln!("the router did not start: {error}\n(build it first: cargo build --release)");
            return ExitCode::from(2);
        }
    };
    println!("router at {}, with host-0 (primary) and three replicas", router.address);
    let duration = Duration::from_secs(args.seconds);
    let (kill_time, failover_time) = (duration / 3, duration / 3 + Duration::from_millis(1500));
    let mix = vec![(0, 5), (1, 2), (2, 2), (3, 3)];
    let load = TenantLoad {
        tenant: "league",
        group: 7,
        rate: args.rate,
        mix,
        start: Duration::ZERO,
        end: duration,
        sessions: 50,
    };
    let (mut is_killed, mut is_failed_over, mut printed_second) = (false, false, u64::MAX);
    let result = run_load(router.address, &OP_TYPES, &[load], 1, |elapsed| {
        if !is_killed && elapsed >= kill_time {
            println!("{:>4} s  host-0, the primary, is killed", elapsed.as_secs());
            cluster.kill("host-0");
            is_killed = true;
        }
        if !is_failed_over && elapsed >= failover_time {
            println!("{:>4} s  host-1 becomes the primary", elapsed.as_secs());
            cluster.failover("host-1");
            is_failed_over = true;
        }
        if elapsed.as_secs() != printed_second && elapsed.as_secs().is_multiple_of(5) {
            println!("{:>4} s", elapsed.as_secs());
            printed_second = elapsed.as_secs();
        }
    });
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header([
        "op type",
        "sent",
        "acked",
        "in target",
        "busy",
        "errored",
        "unanswered",
        "p50 ms",
        "p99 ms",
    ]);
    let mut add_row = |name: &str, stats: &OpStats| {
        let ms = |quantile| format!("{:.1}", stats.latency.value_at_quantile(quantile) as f64 / 1000.0);
        let counts = [
            stats.sent,
            stats.in_target + stats.late,
            stats.in_target,
            stats.busy,
            stats.errored,
            stats.unanswered,
        ];
        let mut row = vec![name.to_string()];
        row.extend(counts.map(|count| count.to_string()));
        row.extend([ms(0.5), ms(0.99)]);
        table.add_row(row);
    };
    let mut total = OpStats::default();
    for op_type in OP_TYPES {
        let stats = result.op_type_stats(op_type.name);
        add_row(op_type.name, &stats);
        total.add(&stats);
    }
    add_row("all", &total);
    println!("\n{table}");
    // A clock tick is a hundredth of a second.
    let (ticks, memory_kb) = router.resource_usage();
    let cpu_us_per_op = ticks as f64 * 10_000.0 / total.sent.max(1) as f64;
    println!(
        "\nthe router used {cpu_us_per_op:.0} us of CPU time per op and holds {memory_kb} KB of anonymous memory"
    );
    let ledger = cluster.ledger();
    let applied_twice = ledger.applied.values().filter(|applications| applications.len() > 1).count();
    let stored: std::collections::HashSet<String> =
        cluster.records(7).into_iter().map(|record| record.write_id).collect();
    let lost_count = result.acked_writes.iter().filter(|id| !stored.contains(&format!("{id:016x}"))).count();
    println!("\nacknowledged writes: {}, applied twice: {applied_twice}", result.acked_writes.len());
    println!("acknowledged writes that the new primary had not applied before the failover: {lost_count}");
    // Writes lost by the failover are not the router's fault; missing replies and repeated writes are.
    ExitCode::from(u8::from(total.unanswered > 0 || applied_twice > 0))
}
