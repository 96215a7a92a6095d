//! Leaderless replicated log: consensus on one entry per slot (single-decree Paxos; Lamport, "The
//! Part-Time Parliament"). Any machine with an entry to propose runs a round of ballots among the
//! voters.
//! A round for a slot begins only once the previous slot is known, so a voter has at most one open
//! slot.

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

/// A round without a majority after this long is abandoned and started again.
const ROUND_TIMEOUT: TimeDelta = TimeDelta::from_millis(400);
/// Base delay after a lost round; doubles with each further loss.
const RETRY_BASE_DELAY: TimeDelta = TimeDelta::from_millis(15);
/// Bounds of the entries retained for machines that are behind; a machine further behind receives a
/// snapshot.
const MAX_RETAINED_ENTRIES: usize = 64;
const MAX_RETAINED_BYTES: usize = 4 << 20;
/// Limit of pending proposals.
const MAX_PENDING_PROPOSALS: usize = 256;

/// Identifies a proposal within one incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub u64);

/// Result of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// Chosen in this slot.
    Committed(u64),
    /// A read: every entry acknowledged before the read was proposed is known locally.
    Current,
    /// Not chosen before its deadline; it may still be chosen later.
    Unknown,
    /// Rejected because too many proposals are pending; it will never be chosen.
    QueueFull,
    /// Its precondition no longer holds. This machine may have learned the preceding slots from a snapshot
    /// that already contains the change, so check [`AppliedState::change_status`] before reporting a
    /// failure.
    Superseded,
}

/// Effects requested by the log, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Sends a message to a machine, or to all connected peers if `to` is 0.
    Send { to: u32, payload: Payload },
    /// The record must be durable before [`ReplicatedLog::record_stored`] is called with this ticket.
    Store { ticket: u64, record: Vec<u8> },
    /// The entry of this slot is now known.
    Chosen { slot: u64 },
    /// The outcome of a proposal of this machine.
    Resolved { proposal: ProposalId, outcome: ProposalOutcome },
}

#[derive(Clone, Debug, Hash)]
enum Proposal {
    Append(Entry),
    Read { responded: BTreeSet<u32>, slot: u64 },
}

#[derive(Clone, Debug)]
struct PendingProposal {
    id: ProposalId,
    proposal: Proposal,
    deadline: Timestamp,
}

#[derive(Clone, Debug, Hash)]
enum Phase {
    Preparing { promised: BTreeSet<u32>, highest: Option<Accept> },
    Accepting { entry: Entry, accepted: BTreeSet<u32> },
}

#[derive(Clone, Debug)]
struct Round {
    slot: u64,
    ballot: Ballot,
    phase: Phase,
    deadline: Timestamp,
}

/// One machine's replicated-log state in its roles as proposer, learner and, if it is in the voter set,
/// voter.
#[derive(Clone, Debug)]
pub struct ReplicatedLog {
    local_ip: u32,
    incarnation: u64,
    rng: Rng,
    applied: AppliedState,
    retained: VecDeque<Chosen>,
    retained_bytes: usize,
    /// False for a voter that lost its disk, and with it the record of its promises.
    votes: bool,
    /// Ticket of the record that makes a regained vote durable, while it is being written.
    vote_record: Option<u64>,
    promised: Ballot,
    accepted: Option<Accept>,
    highest_round: u64,
    round: Option<Round>,
    retry_at: Timestamp,
    lost_rounds: u32,
    pending: VecDeque<PendingProposal>,
    last_proposal: u64,
    /// Message to send to a peer once the record with this ticket is durable.
    sends_after_store: BTreeMap<u64, (u32, Payload)>,
    last_record: u64,
    /// Time of the last fetch request; limits their rate.
    fetched_at: Timestamp,
}

/// Excludes timestamps and random state, which do not affect safety, so that a model checker treats
/// logs that differ only in these as the same state.
impl Hash for ReplicatedLog {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (
            self.local_ip,
            self.incarnation,
            self.votes,
            self.vote_record,
            self.highest_round,
            self.last_proposal,
            self.last_record,
        )
            .hash(state);
        (self.applied.snapshot(), &self.retained, self.promised, &self.accepted, &self.sends_after_store)
            .hash(state);
        self.round.iter().for_each(|round| (round.slot, round.ballot, &round.phase).hash(state));
        self.pending.iter().for_each(|pending| (pending.id, &pending.proposal).hash(state));
    }
}

impl ReplicatedLog {
    /// State after the last known entry.
    pub fn applied(&self) -> &AppliedState {
        &self.applied
    }

    /// Whether this machine is a voter whose vote counts.
    pub fn votes(&self) -> bool {
        self.votes
    }

