//! Health of this machine's disk. A voter whose disk refuses writes or hangs cannot acknowledge
//! anything and is replaced.

use std::collections::BTreeMap;

use arrowyard_types::{TimeDelta, Timestamp};

/// The disk counts as hung when a record is not durable after this long.
const HANG_TIMEOUT: TimeDelta = TimeDelta::from_millis(800);

/// Tracks the writes in progress.
#[derive(Debug, Default)]
pub struct DiskHealth {
    started_at: BTreeMap<u64, Timestamp>,
    refuses_writes: bool,
}

impl DiskHealth {
    /// A write was submitted.
    pub fn write_started(&mut self, now: Timestamp, ticket: u64) {
        self.started_at.insert(ticket, now);
    }

    /// A write succeeded or failed.
    pub fn write_completed(&mut self, ticket: u64) {
        self.started_at.remove(&ticket);
    }

    /// The disk has begun to refuse writes, or has stored a complete snapshot again.
    pub fn set_working(&mut self, working: bool) {
        self.refuses_writes = !working;
    }

    /// Whether the disk accepts writes and completes them in time.
    pub fn is_healthy(&self, now: Timestamp) -> bool {
        let oldest = self.started_at.first_key_value().map(|(_, since)| *since);
        !self.refuses_writes && oldest.is_none_or(|since| now - since < HANG_TIMEOUT)
    }
}
