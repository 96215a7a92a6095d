//! Which host takes the next send of an op: who may, and of those the one that dynamic MPF names.

use arrowyard_types::*;

use crate::logic::{EASY, Hosts};
use crate::post::Post;
use crate::state::{Desk, Face, Group, Op};

/// The window's f: a replica is in the load window when its load times this is at most the least load.
const WINDOW: f64 = 0.1;
/// An op type whose latency target is this many times the least one reads long.
pub const LONG: f64 = 6.0;
/// A primary whose last answer came within this share of its latency target takes reads that no replica is known to
/// be fit for without a question: one that works at what it can do answers about half of its sends so.
const QUICK: f64 = EASY / 2.0;
/// Reads may fill the primary to this share of its limit.
pub const FOR_READS: f64 = 0.75;
/// What opening a connection weighs, beside a send of the least latency target.
const OPENING: f64 = 0.2;

impl Desk {
    /// The host for the next send of this op; none while it should wait.
    pub fn choose(&mut self, place: usize, post: &mut Post) -> Option<HostId> {
        // What is part of a transaction has one place to go, and its session holds a connection there already.
        if let Some(pinned) = self.ops[place].ask.pinned_host {
            return Some(pinned);
        }
        let id = self.ops[place].ask.group;
        let group = self.groups.get_mut(&id)?;
        if group.asked_at.is_none() {
            group.asked_at = Some(self.now);
            // Danger: routers that start at once ask each host who it is. A primary that the list names tells with
            // its first send: a write that misses leads on, and a read asks a replica of its own.
            let group = &self.groups[&id];
            if self.primary(group).is_none() && self.probe(&group.members, false, post) {
                return None;
            }
        }
        let among = self.candidates(place, post);
        (!among.is_empty()).then(|| self.lightest(&among, place))
    }

    /// Where an op may go now; nowhere: it waits.
    pub fn candidates(&self, place: usize, post: &mut Post) -> Hosts {
        let op = &self.ops[place];
        let (kind, group) = (self.op_type(op), &self.groups[&op.ask.group]);
        let primary = self.primary(group);
        let checks = self.charter.text("host_checks") != "none";
        let half = self.charter.number_or("max_sends", 1.0) * 0.5;
        let mut among = Hosts::new();
        let writes = matches!(kind.consistency, Consistency::Write | Consistency::Fresh);
        match primary {
            Some(_) => group.led_at.set(self.now),
            None => group.wanted.set(group.wanted.get() || writes),
        }
        let named = primary.is_some_and(|host| self.face(host).role.is_some());
        let fresh =
            group.asked_at.is_some_and(|at| self.now - at < self.charter.time_delta("connect_timeout"));
        if !named && fresh && group.members.iter().any(|&host| self.face(host).probing) {
            return among;
        }
        if writes {
            if primary.is_some() {
                among.extend(primary.filter(|&host| self.bears(host, 1.0) && self.has_room(op, host)));
            } else if (kind.consistency == Consistency::Write || checks) && (op.sends.len() as f64) < half {
                // None known: members in turn, the most advanced first; of known replicas that one alone,
                // which takes over if any does. Danger: a fresh read answered by one that checks no reads.
                let blank = |f: &Face| (f.role.is_none() || op.sends.len() == 0) && !f.probing && f.sound();
                let next = |h: &HostId| blank(self.face(*h)) && self.bears(*h, 1.0) && !op.sends.tried(*h);
                let turn = group.members.iter().copied().filter(next);
                among.extend(turn.max_by_key(|&host| self.face(host).position));
            }
            return among;
        }
        // A guest is there for its writes alone: reads of the group are not its to take.
        let own = |host: &HostId| Some(*host) != primary && !group.guests.contains(host);
        let open = |host: &HostId| own(host) && self.face(*host).open;
        let replicas: Hosts = group.members.iter().copied().filter(open).collect();
        // Danger: trouble that all share has every host judged ill. Harms when most replicas really are lost.
        let most = replicas.iter().filter(|&&host| self.face(host).sound()).count() * 2 < replicas.len();
        let sound = |host: &HostId| self.face(*host).sound() || most && !self.face(*host).quiet;
        let fit: Hosts = replicas.iter().copied().filter(|h| self.qualifies(op, *h) && sound(h)).collect();
        among =
            fit.iter().copied().filter(|&host| self.bears(host, 1.0) && self.has_room(op, host)).collect();
        if among.iter().any(|&host| !op.sends.tried(host)) {
            among.retain(|&mut host| !op.sends.tried(host));
        }
        if among.is_empty() {
            // Danger: a group whose hosts all fell silent is asked by nobody again, where only reads come.
            group.wanted.set(group.wanted.get() || primary.is_none() && !replicas.iter().any(sound));
            // Replicas are at their limit while the primary idles, or none qualifies: then, where hosts check
            // reads, the most advanced one has the first word.
            let able = replicas.iter().copied();
            let able = able.filter(|h| sound(h) && self.bears(*h, 1.0) && self.has_room(op, *h));
            let ahead = able.max_by_key(|&host| self.face(host).position);
            let ahead = ahead.filter(|_| checks && fit.is_empty() && op.sends.len() == 0);
            let primary_takes = |host: &HostId| self.bears(*host, FOR_READS) && self.has_room(op, *host);
            among.extend(ahead.or(primary.filter(primary_takes)));
            // Danger: a router with few ops knows no position that is still within the bound, and sends all
            // to the primary. So the replicas are asked in turn, and the read waits a moment for their word.
            // With a primary that answers quickly they are asked at most once, or not at all: the question costs as
            // much as the read spares it, and 300 routers' questions more. Its pace tells each router of all others.
            let pace = |most| primary.is_some_and(|host| self.takes_reads(host, most));
            let asked = |&host: &HostId| self.face(host).probed_at >= op.arrived && !self.face(host).probing;
            let spared = pace(QUICK) || pace(EASY) && replicas.iter().any(asked);
            if fit.is_empty() && !spared && self.ask(op, &replicas, post) {
                return Hosts::new();
            }
        } else if self.weight(kind) >= LONG {
            // Danger: long reads hold up the log where they run; spread out, they leave no replica fresh. So
            // they go where the copy is furthest behind. Harms when they alone need most of the replicas.
            let furthest = among.iter().map(|&host| self.face(host).behind).max().unwrap_or_default();
            among.retain(|&mut host| self.face(host).behind >= furthest);
        } else if fit.len() < replicas.len() && among.iter().all(|&host| self.face(host).unfinished > 0) {
            self.ask(op, &replicas, post);
        }
        among
    }

