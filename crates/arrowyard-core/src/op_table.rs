//! The open ops: each send ends exactly once, and each op gets exactly one final reply.

use std::collections::HashMap;
use std::rc::Rc;

use arrowyard_types::{OpId, Outcome, SendIndex};
use tokio::sync::oneshot;

use crate::reply::Reply;

/// An open op.
struct OpEntry<P, A> {
    payload: Rc<P>,
    /// Present until the final reply is sent.
    client: Option<oneshot::Sender<Reply<A>>>,
    /// Indexed by `SendIndex`.
    sends: Vec<SendState>,
}

/// The state of one send.
enum SendState {
    InFlight(oneshot::Sender<()>),
    /// Cancelled, but its end has not been reported yet.
    Cancelled,
    Ended,
}

/// Counts of ops, sends and other load since they were last logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpCounters {
    /// Ops answered by a host.
    pub acked: u32,
    /// Ops that got a busy reply.
    pub busy: u32,
    /// Ops that failed or were refused.
    pub errored: u32,
    /// Ops whose client disconnected before the final reply.
    pub disconnected: u32,
    /// All sends, including retries.
    pub sends: u32,
    /// Sends that ended without an answer.
    pub lost_sends: u32,
    /// Sends of an op after its first one.
    pub retries: u32,
    /// Sends to recently started hosts.
    pub cold_sends: u32,
    pub probes: u32,
    /// Entries of received host lists.
    pub list_entries: u32,
}

/// The open ops. `P` is the payload of a request, `A` a host's answer.
pub struct OpTable<P, A> {
    ops: HashMap<OpId, OpEntry<P, A>>,
    pub counters: OpCounters,
    /// Ops that were removed from the table, for the cells; `None` if no cells are configured.
    pub closed_ops: Option<Vec<OpId>>,
}

impl<P, A> Default for OpTable<P, A> {
    fn default() -> Self {
        OpTable { ops: HashMap::new(), counters: OpCounters::default(), closed_ops: None }
    }
}

impl<P, A> OpTable<P, A> {
    /// Adds an op; `client` receives its final reply.
    pub fn insert(&mut self, op: OpId, payload: Rc<P>, client: oneshot::Sender<Reply<A>>) {
        self.ops.insert(op, OpEntry { payload, client: Some(client), sends: Vec::new() });
    }

    /// The number of ops that are not answered or have a send in flight.
    pub fn open_ops(&self) -> usize {
        self.ops.len()
    }

    /// Starts a send; returns its index, the payload and its cancellation signal, which is already set if the
    /// op was answered. `None` if the op is unknown.
    pub fn start_send(&mut self, op: OpId) -> Option<(SendIndex, Rc<P>, oneshot::Receiver<()>)> {
        let op_entry = self.ops.get_mut(&op)?;
        let (cancel, cancelled) = oneshot::channel();
        op_entry.sends.push(if op_entry.client.is_some() {
            SendState::InFlight(cancel)
        } else {
            SendState::Cancelled
        });
        self.counters.sends += 1;
        self.counters.retries += u32::from(op_entry.sends.len() > 1);
        Some((SendIndex(op_entry.sends.len() as u32 - 1), op_entry.payload.clone(), cancelled))
    }

    /// Cancels a send in flight.
    pub fn cancel_send(&mut self, op: OpId, send: SendIndex) {
        let Some(state) = self.send_state(op, send) else { return };
        match std::mem::replace(state, SendState::Cancelled) {
            // The send may have ended already, so its receiver may be gone.
            SendState::InFlight(cancel) => drop(cancel.send(())),
            previous => *state = previous,
        }
    }

    fn send_state(&mut self, op: OpId, send: SendIndex) -> Option<&mut SendState> {
        self.ops.get_mut(&op)?.sends.get_mut(send.0 as usize)
    }

    /// Records the end of a send and completes the op with the first acknowledged answer. Returns whether the
    /// op is answered, or `None` if the send is unknown or ended before: the decision module must see each
    /// end once.
    pub fn end_send(
        &mut self,
        op: OpId,
        send: SendIndex,
        outcome: Outcome,
        answer: Option<A>,
    ) -> Option<bool> {
        let state = self.send_state(op, send).filter(|state| !matches!(state, SendState::Ended))?;
        *state = SendState::Ended;
        self.counters.lost_sends += u32::from(!outcome.is_answer());
        if let Some(answer) = answer.filter(|_| outcome == Outcome::Acked) {
            self.complete(op, Reply::Acked(answer));
        }
        let is_answered = self.ops.get(&op).is_none_or(|op_entry| op_entry.client.is_none());
        self.remove_if_done(op);
        Some(is_answered)
    }

    /// Completes the op with an answer that is still being received. If the op was already answered, the
    /// answer is dropped, which ends its send.
    pub fn begin_answer(&mut self, op: OpId, answer: A) {
        self.complete(op, Reply::Acked(answer));
    }

    /// Sends the final reply, unless one was sent.
    pub fn complete(&mut self, op: OpId, reply: Reply<A>) {
        let Some(client) = self.ops.get_mut(&op).and_then(|op_entry| op_entry.client.take()) else { return };
        let count = match reply {
            Reply::Acked(_) => &mut self.counters.acked,
            Reply::Busy(_) => &mut self.counters.busy,
            Reply::Errored | Reply::Refused(_) => &mut self.counters.errored,
        };
        *count += 1;
        if client.send(reply).is_err() {
            self.counters.disconnected += 1;
        }
        self.remove_if_done(op);
    }

