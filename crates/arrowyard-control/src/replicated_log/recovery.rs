//! What a ledger is after a start, as its disk tells, and the snapshot that stands for all of its records.

use super::*;

impl ReplicatedLog {
    /// A ledger as its disk tells of it. Nothing on disk, and `founders` of a first start: it is founded.
    ///
    /// # Errors
    /// When a record cannot be read; nothing is to be answered then.
    pub fn open(
        me: u32,
        incarnation: u64,
        records: &[Vec<u8>],
        founders: Option<&[u32]>,
        out: &mut Vec<Output>,
    ) -> Result<Self, String> {
        let mut this = ReplicatedLog {
            me,
            incarnation,
            rng: Rng::with_seed(incarnation),
            applied: AppliedState::default(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            votes: false,
            vote_record: None,
            promised: Ballot::default(),
            accepted: None,
            seen: 0,
            round: None,
            pause_until: Timestamp::DISTANT_PAST,
            losses: 0,
            waiting: VecDeque::new(),
            // Safety: an answer to a question of an earlier life must not pass for one to a question of this life.
            last: incarnation >> 1,
            after: BTreeMap::new(),
            last_record: 0,
            fetched_at: Timestamp::DISTANT_PAST,
        };
        this.read(records)?;
        if let Some(founders) = founders.filter(|_| this.applied.voters.is_empty()) {
            let mut voters = founders.to_vec();
            voters.sort_unstable();
            voters.dedup();
            this.votes = voters.contains(&me);
            this.applied.voters = voters.clone();
            // Danger: a machine that does not vote has to know who does, after each start of its own.
            this.store(RecordKind::InitialVoters(Voters { voters, before: Vec::new() }), None, out);
        }
        Ok(this)
    }

    /// Reads what is on disk. Danger: a snapshot is written beside records that are newer than it, before or after
    /// them; so nothing is judged by its place, only by slot and ballot.
    pub(super) fn read(&mut self, records: &[Vec<u8>]) -> Result<(), String> {
        let mut whole: Option<LogSnapshot> = None;
        let mut chosen = BTreeMap::new();
        let mut promised: BTreeMap<u64, Ballot> = BTreeMap::new();
        let mut accepted: BTreeMap<u64, Accept> = BTreeMap::new();
        let mut accept = |one: Accept| match accepted.get(&one.slot) {
            Some(known) if known.ballot >= one.ballot => {}
            _ => drop(accepted.insert(one.slot, one)),
        };
        for record in records {
            let record = Record::decode(record.as_slice()).map_err(|fault| fault.to_string())?;
            match record.kind.ok_or("a record of an unknown kind")? {
                RecordKind::InitialVoters(founded) => {
                    self.votes |= founded.voters.contains(&self.me);
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
                    if whole.as_ref().is_none_or(|whole| whole.snapshot.slot <= one.snapshot.slot) {
                        whole = Some(one);
                    }
                }
            }
        }
        if let Some(whole) = whole {
            self.applied = AppliedState::restore(&whole.snapshot)?;
        }
        while let Some(next) = chosen.remove(&(self.applied.slot + 1)) {
            self.take_entry(next);
        }
        let open = self.applied.slot + 1;
        // Safety: a vote for a slot whose predecessors are not known here is one that this machine cannot answer for.
        // Records are kept in order and without a gap, so such a disk is not the one that was written.
        let beyond = |slot: &u64| *slot > open;
        if promised.keys().any(beyond) || accepted.keys().any(beyond) || chosen.keys().any(beyond) {
            log::error!(
                "ledger: Records are missing before slot {open}; its word counts for nothing at first."
            );
            self.votes = false;
        }
        self.accepted = accepted.remove(&open);
        let vote = self.accepted.as_ref().map(|accepted| accepted.ballot).unwrap_or_default();
        self.promised = promised.remove(&open).unwrap_or_default().max(vote);
        let rounds = promised.values().chain(accepted.values().map(|accepted| &accepted.ballot));
        self.seen = rounds.map(|ballot| ballot.round).max().unwrap_or_default().max(self.promised.round);
        Ok(())
    }

    /// One record in place of all.
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
