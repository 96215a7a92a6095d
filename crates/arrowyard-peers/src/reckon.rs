//! How many routers there are, as far as shares go. Danger: a router that takes the others for gone spends their share,
//! and all together push a cold host over. So when it is unsure the larger number counts: the count rises at once and
//! falls only where it was settled for a while, this router is in the larger part, and what is missing is missing for long.

use arrowyard_types::{TimeDelta, Timestamp};

/// The count is at most so many times what the settings say: one that invents members starves the others.
const MOST: f64 = 4.0;

#[derive(Clone, Debug)]
pub struct Reckoner {
    settings: f64,
    settle: TimeDelta,
    routers: f64,
    /// The largest count since it last could fall.
    since: Timestamp,
    seen: f64,
}

/// What the view says in a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sight {
    /// This router and those in reach.
    pub reach: usize,
    /// And those that may act, though nobody reaches them: missing for less than is forgiven, and for longer.
    pub missing: usize,
    pub forgiven: usize,
    /// It joined, and does not doubt itself.
    pub sure: bool,
}

impl Reckoner {
    #[must_use]
    pub fn new(now: Timestamp, settings: f64, settle: TimeDelta) -> Reckoner {
        let settings = settings.max(1.0);
        Reckoner { settings, settle, routers: settings, since: now, seen: settings }
    }

    /// What was counted is in doubt.
    pub fn unsettle(&mut self, now: Timestamp) {
        self.since = now;
        self.seen = self.seen.max(self.routers).max(self.settings);
    }

    /// The count from now on; whether it changed.
    pub fn count(&mut self, now: Timestamp, sight: Sight) -> bool {
        let Sight { reach, missing, forgiven, sure } = sight;
        let whole = reach + missing + forgiven;
        let larger = reach * 2 > whole;
        let unsure = !sure || !larger;
        // In the smaller part of a cut all count that ever were there.
        let told = if unsure { (whole as f64).max(self.settings) } else { (reach + missing) as f64 };
        let told = told.clamp(1.0, self.settings * MOST);
        let before = self.routers;
        if unsure {
            self.unsettle(now);
        }
        self.seen = self.seen.max(told);
        if told > self.routers {
            (self.routers, self.since, self.seen) = (told, now, told);
        } else if now - self.since >= self.settle {
            // The largest that was seen in the whole time: a count that comes and goes stays where it was.
            (self.routers, self.since, self.seen) = (self.seen, now, told);
        }
        self.routers != before
    }

    #[must_use]
    pub fn routers(&self) -> f64 {
        self.routers
    }
}
