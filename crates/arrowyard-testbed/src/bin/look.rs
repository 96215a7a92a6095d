//! A first look: a router before a small replicated group, mixed ops, and a primary that dies in between.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use arrowyard_testbed::load::{Stats, Stream, play};
use arrowyard_testbed::router::{OP_TYPES, Process, beside, waybill};
use arrowyard_testbed::{Spec, Town};
use clap::Parser;
use comfy_table::{Table, presets};

/// Starts a router before a group of stand-in hosts on loopback, sends it mixed ops, kills the primary after a third of the
/// time, and shows what became of each op.
#[derive(Parser)]
struct Line {
    /// How long it plays, in seconds.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Ops a second.
    #[arg(long, default_value_t = 300.0)]
    rate: f64,
    /// The router's program; the one that was built with this.
    #[arg(long)]
    router: Option<PathBuf>,
}

fn main() -> ExitCode {
    let line = Line::parse();
    let hosts: Vec<Spec> = (0..4)
        .map(|n| Spec {
            service: Duration::from_millis(4),
            slots: 8,
            ..Spec::new(&format!("host-{n}"), 7, n == 0)
        })
        .collect();
    let town = Town::start(&hosts);
    let program = line.router.unwrap_or_else(|| beside("arrowyard"));
    let router = match Process::start(&program, &waybill(&town, &OP_TYPES, 1024), None) {
        Ok(router) => router,
        Err(why) => {
            eprintln!("the router did not start: {why}\n(build it first: cargo build --release)");
            return ExitCode::from(2);
        }
    };
    println!("a router at {}, before host-0 (primary) and three replicas", router.address);
    let whole = Duration::from_secs(line.seconds);
    let (dies, takes_over) = (whole / 3, whole / 3 + Duration::from_millis(1500));
    let mix = vec![(0, 5), (1, 2), (2, 2), (3, 3)];
    let stream = Stream {
        tenant: "league",
        group: 7,
        rate: line.rate,
        mix,
        from: Duration::ZERO,
        till: whole,
        sessions: 50,
    };
    let (mut dead, mut new, mut second) = (false, false, u64::MAX);
    let outcome = play(router.address, &OP_TYPES, &[stream], 1, |at| {
        if !dead && at >= dies {
            println!("{:>4} s  host-0, the primary, dies", at.as_secs());
            town.kill("host-0");
            dead = true;
        }
        if !new && at >= takes_over {
            println!("{:>4} s  host-1 takes over", at.as_secs());
            town.promote("host-1");
            new = true;
        }
        if at.as_secs() != second && at.as_secs().is_multiple_of(5) {
            println!("{:>4} s", at.as_secs());
            second = at.as_secs();
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
    let mut put = |name: &str, stats: &Stats| {
        let ms = |quantile| format!("{:.1}", stats.latency.value_at_quantile(quantile) as f64 / 1000.0);
        let counts =
            [stats.sent, stats.good + stats.late, stats.good, stats.busy, stats.errored, stats.unanswered];
        let mut cells = vec![name.to_string()];
        cells.extend(counts.map(|count| count.to_string()));
        cells.extend([ms(0.5), ms(0.99)]);
        table.add_row(cells);
    };
    let mut all = Stats::default();
    for row in OP_TYPES {
        let stats = outcome.of_type(row.name);
        put(row.name, &stats);
        all.add(&stats);
    }
    put("all", &all);
    println!("\n{table}");
    // A tick of the system's account is a hundredth of a second.
    let (ticks, own) = router.cost();
    let micros = ticks as f64 * 10_000.0 / all.sent.max(1) as f64;
    println!("\nthe router took {micros:.0} us of its core an op, and holds {own} KB of its own");
    let ledger = town.ledger();
    let twice = ledger.applied.values().filter(|times| times.len() > 1).count();
    let log: std::collections::HashSet<String> = town.log(7).into_iter().map(|record| record.turn).collect();
    let lost = outcome.acked.iter().filter(|turn| !log.contains(&format!("{turn:016x}"))).count();
    println!("\nacked turns: {}, applied twice: {twice}", outcome.acked.len());
    println!("acked turns that the new primary had not applied yet when the old one died: {lost}");
    // A replica that takes over without them loses them; that no router can mend. An answer that is missing it can.
    ExitCode::from(u8::from(all.unanswered > 0 || twice > 0))
}
