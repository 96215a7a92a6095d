//! The processes, the network between them, and a plan that is played; what each held of each, and when.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use arrowyard_testbed::plan::{Fault, Plan};
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;

use super::{Node, address, number};

/// What one holds of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Said {
    Alive,
    Silent,
    Dead,
    Left,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Books {
    /// Who said what of whom, and when.
    pub said: Vec<(Timestamp, usize, usize, Said)>,
    /// Times at which a process that ran was held dead, by whom and of whom.
    pub wrong: Vec<(Timestamp, usize, usize)>,
    pub datagrams: u64,
    pub bytes: u64,
    /// Time on the machine that all nodes took together.
    pub thread: Duration,
    pub largest: usize,
}

enum Due {
    Tick(usize),
    Comes { to: usize, from: SocketAddr, bytes: Vec<u8> },
    Refused { to: usize, at: SocketAddr },
    Step(usize, bool),
}

struct Process {
    node: Option<Box<dyn Node>>,
    halted: bool,
    /// What came while it was halted.
    kept: Vec<(SocketAddr, Vec<u8>)>,
    mute: bool,
    started: Timestamp,
}

type Maker = Box<dyn FnMut(Timestamp, usize, u64) -> Box<dyn Node>>;

pub struct World {
    pub now: Timestamp,
    begin: Timestamp,
    plan: Plan,
    rng: Rng,
    maker: Maker,
    processes: Vec<Process>,
    due: BTreeMap<(Timestamp, u64), Due>,
    count: u64,
    cuts: Vec<(usize, HashSet<(usize, usize)>)>,
    loss: f64,
    double: f64,
    garble: f64,
    delay: u64,
    pub books: Books,
}

/// The system keeps so many datagrams for a process that does not read.
const KEPT: usize = 200;

impl World {
    pub fn new(plan: Plan, mut maker: Maker) -> World {
        let now = Timestamp::from_micros(1_000_000_000_000);
        let mut rng = Rng::with_seed(plan.seed);
        let processes = (0..plan.processes).map(|who| {
            let node = Some(maker(now, who, rng.u64(..)));
            Process { node, halted: false, kept: Vec::new(), mute: false, started: now }
        });
        let processes = processes.collect();
        let (loss, double, garble, delay) = (0.0, 0.0, 0.0, 0);
        let (due, count, cuts, books) = Default::default();
        let mut world = World {
            now,
            begin: now,
            rng,
            maker,
            processes,
            due,
            count,
            cuts,
            loss,
            double,
            garble,
            delay,
            books,
            plan,
        };
        for who in 0..world.plan.processes {
            world.wake(who);
        }
        for (at_ms, act, begins) in world.plan.steps() {
            world.at(now + TimeDelta::from_millis(at_ms as i64), Due::Step(act, begins));
        }
        world
    }

    fn at(&mut self, at: Timestamp, due: Due) {
        self.count += 1;
        self.due.insert((at.max(self.now), self.count), due);
    }

    fn wake(&mut self, who: usize) {
        if let Some(at) = self.processes[who].node.as_ref().map(|node| node.next_at()) {
            self.at(at, Due::Tick(who));
        }
    }

    /// Plays the plan to its end.
    pub fn play(&mut self) -> &Books {
        self.till(TimeDelta::from_millis(self.plan.span_ms as i64));
        &self.books
    }

