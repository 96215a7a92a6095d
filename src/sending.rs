//! Whether, when and how often an op goes out, and its one answer. Every send of an op goes through `route`.

use arrowyard_types::*;

use crate::post::{HostNote, Post};
use crate::pressure::MOST_BACK;
use crate::probing::PATIENCE;
use crate::state::{Desk, Op};

/// A tenant is over its share from this multiple of it on.
const OVER: f64 = 1.1;
/// What a tenant asks beyond its share is given back so many times as readily.
const OVER_FIRST: f64 = 3.0;
/// How far one op moves what its tenant's ops are taken to be out for.
const OUT_RATE: f64 = 0.05;
/// Sessions whose last commit is kept.
const SESSIONS: usize = 65_536;

impl Desk {
    pub fn asked(&mut self, ask: OpRequest, post: &mut Post) {
        let need = self.op_types[ask.op_type.0 as usize].consistency;
        let floor = if need != Consistency::Session {
            None
        } else if self.charter.text("tokens") == "carried" {
            let age = ask.token_age.unwrap_or_default();
            (age > TimeDelta::ZERO || ask.token_age.is_none()).then(|| self.now - age)
        } else {
            self.commits.last(ask.session)
        };
        let floor = floor.max(ask.min_position);
        let back = self.groups.get(&ask.group).map_or(0.0, |group| match need {
            Consistency::Write => group.held_back,
            _ => (group.back * if self.over_share(&ask) { OVER_FIRST } else { 1.0 }).min(MOST_BACK),
        });
        let place = self.ops.insert(Op { ask, arrived: self.now, floor, ..Op::default() });
        self.places.insert(ask.op, place);
        if ask.pinned_host.is_none() && self.rng.borrow_mut().f64() < back {
            return self.give_up(place, post);
        }
        post.ops.push_back(place);
    }

    /// Until when an answer is worth anything, and is sure to come before the client's time is up.
    pub fn pays_until(&self, op: &Op) -> Timestamp {
        let (kind, tick) = (self.op_type(op), self.charter.time_delta("tick"));
        let target = op.arrived + kind.latency_target - tick * 2.0;
        if kind.late_value > 0.0 { op.ask.deadline - tick } else { target.min(op.ask.deadline - tick) }
    }

    /// Rule 2: whether the op may go out again, to this host if one is named.
    pub fn may_send(&self, op: &Op, host: Option<HostId>) -> bool {
        let most = self.charter.number_or("max_sends", 1.0) as usize;
        // Danger: further sends of a cell in trouble, spent by all. What its budget leaves is told.
        let spent = op.sends.len() > 0 && self.spares.get(&op.ask.cell) == Some(&0);
        if op.sends.len() >= most || spent {
            return false;
        }
        match (self.op_type(op).retry_safety, op.sends.may_have_run()) {
            (RetrySafety::Retryable, _) | (_, None) => true,
            (RetrySafety::Deduplicated { window: memory, scope }, Some(first)) => {
                let far = host.is_some_and(|h| self.face(h).zone != self.face(first.host).zone);
                !(far && scope == DedupScope::Zone)
                    && self.now + self.charter.time_delta("tick") < first.at + memory
            }
            (RetrySafety::NonRetryable, Some(_)) => false,
        }
    }

    /// Sends the op on, holds it, or answers at once when waiting cannot pay. Never two sends at once.
    pub fn route(&mut self, place: usize, post: &mut Post) {
        let Some(op) = self.ops.get(place).filter(|op| !op.over && !op.sends.is_out()) else { return };
        // Danger: what is held for most of its time and then given back keeps its client from coming back in time.
        let half = op.arrived + (op.ask.deadline - op.arrived) * 0.5 - self.charter.time_delta("tick") * 2.0;
        let held = op.sends.len() == 0 && self.now >= half;
        if held || self.now >= self.pays_until(op) || !self.may_send(op, None) {
            self.give_up(place, post);
        } else if self.rested(op)
            && let Some(host) = self.choose(place, post)
            && self.may_send(&self.ops[place], Some(host))
        {
            self.send(place, host, post);
        } else if self.waits_in_vain(&self.ops[place]) {
            self.give_up(place, post);
        } else if !self.held.contains(&place) {
            self.held.push(place);
            self.crowd_out(place, post);
            self.try_soon(post);
        }
    }

    /// Where a tenant is held to a part of the hosts, no more of its ops wait than what will have a place in time: the
    /// oldest is given up at once, while its client can still ask elsewhere.
    pub fn crowd_out(&mut self, place: usize, post: &mut Post) {
        let op = &self.ops[place];
        let Some(tenant) = op.ask.tenant.filter(|_| !self.rooms.is_empty()) else { return };
        let group = op.ask.group;
        let Some(members) = self.groups.get(&group).map(|group| group.members.as_slice()) else { return };
        let rooms = members.iter().map(|host| self.rooms.get(&(*host, tenant)));
        // A host where it goes free: what it waits for is something else.
        let Some(parts) = rooms.map(|room| room.map(|room| room.most)).collect::<Option<Vec<f64>>>() else {
            return;
        };
        let waits = self.op_type(op).latency_target * self.charter.number_or("held", 0.0);
        let out = self.outs.get(&tenant).copied().unwrap_or_default().max(1e-3);
        let most = (parts.iter().sum::<f64>() * waits.as_secs_f64() / out).max(1.0) as usize;
        let alike = |held: &usize| {
            let other = &self.ops[*held];
            other.ask.tenant == Some(tenant) && other.ask.group == group && other.sends.len() == 0
        };
        let of = self.held.iter().copied().filter(alike);
        if of.clone().count() > most
            && let Some(oldest) = of.min_by_key(|held| self.ops[*held].arrived)
        {
            self.give_up(oldest, post);
        }
    }

