//! A token bucket: refilled at a fixed rate up to its capacity, and allowed to run into a bounded debt.

use arrowyard_types::Timestamp;

/// A token bucket that allows debt, since the cost of a task's turn is known only after it.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    level: f64,
    rate: f64,
    capacity: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket that is refilled with `rate` tokens per second up to `capacity`.
    #[must_use]
    pub fn new(now: Timestamp, rate: f64, capacity: f64) -> TokenBucket {
        TokenBucket { level: capacity, rate, capacity, refilled_at: now }
    }

    /// The current level; negative while in debt.
    pub fn level(&mut self, now: Timestamp) -> f64 {
        // A clock that goes backwards does not change the level.
        let elapsed_s = (now - self.refilled_at).as_secs_f64().max(0.0);
        self.level = (self.level + elapsed_s * self.rate).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
        self.level
    }

    /// Takes `cost` tokens. The debt is limited to the capacity, so that one expensive turn does not block
    /// all others for long.
    pub fn spend(&mut self, now: Timestamp, cost: f64) {
        self.level = (self.level(now) - cost).max(-self.capacity);
    }

    /// The maximum level.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.capacity
    }
}
