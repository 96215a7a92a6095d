//! What the core asks of a kind of host connection.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;

use arrowyard_types::{HostId, HostStatus, Outcome, Timestamp};
use tokio::time::Instant;

use crate::clock::Clock;

/// One send or probe: how it ended, what the host said of itself, and the answer if it is whole.
pub type ExchangeResult<A> = (Outcome, HostStatus, Option<A>);

/// How far a send is, as its back tells while it goes on.
pub struct Progress<A> {
    written: Cell<bool>,
    begun: Cell<Option<A>>,
    client_waits: Cell<bool>,
}

impl<A> Default for Progress<A> {
    fn default() -> Self {
        Progress { written: Cell::new(false), begun: Cell::new(None), client_waits: Cell::new(false) }
    }
}

impl<A> Progress<A> {
    /// The payload's last byte is written: before that the send never ran, whatever happens; from now on it may have.
    pub fn mark_written(&self) {
        self.written.set(true);
    }

    pub fn is_written(&self) -> bool {
        self.written.get()
    }

    /// The answer goes to the client now, though the host is not done with it: what is still to come goes by a way
    /// that the answer itself holds. The op is over with that, and the send goes on till the back ends it.
    pub fn begin_answer(&self, answer: A) {
        self.begun.set(Some(answer));
    }

    /// Whether it is the client that keeps the send from going on. Danger: a client that reads slowly makes a host that
    /// answered in time look ill.
    pub fn set_client_blocked(&self, by_client: bool) {
        self.client_waits.set(by_client);
    }

    pub(crate) fn is_client_blocked(&self) -> bool {
        self.client_waits.get()
    }

    /// An answer that began since this was last asked.
    pub(crate) fn take_begun_answer(&self) -> Option<A> {
        self.begun.take()
    }
}

/// Carries sends and probes to hosts, over connections of one protocol. It decides nothing: the module chose the
/// host, and the core ends what takes too long by dropping the future.
pub trait HostTransport: 'static {
    /// What a front hands in, and what it gets back; the core understands neither.
    type Payload: 'static;
    type Answer: 'static;

    /// Sends the payload once, and tells how far it is. Dropping the future gives the send up.
    fn exchange(
        &self,
        host: HostId,
        dial: SocketAddr,
        payload: &Self::Payload,
        until: Timestamp,
        clock: Clock,
        progress: &Progress<Self::Answer>,
    ) -> impl Future<Output = ExchangeResult<Self::Answer>>;

    /// Asks the host for its report.
    fn probe(&self, host: HostId, dial: SocketAddr) -> impl Future<Output = (Outcome, HostStatus)>;

    /// A send begun then was wholly written and not answered.
    fn send_timed_out(&self, host: HostId, since: Instant);

    fn close_idle(&self, host: HostId);

    /// Closes what was idle for too long; called from time to time.
    fn close_expired(&self) {}

    /// Connections that stand.
    fn open_connections(&self) -> usize;

    /// Connections that were begun since the start.
    fn connections_started(&self) -> u64;
}
