//! Clients: sessions, the texts that the router answers itself, and what is handed to the module.

use std::rc::Rc;

use arrowyard_config::Channel;
use arrowyard_protocol::{AccessMode, FaultCode, Request as Said, Statement, TransactionState};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{RouterEvent, TimeDelta, Timestamp};
use bytes::Bytes;

use super::{Alarm, IDLE, Line, RouterPlane};
use crate::routes::Statement as Kind;
use crate::session::{Session, Stage, Transaction};

/// Statements of one session that may wait behind the one under way.
const MOST_QUEUED: usize = 256;
/// A session that came before the first configuration waits for it this long.
const FOR_CONFIGURATION: TimeDelta = TimeDelta::from_millis(1500);
/// Names and values that one session may hold, and their bytes.
const MOST_NAMES: usize = 1024;

impl RouterPlane {
    pub(super) fn welcome(&mut self, now: Timestamp, conn: Conn) {
        let mut session = Session::new();
        let wait = self.configured.routes.limits.header_wait_ms as i64;
        let wait = if wait > 0 { TimeDelta::from_millis(wait) } else { IDLE };
        session.timer = Some(self.timers.set(now + wait, Alarm::Silence(conn)));
        self.lines.insert(conn, Line::Client(Box::new(session)));
        self.sessions += 1;
    }

    /// Takes a session's timer back.
    fn hush(&mut self, conn: Conn) {
        let timer = self.session(conn).and_then(|session| session.timer.take());
        timer.into_iter().for_each(|key| self.timers.cancel(key));
    }

    fn forget_session(&mut self, conn: Conn) {
        self.hush(conn);
        if self.lines.remove(&conn).is_some() {
            self.sessions -= 1;
        }
    }

    /// Closes a session. What it has at a host is rolled back.
    pub(super) fn end_session(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        commands.close(conn);
        self.client_left(now, conn, commands);
    }

    /// The client is gone, or the session was closed: whatever it had is given back.
    pub(super) fn client_left(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        self.abandon(now, conn, commands);
        let transaction = self.session(conn).and_then(|session| session.transaction.take());
        if let Some(link) = transaction.and_then(|transaction| transaction.link) {
            self.release(now, conn, link, commands);
        }
        self.forget_session(conn);
    }

