//! How well this router itself is, as far as it can tell (after Lifeguard's local health): one that is starved of its
//! core, or cut off, finds others silent, and has to doubt itself first.

use arrowyard_types::{TimeDelta, Timestamp};

/// The worst score; times are stretched by one more than the score.
const MAX_SCORE: u32 = 6;

#[derive(Clone, Debug, Default)]
pub struct LocalHealth {
    score: u32,
    /// Till then this router declares nobody silent.
    suspect_until: Timestamp,
}

impl LocalHealth {
    pub fn record_success(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// A question went unanswered and no helper said a word either: the fault may be here.
    pub fn record_failure(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// The thread came round late. Danger: all that waited for it looks as if others had been silent.
    pub fn record_delay(
        &mut self,
        now: Timestamp,
        by: TimeDelta,
        away: TimeDelta,
        period: TimeDelta,
    ) -> bool {
        if by >= away {
            self.score = MAX_SCORE / 2;
            self.suspect_until = now + period * 2.0;
            return true;
        }
        if by >= away * 0.3 {
            self.record_failure();
        }
        false
    }

    /// Nobody is heard at all.
    pub fn suspend_suspicion(&mut self, now: Timestamp, period: TimeDelta) {
        self.suspect_until = self.suspect_until.max(now + period);
    }

    /// An answer came that proves that this router is in touch.
    #[must_use]
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        now < self.suspect_until
    }

    #[must_use]
    pub fn scale_timeout(&self, span: TimeDelta) -> TimeDelta {
        span * (1.0 + f64::from(self.score) * 0.5)
    }

    #[must_use]
    pub fn score(&self) -> u32 {
        self.score
    }
}
