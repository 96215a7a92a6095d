//! Simulates processes, the network between them and a fault plan, and records how each process sees the
//! others.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use arrowyard_testbed::plan::{Fault, Plan};
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;

use super::{Node, node_address, node_index};

/// The state of a member in the view of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    Alive,
    Silent,
    Dead,
    Left,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct SimulationStats {
    /// Time, observer, subject, and the subject's new state.
    pub state_changes: Vec<(Timestamp, usize, usize, MemberState)>,
    /// Time, observer and subject of each change to dead of a process that was running.
    pub false_deaths: Vec<(Timestamp, usize, usize)>,
    /// Numbers of datagrams and of their bytes that all nodes sent.
    pub datagrams: u64,
    pub bytes: u64,
    /// Real time spent in all nodes together.
    pub node_time: Duration,
    /// Size of the largest datagram in bytes.
    pub largest_datagram: usize,
}

enum Scheduled {
    Tick(usize),
    Datagram {
        to: usize,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    PortRefused {
        to: usize,
        address: SocketAddr,
    },
    /// The index of a fault in the plan, and whether it begins.
    PlanStep(usize, bool),
}

struct Process {
    /// `None` while the process does not run.
    node: Option<Box<dyn Node>>,
    paused: bool,
    /// Datagrams received while it is paused.
    receive_buffer: Vec<(SocketAddr, Vec<u8>)>,
    /// Whether its datagrams are dropped.
    mute: bool,
    started_at: Timestamp,
}

/// Creates a node from the time, its index and a seed.
type NodeFactory = Box<dyn FnMut(Timestamp, usize, u64) -> Box<dyn Node>>;

/// A simulation of the membership of one fleet.
pub struct MembershipSimulation {
    /// The simulated time.
    pub now: Timestamp,
    started_at: Timestamp,
    plan: Plan,
    rng: Rng,
    node_factory: NodeFactory,
    processes: Vec<Process>,
    schedule: BTreeMap<(Timestamp, u64), Scheduled>,
    /// Orders scheduled items of the same time.
    sequence: u64,
    /// By index of the plan's fault: the pairs of sender and receiver that it partitions.
    partitions: Vec<(usize, HashSet<(usize, usize)>)>,
    loss_rate: f64,
    duplicate_rate: f64,
    corruption_rate: f64,
    delay_ms: u64,
    pub stats: SimulationStats,
}

/// Datagrams that the socket buffer of a paused process holds.
const RECEIVE_BUFFER_DATAGRAMS: usize = 200;

impl MembershipSimulation {
    /// Starts all processes of the plan.
    pub fn new(plan: Plan, mut node_factory: NodeFactory) -> MembershipSimulation {
        let now = Timestamp::from_micros(1_000_000_000_000);
        let mut rng = Rng::with_seed(plan.seed);
        let processes = (0..plan.processes).map(|index| {
            let node = Some(node_factory(now, index, rng.u64(..)));
            Process { node, paused: false, receive_buffer: Vec::new(), mute: false, started_at: now }
        });
        let processes = processes.collect();
        let (loss_rate, duplicate_rate, corruption_rate, delay_ms) = (0.0, 0.0, 0.0, 0);
        let (schedule, sequence, partitions, stats) = Default::default();
        let mut simulation = MembershipSimulation {
            now,
            started_at: now,
            rng,
            node_factory,
            processes,
            schedule,
            sequence,
            partitions,
            loss_rate,
            duplicate_rate,
            corruption_rate,
            delay_ms,
            stats,
            plan,
        };
        for index in 0..simulation.plan.processes {
            simulation.schedule_tick(index);
        }
        for (at_ms, fault_index, begins) in simulation.plan.steps() {
            simulation.schedule(
                now + TimeDelta::from_millis(at_ms as i64),
                Scheduled::PlanStep(fault_index, begins),
            );
        }
        simulation
    }

    fn schedule(&mut self, at: Timestamp, scheduled: Scheduled) {
        self.sequence += 1;
        self.schedule.insert((at.max(self.now), self.sequence), scheduled);
    }

    fn schedule_tick(&mut self, index: usize) {
        if let Some(at) = self.processes[index].node.as_ref().map(|node| node.next_deadline()) {
            self.schedule(at, Scheduled::Tick(index));
        }
    }

    /// Runs the plan to its end.
    pub fn run(&mut self) -> &SimulationStats {
        self.run_until(TimeDelta::from_millis(self.plan.span_ms as i64));
        &self.stats
    }

