//! Membership against a model that shares no code with it. The model knows only which incarnations each
//! process has announced and whether it runs. Datagrams are reordered, lost, duplicated and delayed, and
//! processes stop, crash and restart.

use std::collections::HashMap;
use std::net::SocketAddr;

use arrowyard_peers::{Action, LocalMember, Membership, MembershipConfig, Standing};
use arrowyard_types::{TimeDelta, Timestamp};
use proptest::prelude::*;

const COUNT: usize = 4;

#[derive(Clone, Debug)]
enum Step {
    /// Lets this many milliseconds pass, in steps of 20, and delivers every datagram.
    Run(u16),
    /// The same; out of 16 datagrams these numbers are lost, duplicated, and delayed.
    RunWithFaults(u16, u8, u8, u8),
    /// Delivers the delayed datagrams.
    Release,
    Stop(usize),
    Resume(usize),
    Kill(usize),
    /// The clock is off by this many milliseconds.
    Start(usize, i16),
    Leave(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (20_u16..1500).prop_map(Step::Run),
        4 => (20_u16..1500, 0_u8..12, 0_u8..8, 0_u8..8).prop_map(|(ms, lost, duplicated, delayed)| Step::RunWithFaults(ms, lost, duplicated, delayed)),
        2 => Just(Step::Release),
        1 => (0..COUNT).prop_map(Step::Stop),
        1 => (0..COUNT).prop_map(Step::Resume),
        1 => (0..COUNT).prop_map(Step::Kill),
        2 => (0..COUNT, -5000_i16..5000).prop_map(|(process, clock_offset_ms)| Step::Start(process, clock_offset_ms)),
        1 => (0..COUNT).prop_map(Step::Leave),
    ]
}

fn at(process: usize) -> SocketAddr {
    ([127, 0, 0, 1], 7000 + process as u16).into()
}

/// What the model knows of a process.
#[derive(Default)]
struct ProcessModel {
    running: bool,
    stopped: bool,
    /// The highest incarnation of any of its starts.
    incarnation: u64,
}

struct World {
    now: Timestamp,
    members: Vec<Option<Membership>>,
    models: Vec<ProcessModel>,
    in_transit: Vec<(usize, SocketAddr, Vec<u8>)>,
    delayed: Vec<(usize, SocketAddr, Vec<u8>)>,
    rng: fastrand::Rng,
    starts: u64,
    /// The highest incarnation held, by the holder and the member.
    held: HashMap<(usize, usize), u64>,
}

impl World {
    fn new(seed: u64) -> World {
        let (in_transit, delayed, held) = Default::default();
        let mut world = World {
            now: Timestamp::from_micros(1_000_000_000_000),
            members: (0..COUNT).map(|_| None).collect(),
            models: (0..COUNT).map(|_| ProcessModel::default()).collect(),
            in_transit,
            delayed,
            rng: fastrand::Rng::with_seed(seed),
            starts: 0,
            held,
        };
        (0..COUNT).for_each(|process| world.start(process, 0));
        world
    }

    fn start(&mut self, process: usize, clock_offset_ms: i64) {
        if self.models[process].running {
            return;
        }
        self.starts += 1;
        let incarnation = (self.now.micros() / 1000 + clock_offset_ms) as u64;
        let local = LocalMember {
            name: format!("n{process}").into(),
            address: at(process),
            incarnation,
            nonce: self.starts * 1000,
        };
        let config = MembershipConfig {
            fleet: "m".to_string(),
            seeds: (0..COUNT).map(at).collect(),
            ..MembershipConfig::default()
        };
        self.members[process] = Some(Membership::new(self.now, config, local, COUNT as f64, self.starts));
        self.models[process] = ProcessModel {
            running: true,
            stopped: false,
            incarnation: self.models[process].incarnation.max(incarnation),
        };
        self.held.retain(|(holder, _), _| *holder != process);
    }

