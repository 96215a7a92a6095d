//! What may be spent: it comes back with time, is saved up to a bound, and may be overdrawn by what had to be done.

use arrowyard_types::Timestamp;

#[derive(Clone, Debug)]
pub struct TokenBucket {
    level: f64,
    rate: f64,
    most: f64,
    at: Timestamp,
}

impl TokenBucket {
    /// So much a second, and so much saved up at most, as it is from the start.
    #[must_use]
    pub fn new(now: Timestamp, rate: f64, most: f64) -> TokenBucket {
        TokenBucket { level: most, rate, most, at: now }
    }

    pub fn level(&mut self, now: Timestamp) -> f64 {
        // A clock that goes back gives nothing and takes nothing.
        let passed = (now - self.at).as_secs_f64().max(0.0);
        self.level = (self.level + passed * self.rate).min(self.most);
        self.at = self.at.max(now);
        self.level
    }

    /// Danger: a single turn that took a second keeps all others out for as long as the debt takes to come back. So a debt is
    /// no more than what may be saved up.
    pub fn spend(&mut self, now: Timestamp, what: f64) {
        self.level = (self.level(now) - what).max(-self.most);
    }

    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.most
    }
}
