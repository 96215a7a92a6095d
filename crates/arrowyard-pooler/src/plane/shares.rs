//! The router's side of the fair shares: it measures the demand for hosts, reports it to control where it
//! matters, and gives the allocated caps to the decision module as tenant limits.

use std::collections::BTreeMap;

use arrowyard_config::{Route, RouteKind};
use arrowyard_fair_shares::{
    Allocation, AllocationLeases, ClassDemand, ClassId, DemandMeter, MilliPermits, ShareConfig,
    permits_for_capacity,
};
use arrowyard_messages::{DemandReport, HostAllocations, HostDemand, Payload, Phase, encode_payload};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{HostId, RouterEvent, TenantId, TimeDelta, Timestamp};

use super::{Endpoint, RouterPlane, Timer};
use crate::host_connection::ConnectionStage;
use crate::routes::StatementKind;

/// Minimum time between two checks of the demand, and the time after which unchanged demand is reported
/// again.
const CHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(50);
const REPORT_INTERVAL: TimeDelta = TimeDelta::from_millis(250);
/// Demand that changed by no more than this, in thousandths of a permit and as 1/n of itself, is not
/// reported early.
const MIN_DEMAND_CHANGE: MilliPermits = 100;
const MIN_DEMAND_CHANGE_DIVISOR: MilliPermits = 8;

/// A host is divided only if each router's even part of its permits, in thousandths, is at least this. With
/// many routers each exceeds a smaller part whenever two of its statements overlap; all would report
/// without end, and idle hosts would look overloaded.
const MIN_ROUTER_PART: MilliPermits = 250;

/// The state of the fair shares on this router.
#[derive(Default)]
pub struct Shares {
    pub config: ShareConfig,
    pub meter: DemandMeter<HostId>,
    leases: AllocationLeases,
    checked_at: Timestamp,
    /// Whether a timer for the next check is set.
    check_scheduled: bool,
    /// The demand last reported to control by host, and when.
    reported: BTreeMap<HostId, (Timestamp, Vec<ClassDemand>)>,
    /// The demand measured at the last check by host.
    demands: BTreeMap<HostId, Vec<ClassDemand>>,
    /// The limits that the decision module has.
    limits: BTreeMap<(HostId, ClassId), MilliPermits>,
}

fn demand_changed(old: &[ClassDemand], new: &[ClassDemand]) -> bool {
    let demand_of = |list: &[ClassDemand], class| {
        list.iter().copied().find(|demand| demand.class == class).unwrap_or_default()
    };
    let differs = |a: MilliPermits, b: MilliPermits| {
        a.abs_diff(b) > MIN_DEMAND_CHANGE.max(a.max(b) / MIN_DEMAND_CHANGE_DIVISOR)
    };
    let changed = |demand: &ClassDemand| {
        let (old, new) = (demand_of(old, demand.class), demand_of(new, demand.class));
        differs(old.in_flight, new.in_flight) || differs(old.queued, new.queued)
    };
    old.iter().chain(new).any(changed)
}

impl RouterPlane {
    /// The class that a route counts as in the fair shares.
    pub(super) fn class_of(&mut self, route: &Route) -> ClassId {
        self.shares.config.class_id(&route.share)
    }

    /// Counts a session's statement as queued at the hosts that may run it.
    pub(super) fn count_queued(&mut self, now: Timestamp, conn: Conn, route: &Route) {
        let Some(statement) = self.session(conn).and_then(|session| session.pending()) else { return };
        let (kind, class) = (statement.kind, statement.class);
        if kind == StatementKind::Later {
            return;
        }
        let reads = kind == StatementKind::Read && route.kind != RouteKind::Primary;
        let hosts = self.decision.eligible_hosts(&route.service, reads);
        self.shares.meter.add_queued(now, &hosts, class, 1.0);
        if let Some(statement) = self.session(conn).and_then(|session| session.pending()) {
            statement.queued_for = hosts;
        }
    }

    /// Undoes `count_queued`.
    pub(super) fn uncount_queued(&mut self, now: Timestamp, conn: Conn) {
        let Some(statement) = self.session(conn).and_then(|session| session.pending()) else { return };
        let (class, hosts) = (statement.class, std::mem::take(&mut statement.queued_for));
        if !hosts.is_empty() {
            self.shares.meter.add_queued(now, &hosts, class, -1.0);
        }
    }

