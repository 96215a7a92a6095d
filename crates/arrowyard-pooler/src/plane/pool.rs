//! The pool of connections to a host: this router's share of the host's connection limit, statements that wait
//! for a connection, and idle connections.

use std::collections::VecDeque;

use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{HostId, HostStatus, OpId, Outcome, TimeDelta, Timestamp};

use super::ops::ReadRequirement;
use super::{Endpoint, RouterPlane, Timer};
use crate::host_connection::{ConnectionStage, ExpectedReply, HostConnection, SentStatement};

/// Idle connections to a host that are kept without a time limit; further ones are closed after the timeout.
const SPARE_CONNECTIONS: usize = 2;
const SPARE_IDLE_TIMEOUT: TimeDelta = TimeDelta::from_millis(3000);
/// The part of a host's connection limit that routers share. The rest is for control's requests and for
/// routers that have started but are not counted yet.
const SHARED_FRACTION: f64 = 0.85;
/// Connection limit of a host without a configured one.
const DEFAULT_CONN_LIMIT: u32 = 32;
/// Where a host has fewer connections than routers: the part of a router's share that its idle connections
/// may take. The rest is for transactions, which hold their connections while their clients pause.
const IDLE_FRACTION: f64 = 0.25;
/// In the same case, the connections that a router may have at a time if the host accepts them.
const MIN_CONNECTIONS: usize = 2;
/// Weight of the newest value in the moving average of the time between requests, and the bounds of the
/// idle timeout.
const INTERVAL_SMOOTHING: f64 = 0.125;
const MIN_IDLE_TIMEOUT: TimeDelta = TimeDelta::from_millis(40);
const MAX_IDLE_TIMEOUT: TimeDelta = TimeDelta::from_millis(10_000);

/// The connections to one host.
#[derive(Default)]
pub struct ConnectionPool {
    /// Idle connections, the most recently used one last.
    pub(super) idle: Vec<Conn>,
    pub(super) total: usize,
    pub(super) opening: usize,
    pub(super) waiting: VecDeque<(Conn, SentStatement)>,
    /// When the first statement was sent after the last reply.
    pub(super) unanswered_since: Option<Timestamp>,
    pub(super) failures: u32,
    /// When a reply was last found to be lost.
    pub(super) reply_lost_at: Timestamp,
    /// When a connection was last requested, and the mean time between requests.
    requested_at: Timestamp,
    request_interval: TimeDelta,
}

impl RouterPlane {
    /// This router's part of a host's connections; below 1 where the host has fewer connections than
    /// routers.
    pub(super) fn connection_share(&self, host: HostId) -> f64 {
        let service = &self.decision.host(host).host.service;
        let limit =
            self.configured.routes.service(service).map_or(DEFAULT_CONN_LIMIT, |service| service.conn_limit);
        f64::from(limit) * SHARED_FRACTION / f64::from(self.routers)
    }

    /// The number of connections that this router may have to a host.
    pub(super) fn max_connections(&self, host: HostId) -> usize {
        let share = self.connection_share(host);
        if share < 1.0 { MIN_CONNECTIONS } else { share as usize }
    }

    /// How long an idle connection to a host is kept; `None` without a limit. Where the host has fewer
    /// connections than routers, connections kept without a limit would keep other routers out. A router
    /// that makes a request every `request_interval` and keeps a connection for `timeout` holds it for 1 -
    /// exp(-timeout / request_interval) of the time; the timeout is chosen so that this is `IDLE_FRACTION`
    /// of its share.
    pub(super) fn idle_timeout(&self, host: HostId) -> Option<TimeDelta> {
        let share = self.connection_share(host);
        let interval = self.pools[host.0 as usize].request_interval;
        (share < 1.0).then(|| {
            (interval * -(1.0 - share * IDLE_FRACTION).ln()).clamp(MIN_IDLE_TIMEOUT, MAX_IDLE_TIMEOUT)
        })
    }

