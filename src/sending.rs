//! Admission, sends, retries and the one final answer of each op. Every send goes through `dispatch`.

use arrowyard_types::*;

use crate::pressure::MAX_SHED_SHARE;
use crate::probing::PROBE_WAIT_SHARE;
use crate::queues::{HostEvent, Queues};
use crate::state::{Dispatcher, Op};

const OVER_SHARE_FACTOR: f64 = 1.1;
const OVER_SHARE_SHED_FACTOR: f64 = 3.0;
const LATENCY_SMOOTHING: f64 = 0.05;
const MAX_SESSIONS: usize = 65_536;

impl Dispatcher {
    pub fn admit(&mut self, request: OpRequest, queues: &mut Queues) {
        let consistency = self.op_types[request.op_type.0 as usize].consistency;
        let min_position = if consistency != Consistency::Session {
            None
        } else if self.settings.text("tokens") == "carried" {
            let age = request.token_age.unwrap_or_default();
            (age > TimeDelta::ZERO || request.token_age.is_none()).then(|| self.now - age)
        } else {
            self.session_commits.min_position(request.session)
        };
        let min_position = min_position.max(request.min_position);
        let shed_share = self.groups.get(&request.group).map_or(0.0, |group| match consistency {
            Consistency::Write => group.write_shed,
            _ => (group.read_shed * if self.is_over_share(&request) { OVER_SHARE_SHED_FACTOR } else { 1.0 })
                .min(MAX_SHED_SHARE),
        });
        let op_index = self.ops.insert(Op { request, arrived_at: self.now, min_position, ..Op::default() });
        self.op_indices.insert(request.op, op_index);
        if request.pinned_host.is_none() && self.rng.borrow_mut().f64() < shed_share {
            return self.reject(op_index, queues);
        }
        queues.ops.push_back(op_index);
    }

    /// The latest time at which an answer is still of value and reaches the client before its deadline.
    pub fn send_deadline(&self, op: &Op) -> Timestamp {
        let (op_type, tick) = (self.op_type(op), self.settings.time_delta("tick"));
        let target = op.arrived_at + op_type.latency_target - tick * 2.0;
        let latest = op.request.deadline - tick;
        if op_type.late_value > 0.0 { latest } else { target.min(latest) }
    }

    /// Whether the op may be sent (again), to this host if one is given, without the risk of a second run.
    pub fn may_send(&self, op: &Op, host: Option<HostId>) -> bool {
        let max_sends = self.settings.number_or("max_sends", 1.0) as usize;
        // All ops of a cell in trouble share its retries.
        let exhausted = op.sends.len() > 0 && self.retry_budgets.get(&op.request.cell) == Some(&0);
        if op.sends.len() >= max_sends || exhausted {
            return false;
        }
        match (self.op_type(op).retry_safety, op.sends.may_have_run()) {
            (RetrySafety::Retryable, _) | (_, None) => true,
            (RetrySafety::Deduplicated { window, scope }, Some(first)) => {
                let other_zone = host.is_some_and(|h| self.view(h).zone != self.view(first.host).zone);
                let in_window = self.now + self.settings.time_delta("tick") < first.sent_at + window;
                !(other_zone && scope == DedupScope::Zone) && in_window
            }
            (RetrySafety::NonRetryable, Some(_)) => false,
        }
    }

    /// Sends the op, lets it wait, or rejects it. An op has at most one send in flight.
    pub fn dispatch(&mut self, op_index: usize, queues: &mut Queues) {
        let is_idle = |op: &&Op| !op.finished && !op.sends.is_pending();
        let Some(op) = self.ops.get(op_index).filter(is_idle) else { return };
        // An op never sent is rejected at half of its time, so that its client can still retry elsewhere.
        let half_time = op.arrived_at + (op.request.deadline - op.arrived_at) * 0.5
            - self.settings.time_delta("tick") * 2.0;
        let waited_long = op.sends.len() == 0 && self.now >= half_time;
        if waited_long || self.now >= self.send_deadline(op) || !self.may_send(op, None) {
            self.reject(op_index, queues);
        } else if self.backoff_elapsed(op)
            && let Some(host) = self.choose_host(op_index, queues)
            && self.may_send(&self.ops[op_index], Some(host))
        {
            self.send(op_index, host, queues);
        } else if self.max_wait_elapsed(&self.ops[op_index]) {
            self.reject(op_index, queues);
        } else if !self.waiting.contains(&op_index) {
            self.waiting.push(op_index);
            self.shed_oldest_waiting(op_index, queues);
            self.schedule_waiting_retry(queues);
        }
    }

