//! Moves of a tenant between groups under load, each with a random fault, checked against the ledger.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arrowyard_testbed::cluster::unix_ms;
use arrowyard_testbed::load::{OpStats, TenantLoad, run_load};
use arrowyard_testbed::router::{OP_TYPES, Process, platform_config, sibling_program};
use arrowyard_testbed::{Cluster, HostBehavior, HostSpec};
use clap::Parser;
use comfy_table::{Table, presets};
use fastrand::Rng;

/// Moves a tenant from one group to another under load, repeatedly, each time with another fault at a
/// random time.
#[derive(Parser)]
struct Args {
    #[arg(long, default_value_t = 200)]
    moves: u64,
    /// Number of moves that run at the same time, each with its own router and hosts.
    #[arg(long, default_value_t = 6)]
    lanes: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The router program; by default the one next to this program.
    #[arg(long)]
    router: Option<PathBuf>,
}

/// The fault injected into a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Fault {
    None,
    /// The source's primary is killed and a replica becomes the primary later.
    SourceFailover,
    /// The target's primary is killed and a replica becomes the primary later.
    TargetFailover,
    /// The router is killed and restarted with the current configuration.
    RouterRestart,
    /// The source's primary executes writes but sends no replies for a while.
    RepliesLost,
    /// The source's primary does not respond for a while.
    SourceHangs,
    /// The configuration with the fence is loaded only after the fence's time.
    LateConfig,
}

const FAULTS: [Fault; 7] = [
    Fault::None,
    Fault::SourceFailover,
    Fault::TargetFailover,
    Fault::RouterRestart,
    Fault::RepliesLost,
    Fault::SourceHangs,
    Fault::LateConfig,
];

/// The operator configuration at a step of the move, with the fence at `fence_ms` in Unix milliseconds.
fn operator_config(epoch: u64, step: &str, fence_ms: i64, target_floor_ms: i64, target_host: &str) -> String {
    let (copied_through_ms, switch_at_ms) = (fence_ms + 640, fence_ms + 900);
    let lease_until_ms = if epoch < 3 { fence_ms - 100 } else { fence_ms + 600_000 };
    let move_times = if epoch < 3 {
        String::new()
    } else {
        format!("fence_at_ms: {fence_ms} switch_at_ms: {switch_at_ms}")
    };
    let target_fields = if epoch < 4 {
        String::new()
    } else {
        format!(
            "copied_through_ms: {copied_through_ms} target_floor_ms: {target_floor_ms} target_host: {target_host:?}"
        )
    };
    format!(
        "epoch: {epoch}\ncells {{\n cell {{ name: \"a\" }}\n cell {{ name: \"b\" }}\n \
         tenant {{ name: \"ann\" cell: \"a\" }}\n tenant {{ name: \"bob\" cell: \"b\" }}\n \
         lease {{ until_ms: {lease_until_ms} skew_ms: 20 }}\n move {{ tenant: \"ann\" from: \"a\" to: \"b\" from_group: 7 \
         to_group: 8 step: {step} {move_times} {target_fields} memory_ms: 2000 }}\n}}\n"
    )
}

/// Totals of one or more moves.
#[derive(Default)]
struct MoveStats {
    moves: u64,
    switched: u64,
    /// Acknowledged writes that the target does not hold.
    missing: u64,
    /// Writes that the target holds more than once.
    doubled: u64,
    unanswered: u64,
    busy: u64,
    sent: u64,
    /// By move: the time around the fence without an acknowledged write of the tenant, in milliseconds.
    write_gaps_ms: Vec<i64>,
}

