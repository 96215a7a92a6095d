//! Rounds of ballots: whoever has something to enter asks the voters to promise, and then to accept.

use super::*;

impl ReplicatedLog {
    /// The number that the next proposal will have. Its answer may come before the call that makes it is over.
    pub fn next_proposal(&self) -> ProposalId {
        ProposalId(self.last + 1)
    }

    /// Proposes an entry; what came of it is told by `until`.
    pub fn propose_entry(
        &mut self,
        now: Timestamp,
        entry: Entry,
        until: Timestamp,
        out: &mut Vec<Output>,
    ) -> ProposalId {
        self.propose(now, Proposal::Enter(entry), until, out)
    }

    /// Asks to know all that was acknowledged so far.
    pub fn propose_read(&mut self, now: Timestamp, until: Timestamp, out: &mut Vec<Output>) -> ProposalId {
        let ticket = self.propose(now, Proposal::Read { heard: BTreeSet::new(), slot: 0 }, until, out);
        self.broadcast(now, &Payload::Probe(Probe { ticket: ticket.0 }), out);
        ticket
    }

    pub(super) fn propose(
        &mut self,
        now: Timestamp,
        proposal: Proposal,
        until: Timestamp,
        out: &mut Vec<Output>,
    ) -> ProposalId {
        self.last += 1;
        let ticket = ProposalId(self.last);
        if self.waiting.len() >= MOST {
            out.push(Output::Resolved { proposal: ticket, outcome: ProposalOutcome::QueueFull });
            return ticket;
        }
        self.waiting.push_back(Waiting { ticket, proposal, until });
        self.begin(now, out);
        ticket
    }

    /// Begins a round where there is something to enter and none is under way.
    pub(super) fn begin(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        if !self.wants_round()
            || self.round.is_some()
            || now < self.pause_until
            || self.applied.voters.is_empty()
        {
            return;
        }
        self.seen += 1;
        let (slot, ballot) =
            (self.applied.slot + 1, Ballot { round: self.seen, by: self.me, incarnation: self.incarnation });
        let phase = Phase::Preparing { promised: BTreeSet::new(), best: None };
        self.round = Some(Round { slot, ballot, phase, until: now + ROUND });
        self.broadcast(now, &Payload::Prepare(Prepare { slot, ballot }), out);
    }

    /// Whether there is something to enter, or to find out. Danger: what one voter accepted may be chosen.
    pub(super) fn wants_round(&self) -> bool {
        let wants = |waiting: &Waiting| match &waiting.proposal {
            Proposal::Enter(_) => true,
            Proposal::Read { heard, slot } => self.is_majority(heard) && *slot > self.applied.slot,
        };
        self.rejoins() || self.waiting.iter().any(wants)
    }

    /// Whether this machine is a voter that has to be let in again.
    pub(super) fn rejoins(&self) -> bool {
        !self.votes && self.applied.voters.contains(&self.me)
    }

    pub(super) fn lose_round(&mut self, now: Timestamp) {
        self.round = None;
        self.losses = (self.losses + 1).min(6);
        let most = PAUSE * f64::from(1 << self.losses);
        self.pause_until = now + PAUSE + most * self.rng.f64();
    }

    pub(super) fn promise(&mut self, now: Timestamp, from: u32, promise: &Promise, out: &mut Vec<Output>) {
        self.seen = self.seen.max(promise.promised.round);
        let (majority, others, rejoins) = (self.majority(), self.others(), self.rejoins());
        let me = self.me;
        if !self.is_current_ballot(promise.slot, promise.ballot) {
            return;
        }
        let Some(round) = self.round.as_mut() else { return };
        if promise.promised > round.ballot {
            return self.lose_round(now);
        }
        let Phase::Preparing { promised, best } = &mut round.phase else { return };
        promised.insert(from);
        if let Some(accepted) = &promise.accepted
            && best.as_ref().is_none_or(|best| best.ballot < accepted.ballot)
        {
            *best = Some(accepted.clone());
        }
        let enough = if rejoins {
            promised.iter().filter(|&&other| other != me).count() >= others
        } else {
            promised.len() >= majority
        };
        if !enough {
            return;
        }
        // Danger: what a voter accepted may be chosen already; only where none of a majority did is the slot free.
        let best = best.take();
        let (slot, ballot) = (round.slot, round.ballot);
        let entry = match best {
            Some(best) => best.entry,
            None => match self.next_entry() {
                Some(entry) => entry,
                // A read only had to know that the slot is free.
                None => {
                    self.round = None;
                    return self.settle_reads(Some(slot), out);
                }
            },
        };
        let until = now + ROUND;
        let phase = Phase::Accepting { entry: entry.clone(), accepted: BTreeSet::new() };
        self.round = Some(Round { slot, ballot, phase, until });
        let accept = Accept { slot, ballot, entry };
        if rejoins {
            // Its own vote counts from this ballot on: others() voters promised it after whatever it knew before.
            self.take_vote(now, me, &accept, out);
            for to in self.applied.voters.clone().into_iter().filter(|&to| to != me) {
                self.send(now, to, Payload::Accept(accept.clone()), out);
            }
        } else {
            self.broadcast(now, &Payload::Accept(accept), out);
        }
    }

    /// What this machine would enter next.
    pub(super) fn next_entry(&self) -> Option<Entry> {
        if self.rejoins() {
            return Some(Entry {
                payload: Some(EntryPayload::Rejoin(Rejoin { voter: self.me, incarnation: self.incarnation })),
            });
        }
        self.waiting.iter().find_map(|waiting| match &waiting.proposal {
            Proposal::Enter(entry) => Some(entry.clone()),
            Proposal::Read { .. } => None,
        })
    }

    pub(super) fn accepted(&mut self, now: Timestamp, from: u32, word: Accepted, out: &mut Vec<Output>) {
        self.seen = self.seen.max(word.promised.round);
        let (majority, others, rejoins, me) = (self.majority(), self.others(), self.rejoins(), self.me);
        if !self.is_current_ballot(word.slot, word.ballot) {
            return;
        }
        let Some(round) = self.round.as_mut() else { return };
        if word.promised > round.ballot {
            return self.lose_round(now);
        }
        let Phase::Accepting { entry, accepted } = &mut round.phase else { return };
        accepted.insert(from);
        let not_mine = accepted.iter().filter(|&&other| other != me).count();
        if accepted.len() >= majority && (!rejoins || not_mine >= others) {
            let chosen = Chosen { slot: round.slot, entry: entry.clone() };
            self.losses = 0;
            self.learn(now, me, chosen, out);
        }
    }

    /// What builds on a version, or on a holder, that is no more is told so: it will not be entered from here on.
    pub(super) fn drop_superseded(&mut self, out: &mut Vec<Output>) {
        let applied = &self.applied;
        self . waiting . retain ( | waiting | { let moot = matches ! ( & waiting . proposal , Proposal :: Enter ( entry ) if ! applied . is_applicable ( entry ) ) ; if moot { out . push ( Output :: Resolved { proposal : waiting . ticket , outcome : ProposalOutcome :: Superseded } ) ; } ! moot } ) ;
    }

    /// Whether answers to this ballot still count here.
    pub fn is_current_ballot(&self, slot: u64, ballot: Ballot) -> bool {
        self.round.as_ref().is_some_and(|round| (round.slot, round.ballot) == (slot, ballot))
    }

    /// So many other voters, of whatever kind, have one in common with every majority that this machine was part of.
    pub(super) fn others(&self) -> usize {
        self.applied.voters.len() - self.majority() + 1
    }
}