    /// Rejects a tenant's oldest waiting op if more wait than its quotas can serve in time.
    pub fn shed_oldest_waiting(&mut self, op_index: usize, queues: &mut Queues) {
        let op = &self.ops[op_index];
        let Some(tenant) = op.request.tenant.filter(|_| !self.quotas.is_empty()) else { return };
        let group = op.request.group;
        let Some(members) = self.groups.get(&group).map(|group| group.members.as_slice()) else { return };
        let quotas = members.iter().map(|host| self.quotas.get(&(*host, tenant)));
        let limits = quotas.map(|quota| quota.map(|quota| quota.max_in_flight)).collect::<Option<Vec<f64>>>();
        let Some(limits) = limits else { return };
        let max_wait = self.op_type(op).latency_target * self.settings.number_or("held", 0.0);
        let latency_secs = self.tenant_latencies.get(&tenant).copied().unwrap_or_default().max(1e-3);
        let max_waiting = limits.iter().sum::<f64>() * max_wait.as_secs_f64() / latency_secs;
        let same_tenant = |waiting: &usize| {
            let other = &self.ops[*waiting];
            other.request.tenant == Some(tenant) && other.request.group == group && other.sends.len() == 0
        };
        let waiting = self.waiting.iter().copied().filter(same_tenant);
        if waiting.clone().count() > max_waiting.max(1.0) as usize
            && let Some(oldest) = waiting.min_by_key(|op_index| self.ops[*op_index].arrived_at)
        {
            self.reject(oldest, queues);
        }
    }

    /// Whether the op's wait for a host ends before the next tick and no send of it can have run.
    pub fn max_wait_elapsed(&self, op: &Op) -> bool {
        let ratio = self.settings.number_or("held", 0.0);
        let end = op.arrived_at + self.op_type(op).latency_target * ratio;
        ratio > 0.0 && self.now + self.settings.time_delta("tick") > end && op.sends.may_have_run().is_none()
    }

    /// Exponential backoff between sends of an op: hosts that fail at once would cause a storm of retries.
    pub fn backoff_elapsed(&self, op: &Op) -> bool {
        let backoff = self.min_target * PROBE_WAIT_SHARE * ((1 << op.sends.len().min(16)) as f64 * 0.5 - 1.0);
        op.sends.last().is_none_or(|last| self.now >= last.sent_at + backoff)
    }

    pub fn send(&mut self, op_index: usize, host: HostId, queues: &mut Queues) {
        let op = &self.ops[op_index];
        let (weight, deadline) = (self.weight(self.op_type(op)), self.send_deadline(op));
        self.waiting.retain(|&waiting| waiting != op_index);
        let op = &mut self.ops[op_index];
        if let Some(retries) = self.retry_budgets.get_mut(&op.request.cell).filter(|_| op.sends.len() > 0) {
            *retries = retries.saturating_sub(1);
        }
        op.sends.begin(host, self.now);
        for (index, (_, used)) in self.tenants.iter_mut().enumerate() {
            let is_sender = op.request.tenant.is_some_and(|tenant| tenant.0 as usize == index);
            *used = *used * 0.99 + f64::from(is_sender);
        }
        let (tenant, op) = (op.request.tenant, op.request.op);
        queues.actions.push(Action::Send { op, host, deadline });
        queues.hosts.push(host, HostEvent::SendStarted(weight));
        self.count_tenant_op(tenant, host, false);
    }

