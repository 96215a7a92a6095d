//! Running latency estimates by op type, used to tell a lost answer from a slow one.

use arrowyard_types::{OpTypeId, TimeDelta};
use rustc_hash::FxHashMap;

/// The estimated quantile.
const QUANTILE: f64 = 0.995;
/// Step of one observation, as a fraction of the estimate.
const STEP_FRACTION: f64 = 0.05;
/// Estimate of an op type without observations, and the lower bound of all estimates.
const INITIAL_ESTIMATE: TimeDelta = TimeDelta::from_millis(250);
const MIN_ESTIMATE: TimeDelta = TimeDelta::from_millis(20);

/// A high latency quantile of each op type, estimated by stochastic approximation (Robbins and Monro).
#[derive(Debug, Default)]
pub struct LatencyEstimates {
    by_op_type: FxHashMap<OpTypeId, TimeDelta>,
}

impl LatencyEstimates {
    /// Records the latency of one statement.
    pub fn record(&mut self, op_type: OpTypeId, latency: TimeDelta) {
        let estimate = self.by_op_type.entry(op_type).or_insert(INITIAL_ESTIMATE);
        let step = *estimate * STEP_FRACTION;
        *estimate = if latency > *estimate {
            *estimate + step * QUANTILE
        } else {
            *estimate - step * (1.0 - QUANTILE)
        };
        *estimate = (*estimate).max(MIN_ESTIMATE);
    }

    /// The latency that all but a few statements of an op type stay below.
    pub fn high_quantile(&self, op_type: OpTypeId) -> TimeDelta {
        self.by_op_type.get(&op_type).copied().unwrap_or(INITIAL_ESTIMATE)
    }
}
