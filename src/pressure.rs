//! Load shedding, tenant quotas, waiting ops, and the periodic maintenance that updates them.

use arrowyard_types::*;
use smallvec::SmallVec;

use crate::choice::{LONG_READ_WEIGHT, PRIMARY_READ_SHARE};
use crate::logic::{
    FAST_RATIO, HostIds, MAINTENANCE_TIMER, PERIOD_TIMEOUTS, RECOVERY_TIMEOUTS, WAITING_TIMER,
};
use crate::queues::{HostEvent, Queues};
use crate::state::{Dispatcher, HostView, Op, TenantQuota};

const READ_SHED_INCREASE: f64 = 0.2;
const READ_SHED_DECREASE: f64 = 0.05;
/// Headroom beyond the acknowledged rate while at least three in four hosts answer fast.
const MAX_EXTRA_HEADROOM: f64 = 0.5;
/// Maintenance runs between two probes of members that are unlikely to be the next primary.
const RARE_PROBE_PERIODS: f64 = 10.0;
/// Change of the share of writes that is shed, per connect timeout, while most replicas lag.
const WRITE_SHED_INCREASE: f64 = 0.25;
pub const MAX_SHED_SHARE: f64 = 0.9;
/// A tenant's quota at a host: ops in flight beyond it while there is credit, and the bounds of that credit.
const QUOTA_BURST_OPS: f64 = 1.0;
const MAX_QUOTA_CREDIT_SECS: f64 = 0.05;
const MAX_QUOTA_DEBT_OP_SECS: f64 = 1.0;

impl TenantQuota {
    pub fn accrue(&mut self, now: Timestamp, in_flight: f64) {
        let elapsed_secs = (now - self.as_of).as_secs_f64();
        let credit = self.credit + (self.max_in_flight - in_flight) * elapsed_secs;
        self.credit = credit.clamp(-MAX_QUOTA_DEBT_OP_SECS, self.max_in_flight * MAX_QUOTA_CREDIT_SECS);
        self.as_of = now;
    }
}

impl Dispatcher {
    /// Sheds more reads while most hosts are slow, which would run sends whose clients have given up.
    /// Slowness of a few hosts is left to their limits. Harms where most hosts are slow for other reasons.
    pub fn adjust_read_shedding(&mut self, group: GroupId, outcome: Outcome, latency_ratio: f64) {
        let acked = outcome == Outcome::Acked;
        let is_sample = acked || matches!(outcome, Outcome::TimedOut | Outcome::Overloaded);
        let Some(group) = self.groups.get_mut(&group).filter(|_| is_sample) else { return };
        let slow = (FAST_RATIO + 1.0) * 0.5;
        let regular = group.members.iter().filter(|host| !group.primary_only.contains(host));
        let views = regular.map(|host| &self.host_views[host.0 as usize]);
        let ratios = views.filter(|view| view.available).filter_map(|view| view.latency_ratio);
        let (all, above) = (ratios.clone().count(), ratios.filter(|&ratio| ratio > slow).count());
        if (latency_ratio > slow || !acked) && above * 2 > all {
            group.read_shed += (1.0 - group.read_shed) * READ_SHED_INCREASE;
        } else if acked && latency_ratio < FAST_RATIO {
            group.read_shed = (group.read_shed - READ_SHED_DECREASE).max(0.0);
        }
    }

