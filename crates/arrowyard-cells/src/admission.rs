//! All that cells decide, put together: an op is asked about once as it comes, and again while it is held; its sends
//! and its end are told. What comes back says where it may go.

use std::collections::BTreeMap;
use std::net::IpAddr;

use arrowyard_types::{CellId, Consistency, GroupId, HostId, TimeDelta, Timestamp};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::assignment::{AssignedCells, CellAssignment, NoCellReason};
use crate::bulkhead::Bulkhead;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::index::CellIndex;
use crate::layout::{ConcurrencyLimitConfig, Layout};
use crate::retry_budget::RetryBudget;
use crate::rollout::{ReleaseVerdict, Rollout, RolloutBlocked, UNVERIFIED_TRUST, VerdictChange};
use crate::tenant_move::{
    MoveBlocker, MoveConflict, MoveOp, MoveSettings, Placement, Stage, Step, TenantMove, WriteOutcome,
};

/// How much of each divided thing the router has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Ops in hand, and the bytes of their statements.
    pub ops: u64,
    pub bytes: u64,
    /// Probes under way.
    pub probes: u64,
}

/// What an op's client says, as far as cells care.
#[derive(Clone, Copy, Debug)]
pub struct OpContext<'a> {
    pub tenant: Option<&'a str>,
    pub address: Option<IpAddr>,
    pub group: GroupId,
    pub bytes: u64,
    pub consistency: Consistency,
    /// What names the session: its ops keep to one of several cells.
    pub session: Option<u64>,
    /// The token, in op types whose repeats have one effect.
    pub token: Option<u64>,
    pub is_retry: bool,
    pub deadline: Timestamp,
}

/// A place that an op has: told back when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionPermit {
    pub cell: CellId,
    bytes: u64,
    /// The move whose source it writes to, or that holds it.
    moving: Option<MoveId>,
    held: bool,
    token: Option<u64>,
}

/// A tenant that moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct MoveId(u32);

/// What is decided of an op as it comes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// It goes on in this cell, to this group as the lists name it; a session's read has to see this much at least.
    Admit { permit: AdmissionPermit, group: GroupId, min_position: Option<Timestamp> },
    /// It waits, at most until this point; then, and whenever something changed, its place is given back (`ended`)
    /// and it is asked about anew.
    Hold { permit: AdmissionPermit, until: Timestamp },
    /// Nothing of it was sent. Come back after this span, if one is known.
    Busy { cell: Option<CellId>, retry_after: Option<TimeDelta>, reason: RejectReason },
    /// It cannot be an op here, or may have run where it cannot be asked for any more.
    Error { reason: RejectReason },
}

/// Why an op does not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    NoCell(NoCellReason),
    /// The tenant's cell does not serve the group.
    GroupNotServed,
    OpCapacity,
    ByteCapacity,
    ConcurrencyLimit,
    RetryBudget,
    /// A write, and the file's word on who writes where is too old.
    LeaseExpired,
    MoveFenced,
    OutcomeUnknown,
}

impl RejectReason {
    /// For logs and clients.
    pub fn text(self) -> &'static str {
        match self {
            RejectReason::NoCell(NoCellReason::TenantNotAssigned) => "the tenant has no cell",
            RejectReason::NoCell(NoCellReason::NoTenantOrMatch) => {
                "no tenant is named, and neither address nor group has a cell"
            }
            RejectReason::GroupNotServed => "the tenant's cell does not serve the group",
            RejectReason::OpCapacity => "the cell has no room for ops",
            RejectReason::ByteCapacity => "the cell has no room for bytes",
            RejectReason::ConcurrencyLimit => "the cell's hosts are slow",
            RejectReason::RetryBudget => "the cell's budget of repeated attempts is spent",
            RejectReason::LeaseExpired => "the operator's file is too old for writes and bounded reads",
            RejectReason::MoveFenced => "the tenant moves",
            RejectReason::OutcomeUnknown => "it may have run; the tenant moved since",
        }
    }
}

/// How a send ended, as far as cells care.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    Acked,
    /// An answer that is no ack and no refusal, or none at all.
    Failed,
    /// It provably never ran: turned away, a miss, no connection.
    NotExecuted,
}

