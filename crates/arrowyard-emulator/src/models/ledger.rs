//! The shipped ledger, not a copy of it, under a model checker: three voters, two that enter; words that come in any
//! order, late, or never; time-outs at any moment; disks that are slow, crashes that lose what was not on disk, one disk
//! lost. Explored to the end within the bounds of each scene. Variants that are wrong on purpose have to be caught.

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

use super::{Checked, LIVES, explored};

/// What is wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// What a voter says does not wait for its disk.
    WordsBeforeDisk,
    /// A voter whose disk was lost counts at once.
    WipedVotes,
    /// Nobody tells what it accepted before.
    VotesHidden,
    /// Promises are not on the disk that a start reads.
    PromisesForgotten,
    /// A read is answered from what is known here.
    ReadsAskNobody,
}

#[derive(Clone, Debug)]
struct Scene {
    flaw: Option<Flaw>,
    machines: usize,
    /// Who enters what at the start.
    proposals: Vec<(usize, Entry)>,
    /// What another one enters once a disk was lost.
    after: Option<(usize, Entry)>,
    /// Time-outs there may be, crashes, and disks that are lost in one.
    wakes: u8,
    crashes: u8,
    wipes: u8,
    /// Who may crash, and whether its disk is slow. The others' is there at once.
    weak: Option<usize>,
    slow: bool,
    /// Who reads, at any moment.
    reader: Option<usize>,
}

#[derive(Clone, Debug, Hash)]
struct Machine {
    ledger: ReplicatedLog,
    disk: Vec<Vec<u8>>,
    /// Written and not yet on disk, in order.
    unsynced: Vec<(u64, Vec<u8>)>,
}

#[derive(Clone, Debug)]
struct World {
    machines: Vec<Machine>,
    /// To whom, from whom, what.
    net: BTreeSet<(usize, u32, Vec<u8>)>,
    wakes: u8,
    crashes: u8,
    wipes: u8,
    after: bool,
    read: Option<(ProposalId, u64)>,
    has_read: bool,
    /// What was seen to be in each slot, and what all entries up to it lead to.
    chosen: BTreeMap<u64, (Entry, Vec<u8>)>,
    acknowledged: BTreeSet<u64>,
    moot: Vec<Entry>,
    proposals: Vec<(usize, ProposalId, Entry)>,
    broken: Option<&'static str>,
    /// Steps so far. Each is further from the last than any pause or time-out of the ledger.
    clock: i64,
}

/// Two worlds are the same that differ in time only.
impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (&self.machines, &self.net, self.wakes, self.crashes, self.wipes).hash(state);
        (self.after, self.read, self.has_read, self.broken).hash(state);
        (&self.chosen, &self.acknowledged, &self.moot, &self.proposals).hash(state);
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        let hash = |world: &World| FxBuildHasher.hash_one(world);
        hash(self) == hash(other)
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Deliver(usize, u32, Vec<u8>),
    Sync(usize),
    Wake(usize),
    Crash(usize, bool),
    Read(usize),
    After,
    /// One hears that another one has more entries, or who votes.
    Beat(usize, usize),
}

fn ip(machine: usize) -> u32 {
    machine as u32 + 1
}

fn change(revision: u64) -> Entry {
    let body = format!("{{\"revision\":{revision},\"services\":[{{\"name\":\"s\"}}]}}").into_bytes();
    Entry { payload: Some(EntryPayload::Configuration(ConfigRevision { whole: true, base: 0, body })) }
}

fn is_taken(ledger: &ReplicatedLog, entry: &Entry) -> bool {
    let Some(EntryPayload::Configuration(revised)) = &entry.payload else { return false };
    let revision = ledger.applied().configuration.revision;
    ledger.applied().applied_change(revision) == Some(change_digest(revised))
}

impl World {
    fn now(&mut self) -> Timestamp {
        self.clock += 1;
        Timestamp::from_micros(0) + TimeDelta::from_millis(10_000 * self.clock)
    }

    fn act(
        &mut self,
        scene: &Scene,
        machine: usize,
        act: impl FnOnce(&mut ReplicatedLog, Timestamp, &mut Vec<Output>),
    ) {
        let (now, mut out) = (self.now(), Vec::new());
        act(&mut self.machines[machine].ledger, now, &mut out);
        self.carry(scene, machine, out);
        let waits = scene.slow && scene.weak == Some(machine);
        if !waits && !self.machines[machine].unsynced.is_empty() {
            self.sync(scene, machine);
        }
        self.look(machine);
    }

