//! Admission control of the router's cells. Each op is submitted to `admit` on arrival, and again after it
//! was held; its sends and its end are recorded. The decision says in which cell and group the op may run.

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
use crate::rollout::{Rollout, RolloutBlocked, RolloutVerdict, UNVERIFIED_TRUST, VerdictChange};
use crate::tenant_move::{
    MoveBlocker, MoveConflict, MoveOp, MoveSettings, Placement, Stage, Step, TenantMove, WriteOutcome,
};

/// Total amounts that are divided among the cells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// In-flight ops, and the bytes of their statements.
    pub ops: u64,
    pub bytes: u64,
    /// Concurrent health probes.
    pub probes: u64,
}

/// Properties of an op that admission depends on.
#[derive(Clone, Copy, Debug)]
pub struct OpContext<'a> {
    /// Tenant named by the client.
    pub tenant: Option<&'a str>,
    /// Address of the client.
    pub address: Option<IpAddr>,
    /// Group named by the client.
    pub group: GroupId,
    /// Size of the op's statements.
    pub bytes: u64,
    /// Whether the op writes, or how fresh its reads have to be.
    pub consistency: Consistency,
    /// Identifies the session. Its ops stay in one of the tenant's cells while that has capacity.
    pub session: Option<u64>,
    /// Idempotency token, for op types whose retries are deduplicated.
    pub token: Option<u64>,
    /// Whether the client marked the op as a retry.
    pub is_retry: bool,
    /// When the client stops waiting.
    pub deadline: Timestamp,
}

/// Capacity held by an admitted or held op. It has to be returned with `Cells::release`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionPermit {
    /// The cell whose capacity is held.
    pub cell: CellId,
    bytes: u64,
    /// The move whose source the op writes to, or that holds the op.
    move_id: Option<MoveId>,
    held: bool,
    token: Option<u64>,
}

/// Identifies a tenant move within this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct MoveId(u32);

/// Decision on an op.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The op may run in this cell, on `group` as the host lists name it. Reads of a session have to observe
    /// at least `min_position`.
    Admit { permit: AdmissionPermit, group: GroupId, min_position: Option<Timestamp> },
    /// The op waits, at most until `until`. Then, or when `Cells::tick` reports a change, the permit has to
    /// be released and the op submitted again.
    Hold { permit: AdmissionPermit, until: Timestamp },
    /// Nothing was sent. The client may retry after `retry_after`, if that is known.
    Busy { cell: Option<CellId>, retry_after: Option<TimeDelta>, reason: RejectReason },
    /// The op belongs to no cell, or it may have run where its outcome can no longer be determined.
    Error { reason: RejectReason },
}

/// Why an op is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    NoCell(NoCellReason),
    GroupNotServed,
    OpCapacity,
    ByteCapacity,
    ConcurrencyLimit,
    RetryBudget,
    /// The layout's lease has expired, so that the placement of writes may be out of date.
    LeaseExpired,
    MoveFenced,
    OutcomeUnknown,
}

impl RejectReason {
    /// Message for logs and clients.
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
            RejectReason::RetryBudget => "the cell's retry budget is exhausted",
            RejectReason::LeaseExpired => "the operator's file is too old for writes and bounded reads",
            RejectReason::MoveFenced => "the tenant moves",
            RejectReason::OutcomeUnknown => "it may have run; the tenant moved since",
        }
    }
}

/// Outcome of a send, as far as cells depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    Acked,
    /// A response that is neither an ack nor a refusal, or no response.
    Failed,
    /// The op provably did not run: it was refused, or there was no connection.
    NotExecuted,
}

/// Changes that are reported to operators.
#[derive(Clone, Debug, PartialEq)]
pub enum CellEvent {
    RolloutVerdict(VerdictChange),
    /// Restarted hosts of the cell get reduced trust.
    RolloutBlocked(CellId, RolloutBlocked),
    MoveStageChanged(Box<str>, Stage),
    MoveBlocked(Box<str>, MoveBlocker),
}

