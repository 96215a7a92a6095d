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
    /// The outcome of a send that was not written. `large` counts the bytes of large answers on all
    /// connections.
    fn connect(
        address: SocketAddr,
        count: UsageGuard,
        large: Rc<Cell<usize>>,
        limits: Rc<Limits>,
    ) -> impl Future<Output = Result<Self, Outcome>>;

    fn address(&self) -> SocketAddr;

    fn idle_since(&self) -> Instant;

    /// Whether it was not idle for too long and has received nothing since, not even its end.
    fn is_reusable(&self) -> bool;

    /// Marks it as idle and frees the memory of its last answer.
    fn mark_idle(&mut self);
}

/// The connection pool.
pub struct ConnectionPool<L> {
    idle: RefCell<BTreeMap<HostId, Vec<L>>>,
    /// When each host last completed a command.
    last_completed: RefCell<BTreeMap<HostId, Instant>>,
    open: Rc<Cell<usize>>,
    dialed: Cell<u64>,
    /// Bytes of large answers.
    large: Rc<Cell<usize>>,
    limits: Rc<Limits>,
}

impl<L: PooledConnection> ConnectionPool<L> {
    pub fn new(limits: Rc<Limits>) -> Rc<Self> {
        let (idle, last_completed, open, dialed, large) = Default::default();
        Rc::new(ConnectionPool { idle, last_completed, open, dialed, large, limits })
    }

    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Connections started since the start.
    pub fn connections_started(&self) -> u64 {
        self.dialed.get()
    }

    /// The most recently used idle connection to the host, else a new one.
    ///
    /// # Errors
    /// The outcome of a send for which there is no connection.
    pub async fn acquire(&self, host: HostId, address: SocketAddr) -> Result<L, Outcome> {
        while let Some(connection) = self.idle.borrow_mut().get_mut(&host).and_then(Vec::pop) {
            if connection.address() == address && connection.is_reusable() {
                return Ok(connection);
            }
        }
        if self.open.get() >= self.limits.max_host_connections && !self.close_oldest() {
            return Err(Outcome::ConnectFailed);
        }
        self.dialed.set(self.dialed.get() + 1);
        L::connect(address, UsageGuard::one(&self.open), self.large.clone(), self.limits.clone()).await
    }

    pub fn release(&self, host: HostId, mut connection: L) {
        connection.mark_idle();
        self.last_completed.borrow_mut().insert(host, connection.idle_since());
        self.idle.borrow_mut().entry(host).or_default().push(connection);
    }

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
        let oldest =
            idle.values_mut().filter(|connections| !connections.is_empty()).min_by_key(|l| l[0].idle_since());
        oldest.map(|connections| connections.remove(0)).is_some()
    }

    /// Closes connections that were idle for too long, before the host does: a send that meets its close may
    /// have run.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().values_mut().for_each(|connections| connections.retain(L::is_reusable));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A connection that is always good.
    struct FakeConnection {
        address: SocketAddr,
        since: Instant,
        _count: UsageGuard,
    }

    impl PooledConnection for FakeConnection {
        async fn connect(
            address: SocketAddr,
            count: UsageGuard,
            _: Rc<Cell<usize>>,
            _: Rc<Limits>,
        ) -> Result<Self, Outcome> {
            Ok(FakeConnection { address, since: Instant::now(), _count: count })
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
        let [one, two] = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
        let pool: Rc<ConnectionPool<FakeConnection>> = ConnectionPool::new(Rc::new(limits));
        let first = pool.acquire(HostId(1), one).await.expect("there is room");
        let second = pool.acquire(HostId(1), one).await.expect("there is room");
        assert_eq!(pool.acquire(HostId(2), two).await.err(), Some(Outcome::ConnectFailed));
        pool.release(HostId(1), first);
        assert_eq!(pool.acquire(HostId(2), two).await.map(|connection| connection.address), Ok(two));
        assert_eq!(pool.connections_started(), 3, "none is started at the limit");
        assert_eq!(pool.open_connections(), 1, "the idle one was closed, the third ended just now");
        drop(second);
    }
}
