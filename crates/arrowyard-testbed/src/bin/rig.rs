//! Plays fault plans between real processes of the program that stands beside this one, and prints what came of it.

use std::time::Duration;

use arrowyard_testbed::load::{Stream, play};
use arrowyard_testbed::plan::{Fault, Plan};
use arrowyard_testbed::rig::{Rig, Setting, mono_us};
use arrowyard_testbed::router::{OP_TYPES, beside};
use clap::Parser;
use comfy_table::{Table, presets};

#[derive(Parser)]
struct Line {
    /// Processes of the fleet.
    #[arg(long, value_delimiter = ',', default_values_t = [8])]
    processes: Vec<usize>,
    /// Names of plans, or files.
    #[arg(required = true)]
    plans: Vec<String>,
    #[arg(long, default_value_t = 1)]
    plays: u64,
    /// Ops a second at each of the first three processes.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Without membership.
    #[arg(long)]
    off: bool,
}

fn percentile(sorted: &[f64], share: f64) -> String {
    match sorted.len() {
        0 => "-".to_string(),
        count => format!("{:.2}", sorted[((count - 1) as f64 * share).round() as usize]),
    }
}

fn main() -> Result<(), String> {
    let line = Line::parse();
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header([
        "processes",
        "plan",
        "known p50 s",
        "p99",
        "worst",
        "not known",
        "dead p99",
        "over, yet ran",
        "one view after s",
        "datagrams/s",
        "bytes/s",
        "core ms/s",
        "ops good",
        "busy",
        "unanswered",
    ]);
    for &count in &line.processes {
        for name in &line.plans {
            let (mut known, mut dead, mut views) = (Vec::new(), Vec::new(), Vec::new());
            let (mut missed, mut wrong, mut never) = (0, 0, 0);
            let (mut datagrams, mut bytes, mut ticks, mut seconds) = (0, 0, 0, 0.0);
            let (mut good, mut busy, mut sent, mut unanswered) = (0, 0, 0, 0);
            for seed in 1..=line.plays {
                let plan = Plan::named(name, count)
                    .or_else(|| Plan::read(&std::fs::read_to_string(name).ok()?).ok());
                let plan = plan.ok_or_else(|| format!("{name}: neither a plan's name nor its file"))?;
                let plan = Plan { seed, ..plan };
                let setting = Setting { seed, off: line.off, ..Setting::of(count) };
                let mut rig = Rig::start(&beside("arrowyard"), setting)?;
                if !line.off && rig.agree(Duration::from_secs(30)).is_none() {
                    return Err(format!("{count} processes do not find each other"));
                }
                let (passed, cost, began) = (rig.relays.passed(), rig.cost().0, mono_us());
                let first = plan.acts.iter().map(|act| act.at_ms).min().unwrap_or_default();
                let last = plan.acts.iter().map(|act| act.at_ms + act.for_ms).max().unwrap_or(first + 20_000);
                let span = Duration::from_millis(last - first);
                // Ops at those that no act kills or halts, as far as there are some.
                let struck = |who: &usize| {
                    plan.acts.iter().any(|act| match &act.fault {
                        Fault::Kill(of) | Fault::End(of) | Fault::EndUnheard(of) | Fault::Halt(of) => {
                            of.contains(who)
                        }
                        _ => false,
                    })
                };
                let asked: Vec<_> = (0..count).filter(|who| !struck(who)).take(3).collect();
                let rate = line.rate;
                let asking: Vec<_> = asked
                    .iter()
                    .filter_map(|&who| rig.process(who))
                    .map(|process| {
                        let address = process.address;
                        std::thread::spawn(move || {
                            let mix = vec![(0, 3), (1, 3), (2, 2), (3, 2)];
                            let stream = Stream {
                                tenant: "t",
                                group: 7,
                                rate,
                                mix,
                                from: Duration::ZERO,
                                till: span,
                                sessions: 20,
                            };
                            play(address, &OP_TYPES, &[stream], seed, |_| {})
                        })
                    })
                    .collect();
                let zero = rig.play(&plan, Duration::ZERO);
                match rig.agree(Duration::from_secs(if line.off { 0 } else { 20 })) {
                    Some(took) => views.push(took.as_secs_f64()),
                    None => never += 1,
                }
                for outcome in asking.into_iter().filter_map(|asking| asking.join().ok()) {
                    let stats = outcome.of_tenant("t");
                    (good, busy, sent) = (good + stats.good, busy + stats.busy, sent + stats.sent);
                    unanswered += stats.unanswered;
                }
                let now = rig.relays.passed();
                (datagrams, bytes) = (datagrams + now.0 - passed.0, bytes + now.1 - passed.1);
                ticks += rig.cost().0.saturating_sub(cost);
                seconds += (mono_us() - began) as f64 / 1e6;
                let history = rig.history();
                let gone: Vec<(usize, i64, i64)> = plan
                    .acts
                    .iter()
                    .flat_map(|act| {
                        let (Fault::Kill(who) | Fault::End(who) | Fault::EndUnheard(who)) = &act.fault else {
                            return Vec::new();
                        };
                        let from = zero + (act.at_ms - first) as i64 * 1000;
                        who.iter().map(|&who| (who, from, from + act.for_ms as i64 * 1000)).collect()
                    })
                    .collect();
                for &(of, from, till) in &gone {
                    for by in (0..count).filter(|by| !gone.iter().any(|(who, ..)| who == by)) {
                        let said = |over: bool| {
                            history.iter().find(|held| {
                                let so = held.is_over() || !over && held.standing != "Alive";
                                held.by == by
                                    && held.of == of
                                    && so
                                    && held.mono_us >= from
                                    && held.mono_us < till
                            })
                        };
                        let took = |over: bool| said(over).map(|held| (held.mono_us - from) as f64 / 1e6);
                        match took(false) {
                            Some(took) => known.push(took),
                            None => missed += 1,
                        }
                        dead.extend(took(true));
                    }
                }
                // A second is allowed for word of a former life that is still on its way.
                wrong += rig
                    .wrong(zero, |of, at| {
                        !gone
                            .iter()
                            .any(|&(who, from, till)| who == of && at >= from && at < till + 1_000_000)
                    })
                    .len();
            }
            known.sort_by(f64::total_cmp);
            dead.sort_by(f64::total_cmp);
            views.sort_by(f64::total_cmp);
            let each = seconds * count as f64;
            let view = percentile(&views, 1.0);
            table.add_row([
                count.to_string(),
                name.clone(),
                percentile(&known, 0.5),
                percentile(&known, 0.99),
                percentile(&known, 1.0),
                missed.to_string(),
                percentile(&dead, 0.99),
                wrong.to_string(),
                if never > 0 { format!("{view}, {never} never") } else { view },
                format!("{:.1}", datagrams as f64 / each),
                format!("{:.0}", bytes as f64 / each),
                format!("{:.2}", ticks as f64 * 10.0 / each),
                if sent == 0 { "-".to_string() } else { format!("{:.3}", good as f64 / sent as f64) },
                busy.to_string(),
                unanswered.to_string(),
            ]);
        }
    }
    println!("{table}");
    Ok(())
}
