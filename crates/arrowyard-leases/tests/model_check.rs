//! Model checks the production state machines: three voters, two candidates and one lease, with lost,
//! duplicated and delayed messages, paused candidates, and voters that restart with their current, a lost or
//! an older store. Each scenario is explored exhaustively within its bounds. Deliberately faulty variants
//! must be detected in the same scenarios.

use std::collections::BTreeSet;

use arrowyard_leases::{
    Candidate, CandidateId, Destination, Epoch, FencingGuard, Flaw, LeaseConfig, Message, Permit, Stage,
    Voter, VoterSnapshot, lease_id,
};
use arrowyard_types::{TimeDelta, Timestamp};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// The store with which a voter restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Store {
    Current,
    Lost,
    Older,
}

#[derive(Clone, Debug)]
struct Scenario {
    config: LeaseConfig,
    /// The number of ticks, the rate of each clock in percent, and the possible crashes, each at most once.
    ticks: u8,
    voter_clocks: [i64; 3],
    candidate_clocks: [i64; 2],
    crashes: Vec<(usize, Store)>,
    /// The tick at which crashes happen; `None` for any.
    crash_at: Option<u8>,
    /// The number of messages that may be duplicated.
    duplicates: u8,
    /// The number of messages that may be lost or delayed beyond the tick in which they were sent.
    faults: u8,
    /// Whether candidates may release the lease.
    releases: bool,
    /// Whether effects may arrive at the receiver later than they were started.
    delayed_effects: bool,
}

