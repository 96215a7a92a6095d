//! Plays fault plans before membership in simulated time, ours beside two plain ways, and prints what came of it.

use arrowyard_fleet::peers::{Heartbeats, Node, Ours, Said, Swim, World};
use arrowyard_testbed::plan::{Fault, Plan};
use arrowyard_types::{TimeDelta, Timestamp};
use clap::Parser;
use comfy_table::{Table, presets};

#[derive(Parser)]
struct Line {
    /// Routers of the fleet.
    #[arg(long, value_delimiter = ',', default_values_t = [30])]
    routers: Vec<usize>,
    /// Names of plans, or files; all that have names if none.
    plans: Vec<String>,
    /// Plays of each, with other seeds.
    #[arg(long, default_value_t = 3)]
    plays: u64,
    /// ours, swim, heartbeats.
    #[arg(long, value_delimiter = ',', default_values = ["ours", "swim", "heartbeats"])]
    ways: Vec<String>,
    /// Print each second how many the members hold alive: the fewest, the median, the most.
    #[arg(long)]
    seconds: bool,
}

fn node(way: &str, now: Timestamp, who: usize, count: usize, seed: u64) -> Box<dyn Node> {
    match way {
        "swim" => Box::new(Swim::new(now, who, count, seed)),
        "heartbeats" => Box::new(Heartbeats::new(now, who, count, seed)),
        _ => Box::new(Ours::new(now, who, &[0, 1, 2], count as f64, seed)),
    }
}

fn percentile(sorted: &[f64], share: f64) -> String {
    if sorted.is_empty() {
        return "-".to_string();
    }
    format!("{:.2}", sorted[((sorted.len() - 1) as f64 * share).round() as usize])
}

fn held(world: &World, at_ms: u64) {
    let mut held: Vec<usize> = world.held().into_iter().flatten().collect();
    held.sort_unstable();
    if let [fewest, .., most] = held[..] {
        let (who, others) = world.fewest();
        let others = others.into_iter().take(3).collect::<Vec<_>>().join("; ");
        let median = held[held.len() / 2];
        eprintln!("{at_ms} ms: {} run, {fewest} {median} {most} held alive; n{who}: {others}", held.len());
    }
}

fn main() {
    let line = Line::parse();
    let names: Vec<String> = if line.plans.is_empty() {
        Plan::NAMES.iter().map(ToString::to_string).collect()
    } else {
        line.plans
    };
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header([
        "routers",
        "plan",
        "way",
        "known p50 s",
        "p99",
        "worst",
        "not known",
        "dead p99",
        "wrong deaths",
        "one view after s",
        "datagrams/s",
        "bytes/s",
        "us/s",
    ]);
    for &count in &line.routers {
        for name in &names {
            for way in &line.ways {
                let (mut known, mut dead, mut views) = (Vec::new(), Vec::new(), Vec::new());
                let (mut wrong, mut missed, mut never) = (0, 0, 0);
                let (mut datagrams, mut bytes, mut micros) = (0.0, 0.0, 0.0);
                for play in 0..line.plays {
                    let plan = Plan::named(name, count)
                        .or_else(|| Plan::from_json(&std::fs::read_to_string(name).ok()?).ok());
                    let Some(plan) = plan else {
                        eprintln!("{name}: neither a plan's name nor its file");
                        std::process::exit(2);
                    };
                    let plan = Plan { seed: play + 1, ..plan };
                    let kind = way.clone();
                    let mut world = World::new(
                        plan.clone(),
                        Box::new(move |now, who, seed| node(&kind, now, who, count, seed)),
                    );
                    let begin = world.now;
                    let end = plan.faults.iter().map(|act| act.at_ms + act.duration_ms).max().unwrap_or(0);
                    for second in (1..=end.min(plan.span_ms) / 1000).filter(|_| line.seconds) {
                        world.till(TimeDelta::from_millis(second as i64 * 1000));
                        held(&world, second * 1000);
                    }
                    world.till(TimeDelta::from_millis(end.min(plan.span_ms) as i64));
                    let mut at = end;
                    // From the last fault's end on, till all agree.
                    while at < plan.span_ms && !world.agreed() {
                        at += 50;
                        world.till(TimeDelta::from_millis(at as i64));
                        if line.seconds && at.is_multiple_of(1000) {
                            held(&world, at);
                        }
                    }
                    if world.agreed() {
                        views.push((at - end) as f64 / 1e3)
                    } else {
                        never += 1
                    }
                    world.till(TimeDelta::from_millis(plan.span_ms as i64));
                    let books = &world.books;
                    wrong += books.wrong.len();
                    let routers = count as f64 * plan.span_ms as f64 / 1e3;
                    datagrams += books.datagrams as f64 / routers;
                    bytes += books.bytes as f64 / routers;
                    micros += books.thread.as_secs_f64() * 1e6 / routers;
                    for act in &plan.faults {
                        let (Fault::Kill(who) | Fault::SilentShutdown(who) | Fault::Shutdown(who)) =
                            &act.fault
                        else {
                            continue;
                        };
                        let from = begin + TimeDelta::from_millis(act.at_ms as i64);
                        let till = from + TimeDelta::from_millis(act.duration_ms as i64);
                        for &of in who {
                            for by in (0..count).filter(|by| !who.contains(by)) {
                                let first = |least: Said| {
                                    let fits = |said: &&(Timestamp, usize, usize, Said)| {
                                        said.0 >= from
                                            && said.0 < till
                                            && said.1 == by
                                            && said.2 == of
                                            && said.3 >= least
                                    };
                                    books.said.iter().find(fits).map(|said| (said.0 - from).as_secs_f64())
                                };
                                match first(Said::Silent) {
                                    Some(took) => known.push(took),
                                    None => missed += 1,
                                }
                                dead.extend(first(Said::Dead));
                            }
                        }
                    }
                }
                let plays = line.plays as f64;
                known.sort_by(f64::total_cmp);
                dead.sort_by(f64::total_cmp);
                views.sort_by(f64::total_cmp);
                let view = percentile(&views, 1.0);
                table.add_row([
                    count.to_string(),
                    name.clone(),
                    way.clone(),
                    percentile(&known, 0.5),
                    percentile(&known, 0.99),
                    percentile(&known, 1.0),
                    missed.to_string(),
                    percentile(&dead, 0.99),
                    wrong.to_string(),
                    if never > 0 { format!("{view}, {never} never") } else { view },
                    format!("{:.1}", datagrams / plays),
                    format!("{:.0}", bytes / plays),
                    format!("{:.0}", micros / plays),
                ]);
            }
        }
    }
    println!("{table}");
}
