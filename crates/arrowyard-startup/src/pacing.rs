//! How a router that starts asks discovery, when all others start with it. Discovery bears so many calls a second from the
//! whole fleet; each router knows how many there are, and draws its moment in the time that all of them need together.

use arrowyard_types::TimeDelta;
use fastrand::Rng;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PacingConfig {
    /// Calls a second that discovery bears from all routers together.
    pub max_calls_per_s: f64,
    /// A router that knows no host waits no longer than this for its first call: all its ops wait, too.
    pub max_first_wait: TimeDelta,
    /// The longest pause after calls that failed, and the shortest.
    pub max_backoff: TimeDelta,
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

/// One router among those that call.
#[derive(Clone, Debug)]
pub struct CallPacer {
    pace: PacingConfig,
    routers: f64,
    /// Calls in a row that failed.
    failed: u32,
    rng: Rng,
}

/// Doublings of the pause at most.
const DOUBLINGS: u32 = 10;

impl CallPacer {
    #[must_use]
    pub fn new(pace: PacingConfig, routers: f64, seed: u64) -> CallPacer {
        CallPacer { pace, routers: routers.max(1.0), failed: 0, rng: Rng::with_seed(seed) }
    }

    /// How many routers there are, as far as is known now.
    pub fn set_router_count(&mut self, routers: f64) {
        self.routers = routers.max(1.0);
    }

    /// The time that all routers together need for a call each.
    #[must_use]
    pub fn window(&self) -> TimeDelta {
        TimeDelta::from_micros((self.routers / self.pace.max_calls_per_s.max(1e-3) * 1e6) as i64)
    }

    /// How long to wait before the next call. `listed`: a list is there that is used meanwhile. Danger: a fleet that starts
    /// at once, or loses its discovery at once, calls at one moment; whoever is refused calls again, all at one moment, and
    /// a discovery that is just up falls under calls that are not served before their callers give up. So the moment is
    /// drawn in the whole of a window (full jitter), and the window doubles with each call in a row that fails.
    pub fn next_wait(&mut self, listed: bool) -> TimeDelta {
        let window = self.window();
        if self.failed == 0 {
            let window = if listed { window } else { window.min(self.pace.max_first_wait) };
            return window * self.rng.f64();
        }
        let doubled = window.max(self.pace.min_backoff) * f64::from(1_u32 << self.failed.min(DOUBLINGS));
        // Never at once: a refusal that costs nothing is asked for as fast as it comes.
        self.pace.min_backoff + doubled.min(self.pace.max_backoff) * self.rng.f64()
    }

    /// Whether the last call failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failed > 0
    }

    /// A call brought a list.
    pub fn record_success(&mut self) {
        self.failed = 0;
    }

    /// A call failed, whatever of it: refused, broken off, silent.
    pub fn record_failure(&mut self) {
        self.failed += 1;
    }
}
