//! Discrete-event simulation of machines, their disks and the network between them. Every machine runs a
//! plane.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;

use arrowyard_runtime::{CloseReason, Command, Commands, Conn, Event, ListenerId, Plane, Signal};
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;
use rustc_hash::FxHashMap;

/// Index of a machine, in the order of addition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(pub usize);

/// Time until a peer detects a power loss or a partition.
const FAILURE_DETECTION_DELAY: TimeDelta = TimeDelta::from_millis(2500);

/// Fault of a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskFault {
    /// The disk works.
    #[default]
    None,
    /// Every write fails.
    Refuses,
    /// Writes never complete.
    Hangs,
}

/// Synced records of a machine.
#[derive(Debug, Default)]
pub struct Disk {
    /// Synced records, in order.
    pub records: Vec<Vec<u8>>,
    pub fault: DiskFault,
    /// Whether a write has failed since the process started. Further records are not durable until a snapshot
    /// is stored.
    failed: bool,
}

/// An event in the queue of the simulation.
#[derive(Clone, Debug)]
enum SimEvent {
    Start,
    Accepted {
        conn: Conn,
        listener: ListenerId,
    },
    Connected {
        conn: Conn,
    },
    Received {
        conn: Conn,
        bytes: Vec<u8>,
    },
    Closed {
        conn: Conn,
        reason: CloseReason,
    },
    TimerExpired,
    Stored {
        ticket: u64,
        record: Vec<u8>,
    },
    DiskFailed,
    DiskRepaired,
    Signal(Signal),
    /// A connection attempt reaches the target address.
    DialArrived {
        from: MachineId,
        conn: Conn,
        to: SocketAddrV4,
    },
}

/// One end of a connection.
struct Endpoint {
    peer: Option<(MachineId, Conn)>,
    /// Earliest arrival of the next bytes, which keeps them in order.
    next_arrival: Timestamp,
    /// Bytes delayed by a partition.
    delayed_bytes: Vec<u8>,
    written: bool,
}

/// A machine and its plane; without a plane it is not running.
struct Machine {
    name: String,
    listen_addresses: Vec<SocketAddrV4>,
    plane: Option<Box<dyn Plane>>,
    commands: Commands,
    /// Incremented at each start and stop. Events of earlier incarnations are dropped.
    incarnation: u64,
    frozen: bool,
    /// Time of the scheduled timer.
    timer_at: Option<Timestamp>,
    disk: Rc<RefCell<Disk>>,
    sync_duration: TimeDelta,
    /// Whether the plane has stopped itself since its start.
    stopped: bool,
    /// Bytes and writes sent by the plane, events handled by it, and the real time that it took.
    pub bytes_sent: u64,
    pub write_count: u64,
    pub event_count: u64,
    pub plane_time: std::time::Duration,
    /// Events that arrived while the machine was frozen.
    suspended_events: Vec<(Timestamp, SimEvent)>,
    /// Records that a hanging disk has not completed.
    pending_stores: Vec<(u64, Vec<u8>)>,
}

/// Simulated machines and the events in flight.
pub struct Simulation {
    /// Current simulated time.
    pub now: Timestamp,
    pub rng: Rng,
    /// By time and sequence number: the machine, its incarnation and the event.
    event_queue: BTreeMap<(Timestamp, u64), (MachineId, u64, SimEvent)>,
    last_sequence: u64,
    machines: Vec<Machine>,
    endpoints: FxHashMap<(MachineId, Conn), Endpoint>,
    listeners: FxHashMap<SocketAddrV4, (MachineId, ListenerId)>,
    /// Pairs of machines that are partitioned from each other, with the lower id first.
    partitions: BTreeSet<(MachineId, MachineId)>,
    /// Blocked directions: from the first machine to the second one.
    blocked_directions: BTreeSet<(MachineId, MachineId)>,
    /// Minimum one-way latency between machines; up to a third is added at random.
    pub latency: TimeDelta,
}

impl Simulation {
    /// Creates an empty simulation; `seed` determines the latencies.
    pub fn new(seed: u64) -> Self {
        Simulation {
            now: Timestamp::from_micros(0),
            rng: Rng::with_seed(seed),
            event_queue: BTreeMap::new(),
            last_sequence: 0,
            machines: Vec::new(),
            endpoints: FxHashMap::default(),
            listeners: FxHashMap::default(),
            partitions: BTreeSet::new(),
            blocked_directions: BTreeSet::new(),
            latency: TimeDelta::from_micros(600),
        }
    }

