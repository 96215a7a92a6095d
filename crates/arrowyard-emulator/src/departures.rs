//! Measures how long a draining replica still receives requests after its drain was acknowledged, during a
//! fault of a control machine. The host records the requests that it receives.

use arrowyard_types::TimeDelta;
use fastrand::Rng;

use crate::failover::{DurationSummary, summarize_runs};
use crate::scenario::{Fault, FaultKind, Scenario, run_scenario};

/// Numbers of routers and users and the think time, with which each router sends the replica about twenty
/// requests per second.
const ROUTERS: usize = 6;
const USERS: usize = 12;
const THINK_MS: i64 = 25;
/// Start of the drain, in seconds.
const DRAIN_AT_S: f64 = 8.0;
/// Length of the interval in which the control fault starts, in seconds. It ends half a second after the start
/// of the drain.
const FAULT_START_RANGE_S: f64 = 2.0;

/// Scenario with a draining replica and an optional fault of a control machine.
fn scenario(fault_kind: Option<FaultKind>, seed: u64) -> Scenario {
    let mut rng = Rng::with_seed(seed ^ 0xdeb);
    let drain = Fault {
        at: DRAIN_AT_S,
        duration_s: 0.0,
        kind: FaultKind::ReleaseReplica,
        target_index: rng.usize(0..2),
    };
    let at = DRAIN_AT_S + 0.5 - FAULT_START_RANGE_S * rng.f64();
    let control_fault =
        |kind| Fault { at, duration_s: 3.0 + 2.0 * rng.f64(), kind, target_index: rng.usize(0..6) };
    let faults = [drain].into_iter().chain(fault_kind.map(control_fault)).collect();
    let controls = if fault_kind == Some(FaultKind::ReplaceControl) { 4 } else { 3 };
    let scenario =
        Scenario { seed, controls, routers: ROUTERS, services: 1, users: USERS, ..Scenario::default() };
    Scenario { seconds: 17.0, think_ms: THINK_MS, faults, ..scenario }
}

/// Measures `cases` generated scenarios of one fault, or of none.
pub fn measure_requests_after_drain(
    fault_kind: Option<FaultKind>,
    cases: u64,
    first_seed: u64,
) -> DurationSummary {
    summarize_runs(cases, first_seed, |seed| {
        let result = run_scenario(&scenario(fault_kind, seed));
        (Some(result.last_request_after_drain.unwrap_or(TimeDelta::ZERO)), !result.violations.is_empty())
    })
}
