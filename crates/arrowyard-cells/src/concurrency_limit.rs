//! A limit on a cell's ops in hand that follows the latency of its answers: the gradient form. A slow average is
//! what the cell's hosts take when all is well; as long as a quick average stays near it the limit grows by its
//! root, and by as much as the quick one is slower it shrinks. Latency is counted in latency targets, so that op
//! types of unlike length can be averaged.

use crate::layout::ConcurrencyLimitConfig;

/// How much slower than the slow average the quick one may be before the limit shrinks.
const LATENCY_TOLERANCE: f64 = 1.5;
/// The weight of one answer in the quick and in the slow average.
const FAST_WEIGHT: f64 = 0.1;
const SLOW_WEIGHT: f64 = 0.002;
/// How far one answer moves the limit towards what the gradient says.
const LIMIT_SMOOTHING: f64 = 0.2;
/// What an unanswered send leaves of the limit.
const FAILURE_FACTOR: f64 = 0.9;

#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    config: ConcurrencyLimitConfig,
    limit: f64,
    fast_average: Option<f64>,
    slow_average: f64,
    /// Outcomes till the limit may be cut for a lost one again: about one round.
    outcomes_until_cut: u32,
}

impl ConcurrencyLimit {
    pub fn new(config: ConcurrencyLimitConfig) -> Self {
        ConcurrencyLimit {
            config,
            limit: config.initial,
            fast_average: None,
            slow_average: 0.0,
            outcomes_until_cut: 0,
        }
    }

    pub fn set_config(&mut self, config: ConcurrencyLimitConfig) {
        *self = ConcurrencyLimit { config, limit: self.limit.clamp(config.min, config.max), ..*self };
    }

    pub fn limit(&self) -> u64 {
        self.limit as u64
    }

    /// An answer that took `used` latency targets, while so many ops were in hand.
    pub fn record_response(&mut self, latency: f64, in_flight: u64) {
        let latency = latency.clamp(1e-3, 100.0);
        let fast = self.fast_average.map_or(latency, |fast| fast + (latency - fast) * FAST_WEIGHT);
        self.slow_average = if self.fast_average.is_none() {
            latency
        } else {
            self.slow_average + (latency - self.slow_average) * SLOW_WEIGHT
        };
        self.fast_average = Some(fast);
        self.outcomes_until_cut = self.outcomes_until_cut.saturating_sub(1);
        // After a jam the slow average is too high; it comes down as fast as the quick one.
        if fast < self.slow_average * 0.5 {
            self.slow_average += (fast - self.slow_average) * FAST_WEIGHT;
        }
        // Danger: a cell with little to do seems to bear any limit, and finds out in its first flood.
        if (in_flight as f64) < self.limit * 0.5 && fast <= self.slow_average * LATENCY_TOLERANCE {
            return;
        }
        let gradient = (LATENCY_TOLERANCE * self.slow_average / fast).clamp(0.5, 1.0);
        let wanted = self.limit * gradient + self.limit.sqrt();
        self.limit += (wanted - self.limit) * LIMIT_SMOOTHING / self.limit.max(1.0).sqrt();
        self.limit = self.limit.clamp(self.config.min, self.config.max);
    }

    /// A send timed out or was turned away.
    pub fn record_failure(&mut self) {
        if self.outcomes_until_cut > 0 {
            self.outcomes_until_cut -= 1;
        } else {
            self.limit = (self.limit * FAILURE_FACTOR).max(self.config.min);
            self.outcomes_until_cut = self.limit as u32;
        }
    }
}
