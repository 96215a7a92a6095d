//! The route stage's side of cells: each op gets its cell before it waits for its turn, turns are fair over cells,
//! and what the module is told of an op names groups as its cell sees them. What is decided is decided in
//! `arrowyard-cells` and the module.

use std::collections::HashMap;
use std::net::IpAddr;

use arrowyard_cells::admission::AdmissionPermit;
use arrowyard_cells::admission::{Capacity, CellEvent, LayoutError, RejectReason};
use arrowyard_cells::fair_queue::FairQueue;
use arrowyard_cells::index::CellIndex;
use arrowyard_cells::tenant_move::{MoveSettings, Stage, WriteOutcome};
use arrowyard_cells::{AdmissionDecision, Cells, Layout, OpContext, SendOutcome};
use arrowyard_types::{
    CellId, Consistency, GroupId, HostId, HostStatus, OpId, OpRequest, OpType, Outcome, Role, RouterEvent,
    SendIndex, TimeDelta, Timestamp,
};
use serde_json::{Value, json};

/// What an op's client says beyond its `Ask`, for cells.
#[derive(Clone, Debug)]
pub struct OpOrigin {
    pub tenant: Option<Box<str>>,
    pub address: Option<IpAddr>,
    pub bytes: u64,
    /// The token, if the op type's repeats have one effect.
    pub token: Option<u64>,
}

/// What is kept of an op that has a place.
struct PermittedOp {
    permit: AdmissionPermit,
    op_type: usize,
    write_outcome: WriteOutcome,
    position: Option<Timestamp>,
}

/// Where an op goes next.
pub enum Placement<T> {
    /// To the module, when its cell's turn comes.
    Dispatch(OpRequest, T),
    Queued,
    Busy(Option<TimeDelta>, T),
    Error(RejectReason, T),
}

struct QueuedOp<T> {
    ask: OpRequest,
    claim: Box<OpOrigin>,
    permit: AdmissionPermit,
    until: Timestamp,
    payload: T,
}

/// `M` is mail that waits for its turn, `T` what goes with an op that is held.
pub struct CellScheduler<M, T> {
    cells: Cells,
    queue: FairQueue<M>,
    permitted: HashMap<OpId, PermittedOp>,
    queued: Vec<QueuedOp<T>>,
    /// By cell: how many further sends the module believes that it has.
    reported_budgets: HashMap<CellId, Option<u32>>,
    op_types: Vec<OpType>,
}

/// A host that started within so many spans in which it is cold belongs to a release that is judged.
pub const RELEASE_WINDOW_FACTOR: f64 = 10.0;

impl<M, T> CellScheduler<M, T> {
    pub fn new(now: Timestamp, layout: Layout, totals: Capacity, op_types: Vec<OpType>, marks: bool) -> Self {
        let settle = op_types.iter().map(|row| row.op_timeout).max().unwrap_or_default();
        let skew = layout.lease.map_or(TimeDelta::ZERO, |lease| lease.max_clock_skew);
        let fair = FairQueue::new(layout.cells.iter().map(|cell| cell.weight));
        let cells = Cells::new(
            now,
            layout,
            totals,
            MoveSettings { clients_mark_retries: marks, max_op_timeout: settle, max_clock_skew: skew },
        );
        let (kept, held, spares) = Default::default();
        CellScheduler {
            cells,
            queue: fair,
            permitted: kept,
            queued: held,
            reported_budgets: spares,
            op_types,
        }
    }

    pub fn layout(&self) -> &Layout {
        self.cells.layout()
    }

    pub fn index(&self) -> &CellIndex {
        self.cells.index()
    }

