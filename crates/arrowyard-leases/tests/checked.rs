//! The shipped decisions, not a copy of them, under a model checker: three voters, two candidates, one lease; words that are
//! lost, doubled and late without bound; halts; voters that crash and keep, lose or get an older store. Explored to the end
//! within the bounds of each scene. Variants that are wrong on purpose have to be caught in the same scenes.

use std::collections::BTreeSet;

use arrowyard_leases::{
    Candidate, CandidateId, Destination, Epoch, FencingGuard, Flaw, LeaseConfig, Message, Permit, Stage,
    Voter, VoterSnapshot, lease_id,
};
use arrowyard_types::{TimeDelta, Timestamp};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// Which store a voter starts anew with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Store {
    Kept,
    Lost,
    Older,
}

#[derive(Clone, Debug)]
struct Scene {
    terms: LeaseConfig,
    /// How many ticks there are, how fast each clock runs (in hundredths), and which crashes there may be, each once.
    ticks: u8,
    voter_clocks: [i64; 3],
    candidate_clocks: [i64; 2],
    crashes: Vec<(usize, Store)>,
    /// At which tick they come; any if none is said.
    crash_at: Option<u8>,
    /// Words that may come a second time.
    doubles: u8,
    /// Words that are lost, or outlast the moment in which they were sent and come at any time later or never.
    faults: u8,
    /// Candidates that may give back.
    leaves: bool,
    /// Whether acts take effect late: begun, and taken some time later.
    late_acts: bool,
}

impl Scene {
    fn of(flaw: Option<Flaw>) -> Scene {
        let ms = TimeDelta::from_millis;
        let terms = LeaseConfig {
            term: ms(3),
            // A quarter: clocks that differ so much show in few ticks.
            drift_ppm: 0,
            renew_percent: 50,
            retry_interval: ms(2),
            max_attempts: 1,
            contention_window: ms(1),
            max_contention_window: ms(1),
            flaw,
            ..LeaseConfig::default()
        };
        Scene {
            terms,
            ticks: 5,
            voter_clocks: [100; 3],
            candidate_clocks: [100; 2],
            crashes: Vec::new(),
            crash_at: (!long()).then_some(1),
            doubles: 0,
            faults: 4,
            leaves: false,
            late_acts: false,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    tick: u8,
    voters: Vec<Voter>,
    disks: Vec<VoterSnapshot>,
    olds: Vec<VoterSnapshot>,
    candidates: Vec<Candidate>,
    net: BTreeSet<(Destination, Message)>,
    late: BTreeSet<(Destination, Message)>,
    faults: u8,
    crashes: Vec<bool>,
    doubles: u8,
    /// Acts that were begun and have not come to the taker, and what it has taken.
    acts: BTreeSet<(usize, Epoch)>,
    fencing_guard: FencingGuard,
    fell: bool,
    taken: Option<Epoch>,
    /// Who held last, under which epoch; and whether another began under that one, or an older one.
    newest: Option<(Epoch, usize)>,
    reused: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    /// A candidate comes round, and what it says has these fates; till then it is halted.
    Round(usize, [Fate; 3]),
    Deliver(Destination, Message),
    Double(Destination, Message),
    Crash(usize, usize, Store),
    Leave(usize, [Fate; 3]),
    Begin(usize),
    Effect(usize, Epoch),
}

/// What becomes of a word to a voter. Voters do not talk while they vote, so that only the order at each voter counts: one
/// that is late comes before or after any other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fate {
    Lost,
    /// It comes, and the answer is lost.
    Heard,
    Answered,
    /// The answer comes late.
    Slow,
    Late,
}

const FATES: [Fate; 5] = [Fate::Lost, Fate::Heard, Fate::Answered, Fate::Slow, Fate::Late];

/// All fates of three words with so many faults at most.
fn fates(faults: u8) -> Vec<[Fate; 3]> {
    let all =
        FATES.iter().flat_map(|&a| FATES.iter().flat_map(move |&b| FATES.iter().map(move |&c| [a, b, c])));
    let faulty = |fates: &[Fate; 3]| fates.iter().filter(|fate| **fate != Fate::Answered).count();
    all.filter(|fates| faulty(fates) <= usize::from(faults)).collect()
}

/// With ARROWYARD_LONG crashes come at any time, and more words are lost or late.
fn long() -> bool {
    std::env::var_os("ARROWYARD_LONG").is_some()
}

const NAME: &str = "task";

impl Scene {
    fn voter_now(&self, tick: u8, of: usize) -> Timestamp {
        Timestamp::from_micros(1_000_000 + i64::from(tick) * 10 * self.voter_clocks[of])
    }

