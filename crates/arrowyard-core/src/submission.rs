//! Where fronts of other threads hand their ops in. A front whose library wants futures that may move between
//! threads cannot hold the core's counts; it puts a value that may move through a bounded channel, and a task on
//! the core's thread takes it from there. No lock of this program's is held by either side.

use std::any::Any;
use std::rc::Rc;

use arrowyard_types::Timestamp;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

use crate::admission::{AdmissionController, AdmittedOp};
use crate::client_request::ClientRequest;
use crate::clock::Clock;
use crate::messages::RouteMessage;
use crate::reply::Reply;
use crate::transport::HostTransport;

/// An op as it comes from another thread. `P` tells its own call; `R` is the answer in a form that may move.
struct Submission<P, R> {
    payload: P,
    arrived: Timestamp,
    client: oneshot::Sender<Reply<R>>,
}

/// What an answer keeps here while its client is not done with it: its op's place, and the room that it takes.
pub struct RetainedResources {
    /// Resolves once the front is done with the answer, or has dropped it.
    pub done: oneshot::Receiver<()>,
    pub resources: Box<dyn Any>,
}

/// The side of the front; it may be cloned, sent and shared.
pub struct OpSubmitter<P, R> {
    errands: mpsc::Sender<Submission<P, R>>,
    clock: Clock,
}

impl<P, R> Clone for OpSubmitter<P, R> {
    fn clone(&self) -> Self {
        OpSubmitter { errands: self.errands.clone(), clock: self.clock }
    }
}

/// Why there is no answer: the router has ended, or takes no more at this moment and nothing was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitError {
    Stopped,
    Full,
}

impl<P, R> OpSubmitter<P, R> {
    /// Hands an op in and waits for its final answer; dropping the future is a client that left. Danger: a front
    /// that waits for room holds its clients past their time; with none left it is told so at once.
    pub async fn submit(&self, payload: P) -> Result<Reply<R>, SubmitError> {
        let (client, answer) = oneshot::channel();
        let errand = Submission { payload, arrived: self.clock.now(), client };
        self.errands.try_send(errand).map_err(|refused| match refused {
            mpsc::error::TrySendError::Full(_) => SubmitError::Full,
            mpsc::error::TrySendError::Closed(_) => SubmitError::Stopped,
        })?;
        answer.await.map_err(|_| SubmitError::Stopped)
    }
}

/// The side of the core.
pub struct OpIntake<B: HostTransport, P, R> {
    errands: mpsc::Receiver<Submission<P, R>>,
    gate: Rc<AdmissionController>,
    mail: mpsc::Sender<RouteMessage<B>>,
}

/// A hatch with room for so many ops that were not taken in yet.
pub fn channel<B: HostTransport, P, R>(
    room: usize,
    clock: Clock,
    gate: Rc<AdmissionController>,
    mail: mpsc::Sender<RouteMessage<B>>,
) -> (OpSubmitter<P, R>, OpIntake<B, P, R>) {
    let (errands, taken) = mpsc::channel(room);
    (OpSubmitter { errands, clock }, OpIntake { errands: taken, gate, mail })
}

impl<B: HostTransport, P: 'static, R: 'static> OpIntake<B, P, R> {
    /// Takes errands till every front has gone. `call` tells what the payload asks for, `load` makes of it what
    /// the back carries, and `lift` makes of a host's answer what may move, and what stays here till that is used up.
    pub async fn run(
        mut self,
        call: impl Fn(&P) -> ClientRequest<'_> + 'static,
        load: impl Fn(P) -> B::Payload + 'static,
        lift: impl Fn(B::Answer) -> (R, Option<RetainedResources>) + 'static,
    ) {
        let lift = Rc::new(lift);
        while let Some(Submission { payload, arrived, mut client }) = self.errands.recv().await {
            let AdmittedOp { request: ask, origin: claim, slot: place } =
                match self.gate.admit(call(&payload), arrived) {
                    Ok(admitted) => admitted,
                    Err(reply) => {
                        // A front that left does not hear it.
                        let _ = client.send(reply);
                        continue;
                    }
                };
            let (answer, answered) = oneshot::channel();
            let (op, mail, lift) = (ask.op, self.mail.clone(), lift.clone());
            if mail.send(RouteMessage::OpAdmitted(ask, claim, Rc::new(load(payload)), answer)).await.is_err()
            {
                return;
            }
            drop(spawn_local(async move {
                let reply = tokio::select! {
                    biased;
                    reply = answered => reply.unwrap_or(Reply::Errored),
                    // Danger: the front's client left, and hosts go on working for nobody.
                    () = client.closed() => {
                        let _ = mail.send(RouteMessage::ClientDisconnected(op)).await;
                        return;
                    }
                };
                let mut tail = None;
                let reply = match reply {
                    Reply::Acked(answer) => {
                        let (lifted, rest) = lift(answer);
                        tail = rest;
                        Reply::Acked(lifted)
                    }
                    Reply::Busy(after) => Reply::Busy(after),
                    Reply::Errored => Reply::Errored,
                    Reply::Refused(why) => Reply::Refused(why),
                };
                if client.send(reply).is_ok()
                    && let Some(RetainedResources { done, resources: keep }) = tail
                {
                    // Danger: a client that reads slowly gives its op's place away and takes the next, without end.
                    let _ = done.await;
                    drop(keep);
                }
                drop(place);
            }));
        }
    }
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use arrowyard_types::{HostId, HostStatus, Outcome};
    use tokio::runtime::Builder;
    use tokio::task::LocalSet;
    use tokio::time::Instant;

