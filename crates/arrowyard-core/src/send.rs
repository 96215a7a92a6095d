//! One send of an op to a host, from the moment it is ordered to its end.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_types::{HostId, Outcome, Point, Span, Word};
use tokio::sync::oneshot::{self, error::TryRecvError};
use tokio::time::sleep_until;

use crate::back::Back;
use crate::clock::Clock;

pub struct Order<P> {
    pub host: HostId,
    pub dial: SocketAddr,
    pub payload: Rc<P>,
    pub until: Point,
    /// Resolves when the send is called off.
    pub called_off: oneshot::Receiver<()>,
}

/// How a send ended.
#[derive(Debug)]
pub struct End<A> {
    pub outcome: Outcome,
    pub took: Span,
    pub word: Word,
    pub answer: Option<A>,
}

impl<A> End<A> {
    /// Of a send that was never tried: its op is over, its time has run out, or its host is nowhere.
    pub fn unsent() -> Self {
        End { outcome: Outcome::Moot, took: Span::ZERO, word: Word::default(), answer: None }
    }
}

/// Carries the order out. Until the payload is wholly written it never ran, whatever happens; from then on it may
/// have. Giving up closes the connection.
pub async fn run<B: Back>(mut order: Order<B::Payload>, back: &B, clock: Clock) -> End<B::Answer> {
    let (started, written) = (clock.now(), Cell::new(false));
    if started >= order.until || order.called_off.try_recv() != Err(TryRecvError::Empty) {
        return End::unsent();
    }
    let Order { host, dial, payload, until, called_off } = order;
    let (outcome, word, answer) = tokio::select! {
        biased;
        told = back.exchange(host, dial, &payload, until, clock, &written) => told,
        _ = called_off => (Outcome::Cancelled, Word::default(), None),
        () = sleep_until(clock.when(until)) => (Outcome::TimedOut, Word::default(), None),
    };
    let outcome = match outcome {
        Outcome::Cancelled if !written.get() => Outcome::Moot,
        Outcome::TimedOut if !written.get() => Outcome::ConnectFailed,
        outcome => outcome,
    };
    if outcome == Outcome::TimedOut {
        back.unanswered(host, clock.when(started));
    }
    End { outcome, took: clock.now() - started, word, answer }
}
