//! Decides which host lists of discovery are accepted, by their version numbers. Several discovery instances
//! may answer at one address, and lists of a stale one are ignored. An instance that lost its state restarts
//! its version numbers, and its lists must be accepted eventually.

use arrowyard_types::{TimeDelta, Timestamp};

/// The decision on a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListDecision {
    Accept,
    /// The list is older than the accepted one.
    Ignore,
    /// Discovery has restarted its numbering: the list is accepted like a first one.
    Reset,
}

/// Tracks the versions of discovery's lists.
#[derive(Clone, Debug)]
pub struct ListVersionTracker {
    /// The version of the list that was accepted last.
    accepted_version: Option<i64>,
    /// When a list was last accepted.
    last_accepted_at: Timestamp,
    /// Consecutive older lists with versions that do not decrease, and the version of the latest.
    older_count: u32,
    last_older_version: i64,
    /// Older lists are accepted after only older ones have been received for this long.
    rollback_delay: TimeDelta,
    /// Whether discovery moved to another address, where versions may differ, since the last accepted list.
    address_changed: bool,
}

/// Consecutive older lists, with versions that do not decrease, that are required to accept a restarted
/// numbering.
const MIN_OLDER_LISTS: u32 = 2;

impl ListVersionTracker {
    /// `initial_version` is the version of the list that the router starts with, if any.
    #[must_use]
    pub fn new(
        now: Timestamp,
        initial_version: Option<i64>,
        rollback_delay: TimeDelta,
    ) -> ListVersionTracker {
        ListVersionTracker {
            accepted_version: initial_version,
            last_accepted_at: now,
            older_count: 0,
            last_older_version: i64::MIN,
            rollback_delay,
            address_changed: false,
        }
    }

    /// Discovery is reached at another address from now on, so the next full list is accepted whatever its
    /// version.
    pub fn address_changed(&mut self) {
        self.address_changed = true;
    }

    /// Decides on a received list of this version; `is_full` is false for a list of changes.
    pub fn evaluate(&mut self, now: Timestamp, version: i64, is_full: bool) -> ListDecision {
        let Some(accepted_version) = self.accepted_version else {
            return self.accept(now, version, ListDecision::Accept);
        };
        if version >= accepted_version {
            return self.accept(now, version, ListDecision::Accept);
        }
        if !is_full {
            // Changes relative to an older list do not apply to the accepted one.
            return ListDecision::Ignore;
        }
        if self.address_changed {
            return self.accept(now, version, ListDecision::Reset);
        }
        // Two stale instances send versions that go up and down; an instance that lost its state counts up.
        self.older_count = if version >= self.last_older_version { self.older_count + 1 } else { 1 };
        self.last_older_version = version;
        if self.older_count >= MIN_OLDER_LISTS && now - self.last_accepted_at >= self.rollback_delay {
            return self.accept(now, version, ListDecision::Reset);
        }
        ListDecision::Ignore
    }

    fn accept(&mut self, now: Timestamp, version: i64, decision: ListDecision) -> ListDecision {
        (self.accepted_version, self.last_accepted_at, self.older_count, self.last_older_version) =
            (Some(version), now, 0, i64::MIN);
        self.address_changed = false;
        decision
    }

    /// The version of the list that was accepted last.
    #[must_use]
    pub fn accepted_version(&self) -> Option<i64> {
        self.accepted_version
    }
}
