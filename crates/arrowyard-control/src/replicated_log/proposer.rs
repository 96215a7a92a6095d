//! Proposer role: the prepare and accept phases of a round.

use super::*;

impl ReplicatedLog {
    /// The id of the next proposal. Its outcome may be reported before the proposing call returns.
    pub fn next_proposal(&self) -> ProposalId {
        ProposalId(self.last_proposal + 1)
    }

    /// Proposes an entry; the outcome is reported by `deadline`.
    pub fn propose_entry(
        &mut self,
        now: Timestamp,
        entry: Entry,
        deadline: Timestamp,
        out: &mut Vec<Output>,
    ) -> ProposalId {
        self.propose(now, Proposal::Append(entry), deadline, out)
    }

    /// Proposes a linearizable read: the outcome is `Current` once every entry acknowledged so far is known
    /// locally.
    pub fn propose_read(&mut self, now: Timestamp, deadline: Timestamp, out: &mut Vec<Output>) -> ProposalId {
        let id = self.propose(now, Proposal::Read { responded: BTreeSet::new(), slot: 0 }, deadline, out);
        self.broadcast(now, &Payload::Probe(Probe { ticket: id.0 }), out);
        id
    }

    pub(super) fn propose(
        &mut self,
        now: Timestamp,
        proposal: Proposal,
        deadline: Timestamp,
        out: &mut Vec<Output>,
    ) -> ProposalId {
        self.last_proposal += 1;
        let id = ProposalId(self.last_proposal);
        if self.pending.len() >= MAX_PENDING_PROPOSALS {
            out.push(Output::Resolved { proposal: id, outcome: ProposalOutcome::QueueFull });
            return id;
        }
        self.pending.push_back(PendingProposal { id, proposal, deadline });
        self.begin_round(now, out);
        id
    }

    /// Begins a round if one is needed, none is in progress and the retry delay has passed.
    pub(super) fn begin_round(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        if !self.needs_round()
            || self.round.is_some()
            || now < self.retry_at
            || self.applied.voters.is_empty()
        {
            return;
        }
        self.highest_round += 1;
        let (slot, ballot) = (
            self.applied.slot + 1,
            Ballot { round: self.highest_round, proposer: self.local_ip, incarnation: self.incarnation },
        );
        let phase = Phase::Preparing { promised: BTreeSet::new(), highest: None };
        self.round = Some(Round { slot, ballot, phase, deadline: now + ROUND_TIMEOUT });
        self.broadcast(now, &Payload::Prepare(Prepare { slot, ballot }), out);
    }

    /// Whether a round is needed to propose an entry or to resolve a read. An entry accepted by a single
    /// voter may already be chosen.
    pub(super) fn needs_round(&self) -> bool {
        let requires_round = |pending: &PendingProposal| match &pending.proposal {
            Proposal::Append(_) => true,
            Proposal::Read { responded, slot } => self.is_majority(responded) && *slot > self.applied.slot,
        };
        self.needs_rejoin() || self.pending.iter().any(requires_round)
    }

    /// Whether this machine is a voter that lost its disk and has to be readmitted.
    pub(super) fn needs_rejoin(&self) -> bool {
        !self.votes && self.applied.voters.contains(&self.local_ip)
    }

    /// Gives the round up; the next one begins after a random, exponentially growing delay.
    pub(super) fn abandon_round(&mut self, now: Timestamp) {
        self.round = None;
        self.lost_rounds = (self.lost_rounds + 1).min(6);
        let backoff = RETRY_BASE_DELAY * f64::from(1 << self.lost_rounds);
        self.retry_at = now + RETRY_BASE_DELAY + backoff * self.rng.f64();
    }

