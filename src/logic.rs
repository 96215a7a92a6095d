//! Event handling of the dispatcher, which holds the ops and groups and sees hosts as `HostView`s.

use std::cell::RefCell;

use arrowyard_types::*;
use fastrand::Rng;
use smallvec::SmallVec;

use crate::queues::{HostEvent, Queues, decode_host_status};
use crate::state::{Dispatcher, HostView, Op};

/// Connect timeouts before an ejected host goes half-open, and until unanswered sends leave the load.
pub const RECOVERY_TIMEOUTS: f64 = 8.0;
/// An answer within this share of its latency target counts as fast.
pub const FAST_RATIO: f64 = 0.4;
/// Connect timeouts between two maintenance runs, and between two reductions of a host's limit.
pub const PERIOD_TIMEOUTS: f64 = 0.4;

pub const MAINTENANCE_TIMER: TimerId = TimerId(0);
pub const SUBSCRIBE_TIMER: TimerId = TimerId(1);
pub const WAITING_TIMER: TimerId = TimerId(2);

pub type HostIds = SmallVec<[HostId; 16]>;

impl Dispatcher {
    pub fn new(now: Timestamp, seed: u64, settings: RouterSettings, actions: &mut Vec<Action>) -> Self {
        let op_types = OpType::rows(&settings);
        let share = |row: usize| settings.number_or(&format!("tenant.{row}.share"), 0.0);
        let rng = RefCell::new(Rng::with_seed(seed));
        if settings.text("list") == "ask" {
            actions.push(Action::SubscribeHostList { on: true });
        }
        let delay = settings.time_delta("connect_timeout") * (PERIOD_TIMEOUTS * rng.borrow_mut().f64());
        actions.push(Action::SetTimer { after: delay, timer: MAINTENANCE_TIMER });
        let mut dispatcher = Dispatcher {
            tenants: (0..).map(|row| (share(row), 0.0)).take_while(|(share, _)| *share > 0.0).collect(),
            now,
            maintained_at: now,
            rng,
            settings,
            ..Dispatcher::default()
        };
        dispatcher.set_op_types(op_types);
        dispatcher
    }

    pub fn set_op_types(&mut self, op_types: Vec<OpType>) {
        let bounds = op_types.iter().filter_map(|op_type| op_type.consistency.staleness_bound());
        self.min_bound = bounds.min().unwrap_or(self.settings.time_delta("connect_timeout"));
        self.min_target = op_types.iter().map(|op_type| op_type.latency_target).min().unwrap_or_default();
        self.op_types = op_types;
    }

    pub fn host_ids(&self) -> impl Iterator<Item = HostId> + use<> {
        (0..self.host_views.len() as u32).map(HostId)
    }

    pub fn view(&self, host: HostId) -> &HostView {
        &self.host_views[host.0 as usize]
    }

    pub fn has_room(&self, host: HostId, share: f64) -> bool {
        self.view(host).has_room(share, self.now, self.min_target)
    }

    /// Whether the host probably has an idle connection; the module does not see connections.
    pub fn is_connected(&self, host: HostId) -> bool {
        let view = self.view(host);
        view.in_flight == 0 && self.now - view.last_answer_at < self.settings.time_delta("idle_close")
    }

    pub fn op_type(&self, op: &Op) -> &OpType {
        &self.op_types[op.request.op_type.0 as usize]
    }

    /// Load of one send of the op type; 1 for the op type with the shortest latency target.
    pub fn weight(&self, op_type: &OpType) -> f64 {
        op_type.latency_target / self.min_target
    }

    pub fn mean_weight(&self) -> f64 {
        self.op_types.iter().map(|t| self.weight(t)).sum::<f64>() / self.op_types.len().max(1) as f64
    }