    /// Runs until this time after the start of the simulation.
    pub fn run_until(&mut self, since_start: TimeDelta) {
        let end = self.started_at + since_start;
        while let Some(entry) = self.schedule.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), scheduled) = entry.remove_entry();
            self.now = at;
            match scheduled {
                Scheduled::Tick(index) => {
                    let is_due = |node: &dyn Node| node.next_deadline() <= at;
                    if !self.processes[index].paused
                        && self.processes[index].node.as_deref().is_some_and(is_due)
                    {
                        self.with_node(index, |node| node.tick(at));
                    }
                }
                Scheduled::Datagram { to, from, bytes } => self.deliver(to, from, bytes),
                Scheduled::PortRefused { to, address } => {
                    self.with_node(to, |node| node.port_refused(at, address))
                }
                Scheduled::PlanStep(fault_index, begins) => self.apply_step(fault_index, begins),
            }
        }
        self.now = end;
    }

    fn deliver(&mut self, to: usize, from: SocketAddr, bytes: Vec<u8>) {
        let now = self.now;
        let process = &mut self.processes[to];
        if process.paused {
            if process.receive_buffer.len() < RECEIVE_BUFFER_DATAGRAMS {
                process.receive_buffer.push((from, bytes));
            }
        } else {
            self.with_node(to, |node| node.receive(now, from, &bytes));
        }
    }

    /// Calls the node of a process, unless it is paused or not running, and processes its output.
    fn with_node(&mut self, index: usize, call: impl FnOnce(&mut dyn Node)) {
        let (mute, paused) = (self.processes[index].mute, self.processes[index].paused);
        let Some(node) = self.processes[index].node.as_deref_mut().filter(|_| !paused) else { return };
        let call_start = Instant::now();
        call(node);
        let output = node.take_output();
        self.stats.node_time += call_start.elapsed();
        for (subject, incarnation, state) in output.state_changes {
            if subject >= self.processes.len() {
                continue;
            }
            self.stats.state_changes.push((self.now, index, subject, state));
            // A report that an earlier incarnation is dead is correct.
            let is_earlier_incarnation = incarnation.is_some_and(|incarnation| {
                (incarnation as i64) < self.processes[subject].started_at.micros() / 1000
            });
            if state == MemberState::Dead && self.processes[subject].node.is_some() && !is_earlier_incarnation
            {
                self.stats.false_deaths.push((self.now, index, subject));
            }
        }
        for (to, bytes) in output.sends {
            if !mute {
                self.send(index, to, bytes);
            }
        }
        for address in output.port_checks {
            let subject = node_index(address);
            let is_refused = self.processes.get(subject).is_some_and(|process| process.node.is_none());
            let is_partitioned = self
                .partitions
                .iter()
                .any(|(_, pairs)| pairs.contains(&(index, subject)) || pairs.contains(&(subject, index)));
            if is_refused && !is_partitioned && self.rng.f64() >= self.loss_rate {
                self.schedule(
                    self.now + TimeDelta::from_micros(600),
                    Scheduled::PortRefused { to: index, address },
                );
            }
        }
        self.schedule_tick(index);
    }

    fn send(&mut self, from: usize, to: SocketAddr, mut bytes: Vec<u8>) {
        self.stats.datagrams += 1;
        self.stats.bytes += bytes.len() as u64;
        self.stats.largest_datagram = self.stats.largest_datagram.max(bytes.len());
        let to = node_index(to);
        let lost = self.partitions.iter().any(|(_, pairs)| pairs.contains(&(from, to)))
            || self.rng.f64() < self.loss_rate;
        if to >= self.processes.len() || lost {
            return;
        }
        if self.rng.f64() < self.corruption_rate && !bytes.is_empty() {
            let position = self.rng.usize(..bytes.len());
            bytes[position] ^= 1 << self.rng.u8(..8);
        }
        let copies = 1 + usize::from(self.rng.f64() < self.duplicate_rate);
        for _ in 0..copies {
            let base_delay_us = 200 + self.rng.i64(0..200);
            let fault_delay_us = self.delay_ms as i64 * 1000;
            let added_delay_us =
                if fault_delay_us > 0 { fault_delay_us + self.rng.i64(0..fault_delay_us) } else { 0 };
            let datagram = Scheduled::Datagram { to, from: node_address(from), bytes: bytes.clone() };
            self.schedule(self.now + TimeDelta::from_micros(base_delay_us + added_delay_us), datagram);
        }
    }

    fn start_process(&mut self, index: usize) {
        let seed = self.rng.u64(..);
        let node = (self.node_factory)(self.now, index, seed);
        self.processes[index] = Process {
            node: Some(node),
            paused: false,
            receive_buffer: Vec::new(),
            mute: false,
            started_at: self.now,
        };
        self.schedule_tick(index);
    }

    /// Begins or ends a fault of the plan.
    fn apply_step(&mut self, fault_index: usize, begins: bool) {
        let now = self.now;
        match (self.plan.faults[fault_index].fault.clone(), begins) {
            (Fault::Pause(processes), true) => {
                processes.into_iter().for_each(|index| self.processes[index].paused = true)
            }
            (Fault::Pause(processes), false) => {
                for index in processes {
                    self.processes[index].paused = false;
                    let received = std::mem::take(&mut self.processes[index].receive_buffer);
                    // After a pause, a real process may handle either its timer or its socket first.
                    if self.rng.bool() {
                        self.with_node(index, |node| node.tick(now));
                    }
                    for (from, bytes) in received {
                        self.with_node(index, |node| node.receive(now, from, &bytes));
                    }
                    self.schedule_tick(index);
                }
            }
            (
                Fault::Kill(processes) | Fault::LoseVotes(processes) | Fault::RestoreOldVotes(processes),
                true,
            ) => processes.into_iter().for_each(|index| self.processes[index].node = None),
            (Fault::Shutdown(processes) | Fault::SilentShutdown(processes), true) => {
                let is_silent = matches!(self.plan.faults[fault_index].fault, Fault::SilentShutdown(_));
                for index in processes {
                    self.processes[index].mute = is_silent;
                    self.with_node(index, |node| node.leave(now));
                    self.processes[index].node = None;
                }
            }
            (
                Fault::Kill(processes)
                | Fault::LoseVotes(processes)
                | Fault::RestoreOldVotes(processes)
                | Fault::Shutdown(processes)
                | Fault::SilentShutdown(processes),
                false,
            ) => {
                processes.into_iter().for_each(|index| self.start_process(index));
            }
            (Fault::OneWayPartition(senders, receivers), true) => {
                let pairs = senders
                    .iter()
                    .flat_map(|&sender| receivers.iter().map(move |&receiver| (sender, receiver)))
                    .collect();
                self.partitions.push((fault_index, pairs));
            }
            (Fault::Partition(left, right), true) => {
                let pairs =
                    left.iter().flat_map(|&a| right.iter().flat_map(move |&b| [(a, b), (b, a)])).collect();
                self.partitions.push((fault_index, pairs));
            }
            (Fault::OneWayPartition(..) | Fault::Partition(..), false) => {
                self.partitions.retain(|(cause, _)| *cause != fault_index)
            }
            (Fault::PacketLoss(rate), begins) => self.loss_rate = if begins { rate } else { 0.0 },
            (Fault::Duplication(rate), begins) => self.duplicate_rate = if begins { rate } else { 0.0 },
            (Fault::Corruption(rate), begins) => self.corruption_rate = if begins { rate } else { 0.0 },
            (Fault::Delay { ms }, begins) => self.delay_ms = if begins { ms } else { 0 },
        }
    }

    /// Whether each running process sees exactly the other running ones as alive.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        let running: Vec<&Process> = self.processes.iter().filter(|process| process.node.is_some()).collect();
        let count = running.len();
        running
            .iter()
            .all(|process| process.node.as_ref().is_some_and(|node| node.alive_count() + 1 == count))
    }

    /// Index of the running process that sees the fewest others as alive, with descriptions of those that it
    /// does not.
    #[must_use]
    pub fn least_complete_view(&self) -> (usize, Vec<String>) {
        let nodes = self
            .processes
            .iter()
            .enumerate()
            .filter_map(|(index, process)| Some((index, process.node.as_ref()?)));
        let least_complete = nodes.min_by_key(|(_, node)| node.alive_count());
        least_complete.map_or((0, Vec::new()), |(index, node)| (index, node.describe_not_alive(self.now)))
    }

    /// How many others each running process sees as alive.
    #[must_use]
    pub fn alive_counts(&self) -> Vec<Option<usize>> {
        self.processes.iter().map(|process| process.node.as_ref().map(|node| node.alive_count())).collect()
    }
}
