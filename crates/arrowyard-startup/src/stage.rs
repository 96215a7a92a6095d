//! The stages of a start, and what full service is.

use std::collections::BTreeMap;

use arrowyard_types::{GroupId, TimeDelta, Timestamp};
use fastrand::Rng;

/// How far a start has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Nothing is known of any host.
    NoHosts,
    /// A list is there, and nobody has said that it still holds: the platform's own, or a stored one.
    Unconfirmed,
    /// Discovery has spoken.
    Listed,
    /// Each group that was asked for has answered a read and, if writes came, a write.
    Proven,
    /// Most ops are served, and were for a while.
    Full,
}

#[derive(Clone, Copy, Debug)]
pub struct StartupConfig {
    /// Full service: this share of the ops that are answered in each of so many slices of time in a row is acked.
    pub min_acked_share: f64,
    pub window: TimeDelta,
    pub required_windows: u32,
    /// A slice with fewer answers says nothing and is joined to the next.
    pub min_window_ops: u32,
    /// After this long a start is over, whatever is served: what is missing then is no matter of the start.
    pub timeout: TimeDelta,
}

impl Default for StartupConfig {
    fn default() -> Self {
        StartupConfig {
            min_acked_share: 0.95,
            window: TimeDelta::from_millis(250),
            required_windows: 8,
            min_window_ops: 4,
            timeout: TimeDelta::from_millis(60_000),
        }
    }
}

/// A start that is over.
#[derive(Clone, Debug, PartialEq)]
pub struct StartupReport {
    /// From the start to the begin of the slices that were served.
    pub took: TimeDelta,
    /// The stage that took longest, and how long.
    pub longest_stage: Stage,
    pub longest_wait: TimeDelta,
    /// Whether service is full, or time was up.
    pub is_full_service: bool,
}

/// What became of the ops of a group since the start.
#[derive(Clone, Copy, Debug, Default)]
struct Group {
    asked: bool,
    read: bool,
    wrote: bool,
    writes: bool,
}

/// One router's start.
pub struct StartupTracker {
    terms: StartupConfig,
    began: Timestamp,
    stage: Stage,
    /// When each stage was reached.
    reached: BTreeMap<Stage, Timestamp>,
    groups: BTreeMap<GroupId, Group>,
    slice: Timestamp,
    acked: u32,
    failed: u32,
    good: u32,
    /// When the slices in a row that are served began.
    since: Option<Timestamp>,
    over: bool,
}

impl StartupTracker {
    /// `listed`: a list is there already, which nobody has confirmed.
    #[must_use]
    pub fn start(now: Timestamp, terms: StartupConfig, listed: bool) -> StartupTracker {
        let stage = if listed { Stage::Unconfirmed } else { Stage::NoHosts };
        let reached = BTreeMap::from([(Stage::NoHosts, now), (stage, now)]);
        StartupTracker {
            terms,
            began: now,
            stage,
            reached,
            groups: BTreeMap::new(),
            slice: now,
            acked: 0,
            failed: 0,
            good: 0,
            since: None,
            over: false,
        }
    }

    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether the start is over, by full service or by time.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.over
    }

    fn reach(&mut self, now: Timestamp, stage: Stage) {
        if stage > self.stage {
            self.stage = stage;
            self.reached.insert(stage, now);
        }
    }

    /// A list came from a store or from the platform after the start.
    pub fn unconfirmed_list_received(&mut self, now: Timestamp) {
        self.reach(now, Stage::Unconfirmed);
    }

    /// Discovery has spoken.
    pub fn discovery_responded(&mut self, now: Timestamp) {
        self.reach(now, Stage::Listed);
    }

    /// An op came.
    pub fn op_received(&mut self, group: GroupId, write: bool) {
        if self.over {
            return;
        }
        let group = self.groups.entry(group).or_default();
        (group.asked, group.writes) = (true, group.writes || write);
    }

    /// An op was acked.
    pub fn op_acked(&mut self, now: Timestamp, group: GroupId, write: bool) {
        if self.over {
            return;
        }
        self.acked += 1;
        let one = self.groups.entry(group).or_default();
        (one.read, one.wrote) = (one.read || !write, one.wrote || write);
        let proven = |one: &Group| !one.asked || one.wrote || one.read && !one.writes;
        if self.stage >= Stage::Unconfirmed && self.groups.values().all(proven) {
            // Without discovery, too: hosts that answer are there, whatever nobody says of them.
            self.reach(now, Stage::Proven);
        }
    }

    /// An op was given back, or failed.
    pub fn op_failed(&mut self) {
        self.failed += u32::from(!self.over);
    }

    /// Time has passed; once, what the start took.
    pub fn tick(&mut self, now: Timestamp) -> Option<StartupReport> {
        if self.over {
            return None;
        }
        let answered = self.acked + self.failed;
        if now - self.slice >= self.terms.window && (answered >= self.terms.min_window_ops || answered == 0) {
            let served = f64::from(self.acked) >= f64::from(answered) * self.terms.min_acked_share;
            if answered == 0 {
                // Nobody asks, or nobody was answered yet: that says nothing, either way.
            } else if served && self.stage >= Stage::Proven {
                // A slice may have begun before anything could be served.
                let proven = self.reached.get(&Stage::Proven).copied().unwrap_or(now);
                self.since = self.since.or(Some(self.slice.max(proven)));
                self.good += 1;
            } else {
                (self.since, self.good) = (None, 0);
            }
            (self.slice, self.acked, self.failed) = (now, 0, 0);
        }
        let full = self.good >= self.terms.required_windows;
        if !full && now - self.began < self.terms.timeout {
            return None;
        }
        self.over = true;
        let end = if full { self.since.unwrap_or(now) } else { now };
        if full {
            self.reach(end, Stage::Full);
        }
        // What each stage took: from the one before it.
        let mut before = self.began;
        let mut longest = (TimeDelta::ZERO, self.stage);
        for (&stage, &at) in &self.reached {
            longest = longest.max((at - before, stage));
            before = before.max(at);
        }
        if !full {
            longest = longest.max((now - before, Stage::Full));
        }
        Some(StartupReport {
            took: end - self.began,
            longest_stage: longest.1,
            longest_wait: longest.0,
            is_full_service: full,
        })
    }

    /// When a client that is given back should come again. Danger: a whole fleet starts at once, gives its clients back at
    /// once, and all of them come again at the same moment, for which nobody is ready either.
    #[must_use]
    pub fn retry_after(&self, told: Option<TimeDelta>, most: TimeDelta, rng: &mut Rng) -> Option<TimeDelta> {
        if self.over {
            return told;
        }
        Some(jittered_retry_after(told, most, rng))
    }
}

/// A time between what was told and the most that a client may be told, drawn evenly: full jitter.
#[must_use]
pub fn jittered_retry_after(told: Option<TimeDelta>, most: TimeDelta, rng: &mut Rng) -> TimeDelta {
    let from = told.unwrap_or_default().min(most);
    from + (most - from) * rng.f64()
}