    /// Where it is told how long an op may wait for a host: whether that time is over, and nothing of it ever ran. Its
    /// client asks elsewhere, and wants to know soon.
    pub fn waits_in_vain(&self, op: &Op) -> bool {
        let told = self.charter.number_or("held", 0.0);
        let until = op.arrived + self.op_type(op).latency_target * told;
        // It is looked at again a tick from now: by then it would be late.
        told > 0.0 && self.now + self.charter.time_delta("tick") > until && op.sends.may_have_run().is_none()
    }

    /// Danger: hosts that fail at once draw a storm of further sends. Each pause is twice the last.
    pub fn rested(&self, op: &Op) -> bool {
        let pause = self.least_target * PATIENCE * ((1 << op.sends.len().min(16)) as f64 * 0.5 - 1.0);
        op.sends.last().is_none_or(|last| self.now >= last.at + pause)
    }

    pub fn send(&mut self, place: usize, host: HostId, post: &mut Post) {
        let op = &self.ops[place];
        let (weight, until) = (self.weight(self.op_type(op)), self.pays_until(op));
        self.held.retain(|&held| held != place);
        let op = &mut self.ops[place];
        if let Some(spare) = self.spares.get_mut(&op.ask.cell).filter(|_| op.sends.len() > 0) {
            *spare = spare.saturating_sub(1);
        }
        op.sends.begin(host, self.now);
        for (row, (_, used)) in self.tenants.iter_mut().enumerate() {
            *used = *used * 0.99 + f64::from(op.ask.tenant.is_some_and(|tenant| tenant.0 as usize == row));
        }
        let (tenant, op) = (op.ask.tenant, op.ask.op);
        post.actions.push(Action::Send { op, host, deadline: until });
        post.hosts.put(host, HostNote::Took(weight));
        self.count(tenant, host, false);
    }

    pub fn over_share(&self, ask: &OpRequest) -> bool {
        let row = ask.tenant.and_then(|tenant| self.tenants.get(tenant.0 as usize));
        let all: f64 = self.tenants.iter().map(|(_, used)| used).sum();
        row.is_some_and(|(share, used)| *used > all * share * OVER)
    }

    /// What an op is worth for the work it asks. A tenant that had more than its share of sends waits.
    pub fn rank(&self, op: &Op) -> f64 {
        let kind = self.op_type(op);
        let over = self.over_share(&op.ask);
        let late = if self.now > op.arrived + kind.latency_target { kind.late_value } else { 1.0 };
        let part = if over { self.charter.number_or("over_share_value", 1.0) } else { 1.0 };
        kind.value / self.weight(kind) * late * part
    }

    pub fn give_up(&mut self, place: usize, post: &mut Post) {
        let op = &self.ops[place];
        let harmless = match self.op_type(op).retry_safety {
            RetrySafety::Retryable | RetrySafety::Deduplicated { scope: DedupScope::All, .. } => true,
            _ => op.sends.may_have_run().is_none(),
        };
        let op = op.ask.op;
        let retry_after =
            self.charter.flag("retry_after").then(|| self.charter.time_delta("max_retry_after"));
        post.actions.push(match harmless {
            true => Action::BusyReply { op, retry_after },
            false => Action::ErrorReply { op },
        });
        self.finish(place, post);
    }

    /// The op has its final answer; its place is free once all its sends have ended.
    pub fn finish(&mut self, place: usize, post: &mut Post) {
        self.held.retain(|&held| held != place);
        let op = &mut self.ops[place];
        let first = !std::mem::replace(&mut op.over, true);
        if !op.sends.is_out() {
            let op = self.ops.remove(place);
            self.places.remove(&op.ask.op);
        } else if first && self.charter.flag("cancel") {
            post.actions.extend(op.sends.out().map(|(send, _)| Action::Cancel { op: op.ask.op, send }));
        }
    }

    pub fn ended(&mut self, end: SendResult, post: &mut Post) {
        let Some(&place) = self.places.get(&end.op) else { return };
        let kind = self.op_type(&self.ops[place]);
        let (used, weight, writes) =
            (end.elapsed / kind.latency_target, self.weight(kind), kind.consistency == Consistency::Write);
        let op = &mut self.ops[place];
        let Some(one) = op.sends.end(end.send, end.outcome) else { return };
        if let Some(session) = op.ask.session.filter(|_| writes && end.outcome == Outcome::Acked) {
            self.commits.keep(session, end.status.position.unwrap_or(self.now), SESSIONS);
        }
        let (group, tenant, over) = (op.ask.group, op.ask.tenant, op.over || end.op_finished);
        self.count(tenant, one.host, true);
        if let (Some(tenant), Outcome::Acked, false) = (tenant, end.outcome, self.rooms.is_empty()) {
            let out = self.outs.entry(tenant).or_insert(end.elapsed.as_secs_f64());
            *out += (end.elapsed.as_secs_f64() - *out) * OUT_RATE;
        }
        if over {
            self.finish(place, post);
        } else if !self.ops[place].sends.is_out() {
            post.ops.push_back(place);
        }
        if !writes {
            self.throttle(group, end.outcome, used);
        }
        post.hosts.put(one.host, HostNote::Ended(end, weight, used));
        // Danger: with a place free, whoever waits for one of few places loses it for a tick.
        if tenant.is_some_and(|tenant| self.rooms.contains_key(&(one.host, tenant))) {
            self.try_held(post);
        }
    }
}
