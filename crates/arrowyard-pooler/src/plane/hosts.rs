//! Connections to hosts: opening, assigning and closing them, and the replies that arrive on them. A connection
//! is set up with the variables of the session that it is assigned to.

use arrowyard_protocol::{FaultCode, INTERNAL_STATEMENT_ID, Position, Response, TransactionState};
use arrowyard_runtime::{CloseReason, Commands, Conn};
use arrowyard_types::{HostId, HostStatus, Outcome, RouterEvent, TimeDelta, Timestamp};

use super::ops::{ReadRequirement, UNANSWERED_TIMEOUT};
use super::{Endpoint, RouterPlane, Timer};
use crate::host_connection::{ConnectionStage, ExpectedReply, HostConnection, HostReply, SentStatement};

/// Time after which a connection that has not opened, or an orphaned one that has not been answered, is
/// reset.
const OPEN_TIMEOUT: TimeDelta = TimeDelta::from_millis(1000);
pub(super) const ORPHAN_TIMEOUT: TimeDelta = TimeDelta::from_millis(3000);
/// How long after a lost reply a host is expected to lose more.
const REPLY_LOSS_WINDOW: TimeDelta = TimeDelta::from_millis(4000);
/// A reply with more rows than this is treated as a protocol error.
const MAX_REPLY_BYTES: usize = 8 << 20;

impl RouterPlane {
    pub(super) fn dial_host(&mut self, now: Timestamp, host: HostId, commands: &mut Commands) -> Conn {
        let conn = commands.dial(self.decision.host(host).address);
        self.endpoints.insert(conn, Endpoint::Host(Box::new(HostConnection::new(conn, host, now))));
        self.timers.set(now + OPEN_TIMEOUT, Timer::HostConnection(conn));
        let pool = &mut self.pools[host.0 as usize];
        pool.total += 1;
        pool.opening += 1;
        conn
    }

    pub(super) fn connected(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        match self.endpoints.get(&conn) {
            Some(Endpoint::Control) => self.feed_connected(now, conn, commands),
            Some(Endpoint::Host(connection)) => {
                let host = &self.decision.host(connection.host).host;
                commands.write_line(conn, &["OPEN ", &host.service, " sluice ", &host.id]);
            }
            _ => {}
        }
    }

    /// Assigns a connection to a session, sets up the session's variables and the prepared statement on it,
    /// and begins a transaction if the statement needs one. The statement follows after the last reply.
    pub(super) fn assign(
        &mut self,
        now: Timestamp,
        conn: Conn,
        host_conn: Conn,
        sent: SentStatement,
        commands: &mut Commands,
    ) {
        let requirement = self.read_requirement(conn);
        let Some(session) = self.session(conn) else { return };
        let variables = session.variables.clone();
        let begun = session.transaction.as_ref().map(|transaction| transaction.host_conn.is_some());
        let Some(statement) = session.pending() else { return };
        statement.host_conn = Some(host_conn);
        let prepare = statement.prepare.clone();
        let verifies_primary =
            begun.is_none() && !statement.is_write && requirement == Some(ReadRequirement::Primary);
        statement.verifies_primary = verifies_primary;
        let begins = verifies_primary || begun == Some(false);
        let Some(connection) = self.host_connection(host_conn) else { return };
        connection.set_stage(now, ConnectionStage::Assigned(conn));
        connection.sent = Some(sent);
        connection.class = Some(sent.class);
        let setup = connection.setup_statements(
            &variables,
            prepare.as_ref().map(|(number, mode, shape)| (*number, *mode, &**shape)),
        );
        for text in &setup {
            connection.expected.push_back(ExpectedReply::Setup);
            commands.write_line(host_conn, &["QUERY ", INTERNAL_STATEMENT_ID, " ", text]);
        }
        if begins {
            connection.expected.push_back(ExpectedReply::Begin);
            match requirement {
                Some(ReadRequirement::Position(position)) => {
                    commands.write_line(
                        host_conn,
                        &["QUERY ", INTERNAL_STATEMENT_ID, " AFTER ", &position.to_string(), " BEGIN READ"],
                    );
                }
                // A read-write transaction fails on a host that is no longer primary; a read-only one does
                // not.
                _ => commands.write_line(host_conn, &["QUERY ", INTERNAL_STATEMENT_ID, " BEGIN"]),
            }
        }
        self.track_unanswered(now, host_conn, commands);
        if setup.is_empty() && !begins {
            self.write_statement(now, conn, host_conn, commands);
        }
    }

