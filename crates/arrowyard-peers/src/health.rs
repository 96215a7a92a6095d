//! Local health, after Lifeguard. A router that lacks CPU time or is cut off sees others as silent, so that
//! it has to suspect itself first.

use arrowyard_types::{TimeDelta, Timestamp};

/// Highest score. Each point adds half of the base value to a timeout.
const MAX_SCORE: u32 = 6;

/// Health score of this router, and whether its suspicions are suspended.
#[derive(Clone, Debug, Default)]
pub struct LocalHealth {
    score: u32,
    /// Until then this router suspects no member.
    suspect_until: Timestamp,
}

impl LocalHealth {
    /// Records an ack.
    pub fn record_success(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Records a probe that got neither an ack nor a nack from any helper: the fault may be local.
    pub fn record_failure(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Records that the thread ran late by `delay`, and returns whether it stalled. Acks that waited in the
    /// socket meanwhile look like silence of the others.
    pub fn record_delay(
        &mut self,
        now: Timestamp,
        delay: TimeDelta,
        stall_threshold: TimeDelta,
        period: TimeDelta,
    ) -> bool {
        if delay >= stall_threshold {
            self.score = MAX_SCORE / 2;
            self.suspect_until = now + period * 2.0;
            return true;
        }
        if delay >= stall_threshold * 0.3 {
            self.record_failure();
        }
        false
    }

    /// Suspends suspicion because no member is heard.
    pub fn suspend_suspicion(&mut self, now: Timestamp, period: TimeDelta) {
        self.suspect_until = self.suspect_until.max(now + period);
    }

    /// Whether this router suspects itself, and therefore no member.
    #[must_use]
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        now < self.suspect_until
    }

    /// Lengthens a timeout according to the score.
    #[must_use]
    pub fn scale_timeout(&self, timeout: TimeDelta) -> TimeDelta {
        timeout * (1.0 + f64::from(self.score) * 0.5)
    }

    /// The score; zero is healthy.
    #[must_use]
    pub fn score(&self) -> u32 {
        self.score
    }
}
