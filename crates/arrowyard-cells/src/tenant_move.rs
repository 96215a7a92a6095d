//! A tenant moves from a cell to another, and its data from a group to another, losing no turn.
//!
//! The copy is made by a program of the operator's; the file tells how far it is, and each router by itself keeps
//! its ops safe. Routers share nothing but clocks that are a known skew apart, so that times are announced ahead:
//! from the fence on no router sends a write of the tenant that could have an effect behind the copy, and from the
//! switch on no router reads the source where a bound is kept. A lease stops those that never heard of the move.
//!
//! | stage | writes | reads | danger |
//! | --- | --- | --- | --- |
//! | open | source; tokens and positions are noted | source | a write that is out still when the copy ends |
//! | fenced | held or busy-replied; till the copy's end a repeat may settle at the source what may have run | source | a write that lands behind the copy |
//! | drained | the same; no write of the tenant is out | source; with a bound, only till the switch is due | other routers have switched |
//! | switched | target; a repeat of a token that the source acked goes there while it remembers | target, from the floor on | a repeat that the target never saw |
//! | done | target | target, from the floor on | |
//!
//! Up to the switch a cancelled move leaves all as it was. After it, the way back is a new move.

use std::collections::VecDeque;

use arrowyard_types::{CellId, Consistency, GroupId, HostId, TimeDelta, Timestamp};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

/// Tokens of one move that are noted.
const MAX_TOKENS: usize = 65_536;

/// How far the file says a move is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    Planned,
    Copying,
    Fenced,
    Switched,
    Done,
    Cancelled,
}

/// A move, as the file tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveConfig {
    pub tenant: Box<str>,
    pub from: CellId,
    pub to: CellId,
    /// The groups that hold the data before and after the switch; none: the group stays.
    pub groups: Option<(GroupId, GroupId)>,
    /// The group that clients name; none: any.
    pub client_group: Option<GroupId>,
    pub step: Step,
    pub fence_at: Option<Timestamp>,
    pub switch_at: Option<Timestamp>,
    /// The source's position up to which all was copied, and the target's from which on it holds that.
    pub copied_through: Option<Timestamp>,
    pub target_floor: Option<Timestamp>,
    /// The target's primary whose position that is, by its name in the lists.
    pub target_host: Option<Box<str>>,
    /// How long the source remembers tokens.
    pub token_retention: TimeDelta,
}

/// How far this router is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    Open,
    Fenced,
    Drained,
    Switched,
    Done,
}

/// What became of a write at the source, or of all writes of a token.
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

/// What all moves of a router are told once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveSettings {
    /// Whether clients mark what they ask again.
    pub clients_mark_retries: bool,
    /// Writes that are out at the fence have ended after this: the longest op timeout.
    pub max_op_timeout: TimeDelta,
    /// How far apart two clocks may be.
    pub max_clock_skew: TimeDelta,
}

/// An op of the tenant, as far as a move cares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveOp {
    pub consistency: Consistency,
    /// The token, if repeats of it have one effect.
    pub token: Option<u64>,
    /// Whether the client says that it asks again.
    pub is_retry: bool,
    pub deadline: Timestamp,
}

/// Where it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    Source,
    /// With what a session's read must see at least.
    Target(Option<Timestamp>),
    /// It waits till the move is further, at most until this point; then it is asked about again.
    Hold(Timestamp),
    /// Nothing of it was sent; come back after this span.
    Busy(TimeDelta),
    /// It may have run where it cannot be asked for any more.
    OutcomeUnknown,
}

/// Why a move does not go on at this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveBlocker {
    /// Writes of the tenant are out.
    WritesInFlight(u32),
    /// The copy ends before this point, up to which writes were, or may have been, acked; it has to be taken further.
    CopyIncomplete { needed: Timestamp, copied: Timestamp },
    /// The switch is announced for later.
    SwitchNotDue(Timestamp),
    /// Fewer than most of the target's hosts are known to hold the copy.
    TargetNotCaughtUp { caught_up: usize, hosts: usize },
    /// The target's primary is not known, or is not the host that the file names: the copy has to be looked at again.
    TargetPrimaryUnconfirmed,
    /// The file has not said that it is switched.
    ConfigNotAdvanced,
    /// Repeats may still be asked for.
    TokensRetained,
}

