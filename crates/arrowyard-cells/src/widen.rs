//! The blast radius of a release. Cells get a new release one after the other; what their hosts do after they
//! started anew is judged against what all other hosts do meanwhile, by Wald's sequential test. Until a cell is judged good,
//! hosts of the next ones that start anew are trusted little. Nothing is moved by the router on its own.

use arrowyard_types::{CellId, TimeDelta, Timestamp};

use crate::layout::Release;

/// A new host is trusted with this part of its size while a cell before it is not judged good.
pub const LITTLE_TRUST: f64 = 0.1;
/// The error rate that others have at least: a test against never would call the first error a verdict.
const LEAST_RATE: f64 = 0.002;
/// The weight of one outcome in the others' error rate.
const SMOOTH: f64 = 0.002;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judged {
    /// Nothing of it started anew, or too little is known.
    Open,
    Good,
    Bad,
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    /// The log of the odds that it is bad.
    evidence: f64,
    judged: Judged,
    /// When the last of its hosts started anew.
    renewed: Option<Timestamp>,
}

/// The trials of the cells, in the order of the release.
#[derive(Clone, Debug)]
pub struct Widen {
    terms: Release,
    trials: Vec<Trial>,
    /// The error rate of hosts that did not start anew.
    others: f64,
}

/// A verdict that was just reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    pub cell: CellId,
    pub judged: Judged,
}

/// Why the release is not widened to a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldBack {
    pub by: CellId,
    /// Whether it was judged bad; else it is not judged yet.
    pub bad: bool,
}

impl Widen {
    pub fn new(terms: Release) -> Self {
        let trial = Trial { evidence: 0.0, judged: Judged::Open, renewed: None };
        Widen { trials: vec![trial; terms.order.len()], terms, others: LEAST_RATE }
    }

    fn place(&self, cell: CellId) -> Option<usize> {
        self.terms.order.iter().position(|&other| other == cell)
    }

    /// A host of the cell started anew, at this point. A trial begins with the first of a release; hosts that follow
    /// within the span belong to it.
    pub fn renewed(&mut self, cell: CellId, at: Timestamp, within: TimeDelta) {
        let Some(place) = self.place(cell) else { return };
        let trial = &mut self.trials[place];
        if trial.renewed.is_none_or(|last| at - last > within) {
            (trial.evidence, trial.judged) = (0.0, Judged::Open);
        }
        trial.renewed = Some(at).max(trial.renewed);
    }

    /// An outcome of a host: of a cell, if it started anew there since the cell's trial began; else of no cell.
    pub fn outcome(&mut self, new: Option<CellId>, bad: bool) -> Option<Verdict> {
        let Some(place) = new.and_then(|cell| self.place(cell)) else {
            self.others += (f64::from(u8::from(bad)) - self.others) * SMOOTH;
            return None;
        };
        let usual = self.others.clamp(LEAST_RATE, 0.4);
        let worse = (usual * self.terms.worse).min((1.0 + usual) * 0.5);
        let bound = ((1.0 - self.terms.wrong) / self.terms.wrong).ln();
        let trial = &mut self.trials[place];
        if trial.judged == Judged::Bad {
            return None;
        }
        let odds = if bad { worse / usual } else { (1.0 - worse) / (1.0 - usual) };
        // Danger: a release that goes bad late has good odds saved up. The test goes on after a good verdict, from
        // its bound.
        trial.evidence = (trial.evidence + odds.ln()).clamp(-bound, bound);
        let judged = match trial.evidence {
            evidence if evidence >= bound => Judged::Bad,
            evidence if evidence <= -bound => Judged::Good,
            _ => trial.judged,
        };
        let news = judged != trial.judged;
        trial.judged = judged;
        news.then(|| Verdict { cell: self.terms.order[place], judged })
    }

    pub fn judged(&self, cell: CellId) -> Judged {
        self.place(cell).map_or(Judged::Open, |place| self.trials[place].judged)
    }

    /// Whether hosts of the cell that start anew are trusted fully.
    ///
    /// # Errors
    /// The first cell before it whose release is bad, or not known to be good.
    pub fn may_widen(&self, cell: CellId) -> Result<(), HeldBack> {
        let before = self.place(cell).map_or(&[][..], |place| &self.trials[..place]);
        let held = before.iter().position(|trial| trial.judged != Judged::Good);
        held.map_or(Ok(()), |place| {
            let bad = self.trials[place].judged == Judged::Bad;
            Err(HeldBack { by: self.terms.order[place], bad })
        })
    }
}
