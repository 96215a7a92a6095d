//! Whether another's clock keeps within the bound, as far as its answers tell. An answer shows its clock at some moment
//! between the question and the receipt; two answers far apart bound how fast it runs beside the own one. Danger: beyond
//! the bound two may hold one lease at a time, and nobody would know why.

use std::collections::VecDeque;

use arrowyard_types::{TimeDelta, Timestamp};

use crate::Message;
use crate::config::VoterId;

/// An answer: asked and received by the own clock, and what the other one showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Sample {
    asked: Timestamp,
    came: Timestamp,
    showed: Timestamp,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct DriftEstimator {
    first: Option<Sample>,
}

/// The clocks of all voters, as their answers to the rounds of one candidate show them.
#[derive(Clone, Debug)]
pub struct ClockMonitor {
    bound_ppm: u32,
    drifts: Vec<DriftEstimator>,
    /// The last rounds, and when each was begun.
    asked: VecDeque<(u64, Timestamp)>,
}

/// Rounds whose begin is remembered.
const ASKED: usize = 32;

impl ClockMonitor {
    #[must_use]
    pub fn new(voters: u8, bound_ppm: u32) -> ClockMonitor {
        let drifts = vec![DriftEstimator::default(); usize::from(voters)];
        ClockMonitor { bound_ppm, drifts, asked: VecDeque::new() }
    }

    /// A word goes out, or has come; by how much a voter's clock surely runs away, if it does.
    pub fn observe(&mut self, now: Timestamp, word: &Message) -> Option<(VoterId, i64)> {
        match word {
            Message::Request { round, .. } => {
                if self.asked.len() == ASKED {
                    self.asked.pop_front();
                }
                if self.asked.back().is_none_or(|(last, _)| last != round) {
                    self.asked.push_back((*round, now));
                }
                None
            }
            Message::Response { from, round, clock, .. } => {
                let asked = self.asked.iter().find(|(number, _)| number == round)?.1;
                let drift = self.drifts.get_mut(usize::from(from.0))?;
                Some(*from).zip(drift.add_sample(asked, now, *clock, self.bound_ppm))
            }
            _ => None,
        }
    }
}

/// Samples nearer to each other than this tell nothing, and farther ones are begun anew.
const NEAR: TimeDelta = TimeDelta::from_millis(5_000);
const FAR: TimeDelta = TimeDelta::from_millis(600_000);

impl DriftEstimator {
    /// One more answer; by how many millionths the clocks surely run apart, if that is more than twice the bound (each of the
    /// two may be off by it).
    pub fn add_sample(
        &mut self,
        asked: Timestamp,
        came: Timestamp,
        showed: Timestamp,
        bound_ppm: u32,
    ) -> Option<i64> {
        let sample = Sample { asked, came, showed };
        let first = *self.first.get_or_insert(sample);
        let least = (asked - first.came).micros();
        let most = (came - first.asked).micros();
        let theirs = (showed - first.showed).micros();
        if asked - first.came < NEAR {
            return None;
        }
        if came - first.asked > FAR {
            self.first = Some(sample);
        }
        let ppm = |theirs: i64, ours: i64| ((theirs - ours) as f64 / ours as f64 * 1e6) as i64;
        // At least so fast, if the own time between the two was the most that it may have been; and the other way round.
        let (slowest, fastest) = (ppm(theirs, most), ppm(theirs, least));
        let bound = 2 * i64::from(bound_ppm);
        if slowest > bound {
            return Some(slowest);
        }
        (fastest < -bound).then_some(fastest)
    }
}
