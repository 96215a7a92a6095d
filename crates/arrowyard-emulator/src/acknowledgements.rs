//! Measures how long configuration changes wait for an acknowledgement during a fault of a control machine.
//! The operator sends a change once the previous one is acknowledged, at most ten per second. The result is
//! the longest gap between acknowledgements around the fault.

use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;

use crate::failover::{DurationSummary, longest_gap, summarize_runs};
use crate::scenario::{Fault, FaultKind, Scenario, run_scenario};

/// Time of the first change, in seconds.
const FIRST_CHANGE_S: f64 = 4.0;
/// Interval of the changes, in seconds.
const CHANGE_INTERVAL_S: f64 = 0.1;
const CHANGE_COUNT: u32 = 160;

/// Measured faults of one control machine of three, or of four where it is replaced.
pub const CONTROL_FAULTS: [FaultKind; 10] = [
    FaultKind::KillControl,
    FaultKind::DarkControl,
    FaultKind::WipeControl,
    FaultKind::ReplaceControl,
    FaultKind::FreezeControl,
    FaultKind::CutControl,
    FaultKind::MuteControl,
    FaultKind::DeafControl,
    FaultKind::RefuseDisk,
    FaultKind::HangDisk,
];

/// Returns a scenario with this fault, and the start and the end of the fault.
fn scenario(fault_kind: FaultKind, seed: u64) -> (Scenario, Timestamp, Timestamp) {
    let mut rng = Rng::with_seed(seed ^ 0xacc5);
    let (at, duration_s) = (8.0 + rng.f64(), 3.0 + 2.0 * rng.f64());
    let fault = Fault { at, duration_s, kind: fault_kind, target_index: rng.usize(0..6) };
    let changes =
        (0..CHANGE_COUNT).map(|number| FIRST_CHANGE_S + CHANGE_INTERVAL_S * f64::from(number)).collect();
    let controls = if fault_kind == FaultKind::ReplaceControl { 4 } else { 3 };
    let scenario =
        Scenario { seed, controls, routers: 2, services: 1, users: 1, seconds: 26.0, ..Scenario::default() };
    let timestamp = |seconds: f64| Timestamp::from_micros((seconds * 1e6) as i64);
    (
        Scenario { think_ms: 400, changes, faults: vec![fault], ..scenario },
        timestamp(at),
        timestamp(at + duration_s),
    )
}

/// Measures `cases` generated scenarios of one fault.
pub fn measure_acknowledgement_gaps(fault_kind: FaultKind, cases: u64, first_seed: u64) -> DurationSummary {
    summarize_runs(cases, first_seed, |seed| {
        let (scenario, fault_start, fault_end) = scenario(fault_kind, seed);
        let result = run_scenario(&scenario);
        (longest_gap(&result.change_times, fault_start, fault_end), !result.violations.is_empty())
    })
}

/// Maximum gap between acknowledgements during a fault of one control machine. A call times out after a
/// second, and then the next machine is tried.
pub const MAX_GAP: TimeDelta = TimeDelta::from_millis(1500);
