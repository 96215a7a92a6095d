//! Client sessions: statements that the router answers itself, and statements that it hands to the decision
//! module.

use std::rc::Rc;

use arrowyard_config::Route;
use arrowyard_protocol::{AccessMode, FaultCode, Request, Statement, TransactionState};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{RouterEvent, TimeDelta, Timestamp};
use bytes::Bytes;

use super::{DEFAULT_OPEN_TIMEOUT, Endpoint, RouterPlane, Timer};
use crate::routes::StatementKind;
use crate::session::{Session, SessionStage, Transaction};

/// Lines of one session that may be queued behind its pending statement.
const MAX_QUEUED_LINES: usize = 256;
/// How long a session opened before the first configuration waits for it.
const CONFIGURATION_TIMEOUT: TimeDelta = TimeDelta::from_millis(1500);
/// Variables, and prepared statements, of one session.
const MAX_SESSION_NAMES: usize = 1024;

impl RouterPlane {
    pub(super) fn accept_client(&mut self, now: Timestamp, conn: Conn) {
        let mut session = Session::new();
        let timeout_ms = self.configured.routes.limits.first_message_timeout_ms as i64;
        let timeout = if timeout_ms > 0 { TimeDelta::from_millis(timeout_ms) } else { DEFAULT_OPEN_TIMEOUT };
        session.timer = Some(self.timers.set(now + timeout, Timer::SessionIdle(conn)));
        self.endpoints.insert(conn, Endpoint::Client(Box::new(session)));
        self.sessions += 1;
    }

    fn cancel_session_timer(&mut self, conn: Conn) {
        let timer = self.session(conn).and_then(|session| session.timer.take());
        timer.into_iter().for_each(|key| self.timers.cancel(key));
    }

    fn remove_session(&mut self, conn: Conn) {
        self.cancel_session_timer(conn);
        if self.endpoints.remove(&conn).is_some() {
            self.sessions -= 1;
        }
    }

    /// Closes a session. Its open transaction is rolled back at the host.
    pub(super) fn close_session(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        commands.close(conn);
        self.client_disconnected(now, conn, commands);
    }

    /// Releases everything that a session holds, after its client disconnected or the router closed it.
    pub(super) fn client_disconnected(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        self.abandon_statement(now, conn, commands);
        let transaction = self.session(conn).and_then(|session| session.transaction.take());
        if let Some(host_conn) = transaction.and_then(|transaction| transaction.host_conn) {
            self.release(now, conn, host_conn, commands);
        }
        self.remove_session(conn);
    }

    pub(super) fn client_received(
        &mut self,
        now: Timestamp,
        conn: Conn,
        bytes: &[u8],
        commands: &mut Commands,
    ) {
        if let Some(session) = self.session(conn) {
            session.decoder.put(bytes);
        }
        loop {
            let Some(session) = self.session(conn) else { return };
            match session.decoder.take() {
                Ok(None) => return,
                Ok(Some(line)) => {
                    if matches!(
                        session.stage,
                        SessionStage::Running(_) | SessionStage::AwaitingConfiguration(_)
                    ) || !session.queue.is_empty()
                    {
                        session.queue.push_back(line);
                        if session.queue.len() > MAX_QUEUED_LINES {
                            self.refuse_session(
                                now,
                                conn,
                                FaultCode::Oversize,
                                "too many statements at a time",
                                commands,
                            );
                        }
                        continue;
                    }
                    self.handle_line(now, conn, &line, commands);
                }
                Err(_) => {
                    self.refuse_session(now, conn, FaultCode::Oversize, "a message of over 1 MiB", commands);
                    return;
                }
            }
        }
    }

    /// Handles queued lines until a statement is pending again.
    pub(super) fn process_queue(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        while let Some(session) = self.session(conn) {
            if !matches!(session.stage, SessionStage::Idle) {
                return;
            }
            let Some(line) = session.queue.pop_front() else { break };
            self.handle_line(now, conn, &line, commands);
        }
        if self.closes_idle && self.session(conn).is_some_and(|session| session.is_idle()) {
            self.close_session(now, conn, commands);
        }
    }

    fn refuse_session(
        &mut self,
        now: Timestamp,
        conn: Conn,
        code: FaultCode,
        text: &str,
        commands: &mut Commands,
    ) {
        commands.write_line(conn, &["FAULT ", code.as_str(), " ", text]);
        self.close_session(now, conn, commands);
    }