/// Something that operators want to know.
#[derive(Clone, Debug, PartialEq)]
pub enum CellEvent {
    ReleaseVerdict(VerdictChange),
    /// Hosts of the cell that started anew are trusted little.
    RolloutBlocked(CellId, RolloutBlocked),
    MoveStageChanged(Box<str>, Stage),
    MoveBlocked(Box<str>, MoveBlocker),
}

/// A file that is refused whole; the old layout stays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LayoutError {
    /// It is older than the one that is held, or another of the same epoch.
    Epoch { held: u64, offered: u64 },
    /// It contradicts a move.
    Move(Box<str>, MoveConflict),
    /// A move is missing that is not over.
    MoveMissing(Box<str>),
    /// A move begins to fence while other routers may act on the old lease still.
    FenceTooEarly(Box<str>),
    /// A move has a fence, and nothing bounds how long other routers act on the file before, which has no lease.
    NoLease(Box<str>),
}

/// The state of one cell.
#[derive(Debug)]
struct CellState {
    concurrency_limit: Option<ConcurrencyLimit>,
    retry_budget: Option<RetryBudget>,
    counters: CellCounters,
}

/// What a cell did since the last tally.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellCounters {
    pub admitted: u32,
    pub busy: u32,
    pub errors: u32,
    pub first_sends: u32,
    pub further_sends: u32,
}

/// The cells of one router.
#[derive(Debug)]
pub struct Cells {
    layout: Layout,
    index: CellIndex,
    assignment: CellAssignment,
    ops: Bulkhead,
    bytes: Bulkhead,
    probes: Bulkhead,
    cells: Vec<CellState>,
    moves: BTreeMap<MoveId, TenantMove>,
    next_move: u32,
    moving: FxHashMap<Box<str>, MoveId>,
    rollout: Option<Rollout>,
    terms: MoveSettings,
    events: Vec<CellEvent>,
    last_reported: FxHashMap<Box<str>, (Stage, Option<MoveBlocker>)>,
}

fn parts(layout: &Layout) -> impl Iterator<Item = (f64, f64)> + '_ {
    layout.cells.iter().map(|cell| (cell.weight, cell.guaranteed_fraction))
}

/// When a client had better come back whose cell had no room: a few ops have ended by then.
const CAPACITY_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(20);

impl Cells {
    pub fn new(now: Timestamp, layout: Layout, totals: Capacity, terms: MoveSettings) -> Self {
        let room = |total| Bulkhead::new(total, parts(&layout), layout.reclaim_period);
        let mut cells = Cells {
            index: CellIndex::new(&layout),
            assignment: CellAssignment::new(&layout),
            ops: room(totals.ops),
            bytes: room(totals.bytes),
            probes: room(totals.probes),
            cells: Vec::new(),
            moves: BTreeMap::new(),
            next_move: 0,
            moving: FxHashMap::default(),
            rollout: layout.rollout.clone().map(Rollout::new),
            layout,
            terms,
            events: Vec::new(),
            last_reported: FxHashMap::default(),
        };
        cells.rebuild_state(now, None);
        cells
    }

    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    pub fn index(&self) -> &CellIndex {
        &self.index
    }

    /// Whether this layout may follow the one that is held.
    ///
    /// # Errors
    /// Why not. Nothing has changed then, nor does it if it may.
    pub fn check_layout(&self, layout: &Layout) -> Result<(), LayoutError> {
        if layout.epoch <= self.layout.epoch {
            return Err(LayoutError::Epoch { held: self.layout.epoch, offered: layout.epoch });
        }
        let layout = layout.clone().aligned(&self.layout, |_| false);
        for moving in self.moves.values() {
            let tenant = &moving.config.tenant;
            match layout.moves.iter().find(|row| row.tenant == *tenant) {
                Some(row) => {
                    moving.check_config(row).map_err(|reason| LayoutError::Move(tenant.clone(), reason))?
                }
                None if moving.stage() == Stage::Open || moving.config.step == Step::Cancelled => {}
                // Where the group stays, the tenant's row says all.
                None if moving.stage() == Stage::Done && moving.config.groups.is_none() => {}
                None => return Err(LayoutError::MoveMissing(tenant.clone())),
            }
        }
        for row in layout.moves.iter().filter(|row| row.groups.is_some()) {
            let known = self.layout.moves.iter().find(|old| old.tenant == row.tenant);
            let announced = known.is_some_and(|old| old.fence_at == row.fence_at);
            let Some(lease) = self.layout.lease else {
                // Danger: one that only has the old file, without an end, goes on for ever.
                let new = row.fence_at.is_some() && !announced;
                return if new { Err(LayoutError::NoLease(row.tenant.clone())) } else { Ok(()) };
            };
            // Danger: a router that only has the old file goes on writing to the source until its lease ends.
            if !announced && row.fence_at.is_some_and(|at| at < lease.expires_at + lease.max_clock_skew) {
                return Err(LayoutError::FenceTooEarly(row.tenant.clone()));
            }
        }
        Ok(())
    }

