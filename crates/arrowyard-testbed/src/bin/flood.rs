//! Measures what a flood of one tenant costs the others, with cells and without.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use arrowyard_testbed::load::{Outcome, Stream, play};
use arrowyard_testbed::router::{OP_TYPES, Process, beside, waybill};
use arrowyard_testbed::{Act, Spec, Town};
use clap::{Parser, ValueEnum};
use comfy_table::{Table, presets};

/// Four tenants, each with its own replicas in a cell of its own; one of them misbehaves, or its hosts do.
#[derive(Parser)]
struct Line {
    /// What happens in one cell.
    #[arg(value_enum, default_value = "flood")]
    trouble: Trouble,
    /// How long each of the four runs plays, in seconds.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Ops a second of a tenant on a calm day.
    #[arg(long, default_value_t = 120.0)]
    rate: f64,
    /// How many times that the flooding tenant asks.
    #[arg(long, default_value_t = 20.0)]
    times: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long)]
    router: Option<PathBuf>,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Trouble {
    /// A tenant asks many times as much.
    Flood,
    /// The cell's hosts answer slowly.
    Slow,
    /// They fail at once.
    Fail,
    /// They read and never answer.
    Hang,
    /// They restart cold, all together.
    Cold,
}

const TENANTS: [&str; 4] = ["north", "east", "south", "west"];

fn book() -> String {
    let cells =
        TENANTS.map(|name| format!("  cell {{ name: \"{name}\" host: \"{name}-*\" guaranteed: 0.6 }}\n"));
    let rows = TENANTS.map(|name| format!("  tenant {{ name: \"{name}\" cell: \"{name}\" }}\n"));
    let repeats = "  repeats { share: 0.2 least: 20 window_ms: 2000 }\n";
    format!("epoch: 1\ncells {{\n{}{}{repeats}}}\n", cells.concat(), rows.concat())
}

fn run(line: &Line, cells: bool, trouble: bool) -> Outcome {
    let host = |name: &str, primary: bool| Spec {
        service: Duration::from_millis(4),
        slots: 1,
        queue: 64,
        ..Spec::new(name, 7, primary)
    };
    let mut hosts = vec![host("primary", true)];
    hosts.extend(TENANTS.iter().flat_map(|name| (0..2).map(move |n| host(&format!("{name}-{n}"), false))));
    let town = Town::start(&hosts);
    let program = line.router.clone().unwrap_or_else(|| beside("arrowyard"));
    let text = book();
    let told = waybill(&town, &OP_TYPES, 1024);
    let router = Process::start(&program, &told, cells.then_some(&text[..])).expect("the router starts");
    let whole = Duration::from_secs(line.seconds);
    let (from, till) = (whole / 4, whole);
    let mix = vec![(0, 6), (3, 3), (2, 1)];
    let mut streams: Vec<Stream> = TENANTS
        .iter()
        .map(|tenant| Stream {
            tenant,
            group: 7,
            rate: line.rate,
            mix: mix.clone(),
            from: Duration::ZERO,
            till: whole,
            sessions: 40,
        })
        .collect();
    if trouble && line.trouble == Trouble::Flood {
        let rate = line.rate * (line.times - 1.0);
        streams.push(Stream { rate, mix: vec![(0, 6), (3, 3)], from, till, ..streams[0].clone() });
    }
    let mut begun = false;
    play(router.address, &OP_TYPES, &streams, line.seed, |at| {
        if !trouble || begun || at < from {
            return;
        }
        begun = true;
        for name in hosts.iter().map(|host| &host.name[..]).filter(|name| name.starts_with(TENANTS[0])) {
            match line.trouble {
                Trouble::Flood => {}
                Trouble::Slow => town.act(name, Act::Slow(Duration::from_millis(150))),
                Trouble::Fail => town.act(name, Act::Fail),
                Trouble::Hang => town.act(name, Act::Hang),
                Trouble::Cold => {
                    town.kill(name);
                    town.revive(name);
                }
            }
        }
    })
}

fn main() -> ExitCode {
    let line = Line::parse();
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    let heads = [
        "cells",
        "day",
        "tenant",
        "sent",
        "in target",
        "of calm",
        "busy",
        "errored",
        "unanswered",
        "p50 ms",
        "p99 ms",
    ];
    table.set_header(heads);
    for cells in [false, true] {
        let calm = run(&line, cells, false);
        let day = run(&line, cells, true);
        for (name, outcome) in [("calm", &calm), ("trouble", &day)] {
            for tenant in TENANTS {
                let stats = outcome.of_tenant(tenant);
                let of_calm = stats.share() / calm.of_tenant(tenant).share();
                let ms =
                    |quantile| format!("{:.1}", stats.latency.value_at_quantile(quantile) as f64 / 1000.0);
                table.add_row([
                    if cells { "with" } else { "without" }.to_string(),
                    name.to_string(),
                    tenant.to_string(),
                    stats.sent.to_string(),
                    format!("{:.3}", stats.share()),
                    format!("{of_calm:.3}"),
                    stats.busy.to_string(),
                    stats.errored.to_string(),
                    stats.unanswered.to_string(),
                    ms(0.5),
                    ms(0.99),
                ]);
            }
        }
    }
    println!("{table}");
    ExitCode::SUCCESS
}
