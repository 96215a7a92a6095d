//! What became of each op: exactly one end for each of its sends, and one final answer.

use std::collections::HashMap;
use std::rc::Rc;

use arrowyard_types::{OpId, Outcome, SendIndex};
use tokio::sync::oneshot;

use crate::reply::Reply;

struct OpEntry<P, A> {
    payload: Rc<P>,
    /// Until the final answer is given.
    client: Option<oneshot::Sender<Reply<A>>>,
    /// By number.
    sends: Vec<SendState>,
}

/// How a send stands.
enum SendState {
    InFlight(oneshot::Sender<()>),
    /// Its end is still to come.
    Cancelled,
    Ended,
}

/// What has been answered since the last tally.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpCounters {
    pub acked: u32,
    pub busy: u32,
    pub errored: u32,
    pub disconnected: u32,
    pub sends: u32,
    pub lost_sends: u32,
    /// What the whole fleet pays for, beside first sends: further sends of an op, sends to hosts that are warming up,
    /// probes, and lines of the list.
    pub retries: u32,
    pub cold_sends: u32,
    pub probes: u32,
    pub list_entries: u32,
}

/// `P` is what fronts hand in, `A` a host's answer.
pub struct OpTable<P, A> {
    ops: HashMap<OpId, OpEntry<P, A>>,
    pub counters: OpCounters,
    /// Ops whose pages are closed, where somebody wants to know.
    pub closed_ops: Option<Vec<OpId>>,
}

impl<P, A> Default for OpTable<P, A> {
    fn default() -> Self {
        OpTable { ops: HashMap::new(), counters: OpCounters::default(), closed_ops: None }
    }
}

impl<P, A> OpTable<P, A> {
    pub fn insert(&mut self, op: OpId, payload: Rc<P>, client: oneshot::Sender<Reply<A>>) {
        self.ops.insert(op, OpEntry { payload, client: Some(client), sends: Vec::new() });
    }

    pub fn open_ops(&self) -> usize {
        self.ops.len()
    }

    /// The number of the op's next send, its payload, and what tells it that it is called off; for an op that is
    /// over it is so at once. Nothing for an op whose page is closed.
    pub fn start_send(&mut self, op: OpId) -> Option<(SendIndex, Rc<P>, oneshot::Receiver<()>)> {
        let page = self.ops.get_mut(&op)?;
        let (call_off, called_off) = oneshot::channel();
        page.sends.push(if page.client.is_some() {
            SendState::InFlight(call_off)
        } else {
            SendState::Cancelled
        });
        self.counters.sends += 1;
        self.counters.retries += u32::from(page.sends.len() > 1);
        Some((SendIndex(page.sends.len() as u32 - 1), page.payload.clone(), called_off))
    }

    pub fn cancel_send(&mut self, op: OpId, send: SendIndex) {
        let Some(stand) = self.send_state(op, send) else { return };
        match std::mem::replace(stand, SendState::Cancelled) {
            // The send's end may be on its way already; then nobody hears this.
            SendState::InFlight(call_off) => drop(call_off.send(())),
            other => *stand = other,
        }
    }

    fn send_state(&mut self, op: OpId, send: SendIndex) -> Option<&mut SendState> {
        self.ops.get_mut(&op)?.sends.get_mut(send.0 as usize)
    }

    /// Takes the end of a send; the first acked one goes to the client. Tells whether the op is over; nothing for
    /// an end that was taken before. Danger: an end taken twice would end another send in the module's eyes.
    pub fn end_send(
        &mut self,
        op: OpId,
        send: SendIndex,
        outcome: Outcome,
        answer: Option<A>,
    ) -> Option<bool> {
        let stand = self.send_state(op, send).filter(|stand| !matches!(stand, SendState::Ended))?;
        *stand = SendState::Ended;
        self.counters.lost_sends += u32::from(!outcome.is_answer());
        if let Some(answer) = answer.filter(|_| outcome == Outcome::Acked) {
            self.complete(op, Reply::Acked(answer));
        }
        let over = self.ops.get(&op).is_none_or(|page| page.client.is_none());
        self.remove_if_done(op);
        Some(over)
    }

    /// An answer of one of its sends begins, and goes to the client. Danger: it comes as the op was given up, and the
    /// client would be answered twice; then it is dropped, which ends its send.
    pub fn begin_answer(&mut self, op: OpId, answer: A) {
        self.complete(op, Reply::Acked(answer));
    }

