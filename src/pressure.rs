//! What is held and what is given back while hosts have more than they can do, and the pulse by which it changes.

use arrowyard_types::*;
use smallvec::SmallVec;

use crate::choice::{FOR_READS, LONG};
use crate::logic::{EASY, Hosts, PULSE, REST, STEP, TRY_HELD};
use crate::post::{HostNote, Post};
use crate::state::{Desk, Op, Room};

/// How far a slow and a quick answer move the share of reads given back.
const BACK_UP: f64 = 0.2;
const BACK_DOWN: f64 = 0.05;
/// By so much more than hosts acked they can do while three in four answer quickly.
const MOST_ROOM: f64 = 0.5;
/// Members that will hardly be the next primary are asked once in so many of these steps.
const OTHERS_GAP: f64 = 10.0;
/// While most replicas are behind, the share of writes sent back grows by this in a connect time-out.
const CATCH_UP: f64 = 0.25;
pub const MOST_BACK: f64 = 0.9;
/// So many ops beyond its part a tenant may have unfinished at a host for a while, out of what it saved up; and it saves up
/// what its part amounts to in so long. What it owes at most is as much of one op.
const BEYOND: f64 = 1.0;
const SAVES: f64 = 0.05;
const OWES: f64 = 1.0;

impl Room {
    /// Time has passed with so many ops unfinished.
    pub fn pass(&mut self, now: Timestamp, running: f64) {
        let passed = (now - self.as_of).as_secs_f64();
        self.credit = (self.credit + (self.most - running) * passed).clamp(-OWES, self.most * SAVES);
        self.as_of = now;
    }
}

impl Desk {
    /// Danger: a jam that feeds itself, as hosts work on sends that nobody waits for any more. The share of
    /// reads given back moves till few are slow, however much that takes; slowness of a few hosts is left to
    /// their limits. Harms where most hosts are slow for other reasons.
    pub fn throttle(&mut self, group: GroupId, outcome: Outcome, used: f64) {
        let acked = outcome == Outcome::Acked;
        let tells = acked || matches!(outcome, Outcome::TimedOut | Outcome::Overloaded);
        let Some(group) = self.groups.get_mut(&group).filter(|_| tells) else { return };
        let slow = (EASY + 1.0) * 0.5;
        let own = group.members.iter().filter(|host| !group.guests.contains(host));
        let faces = own.map(|host| &self.faces[host.0 as usize]);
        let paces = faces.filter(|face| face.open).filter_map(|face| face.pace);
        let (all, far) = (paces.clone().count(), paces.filter(|&pace| pace > slow).count());
        if (used > slow || !acked) && far * 2 > all {
            group.back += (1.0 - group.back) * BACK_UP;
        } else if acked && used < EASY {
            group.back = (group.back - BACK_DOWN).max(0.0);
        }
    }

    pub fn pulse(&mut self, post: &mut Post) {
        let (now, passed, pace) = (self.now, self.now - self.pulsed_at, self.least_target);
        self.pulsed_at = now;
        let poll = self.charter.time_delta("connect_timeout") * STEP;
        post.actions.push(Action::SetTimer { after: poll, timer: PULSE });
        let warm = self.faces.iter().filter(|face| face.warmth >= 1.0 && face.sound());
        let acks: SmallVec<[f64; 16]> = warm.map(|face| face.rate / face.size).collect();
        self.peers = if acks.is_empty() { self.peers } else { acks.iter().sum::<f64>() / acks.len() as f64 };
        // Danger: a router that has less than a send for a host in the rule's window loses most of its budgets between
        // its ops. It takes more, while most hosts answer quickly, so that what they acked is less than they can do.
        let few = 1.0 - self.peers * self.charter.time_delta("fall").as_secs_f64() / self.mean_weight();
        let paces = self.faces.iter().filter(|face| face.open).filter_map(|face| face.pace);
        let (all, easy) = (paces.clone().count(), paces.filter(|&pace| pace < EASY).count());
        let spare = (2.0 * easy as f64 / all.max(1) as f64 - 1.0).clamp(0.0, MOST_ROOM);
        let room = 1.0 + spare * few.clamp(0.0, 1.0);
        self.hosts().for_each(|host| post.hosts.put(host, HostNote::Pulse(passed, self.peers, room)));
        // Danger: writes come faster than replicas apply them; bounded reads lose all. Some go back while
        // the primary has no room for reads, but where long reads hold up the log. Harms if reports lag.
        let long = self.op_types.iter().any(|kind| self.weight(kind) >= LONG);
        let step = if long { 0.0 } else { passed / self.charter.time_delta("connect_timeout") * CATCH_UP };
        for group in self.groups.values_mut() {
            let faces = group.members.iter().map(|host| &self.faces[host.0 as usize]);
            let mut standing = faces.clone().filter(|f| f.role == Some(Role::Primary) && f.open && !f.quiet);
            let full = standing.any(|primary| !primary.bears(FOR_READS, now, pace));
            let replicas = faces.filter(|f| f.open && f.role == Some(Role::Replica)).map(|f| f.behind);
            let (all, far) = (replicas.clone().count(), replicas.filter(|&b| b > self.bound).count());
            group.held_back += if far * 2 > all && full { step } else { -step };
            group.held_back = group.held_back.clamp(0.0, MOST_BACK);
            // Danger: the share given back falls by quick answers alone; a router that gives nine in ten back, and has
            // an op in two seconds, hears of none, and goes on long after the jam.
            group.back *= 1.0 - (passed / (self.charter.time_delta("connect_timeout") * REST)).min(1.0);
        }
        for group in self.groups.values().filter(|group| group.wanted.replace(false)) {
            // Danger: all routers ask all members for as long as a switch takes. After a first round the most
            // advanced one is asked, which takes over if any does, and the others seldom, in case that it does not.
            let heirs = group.members.iter().copied().filter(|&host| self.face(host).sound());
            let heir = heirs.max_by_key(|&host| self.face(host).position);
            let gap = |host: HostId| if Some(host) == heir { 2.0 } else { OTHERS_GAP };
            let due = |host: &HostId| {
                let (at, rested) = (self.face(*host).probed_at, now - self.face(*host).probed_at);
                rested >= poll * gap(*host) || rested >= poll * 2.0 && at <= group.led_at.get()
            };
            self.probe(&group.members.iter().copied().filter(due).collect::<Hosts>(), false, post);
        }
    }

