//! Machines, the network between them, their disks; simulated time. Every machine runs a plane.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;

use arrowyard_runtime::{CloseReason, Command, Commands, Conn, Event, ListenerId, Plane, Signal};
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;
use rustc_hash::FxHashMap;

/// A machine, in the order in which they were added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(pub usize);

/// Peers notice so late that a machine is dark, or that a way is cut, if they have said something to it.
const DARK: TimeDelta = TimeDelta::from_millis(2500);

/// What is wrong with a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskFault {
    #[default]
    None,
    /// Every write is refused.
    Refuses,
    /// Nothing is answered.
    Hangs,
}

/// What a machine's disk holds: records that were synced.
#[derive(Debug, Default)]
pub struct Disk {
    pub records: Vec<Vec<u8>>,
    pub fault: DiskFault,
    /// Whether a record was refused in this life of the process: nothing counts any more before a snapshot is kept.
    failed: bool,
}

#[derive(Clone, Debug)]
enum Happening {
    Start,
    Accepted {
        conn: Conn,
        listener: ListenerId,
    },
    Opened {
        conn: Conn,
    },
    Came {
        conn: Conn,
        bytes: Vec<u8>,
    },
    Closed {
        conn: Conn,
        reason: CloseReason,
    },
    Woke,
    Stored {
        ticket: u64,
        record: Vec<u8>,
    },
    DiskFailed,
    DiskMended,
    Sign(Signal),
    /// A dial arrives where it was meant for.
    Dialled {
        from: MachineId,
        conn: Conn,
        to: SocketAddrV4,
    },
}

/// One end of a connection.
struct End {
    peer: Option<(MachineId, Conn)>,
    /// What was written arrives in order.
    arrives: Timestamp,
    /// Bytes that a cut holds up.
    held: Vec<u8>,
    written: bool,
}

struct Machine {
    name: String,
    doors: Vec<SocketAddrV4>,
    plane: Option<Box<dyn Plane>>,
    commands: Commands,
    incarnation: u64,
    frozen: bool,
    wakes_at: Option<Timestamp>,
    disk: Rc<RefCell<Disk>>,
    sync: TimeDelta,
    stopped: bool,
    /// Bytes and messages that it sent, and time that its plane took on the real clock.
    pub sent: u64,
    pub writes: u64,
    pub events: u64,
    pub busy: std::time::Duration,
    later: Vec<(Timestamp, Happening)>,
    /// Records that a disk which hangs has not answered.
    unanswered: Vec<(u64, Vec<u8>)>,
}

/// Machines and what is under way between them.
pub struct World {
    pub now: Timestamp,
    pub rng: Rng,
    queue: BTreeMap<(Timestamp, u64), (MachineId, u64, Happening)>,
    last: u64,
    machines: Vec<Machine>,
    ends: FxHashMap<(MachineId, Conn), End>,
    doors: FxHashMap<SocketAddrV4, (MachineId, ListenerId)>,
    cuts: BTreeSet<(MachineId, MachineId)>,
    /// Ways on which nothing arrives, from one machine to another.
    mutes: BTreeSet<(MachineId, MachineId)>,
    /// One way between two machines, in the least; a third more is drawn.
    pub latency: TimeDelta,
}

impl World {
    pub fn new(seed: u64) -> Self {
        World {
            now: Timestamp::from_micros(0),
            rng: Rng::with_seed(seed),
            queue: BTreeMap::new(),
            last: 0,
            machines: Vec::new(),
            ends: FxHashMap::default(),
            doors: FxHashMap::default(),
            cuts: BTreeSet::new(),
            mutes: BTreeSet::new(),
            latency: TimeDelta::from_micros(600),
        }
    }

    /// A machine that is off until it is started.
    pub fn add(
        &mut self,
        name: &str,
        doors: Vec<SocketAddrV4>,
        disk: Rc<RefCell<Disk>>,
        sync: TimeDelta,
    ) -> MachineId {
        let id = MachineId(self.machines.len());
        self.machines.push(Machine {
            name: name.to_string(),
            doors,
            plane: None,
            commands: Commands::default(),
            incarnation: 0,
            frozen: false,
            wakes_at: None,
            disk,
            sync,
            stopped: false,
            sent: 0,
            writes: 0,
            events: 0,
            busy: std::time::Duration::ZERO,
            later: Vec::new(),
            unanswered: Vec::new(),
        });
        id
    }

    pub fn name(&self, id: MachineId) -> &str {
        &self.machines[id.0].name
    }

