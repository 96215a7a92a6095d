//! Primaries that are being replaced, as control tells of them.
//!
//! While a primary that does not answer control is replaced, no commit of its service counts but the candidate's: a
//! commit that the old primary reports may be missing where the candidate leads, so its client is told that its fate is
//! unknown. The old primary is told to yield, since other routers may not have heard of the change.

use arrowyard_messages::{Replacement, Replacements as Told};
use arrowyard_types::{TimeDelta, Timestamp};
use rustc_hash::FxHashMap;

/// What control does not say again in so long is over; it says it four times a second.
const LEASE: TimeDelta = TimeDelta::from_millis(1000);

/// The replacements that are under way.
#[derive(Debug, Default)]
pub struct Replacements {
    fence: u64,
    by_service: FxHashMap<String, Replacement>,
    until: Timestamp,
}

impl Replacements {
    /// Control tells all that are under way; those that are new are returned. A holder of the duty that was replaced
    /// itself is not listened to.
    pub fn take(&mut self, now: Timestamp, told: Told) -> Vec<Replacement> {
        if told.fence < self.fence {
            return Vec::new();
        }
        self.fence = told.fence;
        self.until = now + LEASE;
        let is_new = |one: &&Replacement| self.by_service.get(&one.service) != Some(*one);
        let new = told.services.iter().filter(is_new).cloned().collect();
        self.by_service = told.services.into_iter().map(|one| (one.service.clone(), one)).collect();
        new
    }

    /// Whether a commit of this host must not be acknowledged.
    pub fn forbids(&self, now: Timestamp, service: &str, host: &str) -> bool {
        now < self.until && self.by_service.get(service).is_some_and(|change| change.candidate != host)
    }
}
