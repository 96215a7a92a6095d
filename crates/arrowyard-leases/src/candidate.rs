//! A candidate: when it requests and renews leases, counts grants, holds and releases. All leases that are
//! due share one round, so that thousands of leases cost a few messages per term.

use std::collections::{BTreeMap, BTreeSet};

use arrowyard_types::{TimeDelta, Timestamp};

#[cfg(any(test, feature = "flaws"))]
use crate::config::Flaw;
use crate::config::{CandidateId, Epoch, LeaseConfig, LeaseId, VoterId};
use crate::fencing::Permit;
use crate::{Destination, LeaseEpoch, Message, Verdict};

/// The responses to a round. `granted` and `refused` have one bit per voter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Votes {
    granted: u8,
    refused: u8,
    /// The number of grants, including duplicates.
    #[cfg(any(test, feature = "flaws"))]
    count: u8,
}

impl Votes {
    fn add(&mut self, voter: VoterId, granted: bool) {
        // Bits, so that a duplicated grant counts once.
        let bit = 1_u8 << (voter.0 & 7);
        *(if granted { &mut self.granted } else { &mut self.refused }) |= bit;
        #[cfg(any(test, feature = "flaws"))]
        {
            self.count += u8::from(granted);
        }
    }

    /// Whether a majority of all voters granted the lease.
    fn is_won(self, config: &LeaseConfig) -> bool {
        #[cfg(any(test, feature = "flaws"))]
        match config.flaw {
            Some(Flaw::CountDuplicateGrants) => return usize::from(self.count) >= config.majority(),
            Some(Flaw::MajorityOfResponses) => {
                return self.granted.count_ones() > self.refused.count_ones() && self.granted > 0;
            }
            _ => {}
        }
        self.granted.count_ones() as usize >= config.majority()
    }

    /// Whether so many voters refused that a majority is out of reach.
    fn is_lost(self, config: &LeaseConfig) -> bool {
        usize::from(config.voter_count) - (self.refused.count_ones() as usize) < config.majority()
    }
}

/// A round in which a lease was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Round {
    number: u64,
    /// Taken before any message was sent.
    requested_at: Timestamp,
    votes: Votes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    Idle,
    Requesting {
        epoch: Epoch,
        attempts: u8,
        round: Round,
    },
    Holding {
        epoch: Epoch,
        end: Timestamp,
        /// The round in which the lease was last acquired or renewed.
        last_round: u64,
        /// The open round of a renewal.
        round: Option<Round>,
    },
}

/// The state of one lease at this candidate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Task {
    /// Whether this candidate competes for the lease.
    wanted: bool,
    /// Lower ranks request earlier.
    rank: u32,
    state: State,
    /// The newest epoch known of this lease.
    newest_known: Epoch,
    /// The time of the next request or retry.
    next_request_at: Timestamp,
    /// The number of consecutive conflicts with other candidates, for the backoff.
    conflicts: u8,
    /// The epoch whose release notifications are ignored: one was handled, or it was this candidate's own
    /// release.
    released_epoch: Option<Epoch>,
    /// The time of the entry in `Candidate::due`.
    scheduled_at: Option<Timestamp>,
}

impl Task {
    /// The time of its next request, or of the expiry of its lease.
    fn due(&self) -> Option<Timestamp> {
        match self.state {
            State::Idle if !self.wanted => None,
            State::Holding { end, .. } => Some(self.next_request_at.min(end)),
            _ => Some(self.next_request_at),
        }
    }
}

/// Added to the rank while the candidate is not eligible.
const INELIGIBLE_RANK_PENALTY: u32 = 16;

/// A change of ownership, for the log and for the code that runs the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A majority granted the lease.
    Acquired { lease: LeaseId, epoch: Epoch },
    /// The lease ended before it was renewed.
    Expired { lease: LeaseId, epoch: Epoch },
    /// This candidate released the lease.
    Released { lease: LeaseId, epoch: Epoch },
}

/// The state of a lease as this candidate knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    pub lease: LeaseId,
    /// Whether this candidate competes for the lease.
    pub wanted: bool,
    /// How long this candidate still holds the lease, if it does.
    pub remaining: Option<TimeDelta>,
    /// The epoch under which it holds the lease, or else the newest known one.
    pub epoch: Epoch,
}

