//! Statements between the decision module and the hosts: submission, sends, and replies of hosts.

use std::rc::Rc;

use arrowyard_config::{Route, RouteKind};
use arrowyard_protocol::{ExecutionStatus, FaultCode, TransactionState};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{
    HostId, HostStatus, OpId, OpRequest, Outcome, Role, RouterEvent, SendIndex, SendResult, SessionId,
    TenantId, TimeDelta, Timestamp,
};
use smallvec::SmallVec;

use super::clients::Submission;
use super::{RouterPlane, Timer};
use crate::host_connection::{HostReply, SentStatement};
use crate::routes::StatementKind;
use crate::session::{PendingStatement, Session, SessionStage};

/// A statement is answered this long before its deadline.
const REPLY_MARGIN: TimeDelta = TimeDelta::from_millis(8);
/// The part of its latency target that a statement may wait for a connection. After that it is rejected
/// while its client can still retry.
const CONNECTION_WAIT_FRACTION: f64 = 0.24;
/// Later statements that must be answered before a reply may count as lost, alone and inside a transaction,
/// where a lost reply costs the whole transaction.
pub(super) const LOST_AFTER_OVERTAKEN: u32 = 4;
const LOST_AFTER_OVERTAKEN_IN_TRANSACTION: u32 = 8;
/// Factor on the expected latency of a statement inside a transaction.
const TRANSACTION_LATENCY_FACTOR: f64 = 3.0;
/// A primary that owes a reply for this long is reported to control.
pub const UNANSWERED_TIMEOUT: TimeDelta = TimeDelta::from_millis(450);

impl RouterPlane {
    /// Submits a statement to the decision module.
    pub(super) fn submit(
        &mut self,
        now: Timestamp,
        conn: Conn,
        route: &Rc<Route>,
        submission: Submission<'_>,
        commands: &mut Commands,
    ) {
        self.check_demand_if_due(now, commands);
        let class = self.class_of(route);
        let op_type = self.op_types.id(route, submission.kind);
        if let Some(rows) = self.op_types.take_changed() {
            self.notify(now, RouterEvent::OpTypes(rows));
        }
        self.last_op += 1;
        let op = OpId(self.last_op);
        let group = self.decision.list_service(now, &route.service, &mut self.actions);
        let timeout = TimeDelta::from_micros((route.deadline_ms * 1000.0) as i64);
        let Some(session) = self.session(conn) else { return };
        let host_conn = session.transaction.as_ref().and_then(|transaction| transaction.host_conn);
        let min_position =
            session.last_commit.map(|(_, sent)| sent).filter(|_| route.kind == RouteKind::ReadYourWrites);
        let pinned_host =
            host_conn.and_then(|host_conn| self.host_connection(host_conn)).map(|connection| connection.host);
        let statement = PendingStatement {
            id: submission.id.to_string(),
            text: submission.text,
            op,
            op_type,
            route: route.clone(),
            class,
            queued_for: SmallVec::new(),
            kind: submission.kind,
            is_commit: submission.is_commit,
            is_write: submission.is_write,
            prepare: submission.prepare,
            arrived_at: now,
            sends: 0,
            host: None,
            host_conn,
            verifies_primary: false,
            timer: None,
            connection_wait: TimeDelta::from_micros((route.latency_target_ms * 1000.0) as i64)
                * CONNECTION_WAIT_FRACTION,
            last_fault: None,
        };
        if let Some(session) = self.session(conn) {
            session.set_stage(SessionStage::Running(Box::new(statement)));
        }
        self.ops.insert(op, conn);
        let deadline = now + (timeout - REPLY_MARGIN).max(TimeDelta::from_millis(1));
        let session = Some(SessionId(conn.0));
        self.count_queued(now, conn, route);
        let tenant = Some(TenantId(class.0));
        let request = OpRequest {
            op,
            op_type,
            tenant,
            group,
            session,
            min_position,
            deadline,
            pinned_host,
            ..OpRequest::default()
        };
        self.notify(now, RouterEvent::OpRequested(request));
    }