    /// Adds a machine that is not running.
    pub fn add_machine(
        &mut self,
        name: &str,
        listen_addresses: Vec<SocketAddrV4>,
        disk: Rc<RefCell<Disk>>,
        sync_duration: TimeDelta,
    ) -> MachineId {
        let id = MachineId(self.machines.len());
        self.machines.push(Machine {
            name: name.to_string(),
            listen_addresses,
            plane: None,
            commands: Commands::default(),
            incarnation: 0,
            frozen: false,
            timer_at: None,
            disk,
            sync_duration,
            stopped: false,
            bytes_sent: 0,
            write_count: 0,
            event_count: 0,
            plane_time: std::time::Duration::ZERO,
            suspended_events: Vec::new(),
            pending_stores: Vec::new(),
        });
        id
    }

    /// Name of a machine.
    pub fn name(&self, id: MachineId) -> &str {
        &self.machines[id.0].name
    }

    /// Whether the plane of a machine is running.
    pub fn is_up(&self, id: MachineId) -> bool {
        self.machines[id.0].plane.is_some()
    }

    /// Whether the plane has stopped itself since its start.
    pub fn has_stopped(&self, id: MachineId) -> bool {
        self.machines[id.0].stopped
    }

    /// Bytes sent, writes, events and real time of the plane of a machine.
    pub fn resource_usage(&self, id: MachineId) -> (u64, u64, u64, std::time::Duration) {
        let machine = &self.machines[id.0];
        (machine.bytes_sent, machine.write_count, machine.event_count, machine.plane_time)
    }

    /// Starts a machine with a plane.
    pub fn start(&mut self, id: MachineId, plane: Box<dyn Plane>) {
        let machine = &mut self.machines[id.0];
        machine.plane = Some(plane);
        machine.incarnation += 1;
        machine.pending_stores.clear();
        machine.disk.borrow_mut().failed = false;
        (machine.timer_at, machine.stopped, machine.frozen) = (None, false, false);
        for (listener_index, address) in machine.listen_addresses.clone().into_iter().enumerate() {
            self.listeners.insert(address, (id, ListenerId(listener_index as u8)));
        }
        self.schedule(self.now, id, SimEvent::Start);
    }

    /// Kills the process of a machine: peers are notified at once, and the disk keeps synced records.
    pub fn kill(&mut self, id: MachineId) {
        self.terminate(id, true);
    }

    /// Cuts the power of a machine: peers detect it only by a timeout.
    pub fn power_off(&mut self, id: MachineId) {
        self.terminate(id, false);
    }

    /// Stops a machine and closes its connections.
    fn terminate(&mut self, id: MachineId, notify_peers: bool) {
        let machine = &mut self.machines[id.0];
        machine.plane = None;
        machine.incarnation += 1;
        machine.suspended_events.clear();
        self.listeners.retain(|_, (machine, _)| *machine != id);
        let mut connections: Vec<Conn> =
            self.endpoints.keys().filter(|(machine, _)| *machine == id).map(|(_, conn)| *conn).collect();
        connections.sort_unstable();
        for conn in connections {
            let Some(endpoint) = self.endpoints.remove(&(id, conn)) else { continue };
            let Some((peer, peer_conn)) = endpoint.peer else { continue };
            let delay = if notify_peers && !self.is_partitioned(id, peer) {
                self.latency
            } else {
                FAILURE_DETECTION_DELAY
            };
            if let Some(peer_endpoint) = self.endpoints.get_mut(&(peer, peer_conn)) {
                peer_endpoint.peer = None;
                self.schedule(
                    self.now + delay,
                    peer,
                    SimEvent::Closed { conn: peer_conn, reason: CloseReason::ConnectionLost },
                );
            }
        }
    }

    /// Suspends or resumes a machine. Events that arrive meanwhile are delivered on resume.
    pub fn set_frozen(&mut self, id: MachineId, frozen: bool) {
        self.machines[id.0].frozen = frozen;
        if !frozen {
            for (at, event) in std::mem::take(&mut self.machines[id.0].suspended_events) {
                self.schedule(at.max(self.now), id, event);
            }
        }
    }

