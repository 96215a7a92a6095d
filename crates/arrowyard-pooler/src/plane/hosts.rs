//! Connections to hosts: pools under the hosts' limit, shared by all routers; dressed for the session that has them.

use std::collections::VecDeque;

use arrowyard_protocol::{FaultCode, INTERNAL_STATEMENT_ID, Position, Response, TransactionState};
use arrowyard_runtime::{CloseReason, Commands, Conn};
use arrowyard_types::{HostId, HostStatus, OpId, Outcome, Role, RouterEvent, TimeDelta, Timestamp};

use super::ops::{Floor, MUTE};
use super::{Alarm, Line, RouterPlane};
use crate::link::{Answered, ExpectedReply, HostConnection, Sent, Stage};

/// A connection that is not open by then is given up; so is an orphan that is not answered by then.
const OPENS: TimeDelta = TimeDelta::from_millis(1000);
pub(super) const ORPHAN: TimeDelta = TimeDelta::from_millis(3000);
/// So many idle connections to a host are kept however long they rest; more are closed after so long.
const SPARE: usize = 2;
const RESTED: TimeDelta = TimeDelta::from_millis(3000);
/// For so long a host that lost an answer is taken to lose more.
const LOSING: TimeDelta = TimeDelta::from_millis(4000);
/// The part of a host's connections that routers share; the rest is for control's questions, and for routers that
/// come and have not been counted.
const SHARED: f64 = 0.85;
/// Connections of one router to a host of which no limit is told.
const LIMIT: u32 = 32;
/// Where a host's connections are fewer than the routers that share them: a router's connections rest for so long that
/// idle ones take this part of its share; the rest is for transactions, which hold theirs while their clients pause.
/// Tried on a grown day of 83 routers before 57 connections: 0.8, 0.4 and 0.25 served 0.88, 0.97 and 0.98.
/// And a router has so many at a time, if the host lets it in.
const HELD: f64 = 0.25;
const AT_ONCE: usize = 2;
/// How often a host is asked of is averaged over so many times; the rest of a connection is in these bounds.
const RATE: f64 = 0.125;
const REST_LEAST: TimeDelta = TimeDelta::from_millis(40);
const REST_MOST: TimeDelta = TimeDelta::from_millis(10_000);
/// A longer row of answers than this is no answer of a host.
const MOST_ROWS: usize = 8 << 20;

/// One host's connections.
#[derive(Default)]
pub struct Pool {
    /// Idle ones, the last used last.
    idle: Vec<Conn>,
    all: usize,
    opening: usize,
    pub(super) waiting: VecDeque<(Conn, Sent)>,
    /// Since when something is asked of it and nothing is heard.
    mute_since: Option<Timestamp>,
    failures: u32,
    /// When an answer of it was lost last.
    lost_at: Timestamp,
    /// When a connection to it was asked for last, and the mean time between.
    asked_at: Timestamp,
    gap: TimeDelta,
}

impl RouterPlane {
    /// What part of a host's connections is this router's; below one where routers are more than connections.
    fn part(&self, host: HostId) -> f64 {
        let service = &self.module.host(host).host.service;
        let limit = self.configured.routes.service(service).map_or(LIMIT, |service| service.conn_limit);
        f64::from(limit) * SHARED / f64::from(self.routers)
    }

    /// How many connections this router may have to a host.
    fn share(&self, host: HostId) -> usize {
        let part = self.part(host);
        if part < 1.0 { AT_ONCE } else { part as usize }
    }

    /// How long an idle connection to a host is kept; nothing: for good. Danger: of 83 routers that each keep one of 57
    /// connections for good, those that come last are never let in. A router that asks once in `gap` and keeps a
    /// connection for `rest` holds it for 1 - exp(-rest / gap) of the time; that is set to `HELD` of its part.
    fn rest_of(&self, host: HostId) -> Option<TimeDelta> {
        let part = self.part(host);
        let gap = self.pools[host.0 as usize].gap;
        (part < 1.0).then(|| (gap * -(1.0 - part * HELD).ln()).clamp(REST_LEAST, REST_MOST))
    }