    /// Takes a layout that follows, or refuses it whole; the same one again is taken for nothing new.
    ///
    /// # Errors
    /// Why it is refused; nothing has changed then.
    pub fn replace_layout(&mut self, now: Timestamp, layout: Layout) -> Result<(), LayoutError> {
        let aligned =
            layout.clone().aligned(&self.layout, |id| self.ops.used(id) == 0 && self.probes.used(id) == 0);
        if aligned == self.layout {
            return Ok(());
        }
        self.check_layout(&layout)?;
        let old = std::mem::replace(&mut self.layout, aligned);
        self.ops.resize(parts(&self.layout), self.layout.reclaim_period);
        self.bytes.resize(parts(&self.layout), self.layout.reclaim_period);
        self.probes.resize(parts(&self.layout), self.layout.reclaim_period);
        (self.index, self.assignment) = (CellIndex::new(&self.layout), CellAssignment::new(&self.layout));
        if old.rollout != self.layout.rollout {
            self.rollout = self.layout.rollout.clone().map(Rollout::new);
        }
        self.rebuild_state(now, Some(&old));
        Ok(())
    }

    /// Brings cells and moves in line with the layout.
    fn rebuild_state(&mut self, now: Timestamp, old: Option<&Layout>) {
        let repeats = self.layout.retry_budget;
        let mut cells = std::mem::take(&mut self.cells).into_iter();
        let renewed = self.layout.cells.iter().enumerate().map(|(id, row)| {
            // An id that names another cell by now starts anew.
            let same = old.is_some_and(|old| old.cells.get(id).is_some_and(|was| was.name == row.name));
            let known = cells.next().filter(|_| same);
            let (concurrency_limit, retry_budget, counters) = known.map_or_else(Default::default, |cell| {
                (cell.concurrency_limit, cell.retry_budget, cell.counters)
            });
            let paced = |terms: ConcurrencyLimitConfig| {
                let mut concurrency_limit = concurrency_limit.unwrap_or_else(|| ConcurrencyLimit::new(terms));
                concurrency_limit.set_config(terms);
                concurrency_limit
            };
            let budgeted = |terms| {
                let mut retry_budget = retry_budget.unwrap_or_else(|| RetryBudget::new(terms));
                retry_budget.set_config(terms);
                retry_budget
            };
            CellState {
                concurrency_limit: row.concurrency_limit.map(paced),
                retry_budget: repeats.map(budgeted),
                counters,
            }
        });
        self.cells = renewed.collect();
        let mut moves = BTreeMap::new();
        for row in &self.layout.moves {
            let known = self.moves.iter().find(|(_, moving)| moving.is_same_move(row)).map(|(id, _)| *id);
            let known = known.and_then(|id| Some((id, self.moves.remove(&id)?)));
            let (id, moving) = match known {
                Some((id, mut moving)) => {
                    moving.apply_config(now, row.clone());
                    (id, moving)
                }
                None => {
                    self.next_move += 1;
                    (MoveId(self.next_move), TenantMove::new(now, row.clone(), self.terms))
                }
            };
            moves.insert(id, moving);
        }
        self.moves = moves;
        self.moving = self.moves.iter().map(|(id, moving)| (moving.config.tenant.clone(), *id)).collect();
        self.last_reported.retain(|tenant, _| self.moving.contains_key(tenant));
    }