    pub fn handle(&mut self, event: RouterEvent, queues: &mut Queues) {
        match event {
            RouterEvent::HostList { kind, entries } => self.apply_host_list(kind, entries, queues),
            RouterEvent::RetryBudget { cell, retries: Some(n) } => drop(self.retry_budgets.insert(cell, n)),
            RouterEvent::RetryBudget { cell, retries: None } => drop(self.retry_budgets.remove(&cell)),
            RouterEvent::ListFailed => {
                let after =
                    self.settings.time_delta("ask_within") * (0.1 + 0.2 * self.rng.borrow_mut().f64());
                queues.actions.push(Action::SetTimer { after, timer: SUBSCRIBE_TIMER });
            }
            RouterEvent::OpRequested(request) => self.admit(request, queues),
            RouterEvent::SendEnded(result) => self.handle_send_end(result, queues),
            RouterEvent::ClientCancelled { op } => {
                if let Some(&op_index) = self.op_indices.get(&op) {
                    self.finish(op_index, queues);
                }
            }
            RouterEvent::TimerFired { timer: SUBSCRIBE_TIMER } => {
                queues.actions.push(Action::SubscribeHostList { on: true })
            }
            RouterEvent::TimerFired { timer: WAITING_TIMER } => {
                self.waiting_timer_set = false;
                self.retry_waiting(queues);
            }
            RouterEvent::TimerFired { .. } => self.maintain(queues),
            RouterEvent::ProbeEnded { host, outcome, status } => {
                let status = (outcome == Outcome::Acked).then_some(status);
                status.into_iter().for_each(|status| self.broadcast_status(host, &status, queues));
                queues.hosts.push(host, HostEvent::ProbeEnded(status));
                self.retry_waiting(queues);
            }
            RouterEvent::OpTypes(op_types) => self.set_op_types(op_types),
            RouterEvent::RoleAssigned { host, role } => {
                queues.hosts.push(host, HostEvent::RoleAssigned(role));
                self.retry_waiting(queues);
            }
            RouterEvent::TenantLimit { host, tenant, max_in_flight } => {
                self.set_tenant_limit(host, tenant, max_in_flight);
                self.retry_waiting(queues);
            }
            RouterEvent::RouterCount { routers } => {
                drop(self.settings.insert("routers".to_string(), SettingValue::Number(routers)))
            }
            RouterEvent::PeerMessage { bytes, .. } => {
                if let Some((hash, status)) = decode_host_status(&bytes, self.now) {
                    let matching = self.host_ids().filter(|&host| self.view(host).name_hash == hash);
                    matching.for_each(|host| queues.hosts.push(host, HostEvent::Reported(status)));
                }
                self.retry_waiting(queues);
            }
        }
    }

    pub fn apply_host_list(&mut self, kind: ListKind, entries: Vec<HostEntry>, queues: &mut Queues) {
        // One pass over the entries, not one for each host: lists of thousands arrive while ops wait.
        let mut listed = vec![kind == ListKind::Incremental; self.host_views.len()];
        for entry in &entries {
            listed.get_mut(entry.host.0 as usize).into_iter().for_each(|listed| *listed = true);
        }
        let missing = self.host_ids().filter(|host| !listed[host.0 as usize]);
        missing.for_each(|host| queues.hosts.push(host, HostEvent::Unlisted));
        for entry in entries {
            let index = entry.host.0 as usize;
            self.memberships.resize_with(self.memberships.len().max(index + 1), GroupMemberships::new);
            for membership in std::mem::replace(&mut self.memberships[index], entry.memberships.clone()) {
                let group = self.groups.entry(membership.group).or_default();
                group.members.retain(|&host| host != entry.host);
                group.primary_only.retain(|&host| host != entry.host);
            }
            for membership in &entry.memberships {
                let group = self.groups.entry(membership.group).or_default();
                group.members.push(entry.host);
                group.members.sort_unstable();
                group.primary_only.extend(membership.primary_only.then_some(entry.host));
            }
            let debt = self.mean_weight() * self.rng.borrow_mut().f64();
            queues.hosts.push(entry.host, HostEvent::Listed(entry, debt));
        }
    }
}
