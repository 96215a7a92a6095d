//! Model of the replicated ledger: three voters, two of which propose. Messages are reordered, delayed or
//! lost; timeouts occur at any time; disks are slow; a crash loses what was not synced, and one disk may be
//! lost. Each scenario is explored exhaustively, and each mutation must be detected.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, Hash, Hasher};

use arrowyard_control::{
    Output, ProposalId, ProposalOutcome, Record, RecordKind, ReplicatedLog, change_digest,
};
use arrowyard_messages::{ConfigRevision, Entry, EntryPayload, Frame, Payload, Voters};
use arrowyard_types::{TimeDelta, Timestamp};
use prost::Message;
use rustc_hash::FxBuildHasher;
use stateright::{Model, Property};

use super::{CheckResult, PROGRESS, explore};

/// A deliberate fault in the code under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Messages are sent before the records they depend on are synced.
    SendBeforeSync,
    /// A voter that lost its disk votes at once.
    WipedVoterCounts,
    /// Promises omit the entry accepted earlier.
    PromiseOmitsAccepted,
    /// Promises are missing from the records that a restart reads.
    PromisesNotPersisted,
    /// Reads are served from local state without a quorum.
    LocalRead,
}

/// Initial proposals and bounds of a scenario.
#[derive(Clone, Debug)]
struct ModelScenario {
    mutation: Option<Mutation>,
    machine_count: usize,
    /// Entries proposed initially, with the proposing machine.
    proposals: Vec<(usize, Entry)>,
    /// Entry proposed after a disk was lost, with the proposing machine.
    proposal_after_wipe: Option<(usize, Entry)>,
    /// Bounds on timeouts, on crashes, and on crashes that lose the disk.
    timeouts: u8,
    crashes: u8,
    wipes: u8,
    /// The only machine that may crash.
    crashing_machine: Option<usize>,
    /// Whether the disk of `crashing_machine` syncs late. All other disks sync at once.
    slow_disk: bool,
    /// The machine that issues a read.
    reader: Option<usize>,
}

/// A machine with its ledger and its disk.
#[derive(Clone, Debug, Hash)]
struct Machine {
    ledger: ReplicatedLog,
    /// Synced records, in order.
    disk: Vec<Vec<u8>>,
    /// Tickets and records written but not yet synced, in order.
    unsynced: Vec<(u64, Vec<u8>)>,
}

/// State of the model.
#[derive(Clone, Debug)]
struct ModelState {
    machines: Vec<Machine>,
    /// Messages in flight: index of the receiver, address of the sender, encoded frame.
    messages: BTreeSet<(usize, u32, Vec<u8>)>,
    /// Remaining timeouts, crashes, and crashes that lose the disk.
    timeouts: u8,
    crashes: u8,
    wipes: u8,
    /// Whether the proposal after the loss of a disk is still to come.
    proposal_after_wipe: bool,
    /// The read, and the highest slot acknowledged before it.
    pending_read: Option<(ProposalId, u64)>,
    read_completed: bool,
    /// Entry known to be chosen in each slot, and the snapshot of the state after it.
    chosen_entries: BTreeMap<u64, (Entry, Vec<u8>)>,
    acknowledged_slots: BTreeSet<u64>,
    rejected_entries: Vec<Entry>,
    /// Proposing machine, proposal and entry.
    proposals: Vec<(usize, ProposalId, Entry)>,
    violation: Option<&'static str>,
    /// Number of actions so far. One action advances time by more than any backoff or timeout of the
    /// ledger.
    clock: i64,
}

/// Excludes the clock: states that differ only in time are equal.
impl Hash for ModelState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (&self.machines, &self.messages, self.timeouts, self.crashes, self.wipes).hash(hasher);
        (self.proposal_after_wipe, self.pending_read, self.read_completed, self.violation).hash(hasher);
        (&self.chosen_entries, &self.acknowledged_slots, &self.rejected_entries, &self.proposals)
            .hash(hasher);
    }
}

impl PartialEq for ModelState {
    fn eq(&self, other: &ModelState) -> bool {
        let hash = |state: &ModelState| FxBuildHasher.hash_one(state);
        hash(self) == hash(other)
    }
}

#[derive(Clone, Debug, PartialEq)]
enum ModelAction {
    /// Delivers a message: index of the receiver, address of the sender, encoded frame.
    Deliver(usize, u32, Vec<u8>),
    /// Completes the oldest unsynced write of a machine.
    Sync(usize),
    /// A timeout of a machine expires.
    Timeout(usize),
    /// A machine crashes and restarts; the flag says whether its disk is lost.
    Crash(usize, bool),
    /// A machine issues the read.
    Read(usize),
    /// A machine proposes an entry after a disk was lost.
    ProposeAfterWipe,
    /// The first machine receives a heartbeat of the second one, which knows more entries or the voters.
    Heartbeat(usize, usize),
}

