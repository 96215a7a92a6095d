//! Measures what long lists cost the ops that come meanwhile: one process before a few hosts that serve, and thousands of
//! others that are listed; how long ops take while the list comes, changes, and is told whole again.

use std::path::PathBuf;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use arrowyard_testbed::load::{Stats, Stream, play};
use arrowyard_testbed::router::{OP_TYPES, beside, waybill};
use arrowyard_testbed::{Process, Spec, Town};
use clap::Parser;
use comfy_table::{Table, presets};

#[derive(Parser)]
struct Line {
    #[arg(long, value_delimiter = ',', default_values_t = [100, 1000, 10_000])]
    hosts: Vec<usize>,
    /// Ops a second.
    #[arg(long, default_value_t = 400.0)]
    rate: f64,
    /// The program that is measured; the one beside this, if absent.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// What became of ops while something happened.
fn during(process: &Process, line: &Line, seed: u64, span: Duration, what: impl FnOnce()) -> Stats {
    let (address, rate) = (process.address, line.rate);
    let asked = spawn(move || {
        let mix = vec![(0, 5), (2, 2), (3, 3)];
        let stream =
            Stream { tenant: "t", group: 7, rate, mix, from: Duration::ZERO, till: span, sessions: 50 };
        play(address, &OP_TYPES, &[stream], seed, |_| {})
    });
    sleep(span / 4);
    what();
    asked.join().map(|outcome| outcome.of_tenant("t")).unwrap_or_default()
}

fn main() -> Result<(), String> {
    let line = Line::parse();
    let program = line.program.clone().unwrap_or_else(|| beside("arrowyard"));
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(["hosts", "meanwhile", "p50 ms", "p99 ms", "worst ms", "good", "unanswered"]);
    for &count in &line.hosts {
        let host = |name: &str| Spec { slots: 256, ..Spec::new(name, 7, name == "p-0") };
        let town = Town::start(&["p-0", "r-0", "r-1"].map(host));
        let mut told = waybill(&town, &OP_TYPES, 2048);
        told.as_object_mut().expect("it is an object").remove("known");
        let process = Process::start(&program, &told, None)?;
        let began = Instant::now();
        while !process.said("host is Ready", Duration::from_millis(10)) {
            if began.elapsed() > Duration::from_secs(10) {
                return Err("it hears of no host".to_string());
            }
        }
        let span = Duration::from_secs(3);
        let mut row = |what: &str, stats: &Stats| {
            let ms = |us: u64| format!("{:.1}", us as f64 / 1000.0);
            table.add_row([
                count.to_string(),
                what.to_string(),
                ms(stats.latency.value_at_quantile(0.5)),
                ms(stats.latency.value_at_quantile(0.99)),
                ms(stats.latency.max()),
                format!("{:.4}", stats.share()),
                stats.unanswered.to_string(),
            ]);
        };
        let _ = during(&process, &line, 1, span, || {});
        row("nothing", &during(&process, &line, 2, span, || {}));
        row("all are new", &during(&process, &line, 3, span, || town.extras(count, 0, usize::MAX)));
        row("a tenth changes", &during(&process, &line, 4, span, || town.extras(count, 0, 10)));
        let flaps = || {
            for turn in 0..20 {
                town.extras(count, turn, 1000);
                sleep(Duration::from_millis(100));
            }
        };
        row("1 in 100 a second flap", &during(&process, &line, 5, span, flaps));
        drop(process);
        // A new process, which hears the whole list while ops come already.
        let process = Process::start(&program, &told, None)?;
        row("the whole list at a start", &during(&process, &line, 6, span, || {}));
    }
    println!("{table}");
    Ok(())
}
