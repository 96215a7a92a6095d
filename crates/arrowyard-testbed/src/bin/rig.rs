//! Runs fault plans with a fleet of real router processes and prints how fast faults were detected.

use std::time::Duration;

use arrowyard_testbed::load::{TenantLoad, run_load};
use arrowyard_testbed::plan::{Fault, Plan};
use arrowyard_testbed::rig::{Rig, RigConfig, monotonic_us};
use arrowyard_testbed::router::{OP_TYPES, sibling_program};
use clap::Parser;
use comfy_table::{Table, presets};

#[derive(Parser)]
struct Args {
    /// Sizes of the fleet.
    #[arg(long, value_delimiter = ',', default_values_t = [8])]
    processes: Vec<usize>,
    /// Names or files of plans.
    #[arg(required = true)]
    plans: Vec<String>,
    /// Number of runs of each plan.
    #[arg(long, default_value_t = 1)]
    plays: u64,
    /// Ops per second at each of three processes that no fault stops.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Run without membership.
    #[arg(long = "off")]
    without_membership: bool,
}

fn percentile(sorted: &[f64], share: f64) -> String {
    match sorted.len() {
        0 => "-".to_string(),
        count => format!("{:.2}", sorted[((count - 1) as f64 * share).round() as usize]),
    }
}