    /// Finds a connection for a statement, or opens one, or lets it wait for one.
    pub(super) fn acquire(
        &mut self,
        now: Timestamp,
        conn: Conn,
        host: HostId,
        sent: Sent,
        commands: &mut Commands,
    ) {
        let values = self.session(conn).map(|session| session.values.clone()).unwrap_or_default();
        let share = self.share(host);
        let pool = &mut self.pools[host.0 as usize];
        let gap = (now - pool.asked_at).min(REST_MOST);
        pool.gap = if pool.gap == TimeDelta::ZERO { gap } else { pool.gap + (gap - pool.gap) * RATE };
        pool.asked_at = now;
        let idle = std::mem::take(&mut pool.idle);
        // Of several, one that holds the session's values already; else the one that was used last.
        let dressed = |link: &Conn| match self.lines.get(link) {
            Some(Line::HostConnection(link)) => link.values == values,
            _ => false,
        };
        let place = idle.iter().rposition(dressed).or(idle.len().checked_sub(1));
        self.pools[host.0 as usize].idle = idle;
        if let Some(place) = place {
            let link = self.pools[host.0 as usize].idle.remove(place);
            return self.hand_over(now, conn, link, sent, commands);
        }
        let Some(patience) = self.session(conn).and_then(|session| session.asks()).map(|asks| asks.patience)
        else {
            return;
        };
        self.timers.set(now + patience, Alarm::Waits(conn, sent.op));
        let pool = &mut self.pools[host.0 as usize];
        pool.waiting.push_back((conn, sent));
        if pool.all < share && pool.opening < pool.waiting.len() {
            self.dial(now, host, commands);
        }
    }

    /// A statement has waited for a connection for as long as it may. A read may have another host; all else is given
    /// up, while its client can still ask elsewhere.
    pub(super) fn waits_too_long(&mut self, now: Timestamp, conn: Conn, op: OpId, commands: &mut Commands) {
        let Some(statement) = self.session(conn).and_then(|session| session.asks()) else { return };
        let (host, reads) = (statement.host, statement.kind == crate::routes::Statement::Read);
        let Some(host) = host else { return };
        let elsewhere = reads && self.floor_of(conn) != Some(Floor::Lead);
        let pool = &mut self.pools[host.0 as usize];
        if let Some(place) = pool.waiting.iter().position(|(_, sent)| sent.op == op)
            && let Some((_, sent)) = pool.waiting.remove(place)
        {
            self.ended(now, sent, host, Outcome::Overloaded, HostStatus::default(), !elsewhere);
            if !elsewhere {
                self.give_up(now, op, None, commands);
            }
        }
    }

    /// One of a host's connections that rest, for whoever asks.
    pub(super) fn take_idle(&mut self, host: HostId) -> Option<Conn> {
        self.pools[host.0 as usize].idle.pop()
    }

    pub(super) fn dial(&mut self, now: Timestamp, host: HostId, commands: &mut Commands) -> Conn {
        let conn = commands.dial(self.module.host(host).address);
        self.lines.insert(conn, Line::HostConnection(Box::new(HostConnection::new(conn, host, now))));
        self.timers.set(now + OPENS, Alarm::HostConnection(conn));
        let pool = &mut self.pools[host.0 as usize];
        pool.all += 1;
        pool.opening += 1;
        conn
    }

    pub(super) fn opened(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        match self.lines.get(&conn) {
            Some(Line::Feed) => self.feed_opened(now, conn, commands),
            Some(Line::HostConnection(link)) => {
                let host = &self.module.host(link.host).host;
                commands.write_line(conn, &["OPEN ", &host.service, " sluice ", &host.id]);
            }
            _ => {}
        }
    }

