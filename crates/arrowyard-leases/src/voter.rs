//! A voter: what it grants, what it makes durable before it responds, and how it recovers after a start. For
//! each lease it remembers the newest epoch that it granted, to whom, and until when by its own clock, so
//! that it never votes twice.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use arrowyard_types::{TimeDelta, Timestamp};
use smallvec::SmallVec;

#[cfg(any(test, feature = "flaws"))]
use crate::config::Flaw;
use crate::config::{CandidateId, Epoch, LeaseConfig, LeaseId, VoterId};
use crate::{Destination, LeaseEpoch, Message, Verdict};

/// The newest grant of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Vote {
    pub epoch: Epoch,
    pub holder: CandidateId,
    /// The holder's round of the latest grant or release.
    pub round: u64,
    /// When the grant ends, by the voter's clock.
    pub until: Timestamp,
    /// The latest candidates that were refused the lease, in the order of their requests.
    waiters: SmallVec<[CandidateId; MAX_WAITERS]>,
}

/// The maximum number of candidates remembered per lease for the notification of its release.
const MAX_WAITERS: usize = 4;

/// The durable state of a voter, written before any message that depends on it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoterSnapshot {
    /// Incremented at each start.
    pub incarnation: u64,
    /// Epochs up to this one are not granted again, whatever the lease.
    pub epoch_floor: Epoch,
    /// Whether no vote is missing.
    pub is_complete: bool,
    /// The newest grant of each lease.
    pub votes: Vec<(LeaseId, Epoch, CandidateId)>,
    /// The latest known incarnation of each other voter, with the nonce of its start.
    pub incarnations: Vec<(VoterId, u64, u64)>,
}

/// The stage of a voter since its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Abstains until this time, since a grant from before the start may still be held.
    Waiting(Timestamp),
    /// Has lost votes and requests the epochs of the others; carries the voters that have responded.
    Recovering(BTreeSet<VoterId>),
    /// Grants and refuses requests.
    Voting,
}

/// The protocol state of one voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    config: LeaseConfig,
    me: VoterId,
    stage: Stage,
    is_complete: bool,
    incarnation: u64,
    epoch_floor: Epoch,
    votes: BTreeMap<LeaseId, Vote>,
    /// The latest known incarnation of each other voter, with the nonce of its start.
    incarnations: BTreeMap<VoterId, (u64, u64)>,
    start_nonce: u64,
    /// Messages to send, each with the number of the snapshot that must be durable before.
    pending: VecDeque<(u64, Destination, Message)>,
    /// The number of the current snapshot; incremented with each change of the durable state.
    snapshot_number: u64,
    /// The number of the newest durable snapshot.
    durable_number: u64,
    is_writing: bool,
    /// When the next recovery request is sent.
    next_recovery_request_at: Timestamp,
}

impl Voter {
    /// Starts a voter from its snapshot, or from none if that is missing or unusable: then its votes are
    /// lost. `nonce` is drawn at random at each start.
    ///
    /// A grant from before the start may still be held, so the voter abstains for a full term. It grants
    /// nothing even to the holder in the snapshot, which may be an older copy without the current holder.
    #[must_use]
    pub fn start(
        now: Timestamp,
        config: LeaseConfig,
        me: VoterId,
        snapshot: Option<VoterSnapshot>,
        nonce: u64,
    ) -> Voter {
        let is_complete = snapshot.as_ref().is_some_and(|snapshot| snapshot.is_complete);
        let snapshot = snapshot.unwrap_or_default();
        let vote = |(lease, epoch, holder): (LeaseId, Epoch, CandidateId)| {
            (lease, Vote { epoch, holder, round: 0, until: now, waiters: SmallVec::new() })
        };
        let wait_end = now + config.term;
        #[cfg(any(test, feature = "flaws"))]
        let wait_end = if config.flaw == Some(Flaw::NoStartupWait) { now } else { wait_end };
        let mut voter = Voter {
            config,
            me,
            stage: Stage::Waiting(wait_end),
            is_complete,
            incarnation: snapshot.incarnation + 1,
            epoch_floor: snapshot.epoch_floor,
            votes: snapshot.votes.into_iter().map(vote).collect(),
            incarnations: snapshot
                .incarnations
                .into_iter()
                .map(|(voter, incarnation, nonce)| (voter, (incarnation, nonce)))
                .collect(),
            start_nonce: nonce,
            pending: VecDeque::new(),
            snapshot_number: 1,
            durable_number: 0,
            is_writing: false,
            next_recovery_request_at: now,
        };
        voter.tick(now);
        voter
    }

