//! Whether this machine's disk takes what it is told to keep. A voter whose disk refuses or hangs says so: it cannot
//! acknowledge anything, and another machine may take its seat.

use std::collections::BTreeMap;

use arrowyard_types::{TimeDelta, Timestamp};

/// A record that is not durable after so long: the disk hangs.
const HANGS: TimeDelta = TimeDelta::from_millis(800);

/// The records that are under way to the disk.
#[derive(Debug, Default)]
pub struct DiskHealth {
    since: BTreeMap<u64, Timestamp>,
    refuses: bool,
}

impl DiskHealth {
    /// A record was handed to the disk.
    pub fn write_started(&mut self, now: Timestamp, ticket: u64) {
        self.since.insert(ticket, now);
    }

    /// The fate of a record is known.
    pub fn write_completed(&mut self, ticket: u64) {
        self.since.remove(&ticket);
    }

    /// The disk refuses records from now on, or has taken all that this machine knows.
    pub fn set_working(&mut self, works: bool) {
        self.refuses = !works;
    }

    /// Whether records are durable in good time.
    pub fn is_healthy(&self, now: Timestamp) -> bool {
        let oldest = self.since.first_key_value().map(|(_, since)| *since);
        !self.refuses && oldest.is_none_or(|since| now - since < HANGS)
    }
}
