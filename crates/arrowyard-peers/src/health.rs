//! How well this router itself is, as far as it can tell (after Lifeguard's local health): one that is starved of its
//! core, or cut off, finds others silent, and has to doubt itself first.

use arrowyard_types::{TimeDelta, Timestamp};

/// The worst score; times are stretched by one more than the score.
const WORST: u32 = 6;

#[derive(Clone, Debug, Default)]
pub struct Health {
    score: u32,
    /// Till then this router declares nobody silent.
    doubts_till: Timestamp,
}

impl Health {
    pub fn good(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// A question went unanswered and no helper said a word either: the fault may be here.
    pub fn bad(&mut self) {
        self.score = (self.score + 1).min(WORST);
    }

    /// The thread came round late. Danger: all that waited for it looks as if others had been silent.
    pub fn late(&mut self, now: Timestamp, by: TimeDelta, away: TimeDelta, period: TimeDelta) -> bool {
        if by >= away {
            self.score = WORST / 2;
            self.doubts_till = now + period * 2.0;
            return true;
        }
        if by >= away * 0.3 {
            self.bad();
        }
        false
    }

    /// Nobody is heard at all.
    pub fn cut_off(&mut self, now: Timestamp, period: TimeDelta) {
        self.doubts_till = self.doubts_till.max(now + period);
    }

    /// An answer came that proves that this router is in touch.
    #[must_use]
    pub fn doubts(&self, now: Timestamp) -> bool {
        now < self.doubts_till
    }

    #[must_use]
    pub fn stretch(&self, span: TimeDelta) -> TimeDelta {
        span * (1.0 + f64::from(self.score) * 0.5)
    }

    #[must_use]
    pub fn score(&self) -> u32 {
        self.score
    }
}
