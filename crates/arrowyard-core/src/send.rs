//! One send of an op to a host, from the moment it is ordered to its end.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;

use arrowyard_types::{HostId, HostStatus, Outcome, TimeDelta, Timestamp};
use tokio::sync::oneshot::{self, error::TryRecvError};
use tokio::time::sleep_until;

use crate::back::{Back, Progress};
use crate::clock::Clock;

pub struct Order<P> {
    pub host: HostId,
    pub dial: SocketAddr,
    pub payload: Rc<P>,
    pub until: Timestamp,
    /// Resolves when the send is called off.
    pub called_off: oneshot::Receiver<()>,
}

/// How a send ended.
#[derive(Debug)]
pub struct End<A> {
    pub outcome: Outcome,
    pub took: TimeDelta,
    pub word: HostStatus,
    pub answer: Option<A>,
}

impl<A> End<A> {
    /// Of a send that was never tried: its op is over, its time has run out, or its host is nowhere.
    pub fn unsent() -> Self {
        End { outcome: Outcome::NotSent, took: TimeDelta::ZERO, word: HostStatus::default(), answer: None }
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
            _ = &mut called_off => break (Outcome::Cancelled, HostStatus::default(), None),
            () = sleep_until(clock.when(until)) => break (Outcome::TimedOut, HostStatus::default(), None),
        }
    };
    if let Some(answer) = progress.begun() {
        begun(answer).await;
    }
    let written = progress.is_written();
    let outcome = match outcome {
        Outcome::Cancelled if !written => Outcome::NotSent,
        Outcome::TimedOut if !written => Outcome::ConnectFailed,
        Outcome::TimedOut if progress.is_held_up() => Outcome::Cancelled,
        outcome => outcome,
    };
    if outcome == Outcome::TimedOut {
        back.unanswered(host, clock.when(started));
    }
    End { outcome, took: clock.now() - started, word, answer }
}

#[cfg(test)]
mod tests {
    use std::cell::RefCell;
    use std::future::pending;

    use tokio::time::Instant;

    use super::*;
    use crate::back::Told;

    /// A host that does as it is told with a send that was wholly written.
    #[derive(Clone, Copy)]
    enum Script {
        Hang,
        /// Its client is waited for.
        HeldUp,
        /// It was held up for a while, and goes on.
        Freed,
        /// An answer begins, and the send goes on till it is called off.
        Begin,
        /// An answer begins as the send ends.
        BeginAndEnd,
    }

    impl Back for Script {
        type Payload = ();
        type Answer = u8;

        async fn exchange(
            &self,
            _: HostId,
            _: SocketAddr,
            (): &(),
            _: Timestamp,
            _: Clock,
            progress: &Progress<u8>,
        ) -> Told<u8> {
            progress.written();
            match self {
                Script::Hang => {}
                Script::HeldUp => progress.held_up(true),
                Script::Freed => {
                    progress.held_up(true);
                    progress.held_up(false);
                }
                Script::Begin => progress.begin(7),
                Script::BeginAndEnd => {
                    progress.begin(7);
                    return (Outcome::Acked, HostStatus::default(), None);
                }
            }
            pending().await
        }

        async fn probe(&self, _: HostId, _: SocketAddr) -> (Outcome, HostStatus) {
            (Outcome::NotSent, HostStatus::default())
        }

        fn unanswered(&self, _: HostId, _: Instant) {}

        fn close_idle(&self, _: HostId) {}

        fn open(&self) -> usize {
            0
        }

        fn dialed(&self) -> u64 {
            0
        }
    }

    /// How the send ends, and what began meanwhile.
    async fn play(script: Script) -> (Outcome, Vec<u8>) {
        let (clock, begun) = (Clock::start(), RefCell::new(Vec::new()));
        let (_call_off, called_off) = oneshot::channel();
        let until = clock.now() + TimeDelta::from_millis(50);
        let dial = SocketAddr::from(([127, 0, 0, 1], 9));
        let order = Order { host: HostId(0), dial, payload: Rc::new(()), until, called_off };
        let end = run(order, &script, clock, async |answer| begun.borrow_mut().push(answer)).await;
        (end.outcome, begun.into_inner())
    }

    #[tokio::test(start_paused = true)]
    async fn a_host_is_not_blamed_for_the_time_that_its_client_took() {
        assert_eq!(play(Script::Hang).await.0, Outcome::TimedOut);
        assert_eq!(play(Script::Freed).await.0, Outcome::TimedOut);
        assert_eq!(play(Script::HeldUp).await.0, Outcome::Cancelled);
    }

    #[tokio::test(start_paused = true)]
    async fn an_answer_that_begins_is_handed_on_once_even_as_its_send_ends() {
        assert_eq!(play(Script::Begin).await, (Outcome::TimedOut, vec![7]));
        assert_eq!(play(Script::BeginAndEnd).await, (Outcome::Acked, vec![7]));
    }
}
