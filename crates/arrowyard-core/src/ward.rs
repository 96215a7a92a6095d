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
pub struct Claim {
    pub tenant: Option<Box<str>>,
    pub address: Option<IpAddr>,
    pub bytes: u64,
    /// The token, if the op type's repeats have one effect.
    pub token: Option<u64>,
}

/// What is kept of an op that has a place.
struct Kept {
    pass: AdmissionPermit,
    op_type: usize,
    ran: WriteOutcome,
    position: Option<Timestamp>,
}

/// Where an op goes next.
pub enum Turn<T> {
    /// To the module, when its cell's turn comes.
    Go(OpRequest, T),
    Held,
    Busy(Option<TimeDelta>, T),
    Error(RejectReason, T),
}

struct Held<T> {
    ask: OpRequest,
    claim: Box<Claim>,
    pass: AdmissionPermit,
    until: Timestamp,
    rest: T,
}

/// `M` is mail that waits for its turn, `T` what goes with an op that is held.
pub struct Ward<M, T> {
    cells: Cells,
    fair: FairQueue<M>,
    kept: HashMap<OpId, Kept>,
    held: Vec<Held<T>>,
    /// By cell: how many further sends the module believes that it has.
    spares: HashMap<CellId, Option<u32>>,
    op_types: Vec<OpType>,
}

/// A host that started within so many spans in which it is cold belongs to a release that is judged.
pub const NEW: f64 = 10.0;