    /// Gives a session a connection, which is made to hold the session's values first.
    pub(super) fn hand_over(
        &mut self,
        now: Timestamp,
        conn: Conn,
        link: Conn,
        sent: Sent,
        commands: &mut Commands,
    ) {
        let floor = self.floor_of(conn);
        let Some(session) = self.session(conn) else { return };
        let values = session.values.clone();
        let inside = session.transaction.as_ref().map(|transaction| transaction.link.is_some());
        let Some(statement) = session.asks() else { return };
        statement.link = Some(link);
        let define = statement.define.clone();
        let fenced = inside.is_none() && !statement.writes && floor == Some(Floor::Lead);
        statement.fenced = fenced;
        let begins = fenced || inside == Some(false);
        let Some(held) = self.link(link) else { return };
        held.shift(now, Stage::Held(conn));
        held.sent = Some(sent);
        held.service = Some(sent.service);
        let dress =
            held.dress(&values, define.as_ref().map(|(number, mode, shape)| (*number, *mode, &**shape)));
        for text in &dress {
            held.expect.push_back(ExpectedReply::Dress);
            commands.write_line(link, &["QUERY ", INTERNAL_STATEMENT_ID, " ", text]);
        }
        if begins {
            held.expect.push_back(ExpectedReply::Begin);
            match floor {
                Some(Floor::After(position)) => {
                    commands.write_line(
                        link,
                        &["QUERY ", INTERNAL_STATEMENT_ID, " AFTER ", &position.to_string(), " BEGIN READ"],
                    );
                }
                // A plain transaction fails where its host does not lead any more; one that only reads does not.
                _ => commands.write_line(link, &["QUERY ", INTERNAL_STATEMENT_ID, " BEGIN"]),
            }
        }
        self.mute(now, link, commands);
        if dress.is_empty() && !begins {
            self.put_out(now, conn, link, commands);
        }
    }

    /// Sends the statement itself, once all that has to come before it is answered.
    fn put_out(&mut self, now: Timestamp, conn: Conn, link: Conn, commands: &mut Commands) {
        let floor = self.floor_of(conn);
        let Some(session) = self.session(conn) else { return };
        let inside = session.transaction.is_some();
        let Some(statement) = session.asks() else { return };
        let (id, text, fenced) = (statement.id.clone(), statement.text.clone(), statement.fenced);
        let Some(held) = self.link(link) else { return };
        if let Some(sent) = &mut held.sent {
            sent.wired = Some(now);
        }
        held.overtaken = 0;
        held.expect.push_back(ExpectedReply::Client);
        match floor {
            Some(Floor::After(position)) if !inside => {
                commands.write_line(link, &["QUERY ", &id, " AFTER ", &position.to_string(), " ", &text]);
            }
            _ => commands.write_line(link, &["QUERY ", &id, " ", &text]),
        }
        if fenced {
            held.expect.push_back(ExpectedReply::Abort);
            commands.write_line(link, &["QUERY ", INTERNAL_STATEMENT_ID, " ABORT"]);
        }
    }

    /// Something is asked of a host. If nothing was heard of it for too long, and it leads, control hears of it.
    fn mute(&mut self, now: Timestamp, link: Conn, commands: &mut Commands) {
        let Some(host) = self.link(link).map(|link| link.host) else { return };
        let pool = &mut self.pools[host.0 as usize];
        let since = *pool.mute_since.get_or_insert(now);
        if now - since >= MUTE {
            self.suspect_primary(now, host, commands);
        }
    }

    fn suspect_primary(&mut self, now: Timestamp, host: HostId, commands: &mut Commands) {
        let known = self.module.host(host).host.clone();
        if known.role() == arrowyard_messages::DbRole::Primary {
            self.suspect(now, &known, commands);
        }
    }

