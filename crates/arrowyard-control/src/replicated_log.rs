//! Agreement on the entries of a ledger, slot by slot. In each slot whoever has something to enter holds a round of
//! ballots among the voters (Paxos: Lamport, "The Part-Time Parliament"); there is no leader, since entries are few.
//! A slot's round begins only when the slot before it is known, so that a voter has at most one slot open.

mod acceptor;
mod learner;
mod proposer;
mod reads;
mod recovery;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};

use arrowyard_messages::{
    Accept, Accepted, Ballot, Chosen, Entry, EntryPayload, Fetch, LogEntries as Entries, Payload, Prepare,
    Probe, Probed, Promise, Rejoin, Voters,
};
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;
use prost::Message;

use crate::applied_state::AppliedState;
use crate::record::{LogSnapshot, Promised, Record, RecordKind, RegistrySnapshot};

/// A round without a majority is given up after so long, and begun again.
const ROUND: TimeDelta = TimeDelta::from_millis(400);
/// The first pause after a round that lost to another one; it doubles.
const PAUSE: TimeDelta = TimeDelta::from_millis(15);
/// Entries that are kept for machines that are behind, and bytes of them; who is further behind takes a snapshot. To apply
/// an entry takes time that grows with the routes: of 5,000 routes, 500 entries took 3 s of a core, a snapshot 0.04 s.
const KEPT: usize = 64;
const KEPT_BYTES: usize = 4 << 20;
/// Proposals that wait at a time.
const MOST: usize = 256;

/// What a proposal is known by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub u64);

/// What came of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// Entered, in this slot.
    Committed(u64),
    /// For a read: everything that was acknowledged before it was asked is known here.
    Current,
    /// It had not been entered by its time. It may still be.
    Unknown,
    /// It was not entered and never will be.
    QueueFull,
    /// It does not hold any more at the slot in which it would be entered. Danger: this machine may have learned the
    /// slots before by a snapshot, and it may be in one of them: see [`AppliedState::taken`] before anybody is told so.
    Superseded,
}

/// What the ledger wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send {
        to: u32,
        payload: Payload,
    },
    /// To be on disk before anything that stands behind it for this ticket goes out.
    Store {
        ticket: u64,
        record: Vec<u8>,
    },
    /// This slot's entry is known from now on.
    Chosen {
        slot: u64,
    },
    Resolved {
        proposal: ProposalId,
        outcome: ProposalOutcome,
    },
}

/// What is proposed.
#[derive(Clone, Debug, Hash)]
enum Proposal {
    Enter(Entry),
    Read { heard: BTreeSet<u32>, slot: u64 },
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: ProposalId,
    proposal: Proposal,
    until: Timestamp,
}

#[derive(Clone, Debug, Hash)]
enum Phase {
    Preparing { promised: BTreeSet<u32>, best: Option<Accept> },
    Accepting { entry: Entry, accepted: BTreeSet<u32> },
}

#[derive(Clone, Debug)]
struct Round {
    slot: u64,
    ballot: Ballot,
    phase: Phase,
    until: Timestamp,
}

/// One machine's part in the ledger: voter, if it is one; learner; and whoever enters something.
#[derive(Clone, Debug)]
pub struct ReplicatedLog {
    me: u32,
    incarnation: u64,
    rng: Rng,
    applied: AppliedState,
    kept: VecDeque<Chosen>,
    kept_bytes: usize,
    /// Whether its word counts: a voter that lost its disk does not know what it promised.
    votes: bool,
    /// The record by which a new vote becomes durable, until it is.
    vote_record: Option<u64>,
    promised: Ballot,
    accepted: Option<Accept>,
    seen: u64,
    round: Option<Round>,
    pause_until: Timestamp,
    losses: u32,
    waiting: VecDeque<Waiting>,
    last: u64,
    /// What goes out once a record is on disk.
    after: BTreeMap<u64, (u32, Payload)>,
    last_record: u64,
    /// Since when it asks for what it lacks, so that it does not ask each time.
    fetched_at: Timestamp,
}

/// What is agreed on does not hang on times and chance, so they are left out: a model checker takes two ledgers for the
/// same that differ in nothing else.
impl Hash for ReplicatedLog {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.me, self.incarnation, self.votes, self.vote_record, self.seen, self.last, self.last_record)
            .hash(state);
        (self.applied.snapshot(), &self.kept, self.promised, &self.accepted, &self.after).hash(state);
        self.round.iter().for_each(|round| (round.slot, round.ballot, &round.phase).hash(state));
        self.waiting.iter().for_each(|waiting| (waiting.ticket, &waiting.proposal).hash(state));
    }
}

