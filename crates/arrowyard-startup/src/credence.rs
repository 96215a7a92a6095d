//! Which of discovery's lists are believed. Several may answer behind one address by turns, and one that was cut off from the
//! others tells what held then: a host that is gone looks ready in it, and one that was told to drain takes ops again. Each
//! list has a number that only rises, so an older one holds nothing that is not known; but a discovery that lost its state
//! counts from the beginning, and its lists are older by their number for ever.

use arrowyard_types::{TimeDelta, Timestamp};

/// What is done with a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Take,
    /// It is older than what is held.
    Pass,
    /// Discovery counts anew: it is taken as if it were the first.
    Anew,
}

/// What is believed of one discovery.
#[derive(Clone, Debug)]
pub struct Credence {
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

impl Credence {
    /// `held` is the number of the list that a router starts with, if any.
    #[must_use]
    pub fn new(now: Timestamp, held: Option<i64>, doubt: TimeDelta) -> Credence {
        Credence { held, heard: now, older: 0, last: i64::MIN, doubt, moved: false }
    }

    /// Discovery is reached at another address from now on.
    pub fn moved(&mut self) {
        self.moved = true;
    }

    /// A list of this number came.
    pub fn weigh(&mut self, now: Timestamp, number: i64, whole: bool) -> Verdict {
        let Some(held) = self.held else { return self.take(now, number, Verdict::Take) };
        if number >= held {
            return self.take(now, number, Verdict::Take);
        }
        if !whole {
            // Danger: changes since an older list are put on a newer one.
            return Verdict::Pass;
        }
        if self.moved {
            return self.take(now, number, Verdict::Anew);
        }
        // Two discoveries that both fell behind tell numbers that go up and down; one that lost its state counts up.
        self.older = if number >= self.last { self.older + 1 } else { 1 };
        self.last = number;
        if self.older >= AGREED && now - self.heard >= self.doubt {
            return self.take(now, number, Verdict::Anew);
        }
        Verdict::Pass
    }

    fn take(&mut self, now: Timestamp, number: i64, verdict: Verdict) -> Verdict {
        (self.held, self.heard, self.older, self.last) = (Some(number), now, 0, i64::MIN);
        self.moved = false;
        verdict
    }

    /// The number of the newest list that is believed.
    #[must_use]
    pub fn held(&self) -> Option<i64> {
        self.held
    }
}
