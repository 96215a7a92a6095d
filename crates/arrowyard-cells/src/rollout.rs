//! Limits the blast radius of a rollout of host software. Cells receive it one after another. The outcomes of
//! hosts that restarted are compared with those of all other hosts by Wald's sequential probability ratio
//! test. Until the rollout is verified in a cell, restarted hosts of the cells after it receive only a small
//! part of their traffic. The router never advances a rollout by itself.

use arrowyard_types::{CellId, TimeDelta, Timestamp};

use crate::layout::RolloutConfig;

/// Factor on the size of a restarted host, and thereby on its traffic, while the rollout is unverified in an
/// earlier cell.
pub const UNVERIFIED_TRUST: f64 = 0.1;
/// Lower bound of the baseline error rate. With a baseline of zero a single error would fail the rollout.
const MIN_ERROR_RATE: f64 = 0.002;
/// Weight of one outcome in the moving average of the baseline error rate.
const ERROR_RATE_SMOOTHING: f64 = 0.002;

/// Verdict on the rollout in a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutVerdict {
    /// No host restarted, or there is not enough evidence.
    Open,
    Good,
    Bad,
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    /// Log-likelihood ratio of a bad rollout against a good one.
    evidence: f64,
    verdict: RolloutVerdict,
    /// When a host of the cell last restarted.
    last_restart: Option<Timestamp>,
}

/// Trials of the cells, in rollout order.
#[derive(Clone, Debug)]
pub struct Rollout {
    config: RolloutConfig,
    trials: Vec<Trial>,
    /// Error rate of hosts that did not restart.
    baseline_error_rate: f64,
}

/// A verdict that has just changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VerdictChange {
    /// The cell whose verdict changed.
    pub cell: CellId,
    /// The new verdict.
    pub verdict: RolloutVerdict,
}

/// Why the rollout is not extended to a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutBlocked {
    /// The first earlier cell without a good verdict.
    pub blocked_by: CellId,
    /// Whether the rollout failed there; otherwise it is unverified.
    pub failed: bool,
}

impl Rollout {
    /// Creates a rollout without evidence on any cell.
    pub fn new(config: RolloutConfig) -> Self {
        let trial = Trial { evidence: 0.0, verdict: RolloutVerdict::Open, last_restart: None };
        Rollout { trials: vec![trial; config.order.len()], config, baseline_error_rate: MIN_ERROR_RATE }
    }

    fn position(&self, cell: CellId) -> Option<usize> {
        self.config.order.iter().position(|&other| other == cell)
    }

    /// Records that a host of the cell restarted at `at`. Restarts within `within` of the previous one
    /// belong to the same trial; a later one starts a new trial.
    pub fn host_restarted(&mut self, cell: CellId, at: Timestamp, within: TimeDelta) {
        let Some(position) = self.position(cell) else { return };
        let trial = &mut self.trials[position];
        if trial.last_restart.is_none_or(|last| at - last > within) {
            (trial.evidence, trial.verdict) = (0.0, RolloutVerdict::Open);
        }
        trial.last_restart = Some(at).max(trial.last_restart);
    }

    /// Records the outcome of a send. `restarted_in` is the host's cell if the host restarted during that
    /// cell's trial, and `None` for all other hosts.
    pub fn record_outcome(&mut self, restarted_in: Option<CellId>, failed: bool) -> Option<VerdictChange> {
        let Some(position) = restarted_in.and_then(|cell| self.position(cell)) else {
            self.baseline_error_rate +=
                (f64::from(u8::from(failed)) - self.baseline_error_rate) * ERROR_RATE_SMOOTHING;
            return None;
        };
        let baseline = self.baseline_error_rate.clamp(MIN_ERROR_RATE, 0.4);
        let failing_rate = (baseline * self.config.error_rate_ratio).min((1.0 + baseline) * 0.5);
        let bound = ((1.0 - self.config.error_probability) / self.config.error_probability).ln();
        let trial = &mut self.trials[position];
        if trial.verdict == RolloutVerdict::Bad {
            return None;
        }
        let likelihood_ratio =
            if failed { failing_rate / baseline } else { (1.0 - failing_rate) / (1.0 - baseline) };
        // The test continues after a good verdict, and the clamp bounds its accumulated evidence: without it
        // a rollout that degrades late would be detected late.
        trial.evidence = (trial.evidence + likelihood_ratio.ln()).clamp(-bound, bound);
        let verdict = match trial.evidence {
            evidence if evidence >= bound => RolloutVerdict::Bad,
            evidence if evidence <= -bound => RolloutVerdict::Good,
            _ => trial.verdict,
        };
        let changed = verdict != trial.verdict;
        trial.verdict = verdict;
        changed.then(|| VerdictChange { cell: self.config.order[position], verdict })
    }

    /// Verdict on the rollout in the cell; open if the cell is not part of the rollout.
    pub fn verdict(&self, cell: CellId) -> RolloutVerdict {
        self.position(cell).map_or(RolloutVerdict::Open, |position| self.trials[position].verdict)
    }

    /// Whether restarted hosts of the cell may receive their full share of traffic.
    ///
    /// # Errors
    /// The first earlier cell in which the rollout failed or is unverified.
    pub fn check_rollout(&self, cell: CellId) -> Result<(), RolloutBlocked> {
        let earlier = self.position(cell).map_or(&[][..], |position| &self.trials[..position]);
        let blocking = earlier.iter().position(|trial| trial.verdict != RolloutVerdict::Good);
        blocking.map_or(Ok(()), |position| {
            let failed = self.trials[position].verdict == RolloutVerdict::Bad;
            Err(RolloutBlocked { blocked_by: self.config.order[position], failed })
        })
    }
}
