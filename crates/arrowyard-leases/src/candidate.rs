//! One that wants leases: when it asks, what it counts, till when it holds, when it gives back. All leases that are due are
//! asked for in one round, so that thousands cost a few words a term.

use std::collections::{BTreeMap, BTreeSet};

use arrowyard_types::{TimeDelta, Timestamp};

#[cfg(any(test, feature = "flaws"))]
use crate::config::Flaw;
use crate::config::{CandidateId, Epoch, LeaseConfig, LeaseId, VoterId};
use crate::fencing::Permit;
use crate::{Destination, LeaseEpoch, Message, Verdict};

/// Voters that granted a round, a bit each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Votes {
    granted: u8,
    refused: u8,
    /// Grants, counted one by one.
    #[cfg(any(test, feature = "flaws"))]
    count: u8,
}

impl Votes {
    fn add(&mut self, voter: VoterId, granted: bool) {
        // Danger: a grant that comes twice is one grant.
        let bit = 1_u8 << (voter.0 & 7);
        *(if granted { &mut self.granted } else { &mut self.refused }) |= bit;
        #[cfg(any(test, feature = "flaws"))]
        {
            self.count += u8::from(granted);
        }
    }

    fn won(self, terms: &LeaseConfig) -> bool {
        #[cfg(any(test, feature = "flaws"))]
        match terms.flaw {
            Some(Flaw::CountDuplicateGrants) => return usize::from(self.count) >= terms.majority(),
            Some(Flaw::MajorityOfResponses) => {
                return self.granted.count_ones() > self.refused.count_ones() && self.granted > 0;
            }
            _ => {}
        }
        self.granted.count_ones() as usize >= terms.majority()
    }

    /// So many refused that no majority is left.
    fn is_lost(self, terms: &LeaseConfig) -> bool {
        usize::from(terms.voter_count) - (self.refused.count_ones() as usize) < terms.majority()
    }
}

/// A round in which a lease was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Round {
    number: u64,
    /// From before anything was sent.
    asked: Timestamp,
    votes: Votes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    Idle,
    Asks { epoch: Epoch, tries: u8, round: Round },
    Holds { epoch: Epoch, end: Timestamp, last: u64, round: Option<Round> },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Task {
    wanted: bool,
    /// Those with a smaller number try sooner.
    rank: u32,
    state: State,
    /// The newest epoch that was heard of.
    known: Epoch,
    /// When it does something next.
    next: Timestamp,
    conflicts: u8,
    /// The epoch whose end it was told of last.
    vacant: Option<Epoch>,
    /// Under which time it stands among those that are due.
    filed: Option<Timestamp>,
}

impl Task {
    /// When it does something next, or loses what it holds.
    fn due(&self) -> Option<Timestamp> {
        match self.state {
            State::Idle if !self.wanted => None,
            State::Holds { end, .. } => Some(self.next.min(end)),
            _ => Some(self.next),
        }
    }
}

/// By so much later one tries that is not fit.
const UNFIT: u32 = 16;

/// What happened, for the log and for whoever does the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    Acquired {
        lease: LeaseId,
        epoch: Epoch,
    },
    /// Its time ran out before it was granted again.
    Expired {
        lease: LeaseId,
        epoch: Epoch,
    },
    /// It gave it back.
    Released {
        lease: LeaseId,
        epoch: Epoch,
    },
}

/// How a lease looks from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    pub lease: LeaseId,
    pub wanted: bool,
    /// Held by this one, and for how long still.
    pub remaining: Option<TimeDelta>,
    pub epoch: Epoch,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    terms: LeaseConfig,
    me: CandidateId,
    round: u64,
    tasks: BTreeMap<LeaseId, Task>,
    /// All tasks that do something some time, by when. Danger: thousands of leases, and a look at each whenever one is due.
    due: BTreeSet<(Timestamp, LeaseId)>,
    unfit: bool,
    /// What is sent, and what happened; taken by the caller.
    pub outbox: Vec<(Destination, Message)>,
    pub events: Vec<Event>,
}

impl Candidate {
    #[must_use]
    pub fn new(terms: LeaseConfig, me: CandidateId) -> Candidate {
        Candidate {
            terms,
            me,
            round: 0,
            tasks: BTreeMap::new(),
            due: BTreeSet::new(),
            unfit: false,
            outbox: Vec::new(),
            events: Vec::new(),
        }
    }

    /// A task has changed: it is filed under its new time.
    fn file(&mut self, lease: LeaseId) {
        let Some(task) = self.tasks.get_mut(&lease) else { return };
        let due = task.due();
        if due == task.filed {
            return;
        }
        if let Some(old) = std::mem::replace(&mut task.filed, due) {
            self.due.remove(&(old, lease));
        }
        if let Some(due) = due {
            self.due.insert((due, lease));
        }
    }