/// Why a layout is rejected as a whole. The current layout stays in effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LayoutError {
    /// Its epoch is older than the current one, or the same with different content.
    Epoch { held: u64, offered: u64 },
    /// It contradicts the state of the tenant's move.
    Move(Box<str>, MoveConflict),
    /// It lacks the tenant's move, which has not finished.
    MoveMissing(Box<str>),
    /// The move's fence begins while other routers may still act on the previous lease.
    FenceTooEarly(Box<str>),
    /// The move has a fence, but the previous layout has no lease that bounds how long other routers act on
    /// it.
    NoLease(Box<str>),
}

/// State of one cell.
#[derive(Debug)]
struct CellState {
    concurrency_limit: Option<ConcurrencyLimit>,
    retry_budget: Option<RetryBudget>,
    counters: CellCounters,
}

/// Counts since the previous report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellCounters {
    /// Admitted ops.
    pub admitted: u32,
    /// Ops rejected as busy.
    pub busy: u32,
    /// Ops rejected because their outcome is unknown.
    pub errors: u32,
    /// First sends of ops.
    pub first_sends: u32,
    /// Sends of ops after the first one.
    pub retries: u32,
}

/// Admission state of all cells of one router.
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
    move_by_tenant: FxHashMap<Box<str>, MoveId>,
    rollout: Option<Rollout>,
    move_settings: MoveSettings,
    events: Vec<CellEvent>,
    last_reported: FxHashMap<Box<str>, (Stage, Option<MoveBlocker>)>,
}

fn cell_weights(layout: &Layout) -> impl Iterator<Item = (f64, f64)> + '_ {
    layout.cells.iter().map(|cell| (cell.weight, cell.guaranteed_fraction))
}

/// Retry delay when a cell lacks capacity: some of its ops have ended by then.
const CAPACITY_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(20);

impl Cells {
    /// Creates the cells of a layout and divides `capacity` among them.
    pub fn new(now: Timestamp, layout: Layout, capacity: Capacity, move_settings: MoveSettings) -> Self {
        let bulkhead = |total| Bulkhead::new(total, cell_weights(&layout), layout.reclaim_period);
        let mut cells = Cells {
            index: CellIndex::new(&layout),
            assignment: CellAssignment::new(&layout),
            ops: bulkhead(capacity.ops),
            bytes: bulkhead(capacity.bytes),
            probes: bulkhead(capacity.probes),
            cells: Vec::new(),
            moves: BTreeMap::new(),
            next_move: 0,
            move_by_tenant: FxHashMap::default(),
            rollout: layout.rollout.clone().map(Rollout::new),
            layout,
            move_settings,
            events: Vec::new(),
            last_reported: FxHashMap::default(),
        };
        cells.rebuild_state(now, None);
        cells
    }

    /// The current layout.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// The lookup tables of the current layout.
    pub fn index(&self) -> &CellIndex {
        &self.index
    }

    /// Checks whether the layout may replace the current one, without changing any state.
    ///
    /// # Errors
    /// Why the layout is rejected.
    pub fn check_layout(&self, layout: &Layout) -> Result<(), LayoutError> {
        if layout.epoch <= self.layout.epoch {
            return Err(LayoutError::Epoch { held: self.layout.epoch, offered: layout.epoch });
        }
        let layout = layout.clone().aligned(&self.layout, |_| false);
        for tenant_move in self.moves.values() {
            let tenant = &tenant_move.config.tenant;
            match layout.moves.iter().find(|move_config| move_config.tenant == *tenant) {
                Some(move_config) => tenant_move
                    .check_config(move_config)
                    .map_err(|reason| LayoutError::Move(tenant.clone(), reason))?,
                None if tenant_move.stage() == Stage::Open || tenant_move.config.step == Step::Cancelled => {}
                // If the data stays in its group, the tenant's assignment replaces the finished move.
                None if tenant_move.stage() == Stage::Done && tenant_move.config.groups.is_none() => {}
                None => return Err(LayoutError::MoveMissing(tenant.clone())),
            }
        }
        for move_config in layout.moves.iter().filter(|move_config| move_config.groups.is_some()) {
            let existing = self.layout.moves.iter().find(|old| old.tenant == move_config.tenant);
            let announced = existing.is_some_and(|old| old.fence_at == move_config.fence_at);
            let Some(lease) = self.layout.lease else {
                // Without a lease, routers that miss the new layout would keep writing to the source
                // forever.
                let new = move_config.fence_at.is_some() && !announced;
                return if new { Err(LayoutError::NoLease(move_config.tenant.clone())) } else { Ok(()) };
            };
            // A router that misses the new layout keeps writing to the source until its lease ends.
            if !announced
                && move_config.fence_at.is_some_and(|at| at < lease.expires_at + lease.max_clock_skew)
            {
                return Err(LayoutError::FenceTooEarly(move_config.tenant.clone()));
            }
        }
        Ok(())
    }

