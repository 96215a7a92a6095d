//! Which of discovery's lists are believed. Several may answer behind one address by turns, and one that was cut off from the
//! others tells what held then: a host that is gone looks ready in it, and one that was told to drain takes ops again. Each
//! list has a number that only rises, so an older one holds nothing that is not known; but a discovery that lost its state
//! counts from the beginning, and its lists are older by their number for ever.

use arrowyard_types::{TimeDelta, Timestamp};

/// What is done with a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListDecision {
    Accept,
    /// It is older than what is held.
    Ignore,
    /// Discovery counts anew: it is taken as if it were the first.
    Reset,
}

/// What is believed of one discovery.
#[derive(Clone, Debug)]
pub struct ListVersionTracker {
    /// The number of the newest list that was taken.
    held: Option<i64>,
    /// When that one, or a newer one, was last told; older ones since then, and the number of the last of them.
    heard: Timestamp,
    older: u32,
    last: i64,
    /// For so long only older ones have to come till they are believed.
    doubt: TimeDelta,
    /// It was moved to another address, where numbers may be others.
    moved: bool,
}

/// So many older ones, in numbers that do not fall, are believed once time is up.
const AGREED: u32 = 2;

impl ListVersionTracker {
    /// `held` is the number of the list that a router starts with, if any.
    #[must_use]
    pub fn new(now: Timestamp, held: Option<i64>, doubt: TimeDelta) -> ListVersionTracker {
        ListVersionTracker { held, heard: now, older: 0, last: i64::MIN, doubt, moved: false }
    }

    /// Discovery is reached at another address from now on.
    pub fn address_changed(&mut self) {
        self.moved = true;
    }

    /// A list of this number came.
    pub fn evaluate(&mut self, now: Timestamp, number: i64, whole: bool) -> ListDecision {
        let Some(held) = self.held else { return self.take(now, number, ListDecision::Accept) };
        if number >= held {
            return self.take(now, number, ListDecision::Accept);
        }
        if !whole {
            // Danger: changes since an older list are put on a newer one.
            return ListDecision::Ignore;
        }
        if self.moved {
            return self.take(now, number, ListDecision::Reset);
        }
        // Two discoveries that both fell behind tell numbers that go up and down; one that lost its state counts up.
        self.older = if number >= self.last { self.older + 1 } else { 1 };
        self.last = number;
        if self.older >= AGREED && now - self.heard >= self.doubt {
            return self.take(now, number, ListDecision::Reset);
        }
        ListDecision::Ignore
    }

    fn take(&mut self, now: Timestamp, number: i64, verdict: ListDecision) -> ListDecision {
        (self.held, self.heard, self.older, self.last) = (Some(number), now, 0, i64::MIN);
        self.moved = false;
        verdict
    }

    /// The number of the newest list that is believed.
    #[must_use]
    pub fn accepted_version(&self) -> Option<i64> {
        self.held
    }
}