    fn handle_line(&mut self, now: Timestamp, conn: Conn, line: &Bytes, commands: &mut Commands) {
        let request = std::str::from_utf8(line).ok().and_then(Request::parse);
        let Some(session) = self.session(conn) else { return };
        match (request, &session.stage) {
            (Some(Request::Open { database, .. }), SessionStage::New) => {
                let database = database.to_string();
                session.database.clone_from(&database);
                self.open_database(now, conn, database, commands);
            }
            (Some(Request::Query { id, text }), SessionStage::Idle) => {
                self.query(now, conn, id, text, commands)
            }
            (Some(Request::Close), _) => self.close_session(now, conn, commands),
            (None, SessionStage::Idle) => {
                // The line cannot be parsed, so nothing ran.
                commands.write_line(conn, &["FAULT MALFORMED this is no statement"]);
                self.write_idle(conn, commands);
            }
            _ => self.refuse_session(now, conn, FaultCode::Malformed, "this was not expected here", commands),
        }
    }

    fn open_database(&mut self, now: Timestamp, conn: Conn, database: String, commands: &mut Commands) {
        self.cancel_session_timer(conn);
        let known = self.configured.routes.route(&database).is_some();
        if known {
            if let Some(session) = self.session(conn) {
                session.set_stage(SessionStage::Idle);
            }
            commands.write_line(conn, &["IDLE I -"]);
            self.process_queue(now, conn, commands);
        } else if self.configured.slot > 0 {
            self.refuse_session(now, conn, FaultCode::NoDatabase, "there is no such database", commands);
        } else {
            let timer = self.timers.set(now + CONFIGURATION_TIMEOUT, Timer::SessionIdle(conn));
            if let Some(session) = self.session(conn) {
                session.timer = Some(timer);
                session.set_stage(SessionStage::AwaitingConfiguration(database));
            }
        }
    }

    /// Resumes sessions that waited for a configuration.
    pub(super) fn resume_waiting_sessions(&mut self, now: Timestamp, commands: &mut Commands) {
        let awaited = |(conn, endpoint): (&Conn, &Endpoint)| match endpoint {
            Endpoint::Client(session) => match &session.stage {
                SessionStage::AwaitingConfiguration(database) => Some((*conn, database.clone())),
                _ => None,
            },
            _ => None,
        };
        let mut waiting: Vec<(Conn, String)> = self.endpoints.iter().filter_map(awaited).collect();
        waiting.sort();
        for (conn, database) in waiting {
            self.open_database(now, conn, database, commands);
        }
    }

    /// A session was silent for too long before it opened a database or inside a transaction, or no
    /// configuration came.
    pub(super) fn session_timed_out(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(session) = self.session(conn) else { return };
        session.timer = None;
        match session.stage {
            SessionStage::New => self.close_session(now, conn, commands),
            SessionStage::AwaitingConfiguration(_) => {
                self.refuse_session(now, conn, FaultCode::Saturated, "not ready; come back", commands)
            }
            _ => self.abort_idle_transaction(now, conn, commands),
        }
    }

    /// Aborts an idle transaction. The client is told in the reply to its next statement.
    pub(super) fn abort_idle_transaction(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(session) = self.session(conn) else { return };
        if session.transaction_state == TransactionState::InTransaction
            && matches!(session.stage, SessionStage::Idle)
        {
            (session.transaction_state, session.abort_unreported) = (TransactionState::Failed, true);
            if let Some(host_conn) =
                session.transaction.as_mut().and_then(|transaction| transaction.host_conn.take())
            {
                self.release(now, conn, host_conn, commands);
            }
        }
    }

    /// Ends a reply that the router gives itself.
    fn write_idle(&mut self, conn: Conn, commands: &mut Commands) {
        let letter = self.session(conn).map_or("I", |session| session.transaction_state.letter());
        commands.write_line(conn, &["IDLE ", letter, " -"]);
    }

    fn write_settled(&mut self, conn: Conn, commands: &mut Commands) {
        commands.write_line(conn, &["SETTLED -"]);
        self.write_idle(conn, commands);
    }

    /// Refuses a statement; its transaction fails.
    fn refuse_statement(
        &mut self,
        now: Timestamp,
        conn: Conn,
        code: FaultCode,
        text: &str,
        commands: &mut Commands,
    ) {
        commands.write_line(conn, &["FAULT ", code.as_str(), " ", text]);
        self.fail_transaction(now, conn, commands);
        self.write_idle(conn, commands);
    }