    /// Where an op goes that came just now, or is held.
    pub fn admit(&mut self, now: Timestamp, op: &OpContext) -> AdmissionDecision {
        let assigned = match self.assignment.cells_for(op.tenant, op.address, op.group) {
            Ok(assigned) => assigned,
            Err(reason) => return AdmissionDecision::Error { reason: RejectReason::NoCell(reason) },
        };
        // Danger: who writes where may have changed since this file was written. What is written here is lost then,
        // and what is read with a bound is older than that.
        if op.consistency != Consistency::Any
            && self.layout.lease.is_some_and(|lease| now >= lease.expires_at - lease.max_clock_skew)
        {
            return self.busy(assigned[0], None, RejectReason::LeaseExpired);
        }
        let moving = op.tenant.and_then(|tenant| self.moving.get(tenant).copied());
        if let Some(id) = moving
            && self.moves[&id].config.client_group.is_none_or(|named| named == op.group)
        {
            return self.admit_moving(now, id, op);
        }
        self.admit_in(now, &assigned, op, op.group, None, None)
    }

    fn admit_moving(&mut self, now: Timestamp, id: MoveId, op: &OpContext) -> AdmissionDecision {
        let Some(moving) = self.moves.get_mut(&id) else {
            return AdmissionDecision::Error { reason: RejectReason::OutcomeUnknown };
        };
        let (need, token, is_retry, deadline) = (op.consistency, op.token, op.is_retry, op.deadline);
        let (from, to) = (moving.config.from, moving.config.to);
        let groups = moving.config.groups.unwrap_or((op.group, op.group));
        match moving.place(now, MoveOp { consistency: need, token, is_retry, deadline }) {
            Placement::Source => {
                let counted = (need == Consistency::Write).then_some(id);
                let verdict = self.admit_in(now, &[from], op, groups.0, None, counted);
                let moving = self.moves.get_mut(&id).filter(|_| counted.is_some());
                if let (AdmissionDecision::Admit { .. }, Some(moving)) = (verdict, moving) {
                    moving.record_send(now, token);
                }
                verdict
            }
            Placement::Target(min_position) => self.admit_in(now, &[to], op, groups.1, min_position, None),
            Placement::Hold(until) => {
                // Danger: what a fence holds is bounded, in count here and in bytes by the cell's room.
                let full = u64::from(moving.held_writes()) >= (self.ops.share(from).0 / 4).max(1);
                let after = moving.config.switch_at.map(|at| at - now);
                if full {
                    return self.busy(from, after, RejectReason::MoveFenced);
                }
                match self.admit_in(now, &[from], op, groups.0, None, Some(id)) {
                    AdmissionDecision::Admit { permit, .. } => {
                        self.moves.entry(id).and_modify(TenantMove::add_held);
                        AdmissionDecision::Hold { permit: AdmissionPermit { held: true, ..permit }, until }
                    }
                    refused => refused,
                }
            }
            Placement::Busy(after) => self.busy(from, Some(after), RejectReason::MoveFenced),
            Placement::OutcomeUnknown => {
                self.cells[from.0 as usize].counters.errors += 1;
                AdmissionDecision::Error { reason: RejectReason::OutcomeUnknown }
            }
        }
    }

    fn admit_in(
        &mut self,
        now: Timestamp,
        assigned: &[CellId],
        op: &OpContext,
        group: GroupId,
        min_position: Option<Timestamp>,
        moving: Option<MoveId>,
    ) -> AdmissionDecision {
        let serving = |id: &CellId| self.index.serves(*id, group);
        let mut turn: AssignedCells = assigned.iter().copied().filter(serving).collect();
        if turn.is_empty() {
            return AdmissionDecision::Error { reason: RejectReason::GroupNotServed };
        }
        // A session keeps to one of its tenant's cells while that has room.
        let start = op.session.map_or(0, |session| session as usize % turn.len());
        turn.rotate_left(start);
        let mut last = None;
        for cell in turn {
            match self.acquire(now, cell, op) {
                Ok(()) => {
                    self.cells[cell.0 as usize].counters.admitted += 1;
                    let permit =
                        AdmissionPermit { cell, bytes: op.bytes, moving, held: false, token: op.token };
                    return AdmissionDecision::Admit { permit, group, min_position };
                }
                Err(refusal) => last = last.or(Some((cell, refusal))),
            }
        }
        let (cell, (reason, after)) = last.expect("it was refused by one cell at least");
        self.busy(cell, after, reason)
    }

    fn busy(
        &mut self,
        cell: CellId,
        retry_after: Option<TimeDelta>,
        reason: RejectReason,
    ) -> AdmissionDecision {
        self.cells[cell.0 as usize].counters.busy += 1;
        AdmissionDecision::Busy { cell: Some(cell), retry_after, reason }
    }

