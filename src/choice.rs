//! Choice of the host for an op's next send: the candidates, and of those the least loaded one.

use arrowyard_types::*;

use crate::logic::{FAST_RATIO, HostIds};
use crate::queues::Queues;
use crate::state::{Dispatcher, Group, HostView, Op};

/// A host is in the load window if its load times this is at most the least load.
const LOAD_WINDOW: f64 = 0.1;
pub const LONG_READ_WEIGHT: f64 = 6.0;
/// Below this share of its latency target the primary takes reads without a probe of the replicas.
/// A primary that works at its capacity answers about half of its statements this fast.
const IDLE_RATIO: f64 = FAST_RATIO / 2.0;
pub const PRIMARY_READ_SHARE: f64 = 0.75;
/// Load of opening a connection, in sends of the op type with the shortest latency target.
const CONNECT_WEIGHT: f64 = 0.2;

impl Dispatcher {
    pub fn choose_host(&mut self, op_index: usize, queues: &mut Queues) -> Option<HostId> {
        // A statement of an open transaction must go to the host that holds the transaction.
        if let Some(pinned) = self.ops[op_index].request.pinned_host {
            return Some(pinned);
        }
        let id = self.ops[op_index].request.group;
        let group = self.groups.get_mut(&id)?;
        if group.roles_probed_at.is_none() {
            group.roles_probed_at = Some(self.now);
            // Without a listed primary only: routers that start together would flood the hosts with probes.
            // A listed one shows its role with its first send.
            let group = &self.groups[&id];
            if self.primary(group).is_none() && self.probe(&group.members, false, queues) {
                return None;
            }
        }
        let candidates = self.candidates(op_index, queues);
        (!candidates.is_empty()).then(|| self.least_loaded(&candidates, op_index))
    }

    pub fn candidates(&self, op_index: usize, queues: &mut Queues) -> HostIds {
        let op = &self.ops[op_index];
        let (op_type, group) = (self.op_type(op), &self.groups[&op.request.group]);
        let primary = self.primary(group);
        let checks = self.settings.text("host_checks") != "none";
        let (sends, max_sends) = (op.sends.len(), self.settings.number_or("max_sends", 1.0));
        let timeout = self.settings.time_delta("connect_timeout");
        let has_room = |host: &HostId| self.has_room(*host, 1.0) && self.has_quota(op, *host);
        let mut candidates = HostIds::new();
        let writes = matches!(op_type.consistency, Consistency::Write | Consistency::Fresh);
        match primary {
            Some(_) => group.primary_seen_at.set(self.now),
            None => group.primary_wanted.set(group.primary_wanted.get() || writes),
        }
        let confirmed = primary.is_some_and(|host| self.view(host).role.is_some());
        let probed_recently = group.roles_probed_at.is_some_and(|at| self.now - at < timeout);
        if !confirmed && probed_recently && group.members.iter().any(|&host| self.view(host).probing) {
            return candidates;
        }
        if writes {
            if primary.is_some() {
                candidates.extend(primary.filter(has_room));
            } else if (op_type.consistency == Consistency::Write || checks)
                && (sends as f64) < max_sends * 0.5
            {
                // No primary known: members of unknown role in turn, or at first the most advanced replica.
                // Known replicas are not tried in turn: one that does not check reads would answer a fresh read.
                let fits = |v: &HostView| (v.role.is_none() || sends == 0) && !v.probing && v.is_usable();
                let untried = |h: &HostId| self.has_room(*h, 1.0) && !op.sends.has_tried(*h);
                let next = group.members.iter().copied().filter(|h| fits(self.view(*h)) && untried(h));
                candidates.extend(next.max_by_key(|&host| self.view(host).position));
            }
            return candidates;
        }
        let is_replica = |host: &HostId| Some(*host) != primary && !group.primary_only.contains(host);
        let available = |host: &HostId| is_replica(host) && self.view(*host).available;
        let replicas: HostIds = group.members.iter().copied().filter(available).collect();
        // If most replicas are unhealthy the cause is likely shared: all that still answer stay in use.
        // This harms when most replicas really are lost.
        let mostly_down = replicas.iter().filter(|&&h| self.view(h).is_usable()).count() * 2 < replicas.len();
        let usable = |h: &HostId| self.view(*h).is_usable() || mostly_down && !self.view(*h).unresponsive;
        let fit: HostIds = replicas.iter().copied().filter(|h| self.is_fresh(op, *h) && usable(h)).collect();
        candidates = fit.iter().copied().filter(has_room).collect();
        if candidates.iter().any(|&host| !op.sends.has_tried(host)) {
            candidates.retain(|&mut host| !op.sends.has_tried(host));
        }
        if candidates.is_empty() {
            // Lets maintenance probe a group whose hosts all became unresponsive, also if only reads come.
            let wanted = &group.primary_wanted;
            wanted.set(wanted.get() || primary.is_none() && !replicas.iter().any(usable));
            // No replica fits: the primary, or first the most advanced replica if hosts check reads.
            let free = replicas.iter().copied().filter(|host| usable(host) && has_room(host));
            let ahead = free.max_by_key(|&host| self.view(host).position);
            let ahead = ahead.filter(|_| checks && fit.is_empty() && sends == 0);
            let takes = |host: &HostId| self.has_room(*host, PRIMARY_READ_SHARE) && self.has_quota(op, *host);
            candidates.extend(ahead.or(primary.filter(takes)));
            // Without recent positions every read would go to the primary. Fewer probes if it answers fast.
            // A probe costs as much as the read saves the primary, and with hundreds of routers there are many.
            let faster = |ratio| primary.is_some_and(|host| self.primary_takes_reads(host, ratio));
            let probed = |&h: &HostId| self.view(h).probed_at >= op.arrived_at && !self.view(h).probing;
            let skip = faster(IDLE_RATIO) || faster(FAST_RATIO) && replicas.iter().any(probed);
            if fit.is_empty() && !skip && self.probe_replica(op, &replicas, queues) {
                return HostIds::new();
            }
        } else if self.weight(op_type) >= LONG_READ_WEIGHT {
            // Long reads delay the apply of the log: they share the replica that lags most.
            // Spread out, they would leave no replica fresh. Harms when they need most of the replicas.
            let furthest = candidates.iter().map(|&host| self.view(host).lag).max().unwrap_or_default();
            candidates.retain(|&mut host| self.view(host).lag >= furthest);
        } else if fit.len() < replicas.len() && candidates.iter().all(|&host| self.view(host).in_flight > 0) {
            self.probe_replica(op, &replicas, queues);
        }
        candidates
    }

