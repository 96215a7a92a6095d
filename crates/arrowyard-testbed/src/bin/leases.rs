//! Runs random fault plans against leases of real processes, several at a time. Reports violations, the
//! share of time in which the lease was held, and the time to the next holder after a kill, a pause, a
//! partition and a shutdown.

use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use arrowyard_testbed::lease_scenario::{ScenarioResult, TERM_MS, random_plan, run};
use arrowyard_testbed::plan::{Fault, Plan};
use arrowyard_testbed::router::sibling_program;
use clap::Parser;
use comfy_table::{Table, presets};
use hdrhistogram::Histogram;

#[derive(Parser)]
struct Args {
    /// Number of random plans.
    #[arg(long, default_value_t = 100)]
    plans: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 5)]
    processes: usize,
    /// Number of plans that run at the same time.
    #[arg(long, default_value_t = 3)]
    jobs: usize,
    /// Number of runs with each single fault.
    #[arg(long, default_value_t = 20)]
    plays: u64,
    /// The router program; by default the one next to this program.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Runs the plans, `jobs` at a time. The results are in the order of completion.
fn run_all(program: &std::path::Path, plans: &[Plan], jobs: usize) -> Vec<Result<ScenarioResult, String>> {
    let (next_index, results) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                while let Some(plan) = plans.get(next_index.fetch_add(1, Ordering::Relaxed) as usize) {
                    let result = run(program, plan);
                    results.lock().expect("the lock is not poisoned").push(result);
                }
            });
        }
    });
    results.into_inner().expect("the lock is not poisoned")
}

/// Milliseconds from the start of the fault to the first effect of a newer epoch.
fn takeover_ms(result: &ScenarioResult) -> Option<i64> {
    let epoch = result
        .effects
        .iter()
        .filter(|effect| effect.received_us <= result.started_us)
        .map(|effect| effect.epoch)
        .max()?;
    let next_effect = result
        .effects
        .iter()
        .find(|effect| effect.accepted && effect.received_us > result.started_us && effect.epoch > epoch)?;
    Some((next_effect.received_us - result.started_us) / 1000)
}

fn main() {
    let args = Args::parse();
    let program = args.program.clone().unwrap_or_else(|| sibling_program("arrowyard"));
    let plans: Vec<Plan> =
        (0..args.plans).map(|index| random_plan(args.seed + index, args.processes)).collect();
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(["plan", "runs", "violations", "not run", "held", "p50 ms", "p99 ms", "max ms"]);
    let mut add_row = |name: &str,
                       results: &[Result<ScenarioResult, String>],
                       duration_ms: &dyn Fn(&ScenarioResult) -> Option<i64>| {
        let mut durations: Histogram<u64> =
            Histogram::new(3).expect("three significant digits are supported");
        let completed: Vec<&ScenarioResult> =
            results.iter().filter_map(|result| result.as_ref().ok()).collect();
        completed
            .iter()
            .filter_map(|result| duration_ms(result))
            .for_each(|ms| durations.saturating_record(ms.max(0) as u64));
        let mean_held_share =
            completed.iter().map(|result| result.held_share()).sum::<f64>() / completed.len().max(1) as f64;
        for result in completed.iter().filter(|result| !result.violations.is_empty()) {
            println!("VIOLATION {:?}: {}", result.violations[0], result.plan.to_json());
        }
        results
            .iter()
            .filter_map(|result| result.as_ref().err())
            .for_each(|error| println!("NOT RUN {error}"));
        let violated_count = completed.iter().filter(|result| !result.violations.is_empty()).count();
        let percentile_ms = |quantile: f64| durations.value_at_quantile(quantile).to_string();
        table.add_row([
            name.to_string(),
            completed.len().to_string(),
            violated_count.to_string(),
            (results.len() - completed.len()).to_string(),
            format!("{mean_held_share:.3}"),
            percentile_ms(0.5),
            percentile_ms(0.99),
            durations.max().to_string(),
        ]);
    };
    // For random plans, the time from the end of the last fault to the next effect.
    add_row("drawn", &run_all(&program, &plans, args.jobs), &|result| result.recovery_ms);
    let all_processes: Vec<usize> = (0..args.processes).collect();
    for name in ["kill", "halt", "cut off", "end"] {
        let plans: Vec<Plan> = (0..args.plays)
            .map(|index| {
                // The fault affects each process in turn; runs in which it was not the holder have no
                // takeover time.
                let process = index as usize % args.processes;
                let others: Vec<usize> =
                    all_processes.iter().copied().filter(|other| *other != process).collect();
                let fault = match name {
                    "kill" => Fault::Kill(vec![process]),
                    "halt" => Fault::Pause(vec![process]),
                    "cut off" => Fault::Partition(vec![process], others),
                    _ => Fault::Shutdown(vec![process]),
                };
                Plan {
                    seed: args.seed + index,
                    ..Plan::new(name, args.processes, 3_000).with_fault(0, 2_500, fault)
                }
            })
            .collect();
        add_row(name, &run_all(&program, &plans, args.jobs), &takeover_ms);
    }
    println!("term {TERM_MS} ms\n{table}");
}
