//! Adaptive concurrency limit of a cell, by the latency gradient. A slow moving average is the baseline
//! latency of the cell's hosts. While a fast moving average stays close to it, the limit grows by its square
//! root; when the fast average rises, the limit shrinks in proportion. Latency is expressed in multiples of
//! the op type's latency target, so that op types of different length can be averaged.

use crate::layout::ConcurrencyLimitConfig;

/// Ratio of the fast to the slow average above which the limit shrinks.
const LATENCY_TOLERANCE: f64 = 1.5;
/// Weights of one response in the fast and in the slow average.
const FAST_WEIGHT: f64 = 0.1;
const SLOW_WEIGHT: f64 = 0.002;
/// Fraction by which one response moves the limit towards its target.
const LIMIT_SMOOTHING: f64 = 0.2;
/// Factor that a failed send applies to the limit.
const FAILURE_FACTOR: f64 = 0.9;

/// The adaptive limit of one cell.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    config: ConcurrencyLimitConfig,
    limit: f64,
    fast_average: Option<f64>,
    slow_average: f64,
    /// Outcomes until a failure may cut the limit again: about one round of in-flight ops.
    outcomes_until_cut: u32,
}

impl ConcurrencyLimit {
    /// Creates a limit at its initial value.
    pub fn new(config: ConcurrencyLimitConfig) -> Self {
        ConcurrencyLimit {
            config,
            limit: config.initial,
            fast_average: None,
            slow_average: 0.0,
            outcomes_until_cut: 0,
        }
    }

    /// Applies new bounds and keeps the averages.
    pub fn set_config(&mut self, config: ConcurrencyLimitConfig) {
        *self = ConcurrencyLimit { config, limit: self.limit.clamp(config.min, config.max), ..*self };
    }

    /// The current limit on in-flight ops.
    pub fn limit(&self) -> u64 {
        self.limit as u64
    }

    /// Records a response that took `latency` latency targets while `in_flight` ops were in flight.
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
        // After congestion the slow average is too high; it follows the fast one down at the fast rate.
        if fast < self.slow_average * 0.5 {
            self.slow_average += (fast - self.slow_average) * FAST_WEIGHT;
        }
        // An underused cell does not test its limit. Growing it then would leave it without effect in the
        // next burst.
        if (in_flight as f64) < self.limit * 0.5 && fast <= self.slow_average * LATENCY_TOLERANCE {
            return;
        }
        let gradient = (LATENCY_TOLERANCE * self.slow_average / fast).clamp(0.5, 1.0);
        let target = self.limit * gradient + self.limit.sqrt();
        self.limit += (target - self.limit) * LIMIT_SMOOTHING / self.limit.max(1.0).sqrt();
        self.limit = self.limit.clamp(self.config.min, self.config.max);
    }

    /// Records a send that timed out or was refused for lack of capacity.
    pub fn record_failure(&mut self) {
        if self.outcomes_until_cut > 0 {
            self.outcomes_until_cut -= 1;
        } else {
            self.limit = (self.limit * FAILURE_FACTOR).max(self.config.min);
            self.outcomes_until_cut = self.limit as u32;
        }
    }
}