    fn run(&mut self, ms: u16, lost: u8, duplicated: u8, delayed: u8) -> Result<(), TestCaseError> {
        for _ in 0..ms / 20 {
            self.now = self.now + TimeDelta::from_millis(20);
            for process in 0..COUNT {
                if self.models[process].stopped {
                    continue;
                }
                let arrived: Vec<_> = self.in_transit.extract_if(.., |(to, ..)| *to == process).collect();
                if let Some(member) = &mut self.members[process] {
                    if member.next_deadline() <= self.now {
                        member.tick(self.now);
                    }
                    arrived.into_iter().for_each(|(_, from, bytes)| member.receive(self.now, from, &bytes));
                    for action in std::mem::take(&mut member.actions) {
                        match action {
                            Action::Send { to, bytes } => {
                                prop_assert!(bytes.len() <= 1200);
                                let to = usize::from(to.port() - 7000);
                                let chance = |rng: &mut fastrand::Rng, share: u8| rng.u8(..16) < share;
                                if chance(&mut self.rng, delayed) {
                                    self.delayed.push((to, at(process), bytes.clone()));
                                } else if !chance(&mut self.rng, lost) {
                                    self.in_transit.push((to, at(process), bytes.clone()));
                                }
                                if chance(&mut self.rng, duplicated) {
                                    self.in_transit.push((to, at(process), bytes));
                                }
                            }
                            Action::CheckPort { to, name, incarnation, .. } => {
                                let not_running = !self.models[usize::from(to.port() - 7000)].running;
                                if not_running {
                                    member.port_refused(&name, incarnation);
                                }
                            }
                        }
                    }
                }
                self.check(process)?;
            }
            let models = &self.models;
            self.in_transit.retain(|(to, ..)| models[*to].running);
        }
        Ok(())
    }

    fn check(&mut self, process: usize) -> Result<(), TestCaseError> {
        let Some(member) = &self.members[process] else { return Ok(()) };
        let incarnation = member.local().incarnation;
        prop_assert!(incarnation >= self.models[process].incarnation || self.models[process].running);
        self.models[process].incarnation = self.models[process].incarnation.max(incarnation);
        prop_assert!(
            member.tracked_entries() <= 3 * COUNT + 64,
            "tracked entries exceed the bound: {}",
            member.tracked_entries()
        );
        let view = member.view(self.now);
        prop_assert!(
            view.rows.iter().all(|row| *row.name != *view.name),
            "no router is a member of its own view"
        );
        for row in &view.rows {
            let of: usize = row.name[1..].parse().expect("only names of this test occur");
            prop_assert!(
                row.incarnation <= self.models[of].incarnation,
                "an incarnation that {of} never had: {}",
                row.incarnation
            );
            let previous = self.held.insert((process, of), row.incarnation).unwrap_or(0);
            prop_assert!(
                row.incarnation >= previous,
                "{process} went back to an earlier incarnation of {of}"
            );
            if row.standing == Standing::Dead && self.models[of].running {
                // The refused datagram belongs to an earlier incarnation, so that the one that runs is
                // higher.
                let running = self.members[of].as_ref().map_or(0, |member| member.local().incarnation);
                prop_assert!(
                    row.incarnation != running || self.starts > COUNT as u64,
                    "{of} is running and its port never refused a datagram"
                );
            }
        }
        Ok(())
    }
}

/// The cases are fixed; `MODEL_SEED` selects others, and `MODEL_CASES` their number.
fn config() -> ProptestConfig {
    let from_env = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: from_env("MODEL_CASES").unwrap_or(300),
        rng_seed: proptest::test_runner::RngSeed::Fixed(from_env("MODEL_SEED").unwrap_or(5).into()),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]
    #[test]
    fn incarnations_only_rise_and_views_converge_after_faults(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..40),
    ) {
        let mut world = World::new(seed);
        world.run(3000, 0, 0, 0)?;
        for step in steps {
            match step {
                Step::Run(ms) => world.run(ms, 0, 0, 0)?,
                Step::RunWithFaults(ms, lost, duplicated, delayed) => world.run(ms, lost, duplicated, delayed)?,
                Step::Release => {
                    let delayed = std::mem::take(&mut world.delayed);
                    world.in_transit.extend(delayed);
                }
                Step::Stop(process) => world.models[process].stopped = true,
                Step::Resume(process) => world.models[process].stopped = false,
                Step::Kill(process) => {
                    world.members[process] = None;
                    world.models[process].running = false;
                    world.models[process].stopped = false;
                    world.in_transit.retain(|(to, ..)| *to != process);
                }
                Step::Start(process, clock_offset_ms) => world.start(process, clock_offset_ms.into()),
                Step::Leave(process) => {
                    if let Some(member) = &mut world.members[process] {
                        member.leave(world.now);
                    }
                    world.run(20, 0, 0, 0)?;
                    world.members[process] = None;
                    world.models[process].running = false;
                }
            }
        }
        // Without further faults all running processes have to reach the same view within a bounded time.
        (0..COUNT).for_each(|process| world.models[process].stopped = false);
        world.delayed.clear();
        world.run(15_000, 0, 0, 0)?;
        let running = world.models.iter().filter(|model| model.running).count();
        for (process, member) in world.members.iter().enumerate() {
            if let Some(member) = member {
                prop_assert_eq!(member.alive_count() + 1, running, "the view of {} differs: {:?}", process, member.view(world.now));
            }
        }
    }
}
