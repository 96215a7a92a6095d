//! Measures how long a service is without a primary, by cause, in generated scenarios: the longest interval
//! around the fault without an acknowledged write of the service.

use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;
use hdrhistogram::Histogram;

use crate::scenario::{Fault, FaultKind, Scenario, run_scenario};

/// Maximum recorded duration in milliseconds.
const MAX_DURATION_MS: u64 = 100_000;

/// A service without an acknowledged write later than this after the fault has not recovered. The load lasts
/// longer.
const RECOVERY_TIMEOUT: TimeDelta = TimeDelta::from_millis(10_000);

/// Cause of a change of primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The process of the primary crashes.
    Crash,
    /// The host of the primary loses power.
    PowerLoss,
    /// A planned switchover.
    Switchover,
    /// The primary crashes while one replica has not received anything for three seconds.
    LaggingReplica,
    /// The primary crashes five seconds after one of its replicas.
    AfterReplicaCrash,
    /// The primary and a control machine crash at the same time. In a third of the cases, that control
    /// machine runs the promotions.
    WithControlCrash,
    /// The primary crashes while the platform is unavailable for two seconds.
    PlatformUnavailable,
}

impl Cause {
    /// All causes, in the order of the output.
    pub const ALL: [Cause; 7] = [
        Cause::Crash,
        Cause::PowerLoss,
        Cause::Switchover,
        Cause::LaggingReplica,
        Cause::AfterReplicaCrash,
        Cause::WithControlCrash,
        Cause::PlatformUnavailable,
    ];

    /// Name in the output.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Crash => "crash",
            Cause::PowerLoss => "dark",
            Cause::Switchover => "release",
            Cause::LaggingReplica => "behind a deaf replica",
            Cause::AfterReplicaCrash => "after a replica",
            Cause::WithControlCrash => "with a control machine",
            Cause::PlatformUnavailable => "without the platform",
        }
    }

    /// Returns a scenario with this cause, and the time of the fault.
    pub fn scenario(self, seed: u64) -> (Scenario, Timestamp) {
        let mut rng = Rng::with_seed(seed ^ 0xfa11);
        let at = 11.0 + 1.2 * rng.f64();
        let target_index = rng.usize(0..6);
        let fault = |kind, at, duration_s| Fault { at, duration_s, kind, target_index };
        let crash = fault(FaultKind::CrashPrimary, at, 20.0);
        let faults = match self {
            Cause::Crash => vec![crash],
            Cause::PowerLoss => vec![fault(FaultKind::DarkPrimary, at, 20.0)],
            Cause::Switchover => vec![fault(FaultKind::ReleasePrimary, at, 0.0)],
            // A commit needs a replica. After the promotion only the faulty one is left, so its fault must end,
            // or no write would be acknowledged.
            Cause::LaggingReplica => vec![fault(FaultKind::DeafReplica, at - 3.0, 3.2), crash],
            Cause::AfterReplicaCrash => vec![fault(FaultKind::CrashReplica, at - 5.0, 6.0), crash],
            Cause::WithControlCrash => vec![crash, fault(FaultKind::KillControl, at, 2.0)],
            Cause::PlatformUnavailable => vec![fault(FaultKind::PlatformAway, at - 0.1, 2.1), crash],
        };
        let scenario = Scenario {
            seed,
            controls: 3,
            routers: 3,
            services: 1,
            users: 8,
            seconds: 26.0,
            ..Scenario::default()
        };
        (Scenario { think_ms: 40, faults, ..scenario }, Timestamp::from_micros((at * 1e6) as i64))
    }
}

/// Percentiles of a measured duration, in milliseconds.
#[derive(Clone, Debug)]
pub struct DurationSummary {
    pub cases: u64,
    pub p50_ms: u64,
    pub p99_ms: u64,
    pub worst_ms: u64,
    /// Cases that did not recover.
    pub unrecovered: u64,
    /// Runs with a violated invariant.
    pub runs_with_violations: u64,
}

/// Longest gap between two consecutive acknowledgements that ends after `from`. `None` if none follows
/// `until`: one acknowledgement shortly after the fault is not a recovery.
pub fn longest_gap(acknowledged: &[Timestamp], from: Timestamp, until: Timestamp) -> Option<TimeDelta> {
    acknowledged.last().filter(|last| **last > until)?;
    let pairs = acknowledged.windows(2).filter(|pair| pair[1] > from);
    pairs.map(|pair| pair[1] - pair[0]).max()
}

/// Measures `cases` generated scenarios of one cause.
pub fn measure_outages(cause: Cause, cases: u64, first_seed: u64) -> DurationSummary {
    summarize_runs(cases, first_seed, |seed| {
        let (scenario, at) = cause.scenario(seed);
        let result = run_scenario(&scenario);
        let gap = |writes: &Vec<Timestamp>| longest_gap(writes, at, at + RECOVERY_TIMEOUT);
        (result.write_times.values().filter_map(gap).max(), !result.violations.is_empty())
    })
}

/// Summarizes `cases` runs with consecutive seeds. `run_case` returns a duration, if there was a recovery, and
/// whether an invariant was violated.
pub fn summarize_runs(
    cases: u64,
    first_seed: u64,
    run_case: impl Fn(u64) -> (Option<TimeDelta>, bool),
) -> DurationSummary {
    let mut histogram =
        Histogram::<u64>::new_with_max(MAX_DURATION_MS, 3).expect("three significant digits are valid");
    let (mut unrecovered, mut runs_with_violations) = (0, 0);
    for seed in first_seed..first_seed + cases {
        let (gap, has_violation) = run_case(seed);
        runs_with_violations += u64::from(has_violation);
        match gap {
            Some(gap) => histogram.saturating_record((gap.micros() / 1000).max(0) as u64),
            None => unrecovered += 1,
        }
    }
    let percentile = |quantile| histogram.value_at_quantile(quantile);
    DurationSummary {
        cases,
        p50_ms: percentile(0.5),
        p99_ms: percentile(0.99),
        worst_ms: histogram.max(),
        unrecovered,
        runs_with_violations,
    }
}