    /// Writes the statement itself, once everything before it is answered.
    fn write_statement(&mut self, now: Timestamp, conn: Conn, host_conn: Conn, commands: &mut Commands) {
        let requirement = self.read_requirement(conn);
        let Some(session) = self.session(conn) else { return };
        let in_transaction = session.transaction.is_some();
        let Some(statement) = session.pending() else { return };
        let (id, text, verifies_primary) =
            (statement.id.clone(), statement.text.clone(), statement.verifies_primary);
        let Some(connection) = self.host_connection(host_conn) else { return };
        if let Some(sent) = &mut connection.sent {
            sent.written_at = Some(now);
        }
        connection.overtaken = 0;
        connection.expected.push_back(ExpectedReply::Client);
        match requirement {
            Some(ReadRequirement::Position(position)) if !in_transaction => {
                commands
                    .write_line(host_conn, &["QUERY ", &id, " AFTER ", &position.to_string(), " ", &text]);
            }
            _ => commands.write_line(host_conn, &["QUERY ", &id, " ", &text]),
        }
        if verifies_primary {
            connection.expected.push_back(ExpectedReply::Abort);
            commands.write_line(host_conn, &["QUERY ", INTERNAL_STATEMENT_ID, " ABORT"]);
        }
    }

    /// Notes that a host owes a reply, and reports a primary that has been silent for too long.
    pub(super) fn track_unanswered(&mut self, now: Timestamp, host_conn: Conn, commands: &mut Commands) {
        let Some(host) = self.host_connection(host_conn).map(|connection| connection.host) else { return };
        let pool = &mut self.pools[host.0 as usize];
        let since = *pool.unanswered_since.get_or_insert(now);
        if now - since >= UNANSWERED_TIMEOUT {
            self.suspect_primary(now, host, commands);
        }
    }

    fn suspect_primary(&mut self, now: Timestamp, host: HostId, commands: &mut Commands) {
        let known = self.decision.host(host).host.clone();
        if known.role() == arrowyard_messages::DbRole::Primary {
            self.report_suspect(now, &known, commands);
        }
    }

    pub(super) fn host_received(
        &mut self,
        now: Timestamp,
        conn: Conn,
        bytes: &[u8],
        commands: &mut Commands,
    ) {
        if let Some(connection) = self.host_connection(conn) {
            connection.decoder.put(bytes);
            let host = connection.host;
            let pool = &mut self.pools[host.0 as usize];
            (pool.unanswered_since, pool.failures) = (None, 0);
        }
        loop {
            let Some(connection) = self.host_connection(conn) else { return };
            let line = match connection.decoder.take() {
                Ok(Some(line)) => line,
                Ok(None) => return,
                Err(_) => return self.reset_connection(now, conn, commands),
            };
            let Some(response) = std::str::from_utf8(&line).ok().and_then(Response::parse) else {
                return self.reset_connection(now, conn, commands);
            };
            match response {
                Response::Row(_) => {
                    connection.rows.extend_from_slice(&line);
                    connection.rows.extend_from_slice(b"\r\n");
                    if connection.rows.len() > MAX_REPLY_BYTES {
                        return self.reset_connection(now, conn, commands);
                    }
                }
                Response::Settled(stamp) => connection.stamp = Some(stamp.to_string()),
                Response::Fault { code, text } => {
                    connection.fault = Some((code, text.to_string()));
                    if connection.expected.front() == Some(&ExpectedReply::Open) {
                        return self.open_refused(now, conn, code, commands);
                    }
                }
                Response::Idle { state, position } => {
                    self.reply_completed(now, conn, state, position, commands)
                }
            }
        }
    }

    /// A host refused a new connection. The statement that has waited longest for it is rejected there.
    fn open_refused(&mut self, now: Timestamp, conn: Conn, code: FaultCode, commands: &mut Commands) {
        let Some(host) = self.host_connection(conn).map(|connection| connection.host) else { return };
        self.remove_connection(conn);
        commands.reset(conn);
        let is_full = matches!(code, FaultCode::Overload | FaultCode::Saturated);
        let outcome = if is_full { Outcome::Overloaded } else { Outcome::Misrouted };
        if let Some((session, sent)) = self.pools[host.0 as usize].waiting.pop_front() {
            self.send_ended(now, sent, host, outcome, HostStatus::default(), false);
            let _ = session;
        }
        self.fail_waiters(now, host, outcome);
    }