    fn propose(&mut self, scene: &Scene, machine: usize, entry: Entry) {
        let ticket = self.machines[machine].ledger.next_proposal();
        self.proposals.push((machine, ticket, entry.clone()));
        let never = Timestamp::from_micros(i64::MAX / 2);
        self.act(scene, machine, |ledger, now, out| {
            ledger.propose_entry(now, entry, never, out);
        });
    }

    fn sync(&mut self, scene: &Scene, machine: usize) {
        let (ticket, record) = self.machines[machine].unsynced.remove(0);
        self.machines[machine].disk.push(record);
        self.act(scene, machine, |ledger, now, out| ledger.record_stored(now, ticket, true, out));
    }

    /// Words that change nothing any more are taken for lost: answers to a round that is over, and whatever belongs to
    /// a slot that is known.
    fn forget_stale_words(&mut self) {
        let machines = &self.machines;
        self.net.retain(|(to, _, bytes)| {
            let ledger = &machines[*to].ledger;
            match Frame::decode(bytes.as_slice()).expect("a word").payload {
                Some(Payload::Promise(word)) => ledger.is_current_ballot(word.slot, word.ballot),
                Some(Payload::Accepted(word)) => ledger.is_current_ballot(word.slot, word.ballot),
                Some(Payload::Prepare(word)) => word.slot > ledger.chosen(),
                Some(Payload::Accept(word)) => word.slot > ledger.chosen(),
                Some(Payload::Chosen(word)) => word.slot > ledger.chosen(),
                _ => true,
            }
        });
    }

    fn carry(&mut self, scene: &Scene, machine: usize, out: Vec<Output>) {
        for one in out {
            match one {
                Output::Send { to, payload: mut word } => {
                    if let (Some(Flaw::VotesHidden), Payload::Promise(promise)) = (scene.flaw, &mut word) {
                        promise.accepted = None;
                    }
                    let all = (0..scene.machines).filter(|&other| other != machine);
                    let to: Vec<usize> = if to == 0 { all.collect() } else { vec![to as usize - 1] };
                    if let Payload::Fetch(_) | Payload::LogEntries(_) = &word {
                        // Catching up is one step: `Beat`, or any other word that begins it, may be as late as it likes.
                        for other in to {
                            self.act(scene, other, |ledger, now, out| {
                                ledger.on_message(now, ip(machine), &word, out);
                            });
                        }
                        continue;
                    }
                    let bytes = Frame { payload: Some(word) }.encode_to_vec();
                    self.net.extend(to.into_iter().map(|to| (to, ip(machine), bytes.clone())));
                }
                Output::Store { ticket, record } => {
                    self.machines[machine].unsynced.push((ticket, record));
                    if scene.flaw == Some(Flaw::WordsBeforeDisk) {
                        self.act(scene, machine, |ledger, now, out| {
                            ledger.record_stored(now, ticket, true, out)
                        });
                    }
                }
                Output::Chosen { .. } => {}
                Output::Resolved { proposal, outcome } => self.answered(machine, proposal, outcome),
            }
        }
    }

    fn answered(&mut self, machine: usize, proposal: ProposalId, answer: ProposalOutcome) {
        if answer == ProposalOutcome::Current {
            let least = self.read.filter(|(ticket, _)| *ticket == proposal).map_or(0, |(_, least)| least);
            self.has_read = true;
            if self.machines[machine].ledger.chosen() < least {
                self.broken = Some("a read lacks what was acknowledged before it");
            }
        }
        let of = |(by, ticket, _): &&(usize, ProposalId, Entry)| (*by, *ticket) == (machine, proposal);
        let Some((_, _, entry)) = self.proposals.iter().find(of) else { return };
        match answer {
            ProposalOutcome::Committed(slot) => {
                if self.machines[machine].ledger.entry(slot) != Some(entry) {
                    self.broken = Some("what was answered as entered is something else");
                }
                self.acknowledged.insert(slot);
            }
            // As control answers it: whoever learned of the slots by a snapshot knows it by what was taken.
            ProposalOutcome::Superseded if !is_taken(&self.machines[machine].ledger, entry) => {
                self.moot.push(entry.clone())
            }
            _ => {}
        }
    }

