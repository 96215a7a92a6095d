//! What became of each op: exactly one end for each of its sends, and one final answer.

use std::collections::HashMap;
use std::rc::Rc;

use arrowyard_types::{OpId, Outcome, SendIndex};
use tokio::sync::oneshot;

use crate::reply::Reply;

struct Page<P, A> {
    payload: Rc<P>,
    /// Until the final answer is given.
    client: Option<oneshot::Sender<Reply<A>>>,
    /// By number.
    sends: Vec<Stand>,
}

/// How a send stands.
enum Stand {
    Out(oneshot::Sender<()>),
    /// Its end is still to come.
    CalledOff,
    Ended,
}

/// What has been answered since the last tally.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub acked: u32,
    pub busy: u32,
    pub errored: u32,
    pub gone: u32,
    pub sends: u32,
    pub lost_sends: u32,
    /// What the whole fleet pays for, beside first sends: further sends of an op, sends to hosts that are warming up,
    /// probes, and lines of the list.
    pub repeats: u32,
    pub cold: u32,
    pub probes: u32,
    pub listed: u32,
}

/// `P` is what fronts hand in, `A` a host's answer.
pub struct Book<P, A> {
    pages: HashMap<OpId, Page<P, A>>,
    pub tally: Tally,
    /// Ops whose pages are closed, where somebody wants to know.
    pub closed: Option<Vec<OpId>>,
}

impl<P, A> Default for Book<P, A> {
    fn default() -> Self {
        Book { pages: HashMap::new(), tally: Tally::default(), closed: None }
    }
}

impl<P, A> Book<P, A> {
    pub fn open(&mut self, op: OpId, payload: Rc<P>, client: oneshot::Sender<Reply<A>>) {
        self.pages.insert(op, Page { payload, client: Some(client), sends: Vec::new() });
    }

    pub fn open_ops(&self) -> usize {
        self.pages.len()
    }

    /// The number of the op's next send, its payload, and what tells it that it is called off; for an op that is
    /// over it is so at once. Nothing for an op whose page is closed.
    pub fn send(&mut self, op: OpId) -> Option<(SendIndex, Rc<P>, oneshot::Receiver<()>)> {
        let page = self.pages.get_mut(&op)?;
        let (call_off, called_off) = oneshot::channel();
        page.sends.push(if page.client.is_some() { Stand::Out(call_off) } else { Stand::CalledOff });
        self.tally.sends += 1;
        self.tally.repeats += u32::from(page.sends.len() > 1);
        Some((SendIndex(page.sends.len() as u32 - 1), page.payload.clone(), called_off))
    }

    pub fn call_off(&mut self, op: OpId, send: SendIndex) {
        let Some(stand) = self.stand(op, send) else { return };
        match std::mem::replace(stand, Stand::CalledOff) {
            // The send's end may be on its way already; then nobody hears this.
            Stand::Out(call_off) => drop(call_off.send(())),
            other => *stand = other,
        }
    }

    fn stand(&mut self, op: OpId, send: SendIndex) -> Option<&mut Stand> {
        self.pages.get_mut(&op)?.sends.get_mut(send.0 as usize)
    }

    /// Takes the end of a send; the first acked one goes to the client. Tells whether the op is over; nothing for
    /// an end that was taken before. Danger: an end taken twice would end another send in the module's eyes.
    pub fn end(&mut self, op: OpId, send: SendIndex, outcome: Outcome, answer: Option<A>) -> Option<bool> {
        let stand = self.stand(op, send).filter(|stand| !matches!(stand, Stand::Ended))?;
        *stand = Stand::Ended;
        self.tally.lost_sends += u32::from(!outcome.is_answer());
        if let Some(answer) = answer.filter(|_| outcome == Outcome::Acked) {
            self.answer(op, Reply::Acked(answer));
        }
        let over = self.pages.get(&op).is_none_or(|page| page.client.is_none());
        self.tidy(op);
        Some(over)
    }

    /// An answer of one of its sends begins, and goes to the client. Danger: it comes as the op was given up, and the
    /// client would be answered twice; then it is dropped, which ends its send.
    pub fn begin(&mut self, op: OpId, answer: A) {
        self.answer(op, Reply::Acked(answer));
    }