    pub(super) fn link_came(&mut self, now: Timestamp, conn: Conn, bytes: &[u8], commands: &mut Commands) {
        if let Some(link) = self.link(conn) {
            link.lines.put(bytes);
            let host = link.host;
            let pool = &mut self.pools[host.0 as usize];
            (pool.mute_since, pool.failures) = (None, 0);
        }
        loop {
            let Some(link) = self.link(conn) else { return };
            let line = match link.lines.take() {
                Ok(Some(line)) => line,
                Ok(None) => return,
                Err(_) => return self.drop_link(now, conn, commands),
            };
            let Some(answer) = std::str::from_utf8(&line).ok().and_then(Response::parse) else {
                return self.drop_link(now, conn, commands);
            };
            match answer {
                Response::Row(_) => {
                    link.rows.extend_from_slice(&line);
                    link.rows.extend_from_slice(b"\r\n");
                    if link.rows.len() > MOST_ROWS {
                        return self.drop_link(now, conn, commands);
                    }
                }
                Response::Settled(stamp) => link.stamp = Some(stamp.to_string()),
                Response::Fault { code, text } => {
                    link.fault = Some((code, text.to_string()));
                    if link.expect.front() == Some(&ExpectedReply::Open) {
                        return self.not_let_in(now, conn, code, commands);
                    }
                }
                Response::Idle { state, position } => self.link_idle(now, conn, state, position, commands),
            }
        }
    }

    /// A host that does not let a connection in.
    fn not_let_in(&mut self, now: Timestamp, conn: Conn, code: FaultCode, commands: &mut Commands) {
        let Some(host) = self.link(conn).map(|link| link.host) else { return };
        self.forget_link(conn);
        commands.reset(conn);
        let full = matches!(code, FaultCode::Overload | FaultCode::Saturated);
        let outcome = if full { Outcome::Overloaded } else { Outcome::Misrouted };
        if let Some((session, sent)) = self.pools[host.0 as usize].waiting.pop_front() {
            self.ended(now, sent, host, outcome, HostStatus::default(), false);
            let _ = session;
        }
        self.fail_stranded(now, host, outcome);
    }

    /// Without a connection, open or under way, nobody waits for one.
    fn fail_stranded(&mut self, now: Timestamp, host: HostId, outcome: Outcome) {
        while self.pools[host.0 as usize].all == 0 {
            let Some((_, sent)) = self.pools[host.0 as usize].waiting.pop_front() else { return };
            self.ended(now, sent, host, outcome, HostStatus::default(), false);
        }
    }

    /// A host is done with one statement on a connection.
    fn link_idle(
        &mut self,
        now: Timestamp,
        conn: Conn,
        state: TransactionState,
        position: Option<Position>,
        commands: &mut Commands,
    ) {
        let Some(link) = self.link(conn) else { return };
        let host = link.host;
        link.in_transaction = state != TransactionState::Idle;
        let (rows, stamp, fault) = (std::mem::take(&mut link.rows), link.stamp.take(), link.fault.take());
        let answer =
            Answered { rows, stamp, fault, position, in_transaction: state != TransactionState::Idle };
        let Some(expected) = link.expect.pop_front() else { return self.drop_link(now, conn, commands) };
        match expected {
            ExpectedReply::Open => {
                let has_question = link.aside.is_some();
                self.pools[host.0 as usize].opening -= 1;
                if has_question {
                    self.send_aside(now, conn, commands);
                } else {
                    self.rest(now, conn, commands);
                }
            }
            ExpectedReply::Dress if answer.fault.is_some() => self.drop_link(now, conn, commands),
            ExpectedReply::Dress => self.dressed(now, conn, commands),
            ExpectedReply::Begin => match answer.fault {
                None => self.dressed(now, conn, commands),
                Some(_) => {
                    // Danger: a statement behind a BEGIN that failed would run outside its transaction. It is not sent.
                    if let (Stage::Held(_), Some(sent)) = (link.stage, link.sent.take()) {
                        self.answered(now, conn, sent, answer, commands);
                    } else {
                        self.tidy(now, conn, commands);
                    }
                }
            },
            // Danger: its own answer was lost, and this is the next one's. Whoever took it for its own would tell a client
            // of a success without the host's stamp; and every later answer would be a place off.
            ExpectedReply::Client
                if answer.fault.is_none()
                    && answer.stamp.as_deref().is_none_or(|stamp| stamp == INTERNAL_STATEMENT_ID) =>
            {
                self.drop_link(now, conn, commands);
            }
            ExpectedReply::Client => {
                let (stage, sent) = (link.stage, link.sent.take());
                match (stage, sent) {
                    (Stage::Held(_), Some(sent)) => self.answered(now, conn, sent, answer, commands),
                    (_, Some(sent)) => {
                        self.answered_nobody(now, conn, sent, &answer);
                        self.tidy(now, conn, commands);
                    }
                    (_, None) => self.tidy(now, conn, commands),
                }
            }
            ExpectedReply::Abort => self.tidy(now, conn, commands),
            ExpectedReply::Aside => {
                self.aside_answered(conn, host, &answer, commands);
                self.tidy(now, conn, commands);
            }
            ExpectedReply::Observe => {
                self.observed(now, host, &answer);
                self.tidy(now, conn, commands);
            }
        }
    }

