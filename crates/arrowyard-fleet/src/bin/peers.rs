//! Runs fault plans in simulated time against arrowyard's membership protocol and two baselines, and prints a
//! table of the results.

use arrowyard_fleet::membership::{
    ArrowyardNode, HeartbeatNode, MemberState, MembershipSimulation, Node, SwimNode,
};
use arrowyard_testbed::plan::{Fault, Plan};
use arrowyard_types::{TimeDelta, Timestamp};
use clap::Parser;
use comfy_table::{Table, presets};

#[derive(Parser)]
struct CommandLine {
    /// Number of routers in the fleet.
    #[arg(long, value_delimiter = ',', default_values_t = [30])]
    routers: Vec<usize>,
    /// Names or files of fault plans; all named plans if none is given.
    plans: Vec<String>,
    /// Runs of each plan, with different seeds.
    #[arg(long, default_value_t = 3)]
    plays: u64,
    /// Protocols to run: ours, swim, heartbeats.
    #[arg(long, value_delimiter = ',', default_values = ["ours", "swim", "heartbeats"])]
    ways: Vec<String>,
    /// Print for each second how many members the routers see as alive: the fewest, the median, the most.
    #[arg(long)]
    seconds: bool,
}

fn new_node(protocol: &str, now: Timestamp, index: usize, count: usize, seed: u64) -> Box<dyn Node> {
    match protocol {
        "swim" => Box::new(SwimNode::new(now, index, count, seed)),
        "heartbeats" => Box::new(HeartbeatNode::new(now, index, count, seed)),
        _ => Box::new(ArrowyardNode::new(now, index, &[0, 1, 2], count as f64, seed)),
    }
}

fn percentile(sorted: &[f64], fraction: f64) -> String {
    if sorted.is_empty() {
        return "-".to_string();
    }
    format!("{:.2}", sorted[((sorted.len() - 1) as f64 * fraction).round() as usize])
}

fn print_alive_counts(simulation: &MembershipSimulation, at_ms: u64) {
    let mut counts: Vec<usize> = simulation.alive_counts().into_iter().flatten().collect();
    counts.sort_unstable();
    if let [fewest, .., most] = counts[..] {
        let (index, not_alive) = simulation.least_complete_view();
        let not_alive = not_alive.into_iter().take(3).collect::<Vec<_>>().join("; ");
        let median = counts[counts.len() / 2];
        eprintln!(
            "{at_ms} ms: {} routers run and see {fewest}, {median}, {most} as alive; n{index} does not see: {not_alive}",
            counts.len()
        );
    }
}