impl<M, T> Ward<M, T> {
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
        Ward { cells, fair, kept, held, spares, op_types }
    }

    pub fn layout(&self) -> &Layout {
        self.cells.layout()
    }

    pub fn index(&self) -> &CellIndex {
        self.cells.index()
    }

    /// The op's cell is found, and its place taken; `rest` comes back with the verdict, or later if it is held.
    pub fn place(&mut self, now: Timestamp, ask: OpRequest, claim: Box<Claim>, rest: T) -> Turn<T> {
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
                self.kept.insert(ask.op, Kept { pass, op_type, ran, position });
                Turn::Go(OpRequest { cell: pass.cell, group, min_position: floor, ..ask }, rest)
            }
            AdmissionDecision::Hold { permit: pass, until } => {
                self.held.push(Held { ask, claim, pass, until, rest });
                Turn::Held
            }
            AdmissionDecision::Busy { retry_after: after, .. } => Turn::Busy(after, rest),
            AdmissionDecision::Error { reason: why } => Turn::Error(why, rest),
        }
    }

    /// Mail of an op waits for its cell's turn; back if the op is not known here.
    pub fn queue(&mut self, op: OpId, mail: M) -> Option<M> {
        match self.kept.get(&op) {
            Some(kept) => {
                self.fair.push(kept.pass.cell, mail);
                None
            }
            None => Some(mail),
        }
    }

    pub fn take(&mut self) -> Option<M> {
        self.fair.pop()
    }

    pub fn waiting(&self) -> usize {
        self.fair.len()
    }

    /// What the module has to be told before it hears of this cell again.
    pub fn spare(&mut self, now: Timestamp, cell: CellId) -> Option<RouterEvent> {
        let sends = self.cells.remaining_retries(now, cell);
        let told = self.spares.insert(cell, sends).unwrap_or(None);
        (told != sends).then_some(RouterEvent::RetryBudget { cell, retries: sends })
    }

    pub fn cell_of(&self, op: OpId) -> Option<CellId> {
        self.kept.get(&op).map(|kept| kept.pass.cell)
    }

    pub fn sent(&mut self, now: Timestamp, op: OpId, send: SendIndex) {
        let Some(kept) = self.kept.get(&op) else { return };
        self.cells.record_send(now, &kept.pass, send.0 == 0);
        if let Some(Some(spare)) = self.spares.get_mut(&kept.pass.cell).filter(|_| send.0 > 0) {
            // As the module counts.
            *spare = spare.saturating_sub(1);
        }
    }

    pub fn send_ended(&mut self, op: OpId, outcome: Outcome, took: TimeDelta, word: &HostStatus, new: bool) {
        let Some(kept) = self.kept.get_mut(&op) else { return };
        let row = &self.op_types[kept.op_type];
        let (ran, fate) = match outcome {
            Outcome::Acked => (WriteOutcome::Acked, SendOutcome::Acked),
            outcome if outcome.never_ran() => (WriteOutcome::NotExecuted, SendOutcome::NotExecuted),
            Outcome::Cancelled => (WriteOutcome::Unknown, SendOutcome::NotExecuted),
            _ => (WriteOutcome::Unknown, SendOutcome::Failed),
        };
        // Turned away tells of load as a time-out does, though it never ran.
        let fate = if outcome == Outcome::Overloaded { SendOutcome::Failed } else { fate };
        kept.ran = kept.ran.max(ran);
        if ran == WriteOutcome::Acked && row.consistency == Consistency::Write {
            kept.position = word.position;
        }
        self.cells.record_send_end(&kept.pass, fate, took / row.latency_target, new);
    }

    /// The op is answered and none of its sends is out.
    pub fn closed(&mut self, now: Timestamp, op: OpId) {
        if let Some(kept) = self.kept.remove(&op) {
            self.cells.release(now, kept.pass, kept.ran, kept.position);
        }
    }

    /// The client of an op that may be held went away.
    pub fn hung_up(&mut self, now: Timestamp, op: OpId) {
        if let Some(place) = self.held.iter().position(|held| held.ask.op == op) {
            let held = self.held.swap_remove(place);
            self.cells.release(now, held.pass, WriteOutcome::NotExecuted, None);
        }
    }

    /// Time has passed: held ops whose time it is, or all if something changed, are placed anew.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Turn<T>> {
        let changed = self.cells.tick(now);
        let (due, rest) = self.held.drain(..).partition(|held| changed || now >= held.until);
        self.held = rest;
        let due: Vec<Held<T>> = due;
        let turn = |Held { ask, claim, pass, rest, .. }: Held<T>| {
            self.cells.release(now, pass, WriteOutcome::NotExecuted, None);
            self.place(now, ask, claim, rest)
        };
        due.into_iter().map(turn).collect()
    }

    pub fn news(&mut self) -> Vec<CellEvent> {
        self.cells.take_events()
    }

    /// Takes a new layout, or says why not.
    pub fn relayout(&mut self, now: Timestamp, layout: Layout) -> Result<(), LayoutError> {
        self.cells.replace_layout(now, layout)?;
        self.fair.set_weights(self.cells.layout().cells.iter().map(|cell| cell.weight));
        Ok(())
    }

    /// Whether a host of the cell may be probed now; if so it counts till it is told to have ended.
    pub fn probe(&mut self, now: Timestamp, cell: CellId) -> bool {
        self.cells.try_start_probe(now, cell)
    }

    pub fn probed(&mut self, cell: CellId) {
        self.cells.end_probe(cell);
    }

    /// Groups whose hosts have to be asked for their positions.
    pub fn watched(&self) -> Vec<GroupId> {
        self.cells.groups_awaiting_positions().to_vec()
    }

    pub fn members(&mut self, group: GroupId, hosts: &[(HostId, &str)]) {
        self.cells.set_group_hosts(group, hosts);
    }

    pub fn learnt(&mut self, host: HostId, word: &HostStatus) {
        if let Some(position) = word.position {
            self.cells.record_position(host, position, word.role == Some(Role::Primary));
        }
    }

    pub fn renewed(&mut self, cell: CellId, at: Timestamp, within: TimeDelta) {
        self.cells.host_restarted(cell, at, within);
    }

    pub fn trust(&mut self, cell: CellId) -> f64 {
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
        json!({"epoch": epoch, "held": self.held.len(), "cells": cells, "moves": moves})
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