    fn acquire(
        &mut self,
        now: Timestamp,
        id: CellId,
        op: &OpContext,
    ) -> Result<(), (RejectReason, Option<TimeDelta>)> {
        let cell = &mut self.cells[id.0 as usize];
        if cell
            .concurrency_limit
            .is_some_and(|concurrency_limit| self.ops.used(id) >= concurrency_limit.limit())
        {
            return Err((RejectReason::ConcurrencyLimit, Some(CAPACITY_RETRY_AFTER)));
        }
        if op.is_retry
            && cell.retry_budget.as_ref().is_some_and(|retry_budget| retry_budget.remaining(now) == 0)
        {
            let after = cell.retry_budget.as_ref().map(RetryBudget::retry_after);
            return Err((RejectReason::RetryBudget, after));
        }
        self.ops
            .try_acquire(now, id, 1)
            .map_err(|_| (RejectReason::OpCapacity, Some(CAPACITY_RETRY_AFTER)))?;
        if self.bytes.try_acquire(now, id, op.bytes).is_err() {
            self.ops.release(id, 1);
            return Err((RejectReason::ByteCapacity, Some(CAPACITY_RETRY_AFTER)));
        }
        if let Some(retry_budget) = cell.retry_budget.as_mut().filter(|_| op.is_retry) {
            retry_budget.record_retry(now);
        }
        Ok(())
    }

    /// A send of the op goes out: its first, or a further one.
    pub fn record_send(&mut self, now: Timestamp, permit: &AdmissionPermit, first: bool) {
        let cell = &mut self.cells[permit.cell.0 as usize];
        if let Some(retry_budget) = &mut cell.retry_budget {
            if first { retry_budget.record_first_send(now) } else { retry_budget.record_retry(now) }
        }
        cell.counters.first_sends += u32::from(first);
        cell.counters.further_sends += u32::from(!first);
    }

    /// How many further sends the cell may make now; none: as many as it likes.
    pub fn remaining_retries(&self, now: Timestamp, cell: CellId) -> Option<u32> {
        self.cells[cell.0 as usize].retry_budget.as_ref().map(|retry_budget| retry_budget.remaining(now))
    }

    /// A send ended, after so many latency targets; `new` if its host started anew since the cell's trial began.
    pub fn record_send_end(
        &mut self,
        permit: &AdmissionPermit,
        outcome: SendOutcome,
        latency: f64,
        new: bool,
    ) {
        let (cell, in_flight) = (&mut self.cells[permit.cell.0 as usize], self.ops.used(permit.cell));
        match (&mut cell.concurrency_limit, outcome) {
            (Some(concurrency_limit), SendOutcome::Acked) => {
                concurrency_limit.record_response(latency, in_flight)
            }
            (Some(concurrency_limit), SendOutcome::Failed) => concurrency_limit.record_failure(),
            _ => {}
        }
        if let Some(rollout) = self.rollout.as_mut().filter(|_| outcome != SendOutcome::NotExecuted) {
            let last_reported =
                rollout.record_outcome(new.then_some(permit.cell), outcome == SendOutcome::Failed);
            self.events.extend(last_reported.map(CellEvent::ReleaseVerdict));
        }
    }

    /// The op is over and none of its sends is out: its place is free. `ran` is what became of it, `position` where
    /// its write was acked.
    pub fn release(
        &mut self,
        now: Timestamp,
        permit: AdmissionPermit,
        ran: WriteOutcome,
        position: Option<Timestamp>,
    ) {
        self.ops.release(permit.cell, 1);
        self.bytes.release(permit.cell, permit.bytes);
        match permit.moving.and_then(|id| self.moves.get_mut(&id)) {
            Some(moving) if permit.held => moving.release_held(),
            Some(moving) => moving.record_end(now, permit.token, ran, position),
            None => {}
        }
    }

    /// Whether a host of the cell may be probed now. Danger: a cell whose hosts all hang has a probe at each of them
    /// for as long as a probe may last, and they take the connections of all others.
    pub fn try_start_probe(&mut self, now: Timestamp, cell: CellId) -> bool {
        self.probes.try_acquire(now, cell, 1).is_ok()
    }

    /// Such a probe ended.
    pub fn end_probe(&mut self, cell: CellId) {
        self.probes.release(cell, 1);
    }

