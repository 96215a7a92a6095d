//! How a router that starts asks discovery, when all others start with it. Discovery bears so many calls a second from the
//! whole fleet; each router knows how many there are, and draws its moment in the time that all of them need together.

use arrowyard_types::TimeDelta;
use fastrand::Rng;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Calls a second that discovery bears from all routers together.
    pub calls: f64,
    /// A router that knows no host waits no longer than this for its first call: all its ops wait, too.
    pub patience: TimeDelta,
    /// The longest pause after calls that failed, and the shortest.
    pub most: TimeDelta,
    pub least: TimeDelta,
}

impl Default for Pace {
    fn default() -> Self {
        let ms = TimeDelta::from_millis;
        Pace { calls: 100.0, patience: ms(1000), most: ms(10_000), least: ms(100) }
    }
}

/// One router among those that call.
#[derive(Clone, Debug)]
pub struct Herd {
    pace: Pace,
    routers: f64,
    /// Calls in a row that failed.
    failed: u32,
    rng: Rng,
}

/// Doublings of the pause at most.
const DOUBLINGS: u32 = 10;

impl Herd {
    #[must_use]
    pub fn new(pace: Pace, routers: f64, seed: u64) -> Herd {
        Herd { pace, routers: routers.max(1.0), failed: 0, rng: Rng::with_seed(seed) }
    }

    /// How many routers there are, as far as is known now.
    pub fn count(&mut self, routers: f64) {
        self.routers = routers.max(1.0);
    }

    /// The time that all routers together need for a call each.
    #[must_use]
    pub fn window(&self) -> TimeDelta {
        TimeDelta::from_micros((self.routers / self.pace.calls.max(1e-3) * 1e6) as i64)
    }

    /// How long to wait before the next call. `listed`: a list is there that is used meanwhile. Danger: a fleet that starts
    /// at once, or loses its discovery at once, calls at one moment; whoever is refused calls again, all at one moment, and
    /// a discovery that is just up falls under calls that are not served before their callers give up. So the moment is
    /// drawn in the whole of a window (full jitter), and the window doubles with each call in a row that fails.
    pub fn wait(&mut self, listed: bool) -> TimeDelta {
        let window = self.window();
        if self.failed == 0 {
            let window = if listed { window } else { window.min(self.pace.patience) };
            return window * self.rng.f64();
        }
        let doubled = window.max(self.pace.least) * f64::from(1_u32 << self.failed.min(DOUBLINGS));
        // Never at once: a refusal that costs nothing is asked for as fast as it comes.
        self.pace.least + doubled.min(self.pace.most) * self.rng.f64()
    }

    /// Whether the last call failed.
    #[must_use]
    pub fn fails(&self) -> bool {
        self.failed > 0
    }

    /// A call brought a list.
    pub fn good(&mut self) {
        self.failed = 0;
    }

    /// A call failed, whatever of it: refused, broken off, silent.
    pub fn failed(&mut self) {
        self.failed += 1;
    }
}