/// The protocol state of one candidate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    config: LeaseConfig,
    me: CandidateId,
    /// The number of the latest round.
    round: u64,
    tasks: BTreeMap<LeaseId, Task>,
    /// Tasks by the time at which they are due, so that a tick does not scan thousands of leases.
    due: BTreeSet<(Timestamp, LeaseId)>,
    /// See [`Candidate::set_eligible`].
    ineligible: bool,
    /// Messages to send; drained by the caller.
    pub outbox: Vec<(Destination, Message)>,
    /// Ownership changes; drained by the caller.
    pub events: Vec<Event>,
}

impl Candidate {
    /// Creates a candidate without leases; `me` must be unique to this process incarnation.
    #[must_use]
    pub fn new(config: LeaseConfig, me: CandidateId) -> Candidate {
        Candidate {
            config,
            me,
            round: 0,
            tasks: BTreeMap::new(),
            due: BTreeSet::new(),
            ineligible: false,
            outbox: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Updates the entry of a changed task in `due`.
    fn reschedule(&mut self, lease: LeaseId) {
        let Some(task) = self.tasks.get_mut(&lease) else { return };
        let due = task.due();
        if due == task.scheduled_at {
            return;
        }
        if let Some(previous) = std::mem::replace(&mut task.scheduled_at, due) {
            self.due.remove(&(previous, lease));
        }
        if let Some(due) = due {
            self.due.insert((due, lease));
        }
    }

    /// The identifier of this candidate.
    #[must_use]
    pub fn id(&self) -> CandidateId {
        self.me
    }

    /// Starts to compete for this lease. Lower ranks request earlier; `draw` is uniform in 0..1.
    pub fn request(&mut self, now: Timestamp, lease: LeaseId, rank: u32, draw: f64) {
        let request_at = now + self.config.contention_window * (f64::from(rank) + draw);
        let (state, newest_known) = (State::Idle, Epoch::default());
        let rank = if self.ineligible { rank.saturating_add(INELIGIBLE_RANK_PENALTY) } else { rank };
        let request_at = if self.ineligible {
            request_at + self.config.contention_window * f64::from(INELIGIBLE_RANK_PENALTY)
        } else {
            request_at
        };
        let new_task = Task {
            wanted: true,
            rank,
            state,
            newest_known,
            next_request_at: request_at,
            conflicts: 0,
            released_epoch: None,
            scheduled_at: None,
        };
        let task = self.tasks.entry(lease).or_insert(new_task);
        (task.wanted, task.rank) = (true, rank);
        task.next_request_at = task.next_request_at.min(request_at);
        self.reschedule(lease);
    }

    /// Sets whether this candidate should run tasks. An ineligible one releases its leases and requests them
    /// again only after all eligible candidates had time to do so. It may still hold leases, since it may be
    /// the only candidate left.
    pub fn set_eligible(&mut self, now: Timestamp, eligible: bool, mut draw: impl FnMut() -> f64) {
        if self.ineligible != eligible {
            return;
        }
        self.ineligible = !eligible;
        let leases: Vec<(LeaseId, u32)> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.wanted)
            .map(|(lease, task)| (*lease, task.rank))
            .collect();
        if !eligible {
            self.release_leases(leases.iter().map(|(lease, _)| *lease).collect());
        }
        for (lease, rank) in leases {
            let rank = if eligible {
                rank.saturating_sub(INELIGIBLE_RANK_PENALTY)
            } else {
                rank.saturating_add(INELIGIBLE_RANK_PENALTY)
            };
            if let Some(task) = self.tasks.get_mut(&lease) {
                (task.wanted, task.rank) = (true, rank);
                if task.state == State::Idle {
                    // Leaves time for the others' notifications of the release and their first rounds.
                    let wait = if eligible { TimeDelta::ZERO } else { self.config.retry_interval * 2.0 };
                    task.next_request_at =
                        now + wait + self.config.contention_window * (f64::from(rank) + draw());
                    // The notification of its own release is ignored.
                    task.released_epoch = Some(task.newest_known);
                }
            }
            self.reschedule(lease);
        }
    }

    /// Stops competing for this lease and releases it if it is held. Another candidate may hold it
    /// immediately afterwards, so no action under it may still be running.
    pub fn release(&mut self, lease: LeaseId) {
        self.release_leases(vec![lease]);
    }

    fn release_leases(&mut self, leases: Vec<LeaseId>) {
        let mut releases: BTreeMap<(u64, bool), Vec<LeaseEpoch>> = BTreeMap::new();
        for lease in leases {
            let Some(task) = self.tasks.get_mut(&lease) else { continue };
            task.wanted = false;
            let grant = match task.state {
                State::Idle => None,
                State::Requesting { epoch, round, .. } => Some((epoch, round.number, false)),
                State::Holding { epoch, last_round, round, .. } => {
                    Some((epoch, round.map_or(last_round, |round| round.number), true))
                }
            };
            task.state = State::Idle;
            self.reschedule(lease);
            let Some((epoch, round, held)) = grant else { continue };
            if held {
                self.events.push(Event::Released { lease, epoch });
            }
            releases.entry((round, held)).or_default().push(LeaseEpoch { lease, epoch });
        }
        releases.into_iter().for_each(|((round, held), leases)| self.send_release(round, held, leases));
    }

    /// Releases all leases, for shutdown.
    pub fn release_all(&mut self) {
        self.release_leases(self.tasks.keys().copied().collect());
    }

    fn send_release(&mut self, round: u64, held: bool, leases: Vec<LeaseEpoch>) {
        for leases in leases.chunks(self.config.max_batch_leases.max(1)) {
            let message = Message::Release { from: self.me, round, held, leases: leases.to_vec() };
            for voter in 0..self.config.voter_count {
                self.outbox.push((Destination::Voter(VoterId(voter)), message.clone()));
            }
        }
    }

    /// When [`Candidate::tick`] has to be called next.
    #[must_use]
    pub fn next_at(&self) -> Option<Timestamp> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Expires, requests and renews what is due. `draw` returns uniform values in 0..1.
    pub fn tick(&mut self, now: Timestamp, mut draw: impl FnMut() -> f64) {
        let config = self.config;
        if self.next_at().is_none_or(|at| at > now) {
            return;
        }
        // Renewals that are due soon join this round, so that leases acquired one by one come to share
        // messages.
        let renewal_horizon = now + config.term * (f64::from(config.renew_percent) / 400.0);
        let due: Vec<LeaseId> =
            self.due.range(..=(renewal_horizon, LeaseId(u64::MAX))).map(|(_, lease)| *lease).collect();
        let mut releases: BTreeMap<u64, Vec<LeaseEpoch>> = BTreeMap::new();
        let mut requests: Vec<(LeaseId, Epoch)> = Vec::new();
        for lease in due {
            let Some(task) = self.tasks.get_mut(&lease) else { continue };
            if let State::Holding { epoch, end, .. } = task.state
                && now >= end
            {
                task.state = State::Idle;
                task.newest_known = task.newest_known.max(epoch);
                task.next_request_at = now + config.contention_window * (f64::from(task.rank) + draw());
                self.events.push(Event::Expired { lease, epoch });
            }
            let has_open_round = matches!(task.state, State::Holding { round: Some(_), .. });
            let joins_early = matches!(task.state, State::Holding { .. }) && !has_open_round;
            match task.state {
                _ if now < task.next_request_at && !joins_early => {}
                State::Idle if !task.wanted => {}
                State::Idle => requests.push((lease, task.newest_known.next())),
                State::Requesting { epoch, attempts, round } => {
                    // With one voter unreachable, two candidates can split the others, and neither gets a
                    // majority.
                    let is_split = round.votes.granted != 0 && round.votes.refused != 0;
                    if attempts >= config.max_attempts || is_split {
                        // Grants without a majority block the other candidates.
                        releases.entry(round.number).or_default().push(LeaseEpoch { lease, epoch });
                        task.state = State::Idle;
                        task.conflicts = task.conflicts.saturating_add(1);
                        task.next_request_at = now + conflict_backoff(&config, task, draw());
                    } else {
                        requests.push((lease, epoch));
                    }
                }
                State::Holding { epoch, .. } => requests.push((lease, epoch)),
            }
            self.reschedule(lease);
        }
        releases.into_iter().for_each(|(round, leases)| self.send_release(round, false, leases));
        for batch in requests.chunks(config.max_batch_leases.max(1)) {
            self.send_request(now, batch);
        }
    }

    fn send_request(&mut self, now: Timestamp, batch: &[(LeaseId, Epoch)]) {
        self.round += 1;
        let number = self.round;
        for (lease, epoch) in batch {
            let Some(task) = self.tasks.get_mut(lease) else { continue };
            let round = Round { number, requested_at: now, votes: Votes::default() };
            task.next_request_at = now + self.config.retry_interval;
            task.state = match task.state {
                State::Idle => State::Requesting { epoch: *epoch, attempts: 1, round },
                State::Requesting { attempts, .. } => {
                    State::Requesting { epoch: *epoch, attempts: attempts + 1, round }
                }
                State::Holding { epoch, end, last_round, .. } => {
                    State::Holding { epoch, end, last_round, round: Some(round) }
                }
            };
            self.reschedule(*lease);
        }
        let leases = batch.iter().map(|&(lease, epoch)| LeaseEpoch { lease, epoch }).collect();
        let message = Message::Request { from: self.me, round: number, leases };
        for voter in 0..self.config.voter_count {
            self.outbox.push((Destination::Voter(VoterId(voter)), message.clone()));
        }
    }

    /// Handles a message from a voter.
    pub fn handle_message(&mut self, now: Timestamp, message: &Message, mut draw: impl FnMut() -> f64) {
        match message {
            Message::Response { from, round, verdicts, .. } if from.0 < self.config.voter_count => {
                // One random draw for all leases, so that leases refused together are requested together.
                let draw = draw();
                let mut releases = Vec::new();
                for (lease, verdict) in verdicts {
                    releases.extend(self.apply_verdict(now, *from, *round, *lease, *verdict, draw));
                    self.reschedule(*lease);
                }
                if !releases.is_empty() {
                    self.send_release(*round, false, releases);
                }
            }
            Message::Available { lease, epoch, .. } => {
                let Some(task) = self.tasks.get_mut(lease).filter(|task| task.wanted) else { return };
                // A candidate in backoff after a conflict ignores notifications, and one counts per epoch.
                // Otherwise two candidates that collided would be notified and collide again without end.
                // A newer epoch that a refusal told of may be that of a minority, which holds nothing.
                let is_new = task.released_epoch.is_none_or(|known| *epoch > known);
                task.newest_known = task.newest_known.max(*epoch);
                if task.state == State::Idle && task.conflicts == 0 && is_new {
                    (task.next_request_at, task.released_epoch) = (now, Some(*epoch));
                } else if is_new && matches!(task.state, State::Requesting { .. }) {
                    // Responses in flight may still report the lease as held for a whole term.
                    task.released_epoch = Some(*epoch);
                }
                self.reschedule(*lease);
            }
            _ => {}
        }
    }

    /// Applies a voter's decision. Returns a grant to release if a majority is out of reach.
    fn apply_verdict(
        &mut self,
        now: Timestamp,
        voter: VoterId,
        round_number: u64,
        lease: LeaseId,
        verdict: Verdict,
        draw: f64,
    ) -> Option<LeaseEpoch> {
        let config = self.config;
        let task = self.tasks.get_mut(&lease)?;
        if let Verdict::Held { epoch, .. } | Verdict::StaleEpoch(epoch) = verdict {
            task.newest_known = task.newest_known.max(epoch);
        }
        // Only the open round counts: grants of two rounds together are not a majority at any one time.
        let (epoch, mut round) = match task.state {
            State::Requesting { epoch, round, .. } => (epoch, round),
            State::Holding { epoch, round: Some(round), .. } => (epoch, round),
            // The round was lost before this grant arrived, or the lease was released or has expired. Unless
            // it is released, the voter refuses the other candidates for a term.
            State::Idle => return verdict.granted_epoch().map(|epoch| LeaseEpoch { lease, epoch }),
            State::Holding { round: None, .. } => return None,
        };
        if round.number != round_number {
            return None;
        }
        round.votes.add(voter, verdict == Verdict::Granted(epoch));
        let end = round.requested_at + config.usable_term();
        #[cfg(any(test, feature = "flaws"))]
        let end = if config.flaw == Some(Flaw::CountFromReceipt) { now + config.usable_term() } else { end };
        let is_won = round.votes.is_won(&config) && now < end;
        let renew_at = round.requested_at + config.term * (f64::from(config.renew_percent) / 100.0);
        match &mut task.state {
            State::Requesting { round: open_round, .. } if is_won => {
                *open_round = round;
                task.state = State::Holding { epoch, end, last_round: round_number, round: None };
                task.newest_known = task.newest_known.max(epoch);
                (task.next_request_at, task.conflicts) = (renew_at, 0);
                self.events.push(Event::Acquired { lease, epoch });
            }
            State::Requesting { round: open_round, .. } => {
                *open_round = round;
                let lost = round.votes.is_lost(&config);
                if lost {
                    // A majority is out of reach. The grants are released, or two competing candidates would
                    // block each other for a whole term.
                    let granted = round.votes.granted != 0;
                    task.state = State::Idle;
                    task.next_request_at = now
                        + match verdict {
                            // Not a conflict: a request with the next epoch may succeed.
                            Verdict::StaleEpoch(_) => config.contention_window * (0.1 * draw),
                            // A voter that has restarted does not vote yet, which is no conflict.
                            Verdict::Abstained if !granted => config.retry_interval * (0.5 + draw),
                            // The lease was released, but this voter has not received the release.
                            Verdict::Held { epoch, .. } if !granted && task.released_epoch == Some(epoch) => {
                                task.conflicts = task.conflicts.saturating_add(1);
                                conflict_backoff(&config, task, draw)
                            }
                            Verdict::Held { remaining, .. } if !granted => {
                                // Another candidate holds the lease: the conflict is over.
                                task.conflicts = 0;
                                remaining + config.contention_window * (f64::from(task.rank) + draw)
                            }
                            _ => {
                                task.conflicts = task.conflicts.saturating_add(1);
                                conflict_backoff(&config, task, draw)
                            }
                        };
                    return granted.then_some(LeaseEpoch { lease, epoch });
                }
            }
            State::Holding { end: current_end, last_round, round: open_round, .. } => {
                if is_won {
                    (*current_end, *last_round, *open_round) = ((*current_end).max(end), round_number, None);
                    task.next_request_at = renew_at;
                } else {
                    *open_round = Some(round);
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
            State::Holding { epoch, end, .. } => {
                #[cfg(any(test, feature = "flaws"))]
                let end = if self.config.flaw == Some(Flaw::SkipExpiryCheck) {
                    now + self.config.term
                } else {
                    end
                };
                (now < end).then_some(Permit { lease, epoch, holder: self.me, end })
            }
            _ => None,
        }
    }

    /// The number of the open round for this lease, if any.
    #[must_use]
    pub fn open_round(&self, lease: LeaseId) -> Option<u64> {
        match self.tasks.get(&lease)?.state {
            State::Requesting { round, .. } | State::Holding { round: Some(round), .. } => Some(round.number),
            _ => None,
        }
    }

    /// The states of all leases that this candidate has ever requested.
    pub fn statuses(&self, now: Timestamp) -> impl Iterator<Item = LeaseStatus> {
        self.tasks.iter().map(move |(&lease, task)| {
            let remaining = match task.state {
                State::Holding { end, .. } if now < end => Some(end - now),
                _ => None,
            };
            let epoch = match task.state {
                State::Holding { epoch, .. } => epoch,
                _ => task.newest_known,
            };
            LeaseStatus { lease, wanted: task.wanted, remaining, epoch }
        })
    }
}

/// The backoff after a conflict: full jitter in a window that doubles.
fn conflict_backoff(config: &LeaseConfig, task: &Task, draw: f64) -> TimeDelta {
    let window = config.contention_window * f64::from(1_u32 << task.conflicts.min(12));
    config.contention_window * f64::from(task.rank) + window.min(config.max_contention_window) * draw
}
