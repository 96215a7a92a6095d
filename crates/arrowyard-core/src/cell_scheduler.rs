//! Cells in the route task: assigns each op to its cell, schedules messages fairly over the cells, and keeps
//! the ops that wait for a tenant move. The decisions are made by `arrowyard-cells`.

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

/// The properties of an op, besides its `OpRequest`, that cells need.
#[derive(Clone, Debug)]
pub struct OpOrigin {
    pub tenant: Option<Box<str>>,
    pub address: Option<IpAddr>,
    /// Bytes that the request occupies while it is in flight.
    pub bytes: u64,
    /// The idempotency token, if hosts deduplicate ops of this type.
    pub token: Option<u64>,
}

/// An admitted op until it is closed.
struct PermittedOp {
    permit: AdmissionPermit,
    op_type: usize,
    /// Whether the op has been executed, by the sends that ended.
    write_outcome: WriteOutcome,
    /// The position of an acknowledged write.
    position: Option<Timestamp>,
}

/// The result of the admission of an op.
pub enum Placement<T> {
    /// The op goes to the decision module when its cell is scheduled.
    Dispatch(OpRequest, T),
    /// The op waits, for example for a tenant move.
    Queued,
    /// The op is rejected and may be retried, after this delay if one is given.
    Busy(Option<TimeDelta>, T),
    /// The op is rejected for this reason; a retry does not help.
    Error(RejectReason, T),
}

/// An op that waits until it is admitted again.
struct QueuedOp<T> {
    request: OpRequest,
    origin: Box<OpOrigin>,
    permit: AdmissionPermit,
    retry_at: Timestamp,
    payload: T,
}

/// Schedules ops over cells. `M` is a message queued per cell, `T` the payload of a queued op.
pub struct CellScheduler<M, T> {
    cells: Cells,
    queue: FairQueue<M>,
    permitted: HashMap<OpId, PermittedOp>,
    queued: Vec<QueuedOp<T>>,
    /// By cell: the remaining retries last reported to the decision module.
    reported_budgets: HashMap<CellId, Option<u32>>,
    op_types: Vec<OpType>,
}

/// A host counts as part of a new release for this multiple of the time for which a started host is cold.
pub const RELEASE_WINDOW_FACTOR: f64 = 10.0;

impl<M, T> CellScheduler<M, T> {
    /// Creates a scheduler for the cells of the layout.
    pub fn new(
        now: Timestamp,
        layout: Layout,
        capacity: Capacity,
        op_types: Vec<OpType>,
        clients_mark_retries: bool,
    ) -> Self {
        let max_op_timeout = op_types.iter().map(|op_type| op_type.op_timeout).max().unwrap_or_default();
        let max_clock_skew = layout.lease.map_or(TimeDelta::ZERO, |lease| lease.max_clock_skew);
        let queue = FairQueue::new(layout.cells.iter().map(|cell| cell.weight));
        let cells = Cells::new(
            now,
            layout,
            capacity,
            MoveSettings { clients_mark_retries, max_op_timeout, max_clock_skew },
        );
        let (permitted, queued, reported_budgets) = Default::default();
        CellScheduler { cells, queue, permitted, queued, reported_budgets, op_types }
    }

    /// The current layout.
    pub fn layout(&self) -> &Layout {
        self.cells.layout()
    }

    /// The cells by host.
    pub fn index(&self) -> &CellIndex {
        self.cells.index()
    }

    /// Assigns the op to its cell and asks for admission there; `payload` is returned now or, if queued, by
    /// `tick`.
    pub fn admit(
        &mut self,
        now: Timestamp,
        request: OpRequest,
        origin: Box<OpOrigin>,
        payload: T,
    ) -> Placement<T> {
        let op_type = &self.op_types[request.op_type.0 as usize];
        let context = OpContext {
            tenant: origin.tenant.as_deref(),
            address: origin.address,
            group: request.group,
            bytes: origin.bytes,
            consistency: op_type.consistency,
            session: request.session.map(|session| session.0),
            token: origin.token,
            is_retry: request.is_retry,
            deadline: request.deadline,
        };
        match self.cells.admit(now, &context) {
            AdmissionDecision::Admit { permit, group, min_position } => {
                let (op_type, write_outcome, position) =
                    (request.op_type.0 as usize, WriteOutcome::NotExecuted, None);
                self.permitted.insert(request.op, PermittedOp { permit, op_type, write_outcome, position });
                Placement::Dispatch(OpRequest { cell: permit.cell, group, min_position, ..request }, payload)
            }
            AdmissionDecision::Hold { permit, until: retry_at } => {
                self.queued.push(QueuedOp { request, origin, permit, retry_at, payload });
                Placement::Queued
            }
            AdmissionDecision::Busy { retry_after, .. } => Placement::Busy(retry_after, payload),
            AdmissionDecision::Error { reason } => Placement::Error(reason, payload),
        }
    }