fn machine_ip(machine: usize) -> u32 {
    machine as u32 + 1
}

fn configuration_entry(revision: u64) -> Entry {
    let body = format!("{{\"revision\":{revision},\"services\":[{{\"name\":\"s\"}}]}}").into_bytes();
    Entry { payload: Some(EntryPayload::Configuration(ConfigRevision { whole: true, base: 0, body })) }
}

/// Whether the configuration change of an entry was applied.
fn is_applied(ledger: &ReplicatedLog, entry: &Entry) -> bool {
    let Some(EntryPayload::Configuration(change)) = &entry.payload else { return false };
    let revision = ledger.applied().configuration.revision;
    ledger.applied().applied_change(revision) == Some(change_digest(change))
}

impl ModelState {
    /// Advances the clock and returns the time of the next step.
    fn advance_clock(&mut self) -> Timestamp {
        self.clock += 1;
        Timestamp::from_micros(0) + TimeDelta::from_millis(10_000 * self.clock)
    }

    /// Runs a step of a ledger and executes its outputs.
    fn run_ledger(
        &mut self,
        scenario: &ModelScenario,
        machine: usize,
        step: impl FnOnce(&mut ReplicatedLog, Timestamp, &mut Vec<Output>),
    ) {
        let (now, mut outputs) = (self.advance_clock(), Vec::new());
        step(&mut self.machines[machine].ledger, now, &mut outputs);
        self.execute_outputs(scenario, machine, outputs);
        let sync_delayed = scenario.slow_disk && scenario.crashing_machine == Some(machine);
        if !sync_delayed && !self.machines[machine].unsynced.is_empty() {
            self.sync(scenario, machine);
        }
        self.check_entries(machine);
    }

    /// Proposes an entry on a machine.
    fn propose(&mut self, scenario: &ModelScenario, machine: usize, entry: Entry) {
        let proposal = self.machines[machine].ledger.next_proposal();
        self.proposals.push((machine, proposal, entry.clone()));
        let no_deadline = Timestamp::from_micros(i64::MAX / 2);
        self.run_ledger(scenario, machine, |ledger, now, outputs| {
            ledger.propose_entry(now, entry, no_deadline, outputs);
        });
    }

    /// Completes the oldest unsynced write of a machine.
    fn sync(&mut self, scenario: &ModelScenario, machine: usize) {
        let (ticket, record) = self.machines[machine].unsynced.remove(0);
        self.machines[machine].disk.push(record);
        self.run_ledger(scenario, machine, |ledger, now, outputs| {
            ledger.record_stored(now, ticket, true, outputs)
        });
    }

    /// Drops messages without effect, which reduces the number of states: replies to an earlier ballot, and
    /// messages for a slot that is already chosen.
    fn drop_stale_messages(&mut self) {
        let machines = &self.machines;
        self.messages.retain(|(to, _, bytes)| {
            let ledger = &machines[*to].ledger;
            match Frame::decode(bytes.as_slice()).expect("a frame that it encoded").payload {
                Some(Payload::Promise(message)) => ledger.is_current_ballot(message.slot, message.ballot),
                Some(Payload::Accepted(message)) => ledger.is_current_ballot(message.slot, message.ballot),
                Some(Payload::Prepare(message)) => message.slot > ledger.chosen(),
                Some(Payload::Accept(message)) => message.slot > ledger.chosen(),
                Some(Payload::Chosen(message)) => message.slot > ledger.chosen(),
                _ => true,
            }
        });
    }