    /// The client disconnected; false if the op was already answered.
    pub fn client_disconnected(&mut self, op: OpId) -> bool {
        let client = self.ops.get_mut(&op).and_then(|op_entry| op_entry.client.take());
        self.counters.disconnected += u32::from(client.is_some());
        self.remove_if_done(op);
        client.is_some()
    }

    fn remove_if_done(&mut self, op: OpId) {
        let is_done = |op_entry: &OpEntry<P, A>| {
            op_entry.client.is_none() && op_entry.sends.iter().all(|state| matches!(state, SendState::Ended))
        };
        if self.ops.get(&op).is_some_and(is_done) {
            self.ops.remove(&op);
            self.closed_ops.iter_mut().for_each(|closed_ops| closed_ops.push(op));
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use tokio::sync::oneshot::error::TryRecvError;

    use super::*;

    const OP: OpId = OpId(7);

    fn table_with_one_op() -> (OpTable<(), ()>, oneshot::Receiver<Reply<()>>) {
        let (client, reply) = oneshot::channel();
        let mut table = OpTable::default();
        table.insert(OP, Rc::new(()), client);
        (table, reply)
    }

    #[test]
    fn a_send_ends_once_and_only_the_first_answer_counts() {
        let (mut table, mut reply) = table_with_one_op();
        let sends: Vec<_> = (0..2).filter_map(|_| table.start_send(OP)).collect();
        assert_eq!(table.end_send(OP, SendIndex(0), Outcome::Reset, None), Some(false));
        assert_eq!(table.end_send(OP, SendIndex(0), Outcome::Acked, Some(())), None);
        assert_eq!(table.end_send(OP, SendIndex(1), Outcome::Acked, Some(())), Some(true));
        table.complete(OP, Reply::Errored);
        assert_eq!(reply.try_recv(), Ok(Reply::Acked(())));
        assert_eq!((table.open_ops(), table.end_send(OP, SendIndex(1), Outcome::Acked, None)), (0, None));
        assert!(table.start_send(OP).is_none());
        drop(sends);
    }

    #[test]
    fn an_answered_op_stays_until_its_sends_end_and_starts_none() {
        let (mut table, mut reply) = table_with_one_op();
        let (send, _, mut cancelled) = table.start_send(OP).expect("the op is open");
        table.complete(OP, Reply::Busy(None));
        assert_eq!(reply.try_recv(), Ok(Reply::Busy(None)));
        assert!(!table.client_disconnected(OP));
        let (late_send, _, mut late_cancelled) = table.start_send(OP).expect("the op has a send in flight");
        assert_eq!(late_cancelled.try_recv(), Err(TryRecvError::Closed));
        assert_eq!(table.end_send(OP, late_send, Outcome::NotSent, None), Some(true));
        table.cancel_send(OP, send);
        table.cancel_send(OP, send);
        assert_eq!(cancelled.try_recv(), Ok(()));
        assert_eq!(table.end_send(OP, send, Outcome::Cancelled, None), Some(true));
        assert_eq!(table.open_ops(), 0);
    }

    proptest! {
        /// Compares the table with a model: sends in flight, ended sends and what ended the op first.
        #[test]
        fn each_send_and_each_op_ends_once_in_any_order(
            steps in prop::collection::vec((0_u8..6, 0_u32..4), 0..40),
        ) {
            let (mut table, mut reply) = table_with_one_op();
            let (mut started, mut ended, mut first_reply) = (Vec::new(), Vec::new(), None);
            for (step, send) in steps {
                let is_in_flight = started.contains(&send) && !ended.contains(&send);
                match step {
                    0 => match table.start_send(OP) {
                        Some((SendIndex(send), ..)) => {
                            prop_assert_eq!(send, started.len() as u32);
                            started.push(send);
                        }
                        None => prop_assert!(first_reply.is_some() && started.len() == ended.len()),
                    },
                    1 | 2 => {
                        let (outcome, answer) = match step {
                            1 => (Outcome::Acked, Some(())),
                            _ => (Outcome::TimedOut, None),
                        };
                        if is_in_flight && step == 1 {
                            first_reply.get_or_insert(Some(Reply::Acked(())));
                        }
                        let is_answered = table.end_send(OP, SendIndex(send), outcome, answer);
                        prop_assert_eq!(is_answered, is_in_flight.then_some(first_reply.is_some()));
                        ended.extend(is_in_flight.then_some(send));
                    }
                    3 => {
                        table.complete(OP, Reply::Errored);
                        first_reply.get_or_insert(Some(Reply::Errored));
                    }
                    4 => {
                        prop_assert_eq!(table.client_disconnected(OP), first_reply.is_none());
                        first_reply.get_or_insert(None);
                    }
                    _ => table.cancel_send(OP, SendIndex(send)),
                }
                let is_closed = first_reply.is_some() && started.len() == ended.len();
                prop_assert_eq!(table.open_ops(), usize::from(!is_closed));
            }
            prop_assert_eq!(reply.try_recv().ok(), first_reply.flatten());
        }
    }
}