    /// Whoever divides hosts between tenants says how many ops of one may be unfinished at a host.
    pub fn hold(&mut self, host: HostId, tenant: TenantId, most: Option<f64>) {
        let (running, now) = (self.running(host, tenant), self.now);
        match (most, self.rooms.get_mut(&(host, tenant))) {
            (Some(most), Some(room)) => {
                room.pass(now, running);
                room.most = most;
            }
            (Some(most), None) => {
                self.rooms.insert((host, tenant), Room { most, credit: 0.0, as_of: now });
            }
            (None, _) => drop(self.rooms.remove(&(host, tenant))),
        }
    }

    fn running(&self, host: HostId, tenant: TenantId) -> f64 {
        f64::from(self.running.get(&(host, tenant)).copied().unwrap_or(0))
    }

    /// Whether an op's tenant may have one more op unfinished at the host. Danger: of many routers each has a part of an
    /// op only; a whole one is out at a time, and what it was out too long is owed.
    pub fn has_room(&self, op: &Op, host: HostId) -> bool {
        let Some(tenant) = op.ask.tenant.filter(|_| !self.rooms.is_empty()) else { return true };
        let Some(mut room) = self.rooms.get(&(host, tenant)).copied() else { return true };
        let running = self.running(host, tenant);
        room.pass(self.now, running);
        running + 1.0 <= room.most || running < room.most + BEYOND && room.credit >= 0.0
    }

    /// An op of a tenant goes to a host, or has ended there.
    pub fn count(&mut self, tenant: Option<TenantId>, host: HostId, ended: bool) {
        let Some(tenant) = tenant.filter(|_| self.charter.flag("tenants_held")) else { return };
        let (before, now) = (self.running(host, tenant), self.now);
        self.rooms.get_mut(&(host, tenant)).into_iter().for_each(|room| room.pass(now, before));
        let running = self.running.entry((host, tenant)).or_default();
        *running = if ended { running.saturating_sub(1) } else { *running + 1 };
        if *running == 0 {
            self.running.remove(&(host, tenant));
        }
    }

    pub fn try_held(&mut self, post: &mut Post) {
        // Overload: within a rank the newest go first, since the oldest have the least time left.
        let mut held = std::mem::take(&mut self.held);
        let key = |place: &usize| (self.rank(&self.ops[*place]), self.ops[*place].arrived);
        held.sort_by(|a, b| key(b).partial_cmp(&key(a)).expect("ranks are numbers"));
        post.ops.extend(&held);
        self.held = held;
        self.try_soon(post);
    }

    pub fn try_soon(&mut self, post: &mut Post) {
        if !self.held.is_empty() && !std::mem::replace(&mut self.trying, true) {
            post.actions.push(Action::SetTimer { after: self.charter.time_delta("tick"), timer: TRY_HELD });
        }
    }
}