    fn candidate_now(&self, tick: u8, of: usize) -> Timestamp {
        Timestamp::from_micros(2_000_000 + i64::from(tick) * 10 * self.candidate_clocks[of])
    }

    fn write_and_take_outgoing(&self, world: &mut World, of: usize) -> Vec<(Destination, Message)> {
        if let Some((number, image)) = world.voters[of].start_write() {
            world.disks[of] = image;
            world.voters[of].write_finished(number, true);
        }
        world.voters[of].take_outgoing()
    }

    fn keep(&self, world: &mut World, of: usize) {
        let sends = self.write_and_take_outgoing(world, of);
        world.net.extend(sends);
    }

    fn permit(&self, world: &World, of: usize) -> Option<Permit> {
        world.candidates[of].permit(self.candidate_now(world.tick, of), lease_id(NAME))
    }

    /// Answers to rounds that are closed change nothing but what a candidate knows of epochs: they count as lost.
    fn tidy(world: &mut World) {
        let World { net, candidates, .. } = world;
        net.retain(|(to, word)| match (to, word) {
            (Destination::Candidate(id), Message::Response { round, .. }) => {
                candidates[id.0 as usize].open_round(lease_id(NAME)) == Some(*round)
            }
            _ => true,
        });
    }

    /// A candidate's words go out, each with the fate of its voter.
    fn say(&self, world: &mut World, of: usize, fates: [Fate; 3]) {
        world.candidates[of].events.clear();
        for (to, word) in std::mem::take(&mut world.candidates[of].outbox) {
            let Destination::Voter(voter) = to else { continue };
            let at = usize::from(voter.0);
            world.faults -= u8::from(fates[at] != Fate::Answered);
            match fates[at] {
                Fate::Lost => {}
                Fate::Late => {
                    world.late.insert((to, word));
                }
                fate => {
                    let now = self.voter_now(world.tick, at);
                    world.voters[at].handle_message(now, &word);
                    for (to, answer) in self.write_and_take_outgoing(world, at) {
                        match fate {
                            Fate::Answered => self.deliver(world, to, &answer),
                            Fate::Slow => {
                                world.late.insert((to, answer));
                            }
                            _ => {}
                        }
                    }
                }
            }
        }
    }