    /// Queues a message of an op in its cell; returns the message if the op is unknown.
    pub fn enqueue(&mut self, op: OpId, message: M) -> Option<M> {
        match self.permitted.get(&op) {
            Some(permitted_op) => {
                self.queue.push(permitted_op.permit.cell, message);
                None
            }
            None => Some(message),
        }
    }

    /// The next message, fairly over the cells.
    pub fn pop(&mut self) -> Option<M> {
        self.queue.pop()
    }

    /// The number of queued messages.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// The cell's remaining retries, if they differ from what was reported to the decision module.
    pub fn retry_budget_update(&mut self, now: Timestamp, cell: CellId) -> Option<RouterEvent> {
        let retries = self.cells.remaining_retries(now, cell);
        let previously_reported = self.reported_budgets.insert(cell, retries).unwrap_or(None);
        (previously_reported != retries).then_some(RouterEvent::RetryBudget { cell, retries })
    }

    /// The cell of an admitted op.
    pub fn cell_of(&self, op: OpId) -> Option<CellId> {
        self.permitted.get(&op).map(|permitted_op| permitted_op.permit.cell)
    }

    /// Records the start of a send.
    pub fn record_send(&mut self, now: Timestamp, op: OpId, send: SendIndex) {
        let Some(permitted_op) = self.permitted.get(&op) else { return };
        self.cells.record_send(now, &permitted_op.permit, send.0 == 0);
        if let Some(Some(retries)) =
            self.reported_budgets.get_mut(&permitted_op.permit.cell).filter(|_| send.0 > 0)
        {
            // The decision module also decrements its copy of the budget with each retry.
            *retries = retries.saturating_sub(1);
        }
    }

    /// Records the end of a send. `is_recently_started` tells whether its host counts as part of a new
    /// release.
    pub fn send_ended(
        &mut self,
        op: OpId,
        outcome: Outcome,
        elapsed: TimeDelta,
        status: &HostStatus,
        is_recently_started: bool,
    ) {
        let Some(permitted_op) = self.permitted.get_mut(&op) else { return };
        let op_type = &self.op_types[permitted_op.op_type];
        let (write_outcome, send_outcome) = match outcome {
            Outcome::Acked => (WriteOutcome::Acked, SendOutcome::Acked),
            outcome if outcome.never_ran() => (WriteOutcome::NotExecuted, SendOutcome::NotExecuted),
            Outcome::Cancelled => (WriteOutcome::Unknown, SendOutcome::NotExecuted),
            _ => (WriteOutcome::Unknown, SendOutcome::Failed),
        };
        // Rejection by an overloaded host counts as a failure, since it indicates load like a timeout.
        let send_outcome = if outcome == Outcome::Overloaded { SendOutcome::Failed } else { send_outcome };
        permitted_op.write_outcome = permitted_op.write_outcome.max(write_outcome);
        if write_outcome == WriteOutcome::Acked && op_type.consistency == Consistency::Write {
            permitted_op.position = status.position;
        }
        self.cells.record_send_end(
            &permitted_op.permit,
            send_outcome,
            elapsed / op_type.latency_target,
            is_recently_started,
        );
    }

    /// Releases the permit of an op that is answered and has no send in flight.
    pub fn op_closed(&mut self, now: Timestamp, op: OpId) {
        if let Some(permitted_op) = self.permitted.remove(&op) {
            self.cells.release(now, permitted_op.permit, permitted_op.write_outcome, permitted_op.position);
        }
    }

    /// The client disconnected: removes the op if it is queued.
    pub fn client_disconnected(&mut self, now: Timestamp, op: OpId) {
        if let Some(index) = self.queued.iter().position(|queued_op| queued_op.request.op == op) {
            let queued_op = self.queued.swap_remove(index);
            self.cells.release(now, queued_op.permit, WriteOutcome::NotExecuted, None);
        }
    }

