//! One send of an op to a host, from the moment it is ordered to its end.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;

use arrowyard_types::{HostId, HostStatus, Outcome, TimeDelta, Timestamp};
use tokio::sync::oneshot::{self, error::TryRecvError};
use tokio::time::sleep_until;

use crate::clock::Clock;
use crate::transport::{HostTransport, Progress};

pub struct SendRequest<P> {
    pub host: HostId,
    pub address: SocketAddr,
    pub payload: Rc<P>,
    pub deadline: Timestamp,
    /// Resolves when the send is called off.
    pub cancelled: oneshot::Receiver<()>,
}

/// How a send ended.
#[derive(Debug)]
pub struct EndedSend<A> {
    pub outcome: Outcome,
    pub elapsed: TimeDelta,
    pub status: HostStatus,
    pub answer: Option<A>,
}

impl<A> EndedSend<A> {
    /// Of a send that was never tried: its op is over, its time has run out, or its host is nowhere.
    pub fn unsent() -> Self {
        EndedSend {
            outcome: Outcome::NotSent,
            elapsed: TimeDelta::ZERO,
            status: HostStatus::default(),
            answer: None,
        }
    }
}

/// Carries the order out. Until the payload is wholly written it never ran, whatever happens; from then on it may
/// have. Giving up closes the connection. `begun` is handed an answer that begins before the send has ended.
pub async fn run<B: HostTransport>(
    mut order: SendRequest<B::Payload>,
    back: &B,
    clock: Clock,
    begun: impl AsyncFn(B::Answer),
) -> EndedSend<B::Answer> {
    let (started, progress) = (clock.now(), Progress::default());
    if started >= order.deadline || order.cancelled.try_recv() != Err(TryRecvError::Empty) {
        return EndedSend::unsent();
    }
    let SendRequest { host, address, payload, deadline, mut cancelled } = order;
    let mut exchange = pin!(back.exchange(host, address, &payload, deadline, clock, &progress));
    let (outcome, word, answer) = loop {
        tokio::select! {
            biased;
            told = &mut exchange => break told,
            // An answer begins while the exchange is polled, just before this; nobody has to be woken for it.
            answer = poll_fn(|_| progress.take_begun_answer().map_or(Poll::Pending, Poll::Ready)) => begun(answer).await,
            _ = &mut cancelled => break (Outcome::Cancelled, HostStatus::default(), None),
            () = sleep_until(clock.instant_at(deadline)) => break (Outcome::TimedOut, HostStatus::default(), None),
        }
    };
    if let Some(answer) = progress.take_begun_answer() {
        begun(answer).await;
    }
    let written = progress.is_written();
    let outcome = match outcome {
        Outcome::Cancelled if !written => Outcome::NotSent,
        Outcome::TimedOut if !written => Outcome::ConnectFailed,
        Outcome::TimedOut if progress.is_client_blocked() => Outcome::Cancelled,
        outcome => outcome,
    };
    if outcome == Outcome::TimedOut {
        back.send_timed_out(host, clock.instant_at(started));
    }
    EndedSend { outcome, elapsed: clock.now() - started, status: word, answer }
}

#[cfg(test)]
mod tests {
    use std::cell::RefCell;
    use std::future::pending;

    use tokio::time::Instant;

    use super::*;
    use crate::transport::ExchangeResult;

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

    impl HostTransport for Script {
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
        ) -> ExchangeResult<u8> {
            progress.mark_written();
            match self {
                Script::Hang => {}
                Script::HeldUp => progress.set_client_blocked(true),
                Script::Freed => {
                    progress.set_client_blocked(true);
                    progress.set_client_blocked(false);
                }
                Script::Begin => progress.begin_answer(7),
                Script::BeginAndEnd => {
                    progress.begin_answer(7);
                    return (Outcome::Acked, HostStatus::default(), None);
                }
            }
            pending().await
        }

        async fn probe(&self, _: HostId, _: SocketAddr) -> (Outcome, HostStatus) {
            (Outcome::NotSent, HostStatus::default())
        }

        fn send_timed_out(&self, _: HostId, _: Instant) {}

        fn close_idle(&self, _: HostId) {}

        fn open_connections(&self) -> usize {
            0
        }

        fn connections_started(&self) -> u64 {
            0
        }
    }

    /// How the send ends, and what began meanwhile.
    async fn play(script: Script) -> (Outcome, Vec<u8>) {
        let (clock, begun) = (Clock::start(), RefCell::new(Vec::new()));
        let (_call_off, called_off) = oneshot::channel();
        let until = clock.now() + TimeDelta::from_millis(50);
        let dial = SocketAddr::from(([127, 0, 0, 1], 9));
        let order = SendRequest {
            host: HostId(0),
            address: dial,
            payload: Rc::new(()),
            deadline: until,
            cancelled: called_off,
        };
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
