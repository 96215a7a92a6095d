//! Primaries that are being replaced, as reported by control.
//!
//! While control replaces a primary that it cannot reach, only commits of the candidate are acknowledged. A
//! commit that the old primary reports may be missing on the candidate, so its client is told that the
//! outcome is unknown. The old primary is also told to yield, since other routers may not have heard of the
//! replacement.
//!
//! In a planned replacement the old primary serves until the change. A host that joins the service meanwhile
//! is not paused and lets it report commits that the candidate has not received, so each commit is
//! acknowledged only once the candidate has it.

use arrowyard_messages::{Replacement, Replacements as Report};
use arrowyard_types::{TimeDelta, Timestamp};
use rustc_hash::FxHashMap;

/// Validity of a report; control repeats it four times a second.
const LEASE: TimeDelta = TimeDelta::from_millis(1000);
/// Validity of a planned replacement: a promotion that a failed duty holder has requested may still be
/// carried out, which takes more than a second.
const PLANNED_LEASE: TimeDelta = TimeDelta::from_millis(3000);

/// A planned replacement and the end of its validity.
#[derive(Debug)]
struct PlannedReplacement {
    candidate: String,
    until: Timestamp,
}

/// The replacements in progress.
#[derive(Debug, Default)]
pub struct Replacements {
    fence: u64,
    by_service: FxHashMap<String, Replacement>,
    until: Timestamp,
    planned: FxHashMap<String, PlannedReplacement>,
}

impl Replacements {
    /// Applies control's full list of replacements and returns those of unresponsive primaries that are new.
    /// A list under an older fencing token than the last one is ignored.
    pub fn update(&mut self, now: Timestamp, report: Report) -> Vec<Replacement> {
        if report.fence < self.fence {
            return Vec::new();
        }
        self.update_planned(now, report.fence, &report.planned);
        self.fence = report.fence;
        self.until = now + LEASE;
        let is_new = |one: &&Replacement| self.by_service.get(&one.service) != Some(*one);
        let new = report.services.iter().filter(is_new).cloned().collect();
        self.by_service = report.services.into_iter().map(|one| (one.service.clone(), one)).collect();
        new
    }

    /// Safety: a new duty holder does not know which promotions the previous one has requested, so its list
    /// does not end the planned replacements of that one.
    fn update_planned(&mut self, now: Timestamp, fence: u64, planned: &[Replacement]) {
        let is_same_holder = fence == self.fence;
        self.planned.retain(|_, change| !is_same_holder && now < change.until);
        for change in planned {
            let candidate = change.candidate.clone();
            let entry = PlannedReplacement { candidate, until: now + PLANNED_LEASE };
            self.planned.insert(change.service.clone(), entry);
        }
    }

    /// Whether a commit of this host must not be acknowledged.
    pub fn forbids_commit(&self, now: Timestamp, service: &str, host: &str) -> bool {
        now < self.until && self.by_service.get(service).is_some_and(|change| change.candidate != host)
    }

    /// The candidate that must have received a commit of this host before it is acknowledged.
    pub fn required_receiver(&self, now: Timestamp, service: &str, host: &str) -> Option<&str> {
        let change = self.planned.get(service).filter(|change| now < change.until)?;
        (change.candidate != host).then_some(change.candidate.as_str())
    }
}
