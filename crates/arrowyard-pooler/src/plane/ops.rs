//! Statements between the module and the hosts: asked, sent, answered, given up.

use std::rc::Rc;

use arrowyard_config::{Channel, RouteKind as Freshness};
use arrowyard_protocol::{ExecutionStatus, FaultCode, TransactionState};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{
    HostId, HostStatus, OpId, OpRequest as Asked, Outcome, Role, RouterEvent, SendIndex, SendResult,
    SessionId, TenantId, TimeDelta, Timestamp,
};
use smallvec::SmallVec;

use super::clients::Ask;
use super::{Alarm, RouterPlane};
use crate::link::{Answered, Sent};
use crate::routes::Statement as Kind;
use crate::session::{Stage, Statement};

/// A statement is answered so long before its client or its route gives up.
const BEFORE: TimeDelta = TimeDelta::from_millis(8);
/// A statement waits for a connection for this part of its latency target; then it is given up while its client can
/// still come back.
const WAITS: f64 = 0.24;
/// So many later statements must be answered before an answer counts as lost; more where a transaction goes with it.
const OVERTAKEN: u32 = 4;
const OVERTAKEN_INSIDE: u32 = 8;
/// A transaction's statement is given so many times what its kind takes at most.
const INSIDE: f64 = 3.0;
/// Without an answer for so long, a primary is said not to answer.
pub const MUTE: TimeDelta = TimeDelta::from_millis(450);

