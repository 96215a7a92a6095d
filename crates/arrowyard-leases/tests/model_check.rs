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
    ticks: u8,
    /// The rate of each clock in percent.
    voter_clocks: [i64; 3],
    candidate_clocks: [i64; 2],
    /// The possible crashes, each at most once: the voter, and the store with which it restarts.
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
    /// The newest snapshot that each voter has stored, and its first one.
    disks: Vec<VoterSnapshot>,
    initial_disks: Vec<VoterSnapshot>,
    candidates: Vec<Candidate>,
    in_flight: BTreeSet<(Destination, Message)>,
    delayed: BTreeSet<(Destination, Message)>,
    /// The numbers of faults and of duplicates that may still happen.
    faults: u8,
    /// By the index of the scenario's crashes: whether it has happened.
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
    /// A candidate runs its timers, and its messages have these fates. Without this step it is paused.
    RunCandidate(usize, [Fate; 3]),
    Deliver(Destination, Message),
    Duplicate(Destination, Message),
    /// The index of the scenario's crash, the voter, and its store.
    Crash(usize, usize, Store),
    Release(usize, [Fate; 3]),
    StartEffect(usize),
    DeliverEffect(usize, Epoch),
}

/// The fate of a message to a voter. Voting voters do not communicate with each other, so only the order of
/// arrival at each voter matters; a delayed message arrives before or after any other one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fate {
    Lost,
    /// The message arrives, and its response is lost.
    ResponseLost,
    Delivered,
    /// The response is delayed.
    ResponseDelayed,
    Delayed,
}

