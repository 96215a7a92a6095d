//! What a voter promises and accepts. Invariant: nothing is said for it before it is on disk.

use super::*;

impl ReplicatedLog {
    /// Whether a voter answers for this slot; if not, it tells what it knows, or asks for what it lacks.
    pub(super) fn is_open(&mut self, now: Timestamp, from: u32, slot: u64, out: &mut Vec<Output>) -> bool {
        let next = self.applied.slot + 1;
        if slot < next {
            self.fetch(now, from, Fetch { from: slot }, out);
        } else if slot > next {
            self.ask_for_more(now, from, out);
        }
        slot == next
    }

    pub(super) fn prepare(&mut self, now: Timestamp, from: u32, prepare: Prepare, out: &mut Vec<Output>) {
        self.seen = self.seen.max(prepare.ballot.round);
        if !self.is_open(now, from, prepare.slot, out) || !self.votes {
            return;
        }
        let (slot, ballot) = (prepare.slot, prepare.ballot);
        if ballot > self.promised {
            self.promised = ballot;
            let accepted = self.accepted.clone();
            let word = Payload::Promise(Promise { slot, ballot, promised: ballot, accepted });
            self.store(RecordKind::Promised(Promised { slot, ballot }), Some((from, word)), out);
        } else if ballot < self.promised {
            let word = Payload::Promise(Promise { slot, ballot, promised: self.promised, accepted: None });
            self.send(now, from, word, out);
        }
        // Safety: the same question once more is answered by the promise that it was given, or is to be given once that is on
        // disk; an answer without what was accepted would pass for one that the slot is free.
    }

    pub(super) fn accept(&mut self, now: Timestamp, from: u32, accept: &Accept, out: &mut Vec<Output>) {
        self.seen = self.seen.max(accept.ballot.round);
        if !self.is_open(now, from, accept.slot, out) || !self.votes {
            return;
        }
        if accept.ballot >= self.promised {
            self.take_vote(now, from, accept, out);
        } else {
            let word = Accepted { slot: accept.slot, ballot: accept.ballot, promised: self.promised };
            self.send(now, from, Payload::Accepted(word), out);
        }
    }

    pub(super) fn take_vote(&mut self, _now: Timestamp, from: u32, accept: &Accept, out: &mut Vec<Output>) {
        self.promised = accept.ballot;
        self.accepted = Some(accept.clone());
        let word = Accepted { slot: accept.slot, ballot: accept.ballot, promised: accept.ballot };
        self.store(RecordKind::Accepted(accept.clone()), Some((from, Payload::Accepted(word))), out);
    }
}
