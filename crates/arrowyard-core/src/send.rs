//! One send of an op to a host, from the moment it is ordered to its end.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;

use arrowyard_types::{HostId, Outcome, Point, Span, Word};
use tokio::sync::oneshot::{self, error::TryRecvError};
use tokio::time::sleep_until;

use crate::back::{Back, Progress};
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
/// have. Giving up closes the connection. `begun` is handed an answer that begins before the send has ended.
pub async fn run<B: Back>(
    mut order: Order<B::Payload>,
    back: &B,
    clock: Clock,
    begun: impl AsyncFn(B::Answer),
) -> End<B::Answer> {
    let (started, progress) = (clock.now(), Progress::default());
    if started >= order.until || order.called_off.try_recv() != Err(TryRecvError::Empty) {
        return End::unsent();
    }
    let Order { host, dial, payload, until, mut called_off } = order;
    let mut exchange = pin!(back.exchange(host, dial, &payload, until, clock, &progress));
    let (outcome, word, answer) = loop {
        tokio::select! {
            biased;
            told = &mut exchange => break told,
            // An answer begins while the exchange is polled, just before this; nobody has to be woken for it.
            answer = poll_fn(|_| progress.begun().map_or(Poll::Pending, Poll::Ready)) => begun(answer).await,
            _ = &mut called_off => break (Outcome::Cancelled, Word::default(), None),
            () = sleep_until(clock.when(until)) => break (Outcome::TimedOut, Word::default(), None),
        }
    };
    if let Some(answer) = progress.begun() {
        begun(answer).await;
    }
    let written = progress.is_written();
    let outcome = match outcome {
        Outcome::Cancelled if !written => Outcome::Moot,
        Outcome::TimedOut if !written => Outcome::ConnectFailed,
        Outcome::TimedOut if progress.is_held_up() => Outcome::Cancelled,
        outcome => outcome,
    };
    if outcome == Outcome::TimedOut {
        back.unanswered(host, clock.when(started));
    }
    End { outcome, took: clock.now() - started, word, answer }
}
