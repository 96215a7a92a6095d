//! How long statements of a op_type take, by which an answer that is lost is told from one that is late.

use arrowyard_types::{OpTypeId, TimeDelta};
use rustc_hash::FxHashMap;

/// The share of statements that are quicker than what is kept.
const SHARE: f64 = 0.995;
/// How far one statement moves it, as a share of itself.
const STEP: f64 = 0.05;
/// What is taken before any is known, and the least.
const FIRST: TimeDelta = TimeDelta::from_millis(250);
const LEAST: TimeDelta = TimeDelta::from_millis(20);

/// A running quantile for each op_type, moved by each statement (Robbins and Monro).
#[derive(Debug, Default)]
pub struct LatencyEstimates {
    by_op_type: FxHashMap<OpTypeId, TimeDelta>,
}

impl LatencyEstimates {
    pub fn record(&mut self, op_type: OpTypeId, took: TimeDelta) {
        let known = self.by_op_type.entry(op_type).or_insert(FIRST);
        let step = *known * STEP;
        *known = if took > *known { *known + step * SHARE } else { *known - step * (1.0 - SHARE) };
        *known = (*known).max(LEAST);
    }

    /// What all but a few of a op_type are quicker than.
    pub fn high_quantile(&self, op_type: OpTypeId) -> TimeDelta {
        self.by_op_type.get(&op_type).copied().unwrap_or(FIRST)
    }
}
