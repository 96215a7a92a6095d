//! Restores the log from the records on disk, and encodes the snapshot that replaces them.

use super::*;

impl ReplicatedLog {
    /// Restores the log from its records. On an empty disk, `founders` are the initial voters of a first
    /// start.
    ///
    /// # Errors
    /// When a record cannot be decoded; the machine must not answer any request then.
    pub fn open(
        local_ip: u32,
        incarnation: u64,
        records: &[Vec<u8>],
        founders: Option<&[u32]>,
        out: &mut Vec<Output>,
    ) -> Result<Self, String> {
        let mut this = ReplicatedLog {
            local_ip,
            incarnation,
            rng: Rng::with_seed(incarnation),
            applied: AppliedState::default(),
            retained: VecDeque::new(),
            retained_bytes: 0,
            votes: false,
            vote_record: None,
            promised: Ballot::default(),
            accepted: None,
            highest_round: 0,
            round: None,
            retry_at: Timestamp::DISTANT_PAST,
            lost_rounds: 0,
            pending: VecDeque::new(),
            // Safety: a response to a proposal of an earlier incarnation must not match one of this
            // incarnation.
            last_proposal: incarnation >> 1,
            sends_after_store: BTreeMap::new(),
            last_record: 0,
            fetched_at: Timestamp::DISTANT_PAST,
        };
        this.read(records)?;
        if let Some(founders) = founders.filter(|_| this.applied.voters.is_empty()) {
            let mut voters = founders.to_vec();
            voters.sort_unstable();
            voters.dedup();
            this.votes = voters.contains(&local_ip);
            this.applied.voters = voters.clone();
            // A machine that does not vote also has to know the voters after each restart.
            this.store(RecordKind::InitialVoters(Voters { voters, before: Vec::new() }), None, out);
        }
        Ok(this)
    }

    /// Reads the records on disk. A snapshot may be written before or after records that are newer than it,
    /// so records are ordered by slot and ballot only, not by position.
    pub(super) fn read(&mut self, records: &[Vec<u8>]) -> Result<(), String> {
        let mut latest_snapshot: Option<LogSnapshot> = None;
        let mut chosen = BTreeMap::new();
        let mut promised: BTreeMap<u64, Ballot> = BTreeMap::new();
        let mut accepted: BTreeMap<u64, Accept> = BTreeMap::new();
        let mut accept = |one: Accept| match accepted.get(&one.slot) {
            Some(known) if known.ballot >= one.ballot => {}
            _ => drop(accepted.insert(one.slot, one)),
        };
        for record in records {
            let record = Record::decode(record.as_slice()).map_err(|error| error.to_string())?;
            match record.kind.ok_or("a record is of an unknown kind")? {
                RecordKind::InitialVoters(founded) => {
                    self.votes |= founded.voters.contains(&self.local_ip);
                    self.applied.voters = founded.voters;
                }
                RecordKind::Promised(one) => {
                    let known = promised.entry(one.slot).or_default();
                    *known = one.ballot.max(*known);
                }
                RecordKind::Accepted(one) => accept(one),
                RecordKind::Chosen(one) => drop(chosen.insert(one.slot, one)),
                RecordKind::Registry(_) | RecordKind::Departing(_) => {}
                RecordKind::Snapshot(one) => {
                    self.votes |= one.votes;
                    let known = promised.entry(one.snapshot.slot + 1).or_default();
                    *known = one.promised.max(*known);
                    one.accepted.clone().into_iter().for_each(&mut accept);
                    if latest_snapshot
                        .as_ref()
                        .is_none_or(|latest_snapshot| latest_snapshot.snapshot.slot <= one.snapshot.slot)
                    {
                        latest_snapshot = Some(one);
                    }
                }
            }
        }
        if let Some(latest_snapshot) = latest_snapshot {
            self.applied = AppliedState::restore(&latest_snapshot.snapshot)?;
        }
        while let Some(next) = chosen.remove(&(self.applied.slot + 1)) {
            self.apply_entry(next);
        }
        let open = self.applied.slot + 1;
        // Safety: records are written in order and without gaps, so a vote beyond the next slot means that
        // records are missing. This machine cannot vouch for its earlier votes then.
        let beyond = |slot: &u64| *slot > open;
        if promised.keys().any(beyond) || accepted.keys().any(beyond) || chosen.keys().any(beyond) {
            log::error!(
                "replicated log: records are missing before slot {open}; no vote until this machine is readmitted"
            );
            self.votes = false;
        }
        self.accepted = accepted.remove(&open);
        let vote = self.accepted.as_ref().map(|accepted| accepted.ballot).unwrap_or_default();
        self.promised = promised.remove(&open).unwrap_or_default().max(vote);
        let rounds = promised.values().chain(accepted.values().map(|accepted| &accepted.ballot));
        self.highest_round =
            rounds.map(|ballot| ballot.round).max().unwrap_or_default().max(self.promised.round);
        Ok(())
    }

    /// Encodes the complete state as one record that replaces all others.
    pub fn snapshot(&self, registry: Option<RegistrySnapshot>) -> Vec<u8> {
        Record::encode_kind(RecordKind::Snapshot(LogSnapshot {
            snapshot: self.applied.snapshot(),
            promised: self.promised,
            accepted: self.accepted.clone(),
            votes: self.votes,
            registry,
        }))
    }
}