    /// The final answer, if the op has none yet.
    pub fn answer(&mut self, op: OpId, reply: Reply<A>) {
        let Some(client) = self.pages.get_mut(&op).and_then(|page| page.client.take()) else { return };
        let count = match reply {
            Reply::Acked(_) => &mut self.tally.acked,
            Reply::Busy(_) => &mut self.tally.busy,
            Reply::Errored | Reply::Refused(_) => &mut self.tally.errored,
        };
        *count += 1;
        if client.send(reply).is_err() {
            self.tally.gone += 1;
        }
        self.tidy(op);
    }

    /// The client went away; false if the op was over.
    pub fn hang_up(&mut self, op: OpId) -> bool {
        let client = self.pages.get_mut(&op).and_then(|page| page.client.take());
        self.tally.gone += u32::from(client.is_some());
        self.tidy(op);
        client.is_some()
    }

    fn tidy(&mut self, op: OpId) {
        let done = |page: &Page<P, A>| {
            page.client.is_none() && page.sends.iter().all(|stand| matches!(stand, Stand::Ended))
        };
        if self.pages.get(&op).is_some_and(done) {
            self.pages.remove(&op);
            self.closed.iter_mut().for_each(|closed| closed.push(op));
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use tokio::sync::oneshot::error::TryRecvError;

    use super::*;

    const OP: OpId = OpId(7);

    fn open() -> (Book<(), ()>, oneshot::Receiver<Reply<()>>) {
        let (client, answered) = oneshot::channel();
        let mut book = Book::default();
        book.open(OP, Rc::new(()), client);
        (book, answered)
    }

    #[test]
    fn a_send_ends_once_and_the_first_answer_is_the_only_one() {
        let (mut book, mut answered) = open();
        let sends: Vec<_> = (0..2).filter_map(|_| book.send(OP)).collect();
        assert_eq!(book.end(OP, SendIndex(0), Outcome::Reset, None), Some(false));
        assert_eq!(book.end(OP, SendIndex(0), Outcome::Acked, Some(())), None);
        assert_eq!(book.end(OP, SendIndex(1), Outcome::Acked, Some(())), Some(true));
        book.answer(OP, Reply::Errored);
        assert_eq!(answered.try_recv(), Ok(Reply::Acked(())));
        assert_eq!((book.open_ops(), book.end(OP, SendIndex(1), Outcome::Acked, None)), (0, None));
        assert!(book.send(OP).is_none());
        drop(sends);
    }

    #[test]
    fn an_op_that_is_over_is_kept_till_its_sends_have_ended_and_sends_no_more() {
        let (mut book, mut answered) = open();
        let (number, _, mut called_off) = book.send(OP).expect("the op is open");
        book.answer(OP, Reply::Busy(None));
        assert_eq!(answered.try_recv(), Ok(Reply::Busy(None)));
        assert!(!book.hang_up(OP));
        let (late, _, mut too_late) = book.send(OP).expect("its page is open");
        assert_eq!(too_late.try_recv(), Err(TryRecvError::Closed));
        assert_eq!(book.end(OP, late, Outcome::NotSent, None), Some(true));
        book.call_off(OP, number);
        book.call_off(OP, number);
        assert_eq!(called_off.try_recv(), Ok(()));
        assert_eq!(book.end(OP, number, Outcome::Cancelled, None), Some(true));
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
                    0 => match book.send(OP) {
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
                        let told = book.end(OP, SendIndex(number), outcome, answer);
                        prop_assert_eq!(told, known.then_some(first.is_some()));
                        ended.extend(known.then_some(number));
                    }
                    3 => {
                        book.answer(OP, Reply::Errored);
                        first.get_or_insert(Some(Reply::Errored));
                    }
                    4 => {
                        prop_assert_eq!(book.hang_up(OP), first.is_none());
                        first.get_or_insert(None);
                    }
                    _ => book.call_off(OP, SendIndex(number)),
                }
                let gone = first.is_some() && out.len() == ended.len();
                prop_assert_eq!(book.open_ops(), usize::from(!gone));
            }
            prop_assert_eq!(answered.try_recv().ok(), first.flatten());
        }
    }
}
