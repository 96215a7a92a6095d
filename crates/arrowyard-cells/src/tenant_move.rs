//! Moves a tenant from one cell to another, and its data from one group to another, without losing a write.
//!
//! An operator's program makes the copy, and the configuration says how far it is. Routers share no state,
//! only clocks whose skew is bounded. Times are therefore announced in advance: from the fence on, no router
//! sends a write of the tenant that could take effect after the copy, and from the switch on, no router
//! serves a bounded read from the source. The lease of the layout stops routers that have not received the
//! move.
//!
//! Per stage:
//!
//! - Open: writes and reads go to the source; tokens and positions of writes are recorded.
//! - Fenced: writes are held or rejected as busy. Until the copy ends, a retry may settle an unknown outcome
//!   at the source. Reads go to the source. A write in flight must not take effect after the copy.
//! - Drained: as fenced, and no write of the tenant is in flight. Bounded reads go to the source only until
//!   the switch is due, since other routers may have switched.
//! - Switched: writes go to the target, and reads from the minimum position on. A retry of a token that the
//!   source acked goes to the source while it retains the token, since the target has never seen it.
//! - Done: all ops go to the target, reads from the minimum position on.
//!
//! Until the switch, cancelling a move restores the initial state. Afterwards the tenant can only be moved
//! back by a new move.

use std::collections::VecDeque;

use arrowyard_types::{CellId, Consistency, GroupId, HostId, TimeDelta, Timestamp};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

/// Maximum number of tokens recorded for one move.
const MAX_TOKENS: usize = 65_536;

/// Progress of a move according to the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    Planned,
    Copying,
    Fenced,
    Switched,
    Done,
    Cancelled,
}

/// A move as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveConfig {
    /// Name of the tenant.
    pub tenant: Box<str>,
    /// The source cell.
    pub from: CellId,
    /// The target cell.
    pub to: CellId,
    /// The groups that hold the data before and after the switch. `None`: the data stays in its group.
    pub groups: Option<(GroupId, GroupId)>,
    /// The group that the tenant's clients name. `None`: any group.
    pub client_group: Option<GroupId>,
    /// Progress according to the configuration.
    pub step: Step,
    /// When the fence begins.
    pub fence_at: Option<Timestamp>,
    /// When routers may switch to the target.
    pub switch_at: Option<Timestamp>,
    /// The source position up to which everything was copied, and the target position from which on the
    /// target holds all of it.
    pub copied_through: Option<Timestamp>,
    pub target_floor: Option<Timestamp>,
    /// Name in the host lists of the target's primary that `target_floor` was read from.
    pub target_host: Option<Box<str>>,
    /// How long the source retains tokens for deduplication.
    pub token_retention: TimeDelta,
}

/// Progress of a move on this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    Open,
    Fenced,
    Drained,
    Switched,
    Done,
}

/// Outcome of a write at the source, or of all writes with one token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteOutcome {
    NotExecuted,
    InFlight,
    Unknown,
    Acked,
}

#[derive(Clone, Copy, Debug)]
struct TokenRecord {
    first_at: Timestamp,
    outcome: WriteOutcome,
}

/// Settings that all moves of a router share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveSettings {
    /// Whether clients mark their retries.
    pub clients_mark_retries: bool,
    /// Longest op timeout: a write in flight at the fence has ended by then.
    pub max_op_timeout: TimeDelta,
    /// Largest difference between two routers' clocks.
    pub max_clock_skew: TimeDelta,
}

/// Properties of an op of the tenant that its placement depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveOp {
    /// Whether the op writes, or how fresh its reads have to be.
    pub consistency: Consistency,
    /// Idempotency token, if retries with it are deduplicated.
    pub token: Option<u64>,
    /// Whether the client marked the op as a retry.
    pub is_retry: bool,
    /// When the client stops waiting.
    pub deadline: Timestamp,
}

/// Where an op goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    Source,
    /// The target; a session's reads have to observe at least this position.
    Target(Option<Timestamp>),
    /// The op waits until the move progresses, at most until this time, and is then submitted again.
    Hold(Timestamp),
    /// Nothing was sent; the client may retry after this time.
    Busy(TimeDelta),
    /// The op may have run where its outcome can no longer be determined.
    OutcomeUnknown,
}