impl ReplicatedLog {
    pub fn applied(&self) -> &AppliedState {
        &self.applied
    }

    pub fn votes(&self) -> bool {
        self.votes
    }

    /// Whether its vote would survive a loss of power. Safety: only then may another voter give up its seat; before
    /// that, one more loss could leave too few that vote.
    pub fn is_vote_durable(&self) -> bool {
        self.votes && self.vote_record.is_none()
    }

    pub fn voters(&self) -> &[u32] {
        &self.applied.voters
    }

    /// How many entries are known here.
    pub fn chosen(&self) -> u64 {
        self.applied.slot
    }

    fn majority(&self) -> usize {
        self.applied.voters.len() / 2 + 1
    }

    /// Danger: voters change between a question and its answers; only those who vote now count.
    fn is_majority(&self, heard: &BTreeSet<u32>) -> bool {
        self.applied.voters.iter().filter(|voter| heard.contains(voter)).count() >= self.majority()
    }

    fn store(&mut self, kept: RecordKind, then: Option<(u32, Payload)>, out: &mut Vec<Output>) -> u64 {
        self.last_record += 1;
        let ticket = self.last_record;
        then.map(|then| self.after.insert(ticket, then));
        out.push(Output::Store { ticket, record: Record::encode_kind(kept) });
        ticket
    }

    /// Keeps something that is not the ledger's; the number of its record.
    pub fn store_record(&mut self, kept: RecordKind, out: &mut Vec<Output>) -> u64 {
        self.store(kept, None, out)
    }

    /// A record is on disk, or could not be put there; then nothing is answered for it.
    pub fn record_stored(&mut self, now: Timestamp, ticket: u64, kept: bool, out: &mut Vec<Output>) {
        if kept && self.vote_record == Some(ticket) {
            self.vote_record = None;
        }
        if let Some((to, word)) = self.after.remove(&ticket).filter(|_| kept) {
            self.send(now, to, word, out);
        }
    }

    /// A snapshot of all that this machine knows is on disk, after records were refused.
    pub fn disk_recovered(&mut self) {
        self.vote_record = None;
    }

    fn send(&mut self, now: Timestamp, to: u32, word: Payload, out: &mut Vec<Output>) {
        if to == self.me {
            self.on_message(now, to, &word, out)
        } else {
            out.push(Output::Send { to, payload: word })
        }
    }

    fn broadcast(&mut self, now: Timestamp, word: &Payload, out: &mut Vec<Output>) {
        for to in self.applied.voters.clone() {
            self.send(now, to, word.clone(), out);
        }
    }

    pub fn due(&self) -> Option<Timestamp> {
        let proposals = self.waiting.iter().map(|waiting| waiting.until);
        let round = self.round.iter().map(|round| round.until);
        // Danger: without voters no round can begin, and a time that is over would be due for ever.
        let begins = self.round.is_none() && !self.applied.voters.is_empty() && self.wants_round();
        let pause = begins.then_some(self.pause_until);
        proposals.chain(round).chain(pause).min()
    }

    pub fn on_timer(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        if self.round.as_ref().is_some_and(|round| round.until <= now) {
            self.lose_round(now);
        }
        self.waiting.retain(|waiting| {
            let late = waiting.until <= now;
            if late {
                out.push(Output::Resolved { proposal: waiting.ticket, outcome: ProposalOutcome::Unknown });
            }
            !late
        });
        self.begin(now, out);
    }

    /// Takes what another machine, or this one, says to it.
    pub fn on_message(&mut self, now: Timestamp, from: u32, word: &Payload, out: &mut Vec<Output>) {
        match word {
            Payload::Prepare(prepare) => self.prepare(now, from, *prepare, out),
            Payload::Promise(promise) => self.promise(now, from, promise, out),
            Payload::Accept(accept) => self.accept(now, from, accept, out),
            Payload::Accepted(accepted) => self.accepted(now, from, *accepted, out),
            Payload::Chosen(chosen) => self.learn(now, from, chosen.clone(), out),
            Payload::Fetch(fetch) => self.fetch(now, from, *fetch, out),
            Payload::LogEntries(entries) => self.entries(now, from, entries, out),
            Payload::Probe(probe) => {
                let accepted = self.accepted.as_ref().map_or(0, |accepted| accepted.slot);
                let (ticket, chosen) = (probe.ticket, self.applied.slot);
                let word = Probed { ticket, chosen, accepted, votes: self.votes, promised: self.promised };
                self.send(now, from, Payload::Probed(word), out);
            }
            Payload::Probed(probed) => self.probed(now, from, *probed, out),
            _ => {}
        }
    }
}