    /// Retries the admission of queued ops that are due, or of all if the cells' state changed.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Placement<T>> {
        let has_changed = self.cells.tick(now);
        let (due, remaining) =
            self.queued.drain(..).partition(|queued_op| has_changed || now >= queued_op.retry_at);
        self.queued = remaining;
        let due: Vec<QueuedOp<T>> = due;
        let readmit = |QueuedOp { request, origin, permit, payload, .. }: QueuedOp<T>| {
            self.cells.release(now, permit, WriteOutcome::NotExecuted, None);
            self.admit(now, request, origin, payload)
        };
        due.into_iter().map(readmit).collect()
    }

    /// The events since the last call.
    pub fn take_events(&mut self) -> Vec<CellEvent> {
        self.cells.take_events()
    }

    /// Replaces the layout.
    ///
    /// # Errors
    /// The new layout is invalid or older; the old one stays.
    pub fn replace_layout(&mut self, now: Timestamp, layout: Layout) -> Result<(), LayoutError> {
        self.cells.replace_layout(now, layout)?;
        self.queue.set_weights(self.cells.layout().cells.iter().map(|cell| cell.weight));
        Ok(())
    }

    /// Whether a host of the cell may be probed now; if so the probe counts until `end_probe`.
    pub fn try_start_probe(&mut self, now: Timestamp, cell: CellId) -> bool {
        self.cells.try_start_probe(now, cell)
    }

    /// Ends a probe that `try_start_probe` allowed.
    pub fn end_probe(&mut self, cell: CellId) {
        self.cells.end_probe(cell);
    }

    /// Groups whose hosts have to be probed for their replication positions.
    pub fn groups_awaiting_positions(&self) -> Vec<GroupId> {
        self.cells.groups_awaiting_positions().to_vec()
    }

    /// Sets the hosts of a group, with their names.
    pub fn set_group_hosts(&mut self, group: GroupId, hosts: &[(HostId, &str)]) {
        self.cells.set_group_hosts(group, hosts);
    }

    /// Records the replication position in a host's status.
    pub fn record_position(&mut self, host: HostId, status: &HostStatus) {
        if let Some(position) = status.position {
            self.cells.record_position(host, position, status.role == Some(Role::Primary));
        }
    }

    /// Records that a host of the cell started at `started_at`. Starts within `release_window` of the
    /// previous one belong to the same release.
    pub fn host_restarted(&mut self, cell: CellId, started_at: Timestamp, release_window: TimeDelta) {
        self.cells.host_restarted(cell, started_at, release_window);
    }

    /// The fraction of its size with which a recently started host of the cell is used.
    pub fn restarted_host_trust(&mut self, cell: CellId) -> f64 {
        self.cells.restarted_host_trust(cell)
    }

    /// The report for `SHOW cells`.
    pub fn report(&mut self) -> Value {
        let epoch = self.cells.layout().epoch;
        let cells: Vec<Value> = self
            .cells
            .report()
            .into_iter()
            .map(|state| {
                json!({"cell": state.name, "ops": state.ops, "share": state.share, "guaranteed": state.guaranteed,
                    "borrowed": state.borrowed, "bytes": state.bytes, "probes": state.probes, "limit": state.concurrency_limit,
                    "release": state.rollout_verdict.map(|verdict| format!("{verdict:?}").to_lowercase()),
                    "taken": state.counters.admitted, "busy": state.counters.busy, "errors": state.counters.errors,
                    "first_sends": state.counters.first_sends, "further_sends": state.counters.retries})
            })
            .collect();
        let moves: Vec<Value> = self
            .cells
            .moves()
            .map(|(tenant, stage, ops_in_flight, tokens)| {
                json!({"tenant": tenant, "stage": stage_name(stage), "out": ops_in_flight, "tokens": tokens})
            })
            .collect();
        json!({"epoch": epoch, "held": self.queued.len(), "cells": cells, "moves": moves})
    }
}

/// The name of the stage in logs and reports.
pub fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Open => "open",
        Stage::Fenced => "fenced",
        Stage::Drained => "drained",
        Stage::Switched => "switched",
        Stage::Done => "done",
    }
}
