//! Replies to clients: results, faults, and statements that end without a reply of a host.

use arrowyard_protocol::{FaultCode, TransactionState};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{HostId, HostStatus, OpId, Outcome, TimeDelta, Timestamp};

use super::RouterPlane;
use super::ops::LOST_AFTER_OVERTAKEN;
use crate::host_connection::{HostReply, SentStatement};
use crate::routes::StatementKind;
use crate::session::{PendingStatement, SessionStage};

impl RouterPlane {
    /// Ends the send of a reply whose client is gone.
    pub(super) fn discard_reply(
        &mut self,
        now: Timestamp,
        host_conn: Conn,
        sent: SentStatement,
        reply: &HostReply,
    ) {
        if let Some(host) = self.host_connection(host_conn).map(|connection| connection.host) {
            let outcome = if reply.fault.is_some() { Outcome::Errored } else { Outcome::Acked };
            self.send_ended(now, sent, host, outcome, HostStatus::default(), true);
        }
    }

    /// Takes a session's pending statement, with its timer, queue count and op.
    pub(super) fn take_pending(&mut self, now: Timestamp, conn: Conn) -> Option<Box<PendingStatement>> {
        let session = self.session(conn)?;
        if !matches!(session.stage, SessionStage::Running(_)) {
            return None;
        }
        self.uncount_queued(now, conn);
        let session = self.session(conn)?;
        let SessionStage::Running(statement) = session.set_stage(SessionStage::Idle) else { return None };
        statement.timer.into_iter().for_each(|key| self.timers.cancel(key));
        self.ops.remove(&statement.op);
        Some(statement)
    }

    pub(super) fn reply_success(
        &mut self,
        now: Timestamp,
        conn: Conn,
        host_conn: Conn,
        reply: &HostReply,
        commands: &mut Commands,
    ) {
        let Some(statement) = self.take_pending(now, conn) else { return };
        let Some(session) = self.session(conn) else { return };
        let mut releases = true;
        if statement.is_commit {
            session.transaction_state = TransactionState::Idle;
            session.transaction = None;
        } else if let Some(transaction) = &mut session.transaction {
            transaction.host_conn = Some(host_conn);
            transaction.wrote |= statement.is_write;
            releases = false;
        }
        let letter = session.transaction_state.letter();
        let stamp = reply.stamp.as_deref().unwrap_or("-");
        let position = reply.position.map_or("-".to_string(), |position| position.to_string());
        commands.write(conn, &[&reply.rows]);
        commands.write_line(conn, &["SETTLED ", stamp]);
        commands.write_line(conn, &["IDLE ", letter, " ", &position]);
        if releases {
            self.release(now, conn, host_conn, commands);
        } else {
            self.start_transaction_timeout(now, conn);
        }
        self.process_queue(now, conn, commands);
    }

    /// Replies with the last fault of a host. The statement's transaction fails.
    pub(super) fn reply_last_fault(
        &mut self,
        now: Timestamp,
        conn: Conn,
        host_conn: Option<Conn>,
        commands: &mut Commands,
    ) {
        let Some(statement) = self.take_pending(now, conn) else { return };
        let (code, text) =
            statement.last_fault.clone().unwrap_or((FaultCode::Unknown, "no answer of the host".to_string()));
        let code = if code == FaultCode::Other { FaultCode::Unknown } else { code };
        self.reply_fault(now, conn, &statement, code, &text, commands);
        host_conn.into_iter().for_each(|host_conn| self.release(now, conn, host_conn, commands));
        self.process_queue(now, conn, commands);
    }

    /// Replies with a fault. The statement's transaction fails, or ends if the statement was its commit.
    pub(super) fn reply_fault(
        &mut self,
        now: Timestamp,
        conn: Conn,
        statement: &PendingStatement,
        code: FaultCode,
        text: &str,
        commands: &mut Commands,
    ) {
        commands.write_line(conn, &["FAULT ", code.as_str(), " ", text]);
        let Some(session) = self.session(conn) else { return };
        if session.transaction_state == TransactionState::InTransaction {
            if statement.is_commit {
                session.transaction_state = TransactionState::Idle;
                let transaction = session.transaction.take();
                if let Some(host_conn) = transaction.and_then(|transaction| transaction.host_conn) {
                    self.release(now, conn, host_conn, commands);
                }
            } else {
                self.fail_transaction(now, conn, commands);
            }
        }
        let letter = self.session(conn).map_or("I", |session| session.transaction_state.letter());
        commands.write_line(conn, &["IDLE ", letter, " -"]);
    }

    /// Rejects a statement that has not run, with the time after which the client may retry.
    pub(super) fn reply_busy(
        &mut self,
        now: Timestamp,
        op: OpId,
        retry_after: Option<TimeDelta>,
        commands: &mut Commands,
    ) {
        let Some(&conn) = self.ops.get(&op) else { return };
        let Some(statement) = self.take_pending(now, conn) else { return };
        // `reply_fault` releases the connection of a rejected commit, where the transaction is rolled back.
        let millis = retry_after.unwrap_or(crate::decision::DEFAULT_RETRY_AFTER).micros() / 1000;
        let text = format!("come back in {millis} ms");
        self.reply_fault(now, conn, &statement, FaultCode::Saturated, &text, commands);
        self.process_queue(now, conn, commands);
    }

    /// Replies with the last fault after the decision module has given up on a statement that may have run.
    pub(super) fn reply_error(&mut self, now: Timestamp, op: OpId, commands: &mut Commands) {
        let Some(&conn) = self.ops.get(&op) else { return };
        self.reply_last_fault(now, conn, None, commands);
    }