    /// Assigns an idle connection to a statement, or queues the statement and opens a connection if the
    /// pool may grow.
    pub(super) fn acquire(
        &mut self,
        now: Timestamp,
        conn: Conn,
        host: HostId,
        sent: SentStatement,
        commands: &mut Commands,
    ) {
        let variables = self.session(conn).map(|session| session.variables.clone()).unwrap_or_default();
        let max_connections = self.max_connections(host);
        let pool = &mut self.pools[host.0 as usize];
        let interval = (now - pool.requested_at).min(MAX_IDLE_TIMEOUT);
        pool.request_interval = if pool.request_interval == TimeDelta::ZERO {
            interval
        } else {
            pool.request_interval + (interval - pool.request_interval) * INTERVAL_SMOOTHING
        };
        pool.requested_at = now;
        let idle = std::mem::take(&mut pool.idle);
        // A connection that already has the session's variables, or else the most recently used one.
        let has_variables = |host_conn: &Conn| match self.endpoints.get(host_conn) {
            Some(Endpoint::Host(connection)) => connection.variables == variables,
            _ => false,
        };
        let index = idle.iter().rposition(has_variables).or(idle.len().checked_sub(1));
        self.pools[host.0 as usize].idle = idle;
        if let Some(index) = index {
            let host_conn = self.pools[host.0 as usize].idle.remove(index);
            return self.assign(now, conn, host_conn, sent, commands);
        }
        let Some(connection_wait) =
            self.session(conn).and_then(|session| session.pending()).map(|pending| pending.connection_wait)
        else {
            return;
        };
        self.timers.set(now + connection_wait, Timer::ConnectionWait(conn, sent.op));
        let pool = &mut self.pools[host.0 as usize];
        pool.waiting.push_back((conn, sent));
        if pool.total < max_connections && pool.opening < pool.waiting.len() {
            self.dial_host(now, host, commands);
        }
    }

    /// A statement has waited too long for a connection. A read that other hosts may serve goes back to the
    /// decision module; all other statements are rejected while their client can still retry elsewhere.
    pub(super) fn connection_wait_expired(
        &mut self,
        now: Timestamp,
        conn: Conn,
        op: OpId,
        commands: &mut Commands,
    ) {
        let Some(statement) = self.session(conn).and_then(|session| session.pending()) else { return };
        let (host, is_read) = (statement.host, statement.kind == crate::routes::StatementKind::Read);
        let Some(host) = host else { return };
        let may_move = is_read && self.read_requirement(conn) != Some(ReadRequirement::Primary);
        let pool = &mut self.pools[host.0 as usize];
        if let Some(index) = pool.waiting.iter().position(|(_, sent)| sent.op == op)
            && let Some((_, sent)) = pool.waiting.remove(index)
        {
            self.send_ended(now, sent, host, Outcome::Overloaded, HostStatus::default(), !may_move);
            if !may_move {
                self.reply_busy(now, op, None, commands);
            }
        }
    }

    /// Takes an idle connection out of the pool.
    pub(super) fn take_idle(&mut self, host: HostId) -> Option<Conn> {
        self.pools[host.0 as usize].idle.pop()
    }

    /// Fails all statements that wait for a connection while none is open or opening.
    pub(super) fn fail_waiters(&mut self, now: Timestamp, host: HostId, outcome: Outcome) {
        while self.pools[host.0 as usize].total == 0 {
            let Some((_, sent)) = self.pools[host.0 as usize].waiting.pop_front() else { return };
            self.send_ended(now, sent, host, outcome, HostStatus::default(), false);
        }
    }

    /// Gives a free connection to the next waiter, or returns it to the pool, or closes it if the pool is
    /// too large.
    pub(super) fn make_idle(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(connection) = self.host_connection(conn) else { return };
        connection.set_stage(now, ConnectionStage::Idle);
        let host = connection.host;
        if !self.pools[host.0 as usize].waiting.is_empty() {
            let index = self.next_waiter(host);
            if let Some((session, sent)) = self.pools[host.0 as usize].waiting.remove(index) {
                return self.assign(now, session, conn, sent, commands);
            }
        }
        let max_connections = self.max_connections(host);
        let is_gone = self.decision.host(host).host.phase() == arrowyard_messages::Phase::Gone;
        if is_gone || self.pools[host.0 as usize].total > max_connections {
            self.close_connection(conn, commands);
        } else {
            self.pools[host.0 as usize].idle.push(conn);
            if let Some(timeout) = self.idle_timeout(host) {
                self.timers.set(now + timeout, Timer::IdleConnections(host));
            }
        }
    }