    /// Executes the outputs of a ledger: sends messages and writes records.
    fn execute_outputs(&mut self, scenario: &ModelScenario, machine: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, payload: mut message } => {
                    if let (Some(Mutation::PromiseOmitsAccepted), Payload::Promise(promise)) =
                        (scenario.mutation, &mut message)
                    {
                        promise.accepted = None;
                    }
                    let others = (0..scenario.machine_count).filter(|&other| other != machine);
                    // Address 0 stands for all other machines.
                    let receivers: Vec<usize> =
                        if to == 0 { others.collect() } else { vec![to as usize - 1] };
                    if let Payload::Fetch(_) | Payload::LogEntries(_) = &message {
                        // A fetch and its reply are delivered at once, so that catch-up is a single action.
                        for receiver in receivers {
                            self.run_ledger(scenario, receiver, |ledger, now, outputs| {
                                ledger.on_message(now, machine_ip(machine), &message, outputs);
                            });
                        }
                        continue;
                    }
                    let bytes = Frame { payload: Some(message) }.encode_to_vec();
                    self.messages.extend(
                        receivers.into_iter().map(|receiver| (receiver, machine_ip(machine), bytes.clone())),
                    );
                }
                Output::Store { ticket, record } => {
                    self.machines[machine].unsynced.push((ticket, record));
                    if scenario.mutation == Some(Mutation::SendBeforeSync) {
                        self.run_ledger(scenario, machine, |ledger, now, outputs| {
                            ledger.record_stored(now, ticket, true, outputs)
                        });
                    }
                }
                Output::Chosen { .. } => {}
                Output::Resolved { proposal, outcome } => self.record_outcome(machine, proposal, outcome),
            }
        }
    }

    /// Checks and records the outcome of a proposal or of the read.
    fn record_outcome(&mut self, machine: usize, proposal: ProposalId, outcome: ProposalOutcome) {
        if outcome == ProposalOutcome::Current {
            let min_slot =
                self.pending_read.filter(|(id, _)| *id == proposal).map_or(0, |(_, min_slot)| min_slot);
            self.read_completed = true;
            if self.machines[machine].ledger.chosen() < min_slot {
                self.violation = Some("a read lacks what was acknowledged before it");
            }
        }
        let is_proposal =
            |(proposer, id, _): &&(usize, ProposalId, Entry)| (*proposer, *id) == (machine, proposal);
        let Some((_, _, entry)) = self.proposals.iter().find(is_proposal) else { return };
        match outcome {
            ProposalOutcome::Committed(slot) => {
                if self.machines[machine].ledger.entry(slot) != Some(entry) {
                    self.violation = Some("what was answered as entered is something else");
                }
                self.acknowledged_slots.insert(slot);
            }
            // A machine that learned the slot from a snapshot lacks the entry. Like control, it looks up the
            // applied changes before it treats the proposal as rejected.
            ProposalOutcome::Superseded if !is_applied(&self.machines[machine].ledger, entry) => {
                self.rejected_entries.push(entry.clone())
            }
            _ => {}
        }
    }

    /// Compares the entries and the state of a machine with those seen earlier on any machine.
    fn check_entries(&mut self, machine: usize) {
        let ledger = &self.machines[machine].ledger;
        for slot in 1..=ledger.chosen() {
            let Some(entry) = ledger.entry(slot) else { continue };
            let (known_entry, _) =
                self.chosen_entries.entry(slot).or_insert_with(|| (entry.clone(), Vec::new()));
            if known_entry != entry {
                self.violation = Some("two entries in one slot");
            }
            if self.rejected_entries.contains(entry) {
                self.violation = Some("what was refused is entered");
            }
        }
        let Some((_, known_snapshot)) = self.chosen_entries.get_mut(&ledger.chosen()) else { return };
        let snapshot = ledger.applied().snapshot().encode_to_vec();
        if !known_snapshot.is_empty() && *known_snapshot != snapshot {
            self.violation = Some("the same entries lead to two states");
        }
        *known_snapshot = snapshot;
    }

    /// Restarts a machine with the records on its disk.
    fn restart(&mut self, scenario: &ModelScenario, machine: usize, wiped: bool) {
        self.messages.retain(|(to, ..)| *to != machine);
        let restarted = &mut self.machines[machine];
        restarted.unsynced.clear();
        if wiped {
            restarted.disk.clear();
        }
        let drops_promises = scenario.mutation == Some(Mutation::PromisesNotPersisted);
        let is_retained = |record: &&Vec<u8>| {
            let kind = Record::decode(record.as_slice()).expect("a record that it wrote").kind;
            !(drops_promises && matches!(kind, Some(RecordKind::Promised(_))))
        };
        let disk: Vec<Vec<u8>> = restarted.disk.iter().filter(is_retained).cloned().collect();
        let initial_voters: Vec<u32> = (0..3).map(machine_ip).collect();
        let keeps_vote = wiped && scenario.mutation == Some(Mutation::WipedVoterCounts);
        let mut outputs = Vec::new();
        // Differs from the incarnations of all earlier starts.
        let incarnation = u64::from(self.crashes) + 100 * (machine as u64 + 1);
        let ledger = ReplicatedLog::open(
            machine_ip(machine),
            incarnation,
            &disk,
            keeps_vote.then_some(&initial_voters),
            &mut outputs,
        );
        self.machines[machine].ledger = ledger.expect("records that it wrote");
        self.execute_outputs(scenario, machine, outputs);
        self.check_entries(machine);
    }

    /// Whether all initial voters currently vote.
    fn all_vote(&self) -> bool {
        self.machines.iter().take(3).all(|machine| machine.ledger.votes())
    }
}