    /// Whether the primary has room for reads and answered within this share of the latency target.
    pub fn primary_takes_reads(&self, primary: HostId, max_ratio: f64) -> bool {
        self.has_room(primary, PRIMARY_READ_SHARE)
            && self.view(primary).latency_ratio.is_some_and(|ratio| ratio < max_ratio)
    }

    /// Whether the host's last known position, a lower bound of its real one, satisfies the op's consistency.
    pub fn is_fresh(&self, op: &Op, host: HostId) -> bool {
        let position = self.view(host).position;
        if op.min_position.is_some_and(|floor| position < floor) {
            return false;
        }
        match self.op_type(op).consistency {
            Consistency::Any => true,
            Consistency::Bounded(bound) => position >= self.now - bound,
            Consistency::Session => true,
            Consistency::Fresh | Consistency::Write => false,
        }
    }

    /// The member that reported itself primary most recently; else the one that the list names.
    pub fn primary(&self, group: &Group) -> Option<HostId> {
        let answering = |host: &HostId| self.view(*host).available && !self.view(*host).unresponsive;
        let members = || group.members.iter().copied().filter(answering);
        let confirmed = members().filter(|&host| self.view(host).role == Some(Role::Primary));
        let listed = |host: &HostId| self.view(*host).role.is_none() && self.view(*host).listed_primary;
        confirmed.max_by_key(|&host| self.view(host).role_at).or_else(|| members().find(listed))
    }

    /// Within the load window: a host that runs the session's ops, else the least loaded, ties at random.
    pub fn least_loaded(&mut self, hosts: &[HostId], op_index: usize) -> HostId {
        let load = |host: HostId| {
            let view = self.view(host);
            let opening = if self.is_connected(host) { 0.0 } else { CONNECT_WEIGHT };
            view.load / (view.size * view.warmth) + opening
        };
        let least = hosts.iter().map(|&host| load(host)).fold(f64::INFINITY, f64::min);
        let window: HostIds = hosts.iter().copied().filter(|&h| load(h) * LOAD_WINDOW <= least).collect();
        let op = &self.ops[op_index];
        if window.len() > 1 && op.request.session.is_some() {
            let session = op.request.session;
            let others = || self.ops.iter().filter(|(_, o)| o.request.session == session && !o.finished);
            let runs_at = |other: &Op, host| other.sends.in_flight().any(|(_, send)| send.host == host);
            let holds = |host: &HostId| others().any(|(_, other)| runs_at(other, *host));
            let holders = window.iter().copied().filter(holds);
            if let Some(host) = holders.max_by(|&a, &b| load(a).total_cmp(&load(b))) {
                return host;
            }
        }
        let ties: HostIds = window.iter().copied().filter(|&host| load(host) <= least).collect();
        self.draw_by_capacity(&ties)
    }

    /// A random host, weighted by capacity: small hosts that look idle must not get an equal share.
    pub fn draw_by_capacity(&self, hosts: &[HostId]) -> HostId {
        let share = |host: HostId| self.view(host).size * self.view(host).warmth;
        let mut left = self.rng.borrow_mut().f64() * hosts.iter().map(|&host| share(host)).sum::<f64>();
        let hit = hosts.iter().copied().find(|&host| {
            left -= share(host);
            left < 0.0
        });
        hit.unwrap_or(hosts[0])
    }
}