    /// How far the voter has come since its start.
    #[must_use]
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// The current incarnation; increases with each start and each recovery.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The newest grant of each lease.
    pub fn votes(&self) -> impl Iterator<Item = (LeaseId, &Vote)> {
        self.votes.iter().map(|(lease, vote)| (*lease, vote))
    }

    /// When [`Voter::tick`] has to be called next; `None` while it votes.
    #[must_use]
    pub fn next_at(&self) -> Option<Timestamp> {
        match &self.stage {
            Stage::Waiting(until) => Some((*until).min(self.next_recovery_request_at)),
            Stage::Recovering(_) => Some(self.next_recovery_request_at),
            Stage::Voting => None,
        }
    }

    fn other_voters(&self) -> impl Iterator<Item = VoterId> + use<> {
        let me = self.me;
        (0..self.config.voter_count).map(VoterId).filter(move |voter| *voter != me)
    }

    /// Advances the stage and repeats recovery requests.
    pub fn tick(&mut self, now: Timestamp) {
        if let Stage::Waiting(until) = self.stage
            && now >= until
        {
            #[cfg(any(test, feature = "flaws"))]
            let needs_recovery = !self.is_complete && self.config.flaw != Some(Flaw::NoRecovery);
            #[cfg(not(any(test, feature = "flaws")))]
            let needs_recovery = !self.is_complete;
            // Recovery responses count only from now on: during the wait, a grant of the previous
            // incarnation could still complete a majority with new grants of the others.
            self.stage = Stage::Voting;
            self.next_recovery_request_at = now;
            if needs_recovery {
                self.start_recovery();
            }
        }
        if self.stage != Stage::Voting && now >= self.next_recovery_request_at {
            self.next_recovery_request_at = now + self.config.retry_interval * 4.0;
            let message = Message::RecoveryRequest {
                from: self.me,
                incarnation: self.incarnation,
                nonce: self.start_nonce,
            };
            self.other_voters().for_each(|voter| self.enqueue(Destination::Voter(voter), message.clone()));
        }
    }

    /// Starts recovery under a new incarnation. Responses to an earlier incarnation are ignored, since they
    /// may lack grants that were made after they were sent.
    fn start_recovery(&mut self) {
        self.stage = Stage::Recovering(BTreeSet::new());
        self.incarnation += 1;
        self.snapshot_number += 1;
    }

    /// Queues a message until the current snapshot is durable.
    fn enqueue(&mut self, to: Destination, message: Message) {
        // Bounds the queue while the disk hangs. The oldest message is dropped, as a datagram may be.
        if self.pending.len() >= MAX_PENDING_MESSAGES {
            self.pending.pop_front();
        }
        self.pending.push_back((self.snapshot_number, to, message));
    }