impl RouterPlane {
    /// Hands a statement to the module.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        conn: Conn,
        channel: &Rc<Channel>,
        ask: Ask<'_>,
        commands: &mut Commands,
    ) {
        self.look_now_and_then(now, commands);
        let service = self.service_of(channel);
        let row = self.op_types.row(channel, ask.kind);
        if let Some(rows) = self.op_types.news() {
            self.note(now, RouterEvent::OpTypes(rows));
        }
        self.last_op += 1;
        let op = OpId(self.last_op);
        let group = self.module.want(now, &channel.service, &mut self.actions);
        let deadline = TimeDelta::from_micros((channel.deadline_ms * 1000.0) as i64);
        let Some(session) = self.session(conn) else { return };
        let link = session.transaction.as_ref().and_then(|transaction| transaction.link);
        let floor = session.token.map(|(_, sent)| sent).filter(|_| channel.kind == Freshness::OwnRegion);
        let pinned = link.and_then(|link| self.link(link)).map(|link| link.host);
        let statement = Statement {
            id: ask.id.to_string(),
            text: ask.text,
            op,
            op_type: row,
            channel: channel.clone(),
            service,
            waits: SmallVec::new(),
            kind: ask.kind,
            ends: ask.ends,
            writes: ask.writes,
            define: ask.define,
            arrived: now,
            sends: 0,
            host: None,
            link,
            fenced: false,
            timer: None,
            patience: TimeDelta::from_micros((channel.setpoint_ms * 1000.0) as i64) * WAITS,
            fault: None,
        };
        if let Some(session) = self.session(conn) {
            session.shift(Stage::Asks(Box::new(statement)));
        }
        self.ops.insert(op, conn);
        let due = now + (deadline - BEFORE).max(TimeDelta::from_millis(1));
        let session = Some(SessionId(conn.0));
        self.awaits(now, conn, channel);
        let tenant = Some(TenantId(service.0));
        let asked = Asked {
            op,
            op_type: row,
            tenant,
            group,
            session,
            min_position: floor,
            deadline: due,
            pinned_host: pinned,
            ..Asked::default()
        };
        self.note(now, RouterEvent::OpRequested(asked));
    }

    /// The module sends a statement to a host, until then.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        op: OpId,
        host: HostId,
        until: Timestamp,
        commands: &mut Commands,
    ) {
        let Some(&conn) = self.ops.get(&op) else { return self.moot(now, op, host) };
        let timer = self.timers.set(until, Alarm::Statement(conn));
        self.awaits_no_more(now, conn);
        let Some(statement) = self.session(conn).and_then(|session| session.asks()) else { return };
        let number = SendIndex(statement.sends);
        statement.sends += 1;
        statement.host = Some(host);
        let old = statement.timer.replace(timer);
        let (link, later) = (statement.link, statement.kind == Kind::Later);
        let service = statement.service;
        self.shares.meter.statement_started(now, host, service);
        old.into_iter().for_each(|key| self.timers.cancel(key));
        let sent = Sent { op, number, at: now, wired: None, service };
        match link.filter(|link| self.link(*link).is_some()) {
            // Its transaction holds a connection.
            Some(link) => self.hand_over(now, conn, link, sent, commands),
            None if later => self.revert(now, conn, sent, host, commands),
            None => self.acquire(now, conn, host, sent, commands),
        }
    }

    /// The connection of the statement's transaction is no more, and the statement has not run. Danger: on another
    /// connection it would run outside its transaction, and what came before it would be missing from the commit.
    fn revert(&mut self, now: Timestamp, conn: Conn, sent: Sent, host: HostId, commands: &mut Commands) {
        if let Some(transaction) = self.session(conn).and_then(|session| session.transaction.as_mut()) {
            transaction.link = None;
        }
        self.ended(now, sent, host, Outcome::NotSent, HostStatus::default(), true);
        let Some(statement) = self.finish(now, conn) else { return };
        self.answer(now, conn, &statement, FaultCode::Reverted, "the transaction was ended", commands);
        self.next_line(now, conn, commands);
    }

    /// A send that nobody waits for any more.
    fn moot(&mut self, now: Timestamp, op: OpId, host: HostId) {
        let ended = SendResult {
            op,
            send: SendIndex(0),
            host,
            outcome: Outcome::NotSent,
            elapsed: TimeDelta::ZERO,
            op_finished: true,
            status: HostStatus::default(),
        };
        self.note(now, RouterEvent::SendEnded(ended));
    }

    /// Tells the module how a send ended.
    pub(super) fn ended(
        &mut self,
        now: Timestamp,
        sent: Sent,
        host: HostId,
        outcome: Outcome,
        word: HostStatus,
        finished: bool,
    ) {
        let took = now - sent.at;
        self.shares.meter.statement_ended(now, host, sent.service, outcome.is_answer().then_some(took));
        if !finished && let Some(&conn) = self.ops.get(&sent.op) {
            self.waits_again(now, conn);
        }
        let ended = SendResult {
            op: sent.op,
            send: sent.number,
            host,
            outcome,
            elapsed: took,
            op_finished: finished,
            status: word,
        };
        self.note(now, RouterEvent::SendEnded(ended));
    }

    /// A host has answered the statement that a session waits for.
    pub(super) fn answered(
        &mut self,
        now: Timestamp,
        link: Conn,
        sent: Sent,
        answer: Answered,
        commands: &mut Commands,
    ) {
        let Some(&conn) = self.ops.get(&sent.op) else {
            return self.answered_nobody(now, link, sent, &answer);
        };
        let Some(host) = self.link(link).map(|link| link.host) else { return };
        let known = self.module.host(host);
        let (id, service) = (known.host.id.clone(), known.host.service.clone());
        let wired = sent.wired.unwrap_or(sent.at);
        let Some(statement) = self.session(conn).and_then(|session| session.asks()) else { return };
        let (kind, writes, ends, fenced) =
            (statement.kind, statement.writes, statement.ends, statement.fenced);
        let inside =
            self.session(conn).is_some_and(|session| session.state == TransactionState::InTransaction);
        let transaction = self.session(conn).and_then(|session| session.transaction.as_ref());
        let reads = transaction
            .is_some_and(|transaction| transaction.reads && transaction.channel.kind != Freshness::Primary);
        let wrote = transaction.is_some_and(|transaction| transaction.wrote);
        if answer.fault.is_none()
            && let Some(wired) = sent.wired
        {
            let kind =
                self.session(conn).and_then(|session| session.asks()).map(|statement| statement.op_type);
            kind.into_iter().for_each(|kind| self.latencies.record(kind, now - wired));
            self.overtake(now, host, wired, commands);
        }
        // An answer inside a plain transaction, or to a write, shows that the host led as it ran the statement. Safety: the
        // commit of a transaction that wrote nothing succeeds also at a host that has lost the lead meanwhile.
        let led = if inside { !reads && (wrote || !ends) } else { writes || fenced };
        let commits = if inside { ends && wrote } else { writes };
        let mut answer = answer;
        if answer.fault.is_none() && commits && self.replacements.forbids(now, &service, &id) {
            answer.fault = Some((FaultCode::Unknown, "its host is being replaced".to_string()));
        }
        match answer.fault {
            None => {
                if led && let Some(position) = answer.position {
                    self.timelines.entry(service.clone()).or_default().record(wired, position);
                }
                let time =
                    answer.position.and_then(|position| self.timelines.get(&service)?.fresh_until(position));
                let role = led.then_some(Role::Primary);
                self.ended(
                    now,
                    sent,
                    host,
                    Outcome::Acked,
                    HostStatus { role, position: time, ..HostStatus::default() },
                    true,
                );
                if commits
                    && led
                    && let Some(position) = answer.position
                {
                    self.session(conn)
                        .into_iter()
                        .for_each(|session| session.token = Some((position, wired)));
                }
                self.succeed(now, conn, link, &answer, commands);
            }
            Some((code, text)) => {
                let role = (code == FaultCode::ReadOnly).then_some(Role::Replica);
                let time =
                    answer.position.and_then(|position| self.timelines.get(&service)?.fresh_until(position));
                let word = HostStatus {
                    role,
                    position: time.filter(|_| code == FaultCode::Lagging),
                    ..HostStatus::default()
                };
                let outcome = match code {
                    FaultCode::Saturated | FaultCode::Overload => Outcome::Overloaded,
                    code if code.execution_status() == ExecutionStatus::NotRun => Outcome::Misrouted,
                    _ => Outcome::Errored,
                };
                let again = kind != Kind::Later && !(code == FaultCode::Failed && kind == Kind::Write);
                let again = again && (outcome != Outcome::Errored || kind != Kind::Write);
                log::debug!("hosts: {id}: {} {text}.", code.as_str());
                if let Some(statement) = self.session(conn).and_then(|session| session.asks()) {
                    statement.fault = Some((code, text));
                    statement.link = None;
                }
                // What is not done for is answered by the module's next word; else at once, with the host's own.
                self.ended(now, sent, host, outcome, word, !again);
                if again {
                    self.release(now, conn, link, commands);
                } else {
                    self.answer_fault(now, conn, Some(link), commands);
                }
            }
        }
    }

    /// A statement that went out then is answered: those that went out earlier are one further behind.
    fn overtake(&mut self, now: Timestamp, host: HostId, wired: Timestamp, commands: &mut Commands) {
        let mut behind = Vec::new();
        for (conn, line) in &mut self.lines {
            if let super::Line::HostConnection(link) = line
                && link.host == host
                && let Some(sent) = &link.sent
                && sent.wired.is_some_and(|earlier| earlier < wired)
            {
                link.overtaken += 1;
                if link.overtaken >= OVERTAKEN {
                    behind.push(*conn);
                }
            }
        }
        behind.sort_unstable();
        behind.into_iter().for_each(|conn| self.look_for_lost(now, conn, commands));
    }

    /// Whether an answer is lost: many that were asked later are there, and it takes longer than its kind ever does.
    /// What can be asked again is; a transaction whose commit was not sent is broken off, and nothing of it is kept.
    pub(super) fn look_for_lost(&mut self, now: Timestamp, link: Conn, commands: &mut Commands) {
        let Some(held) = self.link(link) else { return };
        let (Some(sent), overtaken) = (held.sent, held.overtaken) else { return };
        let Some(wired) = sent.wired else { return };
        let Some(&conn) = self.ops.get(&sent.op) else { return };
        let Some(statement) = self.session(conn).and_then(|session| session.asks()) else { return };
        let (kind, ends, op_type) = (statement.kind, statement.ends, statement.op_type);
        // Where answers were lost a moment ago, less is needed to believe it of one more.
        let host = self.link(link).map(|link| link.host);
        let inside = kind == Kind::Later && !host.is_some_and(|host| self.loses_answers(now, host));
        // Danger: what may have been committed cannot be asked again, nor can anything be promised of it.
        if kind == Kind::Write || ends || overtaken < if inside { OVERTAKEN_INSIDE } else { OVERTAKEN } {
            return;
        }
        let late = wired + self.latencies.high_quantile(op_type) * if inside { INSIDE } else { 1.0 };
        if now < late {
            self.timers.set(late, Alarm::Lost(link));
            return;
        }
        log::debug!("hosts: An answer is taken as lost.");
        self.lost_answer(now, link);
        self.drop_link(now, link, commands);
    }

    /// The answer of a host to somebody who is gone.
    pub(super) fn answered_nobody(&mut self, now: Timestamp, link: Conn, sent: Sent, answer: &Answered) {
        if let Some(host) = self.link(link).map(|link| link.host) {
            let outcome = if answer.fault.is_some() { Outcome::Errored } else { Outcome::Acked };
            self.ended(now, sent, host, outcome, HostStatus::default(), true);
        }
    }

    /// Takes the statement that a session waits for; its timer and its number are given back.
    pub(super) fn finish(&mut self, now: Timestamp, conn: Conn) -> Option<Box<Statement>> {
        let session = self.session(conn)?;
        if !matches!(session.stage, Stage::Asks(_)) {
            return None;
        }
        self.awaits_no_more(now, conn);
        let session = self.session(conn)?;
        let Stage::Asks(statement) = session.shift(Stage::Rests) else { return None };
        statement.timer.into_iter().for_each(|key| self.timers.cancel(key));
        self.ops.remove(&statement.op);
        Some(statement)
    }

    fn succeed(
        &mut self,
        now: Timestamp,
        conn: Conn,
        link: Conn,
        answer: &Answered,
        commands: &mut Commands,
    ) {
        let Some(statement) = self.finish(now, conn) else { return };
        let Some(session) = self.session(conn) else { return };
        let mut over = true;
        if statement.ends {
            session.state = TransactionState::Idle;
            session.transaction = None;
        } else if let Some(transaction) = &mut session.transaction {
            transaction.link = Some(link);
            transaction.wrote |= statement.writes;
            over = false;
        }
        let letter = session.state.letter();
        let stamp = answer.stamp.as_deref().unwrap_or("-");
        let position = answer.position.map_or("-".to_string(), |position| position.to_string());
        commands.write(conn, &[&answer.rows]);
        commands.write_line(conn, &["SETTLED ", stamp]);
        commands.write_line(conn, &["IDLE ", letter, " ", &position]);
        if over {
            self.release(now, conn, link, commands);
        } else {
            self.rest_inside(now, conn);
        }
        self.next_line(now, conn, commands);
    }

    /// Answers with the fault that a host gave last. The transaction that it happened in has failed.
    fn answer_fault(&mut self, now: Timestamp, conn: Conn, link: Option<Conn>, commands: &mut Commands) {
        let Some(statement) = self.finish(now, conn) else { return };
        let (code, text) =
            statement.fault.clone().unwrap_or((FaultCode::Unknown, "no answer of the host".to_string()));
        let code = if code == FaultCode::Other { FaultCode::Unknown } else { code };
        self.answer(now, conn, &statement, code, &text, commands);
        link.into_iter().for_each(|link| self.release(now, conn, link, commands));
        self.next_line(now, conn, commands);
    }

    /// A fault as the answer to a statement; a transaction has failed with it, or ended if it was its commit.
    fn answer(
        &mut self,
        now: Timestamp,
        conn: Conn,
        statement: &Statement,
        code: FaultCode,
        text: &str,
        commands: &mut Commands,
    ) {
        commands.write_line(conn, &["FAULT ", code.as_str(), " ", text]);
        let Some(session) = self.session(conn) else { return };
        if session.state == TransactionState::InTransaction {
            if statement.ends {
                session.state = TransactionState::Idle;
                let transaction = session.transaction.take();
                if let Some(link) = transaction.and_then(|transaction| transaction.link) {
                    self.release(now, conn, link, commands);
                }
            } else {
                self.fail_transaction(now, conn, commands);
            }
        }
        let letter = self.session(conn).map_or("I", |session| session.state.letter());
        commands.write_line(conn, &["IDLE ", letter, " -"]);
    }

    /// The module gives a statement up that has not run: its client hears when to come back.
    pub(super) fn give_up(
        &mut self,
        now: Timestamp,
        op: OpId,
        after: Option<TimeDelta>,
        commands: &mut Commands,
    ) {
        let Some(&conn) = self.ops.get(&op) else { return };
        let Some(statement) = self.finish(now, conn) else { return };
        // Danger: a commit that stays behind on its connection is rolled back, or it is no promise.
        let millis = after.unwrap_or(crate::module::COME_BACK).micros() / 1000;
        let text = format!("come back in {millis} ms");
        self.answer(now, conn, &statement, FaultCode::Saturated, &text, commands);
        self.next_line(now, conn, commands);
    }

    /// The module has no more to try, and the statement may have run.
    pub(super) fn fail(&mut self, now: Timestamp, op: OpId, commands: &mut Commands) {
        let Some(&conn) = self.ops.get(&op) else { return };
        self.answer_fault(now, conn, None, commands);
    }

    /// A statement's time is up.
    pub(super) fn statement_late(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(statement) = self.session(conn).and_then(|session| session.asks()) else { return };
        statement.timer = None;
        let (op, host, link, kind) = (statement.op, statement.host, statement.link, statement.kind);
        let Some(host) = host else { return };
        let sent =
            link.and_then(|link| self.link(link)).and_then(|link| link.sent).filter(|sent| sent.op == op);
        match sent.filter(|sent| sent.wired.is_some()) {
            Some(sent) => {
                let link = link.expect("it was found there");
                // The host goes on; its connection is of use again once it has answered.
                if let Some(link) = self.link(link) {
                    link.sent = None;
                }
                self.ended(now, sent, host, Outcome::TimedOut, HostStatus::default(), true);
                let Some(statement) = self.finish(now, conn) else { return };
                let writes = kind == Kind::Write || statement.ends;
                let code = if writes { FaultCode::Unknown } else { FaultCode::Expired };
                if self.link(link).is_some_and(|link| link.overtaken >= OVERTAKEN) {
                    // What was asked later is long there: this answer will not come.
                    self.drop_link(now, link, commands);
                } else {
                    self.orphan(now, conn, link);
                }
                if let Some(transaction) = self.session(conn).and_then(|session| session.transaction.as_mut())
                {
                    transaction.link = None;
                }
                self.answer(now, conn, &statement, code, "the host did not answer in time", commands);
                self.next_line(now, conn, commands);
            }
            None => {
                // It has not gone out: nothing of it ran.
                let sent = self.withdraw(now, conn, host, op, link, commands);
                match sent {
                    Some(sent) if kind == Kind::Later => self.revert(now, conn, sent, host, commands),
                    Some(sent) => self.ended(now, sent, host, Outcome::NotSent, HostStatus::default(), false),
                    None => {}
                }
            }
        }
    }

    /// Whoever asked is gone. A statement that has not gone out does not run; one that has is let run.
    pub(super) fn abandon(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(statement) = self.finish(now, conn) else { return };
        self.hang_up(now, statement.op);
        let Some(host) = statement.host else { return };
        let on_wire = statement.link.and_then(|link| self.link(link)).and_then(|link| link.sent);
        match on_wire.filter(|sent| sent.op == statement.op && sent.wired.is_some()) {
            Some(_) => {
                if let Some(transaction) = self.session(conn).and_then(|session| session.transaction.as_mut())
                {
                    transaction.link = None;
                }
                if let Some(link) = statement.link {
                    self.orphan(now, conn, link);
                }
            }
            None => {
                let sent = self.withdraw(now, conn, host, statement.op, statement.link, commands);
                if let Some(sent) = sent {
                    self.ended(now, sent, host, Outcome::NotSent, HostStatus::default(), true);
                }
            }
        }
    }

    /// The connection that a statement was on, or was to go on, is no more.
    pub(super) fn broke(
        &mut self,
        now: Timestamp,
        conn: Conn,
        sent: Sent,
        host: HostId,
        never: bool,
        commands: &mut Commands,
    ) {
        let Some(statement) = self.session(conn).and_then(|session| session.asks()) else { return };
        statement.link = None;
        let kind = statement.kind;
        let ran = sent.wired.is_some() && !never;
        let outcome = match (ran, never) {
            (true, _) => Outcome::Reset,
            (false, true) => Outcome::ConnectFailed,
            (false, false) => Outcome::NotSent,
        };
        if kind == Kind::Later {
            // The transaction is gone with its connection, and nothing of it is kept, unless its commit was on it.
            let ends = statement.ends;
            let (code, text) = match (ends, ran) {
                (true, true) => (FaultCode::Unknown, "the connection broke at the commit"),
                _ => (FaultCode::Reverted, "the connection broke"),
            };
            if let Some(transaction) = self.session(conn).and_then(|session| session.transaction.as_mut()) {
                transaction.link = None;
            }
            self.ended(now, sent, host, outcome, HostStatus::default(), true);
            let Some(statement) = self.finish(now, conn) else { return };
            self.answer(now, conn, &statement, code, text, commands);
            return self.next_line(now, conn, commands);
        }
        // Danger: the first statement of a transaction runs inside it, and its end rolls it back; but a commit alone
        // may have been all there is.
        let commit = statement.ends && ran;
        if commit {
            statement.fault = Some((FaultCode::Unknown, "the connection broke at the commit".to_string()));
        } else if ran {
            statement.fault = Some((FaultCode::Unknown, "the connection broke".to_string()));
        }
        self.ended(now, sent, host, outcome, HostStatus::default(), commit);
        if commit {
            self.answer_fault(now, conn, None, commands);
        }
    }

    /// Whether the session's statement needs a host that leads, or one that has what the statement must see.
    pub(super) fn floor_of(&self, conn: Conn) -> Option<Floor> {
        let Some(super::Line::Client(session)) = self.lines.get(&conn) else { return None };
        let Stage::Asks(statement) = &session.stage else { return None };
        let channel = &statement.channel;
        let (reads, began) = match &session.transaction {
            Some(transaction) => (transaction.reads, transaction.began),
            None => (!statement.writes, statement.arrived),
        };
        if !reads || channel.kind == Freshness::Primary {
            return Some(Floor::Lead);
        }
        let bound = TimeDelta::from_micros((channel.staleness_bound_ms * 1000.0) as i64);
        let known = self
            .timelines
            .get(&channel.service)
            .and_then(|timeline| timeline.position_covering(began - bound));
        let own =
            session.token.map(|(position, _)| position).filter(|_| channel.kind == Freshness::OwnRegion);
        Some(match known {
            Some(known) => Floor::After(own.map_or(known, |own| known.max(own))),
            // Nothing is known of what it must see: the primary has it all.
            None => Floor::Lead,
        })
    }
}

/// What a host must be to run a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Floor {
    /// It must lead as it runs it.
    Lead,
    /// It must have this position.
    After(arrowyard_protocol::Position),
}
