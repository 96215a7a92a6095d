//! The pool of idle connections to database hosts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_types::{HostId, Outcome};
use tokio::time::Instant;

use crate::count::UsageGuard;
use crate::limits::Limits;

/// One connection to a host, as the pool sees it.
pub trait PooledConnection: Sized {
    /// Connects and authenticates.
    ///
    /// # Errors
    /// The outcome of a send that was not written. `large_answer_bytes` counts the bytes of large answers on all
    /// connections.
    fn connect(
        address: SocketAddr,
        usage: UsageGuard,
        large_answer_bytes: Rc<Cell<usize>>,
        limits: Rc<Limits>,
    ) -> impl Future<Output = Result<Self, Outcome>>;

    fn address(&self) -> SocketAddr;

    fn idle_since(&self) -> Instant;

    /// Whether it was not idle for too long and has received nothing since, not even the end of the stream.
    fn is_reusable(&self) -> bool;

    /// Marks it as idle and frees the memory of its last answer.
    fn mark_idle(&mut self);
}

/// The connection pool.
pub struct ConnectionPool<C> {
    idle: RefCell<BTreeMap<HostId, Vec<C>>>,
    /// When each host last completed a command.
    last_completed: RefCell<BTreeMap<HostId, Instant>>,
    open: Rc<Cell<usize>>,
    started: Cell<u64>,
    /// Bytes of large answers on all connections.
    large_answer_bytes: Rc<Cell<usize>>,
    limits: Rc<Limits>,
}

impl<C: PooledConnection> ConnectionPool<C> {
    pub fn new(limits: Rc<Limits>) -> Rc<Self> {
        let (idle, last_completed, open, started, large_answer_bytes) = Default::default();
        Rc::new(ConnectionPool { idle, last_completed, open, started, large_answer_bytes, limits })
    }

    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// The number of connections started since the pool was created.
    pub fn connections_started(&self) -> u64 {
        self.started.get()
    }

    /// The most recently used idle connection to the host, else a new one.
    ///
    /// # Errors
    /// The outcome of a send for which there is no connection.
    pub async fn acquire(&self, host: HostId, address: SocketAddr) -> Result<C, Outcome> {
        while let Some(connection) = self.idle.borrow_mut().get_mut(&host).and_then(Vec::pop) {
            if connection.address() == address && connection.is_reusable() {
                return Ok(connection);
            }
        }
        if self.open.get() >= self.limits.max_host_connections && !self.close_oldest() {
            return Err(Outcome::ConnectFailed);
        }
        self.started.set(self.started.get() + 1);
        C::connect(address, UsageGuard::one(&self.open), self.large_answer_bytes.clone(), self.limits.clone())
            .await
    }

    /// Returns a connection to the pool.
    pub fn release(&self, host: HostId, mut connection: C) {
        connection.mark_idle();
        self.last_completed.borrow_mut().insert(host, connection.idle_since());
        self.idle.borrow_mut().entry(host).or_default().push(connection);
    }

    /// Closes the idle connections to the host.
    pub fn close_idle(&self, host: HostId) {
        self.idle.borrow_mut().remove(&host);
    }

    /// A send that started at `since` was not answered. If the host completed no command since, its idle
    /// connections are closed: those to an unreachable machine stay open, and each send over them would time
    /// out and might have run.
    pub fn send_timed_out(&self, host: HostId, since: Instant) {
        if self.last_completed.borrow().get(&host).is_none_or(|last_completed| *last_completed < since) {
            self.close_idle(host);
        }
    }

    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .min_by_key(|connections| connections[0].idle_since());
        oldest.map(|connections| connections.remove(0)).is_some()
    }

    /// Closes connections that were idle for too long, before the host does: a send on a connection
    /// that the host is closing may have run.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().values_mut().for_each(|connections| connections.retain(C::is_reusable));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A connection that is always reusable.
    struct FakeConnection {
        address: SocketAddr,
        since: Instant,
        _usage: UsageGuard,
    }

    impl PooledConnection for FakeConnection {
        async fn connect(
            address: SocketAddr,
            usage: UsageGuard,
            _: Rc<Cell<usize>>,
            _: Rc<Limits>,
        ) -> Result<Self, Outcome> {
            Ok(FakeConnection { address, since: Instant::now(), _usage: usage })
        }

        fn address(&self) -> SocketAddr {
            self.address
        }

        fn idle_since(&self) -> Instant {
            self.since
        }

        fn is_reusable(&self) -> bool {
            true
        }

        fn mark_idle(&mut self) {
            self.since = Instant::now();
        }
    }

    #[tokio::test]
    async fn at_the_limit_an_idle_connection_is_closed_before_connecting_fails() {
        let limits = Limits { max_host_connections: 2, ..Limits::for_test(serde_json::json!({})).2 };
        let [first_address, second_address] = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
        let pool: Rc<ConnectionPool<FakeConnection>> = ConnectionPool::new(Rc::new(limits));
        let first = pool.acquire(HostId(1), first_address).await.expect("the limit is not reached");
        let second = pool.acquire(HostId(1), first_address).await.expect("the limit is not reached");
        assert_eq!(pool.acquire(HostId(2), second_address).await.err(), Some(Outcome::ConnectFailed));
        pool.release(HostId(1), first);
        assert_eq!(
            pool.acquire(HostId(2), second_address).await.map(|connection| connection.address),
            Ok(second_address)
        );
        assert_eq!(pool.connections_started(), 3, "no connection is started at the limit");
        assert_eq!(pool.open_connections(), 1, "the idle one was closed and the third one was dropped");
        drop(second);
    }
}