    /// Plays on till so long after the begin.
    pub fn till(&mut self, span: TimeDelta) {
        let end = self.begin + span;
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), due) = entry.remove_entry();
            self.now = at;
            match due {
                Due::Tick(who) => {
                    let due = |node: &dyn Node| node.next_at() <= at;
                    if !self.processes[who].halted && self.processes[who].node.as_deref().is_some_and(due) {
                        self.act(who, |node| node.tick(at));
                    }
                }
                Due::Comes { to, from, bytes } => self.comes(to, from, bytes),
                Due::Refused { to, at: of } => self.act(to, |node| node.refused(at, of)),
                Due::Step(act, begins) => self.step(act, begins),
            }
        }
        self.now = end;
    }

    fn comes(&mut self, to: usize, from: SocketAddr, bytes: Vec<u8>) {
        let now = self.now;
        let process = &mut self.processes[to];
        if process.halted {
            if process.kept.len() < KEPT {
                process.kept.push((from, bytes));
            }
        } else {
            self.act(to, |node| node.heard(now, from, &bytes));
        }
    }

    fn act(&mut self, who: usize, act: impl FnOnce(&mut dyn Node)) {
        let (mute, halted) = (self.processes[who].mute, self.processes[who].halted);
        let Some(node) = self.processes[who].node.as_deref_mut().filter(|_| !halted) else { return };
        let began = Instant::now();
        act(node);
        let taken = node.take();
        self.books.thread += began.elapsed();
        for (of, life, said) in taken.said {
            if of >= self.processes.len() {
                continue;
            }
            self.books.said.push((self.now, who, of, said));
            // A word about a former life is right.
            let former = life.is_some_and(|life| (life as i64) < self.processes[of].started.micros() / 1000);
            if said == Said::Dead && self.processes[of].node.is_some() && !former {
                self.books.wrong.push((self.now, who, of));
            }
        }
        for (to, bytes) in taken.sends {
            if !mute {
                self.send(who, to, bytes);
            }
        }
        for at in taken.looks {
            let of = number(at);
            let refuses = self.processes.get(of).is_some_and(|process| process.node.is_none());
            let cut = self.cuts.iter().any(|(_, cut)| cut.contains(&(who, of)) || cut.contains(&(of, who)));
            if refuses && !cut && self.rng.f64() >= self.loss {
                self.at(self.now + TimeDelta::from_micros(600), Due::Refused { to: who, at });
            }
        }
        self.wake(who);
    }

    fn send(&mut self, from: usize, to: SocketAddr, mut bytes: Vec<u8>) {
        self.books.datagrams += 1;
        self.books.bytes += bytes.len() as u64;
        self.books.largest = self.books.largest.max(bytes.len());
        let to = number(to);
        let lost = self.cuts.iter().any(|(_, cut)| cut.contains(&(from, to))) || self.rng.f64() < self.loss;
        if to >= self.processes.len() || lost {
            return;
        }
        if self.rng.f64() < self.garble && !bytes.is_empty() {
            let at = self.rng.usize(..bytes.len());
            bytes[at] ^= 1 << self.rng.u8(..8);
        }
        let copies = 1 + usize::from(self.rng.f64() < self.double);
        for _ in 0..copies {
            let own = 200 + self.rng.i64(0..200);
            let delay = self.delay as i64 * 1000;
            let more = if delay > 0 { delay + self.rng.i64(0..delay) } else { 0 };
            let due = Due::Comes { to, from: address(from), bytes: bytes.clone() };
            self.at(self.now + TimeDelta::from_micros(own + more), due);
        }
    }

    fn start(&mut self, who: usize) {
        let seed = self.rng.u64(..);
        let node = (self.maker)(self.now, who, seed);
        self.processes[who] =
            Process { node: Some(node), halted: false, kept: Vec::new(), mute: false, started: self.now };
        self.wake(who);
    }

    fn step(&mut self, act: usize, begins: bool) {
        let now = self.now;
        match (self.plan.faults[act].fault.clone(), begins) {
            (Fault::Pause(who), true) => who.into_iter().for_each(|who| self.processes[who].halted = true),
            (Fault::Pause(who), false) => {
                for who in who {
                    self.processes[who].halted = false;
                    let kept = std::mem::take(&mut self.processes[who].kept);
                    // Which of the two comes first after a halt is up to the system.
                    if self.rng.bool() {
                        self.act(who, |node| node.tick(now));
                    }
                    for (from, bytes) in kept {
                        self.act(who, |node| node.heard(now, from, &bytes));
                    }
                    self.wake(who);
                }
            }
            (Fault::Kill(who) | Fault::LoseVotes(who) | Fault::RestoreOldVotes(who), true) => {
                who.into_iter().for_each(|who| self.processes[who].node = None)
            }
            (Fault::Shutdown(who) | Fault::SilentShutdown(who), true) => {
                let unheard = matches!(self.plan.faults[act].fault, Fault::SilentShutdown(_));
                for who in who {
                    self.processes[who].mute = unheard;
                    self.act(who, |node| node.leave(now));
                    self.processes[who].node = None;
                }
            }
            (
                Fault::Kill(who)
                | Fault::LoseVotes(who)
                | Fault::RestoreOldVotes(who)
                | Fault::Shutdown(who)
                | Fault::SilentShutdown(who),
                false,
            ) => {
                who.into_iter().for_each(|who| self.start(who));
            }
            (Fault::OneWayPartition(from, to), true) => {
                let pairs = from.iter().flat_map(|&one| to.iter().map(move |&two| (one, two))).collect();
                self.cuts.push((act, pairs));
            }
            (Fault::Partition(one, two), true) => {
                let both =
                    one.iter().flat_map(|&a| two.iter().flat_map(move |&b| [(a, b), (b, a)])).collect();
                self.cuts.push((act, both));
            }
            (Fault::OneWayPartition(..) | Fault::Partition(..), false) => {
                self.cuts.retain(|(of, _)| *of != act)
            }
            (Fault::PacketLoss(share), begins) => self.loss = if begins { share } else { 0.0 },
            (Fault::Duplication(share), begins) => self.double = if begins { share } else { 0.0 },
            (Fault::Corruption(share), begins) => self.garble = if begins { share } else { 0.0 },
            (Fault::Delay { ms }, begins) => self.delay = if begins { ms } else { 0 },
        }
    }

    /// Whether each that runs holds all others that run alive, and nobody else.
    #[must_use]
    pub fn agreed(&self) -> bool {
        let run: Vec<&Process> = self.processes.iter().filter(|process| process.node.is_some()).collect();
        let count = run.len();
        run.iter().all(|process| process.node.as_ref().is_some_and(|node| node.alive() + 1 == count))
    }

    /// What the one that holds the fewest alive holds of the others.
    #[must_use]
    pub fn fewest(&self) -> (usize, Vec<String>) {
        let nodes =
            self.processes.iter().enumerate().filter_map(|(who, one)| Some((who, one.node.as_ref()?)));
        let least = nodes.min_by_key(|(_, node)| node.alive());
        least.map_or((0, Vec::new()), |(who, node)| (who, node.others(self.now)))
    }

    /// Who holds how many alive, for reports.
    #[must_use]
    pub fn held(&self) -> Vec<Option<usize>> {
        self.processes.iter().map(|process| process.node.as_ref().map(|node| node.alive())).collect()
    }
}