fn main() -> Result<(), String> {
    let args = Args::parse();
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header([
        "processes",
        "plan",
        "detected p50 s",
        "p99",
        "max",
        "not detected",
        "dead p99",
        "false deaths",
        "agreement after s",
        "datagrams/s",
        "bytes/s",
        "CPU ms/s",
        "ops in target",
        "busy",
        "unanswered",
    ]);
    for &count in &args.processes {
        for name in &args.plans {
            let (mut detection_times, mut death_times, mut agreement_times) =
                (Vec::new(), Vec::new(), Vec::new());
            let (mut undetected, mut false_deaths, mut not_agreed) = (0, 0, 0);
            let (mut datagrams, mut bytes, mut ticks, mut seconds) = (0, 0, 0, 0.0);
            let (mut in_target, mut busy, mut sent, mut unanswered) = (0, 0, 0, 0);
            for seed in 1..=args.plays {
                let plan = Plan::named(name, count)
                    .or_else(|| Plan::from_json(&std::fs::read_to_string(name).ok()?).ok());
                let plan = plan.ok_or_else(|| format!("{name}: neither the name nor the file of a plan"))?;
                let plan = Plan { seed, ..plan };
                let config =
                    RigConfig { seed, without_membership: args.without_membership, ..RigConfig::new(count) };
                let mut rig = Rig::start(&sibling_program("arrowyard"), config)?;
                if !args.without_membership && rig.wait_for_agreement(Duration::from_secs(30)).is_none() {
                    return Err(format!("{count} processes do not agree on the fleet"));
                }
                let (traffic_before, ticks_before, began_us) =
                    (rig.peer_relays.traffic(), rig.resource_usage().0, monotonic_us());
                let first_ms = plan.faults.iter().map(|planned| planned.at_ms).min().unwrap_or_default();
                let last_ms = plan
                    .faults
                    .iter()
                    .map(|planned| planned.at_ms + planned.duration_ms)
                    .max()
                    .unwrap_or(first_ms + 20_000);
                let duration = Duration::from_millis(last_ms - first_ms);
                // Ops are sent to processes that no fault stops, if there are any.
                let is_stopped = |process: &usize| {
                    plan.faults.iter().any(|planned| match &planned.fault {
                        Fault::Kill(stopped)
                        | Fault::Shutdown(stopped)
                        | Fault::SilentShutdown(stopped)
                        | Fault::Pause(stopped) => stopped.contains(process),
                        _ => false,
                    })
                };
                let loaded_processes: Vec<_> =
                    (0..count).filter(|process| !is_stopped(process)).take(3).collect();
                let rate = args.rate;
                let load_threads: Vec<_> = loaded_processes
                    .iter()
                    .filter_map(|&process| rig.process(process))
                    .map(|process| {
                        let address = process.address;
                        std::thread::spawn(move || {
                            let mix = vec![(0, 3), (1, 3), (2, 2), (3, 2)];
                            let load = TenantLoad {
                                tenant: "t",
                                group: 7,
                                rate,
                                mix,
                                start: Duration::ZERO,
                                end: duration,
                                sessions: 20,
                            };
                            run_load(address, &OP_TYPES, &[load], seed, |_| {})
                        })
                    })
                    .collect();
                let plan_start_us = rig.run_plan(&plan, Duration::ZERO);
                match rig.wait_for_agreement(Duration::from_secs(if args.without_membership {
                    0
                } else {
                    20
                })) {
                    Some(elapsed) => agreement_times.push(elapsed.as_secs_f64()),
                    None => not_agreed += 1,
                }
                for result in load_threads.into_iter().filter_map(|load_thread| load_thread.join().ok()) {
                    let stats = result.tenant_stats("t");
                    (in_target, busy, sent) =
                        (in_target + stats.in_target, busy + stats.busy, sent + stats.sent);
                    unanswered += stats.unanswered;
                }
                let traffic = rig.peer_relays.traffic();
                (datagrams, bytes) =
                    (datagrams + traffic.0 - traffic_before.0, bytes + traffic.1 - traffic_before.1);
                ticks += rig.resource_usage().0.saturating_sub(ticks_before);
                seconds += (monotonic_us() - began_us) as f64 / 1e6;
                let changes = rig.standing_changes();
                // Processes that were down, with the time in which they were.
                let outages: Vec<(usize, i64, i64)> = plan
                    .faults
                    .iter()
                    .flat_map(|planned| {
                        let (Fault::Kill(processes)
                        | Fault::Shutdown(processes)
                        | Fault::SilentShutdown(processes)) = &planned.fault
                        else {
                            return Vec::new();
                        };
                        let start_us = plan_start_us + (planned.at_ms - first_ms) as i64 * 1000;
                        processes
                            .iter()
                            .map(|&process| (process, start_us, start_us + planned.duration_ms as i64 * 1000))
                            .collect()
                    })
                    .collect();
                for &(member, start_us, end_us) in &outages {
                    for observer in
                        (0..count).filter(|observer| !outages.iter().any(|(process, ..)| process == observer))
                    {
                        let first_change = |dead_only: bool| {
                            changes.iter().find(|change| {
                                let is_detection =
                                    change.is_lost_or_dead() || !dead_only && change.standing != "Alive";
                                change.observer == observer
                                    && change.member == member
                                    && is_detection
                                    && change.mono_us >= start_us
                                    && change.mono_us < end_us
                            })
                        };
                        let detection_time = |dead_only: bool| {
                            first_change(dead_only).map(|change| (change.mono_us - start_us) as f64 / 1e6)
                        };
                        match detection_time(false) {
                            Some(elapsed) => detection_times.push(elapsed),
                            None => undetected += 1,
                        }
                        death_times.extend(detection_time(true));
                    }
                }
                // Rumors about the former incarnation may arrive for a second after the restart.
                false_deaths += rig
                    .false_deaths(plan_start_us, |member, time_us| {
                        !outages.iter().any(|&(process, start_us, end_us)| {
                            process == member && time_us >= start_us && time_us < end_us + 1_000_000
                        })
                    })
                    .len();
            }
            detection_times.sort_by(f64::total_cmp);
            death_times.sort_by(f64::total_cmp);
            agreement_times.sort_by(f64::total_cmp);
            let process_seconds = seconds * count as f64;
            let agreement = percentile(&agreement_times, 1.0);
            table.add_row([
                count.to_string(),
                name.clone(),
                percentile(&detection_times, 0.5),
                percentile(&detection_times, 0.99),
                percentile(&detection_times, 1.0),
                undetected.to_string(),
                percentile(&death_times, 0.99),
                false_deaths.to_string(),
                if not_agreed > 0 { format!("{agreement}, {not_agreed} never") } else { agreement },
                format!("{:.1}", datagrams as f64 / process_seconds),
                format!("{:.0}", bytes as f64 / process_seconds),
                format!("{:.2}", ticks as f64 * 10.0 / process_seconds),
                if sent == 0 { "-".to_string() } else { format!("{:.3}", in_target as f64 / sent as f64) },
                busy.to_string(),
                unanswered.to_string(),
            ]);
        }
    }
    println!("{table}");
    Ok(())
}
