//! Submission of ops by front ends on other threads, over a bounded channel to a task on the core's thread.

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

/// An op from another thread. `P` is the payload, `R` the answer in a form that is `Send`.
struct Submission<P, R> {
    payload: P,
    arrived_at: Timestamp,
    client: oneshot::Sender<Reply<R>>,
}

/// Resources of an answer that stay allocated on the core's thread until the front end is done with it.
pub struct RetainedResources {
    /// Resolves once the front end is done with the answer or dropped it.
    pub done: oneshot::Receiver<()>,
    /// Dropped after `done` resolves.
    pub resources: Box<dyn Any>,
}

/// The front end's side of the channel.
pub struct OpSubmitter<P, R> {
    submissions: mpsc::Sender<Submission<P, R>>,
    clock: Clock,
}

impl<P, R> Clone for OpSubmitter<P, R> {
    fn clone(&self) -> Self {
        OpSubmitter { submissions: self.submissions.clone(), clock: self.clock }
    }
}

/// Why there is no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// The router ended; the op may have run.
    Stopped,
    /// The queue is full; the op did not run.
    Full,
}

impl<P, R> OpSubmitter<P, R> {
    /// Submits an op and waits for its final reply; dropping the future cancels the op.
    ///
    /// # Errors
    /// `Full` at once if the queue is full, so that clients do not wait beyond their deadlines; `Stopped` if
    /// the router ended.
    pub async fn submit(&self, payload: P) -> Result<Reply<R>, SubmitError> {
        let (client, reply) = oneshot::channel();
        let submission = Submission { payload, arrived_at: self.clock.now(), client };
        self.submissions.try_send(submission).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => SubmitError::Full,
            mpsc::error::TrySendError::Closed(_) => SubmitError::Stopped,
        })?;
        reply.await.map_err(|_| SubmitError::Stopped)
    }
}

/// The core's side of the channel.
pub struct OpIntake<T: HostTransport, P, R> {
    submissions: mpsc::Receiver<Submission<P, R>>,
    controller: Rc<AdmissionController>,
    messages: mpsc::Sender<RouteMessage<T>>,
}

/// Creates a channel that holds up to `capacity` ops until they are admitted.
pub fn channel<T: HostTransport, P, R>(
    capacity: usize,
    clock: Clock,
    controller: Rc<AdmissionController>,
    messages: mpsc::Sender<RouteMessage<T>>,
) -> (OpSubmitter<P, R>, OpIntake<T, P, R>) {
    let (submissions, submission_receiver) = mpsc::channel(capacity);
    (OpSubmitter { submissions, clock }, OpIntake { submissions: submission_receiver, controller, messages })
}

