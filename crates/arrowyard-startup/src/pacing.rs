//! Paces the calls of a router to discovery when many routers start at once. Discovery sustains a limited
//! rate of calls; each router draws the time of its call from the window that calls of all routers need.

use arrowyard_types::TimeDelta;
use fastrand::Rng;

/// Limits on calls to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PacingConfig {
    /// The rate of calls that discovery sustains from all routers together.
    pub max_calls_per_s: f64,
    /// The maximum delay of the first call of a router that knows no host, since all its operations wait for
    /// it.
    pub max_first_wait: TimeDelta,
    /// The longest backoff after failed calls.
    pub max_backoff: TimeDelta,
    /// The shortest backoff after failed calls.
    pub min_backoff: TimeDelta,
}

impl Default for PacingConfig {
    fn default() -> Self {
        let ms = TimeDelta::from_millis;
        PacingConfig {
            max_calls_per_s: 100.0,
            max_first_wait: ms(1000),
            max_backoff: ms(10_000),
            min_backoff: ms(100),
        }
    }
}

/// Schedules the calls of one router.
#[derive(Clone, Debug)]
pub struct CallPacer {
    config: PacingConfig,
    /// The number of routers in the fleet.
    routers: f64,
    /// Consecutive failed calls.
    failures: u32,
    rng: Rng,
}

/// Maximum number of doublings of the backoff window.
const MAX_DOUBLINGS: u32 = 10;

impl CallPacer {
    /// Creates the schedule of one router in a fleet of `routers`.
    #[must_use]
    pub fn new(config: PacingConfig, routers: f64, seed: u64) -> CallPacer {
        CallPacer { config, routers: routers.max(1.0), failures: 0, rng: Rng::with_seed(seed) }
    }

    /// Updates the number of routers in the fleet.
    pub fn set_router_count(&mut self, routers: f64) {
        self.routers = routers.max(1.0);
    }

    /// The time that discovery needs for one call of each router.
    #[must_use]
    pub fn window(&self) -> TimeDelta {
        TimeDelta::from_micros((self.routers / self.config.max_calls_per_s.max(1e-3) * 1e6) as i64)
    }

    /// The delay before the next call; `has_list` tells whether a list is in use meanwhile. The delay is drawn
    /// from a window that doubles with each consecutive failure (full jitter), so that a fleet that starts at
    /// once does not overload discovery.
    pub fn next_wait(&mut self, has_list: bool) -> TimeDelta {
        let window = self.window();
        if self.failures == 0 {
            let window = if has_list { window } else { window.min(self.config.max_first_wait) };
            return window * self.rng.f64();
        }
        let backoff_window =
            window.max(self.config.min_backoff) * f64::from(1_u32 << self.failures.min(MAX_DOUBLINGS));
        // Never zero, since a refused connection may fail immediately.
        self.config.min_backoff + backoff_window.min(self.config.max_backoff) * self.rng.f64()
    }

    /// Whether the last call failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// A call returned a list.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// A call failed: refused, interrupted or timed out.
    pub fn record_failure(&mut self) {
        self.failures += 1;
    }
}
