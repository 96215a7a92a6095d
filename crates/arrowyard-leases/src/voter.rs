//! One voter: what it grants, what it keeps before it says so, and what it does after a start. It never votes twice: for
//! each lease it knows the newest epoch that it granted and to whom, and till when that holds by its own clock.

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
    /// The holder's round in which it was granted last, or given back.
    pub round: u64,
    pub until: Timestamp,
    /// Those that were refused it lately: they are told when it is given back.
    waits: SmallVec<[CandidateId; WAITS]>,
}

/// Candidates that are told of a lease that was given back.
const WAITS: usize = 4;

/// What outlasts a voter: written before what follows from it is told.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoterSnapshot {
    /// Rises with each start.
    pub incarnation: u64,
    /// No epoch up to this one is granted anew, whatever the lease.
    pub epoch_floor: Epoch,
    /// Nothing that was granted is missing in it.
    pub is_complete: bool,
    pub votes: Vec<(LeaseId, Epoch, CandidateId)>,
    /// The latest life that is known of each other voter, and by what its start is told from others of that life.
    pub incarnations: Vec<(VoterId, u64, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// What it granted before its start may still be held, and it does not know by whom.
    Waiting(Timestamp),
    /// It has lost what it granted: these others have told it what they know.
    Recovering(BTreeSet<VoterId>),
    Voting,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    terms: LeaseConfig,
    me: VoterId,
    stage: Stage,
    is_complete: bool,
    incarnation: u64,
    epoch_floor: Epoch,
    votes: BTreeMap<LeaseId, Vote>,
    incarnations: BTreeMap<VoterId, (u64, u64)>,
    start_nonce: u64,
    /// What waits to be sent, each with the image that has to be kept before.
    pending: VecDeque<(u64, Destination, Message)>,
    /// Images that differ are numbered; which one was kept, and which one is being written.
    changed: u64,
    kept: u64,
    writing: bool,
    /// When the others are asked next what they know.
    asks_at: Timestamp,
}

impl Voter {
    /// Starts one with what it kept; `drawn` anew at each start.
    ///
    /// With nothing, or with what was broken, it has lost what it granted.
    ///
    /// Danger: what was granted before may be held still, by someone who asked a moment before the start. So it abstains for the
    /// longest that any grant holds, even to the holder that it remembers: an image may be an older copy, and then the one
    /// that it remembers is not the one that holds.
    #[must_use]
    pub fn start(
        now: Timestamp,
        terms: LeaseConfig,
        me: VoterId,
        image: Option<VoterSnapshot>,
        drawn: u64,
    ) -> Voter {
        let whole = image.as_ref().is_some_and(|image| image.is_complete);
        let image = image.unwrap_or_default();
        let vote = |(lease, epoch, holder): (LeaseId, Epoch, CandidateId)| {
            (lease, Vote { epoch, holder, round: 0, until: now, waits: SmallVec::new() })
        };
        let wait = now + terms.term;
        #[cfg(any(test, feature = "flaws"))]
        let wait = if terms.flaw == Some(Flaw::NoStartupWait) { now } else { wait };
        let mut voter = Voter {
            terms,
            me,
            stage: Stage::Waiting(wait),
            is_complete: whole,
            incarnation: image.incarnation + 1,
            epoch_floor: image.epoch_floor,
            votes: image.votes.into_iter().map(vote).collect(),
            incarnations: image
                .incarnations
                .into_iter()
                .map(|(of, life, start)| (of, (life, start)))
                .collect(),
            start_nonce: drawn,
            pending: VecDeque::new(),
            changed: 1,
            kept: 0,
            writing: false,
            asks_at: now,
        };
        voter.tick(now);
        voter
    }

    #[must_use]
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub fn votes(&self) -> impl Iterator<Item = (LeaseId, &Vote)> {
        self.votes.iter().map(|(lease, vote)| (*lease, vote))
    }

    /// When time has something to do next; nothing while it just votes.
    #[must_use]
    pub fn next_at(&self) -> Option<Timestamp> {
        match &self.stage {
            Stage::Waiting(till) => Some((*till).min(self.asks_at)),
            Stage::Recovering(_) => Some(self.asks_at),
            Stage::Voting => None,
        }
    }