    /// Whether this machine's vote survives a power loss. Safety: a voter may be removed only once its
    /// replacement has a durable vote; otherwise one more failure could leave too few votes for a majority.
    pub fn is_vote_durable(&self) -> bool {
        self.votes && self.vote_record.is_none()
    }

    /// The current voter set.
    pub fn voters(&self) -> &[u32] {
        &self.applied.voters
    }

    /// Number of known entries.
    pub fn chosen(&self) -> u64 {
        self.applied.slot
    }

    fn majority(&self) -> usize {
        self.applied.voters.len() / 2 + 1
    }

    /// Counts only current voters: the voter set may change between a request and its responses.
    fn is_majority(&self, responded: &BTreeSet<u32>) -> bool {
        self.applied.voters.iter().filter(|voter| responded.contains(voter)).count() >= self.majority()
    }

    fn store(&mut self, kind: RecordKind, reply: Option<(u32, Payload)>, out: &mut Vec<Output>) -> u64 {
        self.last_record += 1;
        let ticket = self.last_record;
        reply.map(|reply| self.sends_after_store.insert(ticket, reply));
        out.push(Output::Store { ticket, record: Record::encode_kind(kind) });
        ticket
    }

    /// Stores a record that is not part of the log; returns its ticket.
    pub fn store_record(&mut self, kind: RecordKind, out: &mut Vec<Output>) -> u64 {
        self.store(kind, None, out)
    }

    /// Reports whether a record became durable. If it did not, the message that depends on it is dropped.
    pub fn record_stored(&mut self, now: Timestamp, ticket: u64, stored: bool, out: &mut Vec<Output>) {
        if stored && self.vote_record == Some(ticket) {
            self.vote_record = None;
        }
        if let Some((to, message)) = self.sends_after_store.remove(&ticket).filter(|_| stored) {
            self.send(now, to, message, out);
        }
    }

    /// Reports that a complete snapshot is durable after earlier records were refused.
    pub fn disk_recovered(&mut self) {
        self.vote_record = None;
    }

    fn send(&mut self, now: Timestamp, to: u32, message: Payload, out: &mut Vec<Output>) {
        if to == self.local_ip {
            self.on_message(now, to, &message, out)
        } else {
            out.push(Output::Send { to, payload: message })
        }
    }

    fn broadcast(&mut self, now: Timestamp, message: &Payload, out: &mut Vec<Output>) {
        for to in self.applied.voters.clone() {
            self.send(now, to, message.clone(), out);
        }
    }

    /// When [`ReplicatedLog::on_timer`] is to be called next.
    pub fn due(&self) -> Option<Timestamp> {
        let proposals = self.pending.iter().map(|pending| pending.deadline);
        let round = self.round.iter().map(|round| round.deadline);
        // No round can begin without voters; reporting a past deadline here would wake the loop
        // continuously.
        let can_begin = self.round.is_none() && !self.applied.voters.is_empty() && self.needs_round();
        let pause = can_begin.then_some(self.retry_at);
        proposals.chain(round).chain(pause).min()
    }

    /// Expires rounds and proposals whose deadline has passed and begins the next round.
    pub fn on_timer(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        if self.round.as_ref().is_some_and(|round| round.deadline <= now) {
            self.abandon_round(now);
        }
        self.pending.retain(|pending| {
            let expired = pending.deadline <= now;
            if expired {
                out.push(Output::Resolved { proposal: pending.id, outcome: ProposalOutcome::Unknown });
            }
            !expired
        });
        self.begin_round(now, out);
    }

    /// Handles a message from another machine or from this one.
    pub fn on_message(&mut self, now: Timestamp, from: u32, message: &Payload, out: &mut Vec<Output>) {
        match message {
            Payload::Prepare(prepare) => self.handle_prepare(now, from, *prepare, out),
            Payload::Promise(promise) => self.handle_promise(now, from, promise, out),
            Payload::Accept(accept) => self.handle_accept(now, from, accept, out),
            Payload::Accepted(accepted) => self.handle_accepted(now, from, *accepted, out),
            Payload::Chosen(chosen) => self.learn(now, from, chosen.clone(), out),
            Payload::Fetch(fetch) => self.handle_fetch(now, from, *fetch, out),
            Payload::LogEntries(entries) => self.handle_entries(now, from, entries, out),
            Payload::Probe(probe) => {
                let accepted = self.accepted.as_ref().map_or(0, |accepted| accepted.slot);
                let (ticket, chosen) = (probe.ticket, self.applied.slot);
                let message = Probed { ticket, chosen, accepted, votes: self.votes, promised: self.promised };
                self.send(now, from, Payload::Probed(message), out);
            }
            Payload::Probed(probed) => self.handle_probed(now, from, *probed, out),
            _ => {}
        }
    }
}
