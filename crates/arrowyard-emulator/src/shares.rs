//! Load surge of one kind of requests, and the share of their throughput that the other kinds keep.

use arrowyard_types::Timestamp;

use crate::deployment::Surge;
use crate::scenario::{Fault, FaultKind, RunResult, Scenario, run_scenario};

/// Start of the surge, in seconds.
pub const SURGE_START_S: f64 = 6.0;
/// End of the surge, in seconds.
pub const SURGE_END_S: f64 = 13.0;
/// Ratio of operations within the latency target above which a window counts as met.
pub const TARGET_RATIO: f64 = 0.9;

/// Statistics of one kind of requests during the surge.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SurgeStats {
    pub kind: &'static str,
    /// Operations that started during the surge.
    pub total: u64,
    /// Ratio of operations within the latency target.
    pub within_target: f64,
    /// Share of the 100 ms windows that met [`TARGET_RATIO`].
    pub windows_met: f64,
    /// Lowest ratio of operations within the latency target in a second.
    pub worst_second: f64,
    /// 99th percentile of the latency over the whole run.
    pub p99_ms: f64,
}

/// Surge scenario: bounded-staleness reads with five times the work per statement arrive at about 20 times
/// the usual rate in each of `services`. With `with_faults`, one primary is replaced and another crashes
/// during the surge, replies are lost, and a router is killed.
#[must_use]
pub fn surge_scenario(
    seed: u64,
    routers: usize,
    services: usize,
    divide_hosts: bool,
    with_faults: bool,
) -> Scenario {
    let surge = Surge {
        at: SURGE_START_S,
        duration_s: SURGE_END_S - SURGE_START_S,
        kind: "bounded".to_string(),
        users: 260,
        think_ms: 50,
        expensive: true,
        routers: Vec::new(),
    };
    let fault = |at, duration_s, kind, target_index| Fault { at, duration_s, kind, target_index };
    let faults = vec![
        fault(7.5, 3.0, FaultKind::ReleasePrimary, 0),
        fault(9.0, 2.0, FaultKind::LoseAnswers, 1),
        fault(10.0, 3.0, FaultKind::CrashPrimary, 1),
        fault(10.5, 1.0, FaultKind::KillRouter, 1),
    ];
    Scenario {
        seed,
        routers,
        services,
        users: 20,
        think_ms: 120,
        seconds: 17.5,
        faults: if with_faults { faults } else { Vec::new() },
        surges: vec![surge],
        divide_hosts,
        ..Scenario::default()
    }
}

fn timestamp(seconds: f64) -> Timestamp {
    Timestamp::from_micros((seconds * 1e6) as i64)
}

/// Statistics of each kind during the surge.
#[must_use]
pub fn surge_stats(result: &RunResult) -> Vec<SurgeStats> {
    let stats_of = |(kind, stats): (&&'static str, &crate::KindStats)| {
        let (windows_met, worst_second) =
            stats.window_stats(timestamp(SURGE_START_S), timestamp(SURGE_END_S), TARGET_RATIO);
        let mut durations = stats.durations.clone();
        durations.sort_unstable();
        let p99 = durations.get(durations.len().saturating_sub(1) * 99 / 100);
        let (total, within_target) = stats.count_between(timestamp(SURGE_START_S), timestamp(SURGE_END_S));
        let within_target = within_target as f64 / total.max(1) as f64;
        SurgeStats {
            kind,
            total,
            within_target,
            windows_met,
            worst_second,
            p99_ms: p99.map_or(0.0, |p99| p99.as_secs_f64() * 1000.0),
        }
    };
    result.stats_by_kind.iter().map(stats_of).collect()
}

/// When the idle kind starts to send requests, in seconds.
const RETURN_AT_S: f64 = 9.5;

/// Scenario in which a kind is idle until the surge occupies the hosts and then returns at once.
#[must_use]
pub fn returning_kind_scenario(seed: u64, routers: usize) -> Scenario {
    let returning_load = Surge {
        at: RETURN_AT_S,
        duration_s: SURGE_END_S - RETURN_AT_S,
        kind: "primary".to_string(),
        users: 30,
        think_ms: 50,
        expensive: false,
        routers: Vec::new(),
    };
    let mut scenario = surge_scenario(seed, routers, 1, true, false);
    scenario.users = 1;
    scenario.surges.push(returning_load);
    scenario
}

/// Time in milliseconds until the returning kind has its throughput: 0.95 of the operations that start in the
/// next half second are within the latency target. `None` if that is never the case.
#[must_use]
pub fn recovery_time_ms(seed: u64, routers: usize) -> Option<i64> {
    let result = run_scenario(&returning_kind_scenario(seed, routers));
    let stats = result.stats_by_kind.get("primary")?;
    let (from, until) = ((RETURN_AT_S * 10.0) as i64, (SURGE_END_S * 10.0) as i64 - 5);
    let window_start = |window: i64| Timestamp::from_micros(window * 100_000);
    let meets_target = |window: &i64| {
        let (total, within_target) = stats.count_between(window_start(*window), window_start(*window + 5));
        total > 0 && within_target as f64 >= 0.95 * total as f64
    };
    (from..until).find(meets_target).map(|window| (window - from) * 100)
}

/// Runs `cases` scenarios with a returning kind and prints percentiles of its recovery time.
pub fn print_recovery_times(cases: u64, routers: usize) {
    let mut times: Vec<Option<i64>> = (1..=cases).map(|seed| recovery_time_ms(seed, routers)).collect();
    times.sort_unstable_by_key(|time| time.unwrap_or(i64::MAX));
    let percentile = |quantile: f64| {
        times.get((((cases as f64) * quantile).ceil() as usize).saturating_sub(1)).copied().flatten()
    };
    let format_time = |time: Option<i64>| time.map_or("never".to_string(), |ms| format!("{ms} ms"));
    println!(
        "{cases} days, {routers} routers: back within p50 {}, p99 {}, worst {}",
        format_time(percentile(0.5)),
        format_time(percentile(0.99)),
        format_time(percentile(1.0))
    );
}

/// Runs the surge scenario with and without division of hosts and prints the statistics; returns the last
/// run.
pub fn print_comparison(
    routers: &[usize],
    services: usize,
    with_faults: bool,
    seed: u64,
) -> Option<(Scenario, RunResult)> {
    let mut last_run = None;
    println!(
        "{:>7}  {:>8}  {:>8}  {:>7}  {:>6}  {:>7}  {:>6}  {:>7}  {:>7}  {:>10}  {:>9}  broken",
        "routers",
        "divided",
        "kind",
        "asked",
        "in aim",
        "windows",
        "worst",
        "p99 ms",
        "all run",
        "control KB",
        "its ms"
    );
    for &routers in routers {
        for divide_hosts in [false, true] {
            let scenario = surge_scenario(seed, routers, services, divide_hosts, with_faults);
            let result = run_scenario(&scenario);
            for stats in surge_stats(&result) {
                println!(
                    "{routers:>7}  {:>8}  {:>8}  {:>7}  {:>6.3}  {:>7.3}  {:>6.3}  {:>7.0}  {:>7}  {:>10.0}  {:>9.1}  {}",
                    if divide_hosts { "yes" } else { "no" },
                    stats.kind,
                    stats.total,
                    stats.within_target,
                    stats.windows_met,
                    stats.worst_second,
                    stats.p99_ms,
                    result.statements_run,
                    result.control_cost.0 as f64 / 1e3,
                    result.control_cost.1.as_secs_f64() * 1e3,
                    result.violations.len()
                );
            }
            last_run = Some((scenario, result));
        }
    }
    last_run
}