impl Model for ModelScenario {
    type State = ModelState;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<ModelState> {
        let mut state = ModelState {
            machines: Vec::new(),
            messages: BTreeSet::new(),
            timeouts: self.timeouts,
            crashes: self.crashes,
            wipes: self.wipes,
            proposal_after_wipe: self.proposal_after_wipe.is_some(),
            pending_read: None,
            read_completed: false,
            chosen_entries: BTreeMap::new(),
            acknowledged_slots: BTreeSet::new(),
            rejected_entries: Vec::new(),
            proposals: Vec::new(),
            violation: None,
            clock: 0,
        };
        let initial_voters: Vec<u32> = (0..3).map(machine_ip).collect();
        for machine in 0..self.machine_count {
            let mut outputs = Vec::new();
            let ledger = ReplicatedLog::open(
                machine_ip(machine),
                machine as u64 + 1,
                &[],
                Some(&initial_voters),
                &mut outputs,
            );
            let ledger = ledger.expect("an empty disk");
            // Each machine starts with the initial voters on its disk.
            let disk = outputs.into_iter().filter_map(|output| match output {
                Output::Store { record, .. } => Some(record),
                _ => None,
            });
            state.machines.push(Machine { ledger, disk: disk.collect(), unsynced: Vec::new() });
        }
        for (machine, entry) in self.proposals.clone() {
            state.propose(self, machine, entry);
        }
        vec![state]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<ModelAction>) {
        if state.violation.is_some() {
            return;
        }
        actions.extend(
            state.messages.iter().cloned().map(|(to, from, message)| ModelAction::Deliver(to, from, message)),
        );
        for (machine_index, machine) in state.machines.iter().enumerate() {
            if !machine.unsynced.is_empty() {
                actions.push(ModelAction::Sync(machine_index));
            }
            if state.timeouts > 0
                && machine.ledger.due().is_some_and(|at| at < Timestamp::from_micros(i64::MAX / 2))
            {
                actions.push(ModelAction::Timeout(machine_index));
            }
            if state.crashes > 0 && self.crashing_machine == Some(machine_index) {
                actions.push(ModelAction::Crash(machine_index, false));
                // At most one disk is lost, and only while all voters vote: more exceeds the tolerated
                // faults.
                if state.wipes > 0 && state.all_vote() {
                    actions.push(ModelAction::Crash(machine_index, true));
                }
            }
            if state.proposal_after_wipe && state.wipes == 0 && machine_index == 0 {
                actions.push(ModelAction::ProposeAfterWipe);
            }
            if self.reader == Some(machine_index) && state.pending_read.is_none() {
                actions.push(ModelAction::Read(machine_index));
            }
            let knows_more = |other: &Machine| {
                other.ledger.chosen() > machine.ledger.chosen()
                    || machine.ledger.voters().is_empty() && !other.ledger.voters().is_empty()
            };
            let peer_ahead = state.machines.iter().position(knows_more);
            actions.extend(peer_ahead.map(|other| ModelAction::Heartbeat(machine_index, other)));
        }
    }