/// Why a move does not progress on this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveBlocker {
    /// Writes of the tenant to the source are in flight.
    WritesInFlight(u32),
    /// The copy ends before this position, up to which writes were or may have been acknowledged.
    CopyIncomplete { needed: Timestamp, copied: Timestamp },
    /// The switch is announced for a later time.
    SwitchNotDue(Timestamp),
    /// No majority of the target's hosts is known to hold the copy.
    TargetNotCaughtUp { caught_up: usize, hosts: usize },
    /// The target's primary is unknown, or is not the host that confirmed the copy. The copy has to be
    /// verified again.
    TargetPrimaryUnconfirmed,
    /// The configuration has not reached the next step.
    ConfigNotAdvanced,
    /// The source still retains tokens, so that retries may arrive.
    TokensRetained,
}

/// Why a configuration of a move is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveConflict {
    /// It reverts or cancels a move that has switched.
    AfterSwitch,
    /// It moves a fence that was reached.
    FencePostponed,
    /// It is a different move of the tenant, and the current one has not finished.
    OtherMoveActive,
}

/// State of one move on this router.
#[derive(Clone, Debug)]
pub struct TenantMove {
    /// The move as configured last.
    pub config: MoveConfig,
    settings: MoveSettings,
    stage: Stage,
    tokens: FxHashMap<u64, TokenRecord>,
    token_order: VecDeque<(Timestamp, u64)>,
    /// Writes sent to the source that have not ended.
    writes_in_flight: u32,
    held_writes: u32,
    last_acked: Option<Timestamp>,
    /// Last reported positions of the target's hosts.
    positions: SmallVec<[(HostId, Timestamp); 4]>,
    /// The last known primary of the target, and the host that `target_floor` was read from.
    target_primary: Option<HostId>,
    copy_confirmed_by: Option<HostId>,
}

impl TenantMove {
    /// Starts to track a move; earlier writes are unknown to this router.
    pub fn new(now: Timestamp, config: MoveConfig, settings: MoveSettings) -> Self {
        let (tokens, token_order, positions) = Default::default();
        let (stage, writes_in_flight, held_writes, last_acked) = (Stage::Open, 0, 0, None);
        let (target_primary, copy_confirmed_by) = (None, None);
        let mut tenant_move = TenantMove {
            config,
            settings,
            stage,
            tokens,
            token_order,
            writes_in_flight,
            held_writes,
            last_acked,
            positions,
            target_primary,
            copy_confirmed_by,
        };
        tenant_move.tick(now);
        tenant_move
    }

    /// Progress on this router.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Writes sent to the source that have not ended.
    pub fn writes_in_flight(&self) -> u32 {
        self.writes_in_flight
    }

    /// Writes that wait for the switch.
    pub fn held_writes(&self) -> u32 {
        self.held_writes
    }

    /// Number of recorded tokens.
    pub fn token_count(&self) -> usize {
        self.tokens.len()
    }

    /// Whether the configuration describes this move.
    pub fn is_same_move(&self, config: &MoveConfig) -> bool {
        let MoveConfig { tenant, from, to, groups, .. } = &self.config;
        (tenant, from, to, groups) == (&config.tenant, &config.from, &config.to, &config.groups)
    }

    /// Checks whether a configuration is consistent with the state of this router. It may skip steps: the
    /// conditions of each stage in between still apply.
    ///
    /// # Errors
    /// Why the configuration is rejected.
    pub fn check_config(&self, config: &MoveConfig) -> Result<(), MoveConflict> {
        if !self.is_same_move(config) {
            let finished = self.config.step == Step::Cancelled || self.stage == Stage::Done;
            return if finished { Ok(()) } else { Err(MoveConflict::OtherMoveActive) };
        }
        // The target may have writes that the source lacks. They would be lost.
        let reverts = config.step < Step::Switched || config.step == Step::Cancelled;
        if self.stage >= Stage::Switched && reverts {
            return Err(MoveConflict::AfterSwitch);
        }
        // Another router may already rely on the reached fence as the end of writes.
        let fence = |config: &MoveConfig| config.fence_at.filter(|_| config.step != Step::Cancelled);
        let later =
            fence(config) > fence(&self.config) || fence(config).is_none() && config.step != Step::Cancelled;
        if self.stage >= Stage::Fenced
            && later
            && config.groups.is_some()
            && self.config.step != Step::Cancelled
        {
            return Err(MoveConflict::FencePostponed);
        }
        Ok(())
    }

