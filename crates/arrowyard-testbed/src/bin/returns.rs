//! Measures how a fleet of real processes comes back: so many killed at one instant and started together, with their stores
//! and without, with discovery there and away, before hosts that are warm.

use std::time::{Duration, Instant};

use arrowyard_testbed::load::{Outcome, Stream, play};
use arrowyard_testbed::rig::{Rig, Setting};
use arrowyard_testbed::router::{OP_TYPES, beside};
use clap::Parser;
use comfy_table::{Table, presets};

#[derive(Parser)]
struct Line {
    #[arg(long, value_delimiter = ',', default_values_t = [8])]
    processes: Vec<usize>,
    /// Ops a second at each.
    #[arg(long, default_value_t = 25.0)]
    rate: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of routers that the platform tells; that of the processes if absent.
    #[arg(long)]
    told_routers: Option<usize>,
    /// Further fields of `returns`.
    #[arg(long, default_value = "")]
    returns: String,
}

/// The most of these times, in milliseconds, within 100.
fn peak(times: &[i64]) -> usize {
    let near = |from: i64| times.iter().filter(|at| (from..from + 100).contains(*at)).count();
    times.iter().map(|&from| near(from)).max().unwrap_or_default()
}

/// Ops at these processes for so long.
fn ops(rig: &Rig, who: &[usize], span: Duration, rate: f64, seed: u64) -> Vec<Outcome> {
    std::thread::scope(|scope| {
        let asked: Vec<_> = who
            .iter()
            .filter_map(|&who| Some((who, rig.process(who)?.address)))
            .map(|(who, address)| {
                scope.spawn(move || {
                    let mix = vec![(0, 3), (1, 3), (2, 2), (3, 2)];
                    let from = Duration::ZERO;
                    let stream = Stream { tenant: "t", group: 7, rate, mix, from, till: span, sessions: 20 };
                    play(address, &OP_TYPES, &[stream], seed * 1000 + who as u64, |_| {})
                })
            })
            .collect();
        asked.into_iter().filter_map(|asked| asked.join().ok()).collect()
    })
}

fn main() -> Result<(), String> {
    let line = Line::parse();
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header([
        "processes",
        "killed",
        "stores",
        "discovery",
        "full p50 ms",
        "worst",
        "never",
        "good in 9 s",
        "busy",
        "unanswered",
        "discovery's calls",
        "most in 100 ms",
        "applied twice",
    ]);
    for &count in &line.processes {
        for (share, stores, away) in
            [(7, true, 0), (7, false, 0), (10, true, 0), (10, false, 0), (10, true, 30), (10, false, 3)]
        {
            let killed: Vec<usize> = (0..count * share / 10).collect();
            let told_routers = line.told_routers.unwrap_or(count);
            let returns = line.returns.clone();
            let setting = Setting { store: true, known: false, off: true, ..Setting::of(count) };
            let setting = Setting { seed: line.seed, told_routers, returns, ..setting };
            let mut rig = Rig::start(&beside("arrowyard"), setting)?;
            let all: Vec<usize> = (0..count).collect();
            let _ = ops(&rig, &all, Duration::from_secs(2), line.rate, line.seed);
            killed.iter().for_each(|&who| rig.kill(who));
            if !stores {
                killed.iter().for_each(|&who| drop(std::fs::remove_dir_all(rig.store(who))));
            }
            let calls = rig.town.called().len();
            rig.town.undiscovered(away > 0);
            killed.iter().try_for_each(|&who| rig.begin(who))?;
            let began = Instant::now();
            let outcomes = std::thread::scope(|scope| {
                let asked =
                    scope.spawn(|| ops(&rig, &killed, Duration::from_secs(9), line.rate, line.seed + 1));
                if away > 0 && away < 9 {
                    std::thread::sleep(Duration::from_secs(away).saturating_sub(began.elapsed()));
                    rig.town.undiscovered(false);
                }
                asked.join().unwrap_or_default()
            });
            let mut full: Vec<u64> = killed.iter().filter_map(|&who| rig.full()[who]).collect();
            full.sort_unstable();
            let (mut good, mut sent, mut busy, mut unanswered) = (0, 0, 0, 0);
            for stats in outcomes.iter().map(|outcome| outcome.of_tenant("t")) {
                (good, sent) = (good + stats.good, sent + stats.sent);
                (busy, unanswered) = (busy + stats.busy, unanswered + stats.unanswered);
            }
            let twice = rig.town.ledger().applied.values().filter(|times| times.len() > 1).count();
            let told = |at: Option<&u64>| at.map_or("-".to_string(), ToString::to_string);
            table.add_row([
                count.to_string(),
                format!("{share} in 10"),
                if stores { "kept" } else { "lost" }.to_string(),
                if away == 0 { "there".to_string() } else { format!("away {away} s") },
                told(full.get(full.len() / 2)),
                told(full.last()),
                (killed.len() - full.len()).to_string(),
                format!("{:.3}", good as f64 / (sent as f64).max(1.0)),
                busy.to_string(),
                unanswered.to_string(),
                (rig.town.called().len() - calls).to_string(),
                peak(&rig.town.called()[calls..]).to_string(),
                twice.to_string(),
            ]);
        }
    }
    println!("{table}");
    Ok(())
}