    /// Handles the deadline of a send.
    pub(super) fn statement_timed_out(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(statement) = self.session(conn).and_then(|session| session.pending()) else { return };
        statement.timer = None;
        let (op, host, host_conn, kind) = (statement.op, statement.host, statement.host_conn, statement.kind);
        let Some(host) = host else { return };
        let sent = host_conn
            .and_then(|host_conn| self.host_connection(host_conn))
            .and_then(|connection| connection.sent)
            .filter(|sent| sent.op == op);
        match sent.filter(|sent| sent.written_at.is_some()) {
            Some(sent) => {
                let host_conn = host_conn.expect("`sent` was found on this connection");
                // The host may still run the statement; the connection becomes idle after the reply.
                if let Some(connection) = self.host_connection(host_conn) {
                    connection.sent = None;
                }
                self.send_ended(now, sent, host, Outcome::TimedOut, HostStatus::default(), true);
                let Some(statement) = self.take_pending(now, conn) else { return };
                let may_commit = kind == StatementKind::Write || statement.is_commit;
                let code = if may_commit { FaultCode::Unknown } else { FaultCode::Expired };
                if self
                    .host_connection(host_conn)
                    .is_some_and(|connection| connection.overtaken >= LOST_AFTER_OVERTAKEN)
                {
                    // Later statements are answered, so this reply is lost.
                    self.reset_connection(now, host_conn, commands);
                } else {
                    self.orphan(now, conn, host_conn);
                }
                if let Some(transaction) = self.session(conn).and_then(|session| session.transaction.as_mut())
                {
                    transaction.host_conn = None;
                }
                self.reply_fault(now, conn, &statement, code, "the host did not answer in time", commands);
                self.process_queue(now, conn, commands);
            }
            None => {
                // The statement was not written, so it did not run.
                let sent = self.withdraw(now, conn, host, op, host_conn, commands);
                match sent {
                    Some(sent) if kind == StatementKind::Later => {
                        self.revert(now, conn, sent, host, commands)
                    }
                    Some(sent) => {
                        self.send_ended(now, sent, host, Outcome::NotSent, HostStatus::default(), false)
                    }
                    None => {}
                }
            }
        }
    }

    /// Abandons the pending statement of a client that is gone. A statement that was not written is
    /// withdrawn; one that was written runs on.
    pub(super) fn abandon_statement(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(statement) = self.take_pending(now, conn) else { return };
        self.cancel_op(now, statement.op);
        let Some(host) = statement.host else { return };
        let sent = statement
            .host_conn
            .and_then(|host_conn| self.host_connection(host_conn))
            .and_then(|connection| connection.sent);
        match sent.filter(|sent| sent.op == statement.op && sent.written_at.is_some()) {
            Some(_) => {
                if let Some(transaction) = self.session(conn).and_then(|session| session.transaction.as_mut())
                {
                    transaction.host_conn = None;
                }
                if let Some(host_conn) = statement.host_conn {
                    self.orphan(now, conn, host_conn);
                }
            }
            None => {
                let sent = self.withdraw(now, conn, host, statement.op, statement.host_conn, commands);
                if let Some(sent) = sent {
                    self.send_ended(now, sent, host, Outcome::NotSent, HostStatus::default(), true);
                }
            }
        }
    }

    /// Handles the close of a connection that a statement was assigned to or, with `never_opened`, waited
    /// for.
    pub(super) fn statement_interrupted(
        &mut self,
        now: Timestamp,
        conn: Conn,
        sent: SentStatement,
        host: HostId,
        never_opened: bool,
        commands: &mut Commands,
    ) {
        let Some(statement) = self.session(conn).and_then(|session| session.pending()) else { return };
        statement.host_conn = None;
        let kind = statement.kind;
        let may_have_run = sent.written_at.is_some() && !never_opened;
        let outcome = match (may_have_run, never_opened) {
            (true, _) => Outcome::Reset,
            (false, true) => Outcome::ConnectFailed,
            (false, false) => Outcome::NotSent,
        };
        if kind == StatementKind::Later {
            // The host rolls the transaction back, unless its commit was in flight.
            let is_commit = statement.is_commit;
            let (code, text) = match (is_commit, may_have_run) {
                (true, true) => (FaultCode::Unknown, "the connection broke at the commit"),
                _ => (FaultCode::Reverted, "the connection broke"),
            };
            if let Some(transaction) = self.session(conn).and_then(|session| session.transaction.as_mut()) {
                transaction.host_conn = None;
            }
            self.send_ended(now, sent, host, outcome, HostStatus::default(), true);
            let Some(statement) = self.take_pending(now, conn) else { return };
            self.reply_fault(now, conn, &statement, code, text, commands);
            return self.process_queue(now, conn, commands);
        }
        // The first statement of a transaction is rolled back with it and may be sent again. A commit that
        // is the only statement of its transaction may have succeeded.
        let commit_in_doubt = statement.is_commit && may_have_run;
        if commit_in_doubt {
            statement.last_fault =
                Some((FaultCode::Unknown, "the connection broke at the commit".to_string()));
        } else if may_have_run {
            statement.last_fault = Some((FaultCode::Unknown, "the connection broke".to_string()));
        }
        self.send_ended(now, sent, host, outcome, HostStatus::default(), commit_in_doubt);
        if commit_in_doubt {
            self.reply_last_fault(now, conn, None, commands);
        }
    }
}
