//! The blast radius of a release. Cells get a new release one after the other; what their hosts do after they
//! started anew is judged against what all other hosts do meanwhile, by Wald's sequential test. Until a cell is judged good,
//! hosts of the next ones that start anew are trusted little. Nothing is moved by the router on its own.

use arrowyard_types::{CellId, TimeDelta, Timestamp};

use crate::layout::RolloutConfig;

/// A new host is trusted with this part of its size while a cell before it is not judged good.
pub const UNVERIFIED_TRUST: f64 = 0.1;
/// The error rate that others have at least: a test against never would call the first error a verdict.
const MIN_ERROR_RATE: f64 = 0.002;
/// The weight of one outcome in the others' error rate.
const ERROR_RATE_SMOOTHING: f64 = 0.002;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseVerdict {
    /// Nothing of it started anew, or too little is known.
    Open,
    Good,
    Bad,
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    /// The log of the odds that it is bad.
    evidence: f64,
    verdict: ReleaseVerdict,
    /// When the last of its hosts started anew.
    last_restart: Option<Timestamp>,
}

/// The trials of the cells, in the order of the release.
#[derive(Clone, Debug)]
pub struct Rollout {
    config: RolloutConfig,
    trials: Vec<Trial>,
    /// The error rate of hosts that did not start anew.
    baseline_error_rate: f64,
}

/// A verdict that was just reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VerdictChange {
    pub cell: CellId,
    pub verdict: ReleaseVerdict,
}

/// Why the release is not widened to a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutBlocked {
    pub blocked_by: CellId,
    /// Whether it was judged bad; else it is not judged yet.
    pub failed: bool,
}

impl Rollout {
    pub fn new(config: RolloutConfig) -> Self {
        let trial = Trial { evidence: 0.0, verdict: ReleaseVerdict::Open, last_restart: None };
        Rollout { trials: vec![trial; config.order.len()], config, baseline_error_rate: MIN_ERROR_RATE }
    }

    fn position(&self, cell: CellId) -> Option<usize> {
        self.config.order.iter().position(|&other| other == cell)
    }

    /// A host of the cell started anew, at this point. A trial begins with the first of a release; hosts that follow
    /// within the span belong to it.
    pub fn host_restarted(&mut self, cell: CellId, at: Timestamp, within: TimeDelta) {
        let Some(position) = self.position(cell) else { return };
        let trial = &mut self.trials[position];
        if trial.last_restart.is_none_or(|last| at - last > within) {
            (trial.evidence, trial.verdict) = (0.0, ReleaseVerdict::Open);
        }
        trial.last_restart = Some(at).max(trial.last_restart);
    }

    /// An outcome of a host: of a cell, if it started anew there since the cell's trial began; else of no cell.
    pub fn record_outcome(&mut self, new: Option<CellId>, failed: bool) -> Option<VerdictChange> {
        let Some(position) = new.and_then(|cell| self.position(cell)) else {
            self.baseline_error_rate +=
                (f64::from(u8::from(failed)) - self.baseline_error_rate) * ERROR_RATE_SMOOTHING;
            return None;
        };
        let baseline = self.baseline_error_rate.clamp(MIN_ERROR_RATE, 0.4);
        let failing_rate = (baseline * self.config.error_rate_ratio).min((1.0 + baseline) * 0.5);
        let bound = ((1.0 - self.config.error_probability) / self.config.error_probability).ln();
        let trial = &mut self.trials[position];
        if trial.verdict == ReleaseVerdict::Bad {
            return None;
        }
        let likelihood_ratio =
            if failed { failing_rate / baseline } else { (1.0 - failing_rate) / (1.0 - baseline) };
        // Danger: a release that goes bad late has good odds saved up. The test goes on after a good verdict, from
        // its bound.
        trial.evidence = (trial.evidence + likelihood_ratio.ln()).clamp(-bound, bound);
        let verdict = match trial.evidence {
            evidence if evidence >= bound => ReleaseVerdict::Bad,
            evidence if evidence <= -bound => ReleaseVerdict::Good,
            _ => trial.verdict,
        };
        let changed = verdict != trial.verdict;
        trial.verdict = verdict;
        changed.then(|| VerdictChange { cell: self.config.order[position], verdict })
    }

    pub fn verdict(&self, cell: CellId) -> ReleaseVerdict {
        self.position(cell).map_or(ReleaseVerdict::Open, |position| self.trials[position].verdict)
    }

    /// Whether hosts of the cell that start anew are trusted fully.
    ///
    /// # Errors
    /// The first cell before it whose release is bad, or not known to be good.
    pub fn check_rollout(&self, cell: CellId) -> Result<(), RolloutBlocked> {
        let before = self.position(cell).map_or(&[][..], |position| &self.trials[..position]);
        let held = before.iter().position(|trial| trial.verdict != ReleaseVerdict::Good);
        held.map_or(Ok(()), |position| {
            let failed = self.trials[position].verdict == ReleaseVerdict::Bad;
            Err(RolloutBlocked { blocked_by: self.config.order[position], failed })
        })
    }
}