    /// A host has completed its reply to one statement on a connection.
    fn reply_completed(
        &mut self,
        now: Timestamp,
        conn: Conn,
        state: TransactionState,
        position: Option<Position>,
        commands: &mut Commands,
    ) {
        let Some(connection) = self.host_connection(conn) else { return };
        let host = connection.host;
        connection.in_transaction = state != TransactionState::Idle;
        let (rows, stamp, fault) =
            (std::mem::take(&mut connection.rows), connection.stamp.take(), connection.fault.take());
        let reply =
            HostReply { rows, stamp, fault, position, in_transaction: state != TransactionState::Idle };
        let Some(expected) = connection.expected.pop_front() else {
            return self.reset_connection(now, conn, commands);
        };
        // Only the rows of the router's own statements tell a position: a client's row may look like one.
        let reported = match expected {
            ExpectedReply::Observe | ExpectedReply::ControlRequest => reply.newest_position(),
            _ => reply.position,
        };
        self.host_position_known(now, host, reported, commands);
        let Some(connection) = self.host_connection(conn) else { return };
        match expected {
            ExpectedReply::Open => {
                let has_request = connection.control_request.is_some();
                self.pools[host.0 as usize].opening -= 1;
                if has_request {
                    self.send_control_request(now, conn, commands);
                } else {
                    self.make_idle(now, conn, commands);
                }
            }
            ExpectedReply::Setup if reply.fault.is_some() => self.reset_connection(now, conn, commands),
            ExpectedReply::Setup => self.setup_step_completed(now, conn, commands),
            ExpectedReply::Begin => match reply.fault {
                None => self.setup_step_completed(now, conn, commands),
                Some(_) => {
                    // The statement is not sent: behind a failed BEGIN it would run outside its transaction.
                    if let (ConnectionStage::Assigned(_), Some(sent)) =
                        (connection.stage, connection.sent.take())
                    {
                        self.host_replied(now, conn, sent, reply, commands);
                    } else {
                        self.recover_orphan(now, conn, commands);
                    }
                }
            },
            // The host's reply to the client's statement was lost, and this is the reply to the next one.
            // Without the reset the client would be told of a success without the host's stamp, and all
            // later replies would be off by one.
            ExpectedReply::Client
                if reply.fault.is_none()
                    && reply.stamp.as_deref().is_none_or(|stamp| stamp == INTERNAL_STATEMENT_ID) =>
            {
                self.reset_connection(now, conn, commands);
            }
            ExpectedReply::Client => {
                if let Some(reply) = self.hold_unconfirmed_commit(now, conn, reply, commands) {
                    self.statement_replied(now, conn, reply, commands);
                }
            }
            ExpectedReply::Abort => self.recover_orphan(now, conn, commands),
            ExpectedReply::ControlRequest => {
                self.control_request_answered(now, conn, host, &reply, commands);
                self.recover_orphan(now, conn, commands);
            }
            ExpectedReply::Observe => {
                self.probe_replied(now, host, &reply);
                self.recover_orphan(now, conn, commands);
            }
        }
    }

    /// Passes the reply to a client's statement on, unless the client no longer waits for it.
    pub(super) fn statement_replied(
        &mut self,
        now: Timestamp,
        conn: Conn,
        reply: HostReply,
        commands: &mut Commands,
    ) {
        let Some(connection) = self.host_connection(conn) else { return };
        match (connection.stage, connection.sent.take()) {
            (ConnectionStage::Assigned(_), Some(sent)) => self.host_replied(now, conn, sent, reply, commands),
            (_, Some(sent)) => {
                self.discard_reply(now, conn, sent, &reply);
                self.recover_orphan(now, conn, commands);
            }
            (_, None) => self.recover_orphan(now, conn, commands),
        }
    }

    pub(super) fn record_lost_reply(&mut self, now: Timestamp, host_conn: Conn) {
        if let Some(host) = self.host_connection(host_conn).map(|connection| connection.host) {
            self.pools[host.0 as usize].reply_lost_at = now;
        }
    }

    /// Whether a reply of the host was lost within `REPLY_LOSS_WINDOW`.
    pub(super) fn loses_replies(&self, now: Timestamp, host: HostId) -> bool {
        now - self.pools[host.0 as usize].reply_lost_at < REPLY_LOSS_WINDOW
    }

    /// One of the steps before a statement is answered; after the last one the statement is written.
    fn setup_step_completed(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(connection) = self.host_connection(conn) else { return };
        match connection.stage {
            ConnectionStage::Assigned(session) if connection.expected.is_empty() => {
                self.write_statement(now, session, conn, commands)
            }
            ConnectionStage::Assigned(_) => {}
            _ => self.recover_orphan(now, conn, commands),
        }
    }