    /// The op's cell is found, and its place taken; `rest` comes back with the verdict, or later if it is held.
    pub fn admit(&mut self, now: Timestamp, ask: OpRequest, claim: Box<OpOrigin>, rest: T) -> Placement<T> {
        let row = &self.op_types[ask.op_type.0 as usize];
        let facts = OpContext {
            tenant: claim.tenant.as_deref(),
            address: claim.address,
            group: ask.group,
            bytes: claim.bytes,
            consistency: row.consistency,
            session: ask.session.map(|session| session.0),
            token: claim.token,
            is_retry: ask.is_retry,
            deadline: ask.deadline,
        };
        match self.cells.admit(now, &facts) {
            AdmissionDecision::Admit { permit: pass, group, min_position: floor } => {
                let (op_type, ran, position) = (ask.op_type.0 as usize, WriteOutcome::NotExecuted, None);
                self.permitted
                    .insert(ask.op, PermittedOp { permit: pass, op_type, write_outcome: ran, position });
                Placement::Dispatch(OpRequest { cell: pass.cell, group, min_position: floor, ..ask }, rest)
            }
            AdmissionDecision::Hold { permit: pass, until } => {
                self.queued.push(QueuedOp { ask, claim, permit: pass, until, payload: rest });
                Placement::Queued
            }
            AdmissionDecision::Busy { retry_after: after, .. } => Placement::Busy(after, rest),
            AdmissionDecision::Error { reason: why } => Placement::Error(why, rest),
        }
    }

    /// RouteMessage of an op waits for its cell's turn; back if the op is not known here.
    pub fn enqueue(&mut self, op: OpId, mail: M) -> Option<M> {
        match self.permitted.get(&op) {
            Some(kept) => {
                self.queue.push(kept.permit.cell, mail);
                None
            }
            None => Some(mail),
        }
    }

    pub fn pop(&mut self) -> Option<M> {
        self.queue.pop()
    }

    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// What the module has to be told before it hears of this cell again.
    pub fn retry_budget_update(&mut self, now: Timestamp, cell: CellId) -> Option<RouterEvent> {
        let sends = self.cells.remaining_retries(now, cell);
        let told = self.reported_budgets.insert(cell, sends).unwrap_or(None);
        (told != sends).then_some(RouterEvent::RetryBudget { cell, retries: sends })
    }

    pub fn cell_of(&self, op: OpId) -> Option<CellId> {
        self.permitted.get(&op).map(|kept| kept.permit.cell)
    }

    pub fn record_send(&mut self, now: Timestamp, op: OpId, send: SendIndex) {
        let Some(kept) = self.permitted.get(&op) else { return };
        self.cells.record_send(now, &kept.permit, send.0 == 0);
        if let Some(Some(spare)) = self.reported_budgets.get_mut(&kept.permit.cell).filter(|_| send.0 > 0) {
            // As the module counts.
            *spare = spare.saturating_sub(1);
        }
    }

    pub fn send_ended(&mut self, op: OpId, outcome: Outcome, took: TimeDelta, word: &HostStatus, new: bool) {
        let Some(kept) = self.permitted.get_mut(&op) else { return };
        let row = &self.op_types[kept.op_type];
        let (ran, fate) = match outcome {
            Outcome::Acked => (WriteOutcome::Acked, SendOutcome::Acked),
            outcome if outcome.never_ran() => (WriteOutcome::NotExecuted, SendOutcome::NotExecuted),
            Outcome::Cancelled => (WriteOutcome::Unknown, SendOutcome::NotExecuted),
            _ => (WriteOutcome::Unknown, SendOutcome::Failed),
        };
        // Turned away tells of load as a time-out does, though it never ran.
        let fate = if outcome == Outcome::Overloaded { SendOutcome::Failed } else { fate };
        kept.write_outcome = kept.write_outcome.max(ran);
        if ran == WriteOutcome::Acked && row.consistency == Consistency::Write {
            kept.position = word.position;
        }
        self.cells.record_send_end(&kept.permit, fate, took / row.latency_target, new);
    }

    /// The op is answered and none of its sends is out.
    pub fn op_closed(&mut self, now: Timestamp, op: OpId) {
        if let Some(kept) = self.permitted.remove(&op) {
            self.cells.release(now, kept.permit, kept.write_outcome, kept.position);
        }
    }