    pub(super) fn lost_answer(&mut self, now: Timestamp, link: Conn) {
        if let Some(host) = self.link(link).map(|link| link.host) {
            self.pools[host.0 as usize].lost_at = now;
        }
    }

    pub(super) fn loses_answers(&self, now: Timestamp, host: HostId) -> bool {
        now - self.pools[host.0 as usize].lost_at < LOSING
    }

    /// One of the things that come before a statement is done.
    fn dressed(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(link) = self.link(conn) else { return };
        match link.stage {
            Stage::Held(session) if link.expect.is_empty() => self.put_out(now, session, conn, commands),
            Stage::Held(_) => {}
            _ => self.tidy(now, conn, commands),
        }
    }

    /// A session needs its connection no more. Danger: one that gives it back twice takes it from whoever has it by then,
    /// and two sessions speak on it; so only its holder can.
    pub(super) fn release(&mut self, now: Timestamp, session: Conn, conn: Conn, commands: &mut Commands) {
        if self.orphan(now, session, conn) {
            self.tidy(now, conn, commands);
        }
    }

    /// Nobody waits for what a session's connection still answers; whether it had it.
    pub(super) fn orphan(&mut self, now: Timestamp, session: Conn, conn: Conn) -> bool {
        let Some(link) = self.link(conn).filter(|link| link.stage == Stage::Held(session)) else {
            return false;
        };
        link.shift(now, Stage::Orphan);
        if !link.expect.is_empty() {
            self.timers.set(now + ORPHAN, Alarm::HostConnection(conn));
        }
        true
    }

    /// Rolls back what is left on an orphan, and lets it rest once all is answered.
    fn tidy(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(link) = self.link(conn) else { return };
        if link.stage != Stage::Orphan || !link.expect.is_empty() {
            return;
        }
        if link.in_transaction {
            link.expect.push_back(ExpectedReply::Abort);
            commands.write_line(conn, &["QUERY ", INTERNAL_STATEMENT_ID, " ABORT"]);
            self.timers.set(now + ORPHAN, Alarm::HostConnection(conn));
            return;
        }
        self.rest(now, conn, commands);
    }

    /// A connection is free: whoever waits longest gets it.
    pub(super) fn rest(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(link) = self.link(conn) else { return };
        link.shift(now, Stage::Idle);
        let host = link.host;
        if !self.pools[host.0 as usize].waiting.is_empty() {
            let place = self.next_waiting(host);
            if let Some((session, sent)) = self.pools[host.0 as usize].waiting.remove(place) {
                return self.hand_over(now, session, conn, sent, commands);
            }
        }
        let share = self.share(host);
        let gone = self.module.host(host).host.phase() == arrowyard_messages::Phase::Gone;
        if gone || self.pools[host.0 as usize].all > share {
            self.close_link(conn, commands);
        } else {
            self.pools[host.0 as usize].idle.push(conn);
            if let Some(rest) = self.rest_of(host) {
                self.timers.set(now + rest, Alarm::Rested(host));
            }
        }
    }