    /// Releases a session's connection. It does nothing if the connection is not assigned to this session:
    /// a second release would take the connection from the session that has it by then.
    pub(super) fn release(&mut self, now: Timestamp, session: Conn, conn: Conn, commands: &mut Commands) {
        if self.orphan(now, session, conn) {
            self.recover_orphan(now, conn, commands);
        }
    }

    /// Detaches a connection from its session. Returns whether it was assigned to this session.
    pub(super) fn orphan(&mut self, now: Timestamp, session: Conn, conn: Conn) -> bool {
        let Some(connection) = self
            .host_connection(conn)
            .filter(|connection| connection.stage == ConnectionStage::Assigned(session))
        else {
            return false;
        };
        connection.set_stage(now, ConnectionStage::Orphaned);
        if !connection.expected.is_empty() {
            self.timers.set(now + ORPHAN_TIMEOUT, Timer::HostConnection(conn));
        }
        true
    }

    /// Rolls back an orphaned connection's transaction, and makes it idle once everything is answered.
    fn recover_orphan(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(connection) = self.host_connection(conn) else { return };
        if connection.stage != ConnectionStage::Orphaned || !connection.expected.is_empty() {
            return;
        }
        if connection.in_transaction {
            connection.expected.push_back(ExpectedReply::Abort);
            commands.write_line(conn, &["QUERY ", INTERNAL_STATEMENT_ID, " ABORT"]);
            self.timers.set(now + ORPHAN_TIMEOUT, Timer::HostConnection(conn));
            return;
        }
        self.make_idle(now, conn, commands);
    }

    /// Resets a connection that is no longer usable.
    pub(super) fn reset_connection(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        commands.reset(conn);
        self.connection_closed(now, conn, CloseReason::ConnectionLost, commands);
    }

    pub(super) fn connection_closed(
        &mut self,
        now: Timestamp,
        conn: Conn,
        reason: CloseReason,
        commands: &mut Commands,
    ) {
        let Some(connection) = self.remove_connection(conn) else { return };
        let host = connection.host;
        let opening = connection.expected.front() == Some(&ExpectedReply::Open);
        self.control_request_failed(connection.control_request, commands);
        // A host may close a connection because it was idle, which says nothing about the host.
        if connection.stage != ConnectionStage::Idle {
            let pool = &mut self.pools[host.0 as usize];
            pool.failures += 1;
            if pool.failures >= 2 || reason == CloseReason::ConnectFailed {
                self.suspect_primary(now, host, commands);
            }
        }
        if connection.expected.contains(&ExpectedReply::Observe) {
            self.probes.remove(&host);
            self.notify(
                now,
                RouterEvent::ProbeEnded { host, outcome: Outcome::Reset, status: HostStatus::default() },
            );
        }
        match (connection.stage, connection.sent) {
            (ConnectionStage::Assigned(session), Some(sent)) => {
                self.statement_interrupted(now, session, sent, host, false, commands)
            }
            (ConnectionStage::Assigned(session), None) => self.transaction_lost(session, conn),
            (_, Some(sent)) => self.send_ended(now, sent, host, Outcome::Reset, HostStatus::default(), true),
            (_, None) => {}
        }
        let pool = &mut self.pools[host.0 as usize];
        if opening && let Some((session, sent)) = pool.waiting.pop_front() {
            self.statement_interrupted(now, session, sent, host, true, commands);
        }
        self.fail_waiters(now, host, Outcome::ConnectFailed);
        self.dial_for_waiters(now, host, commands);
    }

    /// Marks a session's idle transaction as failed after its connection closed.
    fn transaction_lost(&mut self, session: Conn, conn: Conn) {
        if let Some(session) = self.session(session)
            && let Some(transaction) = &mut session.transaction
            && transaction.host_conn == Some(conn)
        {
            transaction.host_conn = None;
            (session.transaction_state, session.abort_unreported) = (TransactionState::Failed, true);
        }
    }

    /// Resets a connection that has not opened in time, or an orphaned one that has not been answered in
    /// time.
    pub(super) fn connection_timed_out(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(connection) = self.host_connection(conn) else { return };
        let is_late = match connection.stage {
            ConnectionStage::Opening => now - connection.opened_at >= OPEN_TIMEOUT,
            ConnectionStage::Orphaned => {
                now - connection.stage_since >= ORPHAN_TIMEOUT && !connection.expected.is_empty()
            }
            ConnectionStage::Idle | ConnectionStage::Assigned(_) => false,
        };
        if is_late {
            self.reset_connection(now, conn, commands);
        }
    }
}