    pub(super) fn client_came(&mut self, now: Timestamp, conn: Conn, bytes: &[u8], commands: &mut Commands) {
        if let Some(session) = self.session(conn) {
            session.lines.put(bytes);
        }
        loop {
            let Some(session) = self.session(conn) else { return };
            match session.lines.take() {
                Ok(None) => return,
                Ok(Some(line)) => {
                    if matches!(session.stage, Stage::Asks(_) | Stage::Waits(_)) || !session.queue.is_empty()
                    {
                        session.queue.push_back(line);
                        if session.queue.len() > MOST_QUEUED {
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
                    self.line(now, conn, &line, commands);
                }
                Err(_) => {
                    self.refuse_session(now, conn, FaultCode::Oversize, "a message of over 1 MiB", commands);
                    return;
                }
            }
        }
    }

    /// What waits in a session's queue, once it rests.
    pub(super) fn next_line(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        while let Some(session) = self.session(conn) {
            if !matches!(session.stage, Stage::Rests) {
                return;
            }
            let Some(line) = session.queue.pop_front() else { break };
            self.line(now, conn, &line, commands);
        }
        if self.closed_idle && self.session(conn).is_some_and(|session| session.is_at_rest()) {
            self.end_session(now, conn, commands);
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
        self.end_session(now, conn, commands);
    }

    fn line(&mut self, now: Timestamp, conn: Conn, line: &Bytes, commands: &mut Commands) {
        let said = std::str::from_utf8(line).ok().and_then(Said::parse);
        let Some(session) = self.session(conn) else { return };
        match (said, &session.stage) {
            (Some(Said::Open { database, .. }), Stage::New) => {
                let database = database.to_string();
                session.database.clone_from(&database);
                self.open(now, conn, database, commands);
            }
            (Some(Said::Query { id, text }), Stage::Rests) => self.query(now, conn, id, text, commands),
            (Some(Said::Close), _) => self.end_session(now, conn, commands),
            (None, Stage::Rests) => {
                // What cannot be read was not run.
                commands.write_line(conn, &["FAULT MALFORMED this is no statement"]);
                self.idle(conn, commands);
            }
            _ => self.refuse_session(now, conn, FaultCode::Malformed, "this was not expected here", commands),
        }
    }

    fn open(&mut self, now: Timestamp, conn: Conn, database: String, commands: &mut Commands) {
        self.hush(conn);
        let known = self.configured.routes.of(&database).is_some();
        if known {
            if let Some(session) = self.session(conn) {
                session.shift(Stage::Rests);
            }
            commands.write_line(conn, &["IDLE I -"]);
            self.next_line(now, conn, commands);
        } else if self.configured.slot > 0 {
            self.refuse_session(now, conn, FaultCode::NoDatabase, "there is no such database", commands);
        } else {
            let timer = self.timers.set(now + FOR_CONFIGURATION, Alarm::Silence(conn));
            if let Some(session) = self.session(conn) {
                session.timer = Some(timer);
                session.shift(Stage::Waits(database));
            }
        }
    }

    /// A configuration is there: sessions that waited for it go on.
    pub(super) fn greet_waiting(&mut self, now: Timestamp, commands: &mut Commands) {
        let waits = |(conn, line): (&Conn, &Line)| match line {
            Line::Client(session) => match &session.stage {
                Stage::Waits(database) => Some((*conn, database.clone())),
                _ => None,
            },
            _ => None,
        };
        let mut waiting: Vec<(Conn, String)> = self.lines.iter().filter_map(waits).collect();
        waiting.sort();
        for (conn, database) in waiting {
            self.open(now, conn, database, commands);
        }
    }

    /// A session said nothing for too long: at first, or inside a transaction.
    pub(super) fn silent(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(session) = self.session(conn) else { return };
        session.timer = None;
        match session.stage {
            Stage::New => self.end_session(now, conn, commands),
            Stage::Waits(_) => {
                self.refuse_session(now, conn, FaultCode::Saturated, "not ready; come back", commands)
            }
            _ => self.break_transaction(now, conn, commands),
        }
    }

    /// Ends a transaction that rests: nothing of it is kept, as its next statement is told.
    pub(super) fn break_transaction(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(session) = self.session(conn) else { return };
        if session.state == TransactionState::InTransaction && matches!(session.stage, Stage::Rests) {
            (session.state, session.untold) = (TransactionState::Failed, true);
            if let Some(link) = session.transaction.as_mut().and_then(|transaction| transaction.link.take()) {
                self.release(now, conn, link, commands);
            }
        }
    }

    /// The end of an answer that is the router's own.
    fn idle(&mut self, conn: Conn, commands: &mut Commands) {
        let letter = self.session(conn).map_or("I", |session| session.state.letter());
        commands.write_line(conn, &["IDLE ", letter, " -"]);
    }

    fn settled(&mut self, conn: Conn, commands: &mut Commands) {
        commands.write_line(conn, &["SETTLED -"]);
        self.idle(conn, commands);
    }

    /// A statement that is refused here; inside a transaction that fails it.
    fn refuse(&mut self, now: Timestamp, conn: Conn, code: FaultCode, text: &str, commands: &mut Commands) {
        commands.write_line(conn, &["FAULT ", code.as_str(), " ", text]);
        self.fail_transaction(now, conn, commands);
        self.idle(conn, commands);
    }

    /// A transaction failed: whatever holds it is given back, to be rolled back.
    pub(super) fn fail_transaction(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(session) = self.session(conn) else { return };
        if session.state == TransactionState::InTransaction {
            session.state = TransactionState::Failed;
            if let Some(link) = session.transaction.as_mut().and_then(|transaction| transaction.link.take()) {
                self.release(now, conn, link, commands);
            }
        }
    }

    fn query(&mut self, now: Timestamp, conn: Conn, id: &str, text: &str, commands: &mut Commands) {
        self.hush(conn);
        let Some(session) = self.session(conn) else { return };
        let state = session.state;
        let Some(read) = Statement::parse(text) else {
            return self.refuse(now, conn, FaultCode::Malformed, "this is no statement", commands);
        };
        if state == TransactionState::Failed {
            let untold = std::mem::take(&mut session.untold);
            return match read {
                Statement::Abort | Statement::Commit => {
                    session.state = TransactionState::Idle;
                    session.transaction = None;
                    if read == Statement::Abort {
                        self.settled(conn, commands);
                    } else {
                        commands.write_line(conn, &["FAULT REVERTED the transaction had failed"]);
                        self.idle(conn, commands);
                    }
                    self.after_operation(now, conn, commands);
                }
                // The first that it hears of it: nothing is kept, so it may ask again.
                _ if untold => {
                    commands.write_line(conn, &["FAULT REVERTED the transaction was ended"]);
                    self.idle(conn, commands);
                }
                _ => {
                    commands.write_line(conn, &["FAULT MALFORMED the transaction has failed"]);
                    self.idle(conn, commands);
                }
            };
        }
        match read {
            Statement::Begin { .. } | Statement::Read | Statement::Write | Statement::Run { .. }
                if state == TransactionState::Idle =>
            {
                let database = session.database.clone();
                let Some(channel) = self.configured.routes.of(&database).cloned() else {
                    // The route was removed; the next transaction has nowhere to go.
                    commands.write_line(conn, &["FAULT NODB there is no such database any more"]);
                    self.idle(conn, commands);
                    return self.end_session(now, conn, commands);
                };
                if let Statement::Begin { read } = read {
                    let transaction =
                        Transaction { channel, reads: read, began: now, wrote: false, link: None };
                    if let Some(session) = self.session(conn) {
                        session.state = TransactionState::InTransaction;
                        session.transaction = Some(transaction);
                    }
                    self.settled(conn, commands);
                    self.rest_inside(now, conn);
                } else {
                    self.ask(now, conn, &channel, id, text, commands);
                }
            }
            Statement::Read | Statement::Write | Statement::Run { .. } | Statement::Commit
                if state == TransactionState::InTransaction =>
            {
                let transaction = session.transaction.as_ref();
                let Some(channel) = transaction.map(|transaction| transaction.channel.clone()) else {
                    return;
                };
                self.ask(now, conn, &channel, id, text, commands);
            }
            Statement::Abort if state == TransactionState::InTransaction => {
                session.state = TransactionState::Idle;
                let link = session.transaction.take().and_then(|transaction| transaction.link);
                self.settled(conn, commands);
                link.into_iter().for_each(|link| self.release(now, conn, link, commands));
                self.after_operation(now, conn, commands);
            }
            Statement::Assign { name, value } => {
                if session.values.len() >= MOST_NAMES && !session.values.contains_key(name) {
                    return self.refuse(now, conn, FaultCode::Oversize, "too many values", commands);
                }
                Rc::make_mut(&mut session.values).insert(name.to_string(), value.to_string());
                self.settled(conn, commands);
                self.rest_inside(now, conn);
            }
            Statement::Define { name, mode, shape } => {
                if session.prepared.len() >= MOST_NAMES && !session.prepared.contains_key(name) {
                    return self.refuse(now, conn, FaultCode::Oversize, "too many prepared names", commands);
                }
                session.prepared.insert(name.to_string(), (mode, shape.into()));
                self.settled(conn, commands);
                self.rest_inside(now, conn);
            }
            Statement::Undefine { name } => {
                if session.prepared.remove(name).is_none() {
                    return self.refuse(now, conn, FaultCode::Undefined, "there is no such name", commands);
                }
                self.settled(conn, commands);
                self.rest_inside(now, conn);
            }
            _ => self.refuse(now, conn, FaultCode::Malformed, "not in this state", commands),
        }
    }

    /// A transaction that says nothing for too long is ended.
    pub(super) fn rest_inside(&mut self, now: Timestamp, conn: Conn) {
        let wait = self.configured.routes.limits.tx_idle_ms;
        if self.session(conn).is_none_or(|session| session.state != TransactionState::InTransaction)
            || wait <= 0.0
        {
            return;
        }
        self.hush(conn);
        let timer =
            self.timers.set(now + TimeDelta::from_micros((wait * 1000.0) as i64), Alarm::Silence(conn));
        if let Some(session) = self.session(conn) {
            session.timer = Some(timer);
        }
    }

    /// An operation is over. A router that is to end lets its sessions go here.
    pub(super) fn after_operation(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        if self.closed_idle && self.session(conn).is_some_and(|s| s.is_at_rest() && s.queue.is_empty()) {
            self.end_session(now, conn, commands);
        }
    }

    /// A statement that a host has to run: it is handed to the module.
    fn ask(
        &mut self,
        now: Timestamp,
        conn: Conn,
        channel: &Rc<Channel>,
        id: &str,
        text: &str,
        commands: &mut Commands,
    ) {
        let Some(session) = self.session(conn) else { return };
        let mut define = None;
        let (mut text, mut writes) = (text.to_string(), false);
        match Statement::parse(&text) {
            Some(Statement::Write) => writes = true,
            Some(Statement::Run { name, rest }) => {
                let Some((mode, shape)) = session.prepared.get(name).cloned() else {
                    return self.refuse(now, conn, FaultCode::Undefined, "there is no such name", commands);
                };
                writes = mode == AccessMode::Write;
                let rest = rest.to_string();
                let number = self.shape(mode, &shape);
                text =
                    if rest.is_empty() { format!("RUN g{number}") } else { format!("RUN g{number} {rest}") };
                define = Some((number, mode, shape));
            }
            _ => {}
        }
        let Some(session) = self.session(conn) else { return };
        let ends = text == "COMMIT";
        let inside = session.transaction.as_ref().map(|transaction| (transaction.reads, transaction.link));
        if writes && inside.is_some_and(|(reads, _)| reads) {
            return self.refuse(now, conn, FaultCode::ReadOnly, "the transaction only reads", commands);
        }
        let kind = match inside {
            None if writes => Kind::Write,
            None => Kind::Read,
            Some((_, Some(_))) => Kind::Later,
            Some((true, None)) => Kind::Read,
            Some((false, None)) => Kind::First,
        };
        self.start(now, conn, channel, Ask { id, text, kind, ends, writes, define }, commands);
    }

    fn shape(&mut self, mode: AccessMode, shape: &Rc<str>) -> u32 {
        let next = self.shapes.len() as u32;
        *self.shapes.entry((mode, shape.clone())).or_insert(next)
    }

    pub(super) fn hang_up(&mut self, now: Timestamp, op: arrowyard_types::OpId) {
        self.ops.remove(&op);
        self.note(now, RouterEvent::ClientCancelled { op });
    }
}

/// A statement, as it is handed to the module.
pub(super) struct Ask<'a> {
    pub id: &'a str,
    pub text: String,
    pub kind: Kind,
    pub ends: bool,
    pub writes: bool,
    pub define: Option<(u32, AccessMode, Rc<str>)>,
}