    /// Replaces the layout, or rejects it as a whole. A layout equal to the current one is accepted without
    /// effect.
    ///
    /// # Errors
    /// Why the layout is rejected; no state has changed.
    pub fn replace_layout(&mut self, now: Timestamp, layout: Layout) -> Result<(), LayoutError> {
        let aligned =
            layout.clone().aligned(&self.layout, |id| self.ops.used(id) == 0 && self.probes.used(id) == 0);
        if aligned == self.layout {
            return Ok(());
        }
        self.check_layout(&layout)?;
        let old = std::mem::replace(&mut self.layout, aligned);
        self.ops.resize(cell_weights(&self.layout), self.layout.reclaim_period);
        self.bytes.resize(cell_weights(&self.layout), self.layout.reclaim_period);
        self.probes.resize(cell_weights(&self.layout), self.layout.reclaim_period);
        (self.index, self.assignment) = (CellIndex::new(&self.layout), CellAssignment::new(&self.layout));
        if old.rollout != self.layout.rollout {
            self.rollout = self.layout.rollout.clone().map(Rollout::new);
        }
        self.rebuild_state(now, Some(&old));
        Ok(())
    }

    /// Updates the state of cells and moves to the layout.
    fn rebuild_state(&mut self, now: Timestamp, old: Option<&Layout>) {
        let retry_budget_config = self.layout.retry_budget;
        let mut cells = std::mem::take(&mut self.cells).into_iter();
        let states = self.layout.cells.iter().enumerate().map(|(id, cell_config)| {
            // State is kept only if the id still belongs to the cell of the same name.
            let same =
                old.is_some_and(|old| old.cells.get(id).is_some_and(|was| was.name == cell_config.name));
            let existing = cells.next().filter(|_| same);
            let (concurrency_limit, retry_budget, counters) = existing
                .map_or_else(Default::default, |cell| {
                    (cell.concurrency_limit, cell.retry_budget, cell.counters)
                });
            let limit_for = |config: ConcurrencyLimitConfig| {
                let mut concurrency_limit =
                    concurrency_limit.unwrap_or_else(|| ConcurrencyLimit::new(config));
                concurrency_limit.set_config(config);
                concurrency_limit
            };
            let budget_for = |config| {
                let mut retry_budget = retry_budget.unwrap_or_else(|| RetryBudget::new(config));
                retry_budget.set_config(config);
                retry_budget
            };
            CellState {
                concurrency_limit: cell_config.concurrency_limit.map(limit_for),
                retry_budget: retry_budget_config.map(budget_for),
                counters,
            }
        });
        self.cells = states.collect();
        let mut moves = BTreeMap::new();
        for move_config in &self.layout.moves {
            let existing = self
                .moves
                .iter()
                .find(|(_, tenant_move)| tenant_move.is_same_move(move_config))
                .map(|(id, _)| *id);
            let existing = existing.and_then(|id| Some((id, self.moves.remove(&id)?)));
            let (id, tenant_move) = match existing {
                Some((id, mut tenant_move)) => {
                    tenant_move.apply_config(now, move_config.clone());
                    (id, tenant_move)
                }
                None => {
                    self.next_move += 1;
                    (MoveId(self.next_move), TenantMove::new(now, move_config.clone(), self.move_settings))
                }
            };
            moves.insert(id, tenant_move);
        }
        self.moves = moves;
        self.move_by_tenant =
            self.moves.iter().map(|(id, tenant_move)| (tenant_move.config.tenant.clone(), *id)).collect();
        self.last_reported.retain(|tenant, _| self.move_by_tenant.contains_key(tenant));
    }