    /// Applies a configuration that `check_config` accepted.
    pub fn apply_config(&mut self, now: Timestamp, config: MoveConfig) {
        if config.target_host != self.config.target_host {
            // Unknown until the target's hosts are set again.
            self.copy_confirmed_by = None;
        }
        self.config = config;
        if self.config.step == Step::Cancelled {
            self.stage = Stage::Open;
        }
        self.tick(now);
    }

    /// Advances through all stages whose conditions are met, and returns what blocks the next one.
    pub fn tick(&mut self, now: Timestamp) -> Option<MoveBlocker> {
        self.expire_tokens(now);
        loop {
            self.stage = match self.stage {
                _ if self.config.step == Step::Cancelled => return None,
                Stage::Open => {
                    // Early by the clock skew: another router's clock may have reached the fence already.
                    let announced =
                        self.config.fence_at.is_some_and(|at| now >= at - self.settings.max_clock_skew);
                    let step_fenced = self.config.step >= Step::Fenced;
                    if !(announced
                        || step_fenced && (self.config.groups.is_none() || self.config.fence_at.is_none()))
                    {
                        return None;
                    }
                    Stage::Fenced
                }
                Stage::Fenced if self.writes_in_flight > 0 => {
                    return Some(MoveBlocker::WritesInFlight(self.writes_in_flight));
                }
                Stage::Fenced => Stage::Drained,
                Stage::Drained => match self.switch_blocker(now) {
                    Some(blocker) => return Some(blocker),
                    None => Stage::Switched,
                },
                Stage::Switched if self.config.step < Step::Done => {
                    return Some(MoveBlocker::ConfigNotAdvanced);
                }
                Stage::Switched if self.source_retains_tokens(now) => {
                    return Some(MoveBlocker::TokensRetained);
                }
                Stage::Switched => Stage::Done,
                Stage::Done => return None,
            };
        }
    }

    /// The time after which no write sent to the source takes effect. The copy has to reach at least that
    /// far.
    fn source_writes_end_at(&self) -> Option<Timestamp> {
        self.config.fence_at.map(|at| at + self.settings.max_op_timeout + self.settings.max_clock_skew)
    }

    fn switch_blocker(&self, now: Timestamp) -> Option<MoveBlocker> {
        if self.config.step < Step::Switched {
            return Some(MoveBlocker::ConfigNotAdvanced);
        }
        // Without a change of group there is no copy to wait for.
        self.config.groups?;
        let announced_values = self
            .source_writes_end_at()
            .zip(self.config.switch_at)
            .zip(self.config.copied_through.zip(self.config.target_floor));
        let Some(((writes_end_at, switch_at), (copied, floor))) = announced_values else {
            return Some(MoveBlocker::ConfigNotAdvanced);
        };
        // The copy has to include every write that a client may hold an ack for, from this router or
        // another.
        let needed = writes_end_at.max(self.last_acked.unwrap_or(writes_end_at));
        if needed > copied {
            return Some(MoveBlocker::CopyIncomplete { needed, copied });
        }
        if now < switch_at {
            return Some(MoveBlocker::SwitchNotDue(switch_at));
        }
        // If the target's primary fails before the switch, its newest records, and with them part of the
        // copy, may be lost, while the positions of its successor still advance. The primary must therefore
        // be the host that confirmed the copy.
        if self.copy_confirmed_by.is_none() || self.target_primary != self.copy_confirmed_by {
            return Some(MoveBlocker::TargetPrimaryUnconfirmed);
        }
        // If the target's primary fails right after the switch, a host without the newest records may take
        // over. A majority of the target's hosts must be known to hold the copy.
        let caught_up = self.positions.iter().filter(|(_, position)| *position >= floor).count();
        let hosts = self.positions.len();
        (caught_up * 2 <= hosts || hosts == 0).then_some(MoveBlocker::TargetNotCaughtUp { caught_up, hosts })
    }