    pub fn is_up(&self, id: MachineId) -> bool {
        self.machines[id.0].plane.is_some()
    }

    /// Whether its plane ordered its own end since it was started.
    pub fn has_stopped(&self, id: MachineId) -> bool {
        self.machines[id.0].stopped
    }

    /// Bytes sent, writes, events and real time of a machine's plane.
    pub fn cost(&self, id: MachineId) -> (u64, u64, u64, std::time::Duration) {
        let machine = &self.machines[id.0];
        (machine.sent, machine.writes, machine.events, machine.busy)
    }

    pub fn start(&mut self, id: MachineId, plane: Box<dyn Plane>) {
        let machine = &mut self.machines[id.0];
        machine.plane = Some(plane);
        machine.incarnation += 1;
        machine.unanswered.clear();
        machine.disk.borrow_mut().failed = false;
        (machine.wakes_at, machine.stopped, machine.frozen) = (None, false, false);
        for (number, address) in machine.doors.clone().into_iter().enumerate() {
            self.doors.insert(address, (id, ListenerId(number as u8)));
        }
        self.at(self.now, id, Happening::Start);
    }

    /// Its process is killed: peers are told at once. Its disk keeps what was synced.
    pub fn kill(&mut self, id: MachineId) {
        self.end(id, true);
    }

    /// It loses power: peers notice only when they get no answer.
    pub fn darken(&mut self, id: MachineId) {
        self.end(id, false);
    }

    fn end(&mut self, id: MachineId, tell: bool) {
        let machine = &mut self.machines[id.0];
        machine.plane = None;
        machine.incarnation += 1;
        machine.later.clear();
        self.doors.retain(|_, (machine, _)| *machine != id);
        let mut mine: Vec<Conn> =
            self.ends.keys().filter(|(machine, _)| *machine == id).map(|(_, conn)| *conn).collect();
        mine.sort_unstable();
        for conn in mine {
            let Some(end) = self.ends.remove(&(id, conn)) else { continue };
            let Some((peer, other)) = end.peer else { continue };
            let wait = if tell && !self.is_cut(id, peer) { self.latency } else { DARK };
            if let Some(far) = self.ends.get_mut(&(peer, other)) {
                far.peer = None;
                self.at(
                    self.now + wait,
                    peer,
                    Happening::Closed { conn: other, reason: CloseReason::ConnectionLost },
                );
            }
        }
    }

    /// It stands still, and goes on later as though nothing had been.
    pub fn freeze(&mut self, id: MachineId, frozen: bool) {
        self.machines[id.0].frozen = frozen;
        if !frozen {
            for (at, happening) in std::mem::take(&mut self.machines[id.0].later) {
                self.at(at.max(self.now), id, happening);
            }
        }
    }

    pub fn sign(&mut self, id: MachineId, sign: Signal) {
        self.at(self.now, id, Happening::Sign(sign));
    }

    fn is_cut(&self, a: MachineId, b: MachineId) -> bool {
        self.cuts.contains(&(a.min(b), a.max(b)))
    }

    pub fn cut(&mut self, a: MachineId, b: MachineId) {
        self.cuts.insert((a.min(b), a.max(b)));
    }

    /// The way between two machines is there again: what is not given up yet arrives.
    pub fn join(&mut self, a: MachineId, b: MachineId) {
        self.cuts.remove(&(a.min(b), a.max(b)));
        let mut held: Vec<(MachineId, Conn)> = Vec::new();
        for ((machine, conn), end) in &self.ends {
            let between = |peer: MachineId| (*machine == a && peer == b) || (*machine == b && peer == a);
            if !end.held.is_empty() && end.peer.is_some_and(|(peer, _)| between(peer)) {
                held.push((*machine, *conn));
            }
        }
        held.sort_unstable();
        for (machine, conn) in held {
            let bytes = self.ends.get_mut(&(machine, conn)).map(|end| std::mem::take(&mut end.held));
            bytes.into_iter().for_each(|bytes| self.write(machine, conn, bytes));
        }
    }

    /// Nothing that one machine sends to the other arrives; the other way is as before.
    pub fn mute(&mut self, from: MachineId, to: MachineId) {
        self.mutes.insert((from, to));
    }

    pub fn unmute(&mut self, from: MachineId, to: MachineId) {
        self.mutes.remove(&(from, to));
        self.join(from, to);
    }