    use super::*;
    use crate::limits::Limits;
    use crate::transport::{ExchangeResult, Progress};

    /// Never sent to: the test answers in the route stage's place.
    struct Nowhere;

    impl HostTransport for Nowhere {
        type Payload = u64;
        type Answer = Rc<u64>;

        async fn exchange(
            &self,
            _: HostId,
            _: SocketAddr,
            _: &u64,
            _: Timestamp,
            _: Clock,
            _: &Progress<Rc<u64>>,
        ) -> ExchangeResult<Rc<u64>> {
            (Outcome::NotSent, HostStatus::default(), None)
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

    fn call(id: &u64) -> ClientRequest<'_> {
        let (op_type, tenant, after, token, session) = ("look", None, None, None, None);
        ClientRequest {
            id: *id,
            op_type,
            tenant,
            group: 1,
            timeout_ms: 80,
            last_commit_ms: after,
            is_retry: false,
            token,
            session,
            address: None,
            bytes: 9,
        }
    }

    #[test]
    fn ops_from_many_threads_get_their_own_answer_and_one_that_left_is_hung_up() {
        let (waybill, manifest, limits) =
            Limits::for_test(serde_json::json!({"grades": [{"name": "look", "objective": 5.0}]}));
        let front = Builder::new_multi_thread().worker_threads(4).build().expect("threads can be had");
        let core = Builder::new_current_thread().enable_all().build().expect("a runtime can be had");
        let threads = front.handle().clone();
        let hung = LocalSet::new().block_on(&core, async move {
            let gate =
                Rc::new(AdmissionController::new(&waybill.settings, &manifest, Rc::new(limits), false));
            let (mail, mut inbox) = mpsc::channel(64);
            let (hatch, desk) = channel::<Nowhere, u64, u64>(64, Clock::start(), gate, mail);
            drop(spawn_local(desk.run(call, |payload| payload, |answer| (*answer, None))));
            let asked: Vec<_> = (0..32)
                .map(|id| {
                    let hatch = hatch.clone();
                    threads.spawn(async move { (id, hatch.submit(id).await) })
                })
                .collect();
            let leaver = threads.spawn({
                let hatch = hatch.clone();
                async move { hatch.submit(1000).await }
            });
            let (mut left, mut kept) = (None, Vec::new());
            let hung = loop {
                match inbox.recv().await.expect("the desk holds the other end") {
                    RouteMessage::OpAdmitted(ask, _, payload, client) if *payload == 1000 => {
                        left = Some(ask.op);
                        kept.push(client);
                        leaver.abort();
                    }
                    RouteMessage::OpAdmitted(_, _, payload, client) => {
                        client.send(Reply::Acked(Rc::new(*payload * 2))).expect("its front waits");
                    }
                    RouteMessage::ClientDisconnected(op) => break Some(op) == left,
                    _ => panic!("nobody sends and nobody probes"),
                }
            };
            for asked in asked {
                let (id, reply) = asked.await.expect("its thread runs");
                assert_eq!(reply, Ok(Reply::Acked(id * 2)));
            }
            hung
        });
        assert!(hung, "the one that left");
        drop(front);
    }
}