    /// Whether the source may still retain the token of a write first sent there before the fence.
    fn source_retains_tokens(&self, now: Timestamp) -> bool {
        self.config
            .fence_at
            .is_some_and(|at| now < at + self.config.token_retention + self.settings.max_clock_skew)
    }

    /// Sets the target's hosts and their names, keeping known positions. A new host has none.
    pub fn set_target_hosts(&mut self, hosts: &[(HostId, &str)]) {
        let confirms = |(_, name): &&(HostId, &str)| self.config.target_host.as_deref() == Some(*name);
        self.copy_confirmed_by = hosts.iter().find(confirms).map(|(host, _)| *host);
        let old = std::mem::take(&mut self.positions);
        let known =
            |host: HostId| old.iter().find(|(other, _)| *other == host).map(|(_, position)| *position);
        self.positions = hosts.iter().map(|&(host, _)| (host, known(host).unwrap_or_default())).collect();
    }

    /// Records the position that a host reported, and whether it is the primary. After a failover positions
    /// may go back, so that the latest report counts, not the highest.
    pub fn record_position(&mut self, host: HostId, position: Timestamp, primary: bool) {
        let Some(known) = self.positions.iter_mut().find(|(other, _)| *other == host) else { return };
        known.1 = position;
        match self.target_primary {
            _ if primary => self.target_primary = Some(host),
            Some(target_primary) if target_primary == host => self.target_primary = None,
            _ => {}
        }
    }

    /// Bounds the memory for tokens. A marked retry of an expired token is rejected with an error, never
    /// sent.
    fn expire_tokens(&mut self, now: Timestamp) {
        while let Some(&(at, token)) = self.token_order.front() {
            let old = at + self.config.token_retention * 2.0 + self.settings.max_op_timeout < now;
            if self.token_order.len() <= MAX_TOKENS && !old {
                return;
            }
            self.token_order.pop_front();
            self.tokens.remove(&token);
        }
    }

    /// Decides where an op of the tenant goes now. A write sent to the source has to be recorded with
    /// `record_send`.
    pub fn place(&mut self, now: Timestamp, op: MoveOp) -> Placement {
        self.tick(now);
        let switched = self.stage >= Stage::Switched;
        if op.consistency != Consistency::Write {
            // Other routers may have switched, and their writes never reach the source.
            let switch_at = self
                .config
                .switch_at
                .filter(|_| self.config.groups.is_some() && self.config.step != Step::Cancelled);
            let switch_due = switch_at.is_some_and(|at| now >= at - self.settings.max_clock_skew)
                && op.consistency != Consistency::Any;
            return match switched {
                true => Placement::Target(self.config.target_floor),
                false if switch_due && self.stage >= Stage::Fenced => self.hold_or_busy(now, op.deadline),
                false => Placement::Source,
            };
        }
        // Sessions move between routers: a token that never ran through this router may have run through
        // another.
        let known = op.token.and_then(|token| self.tokens.get(&token).copied());
        let known = known.filter(|record| record.outcome != WriteOutcome::NotExecuted);
        let is_retained = |record: &TokenRecord| {
            now + self.settings.max_clock_skew < record.first_at + self.config.token_retention
        };
        match self.stage {
            // Rejects writes whose deadline is beyond the longest op timeout, since they could take effect
            // after the copy.
            Stage::Open
                if self.config.step != Step::Cancelled
                    && !self.completes_before_source_writes_end(op.deadline) =>
            {
                self.hold_or_busy(now, op.deadline)
            }
            Stage::Open => Placement::Source,
            Stage::Fenced | Stage::Drained if self.config.groups.is_none() => {
                self.hold_or_busy(now, op.deadline)
            }
            Stage::Fenced | Stage::Drained => match known {
                Some(record) if record.outcome == WriteOutcome::Acked && is_retained(&record) => {
                    Placement::Source
                }
                // Until the end of writes at the source, a retry there settles an unknown outcome.
                Some(record)
                    if is_retained(&record) && self.completes_before_source_writes_end(op.deadline) =>
                {
                    Placement::Source
                }
                Some(_) => Placement::OutcomeUnknown,
                None if op.token.is_some()
                    && op.is_retry
                    && self.completes_before_source_writes_end(op.deadline) =>
                {
                    Placement::Source
                }
                None if op.token.is_some() && op.is_retry && self.source_retains_tokens(now) => {
                    Placement::OutcomeUnknown
                }
                _ => self.hold_or_busy(now, op.deadline),
            },
            // The data stays in its group: the same hosts deduplicate the token from either cell.
            Stage::Switched | Stage::Done if self.config.groups.is_none() => Placement::Target(None),
            Stage::Switched | Stage::Done => match known {
                Some(record) if record.outcome == WriteOutcome::Acked && is_retained(&record) => {
                    Placement::Source
                }
                // At the source a retry of a write that never ran there would take effect after the copy; at
                // the target it could run a second time.
                Some(_) => Placement::OutcomeUnknown,
                None if op.token.is_none() || !self.source_retains_tokens(now) => Placement::Target(None),
                // The first send may have gone through another router, or through this one before its
                // restart.
                None if op.is_retry => Placement::OutcomeUnknown,
                None if !self.settings.clients_mark_retries => {
                    let at = self.config.fence_at.unwrap_or(now)
                        + self.config.token_retention
                        + self.settings.max_clock_skew;
                    Placement::Busy(at - now)
                }
                _ => Placement::Target(None),
            },
        }
    }