    pub(super) fn close_connection(&mut self, conn: Conn, commands: &mut Commands) {
        self.remove_connection(conn);
        commands.write_line(conn, &["CLOSE"]);
        commands.close(conn);
    }

    pub(super) fn remove_connection(&mut self, conn: Conn) -> Option<Box<HostConnection>> {
        let Some(Endpoint::Host(connection)) = self.endpoints.remove(&conn) else { return None };
        let pool = &mut self.pools[connection.host.0 as usize];
        pool.total -= 1;
        pool.opening -= usize::from(connection.expected.front() == Some(&ExpectedReply::Open));
        pool.idle.retain(|idle| *idle != conn);
        Some(connection)
    }

    /// Closes idle connections beyond this router's share after the share has shrunk; the others are closed
    /// when they are released.
    pub(super) fn trim_pools(&mut self, _now: Timestamp, commands: &mut Commands) {
        for host in 0..self.pools.len() {
            let max_connections = self.max_connections(HostId(host as u32));
            while self.pools[host].total > max_connections && !self.pools[host].idle.is_empty() {
                let conn = self.pools[host].idle[0];
                self.close_connection(conn, commands);
            }
        }
    }

    /// Closes idle connections left over from a peak at all hosts. A host counts the connections of a
    /// router that lost power for some seconds more; if those fill its limit, no other router can connect
    /// meanwhile.
    pub(super) fn close_all_idle_connections(&mut self, now: Timestamp, commands: &mut Commands) {
        (0..self.pools.len())
            .for_each(|host| self.close_idle_connections(now, HostId(host as u32), commands));
    }

    /// Closes connections to a host that have been idle for too long, the least recently used ones first.
    pub(super) fn close_idle_connections(&mut self, now: Timestamp, host: HostId, commands: &mut Commands) {
        let (spare, timeout) =
            self.idle_timeout(host).map_or((SPARE_CONNECTIONS, SPARE_IDLE_TIMEOUT), |timeout| (0, timeout));
        while self.pools[host.0 as usize].idle.len() > spare {
            let conn = self.pools[host.0 as usize].idle[0];
            if self.host_connection(conn).is_some_and(|connection| now - connection.stage_since < timeout) {
                break;
            }
            self.close_connection(conn, commands);
        }
    }

    pub(super) fn dial_for_waiters(&mut self, now: Timestamp, host: HostId, commands: &mut Commands) {
        let max_connections = self.max_connections(host);
        let pool = &self.pools[host.0 as usize];
        if pool.opening < pool.waiting.len() && pool.total < max_connections {
            self.dial_host(now, host, commands);
        }
    }

    /// Withdraws a statement that was not written yet, from the pool's queue or from its connection.
    pub(super) fn withdraw(
        &mut self,
        now: Timestamp,
        conn: Conn,
        host: HostId,
        op: OpId,
        host_conn: Option<Conn>,
        commands: &mut Commands,
    ) -> Option<SentStatement> {
        let pool = &mut self.pools[host.0 as usize];
        if let Some(index) = pool.waiting.iter().position(|(_, sent)| sent.op == op) {
            return pool.waiting.remove(index).map(|(_, sent)| sent);
        }
        let host_conn = host_conn?;
        let sent = self.host_connection(host_conn)?.sent.take();
        if let Some(statement) = self.session(conn).and_then(|session| session.pending()) {
            statement.host_conn = None;
        }
        if let Some(transaction) = self.session(conn).and_then(|session| session.transaction.as_mut()) {
            transaction.host_conn = None;
        }
        self.release(now, conn, host_conn, commands);
        sent
    }
}