impl Scenario {
    fn with_flaw(flaw: Option<Flaw>) -> Scenario {
        let ms = TimeDelta::from_millis;
        let config = LeaseConfig {
            term: ms(3),
            drift_ppm: 0,
            renew_percent: 50,
            retry_interval: ms(2),
            max_attempts: 1,
            contention_window: ms(1),
            max_contention_window: ms(1),
            flaw,
            ..LeaseConfig::default()
        };
        Scenario {
            config,
            ticks: 5,
            voter_clocks: [100; 3],
            candidate_clocks: [100; 2],
            crashes: Vec::new(),
            crash_at: (!is_long_run()).then_some(1),
            duplicates: 0,
            faults: 4,
            releases: false,
            delayed_effects: false,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SystemState {
    tick: u8,
    voters: Vec<Voter>,
    disks: Vec<VoterSnapshot>,
    initial_disks: Vec<VoterSnapshot>,
    candidates: Vec<Candidate>,
    in_flight: BTreeSet<(Destination, Message)>,
    delayed: BTreeSet<(Destination, Message)>,
    faults: u8,
    crashes: Vec<bool>,
    duplicates: u8,
    /// Effects that were started and have not arrived, and the state of the receiver.
    pending_effects: BTreeSet<(usize, Epoch)>,
    fencing_guard: FencingGuard,
    epoch_regressed: bool,
    last_effect_epoch: Option<Epoch>,
    /// The latest holder and its epoch, and whether another candidate acquired the lease under that epoch or
    /// an older one.
    latest_holder: Option<(Epoch, usize)>,
    epoch_reused: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    /// A candidate runs, and its messages have these fates; until then it is paused.
    RunCandidate(usize, [Fate; 3]),
    Deliver(Destination, Message),
    Duplicate(Destination, Message),
    Crash(usize, usize, Store),
    Release(usize, [Fate; 3]),
    StartEffect(usize),
    DeliverEffect(usize, Epoch),
}

/// The fate of a message to a voter. Voting voters do not communicate with each other, so only the order at
/// each voter matters: a delayed message arrives before or after any other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fate {
    Lost,
    /// The message arrives, and the response is lost.
    Received,
    Delivered,
    /// The response is delayed.
    ResponseDelayed,
    Delayed,
}

const FATES: [Fate; 5] = [Fate::Lost, Fate::Received, Fate::Delivered, Fate::ResponseDelayed, Fate::Delayed];

/// All fates of three messages with at most this many faults.
fn fates(faults: u8) -> Vec<[Fate; 3]> {
    let all =
        FATES.iter().flat_map(|&a| FATES.iter().flat_map(move |&b| FATES.iter().map(move |&c| [a, b, c])));
    let faulty = |fates: &[Fate; 3]| fates.iter().filter(|fate| **fate != Fate::Delivered).count();
    all.filter(|fates| faulty(fates) <= usize::from(faults)).collect()
}

/// With ARROWYARD_LONG, crashes happen at any tick, and more messages are lost or delayed.
fn is_long_run() -> bool {
    std::env::var_os("ARROWYARD_LONG").is_some()
}

const LEASE_NAME: &str = "task";

impl Scenario {
    fn voter_now(&self, tick: u8, of: usize) -> Timestamp {
        Timestamp::from_micros(1_000_000 + i64::from(tick) * 10 * self.voter_clocks[of])
    }

    fn candidate_now(&self, tick: u8, of: usize) -> Timestamp {
        Timestamp::from_micros(2_000_000 + i64::from(tick) * 10 * self.candidate_clocks[of])
    }

    fn write_and_take_outgoing(&self, state: &mut SystemState, of: usize) -> Vec<(Destination, Message)> {
        if let Some((number, snapshot)) = state.voters[of].start_write() {
            state.disks[of] = snapshot;
            state.voters[of].write_finished(number, true);
        }
        state.voters[of].take_outgoing()
    }

    fn write_and_send(&self, state: &mut SystemState, of: usize) {
        let sends = self.write_and_take_outgoing(state, of);
        state.in_flight.extend(sends);
    }

    fn permit(&self, state: &SystemState, of: usize) -> Option<Permit> {
        state.candidates[of].permit(self.candidate_now(state.tick, of), lease_id(LEASE_NAME))
    }

    /// Treats responses to closed rounds as lost, since they change nothing but the known epoch.
    fn drop_stale_responses(state: &mut SystemState) {
        let SystemState { in_flight, candidates, .. } = state;
        in_flight.retain(|(to, message)| match (to, message) {
            (Destination::Candidate(id), Message::Response { round, .. }) => {
                candidates[id.0 as usize].open_round(lease_id(LEASE_NAME)) == Some(*round)
            }
            _ => true,
        });
    }

    /// Sends the messages of a candidate, each with the fate of its voter.
    fn send_messages(&self, state: &mut SystemState, of: usize, fates: [Fate; 3]) {
        state.candidates[of].events.clear();
        for (to, message) in std::mem::take(&mut state.candidates[of].outbox) {
            let Destination::Voter(voter) = to else { continue };
            let at = usize::from(voter.0);
            state.faults -= u8::from(fates[at] != Fate::Delivered);
            match fates[at] {
                Fate::Lost => {}
                Fate::Delayed => {
                    state.delayed.insert((to, message));
                }
                fate => {
                    let now = self.voter_now(state.tick, at);
                    state.voters[at].handle_message(now, &message);
                    for (to, answer) in self.write_and_take_outgoing(state, at) {
                        match fate {
                            Fate::Delivered => self.deliver(state, to, &answer),
                            Fate::ResponseDelayed => {
                                state.delayed.insert((to, answer));
                            }
                            _ => {}
                        }
                    }
                }
            }
        }
    }

    fn deliver(&self, state: &mut SystemState, to: Destination, message: &Message) {
        match to {
            Destination::Voter(voter) => {
                let of = usize::from(voter.0);
                let now = self.voter_now(state.tick, of);
                state.voters[of].handle_message(now, message);
                self.write_and_send(state, of);
            }
            Destination::Candidate(id) => {
                let of = id.0 as usize;
                let now = self.candidate_now(state.tick, of);
                state.candidates[of].handle_message(now, message, || 1.0);
                // Releases after a failed round arrive in time; Fate::Received of the response covers their
                // loss.
                self.send_messages(state, of, [Fate::Delivered; 3]);
            }
        }
    }
}

impl Model for Scenario {
    type State = SystemState;
    type Action = Step;

    fn init_states(&self) -> Vec<SystemState> {
        let config = self.config;
        // The voters are past their startup wait.
        let long_ago = |of: usize| self.voter_now(0, of) - TimeDelta::from_millis(1000);
        let snapshot = VoterSnapshot { is_complete: true, ..VoterSnapshot::default() };
        let voters = (0..3_u8).map(|of| {
            let me = arrowyard_leases::VoterId(of);
            let mut voter = Voter::start(long_ago(of.into()), config, me, Some(snapshot.clone()), 1);
            voter.tick(self.voter_now(0, of.into()));
            if let Some((number, _)) = voter.start_write() {
                voter.write_finished(number, true);
            }
            voter.take_outgoing();
            assert_eq!(*voter.stage(), Stage::Voting);
            voter
        });
        let voters: Vec<Voter> = voters.collect();
        let snapshot = VoterSnapshot { incarnation: 1, ..snapshot };
        let candidates = (0..2).map(|of| {
            let mut one = Candidate::new(config, CandidateId(of));
            one.request(self.candidate_now(0, of as usize), lease_id(LEASE_NAME), 0, 0.0);
            one
        });
        vec![SystemState {
            tick: 0,
            candidates: candidates.collect(),
            disks: vec![snapshot.clone(); 3],
            initial_disks: vec![snapshot; 3],
            voters,
            in_flight: BTreeSet::new(),
            delayed: BTreeSet::new(),
            faults: self.faults,
            crashes: vec![false; self.crashes.len()],
            duplicates: self.duplicates,
            pending_effects: BTreeSet::new(),
            fencing_guard: FencingGuard::default(),
            epoch_regressed: false,
            last_effect_epoch: None,
            latest_holder: None,
            epoch_reused: false,
        }]
    }

    fn actions(&self, state: &SystemState, steps: &mut Vec<Step>) {
        if state.tick < self.ticks {
            steps.push(Step::Tick);
        }
        for (of, one) in state.candidates.iter().enumerate() {
            if one.next_at().is_some_and(|at| at <= self.candidate_now(state.tick, of)) {
                steps.extend(fates(state.faults).into_iter().map(|fates| Step::RunCandidate(of, fates)));
            }
            let holds = self.permit(state, of);
            if self.releases && holds.is_some() {
                steps.extend(fates(state.faults).into_iter().map(|fates| Step::Release(of, fates)));
            }
            if let Some(permit) = holds.filter(|_| self.delayed_effects)
                && !state.pending_effects.contains(&(of, permit.epoch))
            {
                steps.push(Step::StartEffect(of));
            }
        }
        steps.extend(state.pending_effects.iter().map(|&(of, epoch)| Step::DeliverEffect(of, epoch)));
        for (to, message) in &state.in_flight {
            steps.push(Step::Deliver(*to, message.clone()));
        }
        for (to, message) in &state.delayed {
            steps.push(Step::Deliver(*to, message.clone()));
            if state.duplicates > 0 {
                steps.push(Step::Duplicate(*to, message.clone()));
            }
        }
        for (at, &(of, store)) in self.crashes.iter().enumerate() {
            if !state.crashes[at] && self.crash_at.is_none_or(|tick| tick == state.tick) {
                steps.push(Step::Crash(at, of, store));
            }
        }
    }

    fn next_state(&self, before: &SystemState, step: Step) -> Option<SystemState> {
        let mut state = before.clone();
        match step {
            Step::Tick => {
                state.tick += 1;
                state.in_flight.clear();
                for of in 0..3 {
                    state.voters[of].tick(self.voter_now(state.tick, of));
                    self.write_and_send(&mut state, of);
                }
            }
            Step::RunCandidate(of, fates) => {
                let now = self.candidate_now(state.tick, of);
                state.candidates[of].tick(now, || 1.0);
                self.send_messages(&mut state, of, fates);
            }
            Step::Deliver(to, message) => {
                let of = (to, message.clone());
                let _ = state.in_flight.remove(&of) || state.delayed.remove(&of);
                self.deliver(&mut state, to, &message);
            }
            Step::Duplicate(to, message) => {
                state.duplicates -= 1;
                self.deliver(&mut state, to, &message);
            }
            Step::Crash(at, of, store) => {
                state.crashes[at] = true;
                let snapshot = match store {
                    Store::Current => Some(state.disks[of].clone()),
                    Store::Lost => None,
                    Store::Older => Some(state.initial_disks[of].clone()),
                };
                let me = arrowyard_leases::VoterId(of as u8);
                state.voters[of] = Voter::start(self.voter_now(state.tick, of), self.config, me, snapshot, 2);
                self.write_and_send(&mut state, of);
            }
            Step::Release(of, fates) => {
                state.candidates[of].release(lease_id(LEASE_NAME));
                self.send_messages(&mut state, of, fates);
            }
            Step::StartEffect(of) => {
                let permit = self.permit(&state, of)?;
                state.pending_effects.insert((of, permit.epoch));
            }
            Step::DeliverEffect(of, epoch) => {
                state.pending_effects.remove(&(of, epoch));
                let accepted =
                    state.fencing_guard.admit(lease_id(LEASE_NAME), epoch, CandidateId(of as u64)).is_ok();
                if accepted || self.config.flaw == Some(Flaw::SkipFencingCheck) {
                    state.epoch_regressed |= state.last_effect_epoch.is_some_and(|newest| epoch < newest);
                    state.last_effect_epoch = Some(epoch);
                }
            }
        }
        Scenario::drop_stale_responses(&mut state);
        for of in 0..2 {
            let Some(permit) = self.permit(&state, of) else { continue };
            let reused = state.latest_holder.is_some_and(|(epoch, by)| by != of && permit.epoch <= epoch);
            state.epoch_reused |= reused;
            state.latest_holder = state.latest_holder.max(Some((permit.epoch, of)));
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "at most one candidate holds the lease",
                |scenario: &Scenario, state: &SystemState| {
                    (0..2).filter(|&of| scenario.permit(state, of).is_some()).count() < 2
                },
            ),
            Property::always(
                "effects are accepted in the order of their epochs",
                |_: &Scenario, state: &SystemState| !state.epoch_regressed,
            ),
            Property::always(
                "each holder has a higher epoch than all previous holders",
                |scenario: &Scenario, state: &SystemState| {
                    // An older store that no other voter reports is outside this guarantee; the fencing
                    // check remains.
                    !state.epoch_reused || scenario.crashes.iter().any(|(_, store)| *store == Store::Older)
                },
            ),
            // Ensures that the other properties do not hold vacuously.
            Property::sometimes(
                "every candidate can hold the lease",
                |scenario: &Scenario, state: &SystemState| scenario.permit(state, 1).is_some(),
            ),
        ]
    }
}

/// Returns the number of unique states and the violated properties.
fn check(scenario: Scenario) -> (usize, Vec<&'static str>) {
    let flawed = scenario.config.flaw.is_some();
    let builder = scenario.checker().threads(4);
    // A faulty variant need not be explored to the end.
    let builder = if flawed { builder.finish_when(HasDiscoveries::AnyFailures) } else { builder };
    let checker = builder.spawn_bfs().join();
    let found = checker.discoveries();
    const REACHABLE: &str = "every candidate can hold the lease";
    assert!(
        found.contains_key(REACHABLE) || flawed,
        "no scenario step lets the second candidate hold the lease"
    );
    let mut broken: Vec<&'static str> = found.into_keys().filter(|name| *name != REACHABLE).collect();
    broken.sort_unstable();
    (checker.unique_state_count(), broken)
}

/// The scenarios by name.
fn scenario(name: &str, flaw: Option<Flaw>) -> Scenario {
    let base = Scenario::with_flaw(flaw);
    match name {
        "lost and delayed messages" if is_long_run() => Scenario { faults: 3, ticks: 5, ..base },
        "lost and delayed messages" => Scenario { faults: 2, ticks: 4, ..base },
        "duplicated messages" => Scenario { faults: 3, ticks: 1, duplicates: 1, ..base },
        "released leases" => Scenario { faults: 1, ticks: 3, releases: true, ..base },
        "delayed effects" => Scenario { faults: 0, ticks: 5, delayed_effects: true, ..base },
        // All voters' clocks run 25 percent fast and one candidate's 25 percent slow, within the configured
        // bound.
        "drifting clocks" => Scenario {
            faults: 1,
            ticks: 5,
            voter_clocks: [125; 3],
            candidate_clocks: [75, 100],
            config: LeaseConfig { drift_ppm: 250_000, ..base.config },
            ..base
        },
        "voter restarts" => Scenario { faults: 1, ticks: 4, crashes: vec![(1, Store::Current)], ..base },
        "voter loses its store" => Scenario { faults: 1, ticks: 6, crashes: vec![(1, Store::Lost)], ..base },
        "voter restores an older store" => {
            Scenario { faults: 1, ticks: 5, crashes: vec![(1, Store::Older)], ..base }
        }
        other => panic!("unknown scenario {other}"),
    }
}

#[test]
fn leases_are_exclusive_and_epochs_increase_in_every_scenario() {
    let names = [
        "lost and delayed messages",
        "duplicated messages",
        "released leases",
        "delayed effects",
        "drifting clocks",
        "voter restarts",
        "voter loses its store",
        "voter restores an older store",
    ];
    for name in names {
        let began = std::time::Instant::now();
        let (states, broken) = check(scenario(name, None));
        println!("{name}: {states} states in {:?}", began.elapsed());
        assert!(broken.is_empty() && states > 200, "{name}: violated {broken:?} in {states} states");
    }
}

#[test]
fn every_faulty_variant_is_detected() {
    let cases = [
        (Flaw::CountFromReceipt, "lost and delayed messages"),
        (Flaw::MajorityOfResponses, "lost and delayed messages"),
        (Flaw::SkipExpiryCheck, "lost and delayed messages"),
        (Flaw::CountDuplicateGrants, "duplicated messages"),
        (Flaw::SkipFencingCheck, "delayed effects"),
        (Flaw::IgnoreDrift, "drifting clocks"),
        (Flaw::NoStartupWait, "voter restarts"),
        (Flaw::NoStartupWait, "voter loses its store"),
        (Flaw::NoRecovery, "voter loses its store"),
    ];
    for (flaw, name) in cases {
        let (states, broken) = check(scenario(name, Some(flaw)));
        println!("{flaw:?} in {name}: {broken:?}, {states} states");
        assert!(!broken.is_empty(), "{flaw:?} is not detected in {name}, {states} states");
    }
}
