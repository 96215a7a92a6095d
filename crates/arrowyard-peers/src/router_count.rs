//! How many routers there are, as far as shares go. Danger: a router that takes the others for gone spends their share,
//! and all together push a cold host over. So when it is unsure the larger number counts: the count rises at once and
//! falls only where it was settled for a while, this router is in the larger part, and what is missing is missing for long.

use arrowyard_types::{TimeDelta, Timestamp};

/// The count is at most so many times what the settings say: one that invents members starves the others.
const MAX_CONFIGURED_MULTIPLE: f64 = 4.0;

#[derive(Clone, Debug)]
pub struct RouterCountEstimator {
    configured: f64,
    settle_time: TimeDelta,
    estimate: f64,
    /// The largest count since it last could fall.
    window_start: Timestamp,
    window_max: f64,
}

/// What the view says in a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipSample {
    /// This router and those in reach.
    pub reachable: usize,
    /// And those that may act, though nobody reaches them: missing for less than is forgiven, and for longer.
    pub missing: usize,
    pub long_missing: usize,
    /// It joined, and does not doubt itself.
    pub reliable: bool,
}

impl RouterCountEstimator {
    #[must_use]
    pub fn new(now: Timestamp, settings: f64, settle: TimeDelta) -> RouterCountEstimator {
        let settings = settings.max(1.0);
        RouterCountEstimator {
            configured: settings,
            settle_time: settle,
            estimate: settings,
            window_start: now,
            window_max: settings,
        }
    }

    /// What was counted is in doubt.
    pub fn restart_window(&mut self, now: Timestamp) {
        self.window_start = now;
        self.window_max = self.window_max.max(self.estimate).max(self.configured);
    }

    /// The count from now on; whether it changed.
    pub fn update(&mut self, now: Timestamp, sight: MembershipSample) -> bool {
        let MembershipSample { reachable: reach, missing, long_missing: forgiven, reliable: sure } = sight;
        let whole = reach + missing + forgiven;
        let larger = reach * 2 > whole;
        let unsure = !sure || !larger;
        // In the smaller part of a cut all count that ever were there.
        let told = if unsure { (whole as f64).max(self.configured) } else { (reach + missing) as f64 };
        let told = told.clamp(1.0, self.configured * MAX_CONFIGURED_MULTIPLE);
        let before = self.estimate;
        if unsure {
            self.restart_window(now);
        }
        self.window_max = self.window_max.max(told);
        if told > self.estimate {
            (self.estimate, self.window_start, self.window_max) = (told, now, told);
        } else if now - self.window_start >= self.settle_time {
            // The largest that was seen in the whole time: a count that comes and goes stays where it was.
            (self.estimate, self.window_start, self.window_max) = (self.window_max, now, told);
        }
        self.estimate != before
    }

    #[must_use]
    pub fn routers(&self) -> f64 {
        self.estimate
    }
}
