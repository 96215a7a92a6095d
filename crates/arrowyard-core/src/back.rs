//! What the core asks of a kind of host connection.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;

use arrowyard_types::{HostId, Outcome, Point, Word};
use tokio::time::Instant;

use crate::clock::Clock;

/// One send or probe: how it ended, what the host said of itself, and the answer if it is whole.
pub type Told<A> = (Outcome, Word, Option<A>);

/// Carries sends and probes to hosts, over connections of one protocol. It decides nothing: the module chose the
/// host, and the core ends what takes too long by dropping the future.
pub trait Back: 'static {
    /// What a front hands in, and what it gets back; the core understands neither.
    type Payload: 'static;
    type Answer: 'static;

    /// Sends the payload once. `written` is set with its last byte: before that the send never ran, whatever
    /// happens; from then on it may have. Dropping the future gives the send up, and its connection with it.
    fn exchange(
        &self,
        host: HostId,
        dial: SocketAddr,
        payload: &Self::Payload,
        until: Point,
        clock: Clock,
        written: &Cell<bool>,
    ) -> impl Future<Output = Told<Self::Answer>>;

    /// Asks the host for its report.
    fn probe(&self, host: HostId, dial: SocketAddr) -> impl Future<Output = (Outcome, Word)>;

    /// A send begun then was wholly written and not answered.
    fn unanswered(&self, host: HostId, since: Instant);

    fn close_idle(&self, host: HostId);

    /// Connections that stand.
    fn open(&self) -> usize;
}