    /// Handles a message from a candidate or another voter.
    pub fn handle_message(&mut self, now: Timestamp, message: &Message) {
        self.tick(now);
        match message {
            Message::Request { from, round, leases } => self.handle_request(now, *from, *round, leases),
            Message::Release { from, round, held, leases } => {
                self.handle_release(now, *from, *round, *held, leases)
            }
            Message::RecoveryRequest { from, incarnation, nonce } if *from != self.me => {
                let (mut known_incarnation, known_nonce) =
                    self.incarnations.get(from).copied().unwrap_or_default();
                if *incarnation > known_incarnation {
                    self.incarnations.insert(*from, (*incarnation, *nonce));
                    self.snapshot_number += 1;
                } else if *incarnation == known_incarnation && *nonce == known_nonce {
                    // A repeated request of the same start must not look like one with an older snapshot.
                    known_incarnation -= 1;
                }
                let (highest, is_complete) = (self.highest_epoch(), self.is_complete);
                let message = Message::RecoveryResponse {
                    from: self.me,
                    requested_by: *incarnation,
                    highest,
                    last_known: known_incarnation,
                    is_complete,
                };
                self.enqueue(Destination::Voter(*from), message);
            }
            Message::RecoveryResponse { from, requested_by, highest, last_known, is_complete } => {
                self.apply_recovery_response(*from, *requested_by, *highest, *last_known, *is_complete);
            }
            _ => {}
        }
    }

    /// The highest epoch of any lease that this voter may have granted.
    fn highest_epoch(&self) -> Epoch {
        self.votes.values().map(|vote| vote.epoch).max().unwrap_or_default().max(self.epoch_floor)
    }

    fn handle_request(&mut self, now: Timestamp, from: CandidateId, round: u64, leases: &[LeaseEpoch]) {
        let verdicts: Vec<(LeaseId, Verdict)> = leases
            .iter()
            .take(self.config.max_batch_leases)
            .filter_map(|requested| Some((requested.lease, self.decide(now, from, round, *requested)?)))
            .collect();
        if !verdicts.is_empty() {
            let message = Message::Response { from: self.me, round, clock: now, verdicts };
            self.enqueue(Destination::Candidate(from), message);
        }
    }

    /// Decides on one requested lease; `None` for a request of an outdated round.
    fn decide(
        &mut self,
        now: Timestamp,
        from: CandidateId,
        round: u64,
        requested: LeaseEpoch,
    ) -> Option<Verdict> {
        if self.stage != Stage::Voting {
            return Some(Verdict::Abstained);
        }
        let until = now + self.config.term;
        let (lease_count, max_leases) = (self.votes.len(), self.config.max_leases);
        let Some(vote) = self.votes.get_mut(&requested.lease) else {
            if requested.epoch <= self.epoch_floor {
                return Some(Verdict::StaleEpoch(self.epoch_floor));
            }
            // A vote can never be forgotten, so the number of leases is bounded.
            if lease_count >= max_leases {
                return Some(Verdict::AtCapacity);
            }
            let vote = Vote { epoch: requested.epoch, holder: from, round, until, waiters: SmallVec::new() };
            self.votes.insert(requested.lease, vote);
            self.snapshot_number += 1;
            return Some(Verdict::Granted(requested.epoch));
        };
        if vote.holder == from && vote.epoch == requested.epoch {
            if round < vote.round {
                return None;
            }
            // A repeated round is granted again, but not extended: a delayed duplicate must not hold the
            // lease for a candidate that has released it.
            if round > vote.round {
                (vote.round, vote.until) = (round, until);
            }
            return Some(Verdict::Granted(requested.epoch));
        }
        if now < vote.until && vote.holder != from {
            // The waiters are in the order of their latest requests.
            vote.waiters.retain(|waiter| *waiter != from);
            if vote.waiters.len() == MAX_WAITERS {
                vote.waiters.remove(0);
            }
            vote.waiters.push(from);
            return Some(Verdict::Held { epoch: vote.epoch, remaining: vote.until - now });
        }
        let newest = vote.epoch.max(self.epoch_floor);
        if requested.epoch <= newest {
            return Some(Verdict::StaleEpoch(newest));
        }
        (vote.epoch, vote.holder, vote.round, vote.until) = (requested.epoch, from, round, until);
        self.snapshot_number += 1;
        Some(Verdict::Granted(requested.epoch))
    }

