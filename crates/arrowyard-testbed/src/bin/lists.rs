//! Measures how long host lists affect the latency of ops: one router with a few hosts that serve and
//! thousands of further listed hosts. Ops run while the list is received, while it changes, and at the
//! router's start.

use std::path::PathBuf;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use arrowyard_testbed::load::{OpStats, TenantLoad, run_load};
use arrowyard_testbed::router::{OP_TYPES, platform_config, sibling_program};
use arrowyard_testbed::{Cluster, HostSpec, Process};
use clap::Parser;
use comfy_table::{Table, presets};

#[derive(Parser)]
struct Args {
    /// Numbers of additional listed hosts.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 1000, 10_000])]
    hosts: Vec<usize>,
    /// Ops per second.
    #[arg(long, default_value_t = 400.0)]
    rate: f64,
    /// The router program; by default the one next to this program.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Stats of ops that run for `duration` while `action` is executed.
fn measure(process: &Process, args: &Args, seed: u64, duration: Duration, action: impl FnOnce()) -> OpStats {
    let (address, rate) = (process.address, args.rate);
    let load_thread = spawn(move || {
        let mix = vec![(0, 5), (2, 2), (3, 3)];
        let load = TenantLoad {
            tenant: "t",
            group: 7,
            rate,
            mix,
            start: Duration::ZERO,
            end: duration,
            sessions: 50,
        };
        run_load(address, &OP_TYPES, &[load], seed, |_| {})
    });
    sleep(duration / 4);
    action();
    load_thread.join().map(|result| result.tenant_stats("t")).unwrap_or_default()
}

fn main() -> Result<(), String> {
    let args = Args::parse();
    let program = args.program.clone().unwrap_or_else(|| sibling_program("arrowyard"));
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(["hosts", "change", "p50 ms", "p99 ms", "max ms", "in target", "unanswered"]);
    for &count in &args.hosts {
        let host = |name: &str| HostSpec { slots: 256, ..HostSpec::new(name, 7, name == "p-0") };
        let cluster = Cluster::start(&["p-0", "r-0", "r-1"].map(host));
        let mut platform_config = platform_config(&cluster, &OP_TYPES, 2048);
        platform_config.as_object_mut().expect("the configuration is an object").remove("known");
        let process = Process::start(&program, &platform_config, None)?;
        let started_at = Instant::now();
        while !process.wait_for_log("host is Ready", Duration::from_millis(10)) {
            if started_at.elapsed() > Duration::from_secs(10) {
                return Err("the router received no host list".to_string());
            }
        }
        let duration = Duration::from_secs(3);
        let mut add_row = |change: &str, stats: &OpStats| {
            let ms = |us: u64| format!("{:.1}", us as f64 / 1000.0);
            table.add_row([
                count.to_string(),
                change.to_string(),
                ms(stats.latency.value_at_quantile(0.5)),
                ms(stats.latency.value_at_quantile(0.99)),
                ms(stats.latency.max()),
                format!("{:.4}", stats.in_target_share()),
                stats.unanswered.to_string(),
            ]);
        };
        let _ = measure(&process, &args, 1, duration, || {});
        add_row("none", &measure(&process, &args, 2, duration, || {}));
        add_row(
            "all hosts are added",
            &measure(&process, &args, 3, duration, || cluster.list_extra_hosts(count, 0, usize::MAX)),
        );
        add_row(
            "a tenth changes",
            &measure(&process, &args, 4, duration, || cluster.list_extra_hosts(count, 0, 10)),
        );
        let change_repeatedly = || {
            for round in 0..20 {
                cluster.list_extra_hosts(count, round, 1000);
                sleep(Duration::from_millis(100));
            }
        };
        add_row("1 in 100 changes each second", &measure(&process, &args, 5, duration, change_repeatedly));
        drop(process);
        // A new process receives the complete list while ops already arrive.
        let process = Process::start(&program, &platform_config, None)?;
        add_row("complete list at the start", &measure(&process, &args, 6, duration, || {}));
    }
    println!("{table}");
    Ok(())
}