/// Runs one move with a random fault.
fn run_move(program: &Path, seed: u64) -> (Fault, MoveStats) {
    let mut rng = Rng::with_seed(seed);
    let fault = FAULTS[rng.usize(0..FAULTS.len())];
    let spec = |name: &str| HostSpec {
        lag: Duration::from_millis(5),
        ..HostSpec::new(name, if name.starts_with('s') { 7 } else { 8 }, name.ends_with('0'))
    };
    let cluster = Cluster::start(&["s-0", "s-1", "s-2", "t-0", "t-1", "t-2"].map(spec));
    let fence_ms = unix_ms() + 1200;
    let platform_config = platform_config(&cluster, &OP_TYPES, 512);
    let mut config = operator_config(1, "PLANNED", fence_ms, 0, "");
    let router = Mutex::new(Some(
        Process::start(program, &platform_config, Some(&config)).expect("the router starts"),
    ));
    let address = router
        .lock()
        .expect("the lock is not poisoned")
        .as_ref()
        .map(|router| router.address)
        .expect("the router runs");
    let (start, end) = (Duration::ZERO, Duration::from_millis(4200));
    let tenant_load = |tenant, group| TenantLoad {
        tenant,
        group,
        rate: 60.0,
        mix: vec![(2, 2), (1, 1), (0, 1)],
        start,
        end,
        sessions: 9,
    };
    let (fault_start_ms, fault_duration_ms) = (fence_ms + rng.i64(-600..1100), rng.i64(150..500));
    let config_delay_ms = if fault == Fault::LateConfig { rng.i64(0..300) } else { -500 };
    let (mut is_fenced, mut is_copied, mut fault_started, mut fault_ended) = (false, false, false, false);
    let reload = |config: &str| {
        router
            .lock()
            .expect("the lock is not poisoned")
            .iter()
            .for_each(|router| router.reload_operator_config(config))
    };
    let result = run_load(address, &OP_TYPES, &[tenant_load("ann", 7), tenant_load("bob", 8)], seed, |_| {
        let now_ms = unix_ms();
        if !is_fenced && now_ms > fence_ms + config_delay_ms {
            config = operator_config(3, "FENCED", fence_ms, 0, "");
            reload(&config);
            is_fenced = true;
        }
        if !is_copied && now_ms > fence_ms + 660 {
            let target_floor_ms = cluster.copy_records(7, 8, fence_ms + 640);
            let primary = if fault_ended && fault == Fault::TargetFailover { "t-1" } else { "t-0" };
            config = operator_config(4, "SWITCHED", fence_ms, target_floor_ms, primary);
            reload(&config);
            is_copied = true;
        }
        if !fault_started && now_ms > fault_start_ms {
            fault_started = true;
            match fault {
                Fault::None | Fault::LateConfig => {}
                Fault::SourceFailover => cluster.kill("s-0"),
                Fault::TargetFailover => cluster.kill("t-0"),
                Fault::RepliesLost => cluster.set_behavior("s-0", HostBehavior::DisconnectAfterRun),
                Fault::SourceHangs => cluster.set_behavior("s-0", HostBehavior::Hang),
                Fault::RouterRestart => {
                    let mut router = router.lock().expect("the lock is not poisoned");
                    drop(router.take());
                    let mut restart_config = platform_config.clone();
                    restart_config["listen"] = address.to_string().into();
                    restart_config["known"] = cluster.initial_host_list();
                    *router = Some(
                        Process::start(program, &restart_config, Some(&config)).expect("the router restarts"),
                    );
                }
            }
        }
        if fault_started && !fault_ended && now_ms > fault_start_ms + fault_duration_ms {
            fault_ended = true;
            match fault {
                Fault::SourceFailover => cluster.failover("s-1"),
                Fault::TargetFailover => {
                    cluster.failover("t-1");
                    if is_copied {
                        // The failover may have lost copied records: copies again, as an operator has to.
                        let target_floor_ms = cluster.copy_records(7, 8, fence_ms + 640);
                        config = operator_config(5, "SWITCHED", fence_ms, target_floor_ms, "t-1");
                        reload(&config);
                    }
                }
                Fault::RepliesLost | Fault::SourceHangs => cluster.set_behavior("s-0", HostBehavior::Serve),
                _ => {}
            }
        }
    });
    let mut target_write_counts: HashMap<String, u64> = HashMap::new();
    cluster
        .records(8)
        .into_iter()
        .for_each(|record| *target_write_counts.entry(record.write_id).or_default() += 1);
    let lost_by_failover = |write_id: &str| {
        // A new primary without the newest records loses them, whatever the router does.
        let applied = cluster.ledger().applied.get(write_id).cloned().unwrap_or_default();
        let killed_hosts = [("s-0", Fault::SourceFailover), ("t-0", Fault::TargetFailover)];
        let killed = killed_hosts.iter().find(|(_, cause)| *cause == fault).map(|(host, _)| *host);
        applied
            .iter()
            .any(|(host, position)| Some(host.as_str()) == killed && *position > fault_start_ms - 100)
    };
    let acked_ids = result.acked_writes.iter().map(|id| format!("{id:016x}"));
    let missing =
        acked_ids.filter(|id| !target_write_counts.contains_key(id) && !lost_by_failover(id)).count() as u64;
    let doubled = target_write_counts.values().filter(|count| **count > 1).count() as u64;
    let switched = router
        .lock()
        .expect("the lock is not poisoned")
        .as_ref()
        .is_some_and(|router| router.wait_for_log("stage=switched", Duration::ZERO));
    // The gap between the last acknowledged write before the fence and the next one.
    let mut ack_times: Vec<i64> = result.write_ack_times.get("ann").cloned().unwrap_or_default();
    ack_times.sort_unstable();
    let first_after_fence = ack_times.iter().position(|time| *time > fence_ms);
    let write_gap_ms =
        first_after_fence.filter(|index| *index > 0).map(|index| ack_times[index] - ack_times[index - 1]);
    let mut stats = OpStats::default();
    stats.add(&result.tenant_stats("ann"));
    let move_stats = MoveStats {
        moves: 1,
        switched: u64::from(switched),
        missing,
        doubled,
        unanswered: if fault == Fault::RouterRestart { 0 } else { stats.unanswered },
        busy: stats.busy,
        sent: stats.sent,
        write_gaps_ms: write_gap_ms.into_iter().collect(),
    };
    (fault, move_stats)
}

