//! Moves of a tenant under load, each with a fault script drawn from a seed, and what the ledger says of them.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arrowyard_testbed::load::{Stats, Stream, play};
use arrowyard_testbed::router::{OP_TYPES, Process, beside, waybill};
use arrowyard_testbed::town::unix_ms;
use arrowyard_testbed::{Act, Spec, Town};
use clap::Parser;
use comfy_table::{Table, presets};
use fastrand::Rng;

/// Moves a tenant from a group to another under load, over and over, each time with other faults at other moments.
#[derive(Parser)]
struct Line {
    #[arg(long, default_value_t = 200)]
    moves: u64,
    /// Moves that are played side by side, each with its own router and hosts.
    #[arg(long, default_value_t = 6)]
    lanes: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long)]
    router: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Fault {
    None,
    /// The source's primary dies and a replica takes over 300 ms later.
    SourceDies,
    /// The same at the target.
    TargetDies,
    /// The router is killed and starts anew with the file that holds then.
    RouterDies,
    /// Answers of the source's primary are lost for a while, after the writes ran.
    AnswersLost,
    /// The source's primary reads and does not answer for a while.
    Hangs,
    /// The file of the fence comes only after the fence.
    LateFile,
}

const FAULTS: [Fault; 7] = [
    Fault::None,
    Fault::SourceDies,
    Fault::TargetDies,
    Fault::RouterDies,
    Fault::AnswersLost,
    Fault::Hangs,
    Fault::LateFile,
];

fn book(epoch: u64, step: &str, fence: i64, floor: i64, host: &str) -> String {
    let (copied, switch) = (fence + 640, fence + 900);
    let lease = if epoch < 3 { fence - 100 } else { fence + 600_000 };
    let times =
        if epoch < 3 { String::new() } else { format!("fence_at_ms: {fence} switch_at_ms: {switch}") };
    let end = if epoch < 4 {
        String::new()
    } else {
        format!("copied_through_ms: {copied} target_floor_ms: {floor} target_host: {host:?}")
    };
    format!(
        "epoch: {epoch}\ncells {{\n cell {{ name: \"a\" }}\n cell {{ name: \"b\" }}\n \
         tenant {{ name: \"ann\" cell: \"a\" }}\n tenant {{ name: \"bob\" cell: \"b\" }}\n \
         lease {{ until_ms: {lease} skew_ms: 20 }}\n move {{ tenant: \"ann\" from: \"a\" to: \"b\" from_group: 7 \
         to_group: 8 step: {step} {times} {end} memory_ms: 2000 }}\n}}\n"
    )
}

#[derive(Default)]
struct Told {
    moves: u64,
    switched: u64,
    missing: u64,
    doubled: u64,
    unanswered: u64,
    busy: u64,
    sent: u64,
    /// How long no write of the tenant was acked around the fence, in milliseconds.
    held: Vec<i64>,
}