    fn close_link(&mut self, conn: Conn, commands: &mut Commands) {
        self.forget_link(conn);
        commands.write_line(conn, &["CLOSE"]);
        commands.close(conn);
    }

    fn forget_link(&mut self, conn: Conn) -> Option<Box<HostConnection>> {
        let Some(Line::HostConnection(link)) = self.lines.remove(&conn) else { return None };
        let pool = &mut self.pools[link.host.0 as usize];
        pool.all -= 1;
        pool.opening -= usize::from(link.expect.front() == Some(&ExpectedReply::Open));
        pool.idle.retain(|idle| *idle != conn);
        Some(link)
    }

    /// Fewer connections are this router's share: idle ones go first, the others as they are given back.
    pub(super) fn trim_pools(&mut self, _now: Timestamp, commands: &mut Commands) {
        for host in 0..self.pools.len() {
            let share = self.share(HostId(host as u32));
            while self.pools[host].all > share && !self.pools[host].idle.is_empty() {
                let conn = self.pools[host].idle[0];
                self.close_link(conn, commands);
            }
        }
    }

    /// Connections that were of use in a rush are closed when it is over. Danger: a host counts the connections of
    /// routers that lost power for seconds more; if those are all that it takes, nobody gets in meanwhile.
    pub(super) fn close_rested(&mut self, now: Timestamp, commands: &mut Commands) {
        (0..self.pools.len()).for_each(|host| self.close_rested_of(now, HostId(host as u32), commands));
    }

    pub(super) fn close_rested_of(&mut self, now: Timestamp, host: HostId, commands: &mut Commands) {
        let (spare, rest) = self.rest_of(host).map_or((SPARE, RESTED), |rest| (0, rest));
        while self.pools[host.0 as usize].idle.len() > spare {
            let conn = self.pools[host.0 as usize].idle[0];
            if self.link(conn).is_some_and(|link| now - link.since < rest) {
                break;
            }
            self.close_link(conn, commands);
        }
    }

    /// A connection is of no use any more.
    pub(super) fn drop_link(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        commands.reset(conn);
        self.link_broke(now, conn, CloseReason::ConnectionLost, commands);
    }

    pub(super) fn link_broke(
        &mut self,
        now: Timestamp,
        conn: Conn,
        reason: CloseReason,
        commands: &mut Commands,
    ) {
        let Some(link) = self.forget_link(conn) else { return };
        let host = link.host;
        let opening = link.expect.front() == Some(&ExpectedReply::Open);
        self.aside_lost(link.aside, commands);
        // A connection that rested may have been closed for its rest; that says nothing of the host.
        if link.stage != Stage::Idle {
            let pool = &mut self.pools[host.0 as usize];
            pool.failures += 1;
            if pool.failures >= 2 || reason == CloseReason::ConnectFailed {
                self.suspect_primary(now, host, commands);
            }
        }
        if link.expect.contains(&ExpectedReply::Observe) {
            self.probing.remove(&host);
            self.note(
                now,
                RouterEvent::ProbeEnded { host, outcome: Outcome::Reset, status: HostStatus::default() },
            );
        }
        match (link.stage, link.sent) {
            (Stage::Held(session), Some(sent)) => self.broke(now, session, sent, host, false, commands),
            (Stage::Held(session), None) => self.lost_transaction(session, conn),
            (_, Some(sent)) => self.ended(now, sent, host, Outcome::Reset, HostStatus::default(), true),
            (_, None) => {}
        }
        let pool = &mut self.pools[host.0 as usize];
        if opening && let Some((session, sent)) = pool.waiting.pop_front() {
            self.broke(now, session, sent, host, true, commands);
        }
        self.fail_stranded(now, host, Outcome::ConnectFailed);
        self.redial(now, host, commands);
    }

