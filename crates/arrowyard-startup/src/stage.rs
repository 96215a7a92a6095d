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
    /// The required share of operations has been acknowledged in the required number of windows.
    Full,
}

/// The criterion for full service.
#[derive(Clone, Copy, Debug)]
pub struct StartupConfig {
    /// Service is full once this share of the finished operations is acknowledged in each of
    /// `required_windows` consecutive windows.
    pub min_acked_share: f64,
    /// The minimum length of a window.
    pub window: TimeDelta,
    /// The number of consecutive windows with the required share.
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
    /// From the start to the first window of the run with full service, or to the timeout.
    pub took: TimeDelta,
    /// The stage that took longest to reach from the previous one.
    pub longest_stage: Stage,
    /// How long the start took to reach that stage from the previous one.
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
    reached_at: BTreeMap<Stage, Timestamp>,
    groups: BTreeMap<GroupId, GroupStats>,
    window_start: Timestamp,
    acked: u32,
    failed: u32,
    /// Consecutive windows in which enough operations were acknowledged, and when the first of them began.
    served_windows: u32,
    served_since: Option<Timestamp>,
    is_over: bool,
}

impl StartupTracker {
    /// Begins a start; `has_list` tells whether an unconfirmed list is available already.
    #[must_use]
    pub fn start(now: Timestamp, config: StartupConfig, has_list: bool) -> StartupTracker {
        let stage = if has_list { Stage::Unconfirmed } else { Stage::NoHosts };
        let reached_at = BTreeMap::from([(Stage::NoHosts, now), (stage, now)]);
        StartupTracker {
            config,
            started_at: now,
            stage,
            reached_at,
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
            self.reached_at.insert(stage, now);
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
    pub fn op_received(&mut self, group: GroupId, is_write: bool) {
        if self.is_over {
            return;
        }
        let group = self.groups.entry(group).or_default();
        (group.requested, group.write_requested) = (true, group.write_requested || is_write);
    }

    /// An operation was acknowledged.
    pub fn op_acked(&mut self, now: Timestamp, group: GroupId, is_write: bool) {
        if self.is_over {
            return;
        }
        self.acked += 1;
        let stats = self.groups.entry(group).or_default();
        (stats.read_acked, stats.write_acked) =
            (stats.read_acked || !is_write, stats.write_acked || is_write);
        let is_proven = |stats: &GroupStats| {
            !stats.requested || stats.write_acked || stats.read_acked && !stats.write_requested
        };
        if self.stage >= Stage::Unconfirmed && self.groups.values().all(is_proven) {
            // Does not require a list from discovery, since hosts that respond are proven to exist.
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
            let is_served = f64::from(self.acked) >= f64::from(finished) * self.config.min_acked_share;
            if finished == 0 {
                // No operation finished: neither served nor failed.
            } else if is_served && self.stage >= Stage::Proven {
                // The window may have begun before anything could be served.
                let proven_at = self.reached_at.get(&Stage::Proven).copied().unwrap_or(now);
                self.served_since = self.served_since.or(Some(self.window_start.max(proven_at)));
                self.served_windows += 1;
            } else {
                (self.served_since, self.served_windows) = (None, 0);
            }
            (self.window_start, self.acked, self.failed) = (now, 0, 0);
        }
        let is_full_service = self.served_windows >= self.config.required_windows;
        if !is_full_service && now - self.started_at < self.config.timeout {
            return None;
        }
        self.is_over = true;
        let ended_at = if is_full_service { self.served_since.unwrap_or(now) } else { now };
        if is_full_service {
            self.reach(ended_at, Stage::Full);
        }
        // The duration of each stage, counted from the previous one.
        let mut previous_at = self.started_at;
        let mut longest = (TimeDelta::ZERO, self.stage);
        for (&stage, &at) in &self.reached_at {
            longest = longest.max((at - previous_at, stage));
            previous_at = previous_at.max(at);
        }
        if !is_full_service {
            longest = longest.max((now - previous_at, Stage::Full));
        }
        let (longest_wait, longest_stage) = longest;
        Some(StartupReport { took: ended_at - self.started_at, longest_stage, longest_wait, is_full_service })
    }

    /// When a rejected client should retry. During a start the delay is jittered, so that the clients of a
    /// fleet that starts at once do not all retry at the same moment.
    #[must_use]
    pub fn retry_after(
        &self,
        min_delay: Option<TimeDelta>,
        max_delay: TimeDelta,
        rng: &mut Rng,
    ) -> Option<TimeDelta> {
        if self.is_over {
            return min_delay;
        }
        Some(jittered_retry_after(min_delay, max_delay, rng))
    }
}

/// A delay drawn uniformly between `min_delay` and `max_delay`, the maximum that a client accepts.
#[must_use]
pub fn jittered_retry_after(min_delay: Option<TimeDelta>, max_delay: TimeDelta, rng: &mut Rng) -> TimeDelta {
    let shortest = min_delay.unwrap_or_default().min(max_delay);
    shortest + (max_delay - shortest) * rng.f64()
}