    fn handle_release(
        &mut self,
        now: Timestamp,
        from: CandidateId,
        round: u64,
        held: bool,
        leases: &[LeaseEpoch],
    ) {
        for requested in leases.iter().take(self.config.max_batch_leases) {
            let Some(vote) = self.votes.get_mut(&requested.lease) else { continue };
            let is_holder = vote.holder == from && vote.epoch == requested.epoch;
            // A delayed release must not undo a later round. A request of the released round that arrives
            // afterwards is not extended.
            if !is_holder || round < vote.round {
                continue;
            }
            (vote.round, vote.until) = (round, vote.until.min(now));
            let epoch = vote.epoch;
            // A release after a conflict is not notified, or a third candidate would join the conflict.
            if !held {
                continue;
            }
            let waiters = std::mem::take(&mut vote.waiters);
            // Notifies only the candidate whose request came last, which is the least likely to have stopped.
            // If all were notified, they would request at the same time; the others retry by themselves.
            if let Some(last) = waiters.last() {
                let message = Message::Available { from: self.me, lease: requested.lease, epoch };
                self.enqueue(Destination::Candidate(*last), message);
            }
        }
    }

    /// Applies the recovery response of another voter.
    fn apply_recovery_response(
        &mut self,
        from: VoterId,
        requested_by: u64,
        highest: Epoch,
        last_known: u64,
        is_complete: bool,
    ) {
        if last_known >= self.incarnation {
            // The other voter knows a later incarnation: the snapshot was an older copy that lacks later
            // grants. The votes are treated as lost, and the incarnation continues after the known one.
            self.is_complete = false;
            self.incarnation = last_known;
            if self.stage == Stage::Voting {
                self.start_recovery();
            } else {
                self.incarnation += 1;
                self.snapshot_number += 1;
            }
            return;
        }
        let Stage::Recovering(responders) = &mut self.stage else { return };
        if !is_complete || from == self.me || requested_by != self.incarnation {
            return;
        }
        responders.insert(from);
        let has_quorum = responders.len() >= self.config.majority();
        if highest > self.epoch_floor {
            self.epoch_floor = highest;
            self.snapshot_number += 1;
        }
        // Every majority that granted an epoch includes at least one of these voters besides this one: a
        // majority minus one plus a majority exceeds the number of other voters.
        if has_quorum {
            (self.stage, self.is_complete) = (Stage::Voting, true);
            self.snapshot_number += 1;
        }
    }

    /// The snapshot to write and its number; `None` if it is durable or a write is in progress.
    pub fn start_write(&mut self) -> Option<(u64, VoterSnapshot)> {
        if self.is_writing || self.durable_number == self.snapshot_number {
            return None;
        }
        self.is_writing = true;
        let votes = self.votes.iter().map(|(lease, vote)| (*lease, vote.epoch, vote.holder)).collect();
        let incarnations = self
            .incarnations
            .iter()
            .map(|(voter, (incarnation, nonce))| (*voter, *incarnation, *nonce))
            .collect();
        let snapshot = VoterSnapshot {
            incarnation: self.incarnation,
            epoch_floor: self.epoch_floor,
            is_complete: self.is_complete,
            votes,
            incarnations,
        };
        Some((self.snapshot_number, snapshot))
    }

    /// Reports the end of a write. After a failure the messages that wait for it stay queued, and
    /// [`Voter::start_write`] returns the snapshot again.
    pub fn write_finished(&mut self, number: u64, succeeded: bool) {
        self.is_writing = false;
        if succeeded {
            self.durable_number = self.durable_number.max(number);
        }
    }

    /// Removes and returns the messages whose snapshots are durable, so that they may be sent.
    pub fn take_outgoing(&mut self) -> Vec<(Destination, Message)> {
        let ready = self.pending.iter().take_while(|(required, ..)| *required <= self.durable_number).count();
        self.pending.drain(..ready).map(|(_, to, message)| (to, message)).collect()
    }

    /// How long this voter regards the lease as held, if it does.
    #[must_use]
    pub fn remaining(&self, now: Timestamp, lease: LeaseId) -> Option<TimeDelta> {
        let vote = self.votes.get(&lease)?;
        (vote.until > now).then(|| vote.until - now)
    }
}

/// Maximum number of messages that wait for a durable snapshot.
const MAX_PENDING_MESSAGES: usize = 1024;