impl<T: HostTransport, P: 'static, R: 'static> OpIntake<T, P, R> {
    /// Admits submissions until every submitter is dropped. `to_request` describes the payload's request,
    /// `to_payload` converts it to the transport's payload, and `split_answer` splits a host's answer into a
    /// part that is `Send` and retained resources.
    pub async fn run(
        mut self,
        to_request: impl Fn(&P) -> ClientRequest<'_> + 'static,
        to_payload: impl Fn(P) -> T::Payload + 'static,
        split_answer: impl Fn(T::Answer) -> (R, Option<RetainedResources>) + 'static,
    ) {
        let split_answer = Rc::new(split_answer);
        while let Some(Submission { payload, arrived_at, mut client }) = self.submissions.recv().await {
            let AdmittedOp { request, origin, slot } =
                match self.controller.admit(to_request(&payload), arrived_at) {
                    Ok(admitted) => admitted,
                    Err(reply) => {
                        // The front end may have dropped the op.
                        let _ = client.send(reply);
                        continue;
                    }
                };
            let (reply_sender, reply_receiver) = oneshot::channel();
            let (op, messages, split_answer) = (request.op, self.messages.clone(), split_answer.clone());
            if messages
                .send(RouteMessage::OpAdmitted(request, origin, Rc::new(to_payload(payload)), reply_sender))
                .await
                .is_err()
            {
                return;
            }
            drop(spawn_local(async move {
                let reply = tokio::select! {
                    biased;
                    reply = reply_receiver => reply.unwrap_or(Reply::Errored),
                    // The client disconnected: cancels the op, so that hosts stop working on it.
                    () = client.closed() => {
                        let _ = messages.send(RouteMessage::ClientDisconnected(op)).await;
                        return;
                    }
                };
                let mut retained_resources = None;
                let reply = match reply {
                    Reply::Acked(answer) => {
                        let (sendable_answer, retained) = split_answer(answer);
                        retained_resources = retained;
                        Reply::Acked(sendable_answer)
                    }
                    Reply::Busy(retry_after) => Reply::Busy(retry_after),
                    Reply::Errored => Reply::Errored,
                    Reply::Refused(reason) => Reply::Refused(reason),
                };
                if client.send(reply).is_ok()
                    && let Some(RetainedResources { done, resources }) = retained_resources
                {
                    // Keeps the op's slot until a slow client has read the answer.
                    let _ = done.await;
                    drop(resources);
                }
                drop(slot);
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

    /// A transport that is never called: the test replies instead of the route task.
    struct UnusedTransport;

    impl HostTransport for UnusedTransport {
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

    fn client_request(id: &u64) -> ClientRequest<'_> {
        let (op_type, tenant, last_commit_ms, token, session) = ("look", None, None, None, None);
        ClientRequest {
            id: *id,
            op_type,
            tenant,
            group: 1,
            timeout_ms: 80,
            last_commit_ms,
            is_retry: false,
            token,
            session,
            address: None,
            bytes: 9,
        }
    }

    #[test]
    fn ops_of_many_threads_get_their_answers_and_a_dropped_one_is_cancelled() {
        let (config, router_settings, limits) =
            Limits::for_test(serde_json::json!({"grades": [{"name": "look", "objective": 5.0}]}));
        let front_runtime =
            Builder::new_multi_thread().worker_threads(4).build().expect("the runtime starts");
        let core_runtime = Builder::new_current_thread().enable_all().build().expect("the runtime starts");
        let front_threads = front_runtime.handle().clone();
        let disconnected = LocalSet::new().block_on(&core_runtime, async move {
            let controller =
                Rc::new(AdmissionController::new(&config.settings, &router_settings, Rc::new(limits), false));
            let (messages, mut inbox) = mpsc::channel(64);
            let (submitter, intake) =
                channel::<UnusedTransport, u64, u64>(64, Clock::start(), controller, messages);
            drop(spawn_local(intake.run(client_request, |payload| payload, |answer| (*answer, None))));
            let pending: Vec<_> = (0..32)
                .map(|id| {
                    let submitter = submitter.clone();
                    front_threads.spawn(async move { (id, submitter.submit(id).await) })
                })
                .collect();
            let dropped = front_threads.spawn({
                let submitter = submitter.clone();
                async move { submitter.submit(1000).await }
            });
            let (mut dropped_op, mut kept_senders) = (None, Vec::new());
            let disconnected = loop {
                match inbox.recv().await.expect("the intake is running") {
                    RouteMessage::OpAdmitted(request, _, payload, client) if *payload == 1000 => {
                        dropped_op = Some(request.op);
                        kept_senders.push(client);
                        dropped.abort();
                    }
                    RouteMessage::OpAdmitted(_, _, payload, client) => {
                        client.send(Reply::Acked(Rc::new(*payload * 2))).expect("the submitter waits");
                    }
                    RouteMessage::ClientDisconnected(op) => break Some(op) == dropped_op,
                    _ => panic!("unexpected message"),
                }
            };
            for submission in pending {
                let (id, reply) = submission.await.expect("the task completes");
                assert_eq!(reply, Ok(Reply::Acked(id * 2)));
            }
            disconnected
        });
        assert!(disconnected, "the dropped op is cancelled");
        drop(front_runtime);
    }
}
