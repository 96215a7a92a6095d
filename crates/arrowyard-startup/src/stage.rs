//! The stages of a start, and the criterion for full service.

use std::collections::BTreeMap;

use arrowyard_types::{GroupId, TimeDelta, Timestamp};
use fastrand::Rng;

/// The progress of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No host is known.
    NoHosts,
    /// A list from the platform or from the store is in use, which discovery has not confirmed.
    Unconfirmed,
    /// Discovery has sent a list.
    Listed,
    /// Each requested group has acknowledged a read and, if writes were requested, a write.
    Proven,
    /// Nearly all operations have been acknowledged in the required number of windows.
    Full,
}

/// The criterion for full service.
#[derive(Clone, Copy, Debug)]
pub struct StartupConfig {
    /// Service is full once this share of the finished operations is acknowledged in each of
    /// `required_windows` consecutive windows.
    pub min_acked_share: f64,
    pub window: TimeDelta,
    pub required_windows: u32,
    /// A window with fewer finished operations is extended.
    pub min_window_ops: u32,
    /// The start ends after this time even without full service.
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

/// The result of a completed start.
#[derive(Clone, Debug, PartialEq)]
pub struct StartupReport {
    /// From the start to the beginning of the served windows.
    pub took: TimeDelta,
    /// The stage that took longest to reach, and how long.
    pub longest_stage: Stage,
    pub longest_wait: TimeDelta,
    /// False if the start ended by timeout.
    pub is_full_service: bool,
}

/// The operations of a group since the start.
#[derive(Clone, Copy, Debug, Default)]
struct GroupStats {
    requested: bool,
    read_acked: bool,
    write_acked: bool,
    write_requested: bool,
}

/// Tracks the start of a router.
pub struct StartupTracker {
    config: StartupConfig,
    started_at: Timestamp,
    stage: Stage,
    /// When each stage was reached.
    reached: BTreeMap<Stage, Timestamp>,
    groups: BTreeMap<GroupId, GroupStats>,
    window_start: Timestamp,
    acked: u32,
    failed: u32,
    served_windows: u32,
    /// When the current run of served windows began.
    served_since: Option<Timestamp>,
    is_over: bool,
}

impl StartupTracker {
    /// Begins a start; `listed`: an unconfirmed list is available already.
    #[must_use]
    pub fn start(now: Timestamp, config: StartupConfig, listed: bool) -> StartupTracker {
        let stage = if listed { Stage::Unconfirmed } else { Stage::NoHosts };
        let reached = BTreeMap::from([(Stage::NoHosts, now), (stage, now)]);
        StartupTracker {
            config,
            started_at: now,
            stage,
            reached,
            groups: BTreeMap::new(),
            window_start: now,
            acked: 0,
            failed: 0,
            served_windows: 0,
            served_since: None,
            is_over: false,
        }
    }

    /// The stage reached so far.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether the start is over, by full service or by timeout.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    fn reach(&mut self, now: Timestamp, stage: Stage) {
        if stage > self.stage {
            self.stage = stage;
            self.reached.insert(stage, now);
        }
    }

    /// A list came from the store or the platform after the start.
    pub fn unconfirmed_list_received(&mut self, now: Timestamp) {
        self.reach(now, Stage::Unconfirmed);
    }

    /// Discovery has sent a list.
    pub fn discovery_responded(&mut self, now: Timestamp) {
        self.reach(now, Stage::Listed);
    }

    /// A client requested an operation.
    pub fn op_received(&mut self, group: GroupId, write: bool) {
        if self.is_over {
            return;
        }
        let group = self.groups.entry(group).or_default();
        (group.requested, group.write_requested) = (true, group.write_requested || write);
    }

    /// An operation was acknowledged.
    pub fn op_acked(&mut self, now: Timestamp, group: GroupId, write: bool) {
        if self.is_over {
            return;
        }
        self.acked += 1;
        let stats = self.groups.entry(group).or_default();
        (stats.read_acked, stats.write_acked) = (stats.read_acked || !write, stats.write_acked || write);
        let proven = |stats: &GroupStats| {
            !stats.requested || stats.write_acked || stats.read_acked && !stats.write_requested
        };
        if self.stage >= Stage::Unconfirmed && self.groups.values().all(proven) {
            // Also without discovery, since hosts that respond are proven to exist.
            self.reach(now, Stage::Proven);
        }
    }

    /// An operation was rejected or failed.
    pub fn op_failed(&mut self) {
        self.failed += u32::from(!self.is_over);
    }

    /// Evaluates the current window. Returns the report once, when the start is over.
    pub fn tick(&mut self, now: Timestamp) -> Option<StartupReport> {
        if self.is_over {
            return None;
        }
        let finished = self.acked + self.failed;
        if now - self.window_start >= self.config.window
            && (finished >= self.config.min_window_ops || finished == 0)
        {
            let served = f64::from(self.acked) >= f64::from(finished) * self.config.min_acked_share;
            if finished == 0 {
                // No operation finished: neither served nor failed.
            } else if served && self.stage >= Stage::Proven {
                // The window may have begun before anything could be served.
                let proven = self.reached.get(&Stage::Proven).copied().unwrap_or(now);
                self.served_since = self.served_since.or(Some(self.window_start.max(proven)));
                self.served_windows += 1;
            } else {
                (self.served_since, self.served_windows) = (None, 0);
            }
            (self.window_start, self.acked, self.failed) = (now, 0, 0);
        }
        let full = self.served_windows >= self.config.required_windows;
        if !full && now - self.started_at < self.config.timeout {
            return None;
        }
        self.is_over = true;
        let end = if full { self.served_since.unwrap_or(now) } else { now };
        if full {
            self.reach(end, Stage::Full);
        }
        // The duration of each stage, counted from the previous one.
        let mut before = self.started_at;
        let mut longest = (TimeDelta::ZERO, self.stage);
        for (&stage, &at) in &self.reached {
            longest = longest.max((at - before, stage));
            before = before.max(at);
        }
        if !full {
            longest = longest.max((now - before, Stage::Full));
        }
        Some(StartupReport {
            took: end - self.started_at,
            longest_stage: longest.1,
            longest_wait: longest.0,
            is_full_service: full,
        })
    }

    /// When a rejected client should retry. During a start the delay is jittered, so that the clients of a
    /// fleet that starts at once do not all retry at the same moment.
    #[must_use]
    pub fn retry_after(
        &self,
        requested: Option<TimeDelta>,
        max: TimeDelta,
        rng: &mut Rng,
    ) -> Option<TimeDelta> {
        if self.is_over {
            return requested;
        }
        Some(jittered_retry_after(requested, max, rng))
    }
}

/// A delay drawn uniformly between `requested` and `max`, the maximum that a client accepts.
#[must_use]
pub fn jittered_retry_after(requested: Option<TimeDelta>, max: TimeDelta, rng: &mut Rng) -> TimeDelta {
    let from = requested.unwrap_or_default().min(max);
    from + (max - from) * rng.f64()
}