    /// Delivers a process signal to a machine.
    pub fn signal(&mut self, id: MachineId, signal: Signal) {
        self.schedule(self.now, id, SimEvent::Signal(signal));
    }

    fn is_partitioned(&self, a: MachineId, b: MachineId) -> bool {
        self.partitions.contains(&(a.min(b), a.max(b)))
    }

    /// Partitions two machines from each other.
    pub fn partition(&mut self, a: MachineId, b: MachineId) {
        self.partitions.insert((a.min(b), a.max(b)));
    }

    /// Heals the partition between two machines. Delayed bytes of connections that are still open are
    /// delivered.
    pub fn heal(&mut self, a: MachineId, b: MachineId) {
        self.partitions.remove(&(a.min(b), a.max(b)));
        let mut delayed_endpoints: Vec<(MachineId, Conn)> = Vec::new();
        for ((machine, conn), endpoint) in &self.endpoints {
            let is_between = |peer: MachineId| (*machine == a && peer == b) || (*machine == b && peer == a);
            if !endpoint.delayed_bytes.is_empty() && endpoint.peer.is_some_and(|(peer, _)| is_between(peer)) {
                delayed_endpoints.push((*machine, *conn));
            }
        }
        delayed_endpoints.sort_unstable();
        for (machine, conn) in delayed_endpoints {
            let bytes = self
                .endpoints
                .get_mut(&(machine, conn))
                .map(|endpoint| std::mem::take(&mut endpoint.delayed_bytes));
            bytes.into_iter().for_each(|bytes| self.write(machine, conn, bytes));
        }
    }

    /// Blocks one direction between two machines.
    pub fn block(&mut self, from: MachineId, to: MachineId) {
        self.blocked_directions.insert((from, to));
    }

    /// Unblocks one direction and delivers its delayed bytes.
    pub fn unblock(&mut self, from: MachineId, to: MachineId) {
        self.blocked_directions.remove(&(from, to));
        self.heal(from, to);
    }

    /// Sets or clears the fault of a disk.
    pub fn set_disk_fault(&mut self, id: MachineId, fault: DiskFault) {
        let machine = &mut self.machines[id.0];
        machine.disk.borrow_mut().fault = fault;
        let pending_stores = std::mem::take(&mut machine.pending_stores);
        for (ticket, record) in pending_stores {
            self.schedule(self.now, id, SimEvent::Stored { ticket, record });
        }
        if fault == DiskFault::None {
            self.schedule(self.now, id, SimEvent::DiskRepaired);
        }
    }