    /// Whether the primary's last answer took less than this share of its latency target, and it has room for reads.
    pub fn takes_reads(&self, primary: HostId, share: f64) -> bool {
        self.bears(primary, FOR_READS) && self.face(primary).pace.is_some_and(|pace| pace < share)
    }

    /// Rule 5: a position is a lower bound learnt some time ago; it need not have moved since.
    pub fn qualifies(&self, op: &Op, host: HostId) -> bool {
        let position = self.face(host).position;
        if op.floor.is_some_and(|floor| position < floor) {
            return false;
        }
        match self.op_type(op).consistency {
            Consistency::Any => true,
            Consistency::Bounded(bound) => position >= self.now - bound,
            Consistency::Session => true,
            Consistency::Fresh | Consistency::Write => false,
        }
    }

    /// The member that is known first-hand to be primary, by the newest word; else the one the list names.
    pub fn primary(&self, group: &Group) -> Option<HostId> {
        let standing = |host: &HostId| self.face(*host).open && !self.face(*host).quiet;
        let members = || group.members.iter().copied().filter(standing);
        let told = members().filter(|&host| self.face(host).role == Some(Role::Primary));
        let named = |host: &HostId| self.face(*host).role.is_none() && self.face(*host).listed_primary;
        told.max_by_key(|&host| self.face(host).role_at).or_else(|| members().find(named))
    }

    /// Dynamic MPF: the load window, then the session's host, then the lightest, ties at random.
    pub fn lightest(&mut self, hosts: &[HostId], place: usize) -> HostId {
        let load = |host: HostId| {
            let face = self.face(host);
            let opening = if self.connected(host) { 0.0 } else { OPENING };
            face.load / (face.size * face.warmth) + opening
        };
        let least = hosts.iter().map(|&host| load(host)).fold(f64::INFINITY, f64::min);
        let window: Hosts = hosts.iter().copied().filter(|&host| load(host) * WINDOW <= least).collect();
        let op = &self.ops[place];
        if window.len() > 1 && op.ask.session.is_some() {
            let others = || self.ops.iter().filter(|(_, o)| o.ask.session == op.ask.session && !o.over);
            let holds = |host: &HostId| {
                others().any(|(_, other)| other.sends.out().any(|(_, one)| one.host == *host))
            };
            let holders = window.iter().copied().filter(holds);
            if let Some(host) = holders.max_by(|&a, &b| load(a).total_cmp(&load(b))) {
                return host;
            }
        }
        let ties: Hosts = window.iter().copied().filter(|&host| load(host) <= least).collect();
        self.draw(&ties)
    }

    /// One at random. Danger: routers with few ops see all hosts idle; equal odds overload the small ones.
    pub fn draw(&self, hosts: &[HostId]) -> HostId {
        let share = |host: HostId| self.face(host).size * self.face(host).warmth;
        let mut left = self.rng.borrow_mut().f64() * hosts.iter().map(|&host| share(host)).sum::<f64>();
        let hit = hosts.iter().copied().find(|&host| {
            left -= share(host);
            left < 0.0
        });
        hit.unwrap_or(hosts[0])
    }
}