    /// The connection that held a resting transaction is gone, and the transaction with it.
    fn lost_transaction(&mut self, session: Conn, conn: Conn) {
        if let Some(session) = self.session(session)
            && let Some(transaction) = &mut session.transaction
            && transaction.link == Some(conn)
        {
            transaction.link = None;
            (session.state, session.untold) = (TransactionState::Failed, true);
        }
    }

    fn redial(&mut self, now: Timestamp, host: HostId, commands: &mut Commands) {
        let share = self.share(host);
        let pool = &self.pools[host.0 as usize];
        if pool.opening < pool.waiting.len() && pool.all < share {
            self.dial(now, host, commands);
        }
    }

    /// Takes back a statement that has not gone out.
    pub(super) fn withdraw(
        &mut self,
        now: Timestamp,
        conn: Conn,
        host: HostId,
        op: OpId,
        link: Option<Conn>,
        commands: &mut Commands,
    ) -> Option<Sent> {
        let pool = &mut self.pools[host.0 as usize];
        if let Some(place) = pool.waiting.iter().position(|(_, sent)| sent.op == op) {
            return pool.waiting.remove(place).map(|(_, sent)| sent);
        }
        let link = link?;
        let sent = self.link(link)?.sent.take();
        if let Some(statement) = self.session(conn).and_then(|session| session.asks()) {
            statement.link = None;
        }
        if let Some(transaction) = self.session(conn).and_then(|session| session.transaction.as_mut()) {
            transaction.link = None;
        }
        self.release(now, conn, link, commands);
        sent
    }

    /// A connection that did not open, or an orphan that was not answered.
    pub(super) fn link_late(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(link) = self.link(conn) else { return };
        let late = match link.stage {
            Stage::Opening => now - link.opened_at >= OPENS,
            Stage::Orphan => now - link.since >= ORPHAN && !link.expect.is_empty(),
            Stage::Idle | Stage::Held(_) => false,
        };
        if late {
            self.drop_link(now, conn, commands);
        }
    }

    /// The module asks a host where it is.
    pub(super) fn probe(&mut self, now: Timestamp, host: HostId, commands: &mut Commands) {
        let idle = self.pools.get(host.0 as usize).and_then(|pool| pool.idle.last().copied());
        match idle {
            Some(conn) => {
                self.pools[host.0 as usize].idle.pop();
                self.probing.insert(host, now);
                if let Some(link) = self.link(conn) {
                    link.shift(now, Stage::Orphan);
                    link.expect.push_back(ExpectedReply::Observe);
                }
                commands.write_line(conn, &["QUERY ", INTERNAL_STATEMENT_ID, " OBSERVE"]);
                self.mute(now, conn, commands);
                self.timers.set(now + ORPHAN, Alarm::HostConnection(conn));
            }
            None => {
                // There is no connection to ask on. The next statement will tell.
                let share = self.share(host);
                let pool = &self.pools[host.0 as usize];
                if pool.all < share && pool.opening == 0 && self.part(host) >= 1.0 {
                    self.dial(now, host, commands);
                }
                self.note(
                    now,
                    RouterEvent::ProbeEnded {
                        host,
                        outcome: Outcome::NotSent,
                        status: HostStatus::default(),
                    },
                );
            }
        }
    }

    fn observed(&mut self, now: Timestamp, host: HostId, answer: &Answered) {
        let sent = self.probing.remove(&host).unwrap_or(now);
        let row = answer.observed();
        let service = self.module.host(host).host.service.clone();
        let (outcome, word) = match row {
            Some(row) => {
                let time =
                    answer.position.and_then(|position| self.timelines.get(&service)?.fresh_until(position));
                let role = Some(if row.primary { Role::Primary } else { Role::Replica });
                let position = if row.primary { Some(sent) } else { time };
                (Outcome::Acked, HostStatus { role, position, ..HostStatus::default() })
            }
            None => (Outcome::Overloaded, HostStatus::default()),
        };
        self.note(now, RouterEvent::ProbeEnded { host, outcome, status: word });
    }
}
