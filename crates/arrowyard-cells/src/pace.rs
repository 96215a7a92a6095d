//! A limit on a cell's ops in hand that follows the latency of its answers: the gradient form. A slow average is
//! what the cell's hosts take when all is well; as long as a quick average stays near it the limit grows by its
//! root, and by as much as the quick one is slower it shrinks. Latency is counted in latency targets, so that op
//! types of unlike length can be averaged.

use crate::layout::Pace as Terms;

/// How much slower than the slow average the quick one may be before the limit shrinks.
const TOLERANCE: f64 = 1.5;
/// The weight of one answer in the quick and in the slow average.
const QUICK: f64 = 0.1;
const SLOW: f64 = 0.002;
/// How far one answer moves the limit towards what the gradient says.
const SMOOTH: f64 = 0.2;
/// What an unanswered send leaves of the limit.
const LOST: f64 = 0.9;

#[derive(Clone, Copy, Debug)]
pub struct Pace {
    terms: Terms,
    limit: f64,
    quick: Option<f64>,
    slow: f64,
    /// Outcomes till the limit may be cut for a lost one again: about one round.
    rest: u32,
}

impl Pace {
    pub fn new(terms: Terms) -> Self {
        Pace { terms, limit: terms.first, quick: None, slow: 0.0, rest: 0 }
    }

    pub fn renew(&mut self, terms: Terms) {
        *self = Pace { terms, limit: self.limit.clamp(terms.least, terms.most), ..*self };
    }

    pub fn limit(&self) -> u64 {
        self.limit as u64
    }

    /// An answer that took `used` latency targets, while so many ops were in hand.
    pub fn answered(&mut self, used: f64, in_hand: u64) {
        let used = used.clamp(1e-3, 100.0);
        let quick = self.quick.map_or(used, |quick| quick + (used - quick) * QUICK);
        self.slow = if self.quick.is_none() { used } else { self.slow + (used - self.slow) * SLOW };
        self.quick = Some(quick);
        self.rest = self.rest.saturating_sub(1);
        // After a jam the slow average is too high; it comes down as fast as the quick one.
        if quick < self.slow * 0.5 {
            self.slow += (quick - self.slow) * QUICK;
        }
        // Danger: a cell with little to do seems to bear any limit, and finds out in its first flood.
        if (in_hand as f64) < self.limit * 0.5 && quick <= self.slow * TOLERANCE {
            return;
        }
        let gradient = (TOLERANCE * self.slow / quick).clamp(0.5, 1.0);
        let wanted = self.limit * gradient + self.limit.sqrt();
        self.limit += (wanted - self.limit) * SMOOTH / self.limit.max(1.0).sqrt();
        self.limit = self.limit.clamp(self.terms.least, self.terms.most);
    }

    /// A send timed out or was turned away.
    pub fn lost(&mut self) {
        if self.rest > 0 {
            self.rest -= 1;
        } else {
            self.limit = (self.limit * LOST).max(self.terms.least);
            self.rest = self.limit as u32;
        }
    }
}