/// A file that a router refuses, for what it says of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveConflict {
    /// It goes back behind the switch.
    AfterSwitch,
    /// It moves the fence that has been reached.
    FencePostponed,
    /// It is another move of the tenant, and this one is not over.
    OtherMoveActive,
}

#[derive(Clone, Debug)]
pub struct TenantMove {
    pub config: MoveConfig,
    settings: MoveSettings,
    stage: Stage,
    tokens: FxHashMap<u64, TokenRecord>,
    token_order: VecDeque<(Timestamp, u64)>,
    /// Writes that were let through to the source and have not ended.
    writes_in_flight: u32,
    /// Writes that are held.
    held_writes: u32,
    last_acked: Option<Timestamp>,
    /// Positions of the target's hosts, as learnt.
    positions: SmallVec<[(HostId, Timestamp); 4]>,
    /// The target's primary, as learnt last, and the host whose position the file's floor is.
    target_primary: Option<HostId>,
    copy_confirmed_by: Option<HostId>,
}

impl TenantMove {
    /// A move that this router learns of now; of what was before it knows nothing.
    pub fn new(now: Timestamp, config: MoveConfig, settings: MoveSettings) -> Self {
        let (tokens, token_order, positions) = Default::default();
        let (stage, writes_in_flight, held_writes, last_acked) = (Stage::Open, 0, 0, None);
        let (target_primary, copy_confirmed_by) = (None, None);
        let mut moving = TenantMove {
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
        moving.tick(now);
        moving
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    pub fn writes_in_flight(&self) -> u32 {
        self.writes_in_flight
    }

    pub fn held_writes(&self) -> u32 {
        self.held_writes
    }

    pub fn token_count(&self) -> usize {
        self.tokens.len()
    }

    /// Whether it is the same move as the row's.
    pub fn is_same_move(&self, config: &MoveConfig) -> bool {
        let MoveConfig { tenant, from, to, groups, .. } = &self.config;
        (tenant, from, to, groups) == (&config.tenant, &config.from, &config.to, &config.groups)
    }

    /// Whether a row of the file goes with what this router has done. A file that jumps over a step goes through
    /// it: what a step demands is asked at each.
    ///
    /// # Errors
    /// The file contradicts it, and is refused whole.
    pub fn check_config(&self, config: &MoveConfig) -> Result<(), MoveConflict> {
        if !self.is_same_move(config) {
            let over = self.config.step == Step::Cancelled || self.stage == Stage::Done;
            return if over { Ok(()) } else { Err(MoveConflict::OtherMoveActive) };
        }
        // Danger: the target has writes that the source never saw. Back behind the switch they would be lost.
        let back = config.step < Step::Switched || config.step == Step::Cancelled;
        if self.stage >= Stage::Switched && back {
            return Err(MoveConflict::AfterSwitch);
        }
        // Danger: the fence moves to later while another router has begun to copy behind the old one.
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

    /// Takes what was accepted, of the same move.
    pub fn apply_config(&mut self, now: Timestamp, config: MoveConfig) {
        if config.target_host != self.config.target_host {
            // Till the target's hosts are named anew.
            self.copy_confirmed_by = None;
        }
        self.config = config;
        if self.config.step == Step::Cancelled {
            self.stage = Stage::Open;
        }
        self.tick(now);
    }

    /// Goes on as far as all that a stage demands is given; tells what is missing for the next.
    pub fn tick(&mut self, now: Timestamp) -> Option<MoveBlocker> {
        self.expire_tokens(now);
        loop {
            self.stage = match self.stage {
                _ if self.config.step == Step::Cancelled => return None,
                Stage::Open => {
                    // By the earliest clock.
                    let announced =
                        self.config.fence_at.is_some_and(|at| now >= at - self.settings.max_clock_skew);
                    let told = self.config.step >= Step::Fenced;
                    if !(announced
                        || told && (self.config.groups.is_none() || self.config.fence_at.is_none()))
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
                    Some(stuck) => return Some(stuck),
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

    /// No write that was let through to the source has an effect later than this.
    fn settled_at(&self) -> Option<Timestamp> {
        self.config.fence_at.map(|at| at + self.settings.max_op_timeout + self.settings.max_clock_skew)
    }

    fn switch_blocker(&self, now: Timestamp) -> Option<MoveBlocker> {
        if self.config.step < Step::Switched {
            return Some(MoveBlocker::ConfigNotAdvanced);
        }
        // One group: there is no copy, and nothing that could be lost.
        self.config.groups?;
        let told = self
            .settled_at()
            .zip(self.config.switch_at)
            .zip(self.config.copied_through.zip(self.config.target_floor));
        let Some(((settled, switch), (copied, floor))) = told else {
            return Some(MoveBlocker::ConfigNotAdvanced);
        };
        // Danger: a copy that ended before the last write that a client may hold an ack for, here or at another
        // router.
        let needed = settled.max(self.last_acked.unwrap_or(settled));
        if needed > copied {
            return Some(MoveBlocker::CopyIncomplete { needed, copied });
        }
        if now < switch {
            return Some(MoveBlocker::SwitchNotDue(switch));
        }
        // Danger: the target's primary dies before the switch, and with it its newest records, the copy's among them.
        // Positions of the one that takes over run on, and say nothing of that. So it has to be the host that the
        // copy was confirmed by.
        if self.copy_confirmed_by.is_none() || self.target_primary != self.copy_confirmed_by {
            return Some(MoveBlocker::TargetPrimaryUnconfirmed);
        }
        // Danger: the target's primary dies right after the switch, and a host without the newest records takes
        // over. Most of its hosts have to hold the copy, as this router has learnt itself.
        let caught_up = self.positions.iter().filter(|(_, position)| *position >= floor).count();
        let hosts = self.positions.len();
        (caught_up * 2 <= hosts || hosts == 0).then_some(MoveBlocker::TargetNotCaughtUp { caught_up, hosts })
    }

    /// Whether the source may remember a token of a write that was first sent there before the fence.
    fn source_retains_tokens(&self, now: Timestamp) -> bool {
        self.config
            .fence_at
            .is_some_and(|at| now < at + self.config.token_retention + self.settings.max_clock_skew)
    }

    /// The hosts of the target with their names, and what is known of their positions; a host that is not known has
    /// none.
    pub fn set_target_hosts(&mut self, hosts: &[(HostId, &str)]) {
        let named = |(_, name): &&(HostId, &str)| self.config.target_host.as_deref() == Some(*name);
        self.copy_confirmed_by = hosts.iter().find(named).map(|(host, _)| *host);
        let old = std::mem::take(&mut self.positions);
        let known =
            |host: HostId| old.iter().find(|(other, _)| *other == host).map(|(_, position)| *position);
        self.positions = hosts.iter().map(|&(host, _)| (host, known(host).unwrap_or_default())).collect();
    }

    /// A host said where it is, and whether it is the primary. Danger: after a failover of the target its newest
    /// records are lost, and positions go back; the last word counts here, not the highest.
    pub fn record_position(&mut self, host: HostId, position: Timestamp, primary: bool) {
        let Some(known) = self.positions.iter_mut().find(|(other, _)| *other == host) else { return };
        known.1 = position;
        match self.target_primary {
            _ if primary => self.target_primary = Some(host),
            Some(target_primary) if target_primary == host => self.target_primary = None,
            _ => {}
        }
    }

    /// Danger: tokens without end. One that is dropped too early is not known any more, and its marked repeat is
    /// answered with an error, not sent.
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

    /// Where an op of the tenant may go now. A write that goes to the source is followed by `sent`.
    pub fn place(&mut self, now: Timestamp, op: MoveOp) -> Placement {
        self.tick(now);
        let switched = self.stage >= Stage::Switched;
        if op.consistency != Consistency::Write {
            // Danger: others have switched, and what they write the source never sees.
            let due = self
                .config
                .switch_at
                .filter(|_| self.config.groups.is_some() && self.config.step != Step::Cancelled);
            let late = due.is_some_and(|at| now >= at - self.settings.max_clock_skew)
                && op.consistency != Consistency::Any;
            return match switched {
                true => Placement::Target(self.config.target_floor),
                false if late && self.stage >= Stage::Fenced => self.hold_or_busy(now, op.deadline),
                false => Placement::Source,
            };
        }
        // Danger: sessions roam. What never ran by way of this router may have by another's.
        let known = op.token.and_then(|token| self.tokens.get(&token).copied());
        let known = known.filter(|record| record.outcome != WriteOutcome::NotExecuted);
        let remembered = |record: &TokenRecord| {
            now + self.settings.max_clock_skew < record.first_at + self.config.token_retention
        };
        match self.stage {
            // Danger: a client that waits for longer than any op type, whose write ends behind the copy.
            Stage::Open
                if self.config.step != Step::Cancelled && !self.completes_before_copy_end(op.deadline) =>
            {
                self.hold_or_busy(now, op.deadline)
            }
            Stage::Open => Placement::Source,
            Stage::Fenced | Stage::Drained if self.config.groups.is_none() => {
                self.hold_or_busy(now, op.deadline)
            }
            Stage::Fenced | Stage::Drained => match known {
                Some(record) if record.outcome == WriteOutcome::Acked && remembered(&record) => {
                    Placement::Source
                }
                // What may have run is settled by its repeat, as long as the copy goes on.
                Some(record) if remembered(&record) && self.completes_before_copy_end(op.deadline) => {
                    Placement::Source
                }
                Some(_) => Placement::OutcomeUnknown,
                None if op.token.is_some() && op.is_retry && self.completes_before_copy_end(op.deadline) => {
                    Placement::Source
                }
                None if op.token.is_some() && op.is_retry && self.source_retains_tokens(now) => {
                    Placement::OutcomeUnknown
                }
                _ => self.hold_or_busy(now, op.deadline),
            },
            // The group stays: the same hosts hold the token wherever the repeat goes.
            Stage::Switched | Stage::Done if self.config.groups.is_none() => Placement::Target(None),
            Stage::Switched | Stage::Done => match known {
                Some(record) if record.outcome == WriteOutcome::Acked && remembered(&record) => {
                    Placement::Source
                }
                // Danger: a repeat at the source that did not run there would run now, behind the copy; at the target
                // it would run a second time. It may have run, and that is all that can be said.
                Some(_) => Placement::OutcomeUnknown,
                None if op.token.is_none() || !self.source_retains_tokens(now) => Placement::Target(None),
                // Danger: sessions roam, and this router may have started anew: a repeat of what it never saw.
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

    /// Whether a write that ends by then has its effect before the copy's end.
    fn completes_before_copy_end(&self, deadline: Timestamp) -> bool {
        self.settled_at().is_none_or(|settled| deadline + self.settings.max_clock_skew <= settled)
    }

    fn hold_or_busy(&self, now: Timestamp, deadline: Timestamp) -> Placement {
        // Danger: the fence holds a rush of writes until they are all given up at their deadlines. What cannot be
        // answered in time is given up at once, with when to come back.
        let half = now + (deadline - now) * 0.5;
        let soon = (self.config.token_retention * 0.25).max(TimeDelta::from_millis(50));
        match self.config.switch_at {
            Some(at) if now < at && at <= half => Placement::Hold(half),
            Some(at) if now < at => Placement::Busy(at - now),
            _ => Placement::Busy(soon),
        }
    }

    pub fn add_held(&mut self) {
        self.held_writes += 1;
    }

    pub fn release_held(&mut self) {
        self.held_writes = self.held_writes.saturating_sub(1);
    }

    /// A write was let through to the source.
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

    /// A write at the source ended: what became of it, and at which position it was acked.
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
            // Never is never only if no other send of it may have run.
            record.outcome =
                if record.outcome == WriteOutcome::InFlight { outcome } else { record.outcome.max(outcome) };
        }
        // A repeat of what was acked already is acked anew without a new record.
        if outcome == WriteOutcome::Acked && before != Some(WriteOutcome::Acked) {
            self.last_acked = self.last_acked.max(Some(position.unwrap_or(now)));
        }
        self.tick(now);
    }
}