    #[must_use]
    pub fn id(&self) -> CandidateId {
        self.me
    }

    /// It wants this lease from now on; `rank`: those with a smaller one try sooner. `draw` is drawn evenly from 0 to 1.
    pub fn request(&mut self, now: Timestamp, lease: LeaseId, rank: u32, draw: f64) {
        let next = now + self.terms.contention_window * (f64::from(rank) + draw);
        let (state, known) = (State::Idle, Epoch::default());
        let rank = if self.unfit { rank.saturating_add(UNFIT) } else { rank };
        let next = if self.unfit { next + self.terms.contention_window * f64::from(UNFIT) } else { next };
        let new = Task { wanted: true, rank, state, known, next, conflicts: 0, vacant: None, filed: None };
        let task = self.tasks.entry(lease).or_insert(new);
        (task.wanted, task.rank) = (true, rank);
        task.next = task.next.min(next);
        self.file(lease);
    }

    /// Whether this one is fit to do tasks: one that serves nobody, or doubts itself, gives back what it has, and tries for it
    /// again only after all that are fit had their time. Nothing here decides who may hold: it may be the last one there is.
    pub fn set_eligible(&mut self, now: Timestamp, fit: bool, mut draw: impl FnMut() -> f64) {
        if self.unfit != fit {
            return;
        }
        self.unfit = !fit;
        let leases: Vec<(LeaseId, u32)> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.wanted)
            .map(|(lease, task)| (*lease, task.rank))
            .collect();
        if !fit {
            self.release_leases(leases.iter().map(|(lease, _)| *lease).collect());
        }
        for (lease, rank) in leases {
            let rank = if fit { rank.saturating_sub(UNFIT) } else { rank.saturating_add(UNFIT) };
            if let Some(task) = self.tasks.get_mut(&lease) {
                (task.wanted, task.rank) = (true, rank);
                if task.state == State::Idle {
                    // Beyond the words that tell the others of the vacancy, and beyond their first rounds.
                    let wait = if fit { TimeDelta::ZERO } else { self.terms.retry_interval * 2.0 };
                    task.next = now + wait + self.terms.contention_window * (f64::from(rank) + draw());
                    // It is not told of its own vacancy.
                    task.vacant = Some(task.known);
                }
            }
            self.file(lease);
        }
    }

    /// It wants this lease no more, and gives it back if it has it. Danger: what is given back may be held by another the next
    /// moment; so nothing that was begun under it may still go on.
    pub fn release(&mut self, lease: LeaseId) {
        self.release_leases(vec![lease]);
    }

    fn release_leases(&mut self, leases: Vec<LeaseId>) {
        let mut releases: BTreeMap<(u64, bool), Vec<LeaseEpoch>> = BTreeMap::new();
        for lease in leases {
            let Some(task) = self.tasks.get_mut(&lease) else { continue };
            task.wanted = false;
            let back = match task.state {
                State::Idle => None,
                State::Asks { epoch, round, .. } => Some((epoch, round.number, false)),
                State::Holds { epoch, last, round, .. } => {
                    Some((epoch, round.map_or(last, |round| round.number), true))
                }
            };
            task.state = State::Idle;
            self.file(lease);
            let Some((epoch, round, held)) = back else { continue };
            if held {
                self.events.push(Event::Released { lease, epoch });
            }
            releases.entry((round, held)).or_default().push(LeaseEpoch { lease, epoch });
        }
        releases.into_iter().for_each(|((round, held), wants)| self.free(round, held, wants));
    }

    /// It ends: all is given back, in as few words as there are rounds.
    pub fn release_all(&mut self) {
        self.release_leases(self.tasks.keys().copied().collect());
    }

    fn free(&mut self, round: u64, held: bool, wants: Vec<LeaseEpoch>) {
        for wants in wants.chunks(self.terms.max_batch_leases.max(1)) {
            let word = Message::Release { from: self.me, round, held, leases: wants.to_vec() };
            for voter in 0..self.terms.voter_count {
                self.outbox.push((Destination::Voter(VoterId(voter)), word.clone()));
            }
        }
    }

    /// When time has something to do next.
    #[must_use]
    pub fn next_at(&self) -> Option<Timestamp> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Time has passed: what is over is lost, what is due is asked for. `draw` gives even draws from 0 to 1.
    pub fn tick(&mut self, now: Timestamp, mut draw: impl FnMut() -> f64) {
        let terms = self.terms;
        if self.next_at().is_none_or(|at| at > now) {
            return;
        }
        // What is held and due soon goes along. Danger: thousands of leases that came one by one, each asked for in words of its own.
        let soon = now + terms.term * (f64::from(terms.renew_percent) / 400.0);
        let due: Vec<LeaseId> =
            self.due.range(..=(soon, LeaseId(u64::MAX))).map(|(_, lease)| *lease).collect();
        let mut releases: BTreeMap<u64, Vec<LeaseEpoch>> = BTreeMap::new();
        let mut asks: Vec<(LeaseId, Epoch)> = Vec::new();
        for lease in due {
            let Some(task) = self.tasks.get_mut(&lease) else { continue };
            if let State::Holds { epoch, end, .. } = task.state
                && now >= end
            {
                task.state = State::Idle;
                task.known = task.known.max(epoch);
                task.next = now + terms.contention_window * (f64::from(task.rank) + draw());
                self.events.push(Event::Expired { lease, epoch });
            }
            let open = matches!(task.state, State::Holds { round: Some(_), .. });
            let along = matches!(task.state, State::Holds { .. }) && !open;
            match task.state {
                _ if now < task.next && !along => {}
                State::Idle if !task.wanted => {}
                State::Idle => asks.push((lease, task.known.next())),
                State::Asks { epoch, tries, round } => {
                    // Danger: two share the voters that answer, one is silent, and each waits for a majority that the other keeps.
                    let shared = round.votes.granted != 0 && round.votes.refused != 0;
                    if tries >= terms.max_attempts || shared {
                        // Nobody has a majority, or voters do not answer. What was granted here blocks the others.
                        releases.entry(round.number).or_default().push(LeaseEpoch { lease, epoch });
                        task.state = State::Idle;
                        task.conflicts = task.conflicts.saturating_add(1);
                        task.next = now + pause(&terms, task, draw());
                    } else {
                        asks.push((lease, epoch));
                    }
                }
                State::Holds { epoch, .. } => asks.push((lease, epoch)),
            }
            self.file(lease);
        }
        releases.into_iter().for_each(|(round, wants)| self.free(round, false, wants));
        for batch in asks.chunks(terms.max_batch_leases.max(1)) {
            self.ask(now, batch);
        }
    }

    fn ask(&mut self, now: Timestamp, batch: &[(LeaseId, Epoch)]) {
        self.round += 1;
        let number = self.round;
        for (lease, epoch) in batch {
            let Some(task) = self.tasks.get_mut(lease) else { continue };
            let round = Round { number, asked: now, votes: Votes::default() };
            task.next = now + self.terms.retry_interval;
            task.state = match task.state {
                State::Idle => State::Asks { epoch: *epoch, tries: 1, round },
                State::Asks { tries, .. } => State::Asks { epoch: *epoch, tries: tries + 1, round },
                State::Holds { epoch, end, last, .. } => {
                    State::Holds { epoch, end, last, round: Some(round) }
                }
            };
            self.file(*lease);
        }
        let wants = batch.iter().map(|&(lease, epoch)| LeaseEpoch { lease, epoch }).collect();
        let word = Message::Request { from: self.me, round: number, leases: wants };
        for voter in 0..self.terms.voter_count {
            self.outbox.push((Destination::Voter(VoterId(voter)), word.clone()));
        }
    }

    /// A word came.
    pub fn handle_message(&mut self, now: Timestamp, word: &Message, mut draw: impl FnMut() -> f64) {
        match word {
            Message::Response { from, round, verdicts, .. } if from.0 < self.terms.voter_count => {
                // One draw for all: what was refused together is asked for together.
                let draw = draw();
                let mut back = Vec::new();
                for (lease, verdict) in verdicts {
                    back.extend(self.verdict(now, *from, *round, *lease, *verdict, draw));
                    self.file(*lease);
                }
                if !back.is_empty() {
                    self.free(*round, false, back);
                }
            }
            Message::Available { lease, epoch, .. } => {
                let Some(task) = self.tasks.get_mut(lease).filter(|task| task.wanted) else { return };
                // Danger: two that asked at once give back what each was granted, are both told that it is vacant, and ask at
                // once again, without end (the checker found it). Who rests after a conflict goes on resting; and a hint
                // counts once, of an epoch that was not given back before.
                let new = *epoch >= task.known && task.vacant != Some(*epoch);
                task.known = task.known.max(*epoch);
                if task.state == State::Idle && task.conflicts == 0 && new {
                    (task.next, task.vacant) = (now, Some(*epoch));
                } else if new && matches!(task.state, State::Asks { .. }) {
                    // Danger: answers that were on their way say that it is held for a whole term yet, and that is waited for.
                    task.vacant = Some(*epoch);
                }
                self.file(*lease);
            }
            _ => {}
        }
    }

    /// What comes of a voter's word; what is to be given back, as no majority is left.
    fn verdict(
        &mut self,
        now: Timestamp,
        voter: VoterId,
        number: u64,
        lease: LeaseId,
        verdict: Verdict,
        draw: f64,
    ) -> Option<LeaseEpoch> {
        let terms = self.terms;
        let task = self.tasks.get_mut(&lease)?;
        if let Verdict::Held { epoch, .. } | Verdict::StaleEpoch(epoch) = verdict {
            task.known = task.known.max(epoch);
        }
        // Only the round that is open counts. Danger: grants of two rounds together are no majority at any one time.
        let (epoch, mut round) = match task.state {
            State::Asks { epoch, round, .. } => (epoch, round),
            State::Holds { epoch, round: Some(round), .. } => (epoch, round),
            _ => return None,
        };
        if round.number != number {
            return None;
        }
        round.votes.add(voter, verdict == Verdict::Granted(epoch));
        let end = round.asked + terms.usable_term();
        #[cfg(any(test, feature = "flaws"))]
        let end = if terms.flaw == Some(Flaw::CountFromReceipt) { now + terms.usable_term() } else { end };
        let won = round.votes.won(&terms) && now < end;
        let renew = round.asked + terms.term * (f64::from(terms.renew_percent) / 100.0);
        match &mut task.state {
            State::Asks { round: open, .. } if won => {
                *open = round;
                task.state = State::Holds { epoch, end, last: number, round: None };
                task.known = task.known.max(epoch);
                (task.next, task.conflicts) = (renew, 0);
                self.events.push(Event::Acquired { lease, epoch });
            }
            State::Asks { round: open, .. } => {
                *open = round;
                let lost = round.votes.is_lost(&terms);
                if lost {
                    // No majority can come of it. What was granted is given back, or two that ask at once block each other for a
                    // whole term.
                    let granted = round.votes.granted != 0;
                    task.state = State::Idle;
                    task.next = now
                        + match verdict {
                            // The others' word, not a conflict: with the next epoch it may go through.
                            Verdict::StaleEpoch(_) => terms.contention_window * (0.1 * draw),
                            // It was given back, and the word of that has not come to all voters yet.
                            Verdict::Held { epoch, .. } if !granted && task.vacant == Some(epoch) => {
                                task.conflicts = task.conflicts.saturating_add(1);
                                pause(&terms, task, draw)
                            }
                            Verdict::Held { remaining: left, .. } if !granted => {
                                // It is held in order: whatever conflict there was is over, and a hint counts again.
                                task.conflicts = 0;
                                left + terms.contention_window * (f64::from(task.rank) + draw)
                            }
                            _ => {
                                task.conflicts = task.conflicts.saturating_add(1);
                                pause(&terms, task, draw)
                            }
                        };
                    return granted.then_some(LeaseEpoch { lease, epoch });
                }
            }
            State::Holds { end: until, last, round: open, .. } => {
                if won {
                    (*until, *last, *open) = ((*until).max(end), number, None);
                    task.next = renew;
                } else {
                    *open = Some(round);
                }
            }
            State::Idle => {}
        }
        None
    }

    /// The right to act under this lease, if it is held now.
    #[must_use]
    pub fn permit(&self, now: Timestamp, lease: LeaseId) -> Option<Permit> {
        match self.tasks.get(&lease)?.state {
            State::Holds { epoch, end, .. } => {
                #[cfg(any(test, feature = "flaws"))]
                let end =
                    if self.terms.flaw == Some(Flaw::SkipExpiryCheck) { now + self.terms.term } else { end };
                (now < end).then_some(Permit { lease, epoch, holder: self.me, end })
            }
            _ => None,
        }
    }

    /// The round in which it asks for the lease just now.
    #[must_use]
    pub fn open_round(&self, lease: LeaseId) -> Option<u64> {
        match self.tasks.get(&lease)?.state {
            State::Asks { round, .. } | State::Holds { round: Some(round), .. } => Some(round.number),
            _ => None,
        }
    }

    /// All leases that it wants or has.
    pub fn statuses(&self, now: Timestamp) -> impl Iterator<Item = LeaseStatus> {
        self.tasks.iter().map(move |(&lease, task)| {
            let remaining = match task.state {
                State::Holds { end, .. } if now < end => Some(end - now),
                _ => None,
            };
            let epoch = match task.state {
                State::Holds { epoch, .. } => epoch,
                _ => task.known,
            };
            LeaseStatus { lease, wanted: task.wanted, remaining, epoch }
        })
    }
}

/// How long one waits after a conflict: full jitter in a window that doubles.
fn pause(terms: &LeaseConfig, task: &Task, draw: f64) -> TimeDelta {
    let window = terms.contention_window * f64::from(1_u32 << task.conflicts.min(12));
    terms.contention_window * f64::from(task.rank) + window.min(terms.max_contention_window) * draw
}