    fn deliver(&self, world: &mut World, to: Destination, word: &Message) {
        match to {
            Destination::Voter(voter) => {
                let of = usize::from(voter.0);
                let now = self.voter_now(world.tick, of);
                world.voters[of].handle_message(now, word);
                self.keep(world, of);
            }
            Destination::Candidate(id) => {
                let of = id.0 as usize;
                let now = self.candidate_now(world.tick, of);
                world.candidates[of].handle_message(now, word, || 1.0);
                // What it gives back when no majority is left comes in time; that it is lost is Fate::Heard of the round's answer.
                self.say(world, of, [Fate::Answered; 3]);
            }
        }
    }
}

impl Model for Scene {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let term = self.terms;
        // Voters have stood for long: they vote from the start.
        let long_ago = |of: usize| self.voter_now(0, of) - TimeDelta::from_millis(1000);
        let image = VoterSnapshot { is_complete: true, ..VoterSnapshot::default() };
        let voters = (0..3_u8).map(|of| {
            let me = arrowyard_leases::VoterId(of);
            let mut voter = Voter::start(long_ago(of.into()), term, me, Some(image.clone()), 1);
            voter.tick(self.voter_now(0, of.into()));
            if let Some((number, _)) = voter.start_write() {
                voter.write_finished(number, true);
            }
            voter.take_outgoing();
            assert_eq!(*voter.stage(), Stage::Voting);
            voter
        });
        let voters: Vec<Voter> = voters.collect();
        let image = VoterSnapshot { incarnation: 1, ..image };
        let candidates = (0..2).map(|of| {
            let mut one = Candidate::new(term, CandidateId(of));
            one.request(self.candidate_now(0, of as usize), lease_id(NAME), 0, 0.0);
            one
        });
        vec![World {
            tick: 0,
            candidates: candidates.collect(),
            disks: vec![image.clone(); 3],
            olds: vec![image; 3],
            voters,
            net: BTreeSet::new(),
            late: BTreeSet::new(),
            faults: self.faults,
            crashes: vec![false; self.crashes.len()],
            doubles: self.doubles,
            acts: BTreeSet::new(),
            fencing_guard: FencingGuard::default(),
            fell: false,
            taken: None,
            newest: None,
            reused: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.tick < self.ticks {
            steps.push(Step::Tick);
        }
        for (of, one) in world.candidates.iter().enumerate() {
            if one.next_at().is_some_and(|at| at <= self.candidate_now(world.tick, of)) {
                steps.extend(fates(world.faults).into_iter().map(|fates| Step::Round(of, fates)));
            }
            let holds = self.permit(world, of);
            if self.leaves && holds.is_some() {
                steps.extend(fates(world.faults).into_iter().map(|fates| Step::Leave(of, fates)));
            }
            if let Some(permit) = holds.filter(|_| self.late_acts)
                && !world.acts.contains(&(of, permit.epoch))
            {
                steps.push(Step::Begin(of));
            }
        }
        steps.extend(world.acts.iter().map(|&(of, epoch)| Step::Effect(of, epoch)));
        for (to, word) in &world.net {
            steps.push(Step::Deliver(*to, word.clone()));
        }
        for (to, word) in &world.late {
            steps.push(Step::Deliver(*to, word.clone()));
            if world.doubles > 0 {
                steps.push(Step::Double(*to, word.clone()));
            }
        }
        for (at, &(of, store)) in self.crashes.iter().enumerate() {
            if !world.crashes[at] && self.crash_at.is_none_or(|tick| tick == world.tick) {
                steps.push(Step::Crash(at, of, store));
            }
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        match step {
            Step::Tick => {
                world.tick += 1;
                world.net.clear();
                for of in 0..3 {
                    world.voters[of].tick(self.voter_now(world.tick, of));
                    self.keep(&mut world, of);
                }
            }
            Step::Round(of, fates) => {
                let now = self.candidate_now(world.tick, of);
                world.candidates[of].tick(now, || 1.0);
                self.say(&mut world, of, fates);
            }
            Step::Deliver(to, word) => {
                let of = (to, word.clone());
                let _ = world.net.remove(&of) || world.late.remove(&of);
                self.deliver(&mut world, to, &word);
            }
            Step::Double(to, word) => {
                world.doubles -= 1;
                self.deliver(&mut world, to, &word);
            }
            Step::Crash(at, of, store) => {
                world.crashes[at] = true;
                let image = match store {
                    Store::Kept => Some(world.disks[of].clone()),
                    Store::Lost => None,
                    Store::Older => Some(world.olds[of].clone()),
                };
                let me = arrowyard_leases::VoterId(of as u8);
                world.voters[of] = Voter::start(self.voter_now(world.tick, of), self.terms, me, image, 2);
                self.keep(&mut world, of);
            }
            Step::Leave(of, fates) => {
                world.candidates[of].release(lease_id(NAME));
                self.say(&mut world, of, fates);
            }
            Step::Begin(of) => {
                let permit = self.permit(&world, of)?;
                world.acts.insert((of, permit.epoch));
            }
            Step::Effect(of, epoch) => {
                world.acts.remove(&(of, epoch));
                let taken = world.fencing_guard.admit(lease_id(NAME), epoch, CandidateId(of as u64)).is_ok();
                if taken || self.terms.flaw == Some(Flaw::SkipFencingCheck) {
                    world.fell |= world.taken.is_some_and(|newest| epoch < newest);
                    world.taken = Some(epoch);
                }
            }
        }
        Scene::tidy(&mut world);
        for of in 0..2 {
            let Some(permit) = self.permit(&world, of) else { continue };
            let old = world.newest.is_some_and(|(epoch, by)| by != of && permit.epoch <= epoch);
            world.reused |= old;
            world.newest = world.newest.max(Some((permit.epoch, of)));
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two hold at one time", |scene: &Scene, world: &World| {
                (0..2).filter(|&of| scene.permit(world, of).is_some()).count() < 2
            }),
            Property::always("effects never fall back to an older epoch", |_: &Scene, world: &World| {
                !world.fell
            }),
            Property::always(
                "each holder's epoch is newer than all before",
                |scene: &Scene, world: &World| {
                    // An older store that nobody tells of is beyond this promise: the taker's is what is left then.
                    !world.reused || scene.crashes.iter().any(|(_, store)| *store == Store::Older)
                },
            ),
            // So that the others are not kept because nothing ever happens.
            Property::sometimes("each of them holds", |scene: &Scene, world: &World| {
                scene.permit(world, 1).is_some()
            }),
        ]
    }
}

/// The count of states, and which properties were broken.
fn check(scene: Scene) -> (usize, Vec<&'static str>) {
    let flawed = scene.terms.flaw.is_some();
    let builder = scene.checker().threads(4);
    // One that is broken need not be explored to the end.
    let builder = if flawed { builder.finish_when(HasDiscoveries::AnyFailures) } else { builder };
    let checker = builder.spawn_bfs().join();
    let found = checker.discoveries();
    const LIVES: &str = "each of them holds";
    assert!(found.contains_key(LIVES) || flawed, "nothing happens");
    let mut broken: Vec<&'static str> = found.into_keys().filter(|name| *name != LIVES).collect();
    broken.sort_unstable();
    (checker.unique_state_count(), broken)
}

/// The scenes, each with the faults that it is about.
fn scene(name: &str, flaw: Option<Flaw>) -> Scene {
    let base = Scene::of(flaw);
    match name {
        "late and lost" if long() => Scene { faults: 3, ticks: 5, ..base },
        "late and lost" => Scene { faults: 2, ticks: 4, ..base },
        "doubled" => Scene { faults: 3, ticks: 1, doubles: 1, ..base },
        "given back" => Scene { faults: 1, ticks: 3, leaves: true, ..base },
        "late acts" => Scene { faults: 0, ticks: 5, late_acts: true, ..base },
        // All voters' clocks run a quarter too fast, one candidate's a quarter too slow, and the bound says so.
        "clocks apart" => Scene {
            faults: 1,
            ticks: 5,
            voter_clocks: [125; 3],
            candidate_clocks: [75, 100],
            terms: LeaseConfig { drift_ppm: 250_000, ..base.terms },
            ..base
        },
        "a voter starts anew" => Scene { faults: 1, ticks: 4, crashes: vec![(1, Store::Kept)], ..base },
        "a voter loses its store" => Scene { faults: 1, ticks: 6, crashes: vec![(1, Store::Lost)], ..base },
        "a voter gets an older store" => {
            Scene { faults: 1, ticks: 5, crashes: vec![(1, Store::Older)], ..base }
        }
        other => panic!("no scene {other}"),
    }
}

#[test]
fn no_two_hold_and_epochs_rise_in_every_scene() {
    let names = [
        "late and lost",
        "doubled",
        "given back",
        "late acts",
        "clocks apart",
        "a voter starts anew",
        "a voter loses its store",
        "a voter gets an older store",
    ];
    for name in names {
        let began = std::time::Instant::now();
        let (states, broken) = check(scene(name, None));
        println!("{name}: {states} states in {:?}", began.elapsed());
        assert!(broken.is_empty() && states > 200, "{name}: {broken:?} in {states} states");
    }
}

#[test]
fn each_variant_that_is_wrong_is_caught() {
    let cases = [
        (Flaw::CountFromReceipt, "late and lost"),
        (Flaw::MajorityOfResponses, "late and lost"),
        (Flaw::SkipExpiryCheck, "late and lost"),
        (Flaw::CountDuplicateGrants, "doubled"),
        (Flaw::SkipFencingCheck, "late acts"),
        (Flaw::IgnoreDrift, "clocks apart"),
        (Flaw::NoStartupWait, "a voter starts anew"),
        (Flaw::NoStartupWait, "a voter loses its store"),
        (Flaw::NoRecovery, "a voter loses its store"),
    ];
    for (flaw, name) in cases {
        let (states, broken) = check(scene(name, Some(flaw)));
        println!("{flaw:?} in {name}: {broken:?}, {states} states");
        assert!(!broken.is_empty(), "{flaw:?} is not caught in {name}, {states} states");
    }
}
