//! Connections to database hosts that wait for their next command.

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
    /// Dials the host and is let in; the outcome, if it is not, for a send that was never written. `large` counts
    /// the bytes that large answers of all connections take.
    fn connect(
        dial: SocketAddr,
        count: UsageGuard,
        large: Rc<Cell<usize>>,
        limits: Rc<Limits>,
    ) -> impl Future<Output = Result<Self, Outcome>>;

    fn address(&self) -> SocketAddr;

    fn idle_since(&self) -> Instant;

    /// Whether it was not idle for too long, and nothing has come meanwhile, not even the end.
    fn is_reusable(&self) -> bool;

    /// It is idle from now on, and gives back the room that its last answer took.
    fn mark_idle(&mut self);
}

pub struct ConnectionPool<L> {
    idle: RefCell<BTreeMap<HostId, Vec<L>>>,
    /// When a host was last done with a command.
    heard: RefCell<BTreeMap<HostId, Instant>>,
    open: Rc<Cell<usize>>,
    dialed: Cell<u64>,
    /// The bytes that large answers take.
    large: Rc<Cell<usize>>,
    limits: Rc<Limits>,
}

impl<L: PooledConnection> ConnectionPool<L> {
    pub fn new(limits: Rc<Limits>) -> Rc<Self> {
        let (idle, heard, open, dialed, large) = Default::default();
        Rc::new(ConnectionPool { idle, heard, open, dialed, large, limits })
    }

    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Connections that were begun.
    pub fn connections_started(&self) -> u64 {
        self.dialed.get()
    }

    /// The connection to the host that was used last, else a new one; the outcome, if there is none to be had.
    pub async fn acquire(&self, host: HostId, dial: SocketAddr) -> Result<L, Outcome> {
        while let Some(link) = self.idle.borrow_mut().get_mut(&host).and_then(Vec::pop) {
            if link.address() == dial && link.is_reusable() {
                return Ok(link);
            }
        }
        if self.open.get() >= self.limits.max_host_connections && !self.close_oldest() {
            return Err(Outcome::ConnectFailed);
        }
        self.dialed.set(self.dialed.get() + 1);
        L::connect(dial, UsageGuard::one(&self.open), self.large.clone(), self.limits.clone()).await
    }

    pub fn release(&self, host: HostId, mut link: L) {
        link.mark_idle();
        self.heard.borrow_mut().insert(host, link.idle_since());
        self.idle.borrow_mut().entry(host).or_default().push(link);
    }

    pub fn close_idle(&self, host: HostId) {
        self.idle.borrow_mut().remove(&host);
    }

    /// A send of then was not answered. Danger: a machine that is gone or cut off leaves its connections open, and
    /// each send over one of them waits in vain and may have run. If the host was done with nothing since then,
    /// its idle connections are closed; a new one tells at once whether it is there.
    pub fn send_timed_out(&self, host: HostId, since: Instant) {
        if self.heard.borrow().get(&host).is_none_or(|heard| *heard < since) {
            self.close_idle(host);
        }
    }

    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|links| !links.is_empty()).min_by_key(|l| l[0].idle_since());
        oldest.map(|links| links.remove(0)).is_some()
    }

    /// Closes what was idle for too long, before the host does: a send that crosses the end may have run.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().values_mut().for_each(|links| links.retain(L::is_reusable));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A connection that is always good.
    struct Fake {
        address: SocketAddr,
        since: Instant,
        _count: UsageGuard,
    }

    impl PooledConnection for Fake {
        async fn connect(
            address: SocketAddr,
            count: UsageGuard,
            _: Rc<Cell<usize>>,
            _: Rc<Limits>,
        ) -> Result<Self, Outcome> {
            Ok(Fake { address, since: Instant::now(), _count: count })
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
    async fn with_no_descriptor_left_an_idle_connection_goes_first_and_then_a_dial_fails() {
        let limits = Limits { max_host_connections: 2, ..Limits::for_test(serde_json::json!({})).2 };
        let [one, two] = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
        let pool: Rc<ConnectionPool<Fake>> = ConnectionPool::new(Rc::new(limits));
        let first = pool.acquire(HostId(1), one).await.expect("there is room");
        let second = pool.acquire(HostId(1), one).await.expect("there is room");
        assert_eq!(pool.acquire(HostId(2), two).await.err(), Some(Outcome::ConnectFailed));
        pool.release(HostId(1), first);
        assert_eq!(pool.acquire(HostId(2), two).await.map(|link| link.address), Ok(two));
        assert_eq!(pool.connections_started(), 3, "without a descriptor none is begun");
        assert_eq!(pool.open_connections(), 1, "the idle one was closed, the third ended just now");
        drop(second);
    }
}