    pub(super) fn handle_promise(
        &mut self,
        now: Timestamp,
        from: u32,
        promise: &Promise,
        out: &mut Vec<Output>,
    ) {
        self.highest_round = self.highest_round.max(promise.promised.round);
        let (majority, rejoin_quorum, needs_rejoin) =
            (self.majority(), self.rejoin_quorum(), self.needs_rejoin());
        let local_ip = self.local_ip;
        if !self.is_current_ballot(promise.slot, promise.ballot) {
            return;
        }
        let Some(round) = self.round.as_mut() else { return };
        if promise.promised > round.ballot {
            return self.abandon_round(now);
        }
        let Phase::Preparing { promised, highest } = &mut round.phase else { return };
        promised.insert(from);
        if let Some(accepted) = &promise.accepted
            && highest.as_ref().is_none_or(|highest| highest.ballot < accepted.ballot)
        {
            *highest = Some(accepted.clone());
        }
        let has_quorum = if needs_rejoin {
            promised.iter().filter(|&&voter| voter != local_ip).count() >= rejoin_quorum
        } else {
            promised.len() >= majority
        };
        if !has_quorum {
            return;
        }
        // Safety: an accepted entry may already be chosen. The slot is free only if no voter of a majority
        // has accepted an entry.
        let highest = highest.take();
        let (slot, ballot) = (round.slot, round.ballot);
        let entry = match highest {
            Some(highest) => highest.entry,
            None => match self.next_entry() {
                Some(entry) => entry,
                // The round was run only to resolve a read.
                None => {
                    self.round = None;
                    return self.resolve_reads(Some(slot), out);
                }
            },
        };
        let deadline = now + ROUND_TIMEOUT;
        let phase = Phase::Accepting { entry: entry.clone(), accepted: BTreeSet::new() };
        self.round = Some(Round { slot, ballot, phase, deadline });
        let accept = Accept { slot, ballot, entry };
        if needs_rejoin {
            // Its own vote counts from this ballot on, since `rejoin_quorum` other voters promised the
            // ballot after any vote that this machine cast before it lost its disk.
            self.record_vote(now, local_ip, &accept, out);
            for to in self.applied.voters.clone().into_iter().filter(|&to| to != local_ip) {
                self.send(now, to, Payload::Accept(accept.clone()), out);
            }
        } else {
            self.broadcast(now, &Payload::Accept(accept), out);
        }
    }

    /// The entry to propose in the next slot.
    pub(super) fn next_entry(&self) -> Option<Entry> {
        if self.needs_rejoin() {
            return Some(Entry {
                payload: Some(EntryPayload::Rejoin(Rejoin {
                    voter: self.local_ip,
                    incarnation: self.incarnation,
                })),
            });
        }
        self.pending.iter().find_map(|pending| match &pending.proposal {
            Proposal::Append(entry) => Some(entry.clone()),
            Proposal::Read { .. } => None,
        })
    }

    pub(super) fn handle_accepted(
        &mut self,
        now: Timestamp,
        from: u32,
        message: Accepted,
        out: &mut Vec<Output>,
    ) {
        self.highest_round = self.highest_round.max(message.promised.round);
        let (majority, rejoin_quorum, needs_rejoin, local_ip) =
            (self.majority(), self.rejoin_quorum(), self.needs_rejoin(), self.local_ip);
        if !self.is_current_ballot(message.slot, message.ballot) {
            return;
        }
        let Some(round) = self.round.as_mut() else { return };
        if message.promised > round.ballot {
            return self.abandon_round(now);
        }
        let Phase::Accepting { entry, accepted } = &mut round.phase else { return };
        accepted.insert(from);
        let other_votes = accepted.iter().filter(|&&voter| voter != local_ip).count();
        if accepted.len() >= majority && (!needs_rejoin || other_votes >= rejoin_quorum) {
            let chosen = Chosen { slot: round.slot, entry: entry.clone() };
            self.lost_rounds = 0;
            self.learn(now, local_ip, chosen, out);
        }
    }

    /// Resolves pending entries whose precondition no longer holds, so that they can no longer take effect.
    pub(super) fn resolve_superseded(&mut self, out: &mut Vec<Output>) {
        let applied = &self.applied;
        self.pending.retain(|pending| {
            let superseded =
                matches!(&pending.proposal, Proposal::Append(entry) if !applied.is_applicable(entry));
            if superseded {
                out.push(Output::Resolved { proposal: pending.id, outcome: ProposalOutcome::Superseded });
            }
            !superseded
        });
    }

    /// Whether responses to this ballot still count.
    pub fn is_current_ballot(&self, slot: u64, ballot: Ballot) -> bool {
        self.round.as_ref().is_some_and(|round| (round.slot, round.ballot) == (slot, ballot))
    }

    /// Number of other voters that intersects every majority this machine was part of.
    pub(super) fn rejoin_quorum(&self) -> usize {
        self.applied.voters.len() - self.majority() + 1
    }
}