    fn next_state(&self, previous: &ModelState, action: ModelAction) -> Option<ModelState> {
        let mut state = previous.clone();
        match action {
            ModelAction::Deliver(to, from, bytes) => {
                let message = Frame::decode(bytes.as_slice()).ok()?.payload?;
                state.messages.remove(&(to, from, bytes));
                state.run_ledger(self, to, |ledger, now, outputs| {
                    ledger.on_message(now, from, &message, outputs)
                });
            }
            ModelAction::Sync(machine) => state.sync(self, machine),
            ModelAction::Timeout(machine) => {
                state.timeouts -= 1;
                // The first timeout abandons the round, the second one starts the next round after its
                // backoff.
                state.run_ledger(self, machine, |ledger, now, outputs| ledger.on_timer(now, outputs));
                state.run_ledger(self, machine, |ledger, now, outputs| ledger.on_timer(now, outputs));
            }
            ModelAction::Crash(machine, wiped) => {
                state.crashes -= 1;
                state.wipes -= u8::from(wiped);
                state.restart(self, machine, wiped);
            }
            ModelAction::Read(machine) => {
                let min_slot = state.acknowledged_slots.last().copied().unwrap_or(0);
                let proposal = state.machines[machine].ledger.next_proposal();
                state.pending_read = Some((proposal, min_slot));
                if self.mutation == Some(Mutation::LocalRead) {
                    state.record_outcome(machine, proposal, ProposalOutcome::Current);
                } else {
                    let no_deadline = Timestamp::from_micros(i64::MAX / 2);
                    state.run_ledger(self, machine, |ledger, now, outputs| {
                        ledger.propose_read(now, no_deadline, outputs);
                    });
                }
            }
            ModelAction::ProposeAfterWipe => {
                state.proposal_after_wipe = false;
                let (machine, entry) = self.proposal_after_wipe.clone()?;
                state.propose(self, machine, entry);
            }
            ModelAction::Heartbeat(to, from) => {
                let peer_chosen = state.machines[from].ledger.chosen();
                state.run_ledger(self, to, |ledger, now, outputs| {
                    ledger.observe_peer_progress(now, machine_ip(from), peer_chosen, outputs)
                });
            }
        }
        state.drop_stale_messages();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("agreed", |_: &ModelScenario, state: &ModelState| state.violation.is_none()),
            // Fails if nothing is ever committed or read, in which case "agreed" would hold trivially.
            Property::sometimes(PROGRESS, |scenario: &ModelScenario, state: &ModelState| {
                let committed = !state.acknowledged_slots.is_empty() || scenario.proposals.is_empty();
                let wiped_voter_votes = scenario.wipes == 0 || state.wipes == 0 && state.all_vote();
                committed && wiped_voter_votes && (state.read_completed || scenario.reader.is_none())
            }),
        ]
    }
}

/// Whether the scenarios run in the large form, which takes about an hour.
fn is_long_run() -> bool {
    std::env::var_os("ARROWYARD_LONG").is_some()
}

/// Returns the scenario `name`.
fn scenario(name: &str, mutation: Option<Mutation>) -> Option<ModelScenario> {
    let proposals = vec![(0, configuration_entry(1)), (1, configuration_entry(2))];
    let base = ModelScenario {
        mutation,
        machine_count: 3,
        proposals,
        proposal_after_wipe: None,
        timeouts: 0,
        crashes: 0,
        wipes: 0,
        crashing_machine: None,
        slow_disk: false,
        reader: None,
    };
    let new_voters = Voters { voters: vec![1, 2, 3, 4], before: vec![1, 2, 3] };
    Some(match name {
        "two changes" => ModelScenario { timeouts: 1 + u8::from(is_long_run()), ..base },
        "a crash" => ModelScenario {
            timeouts: u8::from(is_long_run()),
            crashes: 1,
            crashing_machine: Some(2),
            slow_disk: true,
            ..base
        },
        "a proposer that crashes" => ModelScenario {
            proposals: vec![(0, configuration_entry(1))],
            proposal_after_wipe: Some((0, configuration_entry(2))),
            crashes: 1,
            crashing_machine: Some(0),
            slow_disk: true,
            ..base
        },
        "a proposer that loses its disk" => ModelScenario {
            proposals: vec![(0, configuration_entry(1))],
            proposal_after_wipe: Some((1, configuration_entry(2))),
            crashes: 1,
            wipes: 1,
            crashing_machine: Some(0),
            ..base
        },
        "a lost disk" => ModelScenario {
            proposals: vec![(0, configuration_entry(1))],
            proposal_after_wipe: Some((1, configuration_entry(2))),
            crashes: 1,
            wipes: 1,
            crashing_machine: Some(2),
            ..base
        },
        "a read" => ModelScenario {
            proposals: vec![(0, configuration_entry(1))],
            reader: Some(1),
            timeouts: u8::from(is_long_run()),
            ..base
        },
        "one more voter" => {
            let voters_entry = Entry { payload: Some(EntryPayload::Voters(new_voters)) };
            ModelScenario {
                machine_count: 4,
                proposals: vec![(0, voters_entry)],
                timeouts: u8::from(is_long_run()),
                ..base
            }
        }
        _ => return None,
    })
}

/// Names of the scenarios.
pub const SCENARIOS: [&str; 7] = [
    "two changes",
    "a crash",
    "a proposer that crashes",
    "a proposer that loses its disk",
    "a lost disk",
    "a read",
    "one more voter",
];

/// Explores the scenario `name` exhaustively, or with a mutation up to the first violation. Returns `None` if there is no such scenario.
pub fn check(name: &str, mutation: Option<Mutation>) -> Option<CheckResult> {
    Some(explore(scenario(name, mutation)?, mutation.is_some()))
}