    fn others(&self) -> impl Iterator<Item = VoterId> + use<> {
        let me = self.me;
        (0..self.terms.voter_count).map(VoterId).filter(move |one| *one != me)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Timestamp) {
        if let Stage::Waiting(till) = self.stage
            && now >= till
        {
            #[cfg(any(test, feature = "flaws"))]
            let learns = !self.is_complete && self.terms.flaw != Some(Flaw::NoRecovery);
            #[cfg(not(any(test, feature = "flaws")))]
            let learns = !self.is_complete;
            // What the others tell counts only from now on. Danger: a grant of the former life may be on its way to its
            // holder; till the wait is over a majority with it may still come about at the others.
            self.stage = Stage::Voting;
            self.asks_at = now;
            if learns {
                self.learn();
            }
        }
        if self.stage != Stage::Voting && now >= self.asks_at {
            self.asks_at = now + self.terms.retry_interval * 4.0;
            let word = Message::RecoveryRequest {
                from: self.me,
                incarnation: self.incarnation,
                nonce: self.start_nonce,
            };
            self.others().for_each(|one| self.say(Destination::Voter(one), word.clone()));
        }
    }

    /// Asks the others from now on, in a life of its own. Danger: what they answered before the wait was over comes late, when
    /// it counts: a grant that came about since is missing in it. Answers to an earlier life are passed over.
    fn learn(&mut self) {
        self.stage = Stage::Recovering(BTreeSet::new());
        self.incarnation += 1;
        self.changed += 1;
    }

    /// Goes out once all that has changed so far is kept.
    fn say(&mut self, to: Destination, word: Message) {
        // Danger: a disk that hangs, and words that add up. The oldest is lost, as a datagram may be.
        if self.pending.len() >= PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back((self.changed, to, word));
    }

    /// A word came.
    pub fn handle_message(&mut self, now: Timestamp, word: &Message) {
        self.tick(now);
        match word {
            Message::Request { from, round, leases: wants } => self.asked(now, *from, *round, wants),
            Message::Release { from, round, held, leases: wants } => {
                self.freed(now, *from, *round, *held, wants)
            }
            Message::RecoveryRequest { from, incarnation: life, nonce: start } if *from != self.me => {
                let (mut known, of) = self.incarnations.get(from).copied().unwrap_or_default();
                if *life > known {
                    self.incarnations.insert(*from, (*life, *start));
                    self.changed += 1;
                } else if *life == known && *start == of {
                    // It asks once more, and is the one that is known.
                    known -= 1;
                }
                let (highest, whole) = (self.highest(), self.is_complete);
                let word = Message::RecoveryResponse {
                    from: self.me,
                    requested_by: *life,
                    highest,
                    last_known: known,
                    is_complete: whole,
                };
                self.say(Destination::Voter(*from), word);
            }
            Message::RecoveryResponse {
                from,
                requested_by: asked,
                highest,
                last_known: life,
                is_complete: whole,
            } => {
                self.learnt(*from, *asked, *highest, *life, *whole);
            }
            _ => {}
        }
    }

    fn highest(&self) -> Epoch {
        self.votes.values().map(|vote| vote.epoch).max().unwrap_or_default().max(self.epoch_floor)
    }

    fn asked(&mut self, now: Timestamp, from: CandidateId, round: u64, wants: &[LeaseEpoch]) {
        let verdicts: Vec<(LeaseId, Verdict)> = wants
            .iter()
            .take(self.terms.max_batch_leases)
            .filter_map(|want| Some((want.lease, self.decide(now, from, round, *want)?)))
            .collect();
        if !verdicts.is_empty() {
            let word = Message::Response { from: self.me, round, clock: now, verdicts };
            self.say(Destination::Candidate(from), word);
        }
    }

    /// What it says to one that wants a lease; nothing to a word that is overtaken.
    fn decide(&mut self, now: Timestamp, from: CandidateId, round: u64, want: LeaseEpoch) -> Option<Verdict> {
        if self.stage != Stage::Voting {
            return Some(Verdict::Abstained);
        }
        let until = now + self.terms.term;
        let (known, most) = (self.votes.len(), self.terms.max_leases);
        let Some(vote) = self.votes.get_mut(&want.lease) else {
            if want.epoch <= self.epoch_floor {
                return Some(Verdict::StaleEpoch(self.epoch_floor));
            }
            // Danger: invented leases. What it knows of a lease it cannot forget.
            if known >= most {
                return Some(Verdict::AtCapacity);
            }
            let vote = Vote { epoch: want.epoch, holder: from, round, until, waits: SmallVec::new() };
            self.votes.insert(want.lease, vote);
            self.changed += 1;
            return Some(Verdict::Granted(want.epoch));
        };
        if vote.holder == from && vote.epoch == want.epoch {
            if round < vote.round {
                return None;
            }
            // Danger: an old word that comes again holds the lease for one that has long given it back. A round that was
            // granted is granted again, and not for longer.
            if round > vote.round {
                (vote.round, vote.until) = (round, until);
            }
            return Some(Verdict::Granted(want.epoch));
        }
        if now < vote.until && vote.holder != from {
            // The one that asked last stands last.
            vote.waits.retain(|one| *one != from);
            if vote.waits.len() == WAITS {
                vote.waits.remove(0);
            }
            vote.waits.push(from);
            return Some(Verdict::Held { epoch: vote.epoch, remaining: vote.until - now });
        }
        let newest = vote.epoch.max(self.epoch_floor);
        if want.epoch <= newest {
            return Some(Verdict::StaleEpoch(newest));
        }
        (vote.epoch, vote.holder, vote.round, vote.until) = (want.epoch, from, round, until);
        self.changed += 1;
        Some(Verdict::Granted(want.epoch))
    }

