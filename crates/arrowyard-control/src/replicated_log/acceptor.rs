//! Voter role. Invariant: a promise or acceptance is sent only after its record is durable.

use super::*;

impl ReplicatedLog {
    /// Whether `slot` is the next open one. Otherwise sends the entries the peer lacks, or fetches the
    /// missing ones from it.
    pub(super) fn check_slot(&mut self, now: Timestamp, from: u32, slot: u64, out: &mut Vec<Output>) -> bool {
        let next = self.applied.slot + 1;
        if slot < next {
            self.handle_fetch(now, from, Fetch { from: slot }, out);
        } else if slot > next {
            self.fetch_from(now, from, out);
        }
        slot == next
    }

    pub(super) fn handle_prepare(
        &mut self,
        now: Timestamp,
        from: u32,
        prepare: Prepare,
        out: &mut Vec<Output>,
    ) {
        self.highest_round = self.highest_round.max(prepare.ballot.round);
        if !self.check_slot(now, from, prepare.slot, out) || !self.votes {
            return;
        }
        let (slot, ballot) = (prepare.slot, prepare.ballot);
        if ballot > self.promised {
            self.promised = ballot;
            let accepted = self.accepted.clone();
            let message = Payload::Promise(Promise { slot, ballot, promised: ballot, accepted });
            self.store(RecordKind::Promised(Promised { slot, ballot }), Some((from, message)), out);
        } else if ballot < self.promised {
            let message = Payload::Promise(Promise { slot, ballot, promised: self.promised, accepted: None });
            self.send(now, from, message, out);
        }
        // Safety: a duplicate of the promised ballot gets no second response. A promise sent without the
        // accepted entry would tell the proposer that the slot is free.
    }

    pub(super) fn handle_accept(
        &mut self,
        now: Timestamp,
        from: u32,
        accept: &Accept,
        out: &mut Vec<Output>,
    ) {
        self.highest_round = self.highest_round.max(accept.ballot.round);
        if !self.check_slot(now, from, accept.slot, out) || !self.votes {
            return;
        }
        if accept.ballot >= self.promised {
            self.record_vote(now, from, accept, out);
        } else {
            let message = Accepted { slot: accept.slot, ballot: accept.ballot, promised: self.promised };
            self.send(now, from, Payload::Accepted(message), out);
        }
    }

    pub(super) fn record_vote(&mut self, _now: Timestamp, from: u32, accept: &Accept, out: &mut Vec<Output>) {
        self.promised = accept.ballot;
        self.accepted = Some(accept.clone());
        let message = Accepted { slot: accept.slot, ballot: accept.ballot, promised: accept.ballot };
        self.store(RecordKind::Accepted(accept.clone()), Some((from, Payload::Accepted(message))), out);
    }
}