    /// Decides on an op that has arrived, or that was held until now.
    pub fn admit(&mut self, now: Timestamp, op: &OpContext) -> AdmissionDecision {
        let assigned_cells = match self.assignment.cells_for(op.tenant, op.address, op.group) {
            Ok(assigned_cells) => assigned_cells,
            Err(reason) => return AdmissionDecision::Error { reason: RejectReason::NoCell(reason) },
        };
        // After the lease another layout may be in effect: a write here could be lost, and a bounded read
        // could be older than its bound.
        if op.consistency != Consistency::Any
            && self.layout.lease.is_some_and(|lease| now >= lease.expires_at - lease.max_clock_skew)
        {
            return self.busy(assigned_cells[0], None, RejectReason::LeaseExpired);
        }
        let move_id = op.tenant.and_then(|tenant| self.move_by_tenant.get(tenant).copied());
        if let Some(id) = move_id
            && self.moves[&id].config.client_group.is_none_or(|named| named == op.group)
        {
            return self.admit_moving(now, id, op);
        }
        self.admit_in(now, &assigned_cells, op, op.group, None, None)
    }

    fn admit_moving(&mut self, now: Timestamp, id: MoveId, op: &OpContext) -> AdmissionDecision {
        let Some(tenant_move) = self.moves.get_mut(&id) else {
            return AdmissionDecision::Error { reason: RejectReason::OutcomeUnknown };
        };
        let (consistency, token, is_retry, deadline) = (op.consistency, op.token, op.is_retry, op.deadline);
        let (from, to) = (tenant_move.config.from, tenant_move.config.to);
        let groups = tenant_move.config.groups.unwrap_or((op.group, op.group));
        match tenant_move.place(now, MoveOp { consistency, token, is_retry, deadline }) {
            Placement::Source => {
                let move_id = (consistency == Consistency::Write).then_some(id);
                let decision = self.admit_in(now, &[from], op, groups.0, None, move_id);
                let tenant_move = self.moves.get_mut(&id).filter(|_| move_id.is_some());
                if let (AdmissionDecision::Admit { .. }, Some(tenant_move)) = (decision, tenant_move) {
                    tenant_move.record_send(now, token);
                }
                decision
            }
            Placement::Target(min_position) => self.admit_in(now, &[to], op, groups.1, min_position, None),
            Placement::Hold(until) => {
                // Bounds what a fence holds: in number here, and in bytes by the cell's share.
                let hold_limit_reached =
                    u64::from(tenant_move.held_writes()) >= (self.ops.share(from).0 / 4).max(1);
                let retry_after = tenant_move.config.switch_at.map(|at| at - now);
                if hold_limit_reached {
                    return self.busy(from, retry_after, RejectReason::MoveFenced);
                }
                match self.admit_in(now, &[from], op, groups.0, None, Some(id)) {
                    AdmissionDecision::Admit { permit, .. } => {
                        self.moves.entry(id).and_modify(TenantMove::add_held);
                        AdmissionDecision::Hold { permit: AdmissionPermit { held: true, ..permit }, until }
                    }
                    rejected => rejected,
                }
            }
            Placement::Busy(retry_after) => self.busy(from, Some(retry_after), RejectReason::MoveFenced),
            Placement::OutcomeUnknown => {
                self.cells[from.0 as usize].counters.errors += 1;
                AdmissionDecision::Error { reason: RejectReason::OutcomeUnknown }
            }
        }
    }

