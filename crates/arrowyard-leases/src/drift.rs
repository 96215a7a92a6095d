//! Detects voter clocks that exceed the drift bound. A response shows the voter's clock at some moment
//! between request and receipt, so two responses far apart bound its rate relative to the local clock.
//! Beyond the bound, two candidates may hold one lease at the same time, so the drift is reported.

use std::collections::VecDeque;

use arrowyard_types::{TimeDelta, Timestamp};

use crate::Message;
use crate::config::VoterId;

/// A response: when its request was sent and when it was received, by the local clock, and the voter's clock
/// that it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Sample {
    sent_at: Timestamp,
    received_at: Timestamp,
    remote_clock: Timestamp,
}

/// Compares the clock of one voter with the local one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct DriftEstimator {
    /// The earlier response with which the next ones are compared.
    baseline: Option<Sample>,
}

/// Drift estimators for all voters, fed from the responses to one candidate's rounds.
#[derive(Clone, Debug)]
pub struct ClockMonitor {
    bound_ppm: u32,
    estimators: Vec<DriftEstimator>,
    /// The numbers of the latest rounds, and when each request was sent.
    sent_rounds: VecDeque<(u64, Timestamp)>,
}

/// The maximum number of rounds whose send time is kept.
const MAX_TRACKED_ROUNDS: usize = 32;

impl ClockMonitor {
    #[must_use]
    pub fn new(voters: u8, bound_ppm: u32) -> ClockMonitor {
        let estimators = vec![DriftEstimator::default(); usize::from(voters)];
        ClockMonitor { bound_ppm, estimators, sent_rounds: VecDeque::new() }
    }

    /// Records a message that was sent or received. Returns the voter and its drift in parts per million if
    /// that provably exceeds the bound.
    pub fn observe(&mut self, now: Timestamp, message: &Message) -> Option<(VoterId, i64)> {
        match message {
            Message::Request { round, .. } => {
                if self.sent_rounds.len() == MAX_TRACKED_ROUNDS {
                    self.sent_rounds.pop_front();
                }
                if self.sent_rounds.back().is_none_or(|(last, _)| last != round) {
                    self.sent_rounds.push_back((*round, now));
                }
                None
            }
            Message::Response { from, round, clock, .. } => {
                let sent_at = self.sent_rounds.iter().find(|(number, _)| number == round)?.1;
                let estimator = self.estimators.get_mut(usize::from(from.0))?;
                Some(*from).zip(estimator.add_sample(sent_at, now, *clock, self.bound_ppm))
            }
            _ => None,
        }
    }
}

/// Samples closer to the baseline than this are too imprecise.
const MIN_BASELINE: TimeDelta = TimeDelta::from_millis(5_000);
/// A baseline older than this is replaced.
const MAX_BASELINE: TimeDelta = TimeDelta::from_millis(600_000);

impl DriftEstimator {
    /// Adds a response. Returns the drift in parts per million if it provably exceeds twice the bound, since
    /// each of the two clocks may be off by the bound.
    pub fn add_sample(
        &mut self,
        sent_at: Timestamp,
        received_at: Timestamp,
        remote_clock: Timestamp,
        bound_ppm: u32,
    ) -> Option<i64> {
        let sample = Sample { sent_at, received_at, remote_clock };
        let baseline = *self.baseline.get_or_insert(sample);
        let min_interval_us = (sent_at - baseline.received_at).micros();
        let max_interval_us = (received_at - baseline.sent_at).micros();
        let remote_us = (remote_clock - baseline.remote_clock).micros();
        if sent_at - baseline.received_at < MIN_BASELINE {
            return None;
        }
        if received_at - baseline.sent_at > MAX_BASELINE {
            self.baseline = Some(sample);
        }
        let drift_ppm =
            |remote_us: i64, local_us: i64| ((remote_us - local_us) as f64 / local_us as f64 * 1e6) as i64;
        // The longest possible local interval gives the lowest drift of the remote clock, the shortest one
        // the highest.
        let (lowest_ppm, highest_ppm) =
            (drift_ppm(remote_us, max_interval_us), drift_ppm(remote_us, min_interval_us));
        let max_drift_ppm = 2 * i64::from(bound_ppm);
        if lowest_ppm > max_drift_ppm {
            return Some(lowest_ppm);
        }
        (highest_ppm < -max_drift_ppm).then_some(highest_ppm)
    }
}
