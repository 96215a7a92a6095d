//! How a machine learns entries: from whoever saw them chosen, from one that has more, or by a snapshot.

use super::*;

impl ReplicatedLog {
    pub(super) fn ask_for_more(&mut self, now: Timestamp, from: u32, out: &mut Vec<Output>) {
        if from != self.me && now - self.fetched_at >= PAUSE {
            self.fetched_at = now;
            let from_slot = if self.applied.voters.is_empty() { 1 } else { self.applied.slot + 1 };
            out.push(Output::Send { to: from, payload: Payload::Fetch(Fetch { from: from_slot }) });
        }
    }

    /// Somebody is known to have more entries.
    pub fn observe_peer_progress(&mut self, now: Timestamp, other: u32, chosen: u64, out: &mut Vec<Output>) {
        if chosen > self.applied.slot || self.applied.voters.is_empty() {
            self.ask_for_more(now, other, out);
        }
    }

    /// A slot's entry is known, and what waits may be proposed behind it.
    pub(super) fn learn(&mut self, now: Timestamp, from: u32, chosen: Chosen, out: &mut Vec<Output>) {
        self.learn_entry(now, from, chosen, out);
        self.begin(now, out);
    }

    /// Slots are taken in order; what lies further ahead is asked for.
    fn learn_entry(&mut self, now: Timestamp, from: u32, chosen: Chosen, out: &mut Vec<Output>) {
        // Danger: whoever does not know who votes lacks what stands before the first entry.
        if chosen.slot > self.applied.slot + 1 || self.applied.voters.is_empty() {
            return self.ask_for_more(now, from, out);
        }
        if chosen.slot <= self.applied.slot {
            return;
        }
        let mine = from == self.me;
        self.store(RecordKind::Chosen(chosen.clone()), None, out);
        if mine {
            // Whoever voted, and the others through them.
            out.push(Output::Send { to: 0, payload: Payload::Chosen(chosen.clone()) });
        }
        let (slot, entry) = (chosen.slot, chosen.entry.clone());
        self.take_entry(chosen);
        out.push(Output::Chosen { slot });
        if let Some(EntryPayload::Voters(voters)) = &entry.payload
            && voters.voters == self.applied.voters
        {
            log::info!("ledger: {} voters from slot {} on.", voters.voters.len(), slot + 1);
        }
        if let Some(EntryPayload::Rejoin(rejoin)) = &entry.payload
            && (rejoin.voter, rejoin.incarnation) == (self.me, self.incarnation)
        {
            self.votes = true;
            log::info!("ledger: Votes again.");
            let record = self.snapshot(None);
            self.last_record += 1;
            self.vote_record = Some(self.last_record);
            out.push(Output::Store { ticket: self.last_record, record });
        }
        let entered = |waiting: &Waiting| matches ! ( & waiting . proposal , Proposal :: Enter ( proposed ) if * proposed == entry );
        if let Some(place) = self.waiting.iter().position(entered) {
            let waiting = self.waiting.remove(place).expect("its place was just found");
            out.push(Output::Resolved {
                proposal: waiting.ticket,
                outcome: ProposalOutcome::Committed(slot),
            });
        }
        if self.round.as_ref().is_some_and(|round| round.slot <= slot) {
            self.round = None;
        }
        self.settle_reads(None, out);
        self.drop_superseded(out);
    }

    pub(super) fn take_entry(&mut self, chosen: Chosen) {
        self.applied.apply(&chosen.entry);
        (self.promised, self.accepted) = (Ballot::default(), None);
        self.kept_bytes += chosen.encoded_len();
        self.kept.push_back(chosen);
        while self.kept.len() > KEPT || self.kept_bytes > KEPT_BYTES {
            let Some(old) = self.kept.pop_front() else { break };
            self.kept_bytes -= old.encoded_len();
        }
    }

    pub(super) fn fetch(&mut self, now: Timestamp, from: u32, fetch: Fetch, out: &mut Vec<Output>) {
        if from == self.me {
            return;
        }
        let entries: Vec<Chosen> = self.kept.iter().filter(|kept| kept.slot >= fetch.from).cloned().collect();
        // Danger: whoever has nothing does not know who votes either; entries alone would never tell it.
        let whole = fetch.from == 1 || entries.first().is_none_or(|first| first.slot > fetch.from);
        let known = self.applied.slot > 0 && fetch.from <= self.applied.slot;
        let snapshot = (known && whole || self.applied.slot == 0).then(|| self.applied.snapshot());
        let entries = if snapshot.is_some() { Vec::new() } else { entries };
        if snapshot.is_some() || !entries.is_empty() {
            self.send(now, from, Payload::LogEntries(Entries { snapshot, entries }), out);
        }
    }

    pub(super) fn entries(&mut self, now: Timestamp, from: u32, entries: &Entries, out: &mut Vec<Output>) {
        if let Some(snapshot) = &entries.snapshot {
            let newer = snapshot.slot > self.applied.slot;
            let known = snapshot.slot == self.applied.slot && !snapshot.voters.is_empty();
            let first = self.applied.voters.is_empty() && known;
            if self.applied.is_foreign(snapshot) {
                log::error!("ledger: A snapshot is of another deployment; look at the settings' seeds.");
            } else if newer || first {
                match AppliedState::restore(snapshot) {
                    Ok(applied) => {
                        self.applied = applied;
                        (self.promised, self.accepted) = (Ballot::default(), None);
                        (self.kept, self.kept_bytes) = (VecDeque::new(), 0);
                        self.round = None;
                        self.last_record += 1;
                        out.push(Output::Store { ticket: self.last_record, record: self.snapshot(None) });
                        out.push(Output::Chosen { slot: snapshot.slot });
                        self.settle_reads(None, out);
                        self.drop_superseded(out);
                    }
                    Err(fault) => log::error!("ledger: A snapshot cannot be read: {fault}."),
                }
            }
        }
        // A round begun before the last of these would be for a slot that is known to be taken, and each voter would answer
        // it with all entries behind that slot once more.
        for chosen in &entries.entries {
            self.learn_entry(now, from, chosen.clone(), out);
        }
        self.begin(now, out);
    }

    /// A chosen entry, if it is still kept.
    pub fn entry(&self, slot: u64) -> Option<&Entry> {
        self.kept.iter().rev().find(|kept| kept.slot == slot).map(|kept| &kept.entry)
    }
}