    /// Checks the demand if `CHECK_INTERVAL` has passed since the last check.
    pub(super) fn check_demand_if_due(&mut self, now: Timestamp, commands: &mut Commands) {
        if now - self.shares.checked_at >= CHECK_INTERVAL {
            self.check_demand(now, commands);
        }
    }

    /// Reports the demand for hosts where this router's demand exceeds its even part, and for hosts that
    /// control polls. If a host is overloaded, at least one router exceeds its even part.
    pub(super) fn check_demand(&mut self, now: Timestamp, commands: &mut Commands) {
        self.shares.checked_at = now;
        self.shares.demands.clear();
        if !self.configured.configuration.division_enabled() {
            self.shares.leases = AllocationLeases::default();
            return self.update_tenant_limits(now);
        }
        let mut hosts = Vec::new();
        let all: Vec<HostId> = self.shares.meter.hosts().collect();
        for host in all {
            let demands = self.shares.meter.read(now, host);
            let sum: f64 =
                demands.iter().map(|demand| f64::from(demand.in_flight) + f64::from(demand.queued)).sum();
            let known = &self.decision.host(host).host;
            if known.phase() == Phase::Gone && self.shares.meter.is_idle(host) {
                self.shares.meter.forget(host);
            }
            let (id, group, capacity) = (known.id.clone(), known.service.clone(), known.capacity);
            let divisible = permits_for_capacity(capacity) / self.routers.max(1) >= MIN_ROUTER_PART;
            let polled = divisible && self.shares.leases.is_polled(now, &id);
            let exceeds_part =
                divisible && sum * f64::from(self.routers) >= f64::from(permits_for_capacity(capacity));
            let last = self.shares.reported.get(&host);
            let due = match last {
                Some((at, old)) => now - *at >= REPORT_INTERVAL || demand_changed(old, &demands),
                None => sum > 0.0,
            };
            if !(polled || exceeds_part) {
                if self.shares.reported.remove(&host).is_none() {
                    continue;
                }
                // A last report tells control the lower demand.
            } else if !due {
                self.shares.demands.insert(host, demands);
                continue;
            } else {
                self.shares.reported.insert(host, (now, demands.clone()));
            }
            let (fence, allocation_number) = self.shares.leases.last_applied(&id);
            let encode = |demand: &ClassDemand| arrowyard_messages::ServiceDemand {
                service: self.shares.config.class_name(demand.class).to_string(),
                running_milli: demand.in_flight,
                waiting_milli: demand.queued,
            };
            let list = demands
                .iter()
                .filter(|demand| demand.in_flight > 0 || demand.queued > 0)
                .map(encode)
                .collect();
            hosts.push(HostDemand {
                host: id,
                slots: capacity,
                fence,
                allocation_number,
                services: list,
                group,
            });
            self.shares.demands.insert(host, demands);
        }
        if let Some(conn) = self.feed.open_conn().filter(|_| !hosts.is_empty()) {
            let number = self.shares.leases.next_report(now);
            commands.write(
                conn,
                &[&encode_payload(Payload::DemandReport(DemandReport {
                    router: self.incarnation,
                    number,
                    hosts,
                }))],
            );
        }
        self.shares.leases.sweep(now);
        self.update_tenant_limits(now);
        self.schedule_demand_check(now);
    }

    /// Schedules the next check while any demand was reported or any host is overloaded.
    fn schedule_demand_check(&mut self, now: Timestamp) {
        let active =
            !self.shares.reported.is_empty() || self.shares.leases.overloaded_hosts().next().is_some();
        if active && !self.shares.check_scheduled {
            self.shares.check_scheduled = true;
            self.timers.set(now + CHECK_INTERVAL, Timer::Demand);
        }
    }

    pub(super) fn demand_check_due(&mut self, now: Timestamp, commands: &mut Commands) {
        self.shares.check_scheduled = false;
        self.check_demand(now, commands);
    }

    /// Control polls the demand for overloaded hosts.
    pub(super) fn poll_demand(&mut self, now: Timestamp, hosts: &[String], commands: &mut Commands) {
        hosts.iter().for_each(|host| self.shares.leases.record_poll(now, host));
        self.check_demand_if_due(now, commands);
        self.schedule_demand_check(now);
    }