    fn freed(&mut self, now: Timestamp, from: CandidateId, round: u64, held: bool, wants: &[LeaseEpoch]) {
        for want in wants.iter().take(self.terms.max_batch_leases) {
            let Some(vote) = self.votes.get_mut(&want.lease) else { continue };
            let of = vote.holder == from && vote.epoch == want.epoch;
            // Danger: a late word gives back what was asked for again since. Only its own round, or an older one, is given back;
            // a round whose asking comes after this is no grant any more.
            if !of || round < vote.round {
                continue;
            }
            (vote.round, vote.until) = (round, vote.until.min(now));
            let epoch = vote.epoch;
            // Danger: what two that collided give back is told to a third, which collides with both.
            if !held {
                continue;
            }
            let waits = std::mem::take(&mut vote.waits);
            // One is told, so that those that wait do not all ask at one moment; the others see it by themselves. The one that asked
            // last: it lives, and all voters heard of it last. Danger: the first is a process that was killed since, and nobody asks.
            if let Some(last) = waits.last() {
                let word = Message::Available { from: self.me, lease: want.lease, epoch };
                self.say(Destination::Candidate(*last), word);
            }
        }
    }

    /// Another voter has told what it knows.
    fn learnt(&mut self, from: VoterId, asked: u64, highest: Epoch, life: u64, whole: bool) {
        if life >= self.incarnation {
            // Danger: what it started with is an older copy, in which later grants are missing; it would give their epochs away
            // again. So it has lost what it knew, and this life begins after the one that was known.
            self.is_complete = false;
            self.incarnation = life;
            if self.stage == Stage::Voting {
                self.learn();
            } else {
                self.incarnation += 1;
                self.changed += 1;
            }
            return;
        }
        let Stage::Recovering(told) = &mut self.stage else { return };
        if !whole || from == self.me || asked != self.incarnation {
            return;
        }
        told.insert(from);
        let enough = told.len() >= self.terms.majority();
        if highest > self.epoch_floor {
            self.epoch_floor = highest;
            self.changed += 1;
        }
        // Any majority that has granted something has one of these in it, beside this one: majorities less one and as
        // many others as a majority are more than all others.
        if enough {
            (self.stage, self.is_complete) = (Stage::Voting, true);
            self.changed += 1;
        }
    }

    /// What is to be written now, and its number; nothing if it is kept already, or one is being written.
    pub fn start_write(&mut self) -> Option<(u64, VoterSnapshot)> {
        if self.writing || self.kept == self.changed {
            return None;
        }
        self.writing = true;
        let votes = self.votes.iter().map(|(lease, vote)| (*lease, vote.epoch, vote.holder)).collect();
        let lives = self.incarnations.iter().map(|(voter, (life, start))| (*voter, *life, *start)).collect();
        let image = VoterSnapshot {
            incarnation: self.incarnation,
            epoch_floor: self.epoch_floor,
            is_complete: self.is_complete,
            votes,
            incarnations: lives,
        };
        Some((self.changed, image))
    }

    /// An image was written, or that failed; then what waits for it goes on waiting, and it is written again.
    pub fn write_finished(&mut self, number: u64, done: bool) {
        self.writing = false;
        if done {
            self.kept = self.kept.max(number);
        }
    }

    /// Words that may go out now.
    pub fn take_outgoing(&mut self) -> Vec<(Destination, Message)> {
        let ready = self.pending.iter().take_while(|(after, ..)| *after <= self.kept).count();
        self.pending.drain(..ready).map(|(_, to, word)| (to, word)).collect()
    }

    /// How long until the lease is free here, if it is held.
    #[must_use]
    pub fn remaining(&self, now: Timestamp, lease: LeaseId) -> Option<TimeDelta> {
        let vote = self.votes.get(&lease)?;
        (vote.until > now).then(|| vote.until - now)
    }
}

/// Words that wait for the disk at most.
const PENDING: usize = 1024;
