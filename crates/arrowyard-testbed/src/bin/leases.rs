//! Trials of leases by real processes: fault plans drawn from seeds, many beside each other; what went wrong, how long nobody
//! held the lease, and how soon the next one held it after a kill, a halt, a cut and a planned end.

use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use arrowyard_testbed::plan::{Fault, Plan};
use arrowyard_testbed::router::beside;
use arrowyard_testbed::trial::{TERM_MS, Told, draw, play};
use clap::Parser;
use comfy_table::{Table, presets};
use hdrhistogram::Histogram;

#[derive(Parser)]
struct Line {
    /// Drawn plans.
    #[arg(long, default_value_t = 100)]
    plans: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 5)]
    processes: usize,
    /// Plays beside each other.
    #[arg(long, default_value_t = 3)]
    jobs: usize,
    /// Plays of each single fault.
    #[arg(long, default_value_t = 20)]
    plays: u64,
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Plays all of them, so many at a time, in no order.
fn all(program: &std::path::Path, plans: &[Plan], jobs: usize) -> Vec<Result<Told, String>> {
    let (next, told) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                while let Some(plan) = plans.get(next.fetch_add(1, Ordering::Relaxed) as usize) {
                    let one = play(program, plan);
                    told.lock().expect("nobody panics with it").push(one);
                }
            });
        }
    });
    told.into_inner().expect("nobody panics with it")
}

/// From the fault's begin to the first effect of a newer epoch.
fn took(told: &Told) -> Option<i64> {
    let before = told.effects.iter().filter(|one| one.came_us <= told.from_us).map(|one| one.epoch).max()?;
    let next =
        told.effects.iter().find(|one| one.taken && one.came_us > told.from_us && one.epoch > before)?;
    Some((next.came_us - told.from_us) / 1000)
}

fn main() {
    let line = Line::parse();
    let program = line.program.clone().unwrap_or_else(|| beside("arrowyard"));
    let plans: Vec<Plan> = (0..line.plans).map(|n| draw(line.seed + n, line.processes)).collect();
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(["plan", "plays", "wrong", "not played", "held", "p50 ms", "p99 ms", "worst ms"]);
    let mut row = |name: &str, told: &[Result<Told, String>], took: &dyn Fn(&Told) -> Option<i64>| {
        let mut times: Histogram<u64> = Histogram::new(3).expect("three digits are allowed");
        let played: Vec<&Told> = told.iter().filter_map(|one| one.as_ref().ok()).collect();
        played.iter().filter_map(|one| took(one)).for_each(|ms| times.saturating_record(ms.max(0) as u64));
        let held = played.iter().map(|one| one.held()).sum::<f64>() / played.len().max(1) as f64;
        for one in played.iter().filter(|one| !one.wrong.is_empty()) {
            println!("WRONG {:?}: {}", one.wrong[0], one.plan.text());
        }
        told.iter().filter_map(|one| one.as_ref().err()).for_each(|why| println!("NOT PLAYED {why}"));
        let wrong = played.iter().filter(|one| !one.wrong.is_empty()).count();
        let at = |quantile: f64| times.value_at_quantile(quantile).to_string();
        table.add_row([
            name.to_string(),
            played.len().to_string(),
            wrong.to_string(),
            (told.len() - played.len()).to_string(),
            format!("{held:.3}"),
            at(0.5),
            at(0.99),
            times.max().to_string(),
        ]);
    };
    // Of drawn plans: how soon after the last fault somebody acts.
    row("drawn", &all(&program, &plans, line.jobs), &|told| told.after_ms);
    let who: Vec<usize> = (0..line.processes).collect();
    for name in ["kill", "halt", "cut off", "end"] {
        let plans: Vec<Plan> = (0..line.plays)
            .map(|n| {
                // Whoever holds it: the fault is at one process in turn, and those that were no holder do not count.
                let one = n as usize % line.processes;
                let others: Vec<usize> = who.iter().copied().filter(|other| *other != one).collect();
                let fault = match name {
                    "kill" => Fault::Kill(vec![one]),
                    "halt" => Fault::Halt(vec![one]),
                    "cut off" => Fault::Part(vec![one], others),
                    _ => Fault::End(vec![one]),
                };
                Plan { seed: line.seed + n, ..Plan::new(name, line.processes, 3_000).act(0, 2_500, fault) }
            })
            .collect();
        row(name, &all(&program, &plans, line.jobs), &took);
    }
    println!("term {TERM_MS} ms\n{table}");
}
