//! Measures how a fleet of router processes recovers: a share of them is killed and restarted at the same
//! time, with their stored host lists and without, with discovery available and not.

use std::time::{Duration, Instant};

use arrowyard_testbed::load::{LoadResult, TenantLoad, run_load};
use arrowyard_testbed::rig::{Rig, RigConfig};
use arrowyard_testbed::router::{OP_TYPES, sibling_program};
use clap::Parser;
use comfy_table::{Table, presets};

#[derive(Parser)]
struct Args {
    /// Sizes of the fleet.
    #[arg(long, value_delimiter = ',', default_values_t = [8])]
    processes: Vec<usize>,
    /// Ops per second at each process.
    #[arg(long, default_value_t = 25.0)]
    rate: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of routers in the platform's configuration; by default the number of processes.
    #[arg(long = "told-routers", value_name = "TOLD_ROUTERS")]
    configured_routers: Option<usize>,
    /// Additional fields of `returns` in the operator configuration.
    #[arg(long = "returns", value_name = "RETURNS", default_value = "")]
    returns_fields: String,
}

/// Maximum number of `times`, given in milliseconds, that lie within 100 ms.
fn max_within_100_ms(times: &[i64]) -> usize {
    let count_from = |from: i64| times.iter().filter(|time| (from..from + 100).contains(*time)).count();
    times.iter().map(|&from| count_from(from)).max().unwrap_or_default()
}

/// Sends ops to the processes for `duration`.
fn send_ops(rig: &Rig, processes: &[usize], duration: Duration, rate: f64, seed: u64) -> Vec<LoadResult> {
    std::thread::scope(|scope| {
        let load_threads: Vec<_> = processes
            .iter()
            .filter_map(|&process| Some((process, rig.process(process)?.address)))
            .map(|(process, address)| {
                scope.spawn(move || {
                    let mix = vec![(0, 3), (1, 3), (2, 2), (3, 2)];
                    let start = Duration::ZERO;
                    let load =
                        TenantLoad { tenant: "t", group: 7, rate, mix, start, end: duration, sessions: 20 };
                    run_load(address, &OP_TYPES, &[load], seed * 1000 + process as u64, |_| {})
                })
            })
            .collect();
        load_threads.into_iter().filter_map(|load_thread| load_thread.join().ok()).collect()
    })
}

fn main() -> Result<(), String> {
    let args = Args::parse();
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header([
        "processes",
        "killed",
        "stores",
        "discovery",
        "full service p50 ms",
        "max",
        "never",
        "in target in 9 s",
        "busy",
        "unanswered",
        "discovery calls",
        "max in 100 ms",
        "applied twice",
    ]);
    for &count in &args.processes {
        for (killed_tenths, keep_stores, outage_seconds) in
            [(7, true, 0), (7, false, 0), (10, true, 0), (10, false, 0), (10, true, 30), (10, false, 3)]
        {
            let killed: Vec<usize> = (0..count * killed_tenths / 10).collect();
            let configured_routers = args.configured_routers.unwrap_or(count);
            let returns_fields = args.returns_fields.clone();
            let config = RigConfig {
                with_stores: true,
                initial_host_list: false,
                without_membership: true,
                ..RigConfig::new(count)
            };
            let config = RigConfig { seed: args.seed, configured_routers, returns_fields, ..config };
            let mut rig = Rig::start(&sibling_program("arrowyard"), config)?;
            let all_processes: Vec<usize> = (0..count).collect();
            let _ = send_ops(&rig, &all_processes, Duration::from_secs(2), args.rate, args.seed);
            killed.iter().for_each(|&process| rig.kill(process));
            if !keep_stores {
                killed.iter().for_each(|&process| drop(std::fs::remove_dir_all(rig.store_path(process))));
            }
            let calls_before = rig.cluster.discovery_call_times().len();
            rig.cluster.set_discovery_down(outage_seconds > 0);
            killed.iter().try_for_each(|&process| rig.start_process(process))?;
            let started_at = Instant::now();
            let results = std::thread::scope(|scope| {
                let load_thread =
                    scope.spawn(|| send_ops(&rig, &killed, Duration::from_secs(9), args.rate, args.seed + 1));
                if outage_seconds > 0 && outage_seconds < 9 {
                    std::thread::sleep(
                        Duration::from_secs(outage_seconds).saturating_sub(started_at.elapsed()),
                    );
                    rig.cluster.set_discovery_down(false);
                }
                load_thread.join().unwrap_or_default()
            });
            let mut startup_times_ms: Vec<u64> =
                killed.iter().filter_map(|&process| rig.startup_times_ms()[process]).collect();
            startup_times_ms.sort_unstable();
            let (mut in_target, mut sent, mut busy, mut unanswered) = (0, 0, 0, 0);
            for stats in results.iter().map(|result| result.tenant_stats("t")) {
                (in_target, sent) = (in_target + stats.in_target, sent + stats.sent);
                (busy, unanswered) = (busy + stats.busy, unanswered + stats.unanswered);
            }
            let applied_twice =
                rig.cluster.ledger().applied.values().filter(|applications| applications.len() > 1).count();
            let to_text = |ms: Option<&u64>| ms.map_or("-".to_string(), ToString::to_string);
            table.add_row([
                count.to_string(),
                format!("{killed_tenths} in 10"),
                if keep_stores { "kept" } else { "lost" }.to_string(),
                if outage_seconds == 0 {
                    "available".to_string()
                } else {
                    format!("unavailable {outage_seconds} s")
                },
                to_text(startup_times_ms.get(startup_times_ms.len() / 2)),
                to_text(startup_times_ms.last()),
                (killed.len() - startup_times_ms.len()).to_string(),
                format!("{:.3}", in_target as f64 / (sent as f64).max(1.0)),
                busy.to_string(),
                unanswered.to_string(),
                (rig.cluster.discovery_call_times().len() - calls_before).to_string(),
                max_within_100_ms(&rig.cluster.discovery_call_times()[calls_before..]).to_string(),
                applied_twice.to_string(),
            ]);
        }
    }
    println!("{table}");
    Ok(())
}