const FATES: [Fate; 5] =
    [Fate::Lost, Fate::ResponseLost, Fate::Delivered, Fate::ResponseDelayed, Fate::Delayed];

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
    fn voter_now(&self, tick: u8, voter: usize) -> Timestamp {
        Timestamp::from_micros(1_000_000 + i64::from(tick) * 10 * self.voter_clocks[voter])
    }

    fn candidate_now(&self, tick: u8, candidate: usize) -> Timestamp {
        Timestamp::from_micros(2_000_000 + i64::from(tick) * 10 * self.candidate_clocks[candidate])
    }

    fn write_and_take_outgoing(&self, state: &mut SystemState, voter: usize) -> Vec<(Destination, Message)> {
        if let Some((number, snapshot)) = state.voters[voter].start_write() {
            state.disks[voter] = snapshot;
            state.voters[voter].write_finished(number, true);
        }
        state.voters[voter].take_outgoing()
    }

    fn write_and_send(&self, state: &mut SystemState, voter: usize) {
        let outgoing = self.write_and_take_outgoing(state, voter);
        state.in_flight.extend(outgoing);
    }

    fn permit(&self, state: &SystemState, candidate: usize) -> Option<Permit> {
        state.candidates[candidate].permit(self.candidate_now(state.tick, candidate), lease_id(LEASE_NAME))
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
    fn send_messages(&self, state: &mut SystemState, candidate: usize, fates: [Fate; 3]) {
        state.candidates[candidate].events.clear();
        for (to, message) in std::mem::take(&mut state.candidates[candidate].outbox) {
            let Destination::Voter(voter) = to else { continue };
            let voter_index = usize::from(voter.0);
            state.faults -= u8::from(fates[voter_index] != Fate::Delivered);
            match fates[voter_index] {
                Fate::Lost => {}
                Fate::Delayed => {
                    state.delayed.insert((to, message));
                }
                fate => {
                    let now = self.voter_now(state.tick, voter_index);
                    state.voters[voter_index].handle_message(now, &message);
                    for (to, response) in self.write_and_take_outgoing(state, voter_index) {
                        match fate {
                            Fate::Delivered => self.deliver(state, to, &response),
                            Fate::ResponseDelayed => {
                                state.delayed.insert((to, response));
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
                let index = usize::from(voter.0);
                let now = self.voter_now(state.tick, index);
                state.voters[index].handle_message(now, message);
                self.write_and_send(state, index);
            }
            Destination::Candidate(id) => {
                let index = id.0 as usize;
                let now = self.candidate_now(state.tick, index);
                state.candidates[index].handle_message(now, message, || 1.0);
                // Releases after a failed round arrive in time. A lost release is covered by the fate
                // in which the response is lost.
                self.send_messages(state, index, [Fate::Delivered; 3]);
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
        let started_at = |index: usize| self.voter_now(0, index) - TimeDelta::from_millis(1000);
        let snapshot = VoterSnapshot { is_complete: true, ..VoterSnapshot::default() };
        let voters = (0..3_u8).map(|index| {
            let id = arrowyard_leases::VoterId(index);
            let mut voter = Voter::start(started_at(index.into()), config, id, Some(snapshot.clone()), 1);
            voter.tick(self.voter_now(0, index.into()));
            if let Some((number, _)) = voter.start_write() {
                voter.write_finished(number, true);
            }
            voter.take_outgoing();
            assert_eq!(*voter.stage(), Stage::Voting);
            voter
        });
        let voters: Vec<Voter> = voters.collect();
        let snapshot = VoterSnapshot { incarnation: 1, ..snapshot };
        let candidates = (0..2).map(|index| {
            let mut candidate = Candidate::new(config, CandidateId(index));
            candidate.request(self.candidate_now(0, index as usize), lease_id(LEASE_NAME), 0, 0.0);
            candidate
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
        for (index, candidate) in state.candidates.iter().enumerate() {
            if candidate.next_at().is_some_and(|at| at <= self.candidate_now(state.tick, index)) {
                steps.extend(fates(state.faults).into_iter().map(|fates| Step::RunCandidate(index, fates)));
            }
            let permit = self.permit(state, index);
            if self.releases && permit.is_some() {
                steps.extend(fates(state.faults).into_iter().map(|fates| Step::Release(index, fates)));
            }
            if let Some(permit) = permit.filter(|_| self.delayed_effects)
                && !state.pending_effects.contains(&(index, permit.epoch))
            {
                steps.push(Step::StartEffect(index));
            }
        }
        steps.extend(state.pending_effects.iter().map(|&(index, epoch)| Step::DeliverEffect(index, epoch)));
        for (to, message) in &state.in_flight {
            steps.push(Step::Deliver(*to, message.clone()));
        }
        for (to, message) in &state.delayed {
            steps.push(Step::Deliver(*to, message.clone()));
            if state.duplicates > 0 {
                steps.push(Step::Duplicate(*to, message.clone()));
            }
        }
        for (crash, &(voter, store)) in self.crashes.iter().enumerate() {
            if !state.crashes[crash] && self.crash_at.is_none_or(|tick| tick == state.tick) {
                steps.push(Step::Crash(crash, voter, store));
            }
        }
    }

    fn next_state(&self, previous: &SystemState, step: Step) -> Option<SystemState> {
        let mut state = previous.clone();
        match step {
            Step::Tick => {
                state.tick += 1;
                state.in_flight.clear();
                for voter in 0..3 {
                    state.voters[voter].tick(self.voter_now(state.tick, voter));
                    self.write_and_send(&mut state, voter);
                }
            }
            Step::RunCandidate(candidate, fates) => {
                let now = self.candidate_now(state.tick, candidate);
                state.candidates[candidate].tick(now, || 1.0);
                self.send_messages(&mut state, candidate, fates);
            }
            Step::Deliver(to, message) => {
                let addressed = (to, message.clone());
                let _ = state.in_flight.remove(&addressed) || state.delayed.remove(&addressed);
                self.deliver(&mut state, to, &message);
            }
            Step::Duplicate(to, message) => {
                state.duplicates -= 1;
                self.deliver(&mut state, to, &message);
            }
            Step::Crash(crash, voter, store) => {
                state.crashes[crash] = true;
                let snapshot = match store {
                    Store::Current => Some(state.disks[voter].clone()),
                    Store::Lost => None,
                    Store::Older => Some(state.initial_disks[voter].clone()),
                };
                let id = arrowyard_leases::VoterId(voter as u8);
                state.voters[voter] =
                    Voter::start(self.voter_now(state.tick, voter), self.config, id, snapshot, 2);
                self.write_and_send(&mut state, voter);
            }
            Step::Release(candidate, fates) => {
                state.candidates[candidate].release(lease_id(LEASE_NAME));
                self.send_messages(&mut state, candidate, fates);
            }
            Step::StartEffect(candidate) => {
                let permit = self.permit(&state, candidate)?;
                state.pending_effects.insert((candidate, permit.epoch));
            }
            Step::DeliverEffect(candidate, epoch) => {
                state.pending_effects.remove(&(candidate, epoch));
                let accepted = state
                    .fencing_guard
                    .admit(lease_id(LEASE_NAME), epoch, CandidateId(candidate as u64))
                    .is_ok();
                if accepted || self.config.flaw == Some(Flaw::SkipFencingCheck) {
                    state.epoch_regressed |= state.last_effect_epoch.is_some_and(|newest| epoch < newest);
                    state.last_effect_epoch = Some(epoch);
                }
            }
        }
        Scenario::drop_stale_responses(&mut state);
        for candidate in 0..2 {
            let Some(permit) = self.permit(&state, candidate) else { continue };
            let reused = state
                .latest_holder
                .is_some_and(|(epoch, holder)| holder != candidate && permit.epoch <= epoch);
            state.epoch_reused |= reused;
            state.latest_holder = state.latest_holder.max(Some((permit.epoch, candidate)));
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "at most one candidate holds the lease",
                |scenario: &Scenario, state: &SystemState| {
                    (0..2).filter(|&candidate| scenario.permit(state, candidate).is_some()).count() < 2
                },
            ),
            Property::always(
                "effects are accepted in the order of their epochs",
                |_: &Scenario, state: &SystemState| !state.epoch_regressed,
            ),
            Property::always(
                "each holder has a higher epoch than all previous holders",
                |scenario: &Scenario, state: &SystemState| {
                    // An older store that no other voter detects is outside this guarantee; the fencing
                    // check still rejects effects.
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
    let has_flaw = scenario.config.flaw.is_some();
    let builder = scenario.checker().threads(4);
    // A faulty variant need not be explored to the end.
    let builder = if has_flaw { builder.finish_when(HasDiscoveries::AnyFailures) } else { builder };
    let checker = builder.spawn_bfs().join();
    let discoveries = checker.discoveries();
    const REACHABLE: &str = "every candidate can hold the lease";
    assert!(discoveries.contains_key(REACHABLE) || has_flaw, "the second candidate never holds the lease");
    let mut violated: Vec<&'static str> = discoveries.into_keys().filter(|name| *name != REACHABLE).collect();
    violated.sort_unstable();
    (checker.unique_state_count(), violated)
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
        let started_at = std::time::Instant::now();
        let (states, violated) = check(scenario(name, None));
        println!("{name}: {states} states in {:?}", started_at.elapsed());
        assert!(violated.is_empty() && states > 200, "{name}: violated {violated:?} in {states} states");
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
        let (states, violated) = check(scenario(name, Some(flaw)));
        println!("{flaw:?} in {name}: {violated:?}, {states} states");
        assert!(!violated.is_empty(), "{flaw:?} is not detected in {name}, {states} states");
    }
}
