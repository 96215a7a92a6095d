//! Primaries that are being replaced, as reported by control.
//!
//! While control replaces a primary that it cannot reach, only commits of the candidate are acknowledged. A
//! commit that the old primary reports may be missing on the candidate, so its client is told that the
//! outcome is unknown. The old primary is also told to yield, since other routers may not have heard of the
//! replacement.

use arrowyard_messages::{Replacement, Replacements as Report};
use arrowyard_types::{TimeDelta, Timestamp};
use rustc_hash::FxHashMap;

/// Validity of a report; control repeats it four times a second.
const LEASE: TimeDelta = TimeDelta::from_millis(1000);

/// The replacements in progress.
#[derive(Debug, Default)]
pub struct Replacements {
    fence: u64,
    by_service: FxHashMap<String, Replacement>,
    until: Timestamp,
}

impl Replacements {
    /// Applies control's full list of replacements and returns those that are new. A list under an older
    /// fencing token than the last one is ignored.
    pub fn update(&mut self, now: Timestamp, report: Report) -> Vec<Replacement> {
        if report.fence < self.fence {
            return Vec::new();
        }
        self.fence = report.fence;
        self.until = now + LEASE;
        let is_new = |one: &&Replacement| self.by_service.get(&one.service) != Some(*one);
        let new = report.services.iter().filter(is_new).cloned().collect();
        self.by_service = report.services.into_iter().map(|one| (one.service.clone(), one)).collect();
        new
    }

    /// Whether a commit of this host must not be acknowledged.
    pub fn forbids_commit(&self, now: Timestamp, service: &str, host: &str) -> bool {
        now < self.until && self.by_service.get(service).is_some_and(|change| change.candidate != host)
    }
}
