//! Estimates the number of routers that share the capacity of the hosts. If routers underestimate it, each
//! uses the shares of others, and together they overload the hosts. When in doubt the larger number is used:
//! the estimate rises at once, and falls only if it was stable for the settle time, this router is in the
//! majority, and the missing members have been missing for long.

use arrowyard_types::{TimeDelta, Timestamp};

/// Upper bound of the estimate as a multiple of the configured number. It limits the effect of a member that
/// announces nonexistent members.
const MAX_CONFIGURED_MULTIPLE: f64 = 4.0;

/// Estimator of the number of routers.
#[derive(Clone, Debug)]
pub struct RouterCountEstimator {
    configured: f64,
    settle_time: TimeDelta,
    estimate: f64,
    /// Start of the current settle window, and the largest number seen in it.
    window_start: Timestamp,
    window_max: f64,
}

/// Member counts at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipSample {
    /// This router and the members that are alive.
    pub reachable: usize,
    /// Members that may still be running but are unreachable: for less than the grace period, and for
    /// longer.
    pub missing: usize,
    pub long_missing: usize,
    /// Whether this router has joined and does not suspect itself.
    pub reliable: bool,
}

impl RouterCountEstimator {
    /// Starts at the configured number of routers.
    #[must_use]
    pub fn new(now: Timestamp, configured: f64, settle_time: TimeDelta) -> RouterCountEstimator {
        let configured = configured.max(1.0);
        RouterCountEstimator {
            configured,
            settle_time,
            estimate: configured,
            window_start: now,
            window_max: configured,
        }
    }

    /// Restarts the settle window because the counts are unreliable.
    pub fn restart_window(&mut self, now: Timestamp) {
        self.window_start = now;
        self.window_max = self.window_max.max(self.estimate).max(self.configured);
    }

    /// Updates the estimate, and returns whether it changed.
    pub fn update(&mut self, now: Timestamp, sample: MembershipSample) -> bool {
        let MembershipSample { reachable, missing, long_missing, reliable } = sample;
        let total = reachable + missing + long_missing;
        let majority = reachable * 2 > total;
        let uncertain = !reliable || !majority;
        // In doubt, and in the minority of a partition, unreachable members count in full.
        let count =
            if uncertain { (total as f64).max(self.configured) } else { (reachable + missing) as f64 };
        let count = count.clamp(1.0, self.configured * MAX_CONFIGURED_MULTIPLE);
        let previous = self.estimate;
        if uncertain {
            self.restart_window(now);
        }
        self.window_max = self.window_max.max(count);
        if count > self.estimate {
            (self.estimate, self.window_start, self.window_max) = (count, now, count);
        } else if now - self.window_start >= self.settle_time {
            // Uses the maximum of the whole window, so that a fluctuating count does not lower the estimate.
            (self.estimate, self.window_start, self.window_max) = (self.window_max, now, count);
        }
        self.estimate != previous
    }

    /// The current estimate.
    #[must_use]
    pub fn routers(&self) -> f64 {
        self.estimate
    }
}