    /// The client of an op that may be held went away.
    pub fn client_disconnected(&mut self, now: Timestamp, op: OpId) {
        if let Some(place) = self.queued.iter().position(|held| held.ask.op == op) {
            let held = self.queued.swap_remove(place);
            self.cells.release(now, held.permit, WriteOutcome::NotExecuted, None);
        }
    }

    /// Time has passed: held ops whose time it is, or all if something changed, are placed anew.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Placement<T>> {
        let changed = self.cells.tick(now);
        let (due, rest) = self.queued.drain(..).partition(|held| changed || now >= held.until);
        self.queued = rest;
        let due: Vec<QueuedOp<T>> = due;
        let turn = |QueuedOp { ask, claim, permit: pass, payload: rest, .. }: QueuedOp<T>| {
            self.cells.release(now, pass, WriteOutcome::NotExecuted, None);
            self.admit(now, ask, claim, rest)
        };
        due.into_iter().map(turn).collect()
    }

    pub fn take_events(&mut self) -> Vec<CellEvent> {
        self.cells.take_events()
    }

    /// Takes a new layout, or says why not.
    pub fn replace_layout(&mut self, now: Timestamp, layout: Layout) -> Result<(), LayoutError> {
        self.cells.replace_layout(now, layout)?;
        self.queue.set_weights(self.cells.layout().cells.iter().map(|cell| cell.weight));
        Ok(())
    }

    /// Whether a host of the cell may be probed now; if so it counts till it is told to have ended.
    pub fn try_start_probe(&mut self, now: Timestamp, cell: CellId) -> bool {
        self.cells.try_start_probe(now, cell)
    }

    pub fn end_probe(&mut self, cell: CellId) {
        self.cells.end_probe(cell);
    }

    /// Groups whose hosts have to be asked for their positions.
    pub fn groups_awaiting_positions(&self) -> Vec<GroupId> {
        self.cells.groups_awaiting_positions().to_vec()
    }

    pub fn set_group_hosts(&mut self, group: GroupId, hosts: &[(HostId, &str)]) {
        self.cells.set_group_hosts(group, hosts);
    }

    pub fn record_position(&mut self, host: HostId, word: &HostStatus) {
        if let Some(position) = word.position {
            self.cells.record_position(host, position, word.role == Some(Role::Primary));
        }
    }

    pub fn host_restarted(&mut self, cell: CellId, at: Timestamp, within: TimeDelta) {
        self.cells.host_restarted(cell, at, within);
    }

    pub fn restarted_host_trust(&mut self, cell: CellId) -> f64 {
        self.cells.restarted_host_trust(cell)
    }

    /// For `SHOW cells`.
    pub fn report(&mut self) -> Value {
        let epoch = self.cells.layout().epoch;
        let cells: Vec<Value> = self
            .cells
            .report()
            .into_iter()
            .map(|state| {
                json!({"cell": state.name, "ops": state.ops, "share": state.share, "guaranteed": state.guaranteed,
                    "borrowed": state.borrowed, "bytes": state.bytes, "probes": state.probes, "limit": state.concurrency_limit,
                    "release": state.release_verdict.map(|judged| format!("{judged:?}").to_lowercase()),
                    "taken": state.counters.admitted, "busy": state.counters.busy, "errors": state.counters.errors,
                    "first_sends": state.counters.first_sends, "further_sends": state.counters.further_sends})
            })
            .collect();
        let moves: Vec<Value> = self
            .cells
            .moves()
            .map(|(tenant, stage, out, tokens)| {
                json!({"tenant": tenant, "stage": stage_name(stage), "out": out, "tokens": tokens})
            })
            .collect();
        json!({"epoch": epoch, "held": self.queued.len(), "cells": cells, "moves": moves})
    }
}

/// As logs and reports name it.
pub fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Open => "open",
        Stage::Fenced => "fenced",
        Stage::Drained => "drained",
        Stage::Switched => "switched",
        Stage::Done => "done",
    }
}