    /// What this machine knows beside what was seen to be known before.
    fn look(&mut self, machine: usize) {
        let ledger = &self.machines[machine].ledger;
        for slot in 1..=ledger.chosen() {
            let Some(entry) = ledger.entry(slot) else { continue };
            let (known, _) = self.chosen.entry(slot).or_insert_with(|| (entry.clone(), Vec::new()));
            if known != entry {
                self.broken = Some("two entries in one slot");
            }
            if self.moot.contains(entry) {
                self.broken = Some("what was refused is entered");
            }
        }
        let Some((_, seen)) = self.chosen.get_mut(&ledger.chosen()) else { return };
        let whole = ledger.applied().snapshot().encode_to_vec();
        if !seen.is_empty() && *seen != whole {
            self.broken = Some("the same entries lead to two states");
        }
        *seen = whole;
    }

    fn restart(&mut self, scene: &Scene, machine: usize, wiped: bool) {
        self.net.retain(|(to, ..)| *to != machine);
        let one = &mut self.machines[machine];
        one.unsynced.clear();
        if wiped {
            one.disk.clear();
        }
        let forgets = scene.flaw == Some(Flaw::PromisesForgotten);
        let kept = |record: &&Vec<u8>| {
            let kept = Record::decode(record.as_slice()).expect("what it wrote").kind;
            !(forgets && matches!(kept, Some(RecordKind::Promised(_))))
        };
        let disk: Vec<Vec<u8>> = one.disk.iter().filter(kept).cloned().collect();
        let founders: Vec<u32> = (0..3).map(ip).collect();
        let votes = wiped && scene.flaw == Some(Flaw::WipedVotes);
        let mut out = Vec::new();
        let incarnation = u64::from(self.crashes) + 100 * (machine as u64 + 1);
        let ledger =
            ReplicatedLog::open(ip(machine), incarnation, &disk, votes.then_some(&founders), &mut out);
        self.machines[machine].ledger = ledger.expect("what it wrote itself");
        self.carry(scene, machine, out);
        self.look(machine);
    }

    fn all_vote(&self) -> bool {
        self.machines.iter().take(3).all(|machine| machine.ledger.votes())
    }
}

impl Model for Scene {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut world = World {
            machines: Vec::new(),
            net: BTreeSet::new(),
            wakes: self.wakes,
            crashes: self.crashes,
            wipes: self.wipes,
            after: self.after.is_some(),
            read: None,
            has_read: false,
            chosen: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            moot: Vec::new(),
            proposals: Vec::new(),
            broken: None,
            clock: 0,
        };
        let founders: Vec<u32> = (0..3).map(ip).collect();
        for machine in 0..self.machines {
            let mut out = Vec::new();
            let ledger = ReplicatedLog::open(ip(machine), machine as u64 + 1, &[], Some(&founders), &mut out);
            let ledger = ledger.expect("an empty disk");
            // The first configuration finds all machines with who votes on their disks.
            let disk = out.into_iter().filter_map(|one| match one {
                Output::Store { record, .. } => Some(record),
                _ => None,
            });
            world.machines.push(Machine { ledger, disk: disk.collect(), unsynced: Vec::new() });
        }
        for (machine, entry) in self.proposals.clone() {
            world.propose(self, machine, entry);
        }
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.broken.is_some() {
            return;
        }
        steps.extend(world.net.iter().cloned().map(|(to, from, word)| Step::Deliver(to, from, word)));
        for (machine, one) in world.machines.iter().enumerate() {
            if !one.unsynced.is_empty() {
                steps.push(Step::Sync(machine));
            }
            if world.wakes > 0 && one.ledger.due().is_some_and(|at| at < Timestamp::from_micros(i64::MAX / 2))
            {
                steps.push(Step::Wake(machine));
            }
            if world.crashes > 0 && self.weak == Some(machine) {
                steps.push(Step::Crash(machine, false));
                // Danger for the test, not the code: more is not borne than one disk, of one that voted with all others.
                if world.wipes > 0 && world.all_vote() {
                    steps.push(Step::Crash(machine, true));
                }
            }
            if world.after && world.wipes == 0 && machine == 0 {
                steps.push(Step::After);
            }
            if self.reader == Some(machine) && world.read.is_none() {
                steps.push(Step::Read(machine));
            }
            let behind = |other: &Machine| {
                other.ledger.chosen() > one.ledger.chosen()
                    || one.ledger.voters().is_empty() && !other.ledger.voters().is_empty()
            };
            let ahead = world.machines.iter().position(behind);
            steps.extend(ahead.map(|other| Step::Beat(machine, other)));
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Deliver(to, from, bytes) => {
                let word = Frame::decode(bytes.as_slice()).ok()?.payload?;
                world.net.remove(&(to, from, bytes));
                world.act(self, to, |ledger, now, out| ledger.on_message(now, from, &word, out));
            }
            Step::Sync(machine) => world.sync(self, machine),
            Step::Wake(machine) => {
                world.wakes -= 1;
                // A round that is given up, and after its pause the next one.
                world.act(self, machine, |ledger, now, out| ledger.on_timer(now, out));
                world.act(self, machine, |ledger, now, out| ledger.on_timer(now, out));
            }
            Step::Crash(machine, wiped) => {
                world.crashes -= 1;
                world.wipes -= u8::from(wiped);
                world.restart(self, machine, wiped);
            }
            Step::Read(machine) => {
                let least = world.acknowledged.last().copied().unwrap_or(0);
                let ticket = world.machines[machine].ledger.next_proposal();
                world.read = Some((ticket, least));
                if self.flaw == Some(Flaw::ReadsAskNobody) {
                    world.answered(machine, ticket, ProposalOutcome::Current);
                } else {
                    let never = Timestamp::from_micros(i64::MAX / 2);
                    world.act(self, machine, |ledger, now, out| {
                        ledger.propose_read(now, never, out);
                    });
                }
            }
            Step::After => {
                world.after = false;
                let (machine, entry) = self.after.clone()?;
                world.propose(self, machine, entry);
            }
            Step::Beat(to, of) => {
                let chosen = world.machines[of].ledger.chosen();
                world
                    .act(self, to, |ledger, now, out| ledger.observe_peer_progress(now, ip(of), chosen, out));
            }
        }
        world.forget_stale_words();
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("agreed", |_: &Scene, world: &World| world.broken.is_none()),
            // So that the other is not kept because nothing ever happens.
            Property::sometimes(LIVES, |scene: &Scene, world: &World| {
                let entered = !world.acknowledged.is_empty() || scene.proposals.is_empty();
                let wiped_votes = scene.wipes == 0 || world.wipes == 0 && world.all_vote();
                entered && wiped_votes && (world.has_read || scene.reader.is_none())
            }),
        ]
    }
}

