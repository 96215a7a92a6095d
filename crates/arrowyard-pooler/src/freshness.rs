//! How fresh a host's data is, in time, though hosts tell positions only. Whatever was acknowledged before a statement
//! was sent to the primary is at or before the position that its answer told. So each answer of the primary pairs a
//! time with a position, and a replica that has the position has all that was acknowledged before the time.

use std::collections::VecDeque;

use arrowyard_protocol::Position;
use arrowyard_types::{TimeDelta, Timestamp};

/// Pairs closer than this to the one before are left out, and older ones than this are forgotten.
const STEP: TimeDelta = TimeDelta::from_millis(10);
const OLD: TimeDelta = TimeDelta::from_millis(30_000);
const MOST: usize = 512;

/// What one service's primary told, oldest first; both times and positions rise.
#[derive(Clone, Debug, Default)]
pub struct PositionTimeline {
    pairs: VecDeque<(Timestamp, Position)>,
}

impl PositionTimeline {
    /// The primary answered a statement that was sent then. Danger: only an answer that proves that it led as it ran
    /// the statement may be told here; a host that led once tells positions that lack what its successor committed.
    pub fn record(&mut self, sent: Timestamp, position: Position) {
        if let Some((last, known)) = self.pairs.back_mut() {
            if sent < *last {
                return;
            }
            // Answers cross: a lower position that came later asks for less, but so does no pair at all.
            if position < *known {
                return;
            }
            if sent - *last < STEP {
                // The later position stands for the earlier time as well: it only asks for more.
                *known = position;
                return;
            }
        }
        self.pairs.push_back((sent, position));
        while self.pairs.len() > MOST || self.pairs.front().is_some_and(|(at, _)| sent - *at > OLD) {
            self.pairs.pop_front();
        }
    }

    /// A position that has all that was acknowledged before `since`; the least that is known.
    pub fn position_covering(&self, since: Timestamp) -> Option<Position> {
        let place = self.pairs.partition_point(|(at, _)| *at < since);
        self.pairs.get(place).map(|(_, position)| *position)
    }

    /// Up to when a host has all that was acknowledged, if it has this position.
    pub fn fresh_until(&self, position: Position) -> Option<Timestamp> {
        let place = self.pairs.partition_point(|(_, known)| *known <= position);
        place.checked_sub(1).map(|place| self.pairs[place].0)
    }
}