fn main() -> ExitCode {
    let args = Args::parse();
    let program = args.router.clone().unwrap_or_else(|| sibling_program("arrowyard"));
    let (next_number, totals) = (AtomicU64::new(0), Mutex::new(HashMap::<Fault, MoveStats>::new()));
    std::thread::scope(|scope| {
        for _ in 0..args.lanes {
            scope.spawn(|| {
                loop {
                    let number = next_number.fetch_add(1, Ordering::Relaxed);
                    if number >= args.moves {
                        return;
                    }
                    let (fault, stats) = run_move(&program, args.seed * 1_000_003 + number);
                    let mut totals = totals.lock().expect("the lock is not poisoned");
                    let total = totals.entry(fault).or_default();
                    if stats.missing + stats.doubled > 0 {
                        println!(
                            "seed {number}: {fault:?}: missing {}, doubled {}",
                            stats.missing, stats.doubled
                        );
                    }
                    total.moves += stats.moves;
                    total.switched += stats.switched;
                    total.missing += stats.missing;
                    total.doubled += stats.doubled;
                    total.unanswered += stats.unanswered;
                    total.busy += stats.busy;
                    total.sent += stats.sent;
                    total.write_gaps_ms.extend(stats.write_gaps_ms);
                }
            });
        }
    });
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header([
        "fault",
        "moves",
        "switched",
        "missing",
        "doubled",
        "unanswered",
        "busy share",
        "write gap p50 ms",
        "p99",
        "max",
    ]);
    let totals = totals.into_inner().expect("the lock is not poisoned");
    let mut rows: Vec<_> = totals.iter().collect();
    rows.sort_by_key(|(fault, _)| **fault);
    let mut violations = 0;
    for (fault, stats) in rows {
        let mut write_gaps = stats.write_gaps_ms.clone();
        write_gaps.sort_unstable();
        let quantile = |share: f64| {
            write_gaps.get(((write_gaps.len() as f64 - 1.0).max(0.0) * share) as usize).copied().unwrap_or(-1)
        };
        violations += stats.missing + stats.doubled + stats.unanswered;
        table.add_row([
            format!("{fault:?}"),
            stats.moves.to_string(),
            stats.switched.to_string(),
            stats.missing.to_string(),
            stats.doubled.to_string(),
            stats.unanswered.to_string(),
            format!("{:.3}", stats.busy as f64 / stats.sent.max(1) as f64),
            quantile(0.5).to_string(),
            quantile(0.99).to_string(),
            quantile(1.0).to_string(),
        ]);
    }
    println!("{table}");
    ExitCode::from(u8::from(violations > 0))
}
