//! The pool of idle connections to database hosts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_types::{HostId, Outcome};
use tokio::time::Instant;

use crate::count::UsageGuard;
use crate::limits::Limits;

/// A connection that the pool can keep for reuse.
pub trait PooledConnection: Sized {
    /// Connects and authenticates. `usage` counts the connection while it is open, `large_answer_bytes` the
    /// bytes of large answers on all connections.
    ///
    /// # Errors
    /// The outcome of the send for which the connection was needed.
    fn connect(
        address: SocketAddr,
        usage: UsageGuard,
        large_answer_bytes: Rc<Cell<usize>>,
        limits: Rc<Limits>,
    ) -> impl Future<Output = Result<Self, Outcome>>;

    /// The host's address.
    fn address(&self) -> SocketAddr;

    /// When the connection was last marked as idle.
    fn idle_since(&self) -> Instant;

    /// Whether the connection can be used again: it is not idle for too long and has received neither data
    /// nor the end of the stream since.
    fn is_reusable(&self) -> bool;

    /// Marks the connection as idle and frees the memory of its last answer.
    fn mark_idle(&mut self);
}

/// The idle connections to all hosts, and counts of connections.
pub struct ConnectionPool<C> {
    idle: RefCell<BTreeMap<HostId, Vec<C>>>,
    /// When each host last completed a command.
    last_completed: RefCell<BTreeMap<HostId, Instant>>,
    open_count: Rc<Cell<usize>>,
    started_count: Cell<u64>,
    /// Bytes of large answers on all connections.
    large_answer_bytes: Rc<Cell<usize>>,
    limits: Rc<Limits>,
}

impl<C: PooledConnection> ConnectionPool<C> {
    /// Creates an empty pool.
    pub fn new(limits: Rc<Limits>) -> Rc<Self> {
        let (idle, last_completed, open_count, started_count, large_answer_bytes) = Default::default();
        Rc::new(ConnectionPool {
            idle,
            last_completed,
            open_count,
            started_count,
            large_answer_bytes,
            limits,
        })
    }

    /// The number of open connections, idle or in use.
    pub fn open_connections(&self) -> usize {
        self.open_count.get()
    }

    /// The number of connections started since the pool was created.
    pub fn connections_started(&self) -> u64 {
        self.started_count.get()
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
        if self.open_count.get() >= self.limits.max_host_connections && !self.close_longest_idle() {
            return Err(Outcome::ConnectFailed);
        }
        self.started_count.set(self.started_count.get() + 1);
        C::connect(
            address,
            UsageGuard::one(&self.open_count),
            self.large_answer_bytes.clone(),
            self.limits.clone(),
        )
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

    /// A send that started at `started_at` was not answered. If the host completed no command since, its idle
    /// connections are closed: connections to an unreachable machine stay open, and each send over them would
    /// time out and might have run.
    pub fn send_timed_out(&self, host: HostId, started_at: Instant) {
        if self.last_completed.borrow().get(&host).is_none_or(|last_completed| *last_completed < started_at) {
            self.close_idle(host);
        }
    }

    /// Closes the connection that is idle for longest; false if there is none.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let host_connections = idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .min_by_key(|connections| connections[0].idle_since());
        host_connections.map(|connections| connections.remove(0)).is_some()
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
        idle_since: Instant,
        _usage: UsageGuard,
    }

    impl PooledConnection for FakeConnection {
        async fn connect(
            address: SocketAddr,
            usage: UsageGuard,
            _: Rc<Cell<usize>>,
            _: Rc<Limits>,
        ) -> Result<Self, Outcome> {
            Ok(FakeConnection { address, idle_since: Instant::now(), _usage: usage })
        }

        fn address(&self) -> SocketAddr {
            self.address
        }

        fn idle_since(&self) -> Instant {
            self.idle_since
        }

        fn is_reusable(&self) -> bool {
            true
        }

        fn mark_idle(&mut self) {
            self.idle_since = Instant::now();
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