    /// Whether a write with this deadline takes effect before `source_writes_end_at` on every router's clock.
    fn completes_before_source_writes_end(&self, deadline: Timestamp) -> bool {
        self.source_writes_end_at().is_none_or(|end| deadline + self.settings.max_clock_skew <= end)
    }

    fn hold_or_busy(&self, now: Timestamp, deadline: Timestamp) -> Placement {
        // Holding writes that cannot be answered in time would only let them time out. Those are rejected at
        // once with a retry delay.
        let hold_until = now + (deadline - now) * 0.5;
        let default_retry_after = (self.config.token_retention * 0.25).max(TimeDelta::from_millis(50));
        match self.config.switch_at {
            Some(at) if now < at && at <= hold_until => Placement::Hold(hold_until),
            Some(at) if now < at => Placement::Busy(at - now),
            _ => Placement::Busy(default_retry_after),
        }
    }

    /// Records that a write is held.
    pub fn add_held(&mut self) {
        self.held_writes += 1;
    }

    /// Records that a held write was released.
    pub fn release_held(&mut self) {
        self.held_writes = self.held_writes.saturating_sub(1);
    }

    /// Records that a write was sent to the source.
    pub fn record_send(&mut self, now: Timestamp, token: Option<u64>) {
        self.writes_in_flight += 1;
        if self.stage == Stage::Drained {
            self.stage = Stage::Fenced;
        }
        if let Some(token) = token {
            let order = &mut self.token_order;
            let record = self.tokens.entry(token).or_insert_with(|| {
                order.push_back((now, token));
                TokenRecord { first_at: now, outcome: WriteOutcome::NotExecuted }
            });
            if record.outcome == WriteOutcome::NotExecuted {
                (record.first_at, record.outcome) = (now, WriteOutcome::InFlight);
            }
            self.expire_tokens(now);
        }
    }

    /// Records the end of a write at the source: its outcome, and the position of its ack.
    pub fn record_end(
        &mut self,
        now: Timestamp,
        token: Option<u64>,
        outcome: WriteOutcome,
        position: Option<Timestamp>,
    ) {
        self.writes_in_flight = self.writes_in_flight.saturating_sub(1);
        let record = token.and_then(|token| self.tokens.get_mut(&token));
        let before = record.as_ref().map(|record| record.outcome);
        if let Some(record) = record {
            // A token counts as not executed only if no other send of it may have run.
            record.outcome =
                if record.outcome == WriteOutcome::InFlight { outcome } else { record.outcome.max(outcome) };
        }
        // A retry of an acknowledged write is acknowledged again without a new record.
        if outcome == WriteOutcome::Acked && before != Some(WriteOutcome::Acked) {
            self.last_acked = self.last_acked.max(Some(position.unwrap_or(now)));
        }
        self.tick(now);
    }
}
