//! Clients: sessions, the texts that the router answers itself, and what is handed to the module.

use std::rc::Rc;

use arrowyard_config::Channel;
use arrowyard_protocol::{Ask as Said, Code, Mode, State, Text};
use arrowyard_runtime::{Conn, Orders};
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
    pub(super) fn end_session(&mut self, now: Timestamp, conn: Conn, orders: &mut Orders) {
        orders.close(conn);
        self.client_left(now, conn, orders);
    }

    /// The client is gone, or the session was closed: whatever it had is given back.
    pub(super) fn client_left(&mut self, now: Timestamp, conn: Conn, orders: &mut Orders) {
        self.abandon(now, conn, orders);
        let transaction = self.session(conn).and_then(|session| session.transaction.take());
        if let Some(link) = transaction.and_then(|transaction| transaction.link) {
            self.release(now, conn, link, orders);
        }
        self.forget_session(conn);
    }

    pub(super) fn client_came(&mut self, now: Timestamp, conn: Conn, bytes: &[u8], orders: &mut Orders) {
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
                                Code::Oversize,
                                "too many statements at a time",
                                orders,
                            );
                        }
                        continue;
                    }
                    self.line(now, conn, &line, orders);
                }
                Err(_) => {
                    self.refuse_session(now, conn, Code::Oversize, "a message of over 1 MiB", orders);
                    return;
                }
            }
        }
    }

    /// What waits in a session's queue, once it rests.
    pub(super) fn next_line(&mut self, now: Timestamp, conn: Conn, orders: &mut Orders) {
        while let Some(session) = self.session(conn) {
            if !matches!(session.stage, Stage::Rests) {
                return;
            }
            let Some(line) = session.queue.pop_front() else { break };
            self.line(now, conn, &line, orders);
        }
        if self.closed_idle && self.session(conn).is_some_and(|session| session.is_at_rest()) {
            self.end_session(now, conn, orders);
        }
    }

    fn refuse_session(&mut self, now: Timestamp, conn: Conn, code: Code, text: &str, orders: &mut Orders) {
        orders.line(conn, &["FAULT ", code.word(), " ", text]);
        self.end_session(now, conn, orders);
    }

    fn line(&mut self, now: Timestamp, conn: Conn, line: &Bytes, orders: &mut Orders) {
        let said = std::str::from_utf8(line).ok().and_then(Said::read);
        let Some(session) = self.session(conn) else { return };
        match (said, &session.stage) {
            (Some(Said::Open { database, .. }), Stage::New) => {
                let database = database.to_string();
                session.database.clone_from(&database);
                self.open(now, conn, database, orders);
            }
            (Some(Said::Query { id, text }), Stage::Rests) => self.query(now, conn, id, text, orders),
            (Some(Said::Close), _) => self.end_session(now, conn, orders),
            (None, Stage::Rests) => {
                // What cannot be read was not run.
                orders.line(conn, &["FAULT MALFORMED this is no statement"]);
                self.idle(conn, orders);
            }
            _ => self.refuse_session(now, conn, Code::Malformed, "this was not expected here", orders),
        }
    }

    fn open(&mut self, now: Timestamp, conn: Conn, database: String, orders: &mut Orders) {
        self.hush(conn);
        let known = self.configured.routes.of(&database).is_some();
        if known {
            if let Some(session) = self.session(conn) {
                session.shift(Stage::Rests);
            }
            orders.line(conn, &["IDLE I -"]);
            self.next_line(now, conn, orders);
        } else if self.configured.slot > 0 {
            self.refuse_session(now, conn, Code::NoDatabase, "there is no such database", orders);
        } else {
            let timer = self.timers.set(now + FOR_CONFIGURATION, Alarm::Silence(conn));
            if let Some(session) = self.session(conn) {
                session.timer = Some(timer);
                session.shift(Stage::Waits(database));
            }
        }
    }

    /// A configuration is there: sessions that waited for it go on.
    pub(super) fn greet_waiting(&mut self, now: Timestamp, orders: &mut Orders) {
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
            self.open(now, conn, database, orders);
        }
    }

    /// A session said nothing for too long: at first, or inside a transaction.
    pub(super) fn silent(&mut self, now: Timestamp, conn: Conn, orders: &mut Orders) {
        let Some(session) = self.session(conn) else { return };
        session.timer = None;
        match session.stage {
            Stage::New => self.end_session(now, conn, orders),
            Stage::Waits(_) => {
                self.refuse_session(now, conn, Code::Saturated, "not ready; come back", orders)
            }
            _ => self.break_transaction(now, conn, orders),
        }
    }

    /// Ends a transaction that rests: nothing of it is kept, as its next statement is told.
    pub(super) fn break_transaction(&mut self, now: Timestamp, conn: Conn, orders: &mut Orders) {
        let Some(session) = self.session(conn) else { return };
        if session.state == State::InTransaction && matches!(session.stage, Stage::Rests) {
            (session.state, session.untold) = (State::Failed, true);
            if let Some(link) = session.transaction.as_mut().and_then(|transaction| transaction.link.take()) {
                self.release(now, conn, link, orders);
            }
        }
    }

    /// The end of an answer that is the router's own.
    fn idle(&mut self, conn: Conn, orders: &mut Orders) {
        let letter = self.session(conn).map_or("I", |session| session.state.letter());
        orders.line(conn, &["IDLE ", letter, " -"]);
    }

    fn settled(&mut self, conn: Conn, orders: &mut Orders) {
        orders.line(conn, &["SETTLED -"]);
        self.idle(conn, orders);
    }

    /// A statement that is refused here; inside a transaction that fails it.
    fn refuse(&mut self, now: Timestamp, conn: Conn, code: Code, text: &str, orders: &mut Orders) {
        orders.line(conn, &["FAULT ", code.word(), " ", text]);
        self.fail_transaction(now, conn, orders);
        self.idle(conn, orders);
    }

    /// A transaction failed: whatever holds it is given back, to be rolled back.
    pub(super) fn fail_transaction(&mut self, now: Timestamp, conn: Conn, orders: &mut Orders) {
        let Some(session) = self.session(conn) else { return };
        if session.state == State::InTransaction {
            session.state = State::Failed;
            if let Some(link) = session.transaction.as_mut().and_then(|transaction| transaction.link.take()) {
                self.release(now, conn, link, orders);
            }
        }
    }

    fn query(&mut self, now: Timestamp, conn: Conn, id: &str, text: &str, orders: &mut Orders) {
        self.hush(conn);
        let Some(session) = self.session(conn) else { return };
        let state = session.state;
        let Some(read) = Text::read(text) else {
            return self.refuse(now, conn, Code::Malformed, "this is no statement", orders);
        };
        if state == State::Failed {
            let untold = std::mem::take(&mut session.untold);
            return match read {
                Text::Abort | Text::Commit => {
                    session.state = State::Idle;
                    session.transaction = None;
                    if read == Text::Abort {
                        self.settled(conn, orders);
                    } else {
                        orders.line(conn, &["FAULT REVERTED the transaction had failed"]);
                        self.idle(conn, orders);
                    }
                    self.after_operation(now, conn, orders);
                }
                // The first that it hears of it: nothing is kept, so it may ask again.
                _ if untold => {
                    orders.line(conn, &["FAULT REVERTED the transaction was ended"]);
                    self.idle(conn, orders);
                }
                _ => {
                    orders.line(conn, &["FAULT MALFORMED the transaction has failed"]);
                    self.idle(conn, orders);
                }
            };
        }
        match read {
            Text::Begin { .. } | Text::Read | Text::Write | Text::Run { .. } if state == State::Idle => {
                let database = session.database.clone();
                let Some(channel) = self.configured.routes.of(&database).cloned() else {
                    // The route was removed; the next transaction has nowhere to go.
                    orders.line(conn, &["FAULT NODB there is no such database any more"]);
                    self.idle(conn, orders);
                    return self.end_session(now, conn, orders);
                };
                if let Text::Begin { read } = read {
                    let transaction =
                        Transaction { channel, reads: read, began: now, wrote: false, link: None };
                    if let Some(session) = self.session(conn) {
                        session.state = State::InTransaction;
                        session.transaction = Some(transaction);
                    }
                    self.settled(conn, orders);
                    self.rest_inside(now, conn);
                } else {
                    self.ask(now, conn, &channel, id, text, orders);
                }
            }
            Text::Read | Text::Write | Text::Run { .. } | Text::Commit if state == State::InTransaction => {
                let transaction = session.transaction.as_ref();
                let Some(channel) = transaction.map(|transaction| transaction.channel.clone()) else {
                    return;
                };
                self.ask(now, conn, &channel, id, text, orders);
            }
            Text::Abort if state == State::InTransaction => {
                session.state = State::Idle;
                let link = session.transaction.take().and_then(|transaction| transaction.link);
                self.settled(conn, orders);
                link.into_iter().for_each(|link| self.release(now, conn, link, orders));
                self.after_operation(now, conn, orders);
            }
            Text::Assign { name, value } => {
                if session.values.len() >= MOST_NAMES && !session.values.contains_key(name) {
                    return self.refuse(now, conn, Code::Oversize, "too many values", orders);
                }
                Rc::make_mut(&mut session.values).insert(name.to_string(), value.to_string());
                self.settled(conn, orders);
                self.rest_inside(now, conn);
            }
            Text::Define { name, mode, shape } => {
                if session.prepared.len() >= MOST_NAMES && !session.prepared.contains_key(name) {
                    return self.refuse(now, conn, Code::Oversize, "too many prepared names", orders);
                }
                session.prepared.insert(name.to_string(), (mode, shape.into()));
                self.settled(conn, orders);
                self.rest_inside(now, conn);
            }
            Text::Undefine { name } => {
                if session.prepared.remove(name).is_none() {
                    return self.refuse(now, conn, Code::Undefined, "there is no such name", orders);
                }
                self.settled(conn, orders);
                self.rest_inside(now, conn);
            }
            _ => self.refuse(now, conn, Code::Malformed, "not in this state", orders),
        }
    }

    /// A transaction that says nothing for too long is ended.
    pub(super) fn rest_inside(&mut self, now: Timestamp, conn: Conn) {
        let wait = self.configured.routes.limits.tx_idle_ms;
        if self.session(conn).is_none_or(|session| session.state != State::InTransaction) || wait <= 0.0 {
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
    pub(super) fn after_operation(&mut self, now: Timestamp, conn: Conn, orders: &mut Orders) {
        if self.closed_idle && self.session(conn).is_some_and(|s| s.is_at_rest() && s.queue.is_empty()) {
            self.end_session(now, conn, orders);
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
        orders: &mut Orders,
    ) {
        let Some(session) = self.session(conn) else { return };
        let mut define = None;
        let (mut text, mut writes) = (text.to_string(), false);
        match Text::read(&text) {
            Some(Text::Write) => writes = true,
            Some(Text::Run { name, rest }) => {
                let Some((mode, shape)) = session.prepared.get(name).cloned() else {
                    return self.refuse(now, conn, Code::Undefined, "there is no such name", orders);
                };
                writes = mode == Mode::Write;
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
            return self.refuse(now, conn, Code::ReadOnly, "the transaction only reads", orders);
        }
        let kind = match inside {
            None if writes => Kind::Write,
            None => Kind::Read,
            Some((_, Some(_))) => Kind::Later,
            Some((true, None)) => Kind::Read,
            Some((false, None)) => Kind::First,
        };
        self.start(now, conn, channel, Ask { id, text, kind, ends, writes, define }, orders);
    }

    fn shape(&mut self, mode: Mode, shape: &Rc<str>) -> u32 {
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
    pub define: Option<(u32, Mode, Rc<str>)>,
}