/// One move; whether it was switched, acked turns that are missing at its end, turns that were applied twice.
fn one(program: &Path, seed: u64) -> (Fault, Told) {
    let mut rng = Rng::with_seed(seed);
    let fault = FAULTS[rng.usize(0..FAULTS.len())];
    let spec = |name: &str| Spec {
        lag: Duration::from_millis(5),
        ..Spec::new(name, if name.starts_with('s') { 7 } else { 8 }, name.ends_with('0'))
    };
    let town = Town::start(&["s-0", "s-1", "s-2", "t-0", "t-1", "t-2"].map(spec));
    let fence = unix_ms() + 1200;
    let told = waybill(&town, &OP_TYPES, 512);
    let mut text = book(1, "PLANNED", fence, 0, "");
    let router = Mutex::new(Some(Process::start(program, &told, Some(&text)).expect("the router starts")));
    let address = router.lock().expect("no panic").as_ref().map(|router| router.address).expect("it runs");
    let (from, till) = (Duration::ZERO, Duration::from_millis(4200));
    let stream = |tenant, group| Stream {
        tenant,
        group,
        rate: 60.0,
        mix: vec![(2, 2), (1, 1), (0, 1)],
        from,
        till,
        sessions: 9,
    };
    let (strikes, heals) = (fence + rng.i64(-600..1100), rng.i64(150..500));
    let late = if fault == Fault::LateFile { rng.i64(0..300) } else { -500 };
    let (mut fenced, mut copied, mut struck, mut healed) = (false, false, false, false);
    let rebook = |text: &str| router.lock().expect("no panic").iter().for_each(|router| router.rebook(text));
    let outcome = play(address, &OP_TYPES, &[stream("ann", 7), stream("bob", 8)], seed, |_| {
        let now = unix_ms();
        if !fenced && now > fence + late {
            text = book(3, "FENCED", fence, 0, "");
            rebook(&text);
            fenced = true;
        }
        if !copied && now > fence + 660 {
            let floor = town.copy(7, 8, fence + 640);
            let lead = if healed && fault == Fault::TargetDies { "t-1" } else { "t-0" };
            text = book(4, "SWITCHED", fence, floor, lead);
            rebook(&text);
            copied = true;
        }
        if !struck && now > strikes {
            struck = true;
            match fault {
                Fault::None | Fault::LateFile => {}
                Fault::SourceDies => town.kill("s-0"),
                Fault::TargetDies => town.kill("t-0"),
                Fault::AnswersLost => town.act("s-0", Act::LoseAnswer),
                Fault::Hangs => town.act("s-0", Act::Hang),
                Fault::RouterDies => {
                    let mut router = router.lock().expect("no panic");
                    drop(router.take());
                    let mut again = told.clone();
                    again["listen"] = address.to_string().into();
                    again["known"] = town.known();
                    *router = Some(Process::start(program, &again, Some(&text)).expect("it starts again"));
                }
            }
        }
        if struck && !healed && now > strikes + heals {
            healed = true;
            match fault {
                Fault::SourceDies => town.promote("s-1"),
                Fault::TargetDies => {
                    town.promote("t-1");
                    if copied {
                        // The copy is looked at again, as an operator has to after a failover there.
                        let floor = town.copy(7, 8, fence + 640);
                        text = book(5, "SWITCHED", fence, floor, "t-1");
                        rebook(&text);
                    }
                }
                Fault::AnswersLost | Fault::Hangs => town.act("s-0", Act::Serve),
                _ => {}
            }
        }
    });
    let mut target: HashMap<String, u64> = HashMap::new();
    town.log(8).into_iter().for_each(|record| *target.entry(record.turn).or_default() += 1);
    let lost_by_failover = |turn: &str| {
        // A replica that takes over without the newest records loses them; that no router can mend.
        let applied = town.ledger().applied.get(turn).cloned().unwrap_or_default();
        let dies = [("s-0", Fault::SourceDies), ("t-0", Fault::TargetDies)];
        let died = dies.iter().find(|(_, of)| *of == fault).map(|(host, _)| *host);
        applied.iter().any(|(host, at)| Some(host.as_str()) == died && *at > strikes - 100)
    };
    let acked = outcome.acked.iter().map(|turn| format!("{turn:016x}"));
    let missing = acked.filter(|turn| !target.contains_key(turn) && !lost_by_failover(turn)).count() as u64;
    let doubled = target.values().filter(|times| **times > 1).count() as u64;
    let switched =
        router.lock().expect("no panic").as_ref().is_some_and(|r| r.said("stage=switched", Duration::ZERO));
    // How long writes of the tenant stood still: from the last one that was acked before the fence to the next.
    let mut times: Vec<i64> = outcome.write_times.get("ann").cloned().unwrap_or_default();
    times.sort_unstable();
    let around = times.iter().position(|at| *at > fence);
    let held = around.filter(|at| *at > 0).map(|at| times[at] - times[at - 1]);
    let mut stats = Stats::default();
    stats.add(&outcome.of_tenant("ann"));
    let told = Told {
        moves: 1,
        switched: u64::from(switched),
        missing,
        doubled,
        unanswered: if fault == Fault::RouterDies { 0 } else { stats.unanswered },
        busy: stats.busy,
        sent: stats.sent,
        held: held.into_iter().collect(),
    };
    (fault, told)
}

fn main() -> ExitCode {
    let line = Line::parse();
    let program = line.router.clone().unwrap_or_else(|| beside("arrowyard"));
    let (next, sums) = (AtomicU64::new(0), Mutex::new(HashMap::<Fault, Told>::new()));
    std::thread::scope(|scope| {
        for _ in 0..line.lanes {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= line.moves {
                        return;
                    }
                    let (fault, told) = one(&program, line.seed * 1_000_003 + number);
                    let mut sums = sums.lock().expect("no panic");
                    let sum = sums.entry(fault).or_default();
                    if told.missing + told.doubled > 0 {
                        println!(
                            "seed {number}: {fault:?}: missing {}, doubled {}",
                            told.missing, told.doubled
                        );
                    }
                    sum.moves += told.moves;
                    sum.switched += told.switched;
                    sum.missing += told.missing;
                    sum.doubled += told.doubled;
                    sum.unanswered += told.unanswered;
                    sum.busy += told.busy;
                    sum.sent += told.sent;
                    sum.held.extend(told.held);
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
        "given back",
        "held p50 ms",
        "p99",
        "most",
    ]);
    let sums = sums.into_inner().expect("no panic");
    let mut rows: Vec<_> = sums.iter().collect();
    rows.sort_by_key(|(fault, _)| **fault);
    let mut bad = 0;
    for (fault, told) in rows {
        let mut held = told.held.clone();
        held.sort_unstable();
        let at =
            |part: f64| held.get(((held.len() as f64 - 1.0).max(0.0) * part) as usize).copied().unwrap_or(-1);
        bad += told.missing + told.doubled + told.unanswered;
        table.add_row([
            format!("{fault:?}"),
            told.moves.to_string(),
            told.switched.to_string(),
            told.missing.to_string(),
            told.doubled.to_string(),
            told.unanswered.to_string(),
            format!("{:.3}", told.busy as f64 / told.sent.max(1) as f64),
            at(0.5).to_string(),
            at(0.99).to_string(),
            at(1.0).to_string(),
        ]);
    }
    println!("{table}");
    ExitCode::from(u8::from(bad > 0))
}