    fn admit_in(
        &mut self,
        now: Timestamp,
        assigned_cells: &[CellId],
        op: &OpContext,
        group: GroupId,
        min_position: Option<Timestamp>,
        move_id: Option<MoveId>,
    ) -> AdmissionDecision {
        let serving = |id: &CellId| self.index.serves(*id, group);
        let mut candidates: AssignedCells = assigned_cells.iter().copied().filter(serving).collect();
        if candidates.is_empty() {
            return AdmissionDecision::Error { reason: RejectReason::GroupNotServed };
        }
        // A session stays in one of its tenant's cells while that has capacity.
        let start = op.session.map_or(0, |session| session as usize % candidates.len());
        candidates.rotate_left(start);
        let mut first_rejection = None;
        for cell in candidates {
            match self.acquire(now, cell, op) {
                Ok(()) => {
                    self.cells[cell.0 as usize].counters.admitted += 1;
                    let permit =
                        AdmissionPermit { cell, bytes: op.bytes, move_id, held: false, token: op.token };
                    return AdmissionDecision::Admit { permit, group, min_position };
                }
                Err(rejection) => first_rejection = first_rejection.or(Some((cell, rejection))),
            }
        }
        let (cell, (reason, retry_after)) = first_rejection.expect("at least one cell rejected the op");
        self.busy(cell, retry_after, reason)
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
        if cell.concurrency_limit.is_some_and(|limit| self.ops.used(id) >= limit.limit()) {
            return Err((RejectReason::ConcurrencyLimit, Some(CAPACITY_RETRY_AFTER)));
        }
        if op.is_retry && cell.retry_budget.as_ref().is_some_and(|budget| budget.remaining(now) == 0) {
            let retry_after = cell.retry_budget.as_ref().map(RetryBudget::retry_after);
            return Err((RejectReason::RetryBudget, retry_after));
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

    /// Records that a send of the op goes out: the first one, or a retry.
    pub fn record_send(&mut self, now: Timestamp, permit: &AdmissionPermit, first: bool) {
        let cell = &mut self.cells[permit.cell.0 as usize];
        if let Some(retry_budget) = &mut cell.retry_budget {
            if first { retry_budget.record_first_send(now) } else { retry_budget.record_retry(now) }
        }
        cell.counters.first_sends += u32::from(first);
        cell.counters.retries += u32::from(!first);
    }

    /// How many retries the cell may send now; `None` if it has no budget.
    pub fn remaining_retries(&self, now: Timestamp, cell: CellId) -> Option<u32> {
        self.cells[cell.0 as usize].retry_budget.as_ref().map(|budget| budget.remaining(now))
    }

    /// Records the end of a send. `latency` is in latency targets; `restarted_in_trial` says whether the
    /// host restarted during the rollout trial of the cell.
    pub fn record_send_end(
        &mut self,
        permit: &AdmissionPermit,
        outcome: SendOutcome,
        latency: f64,
        restarted_in_trial: bool,
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
            let change = rollout
                .record_outcome(restarted_in_trial.then_some(permit.cell), outcome == SendOutcome::Failed);
            self.events.extend(change.map(CellEvent::RolloutVerdict));
        }
    }

    /// Returns the op's capacity once it has ended and no send is in flight. `outcome` is what became of it,
    /// and `position` where its write was acknowledged.
    pub fn release(
        &mut self,
        now: Timestamp,
        permit: AdmissionPermit,
        outcome: WriteOutcome,
        position: Option<Timestamp>,
    ) {
        self.ops.release(permit.cell, 1);
        self.bytes.release(permit.cell, permit.bytes);
        match permit.move_id.and_then(|id| self.moves.get_mut(&id)) {
            Some(tenant_move) if permit.held => tenant_move.release_held(),
            Some(tenant_move) => tenant_move.record_end(now, permit.token, outcome, position),
            None => {}
        }
    }

    /// Starts a probe of a host of the cell if the cell's share allows one. This keeps the probes of a cell
    /// whose hosts all hang from taking the connections of other cells.
    pub fn try_start_probe(&mut self, now: Timestamp, cell: CellId) -> bool {
        self.probes.try_acquire(now, cell, 1).is_ok()
    }

    /// Ends a probe that `try_start_probe` allowed.
    pub fn end_probe(&mut self, cell: CellId) {
        self.probes.release(cell, 1);
    }

    /// Records that a host of the cell restarted at `at`.
    pub fn host_restarted(&mut self, cell: CellId, at: Timestamp, within: TimeDelta) {
        if let Some(rollout) = &mut self.rollout {
            rollout.host_restarted(cell, at, within);
        }
    }

    /// Factor on the size of a restarted host of the cell, and thereby on its traffic.
    pub fn restarted_host_trust(&mut self, cell: CellId) -> f64 {
        match self.rollout.as_ref().map(|rollout| rollout.check_rollout(cell)) {
            Some(Err(blocked)) => {
                self.events.push(CellEvent::RolloutBlocked(cell, blocked));
                UNVERIFIED_TRUST
            }
            _ => 1.0,
        }
    }

    /// Target groups whose hosts' positions are needed by moves that wait for their switch.
    pub fn groups_awaiting_positions(&self) -> SmallVec<[GroupId; 4]> {
        let waits_for_positions =
            |tenant_move: &&TenantMove| matches!(tenant_move.stage(), Stage::Fenced | Stage::Drained);
        let waiting = self.moves.values().filter(waits_for_positions);
        waiting.filter_map(|tenant_move| tenant_move.config.groups.map(|(_, to)| to)).collect()
    }

    /// Sets the hosts of a group and their names in the host lists.
    pub fn set_group_hosts(&mut self, group: GroupId, hosts: &[(HostId, &str)]) {
        for tenant_move in self.moves.values_mut() {
            if tenant_move.config.groups.is_some_and(|(_, to)| to == group) {
                tenant_move.set_target_hosts(hosts);
            }
        }
    }

    /// Records the position that a host reported, and whether the host is a primary.
    pub fn record_position(&mut self, host: HostId, position: Timestamp, primary: bool) {
        self.moves.values_mut().for_each(|tenant_move| tenant_move.record_position(host, position, primary));
    }

    /// Advances moves. Returns whether a move changed its stage, so that held ops have to be submitted
    /// again.
    pub fn tick(&mut self, now: Timestamp) -> bool {
        let mut changed = false;
        for tenant_move in self.moves.values_mut() {
            let blocker = tenant_move.tick(now);
            let state = (tenant_move.stage(), blocker);
            let tenant = &tenant_move.config.tenant;
            let before = self.last_reported.insert(tenant.clone(), state);
            changed |= before.is_none_or(|(stage, _)| stage != state.0);
            if before.is_none_or(|(stage, _)| stage != state.0) {
                self.events.push(CellEvent::MoveStageChanged(tenant.clone(), state.0));
            }
            // The number of writes in flight changes constantly, so that only a new kind of blocker is
            // reported.
            let kind = |blocker: Option<MoveBlocker>| blocker.map(|blocker| std::mem::discriminant(&blocker));
            if let Some(blocker) =
                blocker.filter(|_| kind(blocker) != before.and_then(|(_, blocker)| kind(blocker)))
            {
                self.events.push(CellEvent::MoveBlocked(tenant.clone(), blocker));
            }
        }
        changed
    }

    /// Returns the events since the previous call.
    pub fn take_events(&mut self) -> Vec<CellEvent> {
        std::mem::take(&mut self.events)
    }

    /// Status of each cell; resets the counters.
    pub fn report(&mut self) -> Vec<CellStatus> {
        let state = |(id, cell): (CellId, &mut CellState)| CellStatus {
            name: self.layout.cell(id).name.clone(),
            ops: self.ops.used(id),
            share: self.ops.share(id).0,
            guaranteed: self.ops.share(id).1,
            borrowed: self.ops.borrowed(id),
            bytes: self.bytes.used(id),
            probes: self.probes.used(id),
            concurrency_limit: cell.concurrency_limit.map(|limit| limit.limit()),
            rollout_verdict: self.rollout.as_ref().map(|rollout| rollout.verdict(id)),
            counters: std::mem::take(&mut cell.counters),
        };
        (0..).map(CellId).zip(&mut self.cells).map(state).collect()
    }

    /// Each move: the tenant, this router's stage, writes in flight, and recorded tokens.
    pub fn moves(&self) -> impl Iterator<Item = (&str, Stage, u32, usize)> {
        self.moves.values().map(|tenant_move| {
            (
                &*tenant_move.config.tenant,
                tenant_move.stage(),
                tenant_move.writes_in_flight(),
                tenant_move.token_count(),
            )
        })
    }
}

/// Status of a cell for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct CellStatus {
    /// Name of the cell.
    pub name: Box<str>,
    /// In-flight ops.
    pub ops: u64,
    /// The cell's share of the op capacity.
    pub share: u64,
    /// The part of the share that is never lent.
    pub guaranteed: u64,
    /// In-flight ops beyond the share.
    pub borrowed: u64,
    /// Bytes of the statements of in-flight ops.
    pub bytes: u64,
    /// Concurrent health probes.
    pub probes: u64,
    /// The adaptive limit on in-flight ops, if one is configured.
    pub concurrency_limit: Option<u64>,
    /// Verdict on the rollout in the cell, if a rollout is configured.
    pub rollout_verdict: Option<RolloutVerdict>,
    /// Counts since the previous report.
    pub counters: CellCounters,
}
