//! Relates log positions to time, so that a staleness bound in time can be checked against the positions
//! that hosts report. All commits acknowledged before a statement was sent to the primary are at or before
//! the position in its answer. Each answer of the primary thus pairs a time with a position, and a replica
//! at that position or later has every commit acknowledged before that time.

use std::collections::VecDeque;

use arrowyard_protocol::Position;
use arrowyard_types::{TimeDelta, Timestamp};

/// Pairs are kept at this distance at least, up to this age and this number.
const MIN_PAIR_DISTANCE: TimeDelta = TimeDelta::from_millis(10);
const MAX_PAIR_AGE: TimeDelta = TimeDelta::from_millis(30_000);
const MAX_PAIRS: usize = 512;

/// Pairs of time and position reported by one service's primary, oldest first. Invariant: both are
/// non-decreasing.
#[derive(Clone, Debug, Default)]
pub struct PositionTimeline {
    pairs: VecDeque<(Timestamp, Position)>,
}

impl PositionTimeline {
    /// Records that the primary answered a statement sent at `sent` with this position. Only answers that
    /// prove that the host was primary while it ran the statement may be recorded: a former primary reports
    /// positions that lack what its successor committed.
    pub fn record(&mut self, sent: Timestamp, position: Position) {
        if let Some((last_sent, last_position)) = self.pairs.back_mut() {
            if sent < *last_sent {
                return;
            }
            // Answers may arrive out of order; a lower position would weaken later requirements.
            if position < *last_position {
                return;
            }
            if sent - *last_sent < MIN_PAIR_DISTANCE {
                // The later position is also valid for the earlier time; it only requires more.
                *last_position = position;
                return;
            }
        }
        self.pairs.push_back((sent, position));
        while self.pairs.len() > MAX_PAIRS
            || self.pairs.front().is_some_and(|(at, _)| sent - *at > MAX_PAIR_AGE)
        {
            self.pairs.pop_front();
        }
    }

    /// The lowest known position that includes every commit acknowledged before `since`.
    pub fn position_covering(&self, since: Timestamp) -> Option<Position> {
        let index = self.pairs.partition_point(|(at, _)| *at < since);
        self.pairs.get(index).map(|(_, position)| *position)
    }

    /// The time up to which a host at this position has every acknowledged commit.
    pub fn fresh_until(&self, position: Position) -> Option<Timestamp> {
        let index = self.pairs.partition_point(|(_, known)| *known <= position);
        index.checked_sub(1).map(|index| self.pairs[index].0)
    }
}