    pub fn maintain(&mut self, queues: &mut Queues) {
        let (now, elapsed, spacing) = (self.now, self.now - self.maintained_at, self.min_target);
        self.maintained_at = now;
        let timeout = self.settings.time_delta("connect_timeout");
        let period = timeout * PERIOD_TIMEOUTS;
        queues.actions.push(Action::SetTimer { after: period, timer: MAINTENANCE_TIMER });
        let warm = self.host_views.iter().filter(|view| view.warmth >= 1.0 && view.is_usable());
        let rates: SmallVec<[f64; 16]> = warm.map(|view| view.ack_rate / view.size).collect();
        let mean = || rates.iter().sum::<f64>() / rates.len() as f64;
        self.warm_rate = if rates.is_empty() { self.warm_rate } else { mean() };
        // A router with few ops loses most of its warm-up credit between them: more while hosts answer fast.
        let window_secs = self.settings.time_delta("fall").as_secs_f64();
        let scarcity = 1.0 - self.warm_rate * window_secs / self.mean_weight();
        let ratios = self.host_views.iter().filter(|v| v.available).filter_map(|view| view.latency_ratio);
        let (all, fast) = (ratios.clone().count(), ratios.filter(|&ratio| ratio < FAST_RATIO).count());
        let extra = (2.0 * fast as f64 / all.max(1) as f64 - 1.0).clamp(0.0, MAX_EXTRA_HEADROOM);
        let headroom = 1.0 + extra * scarcity.clamp(0.0, 1.0);
        let rate = self.warm_rate;
        self.host_ids().for_each(|id| queues.hosts.push(id, HostEvent::Maintain(elapsed, rate, headroom)));
        // Sheds writes while bounded reads have no host, but not where long reads cause the replicas' lag.
        // Writes that come faster than replicas apply them would cost all bounded reads. Harms if reports lag.
        let long_reads = self.op_types.iter().any(|op_type| self.weight(op_type) >= LONG_READ_WEIGHT);
        let step = if long_reads { 0.0 } else { elapsed / timeout * WRITE_SHED_INCREASE };
        for group in self.groups.values_mut() {
            let views = group.members.iter().map(|host| &self.host_views[host.0 as usize]);
            let is_primary = |v: &&HostView| v.role == Some(Role::Primary) && v.available && !v.unresponsive;
            let mut primaries = views.clone().filter(is_primary);
            let full = primaries.any(|primary| !primary.has_room(PRIMARY_READ_SHARE, now, spacing));
            let replicas = views.filter(|v| v.available && v.role == Some(Role::Replica)).map(|v| v.lag);
            let lagging = replicas.clone().filter(|&lag| lag > self.min_bound).count();
            group.write_shed += if lagging * 2 > replicas.count() && full { step } else { -step };
            group.write_shed = group.write_shed.clamp(0.0, MAX_SHED_SHARE);
            // Decays without answers too: a router that sheds most of a light load sees few.
            group.read_shed *= 1.0 - (elapsed / (timeout * RECOVERY_TIMEOUTS)).min(1.0);
        }
        for group in self.groups.values().filter(|group| group.primary_wanted.replace(false)) {
            // After one round only the most advanced member is probed often: it is the likely next primary.
            // Otherwise all routers would probe all members for as long as a change of primary takes.
            let usable = group.members.iter().copied().filter(|&host| self.view(host).is_usable());
            let most_advanced = usable.max_by_key(|&host| self.view(host).position);
            let gap = |host: HostId| if Some(host) == most_advanced { 2.0 } else { RARE_PROBE_PERIODS };
            let due = |host: &HostId| {
                let (at, waited) = (self.view(*host).probed_at, now - self.view(*host).probed_at);
                waited >= period * gap(*host) || waited >= period * 2.0 && at <= group.primary_seen_at.get()
            };
            self.probe(&group.members.iter().copied().filter(due).collect::<HostIds>(), false, queues);
        }
    }

    pub fn set_tenant_limit(&mut self, host: HostId, tenant: TenantId, max_in_flight: Option<f64>) {
        let (in_flight, now) = (self.in_flight_ops(host, tenant), self.now);
        match (max_in_flight, self.quotas.get_mut(&(host, tenant))) {
            (Some(max_in_flight), Some(quota)) => {
                quota.accrue(now, in_flight);
                quota.max_in_flight = max_in_flight;
            }
            (Some(max_in_flight), None) => {
                self.quotas.insert((host, tenant), TenantQuota { max_in_flight, credit: 0.0, as_of: now });
            }
            (None, _) => drop(self.quotas.remove(&(host, tenant))),
        }
    }

    fn in_flight_ops(&self, host: HostId, tenant: TenantId) -> f64 {
        f64::from(self.tenant_in_flight.get(&(host, tenant)).copied().unwrap_or(0))
    }

    /// Whether an op's tenant may have one more op in flight at the host.
    /// Of many routers each has a quota below one op: a whole op is sent, and its excess time is owed.
    pub fn has_quota(&self, op: &Op, host: HostId) -> bool {
        let Some(tenant) = op.request.tenant.filter(|_| !self.quotas.is_empty()) else { return true };
        let Some(mut quota) = self.quotas.get(&(host, tenant)).copied() else { return true };
        let in_flight = self.in_flight_ops(host, tenant);
        quota.accrue(self.now, in_flight);
        in_flight + 1.0 <= quota.max_in_flight
            || in_flight < quota.max_in_flight + QUOTA_BURST_OPS && quota.credit >= 0.0
    }

    pub fn count_tenant_op(&mut self, tenant: Option<TenantId>, host: HostId, ended: bool) {
        let Some(tenant) = tenant.filter(|_| self.settings.flag("tenants_held")) else { return };
        let (before, now) = (self.in_flight_ops(host, tenant), self.now);
        self.quotas.get_mut(&(host, tenant)).into_iter().for_each(|quota| quota.accrue(now, before));
        let in_flight = self.tenant_in_flight.entry((host, tenant)).or_default();
        *in_flight = if ended { in_flight.saturating_sub(1) } else { *in_flight + 1 };
        if *in_flight == 0 {
            self.tenant_in_flight.remove(&(host, tenant));
        }
    }

    pub fn retry_waiting(&mut self, queues: &mut Queues) {
        // Of equal priority the newest go first, since the oldest have the least time left.
        let mut waiting = std::mem::take(&mut self.waiting);
        let key = |op_index: &usize| (self.priority(&self.ops[*op_index]), self.ops[*op_index].arrived_at);
        waiting.sort_by(|a, b| key(b).partial_cmp(&key(a)).expect("priorities are not NaN"));
        queues.ops.extend(&waiting);
        self.waiting = waiting;
        self.schedule_waiting_retry(queues);
    }

    pub fn schedule_waiting_retry(&mut self, queues: &mut Queues) {
        if !self.waiting.is_empty() && !std::mem::replace(&mut self.waiting_timer_set, true) {
            let after = self.settings.time_delta("tick");
            queues.actions.push(Action::SetTimer { after, timer: WAITING_TIMER });
        }
    }
}