    /// Something is wrong with a machine's disk from now on, or nothing any more.
    pub fn fail_disk(&mut self, id: MachineId, fault: DiskFault) {
        let machine = &mut self.machines[id.0];
        machine.disk.borrow_mut().fault = fault;
        let unanswered = std::mem::take(&mut machine.unanswered);
        for (ticket, record) in unanswered {
            self.at(self.now, id, Happening::Stored { ticket, record });
        }
        if fault == DiskFault::None {
            self.at(self.now, id, Happening::DiskMended);
        }
    }

    /// What becomes of a record, as the plane is told.
    fn store(&mut self, id: MachineId, ticket: u64, record: &[u8]) -> Option<Event<'static>> {
        let machine = &mut self.machines[id.0];
        let mut disk = machine.disk.borrow_mut();
        match disk.fault {
            DiskFault::Hangs => {
                machine.unanswered.push((ticket, record.to_vec()));
                return None;
            }
            DiskFault::Refuses if !disk.failed => {
                disk.failed = true;
                drop(disk);
                self.at(self.now, id, Happening::DiskFailed);
                return Some(Event::Stored { ticket, durable: false });
            }
            _ => {}
        }
        if !disk.failed {
            disk.records.push(record.to_vec());
        }
        Some(Event::Stored { ticket, durable: !disk.failed })
    }

    /// A disk that refused takes the plane's snapshot, in place of all records.
    fn mend_disk(&mut self, id: MachineId) -> bool {
        let machine = &mut self.machines[id.0];
        let mut disk = machine.disk.borrow_mut();
        let Some(plane) = machine.plane.as_ref().filter(|_| disk.failed) else { return false };
        disk.records = vec![plane.snapshot()];
        disk.failed = false;
        true
    }

    fn at(&mut self, at: Timestamp, id: MachineId, happening: Happening) {
        self.last += 1;
        let incarnation = self.machines[id.0].incarnation;
        self.queue.insert((at, self.last), (id, incarnation, happening));
    }

    fn way(&mut self) -> TimeDelta {
        self.latency + self.latency * (self.rng.f64() / 3.0)
    }

    /// Lets time pass.
    pub fn run(&mut self, until: Timestamp) {
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > until {
                break;
            }
            let (id, incarnation, happening) = entry.remove();
            self.now = at.max(self.now);
            let machine = &mut self.machines[id.0];
            if let Happening::Dialled { from, conn, to } = happening {
                self.dialled(from, conn, to);
            } else if incarnation != machine.incarnation || machine.plane.is_none() {
            } else if machine.frozen {
                machine.later.push((at, happening));
            } else {
                self.happen(id, happening);
            }
        }
        self.now = until.max(self.now);
    }

    fn dialled(&mut self, from: MachineId, conn: Conn, to: SocketAddrV4) {
        if !self.ends.contains_key(&(from, conn)) {
            return;
        }
        let Some(&(id, listener)) = self.doors.get(&to) else {
            // A dead port resets; a machine without power would stay silent, which the dialler's own clock ends.
            self.ends.remove(&(from, conn));
            let back = self.now + self.latency;
            return self.at(back, from, Happening::Closed { conn, reason: CloseReason::ConnectFailed });
        };
        let is_mute = self.mutes.contains(&(from, id)) || self.mutes.contains(&(id, from));
        if is_mute || self.is_cut(from, id) {
            return;
        }
        let other = self.machines[id.0].commands.new_conn();
        let arrives = self.now;
        self.ends
            .insert((id, other), End { peer: Some((from, conn)), arrives, held: Vec::new(), written: false });
        if let Some(end) = self.ends.get_mut(&(from, conn)) {
            end.peer = Some((id, other));
        }
        self.at(self.now, id, Happening::Accepted { conn: other, listener });
        let back = self.now + self.latency;
        self.at(back, from, Happening::Opened { conn });
    }

    fn happen(&mut self, id: MachineId, happening: Happening) {
        let event = match &happening {
            Happening::Start => Event::Start,
            Happening::Accepted { conn, listener } => Event::Accepted { conn: *conn, listener: *listener },
            Happening::Opened { conn } => Event::Connected { conn: *conn },
            Happening::Came { conn, bytes } if self.ends.contains_key(&(id, *conn)) => {
                Event::Received { conn: *conn, bytes }
            }
            Happening::Came { .. } => return,
            Happening::Closed { conn, reason } => {
                // It may have been closed here meanwhile; then its plane wants to hear no more of it.
                if self.ends.remove(&(id, *conn)).is_none() && *reason != CloseReason::ConnectFailed {
                    return;
                }
                Event::Closed { conn: *conn, reason: *reason }
            }
            Happening::Woke => {
                // Danger: an earlier time was asked for meanwhile. Were this one taken too, each would ask for the next,
                // and their number would only ever grow.
                if self.machines[id.0].wakes_at.is_none_or(|at| at > self.now) {
                    return;
                }
                self.machines[id.0].wakes_at = None;
                Event::TimerExpired
            }
            Happening::Stored { ticket, record } => match self.store(id, *ticket, record) {
                Some(event) => event,
                None => return,
            },
            Happening::DiskFailed => Event::DiskStatus { writable: false },
            Happening::DiskMended if self.mend_disk(id) => Event::DiskStatus { writable: true },
            Happening::DiskMended => return,
            Happening::Sign(sign) => Event::Signal(*sign),
            Happening::Dialled { .. } => return,
        };
        let now = self.now;
        let machine = &mut self.machines[id.0];
        let Some(plane) = machine.plane.as_mut() else { return };
        let began = std::time::Instant::now();
        plane.handle(now, event, &mut machine.commands);
        machine.busy += began.elapsed();
        machine.events += 1;
        let due = plane.due();
        self.carry_out(id);
        if let Some(due) = due
            && self.machines[id.0].plane.is_some()
            && self.machines[id.0].wakes_at.is_none_or(|at| due < at)
        {
            let at = due.max(now + TimeDelta::from_micros(50));
            self.machines[id.0].wakes_at = Some(at);
            self.at(at, id, Happening::Woke);
        }
    }

    fn carry_out(&mut self, id: MachineId) {
        let machine = &mut self.machines[id.0];
        let (list, bytes) =
            (std::mem::take(&mut machine.commands.list), std::mem::take(&mut machine.commands.bytes));
        let mut at = 0;
        for order in list {
            match order {
                Command::Dial { conn, to } => {
                    let end = End { peer: None, arrives: self.now, held: Vec::new(), written: false };
                    self.ends.insert((id, conn), end);
                    let way = self.way();
                    let there = self.now + way;
                    self.at(there, id, Happening::Dialled { from: id, conn, to });
                }
                Command::Write { conn, len } => {
                    let part = bytes[at..at + len].to_vec();
                    at += len;
                    self.machines[id.0].sent += len as u64;
                    self.machines[id.0].writes += 1;
                    self.write(id, conn, part);
                }
                Command::Close { conn } => self.close(id, conn, CloseReason::PeerClosed),
                Command::Reset { conn } => self.close(id, conn, CloseReason::ConnectionLost),
                Command::Store { ticket, record } => {
                    let done = self.now + self.machines[id.0].sync;
                    self.at(done, id, Happening::Stored { ticket, record });
                }
                Command::Stop => {
                    self.machines[id.0].stopped = true;
                    self.kill(id);
                    return;
                }
            }
        }
    }

    fn write(&mut self, id: MachineId, conn: Conn, bytes: Vec<u8>) {
        let way = self.way();
        let Some(end) = self.ends.get_mut(&(id, conn)) else { return };
        let Some((peer, other)) = end.peer else { return };
        if self.cuts.contains(&(id.min(peer), id.max(peer))) {
            let first = end.held.is_empty();
            end.held.extend(bytes);
            if first {
                let late = self.now + DARK;
                self.at(late, id, Happening::Closed { conn, reason: CloseReason::ConnectionLost });
                self.at(late, peer, Happening::Closed { conn: other, reason: CloseReason::ConnectionLost });
            }
            return;
        }
        if self.mutes.contains(&(id, peer)) {
            end.held.extend(bytes);
            return;
        }
        end.written = true;
        end.arrives = end.arrives.max(self.now + way);
        let arrives = end.arrives;
        self.at(arrives, peer, Happening::Came { conn: other, bytes });
    }

    fn close(&mut self, id: MachineId, conn: Conn, reason: CloseReason) {
        let Some(end) = self.ends.remove(&(id, conn)) else { return };
        let Some((peer, other)) = end.peer else { return };
        let way = self.way();
        let is_mute = self.mutes.contains(&(id, peer));
        let wait = if is_mute || self.is_cut(id, peer) { DARK } else { way };
        let at = end.arrives.max(self.now + wait);
        if let Some(far) = self.ends.get_mut(&(peer, other)) {
            far.peer = None;
        }
        self.at(at, peer, Happening::Closed { conn: other, reason });
    }
}
