//! The interface between the core and a protocol that carries ops to database hosts.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;

use arrowyard_types::{HostId, HostStatus, Outcome, Timestamp};
use tokio::time::Instant;

use crate::clock::Clock;

/// The result of one send: its outcome, the status that the host reported, and the answer if it is complete.
pub type ExchangeResult<A> = (Outcome, HostStatus, Option<A>);

/// Progress of a send, reported by its transport.
pub struct Progress<A> {
    written: Cell<bool>,
    begun_answer: Cell<Option<A>>,
    client_blocked: Cell<bool>,
}

impl<A> Default for Progress<A> {
    fn default() -> Self {
        Progress {
            written: Cell::new(false),
            begun_answer: Cell::new(None),
            client_blocked: Cell::new(false),
        }
    }
}

impl<A> Progress<A> {
    /// Marks the payload as completely written. Before this call the op cannot have run; after it, the op may
    /// have run.
    pub fn mark_written(&self) {
        self.written.set(true);
    }

    /// Whether the payload is completely written.
    pub fn is_written(&self) -> bool {
        self.written.get()
    }

    /// Passes a streamed answer to the client before it is complete; the rest follows over a channel in the
    /// answer. This completes the op, and the send continues until the transport ends it.
    pub fn begin_answer(&self, answer: A) {
        self.begun_answer.set(Some(answer));
    }

    /// Sets whether the send waits for its client, so that a slow client is not counted as a slow host.
    pub fn set_client_blocked(&self, is_blocked: bool) {
        self.client_blocked.set(is_blocked);
    }

    pub(crate) fn is_client_blocked(&self) -> bool {
        self.client_blocked.get()
    }

    /// The answer that began since the last call.
    pub(crate) fn take_begun_answer(&self) -> Option<A> {
        self.begun_answer.take()
    }
}

/// Carries sends and probes to hosts over one protocol. It makes no routing decisions; the core enforces
/// deadlines by dropping the returned future.
pub trait HostTransport: 'static {
    /// The content of a request; opaque to the core.
    type Payload: 'static;
    /// The content of a host's answer; opaque to the core.
    type Answer: 'static;

    /// Sends the payload once and reports its progress. Dropping the future cancels the send.
    fn exchange(
        &self,
        host: HostId,
        address: SocketAddr,
        payload: &Self::Payload,
        deadline: Timestamp,
        clock: Clock,
        progress: &Progress<Self::Answer>,
    ) -> impl Future<Output = ExchangeResult<Self::Answer>>;

    /// Requests the host's status.
    fn probe(&self, host: HostId, address: SocketAddr) -> impl Future<Output = (Outcome, HostStatus)>;

    /// Called if a send that started at `started_at` was written completely and got no answer in time.
    fn send_timed_out(&self, host: HostId, started_at: Instant);

    /// Closes the idle connections to the host.
    fn close_idle(&self, host: HostId);

    /// Closes connections that were idle for too long; called periodically.
    fn close_expired(&self) {}

    /// The number of open connections.
    fn open_connections(&self) -> usize;

    /// The number of connections started since the process started.
    fn connections_started(&self) -> u64;
}