    /// The final answer, if the op has none yet.
    pub fn complete(&mut self, op: OpId, reply: Reply<A>) {
        let Some(client) = self.ops.get_mut(&op).and_then(|page| page.client.take()) else { return };
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

    /// The client went away; false if the op was over.
    pub fn client_disconnected(&mut self, op: OpId) -> bool {
        let client = self.ops.get_mut(&op).and_then(|page| page.client.take());
        self.counters.disconnected += u32::from(client.is_some());
        self.remove_if_done(op);
        client.is_some()
    }

    fn remove_if_done(&mut self, op: OpId) {
        let done = |page: &OpEntry<P, A>| {
            page.client.is_none() && page.sends.iter().all(|stand| matches!(stand, SendState::Ended))
        };
        if self.ops.get(&op).is_some_and(done) {
            self.ops.remove(&op);
            self.closed_ops.iter_mut().for_each(|closed| closed.push(op));
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use tokio::sync::oneshot::error::TryRecvError;

    use super::*;

    const OP: OpId = OpId(7);

    fn open() -> (OpTable<(), ()>, oneshot::Receiver<Reply<()>>) {
        let (client, answered) = oneshot::channel();
        let mut book = OpTable::default();
        book.insert(OP, Rc::new(()), client);
        (book, answered)
    }

    #[test]
    fn a_send_ends_once_and_the_first_answer_is_the_only_one() {
        let (mut book, mut answered) = open();
        let sends: Vec<_> = (0..2).filter_map(|_| book.start_send(OP)).collect();
        assert_eq!(book.end_send(OP, SendIndex(0), Outcome::Reset, None), Some(false));
        assert_eq!(book.end_send(OP, SendIndex(0), Outcome::Acked, Some(())), None);
        assert_eq!(book.end_send(OP, SendIndex(1), Outcome::Acked, Some(())), Some(true));
        book.complete(OP, Reply::Errored);
        assert_eq!(answered.try_recv(), Ok(Reply::Acked(())));
        assert_eq!((book.open_ops(), book.end_send(OP, SendIndex(1), Outcome::Acked, None)), (0, None));
        assert!(book.start_send(OP).is_none());
        drop(sends);
    }

    #[test]
    fn an_op_that_is_over_is_kept_till_its_sends_have_ended_and_sends_no_more() {
        let (mut book, mut answered) = open();
        let (number, _, mut called_off) = book.start_send(OP).expect("the op is open");
        book.complete(OP, Reply::Busy(None));
        assert_eq!(answered.try_recv(), Ok(Reply::Busy(None)));
        assert!(!book.client_disconnected(OP));
        let (late, _, mut too_late) = book.start_send(OP).expect("its page is open");
        assert_eq!(too_late.try_recv(), Err(TryRecvError::Closed));
        assert_eq!(book.end_send(OP, late, Outcome::NotSent, None), Some(true));
        book.cancel_send(OP, number);
        book.cancel_send(OP, number);
        assert_eq!(called_off.try_recv(), Ok(()));
        assert_eq!(book.end_send(OP, number, Outcome::Cancelled, None), Some(true));
        assert_eq!(book.open_ops(), 0);
    }

    proptest! {
        /// A plain model: which sends are out, and what ended the op first.
        #[test]
        fn whatever_comes_in_whatever_order_each_send_ends_once_and_the_op_once(
            steps in prop::collection::vec((0_u8..6, 0_u32..4), 0..40),
        ) {
            let (mut book, mut answered) = open();
            let (mut out, mut ended, mut first) = (Vec::new(), Vec::new(), None);
            for (step, number) in steps {
                let known = out.contains(&number) && !ended.contains(&number);
                match step {
                    0 => match book.start_send(OP) {
                        Some((SendIndex(number), ..)) => {
                            prop_assert_eq!(number, out.len() as u32);
                            out.push(number);
                        }
                        None => prop_assert!(first.is_some() && out.len() == ended.len()),
                    },
                    1 | 2 => {
                        let (outcome, answer) = match step {
                            1 => (Outcome::Acked, Some(())),
                            _ => (Outcome::TimedOut, None),
                        };
                        if known && step == 1 {
                            first.get_or_insert(Some(Reply::Acked(())));
                        }
                        let told = book.end_send(OP, SendIndex(number), outcome, answer);
                        prop_assert_eq!(told, known.then_some(first.is_some()));
                        ended.extend(known.then_some(number));
                    }
                    3 => {
                        book.complete(OP, Reply::Errored);
                        first.get_or_insert(Some(Reply::Errored));
                    }
                    4 => {
                        prop_assert_eq!(book.client_disconnected(OP), first.is_none());
                        first.get_or_insert(None);
                    }
                    _ => book.cancel_send(OP, SendIndex(number)),
                }
                let gone = first.is_some() && out.len() == ended.len();
                prop_assert_eq!(book.open_ops(), usize::from(!gone));
            }
            prop_assert_eq!(answered.try_recv().ok(), first.flatten());
        }
    }
}