    pub fn is_over_share(&self, request: &OpRequest) -> bool {
        let usage = request.tenant.and_then(|tenant| self.tenants.get(tenant.0 as usize));
        let total: f64 = self.tenants.iter().map(|(_, used)| used).sum();
        usage.is_some_and(|(share, used)| *used > total * share * OVER_SHARE_FACTOR)
    }

    pub fn priority(&self, op: &Op) -> f64 {
        let op_type = self.op_type(op);
        let is_over_share = self.is_over_share(&op.request);
        let late = if self.now > op.arrived_at + op_type.latency_target { op_type.late_value } else { 1.0 };
        let share_factor = if is_over_share { self.settings.number_or("over_share_value", 1.0) } else { 1.0 };
        op_type.value / self.weight(op_type) * late * share_factor
    }

    pub fn reject(&mut self, op_index: usize, queues: &mut Queues) {
        let op = &self.ops[op_index];
        let safe_to_retry = match self.op_type(op).retry_safety {
            RetrySafety::Retryable | RetrySafety::Deduplicated { scope: DedupScope::All, .. } => true,
            _ => op.sends.may_have_run().is_none(),
        };
        let op = op.request.op;
        let after = self.settings.flag("retry_after").then(|| self.settings.time_delta("max_retry_after"));
        queues.actions.push(match safe_to_retry {
            true => Action::BusyReply { op, retry_after: after },
            false => Action::ErrorReply { op },
        });
        self.finish(op_index, queues);
    }

    pub fn finish(&mut self, op_index: usize, queues: &mut Queues) {
        self.waiting.retain(|&waiting| waiting != op_index);
        let op = &mut self.ops[op_index];
        let newly_finished = !std::mem::replace(&mut op.finished, true);
        if !op.sends.is_pending() {
            let op = self.ops.remove(op_index);
            self.op_indices.remove(&op.request.op);
        } else if newly_finished && self.settings.flag("cancel") {
            let cancels = op.sends.in_flight().map(|(send, _)| Action::Cancel { op: op.request.op, send });
            queues.actions.extend(cancels);
        }
    }

    pub fn handle_send_end(&mut self, result: SendResult, queues: &mut Queues) {
        let Some(&op_index) = self.op_indices.get(&result.op) else { return };
        let op_type = self.op_type(&self.ops[op_index]);
        let (latency_ratio, weight) = (result.elapsed / op_type.latency_target, self.weight(op_type));
        let is_write = op_type.consistency == Consistency::Write;
        let op = &mut self.ops[op_index];
        let Some(send) = op.sends.end(result.send, result.outcome) else { return };
        if let Some(session) = op.request.session.filter(|_| is_write && result.outcome == Outcome::Acked) {
            self.session_commits.record(session, result.status.position.unwrap_or(self.now), MAX_SESSIONS);
        }
        let (group, tenant, done) = (op.request.group, op.request.tenant, op.finished || result.op_finished);
        self.count_tenant_op(tenant, send.host, true);
        if let (Some(tenant), Outcome::Acked, false) = (tenant, result.outcome, self.quotas.is_empty()) {
            let mean = self.tenant_latencies.entry(tenant).or_insert(result.elapsed.as_secs_f64());
            *mean += (result.elapsed.as_secs_f64() - *mean) * LATENCY_SMOOTHING;
        }
        if done {
            self.finish(op_index, queues);
        } else if !self.ops[op_index].sends.is_pending() {
            queues.ops.push_back(op_index);
        }
        if !is_write {
            self.adjust_read_shedding(group, result.outcome, latency_ratio);
        }
        queues.hosts.push(send.host, HostEvent::SendEnded(result, weight, latency_ratio));
        // Otherwise an op that waits for this place would lose it for a tick.
        if tenant.is_some_and(|tenant| self.quotas.contains_key(&(send.host, tenant))) {
            self.retry_waiting(queues);
        }
    }
}