    /// A host of a cell started anew.
    pub fn host_restarted(&mut self, cell: CellId, at: Timestamp, within: TimeDelta) {
        if let Some(rollout) = &mut self.rollout {
            rollout.host_restarted(cell, at, within);
        }
    }

    /// The part of its size with which a host of the cell that started anew is trusted.
    pub fn restarted_host_trust(&mut self, cell: CellId) -> f64 {
        match self.rollout.as_ref().map(|rollout| rollout.check_rollout(cell)) {
            Some(Err(held)) => {
                self.events.push(CellEvent::RolloutBlocked(cell, held));
                UNVERIFIED_TRUST
            }
            _ => 1.0,
        }
    }

    /// The groups whose hosts' positions are waited for.
    pub fn groups_awaiting_positions(&self) -> SmallVec<[GroupId; 4]> {
        let waits = |moving: &&TenantMove| matches!(moving.stage(), Stage::Fenced | Stage::Drained);
        let waiting = self.moves.values().filter(waits);
        waiting.filter_map(|moving| moving.config.groups.map(|(_, to)| to)).collect()
    }

    /// The hosts of a group, with their names in the lists.
    pub fn set_group_hosts(&mut self, group: GroupId, hosts: &[(HostId, &str)]) {
        for moving in self.moves.values_mut() {
            if moving.config.groups.is_some_and(|(_, to)| to == group) {
                moving.set_target_hosts(hosts);
            }
        }
    }

    /// A host said where it is.
    pub fn record_position(&mut self, host: HostId, position: Timestamp, primary: bool) {
        self.moves.values_mut().for_each(|moving| moving.record_position(host, position, primary));
    }

    /// Time has passed. Whether held ops should be asked about again.
    pub fn tick(&mut self, now: Timestamp) -> bool {
        let mut changed = false;
        for moving in self.moves.values_mut() {
            let stuck = moving.tick(now);
            let state = (moving.stage(), stuck);
            let tenant = &moving.config.tenant;
            let before = self.last_reported.insert(tenant.clone(), state);
            changed |= before.is_none_or(|(stage, _)| stage != state.0);
            if before.is_none_or(|(stage, _)| stage != state.0) {
                self.events.push(CellEvent::MoveStageChanged(tenant.clone(), state.0));
            }
            // How many are out changes all the time; that some are is told once.
            let kind = |stuck: Option<MoveBlocker>| stuck.map(|stuck| std::mem::discriminant(&stuck));
            if let Some(stuck) = stuck.filter(|_| kind(stuck) != before.and_then(|(_, s)| kind(s))) {
                self.events.push(CellEvent::MoveBlocked(tenant.clone(), stuck));
            }
        }
        changed
    }

    pub fn take_events(&mut self) -> Vec<CellEvent> {
        std::mem::take(&mut self.events)
    }

    /// What each cell holds and did.
    pub fn report(&mut self) -> Vec<CellStatus> {
        let state = |(id, cell): (CellId, &mut CellState)| CellStatus {
            name: self.layout.cell(id).name.clone(),
            ops: self.ops.used(id),
            share: self.ops.share(id).0,
            guaranteed: self.ops.share(id).1,
            borrowed: self.ops.borrowed(id),
            bytes: self.bytes.used(id),
            probes: self.probes.used(id),
            concurrency_limit: cell.concurrency_limit.map(|concurrency_limit| concurrency_limit.limit()),
            release_verdict: self.rollout.as_ref().map(|rollout| rollout.verdict(id)),
            counters: std::mem::take(&mut cell.counters),
        };
        (0..).map(CellId).zip(&mut self.cells).map(state).collect()
    }

    /// Each move: the tenant, this router's stage, writes that are out, tokens that are noted.
    pub fn moves(&self) -> impl Iterator<Item = (&str, Stage, u32, usize)> {
        self.moves.values().map(|moving| {
            (&*moving.config.tenant, moving.stage(), moving.writes_in_flight(), moving.token_count())
        })
    }
}

/// What operators are shown of a cell.
#[derive(Clone, Debug, PartialEq)]
pub struct CellStatus {
    pub name: Box<str>,
    pub ops: u64,
    pub share: u64,
    pub guaranteed: u64,
    pub borrowed: u64,
    pub bytes: u64,
    pub probes: u64,
    pub concurrency_limit: Option<u64>,
    pub release_verdict: Option<ReleaseVerdict>,
    pub counters: CellCounters,
}