    /// Applies allocations that control sent to this incarnation.
    pub(super) fn apply_allocations(
        &mut self,
        now: Timestamp,
        allocations: HostAllocations,
        commands: &mut Commands,
    ) {
        if allocations.router != self.incarnation {
            return;
        }
        for allocation in allocations.allocations {
            let caps = allocation
                .caps
                .iter()
                .map(|cap| (self.shares.config.class_id(&cap.service), cap.cap_milli))
                .collect();
            let allocation = Allocation {
                host: allocation.host,
                fence: allocations.fence,
                number: allocation.number,
                report: allocation.report_number,
                overloaded: allocation.overloaded,
                caps,
                permits: allocation.capacity_milli,
                routers: allocation.routers,
            };
            self.shares.leases.apply(now, allocation);
        }
        self.update_tenant_limits(now);
        self.check_demand_if_due(now, commands);
        self.schedule_demand_check(now);
    }

    /// Drops expired allocations after a reconnect to control.
    pub(super) fn drop_expired_allocations(&mut self, now: Timestamp) {
        self.shares.leases.drop_expired(now);
        self.update_tenant_limits(now);
    }

    /// Gives changed caps to the decision module as tenant limits.
    fn update_tenant_limits(&mut self, now: Timestamp) {
        let mut limits = BTreeMap::new();
        for name in self.shares.leases.overloaded_hosts() {
            let Some(host) = self.decision.host_id(name) else { continue };
            let demands = self.shares.demands.get(&host).map_or(&[][..], Vec::as_slice);
            for (class, cap) in self.shares.leases.caps(now, name, demands, &self.shares.config) {
                limits.insert((host, class), cap);
            }
        }
        let old = std::mem::replace(&mut self.shares.limits, limits);
        let new = self.shares.limits.clone();
        for ((host, class), cap) in &new {
            if old.get(&(*host, *class)) != Some(cap) {
                let max_in_flight = Some(f64::from(*cap) / 1000.0);
                self.notify(
                    now,
                    RouterEvent::TenantLimit { host: *host, tenant: TenantId(class.0), max_in_flight },
                );
            }
        }
        for (host, class) in old.keys().filter(|key| !new.contains_key(key)) {
            self.notify(
                now,
                RouterEvent::TenantLimit { host: *host, tenant: TenantId(class.0), max_in_flight: None },
            );
        }
    }

    /// The index of the waiter that gets a free connection: of the classes that wait, the one that uses
    /// the fewest connections relative to its weight; of its statements, the one that has waited longest.
    pub(super) fn next_waiter(&self, host: HostId) -> usize {
        let waiting = &self.pools[host.0 as usize].waiting;
        let first = waiting.front().map(|(_, sent)| sent.class);
        if waiting.iter().all(|(_, sent)| Some(sent.class) == first) {
            return 0;
        }
        let mut in_use: BTreeMap<ClassId, f64> = BTreeMap::new();
        for endpoint in self.endpoints.values() {
            if let Endpoint::Host(connection) = endpoint
                && connection.host == host
                && let (ConnectionStage::Assigned(_), Some(class)) = (connection.stage, connection.class)
            {
                *in_use.entry(class).or_default() += 1.0;
            }
        }
        let use_by_weight = |class: ClassId| {
            in_use.get(&class).copied().unwrap_or(0.0) / self.shares.config.weight(class).max(1e-9)
        };
        let waiters = waiting.iter().enumerate().map(|(index, (_, sent))| (use_by_weight(sent.class), index));
        waiters.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map_or(0, |(_, index)| index)
    }

    /// Counts a statement as queued again after a send of it ended without finishing it.
    pub(super) fn requeue(&mut self, now: Timestamp, conn: Conn) {
        let Some(Endpoint::Client(session)) = self.endpoints.get(&conn) else { return };
        let in_transaction = session.transaction.as_ref().map(|transaction| transaction.route.clone());
        let route = in_transaction.or_else(|| self.configured.routes.route(&session.database).cloned());
        self.uncount_queued(now, conn);
        route.into_iter().for_each(|route| self.count_queued(now, conn, &route));
    }
}