/// Whether the scenes are played as large as they are for a long run, an hour or so.
fn long() -> bool {
    std::env::var_os("ARROWYARD_LONG").is_some()
}

fn scene(name: &str, flaw: Option<Flaw>) -> Option<Scene> {
    let proposals = vec![(0, change(1)), (1, change(2))];
    let base = Scene {
        flaw,
        machines: 3,
        proposals,
        after: None,
        wakes: 0,
        crashes: 0,
        wipes: 0,
        weak: None,
        slow: false,
        reader: None,
    };
    let seat = Voters { voters: vec![1, 2, 3, 4], before: vec![1, 2, 3] };
    Some(match name {
        "two changes" => Scene { wakes: 1 + u8::from(long()), ..base },
        "a crash" => Scene { wakes: u8::from(long()), crashes: 1, weak: Some(2), slow: true, ..base },
        "a proposer that crashes" => Scene {
            proposals: vec![(0, change(1))],
            after: Some((0, change(2))),
            crashes: 1,
            weak: Some(0),
            slow: true,
            ..base
        },
        "a proposer that loses its disk" => Scene {
            proposals: vec![(0, change(1))],
            after: Some((1, change(2))),
            crashes: 1,
            wipes: 1,
            weak: Some(0),
            ..base
        },
        "a lost disk" => Scene {
            proposals: vec![(0, change(1))],
            after: Some((1, change(2))),
            crashes: 1,
            wipes: 1,
            weak: Some(2),
            ..base
        },
        "a read" => {
            Scene { proposals: vec![(0, change(1))], reader: Some(1), wakes: u8::from(long()), ..base }
        }
        "one more voter" => {
            let seat = Entry { payload: Some(EntryPayload::Voters(seat)) };
            Scene { machines: 4, proposals: vec![(0, seat)], wakes: u8::from(long()), ..base }
        }
        _ => return None,
    })
}

pub const SCENES: [&str; 7] = [
    "two changes",
    "a crash",
    "a proposer that crashes",
    "a proposer that loses its disk",
    "a lost disk",
    "a read",
    "one more voter",
];

/// Explores a scene, with something wrong on purpose or with nothing; nothing where there is no such scene.
pub fn check(name: &str, flaw: Option<Flaw>) -> Option<Checked> {
    Some(explored(scene(name, flaw)?, flaw.is_some()))
}