    /// Marks an open transaction as failed and releases its connection, where it is rolled back.
    pub(super) fn fail_transaction(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(session) = self.session(conn) else { return };
        if session.transaction_state == TransactionState::InTransaction {
            session.transaction_state = TransactionState::Failed;
            if let Some(host_conn) =
                session.transaction.as_mut().and_then(|transaction| transaction.host_conn.take())
            {
                self.release(now, conn, host_conn, commands);
            }
        }
    }

    fn query(&mut self, now: Timestamp, conn: Conn, id: &str, text: &str, commands: &mut Commands) {
        self.cancel_session_timer(conn);
        let Some(session) = self.session(conn) else { return };
        let state = session.transaction_state;
        let Some(statement) = Statement::parse(text) else {
            return self.refuse_statement(now, conn, FaultCode::Malformed, "this is no statement", commands);
        };
        if state == TransactionState::Failed {
            let abort_unreported = std::mem::take(&mut session.abort_unreported);
            return match statement {
                Statement::Abort | Statement::Commit => {
                    session.transaction_state = TransactionState::Idle;
                    session.transaction = None;
                    if statement == Statement::Abort {
                        self.write_settled(conn, commands);
                    } else {
                        commands.write_line(conn, &["FAULT REVERTED the transaction had failed"]);
                        self.write_idle(conn, commands);
                    }
                    self.close_if_draining(now, conn, commands);
                }
                // The first reply after the router aborted the transaction; REVERTED lets the client retry
                // it.
                _ if abort_unreported => {
                    commands.write_line(conn, &["FAULT REVERTED the transaction was ended"]);
                    self.write_idle(conn, commands);
                }
                _ => {
                    commands.write_line(conn, &["FAULT MALFORMED the transaction has failed"]);
                    self.write_idle(conn, commands);
                }
            };
        }
        match statement {
            Statement::Begin { .. } | Statement::Read | Statement::Write | Statement::Run { .. }
                if state == TransactionState::Idle =>
            {
                let database = session.database.clone();
                let Some(route) = self.configured.routes.route(&database).cloned() else {
                    // The route was removed from the configuration after the session opened.
                    commands.write_line(conn, &["FAULT NODB there is no such database any more"]);
                    self.write_idle(conn, commands);
                    return self.close_session(now, conn, commands);
                };
                if let Statement::Begin { read } = statement {
                    let transaction =
                        Transaction { route, read_only: read, began_at: now, wrote: false, host_conn: None };
                    if let Some(session) = self.session(conn) {
                        session.transaction_state = TransactionState::InTransaction;
                        session.transaction = Some(transaction);
                    }
                    self.write_settled(conn, commands);
                    self.start_transaction_timeout(now, conn);
                } else {
                    self.submit_statement(now, conn, &route, id, text, commands);
                }
            }
            Statement::Read | Statement::Write | Statement::Run { .. } | Statement::Commit
                if state == TransactionState::InTransaction =>
            {
                let transaction = session.transaction.as_ref();
                let Some(route) = transaction.map(|transaction| transaction.route.clone()) else {
                    return;
                };
                self.submit_statement(now, conn, &route, id, text, commands);
            }
            Statement::Abort if state == TransactionState::InTransaction => {
                session.transaction_state = TransactionState::Idle;
                let host_conn = session.transaction.take().and_then(|transaction| transaction.host_conn);
                self.write_settled(conn, commands);
                host_conn.into_iter().for_each(|host_conn| self.release(now, conn, host_conn, commands));
                self.close_if_draining(now, conn, commands);
            }
            Statement::Assign { name, value } => {
                if session.variables.len() >= MAX_SESSION_NAMES && !session.variables.contains_key(name) {
                    return self.refuse_statement(
                        now,
                        conn,
                        FaultCode::Oversize,
                        "too many values",
                        commands,
                    );
                }
                Rc::make_mut(&mut session.variables).insert(name.to_string(), value.to_string());
                self.write_settled(conn, commands);
                self.start_transaction_timeout(now, conn);
            }
            Statement::Define { name, mode, shape } => {
                if session.prepared.len() >= MAX_SESSION_NAMES && !session.prepared.contains_key(name) {
                    return self.refuse_statement(
                        now,
                        conn,
                        FaultCode::Oversize,
                        "too many prepared names",
                        commands,
                    );
                }
                session.prepared.insert(name.to_string(), (mode, shape.into()));
                self.write_settled(conn, commands);
                self.start_transaction_timeout(now, conn);
            }
            Statement::Undefine { name } => {
                if session.prepared.remove(name).is_none() {
                    return self.refuse_statement(
                        now,
                        conn,
                        FaultCode::Undefined,
                        "there is no such name",
                        commands,
                    );
                }
                self.write_settled(conn, commands);
                self.start_transaction_timeout(now, conn);
            }
            _ => self.refuse_statement(now, conn, FaultCode::Malformed, "not in this state", commands),
        }
    }