    /// Sends a statement to a host, on the connection of its transaction or on one from the pool.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        op: OpId,
        host: HostId,
        deadline: Timestamp,
        commands: &mut Commands,
    ) {
        let Some(&conn) = self.ops.get(&op) else { return self.send_not_needed(now, op, host) };
        let timer = self.timers.set(deadline, Timer::Statement(conn));
        self.uncount_queued(now, conn);
        let Some(statement) = self.session(conn).and_then(|session| session.pending()) else { return };
        let send = SendIndex(statement.sends);
        statement.sends += 1;
        statement.host = Some(host);
        let old_timer = statement.timer.replace(timer);
        let (host_conn, is_later) = (statement.host_conn, statement.kind == StatementKind::Later);
        let class = statement.class;
        self.shares.meter.statement_started(now, host, class);
        old_timer.into_iter().for_each(|key| self.timers.cancel(key));
        let sent = SentStatement { op, send, sent_at: now, written_at: None, class };
        match host_conn.filter(|host_conn| self.host_connection(*host_conn).is_some()) {
            Some(host_conn) => self.assign(now, conn, host_conn, sent, commands),
            None if is_later => self.revert(now, conn, sent, host, commands),
            None => self.acquire(now, conn, host, sent, commands),
        }
    }

    /// Reverts a transaction whose connection closed before its next statement was sent. On another
    /// connection the statement would run outside its transaction, and the commit would lack the statements
    /// before it.
    pub(super) fn revert(
        &mut self,
        now: Timestamp,
        conn: Conn,
        sent: SentStatement,
        host: HostId,
        commands: &mut Commands,
    ) {
        if let Some(transaction) = self.session(conn).and_then(|session| session.transaction.as_mut()) {
            transaction.host_conn = None;
        }
        self.send_ended(now, sent, host, Outcome::NotSent, HostStatus::default(), true);
        let Some(statement) = self.take_pending(now, conn) else { return };
        self.reply_fault(now, conn, &statement, FaultCode::Reverted, "the transaction was ended", commands);
        self.process_queue(now, conn, commands);
    }

    /// Ends a send of an op that is already finished.
    fn send_not_needed(&mut self, now: Timestamp, op: OpId, host: HostId) {
        let result = SendResult {
            op,
            send: SendIndex(0),
            host,
            outcome: Outcome::NotSent,
            elapsed: TimeDelta::ZERO,
            op_finished: true,
            status: HostStatus::default(),
        };
        self.notify(now, RouterEvent::SendEnded(result));
    }

    /// Reports the end of a send to the decision module.
    pub(super) fn send_ended(
        &mut self,
        now: Timestamp,
        sent: SentStatement,
        host: HostId,
        outcome: Outcome,
        status: HostStatus,
        op_finished: bool,
    ) {
        let elapsed = now - sent.sent_at;
        self.shares.meter.statement_ended(now, host, sent.class, outcome.is_answer().then_some(elapsed));
        if !op_finished && let Some(&conn) = self.ops.get(&sent.op) {
            self.requeue(now, conn);
        }
        let result = SendResult { op: sent.op, send: sent.send, host, outcome, elapsed, op_finished, status };
        self.notify(now, RouterEvent::SendEnded(result));
    }

    /// Handles a host's reply to a pending statement.
    pub(super) fn host_replied(
        &mut self,
        now: Timestamp,
        host_conn: Conn,
        sent: SentStatement,
        reply: HostReply,
        commands: &mut Commands,
    ) {
        let Some(&conn) = self.ops.get(&sent.op) else {
            return self.discard_reply(now, host_conn, sent, &reply);
        };
        let Some(host) = self.host_connection(host_conn).map(|connection| connection.host) else { return };
        let known = self.decision.host(host);
        let (id, service) = (known.host.id.clone(), known.host.service.clone());
        let written_at = sent.written_at.unwrap_or(sent.sent_at);
        let Some(statement) = self.session(conn).and_then(|session| session.pending()) else { return };
        let (kind, is_write, is_commit, verifies_primary) =
            (statement.kind, statement.is_write, statement.is_commit, statement.verifies_primary);
        let commits = self.session(conn).is_some_and(Session::commits_writes);
        let in_transaction = self
            .session(conn)
            .is_some_and(|session| session.transaction_state == TransactionState::InTransaction);
        let transaction = self.session(conn).and_then(|session| session.transaction.as_ref());
        let relaxed_reads = transaction
            .is_some_and(|transaction| transaction.read_only && transaction.route.kind != RouteKind::Primary);
        let wrote = transaction.is_some_and(|transaction| transaction.wrote);
        if reply.fault.is_none()
            && let Some(written_at) = sent.written_at
        {
            let op_type =
                self.session(conn).and_then(|session| session.pending()).map(|statement| statement.op_type);
            op_type.into_iter().for_each(|op_type| self.latencies.record(op_type, now - written_at));
            self.mark_overtaken(now, host, written_at, commands);
        }
        // A success inside a read-write transaction, or of a write, proves that the host was primary while
        // it ran the statement. The commit of a transaction without writes proves nothing: it also succeeds
        // on a former primary.
        let proves_primary = if in_transaction {
            !relaxed_reads && (wrote || !is_commit)
        } else {
            is_write || verifies_primary
        };
        let mut reply = reply;
        if reply.fault.is_none() && commits && self.replacements.forbids_commit(now, &service, &id) {
            reply.fault = Some((FaultCode::Unknown, "its host is being replaced".to_string()));
        }
        match reply.fault {
            None => {
                if proves_primary && let Some(position) = reply.position {
                    self.timelines.entry(service.clone()).or_default().record(written_at, position);
                }
                let fresh_until =
                    reply.position.and_then(|position| self.timelines.get(&service)?.fresh_until(position));
                let role = proves_primary.then_some(Role::Primary);
                self.send_ended(
                    now,
                    sent,
                    host,
                    Outcome::Acked,
                    HostStatus { role, position: fresh_until, ..HostStatus::default() },
                    true,
                );
                if commits
                    && proves_primary
                    && let Some(position) = reply.position
                {
                    self.session(conn)
                        .into_iter()
                        .for_each(|session| session.last_commit = Some((position, written_at)));
                }
                self.reply_success(now, conn, host_conn, &reply, commands);
            }
            Some((code, text)) => {
                let role = (code == FaultCode::ReadOnly).then_some(Role::Replica);
                let fresh_until =
                    reply.position.and_then(|position| self.timelines.get(&service)?.fresh_until(position));
                let status = HostStatus {
                    role,
                    position: fresh_until.filter(|_| code == FaultCode::Lagging),
                    ..HostStatus::default()
                };
                let outcome = match code {
                    FaultCode::Saturated | FaultCode::Overload => Outcome::Overloaded,
                    code if code.execution_status() == ExecutionStatus::NotRun => Outcome::Misrouted,
                    _ => Outcome::Errored,
                };
                let retryable = kind != StatementKind::Later
                    && !(code == FaultCode::Failed && kind == StatementKind::Write);
                let retryable = retryable && (outcome != Outcome::Errored || kind != StatementKind::Write);
                log::debug!("hosts: {id} replied with fault {}: {text}.", code.as_str());
                if let Some(statement) = self.session(conn).and_then(|session| session.pending()) {
                    statement.last_fault = Some((code, text));
                    statement.host_conn = None;
                }
                // A retryable statement is answered or sent again by the decision module's next action; any
                // other is answered at once with the host's fault.
                self.send_ended(now, sent, host, outcome, status, !retryable);
                if retryable {
                    self.release(now, conn, host_conn, commands);
                } else {
                    self.reply_last_fault(now, conn, Some(host_conn), commands);
                }
            }
        }
    }

    /// A statement written at this time was answered: statements written earlier to the same host count as
    /// overtaken.
    fn mark_overtaken(
        &mut self,
        now: Timestamp,
        host: HostId,
        written_at: Timestamp,
        commands: &mut Commands,
    ) {
        let mut candidates = Vec::new();
        for (conn, endpoint) in &mut self.endpoints {
            if let super::Endpoint::Host(connection) = endpoint
                && connection.host == host
                && let Some(sent) = &connection.sent
                && sent.written_at.is_some_and(|earlier| earlier < written_at)
            {
                connection.overtaken += 1;
                if connection.overtaken >= LOST_AFTER_OVERTAKEN {
                    candidates.push(*conn);
                }
            }
        }
        candidates.sort_unstable();
        candidates.into_iter().for_each(|conn| self.check_lost_reply(now, conn, commands));
    }

    /// Checks whether a reply is lost: enough later statements are answered, and it is later than its op
    /// type's high latency quantile. The connection is then reset; a statement that is safe to retry is
    /// sent again, and a transaction without a commit in flight is reverted.
    pub(super) fn check_lost_reply(&mut self, now: Timestamp, host_conn: Conn, commands: &mut Commands) {
        let Some(connection) = self.host_connection(host_conn) else { return };
        let (Some(sent), overtaken) = (connection.sent, connection.overtaken) else { return };
        let Some(written_at) = sent.written_at else { return };
        let Some(&conn) = self.ops.get(&sent.op) else { return };
        let Some(statement) = self.session(conn).and_then(|session| session.pending()) else { return };
        let (kind, is_commit, op_type) = (statement.kind, statement.is_commit, statement.op_type);
        // The stricter limits of transactions don't apply while the host is known to lose replies.
        let host = self.host_connection(host_conn).map(|connection| connection.host);
        let strict = kind == StatementKind::Later && !host.is_some_and(|host| self.loses_replies(now, host));
        // What may have been committed can neither be retried nor be reported as reverted.
        if kind == StatementKind::Write
            || is_commit
            || overtaken < if strict { LOST_AFTER_OVERTAKEN_IN_TRANSACTION } else { LOST_AFTER_OVERTAKEN }
        {
            return;
        }
        let late_at = written_at
            + self.latencies.high_quantile(op_type) * if strict { TRANSACTION_LATENCY_FACTOR } else { 1.0 };
        if now < late_at {
            self.timers.set(late_at, Timer::LostReply(host_conn));
            return;
        }
        log::debug!("hosts: a reply counts as lost; resetting its connection.");
        self.record_lost_reply(now, host_conn);
        self.reset_connection(now, host_conn, commands);
    }

    /// What a host must satisfy to run a session's pending statement.
    pub(super) fn read_requirement(&self, conn: Conn) -> Option<ReadRequirement> {
        let Some(super::Endpoint::Client(session)) = self.endpoints.get(&conn) else { return None };
        let SessionStage::Running(statement) = &session.stage else { return None };
        let route = &statement.route;
        let (reads, began_at) = match &session.transaction {
            Some(transaction) => (transaction.read_only, transaction.began_at),
            None => (!statement.is_write, statement.arrived_at),
        };
        if !reads || route.kind == RouteKind::Primary {
            return Some(ReadRequirement::Primary);
        }
        let bound = TimeDelta::from_micros((route.staleness_bound_ms * 1000.0) as i64);
        let known = self
            .timelines
            .get(&route.service)
            .and_then(|timeline| timeline.position_covering(began_at - bound));
        let own = session
            .last_commit
            .map(|(position, _)| position)
            .filter(|_| route.kind == RouteKind::ReadYourWrites);
        Some(match known {
            Some(known) => ReadRequirement::Position(own.map_or(known, |own| known.max(own))),
            // No position is known for the staleness bound; the primary has every commit.
            None => ReadRequirement::Primary,
        })
    }
}

/// What a host must satisfy to run a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRequirement {
    /// It must be primary while it runs the read.
    Primary,
    /// It must have applied this position.
    Position(arrowyard_protocol::Position),
}