    /// Stores a record and returns the event for the plane, if the disk completes the write.
    fn store_record(&mut self, id: MachineId, ticket: u64, record: &[u8]) -> Option<Event<'static>> {
        let machine = &mut self.machines[id.0];
        let mut disk = machine.disk.borrow_mut();
        match disk.fault {
            DiskFault::Hangs => {
                machine.pending_stores.push((ticket, record.to_vec()));
                return None;
            }
            DiskFault::Refuses if !disk.failed => {
                disk.failed = true;
                drop(disk);
                self.schedule(self.now, id, SimEvent::DiskFailed);
                return Some(Event::Stored { ticket, durable: false });
            }
            _ => {}
        }
        if !disk.failed {
            disk.records.push(record.to_vec());
        }
        Some(Event::Stored { ticket, durable: !disk.failed })
    }

    /// Replaces the records of a disk by a snapshot of the plane, if a write had failed.
    fn repair_disk(&mut self, id: MachineId) -> bool {
        let machine = &mut self.machines[id.0];
        let mut disk = machine.disk.borrow_mut();
        let Some(plane) = machine.plane.as_ref().filter(|_| disk.failed) else { return false };
        disk.records = vec![plane.snapshot()];
        disk.failed = false;
        true
    }

    /// Schedules an event for the current process of a machine.
    fn schedule(&mut self, at: Timestamp, id: MachineId, event: SimEvent) {
        self.last_sequence += 1;
        let incarnation = self.machines[id.0].incarnation;
        self.event_queue.insert((at, self.last_sequence), (id, incarnation, event));
    }

    /// Draws the one-way latency of a message.
    fn draw_latency(&mut self) -> TimeDelta {
        self.latency + self.latency * (self.rng.f64() / 3.0)
    }

    /// Advances the simulated time.
    pub fn run_until(&mut self, until: Timestamp) {
        while let Some(entry) = self.event_queue.first_entry() {
            let (at, _) = *entry.key();
            if at > until {
                break;
            }
            let (id, incarnation, event) = entry.remove();
            self.now = at.max(self.now);
            let machine = &mut self.machines[id.0];
            if let SimEvent::DialArrived { from, conn, to } = event {
                self.deliver_dial(from, conn, to);
            } else if incarnation != machine.incarnation || machine.plane.is_none() {
                // The process that the event belongs to has ended.
            } else if machine.frozen {
                machine.suspended_events.push((at, event));
            } else {
                self.deliver(id, event);
            }
        }
        self.now = until.max(self.now);
    }

    /// Delivers a connection attempt to the machine that listens at the address.
    fn deliver_dial(&mut self, from: MachineId, conn: Conn, to: SocketAddrV4) {
        if !self.endpoints.contains_key(&(from, conn)) {
            return;
        }
        let Some(&(id, listener)) = self.listeners.get(&to) else {
            // Nothing listens at the address, so the attempt is rejected.
            self.endpoints.remove(&(from, conn));
            let reply_at = self.now + self.latency;
            return self.schedule(
                reply_at,
                from,
                SimEvent::Closed { conn, reason: CloseReason::ConnectFailed },
            );
        };
        let is_blocked =
            self.blocked_directions.contains(&(from, id)) || self.blocked_directions.contains(&(id, from));
        if is_blocked || self.is_partitioned(from, id) {
            // The packets are lost, so the dialer receives no reply and times out.
            return;
        }
        let accepted_conn = self.machines[id.0].commands.new_conn();
        let next_arrival = self.now;
        self.endpoints.insert(
            (id, accepted_conn),
            Endpoint { peer: Some((from, conn)), next_arrival, delayed_bytes: Vec::new(), written: false },
        );
        if let Some(endpoint) = self.endpoints.get_mut(&(from, conn)) {
            endpoint.peer = Some((id, accepted_conn));
        }
        self.schedule(self.now, id, SimEvent::Accepted { conn: accepted_conn, listener });
        let reply_at = self.now + self.latency;
        self.schedule(reply_at, from, SimEvent::Connected { conn });
    }

    /// Delivers an event to the plane of a machine.
    fn deliver(&mut self, id: MachineId, event: SimEvent) {
        let plane_event = match &event {
            SimEvent::Start => Event::Start,
            SimEvent::Accepted { conn, listener } => Event::Accepted { conn: *conn, listener: *listener },
            SimEvent::Connected { conn } => Event::Connected { conn: *conn },
            SimEvent::Received { conn, bytes } if self.endpoints.contains_key(&(id, *conn)) => {
                Event::Received { conn: *conn, bytes }
            }
            SimEvent::Received { .. } => return,
            SimEvent::Closed { conn, reason } => {
                // The plane has already closed the connection and expects no more events of it.
                if self.endpoints.remove(&(id, *conn)).is_none() && *reason != CloseReason::ConnectFailed {
                    return;
                }
                Event::Closed { conn: *conn, reason: *reason }
            }
            SimEvent::TimerExpired => {
                // An earlier time was requested meanwhile. Handling this expired timer as well would
                // schedule another one each time, and the number of timers would grow without bound.
                if self.machines[id.0].timer_at.is_none_or(|at| at > self.now) {
                    return;
                }
                self.machines[id.0].timer_at = None;
                Event::TimerExpired
            }
            SimEvent::Stored { ticket, record } => match self.store_record(id, *ticket, record) {
                Some(plane_event) => plane_event,
                None => return,
            },
            SimEvent::DiskFailed => Event::DiskStatus { writable: false },
            SimEvent::DiskRepaired if self.repair_disk(id) => Event::DiskStatus { writable: true },
            SimEvent::DiskRepaired => return,
            SimEvent::Signal(signal) => Event::Signal(*signal),
            SimEvent::DialArrived { .. } => return,
        };
        let now = self.now;
        let machine = &mut self.machines[id.0];
        let Some(plane) = machine.plane.as_mut() else { return };
        let started = std::time::Instant::now();
        plane.handle(now, plane_event, &mut machine.commands);
        machine.plane_time += started.elapsed();
        machine.event_count += 1;
        let due = plane.due();
        self.execute_commands(id);
        if let Some(due) = due
            && self.machines[id.0].plane.is_some()
            && self.machines[id.0].timer_at.is_none_or(|at| due < at)
        {
            let at = due.max(now + TimeDelta::from_micros(50));
            self.machines[id.0].timer_at = Some(at);
            self.schedule(at, id, SimEvent::TimerExpired);
        }
    }

    /// Executes the commands that the plane has issued.
    fn execute_commands(&mut self, id: MachineId) {
        let machine = &mut self.machines[id.0];
        let (commands, written_bytes) =
            (std::mem::take(&mut machine.commands.list), std::mem::take(&mut machine.commands.bytes));
        let mut offset = 0;
        for command in commands {
            match command {
                Command::Dial { conn, to } => {
                    let endpoint = Endpoint {
                        peer: None,
                        next_arrival: self.now,
                        delayed_bytes: Vec::new(),
                        written: false,
                    };
                    self.endpoints.insert((id, conn), endpoint);
                    let latency = self.draw_latency();
                    let arrival = self.now + latency;
                    self.schedule(arrival, id, SimEvent::DialArrived { from: id, conn, to });
                }
                Command::Write { conn, len } => {
                    let chunk = written_bytes[offset..offset + len].to_vec();
                    offset += len;
                    self.machines[id.0].bytes_sent += len as u64;
                    self.machines[id.0].write_count += 1;
                    self.write(id, conn, chunk);
                }
                Command::Close { conn } => self.close(id, conn, CloseReason::PeerClosed),
                Command::Reset { conn } => self.close(id, conn, CloseReason::ConnectionLost),
                Command::Store { ticket, record } => {
                    let synced_at = self.now + self.machines[id.0].sync_duration;
                    self.schedule(synced_at, id, SimEvent::Stored { ticket, record });
                }
                Command::Stop => {
                    self.machines[id.0].stopped = true;
                    self.kill(id);
                    return;
                }
            }
        }
    }

    /// Sends bytes to the peer, or keeps them if a partition or a blocked direction delays them.
    fn write(&mut self, id: MachineId, conn: Conn, bytes: Vec<u8>) {
        let latency = self.draw_latency();
        let Some(endpoint) = self.endpoints.get_mut(&(id, conn)) else { return };
        let Some((peer, peer_conn)) = endpoint.peer else { return };
        if self.partitions.contains(&(id.min(peer), id.max(peer))) {
            let is_first_delayed = endpoint.delayed_bytes.is_empty();
            endpoint.delayed_bytes.extend(bytes);
            if is_first_delayed {
                let detected_at = self.now + FAILURE_DETECTION_DELAY;
                self.schedule(
                    detected_at,
                    id,
                    SimEvent::Closed { conn, reason: CloseReason::ConnectionLost },
                );
                self.schedule(
                    detected_at,
                    peer,
                    SimEvent::Closed { conn: peer_conn, reason: CloseReason::ConnectionLost },
                );
            }
            return;
        }
        if self.blocked_directions.contains(&(id, peer)) {
            endpoint.delayed_bytes.extend(bytes);
            return;
        }
        endpoint.written = true;
        endpoint.next_arrival = endpoint.next_arrival.max(self.now + latency);
        let next_arrival = endpoint.next_arrival;
        self.schedule(next_arrival, peer, SimEvent::Received { conn: peer_conn, bytes });
    }

    /// Closes a connection and notifies the peer.
    fn close(&mut self, id: MachineId, conn: Conn, reason: CloseReason) {
        let Some(endpoint) = self.endpoints.remove(&(id, conn)) else { return };
        let Some((peer, peer_conn)) = endpoint.peer else { return };
        let latency = self.draw_latency();
        let is_blocked = self.blocked_directions.contains(&(id, peer));
        let delay =
            if is_blocked || self.is_partitioned(id, peer) { FAILURE_DETECTION_DELAY } else { latency };
        let at = endpoint.next_arrival.max(self.now + delay);
        if let Some(peer_endpoint) = self.endpoints.get_mut(&(peer, peer_conn)) {
            peer_endpoint.peer = None;
        }
        self.schedule(at, peer, SimEvent::Closed { conn: peer_conn, reason });
    }
}
