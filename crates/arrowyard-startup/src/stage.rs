//! The stages of a start, and what full service is.

use std::collections::BTreeMap;

use arrowyard_types::{GroupId, TimeDelta, Timestamp};
use fastrand::Rng;

/// How far a start has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Nothing is known of any host.
    Blank,
    /// A list is there, and nobody has said that it still holds: the platform's own, or a stored one.
    Guess,
    /// Discovery has spoken.
    Listed,
    /// Each group that was asked for has answered a read and, if writes came, a write.
    Proven,
    /// Most ops are served, and were for a while.
    Full,
}

#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Full service: this share of the ops that are answered in each of so many slices of time in a row is acked.
    pub share: f64,
    pub slice: TimeDelta,
    pub slices: u32,
    /// A slice with fewer answers says nothing and is joined to the next.
    pub ops: u32,
    /// After this long a start is over, whatever is served: what is missing then is no matter of the start.
    pub over: TimeDelta,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            share: 0.95,
            slice: TimeDelta::from_millis(250),
            slices: 8,
            ops: 4,
            over: TimeDelta::from_millis(60_000),
        }
    }
}

/// A start that is over.
#[derive(Clone, Debug, PartialEq)]
pub struct Full {
    /// From the start to the begin of the slices that were served.
    pub took: TimeDelta,
    /// The stage that took longest, and how long.
    pub waited_for: Stage,
    pub waited: TimeDelta,
    /// Whether service is full, or time was up.
    pub full: bool,
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
pub struct Return {
    terms: Terms,
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

impl Return {
    /// `listed`: a list is there already, which nobody has confirmed.
    #[must_use]
    pub fn start(now: Timestamp, terms: Terms, listed: bool) -> Return {
        let stage = if listed { Stage::Guess } else { Stage::Blank };
        let reached = BTreeMap::from([(Stage::Blank, now), (stage, now)]);
        Return {
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
    pub fn guessed(&mut self, now: Timestamp) {
        self.reach(now, Stage::Guess);
    }

    /// Discovery has spoken.
    pub fn listed(&mut self, now: Timestamp) {
        self.reach(now, Stage::Listed);
    }

    /// An op came.
    pub fn asked(&mut self, group: GroupId, write: bool) {
        if self.over {
            return;
        }
        let group = self.groups.entry(group).or_default();
        (group.asked, group.writes) = (true, group.writes || write);
    }

    /// An op was acked.
    pub fn acked(&mut self, now: Timestamp, group: GroupId, write: bool) {
        if self.over {
            return;
        }
        self.acked += 1;
        let one = self.groups.entry(group).or_default();
        (one.read, one.wrote) = (one.read || !write, one.wrote || write);
        let proven = |one: &Group| !one.asked || one.wrote || one.read && !one.writes;
        if self.stage >= Stage::Guess && self.groups.values().all(proven) {
            // Without discovery, too: hosts that answer are there, whatever nobody says of them.
            self.reach(now, Stage::Proven);
        }
    }

    /// An op was given back, or failed.
    pub fn failed(&mut self) {
        self.failed += u32::from(!self.over);
    }

    /// Time has passed; once, what the start took.
    pub fn tick(&mut self, now: Timestamp) -> Option<Full> {
        if self.over {
            return None;
        }
        let answered = self.acked + self.failed;
        if now - self.slice >= self.terms.slice && (answered >= self.terms.ops || answered == 0) {
            let served = f64::from(self.acked) >= f64::from(answered) * self.terms.share;
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
        let full = self.good >= self.terms.slices;
        if !full && now - self.began < self.terms.over {
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
        Some(Full { took: end - self.began, waited_for: longest.1, waited: longest.0, full })
    }

    /// When a client that is given back should come again. Danger: a whole fleet starts at once, gives its clients back at
    /// once, and all of them come again at the same moment, for which nobody is ready either.
    #[must_use]
    pub fn after(&self, told: Option<TimeDelta>, most: TimeDelta, rng: &mut Rng) -> Option<TimeDelta> {
        if self.over {
            return told;
        }
        Some(spread(told, most, rng))
    }
}

/// A time between what was told and the most that a client may be told, drawn evenly: full jitter.
#[must_use]
pub fn spread(told: Option<TimeDelta>, most: TimeDelta, rng: &mut Rng) -> TimeDelta {
    let from = told.unwrap_or_default().min(most);
    from + (most - from) * rng.f64()
}
