//! Learner role: learns entries when they are chosen, by fetching them from a peer, or from a snapshot.

use super::*;

impl ReplicatedLog {
    pub(super) fn fetch_from(&mut self, now: Timestamp, from: u32, out: &mut Vec<Output>) {
        if from != self.local_ip && now - self.fetched_at >= RETRY_BASE_DELAY {
            self.fetched_at = now;
            let from_slot = if self.applied.voters.is_empty() { 1 } else { self.applied.slot + 1 };
            out.push(Output::Send { to: from, payload: Payload::Fetch(Fetch { from: from_slot }) });
        }
    }

    /// Fetches entries from a peer that reports more of them than are known locally.
    pub fn observe_peer_progress(&mut self, now: Timestamp, other: u32, chosen: u64, out: &mut Vec<Output>) {
        if chosen > self.applied.slot || self.applied.voters.is_empty() {
            self.fetch_from(now, other, out);
        }
    }

    /// Learns a chosen entry, then starts a round for pending proposals.
    pub(super) fn learn(&mut self, now: Timestamp, from: u32, chosen: Chosen, out: &mut Vec<Output>) {
        self.learn_entry(now, from, chosen, out);
        self.begin_round(now, out);
    }

    /// Applies entries in slot order; an entry further ahead triggers a fetch.
    fn learn_entry(&mut self, now: Timestamp, from: u32, chosen: Chosen, out: &mut Vec<Output>) {
        // A machine that does not know the voters also lacks the state that precedes the first entry.
        if chosen.slot > self.applied.slot + 1 || self.applied.voters.is_empty() {
            return self.fetch_from(now, from, out);
        }
        if chosen.slot <= self.applied.slot {
            return;
        }
        let is_proposer = from == self.local_ip;
        self.store(RecordKind::Chosen(chosen.clone()), None, out);
        if is_proposer {
            // The proposer announces the entry to all connected peers.
            out.push(Output::Send { to: 0, payload: Payload::Chosen(chosen.clone()) });
        }
        let (slot, entry) = (chosen.slot, chosen.entry.clone());
        self.apply_entry(chosen);
        out.push(Output::Chosen { slot });
        if let Some(EntryPayload::Voters(voters)) = &entry.payload
            && voters.voters == self.applied.voters
        {
            log::info!(
                "replicated log: voter set of {} takes effect at slot {}",
                voters.voters.len(),
                slot + 1
            );
        }
        if let Some(EntryPayload::Rejoin(rejoin)) = &entry.payload
            && (rejoin.voter, rejoin.incarnation) == (self.local_ip, self.incarnation)
        {
            self.votes = true;
            log::info!("replicated log: votes again after readmission");
            let record = self.snapshot(None);
            self.last_record += 1;
            self.vote_record = Some(self.last_record);
            out.push(Output::Store { ticket: self.last_record, record });
        }
        let is_this_entry = |pending: &PendingProposal| matches!(&pending.proposal, Proposal::Append(proposed) if *proposed == entry);
        if let Some(position) = self.pending.iter().position(is_this_entry) {
            let pending = self.pending.remove(position).expect("the position was just found");
            out.push(Output::Resolved { proposal: pending.id, outcome: ProposalOutcome::Committed(slot) });
        }
        if self.round.as_ref().is_some_and(|round| round.slot <= slot) {
            self.round = None;
        }
        self.resolve_reads(None, out);
        self.resolve_superseded(out);
    }

    pub(super) fn apply_entry(&mut self, chosen: Chosen) {
        self.applied.apply(&chosen.entry);
        (self.promised, self.accepted) = (Ballot::default(), None);
        self.retained_bytes += chosen.encoded_len();
        self.retained.push_back(chosen);
        while self.retained.len() > MAX_RETAINED_ENTRIES || self.retained_bytes > MAX_RETAINED_BYTES {
            let Some(old) = self.retained.pop_front() else { break };
            self.retained_bytes -= old.encoded_len();
        }
    }

    pub(super) fn handle_fetch(&mut self, now: Timestamp, from: u32, fetch: Fetch, out: &mut Vec<Output>) {
        if from == self.local_ip {
            return;
        }
        let entries: Vec<Chosen> =
            self.retained.iter().filter(|entry| entry.slot >= fetch.from).cloned().collect();
        // A machine that knows nothing needs a snapshot: entries do not contain the initial voter set.
        let needs_snapshot = fetch.from == 1 || entries.first().is_none_or(|first| first.slot > fetch.from);
        let known = self.applied.slot > 0 && fetch.from <= self.applied.slot;
        let snapshot = (known && needs_snapshot || self.applied.slot == 0).then(|| self.applied.snapshot());
        let entries = if snapshot.is_some() { Vec::new() } else { entries };
        if snapshot.is_some() || !entries.is_empty() {
            self.send(now, from, Payload::LogEntries(Entries { snapshot, entries }), out);
        }
    }

    pub(super) fn handle_entries(
        &mut self,
        now: Timestamp,
        from: u32,
        entries: &Entries,
        out: &mut Vec<Output>,
    ) {
        if let Some(snapshot) = &entries.snapshot {
            let newer = snapshot.slot > self.applied.slot;
            let known = snapshot.slot == self.applied.slot && !snapshot.voters.is_empty();
            let first = self.applied.voters.is_empty() && known;
            if self.applied.is_foreign(snapshot) {
                log::error!(
                    "replicated log: refused a snapshot of another deployment; check `seeds` in the settings"
                );
            } else if newer || first {
                match AppliedState::restore(snapshot) {
                    Ok(applied) => {
                        self.applied = applied;
                        (self.promised, self.accepted) = (Ballot::default(), None);
                        (self.retained, self.retained_bytes) = (VecDeque::new(), 0);
                        self.round = None;
                        self.last_record += 1;
                        out.push(Output::Store { ticket: self.last_record, record: self.snapshot(None) });
                        out.push(Output::Chosen { slot: snapshot.slot });
                        self.resolve_reads(None, out);
                        self.resolve_superseded(out);
                    }
                    Err(error) => log::error!("replicated log: cannot decode a received snapshot: {error}"),
                }
            }
        }
        // Begin a round only after the last entry: a round for a slot that is already chosen would make
        // each voter send all later entries again.
        for chosen in &entries.entries {
            self.learn_entry(now, from, chosen.clone(), out);
        }
        self.begin_round(now, out);
    }

    /// A chosen entry, if it is still retained.
    pub fn entry(&self, slot: u64) -> Option<&Entry> {
        self.retained.iter().rev().find(|chosen| chosen.slot == slot).map(|chosen| &chosen.entry)
    }
}