    /// Starts the idle timeout of an open transaction, if the configuration sets one.
    pub(super) fn start_transaction_timeout(&mut self, now: Timestamp, conn: Conn) {
        let timeout_ms = self.configured.routes.limits.transaction_idle_timeout_ms;
        if self
            .session(conn)
            .is_none_or(|session| session.transaction_state != TransactionState::InTransaction)
            || timeout_ms <= 0.0
        {
            return;
        }
        self.cancel_session_timer(conn);
        let timer = self
            .timers
            .set(now + TimeDelta::from_micros((timeout_ms * 1000.0) as i64), Timer::SessionIdle(conn));
        if let Some(session) = self.session(conn) {
            session.timer = Some(timer);
        }
    }

    /// Closes a session after a transaction if the router drains.
    pub(super) fn close_if_draining(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        if self.closes_idle && self.session(conn).is_some_and(|s| s.is_idle() && s.queue.is_empty()) {
            self.close_session(now, conn, commands);
        }
    }

    /// Hands a statement that a host has to run to the decision module.
    fn submit_statement(
        &mut self,
        now: Timestamp,
        conn: Conn,
        route: &Rc<Route>,
        id: &str,
        text: &str,
        commands: &mut Commands,
    ) {
        let Some(session) = self.session(conn) else { return };
        let mut prepare = None;
        let (mut text, mut is_write, mut is_commit) = (text.to_string(), false, false);
        match Statement::parse(&text) {
            Some(Statement::Write) => is_write = true,
            Some(Statement::Commit) => is_commit = true,
            Some(Statement::Run { name, rest }) => {
                let Some((mode, shape)) = session.prepared.get(name).cloned() else {
                    return self.refuse_statement(
                        now,
                        conn,
                        FaultCode::Undefined,
                        "there is no such name",
                        commands,
                    );
                };
                is_write = mode == AccessMode::Write;
                let rest = rest.to_string();
                let number = self.prepared_number(mode, &shape);
                text =
                    if rest.is_empty() { format!("RUN g{number}") } else { format!("RUN g{number} {rest}") };
                prepare = Some((number, mode, shape));
            }
            _ => {}
        }
        let Some(session) = self.session(conn) else { return };
        let transaction =
            session.transaction.as_ref().map(|transaction| (transaction.read_only, transaction.host_conn));
        if is_write && transaction.is_some_and(|(read_only, _)| read_only) {
            return self.refuse_statement(
                now,
                conn,
                FaultCode::ReadOnly,
                "the transaction only reads",
                commands,
            );
        }
        let kind = match transaction {
            None if is_write => StatementKind::Write,
            None => StatementKind::Read,
            Some((_, Some(_))) => StatementKind::Later,
            Some((true, None)) => StatementKind::Read,
            Some((false, None)) => StatementKind::First,
        };
        self.submit(now, conn, route, Submission { id, text, kind, is_commit, is_write, prepare }, commands);
    }

    /// The router-wide number of a prepared statement; sessions that prepare the same one share it.
    fn prepared_number(&mut self, mode: AccessMode, shape: &Rc<str>) -> u32 {
        let next = self.prepared_numbers.len() as u32;
        *self.prepared_numbers.entry((mode, shape.clone())).or_insert(next)
    }

    pub(super) fn cancel_op(&mut self, now: Timestamp, op: arrowyard_types::OpId) {
        self.ops.remove(&op);
        self.notify(now, RouterEvent::ClientCancelled { op });
    }
}

/// A statement to be handed to the decision module.
pub(super) struct Submission<'a> {
    pub id: &'a str,
    pub text: String,
    pub kind: StatementKind,
    pub is_commit: bool,
    pub is_write: bool,
    pub prepare: Option<(u32, AccessMode, Rc<str>)>,
}