fn main() {
    let command_line = CommandLine::parse();
    let plan_names: Vec<String> = if command_line.plans.is_empty() {
        Plan::NAMES.iter().map(ToString::to_string).collect()
    } else {
        command_line.plans
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
    for &count in &command_line.routers {
        for plan_name in &plan_names {
            for protocol in &command_line.ways {
                let (mut detection_times, mut death_times, mut convergence_times) =
                    (Vec::new(), Vec::new(), Vec::new());
                let (mut false_deaths, mut undetected, mut not_converged) = (0, 0, 0);
                let (mut datagrams, mut bytes, mut cpu_micros) = (0.0, 0.0, 0.0);
                for run in 0..command_line.plays {
                    let plan = Plan::named(plan_name, count)
                        .or_else(|| Plan::from_json(&std::fs::read_to_string(plan_name).ok()?).ok());
                    let Some(plan) = plan else {
                        eprintln!("{plan_name}: neither a plan's name nor its file");
                        std::process::exit(2);
                    };
                    let plan = Plan { seed: run + 1, ..plan };
                    let node_protocol = protocol.clone();
                    let mut simulation = MembershipSimulation::new(
                        plan.clone(),
                        Box::new(move |now, index, seed| new_node(&node_protocol, now, index, count, seed)),
                    );
                    let started_at = simulation.now;
                    let last_fault_end = plan
                        .faults
                        .iter()
                        .map(|planned_fault| planned_fault.at_ms + planned_fault.duration_ms)
                        .max()
                        .unwrap_or(0);
                    for second in
                        (1..=last_fault_end.min(plan.span_ms) / 1000).filter(|_| command_line.seconds)
                    {
                        simulation.run_until(TimeDelta::from_millis(second as i64 * 1000));
                        print_alive_counts(&simulation, second * 1000);
                    }
                    simulation.run_until(TimeDelta::from_millis(last_fault_end.min(plan.span_ms) as i64));
                    let mut at_ms = last_fault_end;
                    while at_ms < plan.span_ms && !simulation.is_converged() {
                        at_ms += 50;
                        simulation.run_until(TimeDelta::from_millis(at_ms as i64));
                        if command_line.seconds && at_ms.is_multiple_of(1000) {
                            print_alive_counts(&simulation, at_ms);
                        }
                    }
                    if simulation.is_converged() {
                        convergence_times.push((at_ms - last_fault_end) as f64 / 1e3)
                    } else {
                        not_converged += 1
                    }
                    simulation.run_until(TimeDelta::from_millis(plan.span_ms as i64));
                    let stats = &simulation.stats;
                    false_deaths += stats.false_deaths.len();
                    let router_seconds = count as f64 * plan.span_ms as f64 / 1e3;
                    datagrams += stats.datagrams as f64 / router_seconds;
                    bytes += stats.bytes as f64 / router_seconds;
                    cpu_micros += stats.node_time.as_secs_f64() * 1e6 / router_seconds;
                    for planned_fault in &plan.faults {
                        let (Fault::Kill(stopped)
                        | Fault::SilentShutdown(stopped)
                        | Fault::Shutdown(stopped)) = &planned_fault.fault
                        else {
                            continue;
                        };
                        let fault_start = started_at + TimeDelta::from_millis(planned_fault.at_ms as i64);
                        let fault_end =
                            fault_start + TimeDelta::from_millis(planned_fault.duration_ms as i64);
                        for &subject in stopped {
                            for observer in (0..count).filter(|observer| !stopped.contains(observer)) {
                                let detection_time = |min_state: MemberState| {
                                    let detects = |&&(at, by, member, state): &&(
                                        Timestamp,
                                        usize,
                                        usize,
                                        MemberState,
                                    )| {
                                        at >= fault_start
                                            && at < fault_end
                                            && by == observer
                                            && member == subject
                                            && state >= min_state
                                    };
                                    stats
                                        .state_changes
                                        .iter()
                                        .find(detects)
                                        .map(|(at, ..)| (*at - fault_start).as_secs_f64())
                                };
                                match detection_time(MemberState::Silent) {
                                    Some(seconds) => detection_times.push(seconds),
                                    None => undetected += 1,
                                }
                                death_times.extend(detection_time(MemberState::Dead));
                            }
                        }
                    }
                }
                let runs = command_line.plays as f64;
                detection_times.sort_by(f64::total_cmp);
                death_times.sort_by(f64::total_cmp);
                convergence_times.sort_by(f64::total_cmp);
                let slowest_convergence = percentile(&convergence_times, 1.0);
                table.add_row([
                    count.to_string(),
                    plan_name.clone(),
                    protocol.clone(),
                    percentile(&detection_times, 0.5),
                    percentile(&detection_times, 0.99),
                    percentile(&detection_times, 1.0),
                    undetected.to_string(),
                    percentile(&death_times, 0.99),
                    false_deaths.to_string(),
                    if not_converged > 0 {
                        format!("{slowest_convergence}, {not_converged} never")
                    } else {
                        slowest_convergence
                    },
                    format!("{:.1}", datagrams / runs),
                    format!("{:.0}", bytes / runs),
                    format!("{:.0}", cpu_micros / runs),
                ]);
            }
        }
    }
    println!("{table}");
}
