//! One send of an op to a host.

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

/// A send to be carried out.
pub struct SendRequest<P> {
    pub host: HostId,
    pub address: SocketAddr,
    pub payload: Rc<P>,
    pub deadline: Timestamp,
    /// Resolves when the send is cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// How a send ended.
#[derive(Debug)]
pub struct EndedSend<A> {
    pub outcome: Outcome,
    /// The time from the start of the send to its end.
    pub elapsed: TimeDelta,
    /// The status that the host reported.
    pub status: HostStatus,
    /// The answer, if it is complete and was not passed on when it began.
    pub answer: Option<A>,
}

impl<A> EndedSend<A> {
    /// A send that was not attempted: its op was answered, its deadline passed or its host has no address.
    pub fn unsent() -> Self {
        EndedSend {
            outcome: Outcome::NotSent,
            elapsed: TimeDelta::ZERO,
            status: HostStatus::default(),
            answer: None,
        }
    }
}

/// Carries out a send until it ends, is cancelled or reaches its deadline. A send whose payload was not
/// written completely never ran; after that it may have. `on_answer_begun` receives an answer that begins
/// before the send ends.
pub async fn run<T: HostTransport>(
    mut request: SendRequest<T::Payload>,
    transport: &T,
    clock: Clock,
    on_answer_begun: impl AsyncFn(T::Answer),
) -> EndedSend<T::Answer> {
    let (started_at, progress) = (clock.now(), Progress::default());
    if started_at >= request.deadline || request.cancelled.try_recv() != Err(TryRecvError::Empty) {
        return EndedSend::unsent();
    }
    let SendRequest { host, address, payload, deadline, mut cancelled } = request;
    let mut exchange = pin!(transport.exchange(host, address, &payload, deadline, clock, &progress));
    let (outcome, status, answer) = loop {
        tokio::select! {
            biased;
            result = &mut exchange => break result,
            // An answer begins only while the exchange is polled, just before this, so no waker is needed.
            answer = poll_fn(|_| progress.take_begun_answer().map_or(Poll::Pending, Poll::Ready)) => on_answer_begun(answer).await,
            _ = &mut cancelled => break (Outcome::Cancelled, HostStatus::default(), None),
            () = sleep_until(clock.instant_at(deadline)) => break (Outcome::TimedOut, HostStatus::default(), None),
        }
    };
    if let Some(answer) = progress.take_begun_answer() {
        on_answer_begun(answer).await;
    }
    let is_written = progress.is_written();
    let outcome = match outcome {
        Outcome::Cancelled if !is_written => Outcome::NotSent,
        Outcome::TimedOut if !is_written => Outcome::ConnectFailed,
        Outcome::TimedOut if progress.is_client_blocked() => Outcome::Cancelled,
        outcome => outcome,
    };
    if outcome == Outcome::TimedOut {
        transport.send_timed_out(host, clock.instant_at(started_at));
    }
    EndedSend { outcome, elapsed: clock.now() - started_at, status, answer }
}

#[cfg(test)]
mod tests {
    use std::cell::RefCell;
    use std::future::pending;

    use tokio::time::Instant;

    use super::*;
    use crate::transport::ExchangeResult;

    /// How a scripted host treats a send that was written completely.
    #[derive(Clone, Copy)]
    enum Script {
        /// The host does not respond.
        Hang,
        /// The send waits for its client.
        ClientBlocked,
        /// The send waited for its client and continues.
        ClientUnblocked,
        /// An answer begins and the send does not end.
        Begin,
        /// An answer begins and the send ends.
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
                Script::ClientBlocked => progress.set_client_blocked(true),
                Script::ClientUnblocked => {
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

    /// The outcome of the send and the answers that began.
    async fn run_script(script: Script) -> (Outcome, Vec<u8>) {
        let (clock, begun_answers) = (Clock::start(), RefCell::new(Vec::new()));
        let (_cancel, cancelled) = oneshot::channel();
        let deadline = clock.now() + TimeDelta::from_millis(50);
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let request = SendRequest { host: HostId(0), address, payload: Rc::new(()), deadline, cancelled };
        let ended_send =
            run(request, &script, clock, async |answer| begun_answers.borrow_mut().push(answer)).await;
        (ended_send.outcome, begun_answers.into_inner())
    }

    #[tokio::test(start_paused = true)]
    async fn time_spent_waiting_for_the_client_is_not_a_host_timeout() {
        assert_eq!(run_script(Script::Hang).await.0, Outcome::TimedOut);
        assert_eq!(run_script(Script::ClientUnblocked).await.0, Outcome::TimedOut);
        assert_eq!(run_script(Script::ClientBlocked).await.0, Outcome::Cancelled);
    }

    #[tokio::test(start_paused = true)]
    async fn a_begun_answer_is_passed_on_once_even_if_its_send_ends() {
        assert_eq!(run_script(Script::Begin).await, (Outcome::TimedOut, vec![7]));
        assert_eq!(run_script(Script::BeginAndEnd).await, (Outcome::Acked, vec![7]));
    }
}
