//! Divides the permits of overloaded hosts between classes and routers. It runs on the control machine that
//! holds the duty.
//!
//! Routers report their demand for a host. While the summed demand exceeds the host's capacity, classes
//! that want more than their fair share are limited to it, each router to its part. Classes that want less
//! are not limited.
//!
//! Invariant: the caps that routers may be applying never sum up to more than the fair shares. A cap is
//! raised only by what other routers have released, which is known by their acknowledgement or by the end
//! of their lease.

use std::collections::{BTreeMap, VecDeque};

use arrowyard_types::{TimeDelta, Timestamp};

use crate::leases::ALLOCATION_LEASE;
use crate::max_min::weighted_max_min;
use crate::{ClassDemand, ClassId, MilliPermits, ShareConfig};

/// One incarnation of a router process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterId(pub u64);

/// A host becomes overloaded when the reported demand exceeds this part of its available permits.
const OVERLOAD_ENTER_RATIO: f64 = 0.6;
/// The overload ends after the demand was below this part for `OVERLOAD_EXIT_DELAY`.
const OVERLOAD_EXIT_RATIO: f64 = 0.4;
const OVERLOAD_EXIT_DELAY: TimeDelta = TimeDelta::from_millis(300);
/// How often all routers are polled about an overloaded host. Without a poll, a router reports only demand
/// of at least its equal part of the permits.
const DEMAND_POLL_INTERVAL: TimeDelta = TimeDelta::from_millis(500);
/// Leases last longer here than at the router by this factor, since the router's clock may be slower.
const LEASE_CLOCK_MARGIN: f64 = 1.1;
/// Minimum time between two allocations of a host.
const MIN_ALLOCATION_INTERVAL: TimeDelta = TimeDelta::from_millis(10);
/// A cap is sent before the renewal of its lease only if it changed by more than this, and by more than the
/// previous cap divided by `MIN_CAP_CHANGE_DIVISOR`.
const MIN_CAP_CHANGE: MilliPermits = 20;
const MIN_CAP_CHANGE_DIVISOR: u32 = 16;
const LEASE_RENEWAL_INTERVAL: TimeDelta = TimeDelta::from_millis(200);
/// The maximum number of hosts with state.
const MAX_HOSTS: usize = 4096;
/// The maximum number of unacknowledged allocations to one router for one host.
const MAX_UNACKNOWLEDGED: usize = 64;

/// The caps of one router at a host, by class; classes that are not named are not limited.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Allocation {
    pub host: String,
    /// Fencing token of the duty holder.
    pub fence: u64,
    /// The allocation's number under this fence. Routers apply the highest pair of fence and number.
    pub number: u64,
    /// Number of the router's report that this answers; the lease runs from when that report was sent.
    pub report: u64,
    /// Whether the host is overloaded. If not, all limits are lifted.
    pub overloaded: bool,
    pub caps: Vec<(ClassId, MilliPermits)>,
    /// The host's permits. A router whose lease expires falls back to its equal part of them.
    pub permits: MilliPermits,
    /// The number of routers that share the permits.
    pub routers: u32,
}

/// A host as described in a router's report.
#[derive(Clone, Copy, Debug)]
pub struct HostInfo<'a> {
    pub id: &'a str,
    /// The group of hosts that hold the same databases.
    pub group: &'a str,
    /// Statements that the host runs at a time.
    pub capacity: u32,
}

/// State of one router at one host.
#[derive(Clone, Debug, Default)]
struct RouterState {
    demands: Vec<ClassDemand>,
    /// Number of the router's last report, and when it arrived.
    report: u64,
    reported_at: Timestamp,
    /// Numbers and caps of the last acknowledged allocation and of all that were sent since. The router may
    /// be applying any of them.
    sent: VecDeque<(u64, Vec<(ClassId, MilliPermits)>)>,
    acknowledged: bool,
    sent_at: Timestamp,
}

impl RouterState {
    fn demand(&self, class: ClassId) -> ClassDemand {
        self.demands.iter().copied().find(|demand| demand.class == class).unwrap_or_default()
    }

    /// The most that the router may be using: the highest cap it may be applying, or its reported in-flight
    /// statements.
    fn max_in_use(&self, class: ClassId) -> MilliPermits {
        self.max_sent_cap(class).unwrap_or(0).max(self.demand(class).in_flight)
    }

    /// The highest cap that the router may be applying; `None` if this class was never limited there.
    fn max_sent_cap(&self, class: ClassId) -> Option<MilliPermits> {
        let sent = self.sent.iter().flat_map(|(_, caps)| caps).filter(|(other, _)| *other == class);
        sent.map(|(_, cap)| *cap).max()
    }

    fn last_sent_cap(&self, class: ClassId) -> Option<MilliPermits> {
        let caps = self.sent.back().map(|(_, caps)| caps)?;
        caps.iter().find(|(other, _)| *other == class).map(|(_, cap)| *cap)
    }
}

/// State of one host.
#[derive(Clone, Debug, Default)]
struct HostState {
    /// The group of hosts that hold the same databases and serve the same reads.
    group: String,
    permits: MilliPermits,
    routers: BTreeMap<RouterId, RouterState>,
    overloaded_since: Option<Timestamp>,
    /// Since when the demand is below `OVERLOAD_EXIT_RATIO`.
    below_exit_since: Option<Timestamp>,
    allocated_at: Timestamp,
    polled_at: Timestamp,
    /// By class: its fair share and its demand, in permits.
    fair_shares: Vec<(ClassId, f64, f64)>,
}

/// One class at one host for status output, in permits.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassStatus {
    pub host: String,
    pub class: ClassId,
    pub fair_share: f64,
    pub in_flight: f64,
    pub queued: f64,
    /// Whether the class is limited to its fair share.
    pub limited: bool,
    /// Since when the host is overloaded; the default if it is not.
    pub overloaded_since: Timestamp,
}

/// The messages to send after an allocation round.
#[derive(Clone, Debug, Default)]
pub struct AllocationRound {
    pub allocations: Vec<(RouterId, Allocation)>,
    /// Hosts for which every router is asked to report its demand.
    pub poll: Vec<String>,
}

/// Divides overloaded hosts by the demand that routers report.
#[derive(Clone, Debug, Default)]
pub struct Allocator {
    fence: u64,
    /// No allocation is made before this time, since leases of the previous holder may still be valid.
    not_before: Timestamp,
    last_number: u64,
    hosts: BTreeMap<String, HostState>,
}

/// A host's permits over all routers: twice the number of statements that it runs at a time. The host is
/// then not idle while responses are in transit, and no statement waits there for much longer than one
/// statement takes.
#[must_use]
pub fn permits_for_capacity(capacity: u32) -> MilliPermits {
    capacity.clamp(1, 100_000) * 2000
}

impl Allocator {
    /// Starts under the fencing token of a newly acquired duty. `handover_wait` is how long the previous
    /// holder may have continued after it lost the duty; zero if there was none.
    #[must_use]
    pub fn start(now: Timestamp, fence: u64, handover_wait: TimeDelta) -> Self {
        let not_before = if handover_wait == TimeDelta::ZERO {
            now
        } else {
            now + handover_wait + ALLOCATION_LEASE * LEASE_CLOCK_MARGIN
        };
        Allocator { fence, not_before, ..Allocator::default() }
    }

    /// Records a router's complete demand for a host. `report` is the number of the report, and `applied`
    /// that of the last allocation that the router applied under this fence (0 for none).
    pub fn record_demand(
        &mut self,
        now: Timestamp,
        host: &HostInfo<'_>,
        router: RouterId,
        (report, applied): (u64, u64),
        demands: Vec<ClassDemand>,
    ) {
        if !self.hosts.contains_key(host.id) && self.hosts.len() >= MAX_HOSTS {
            return;
        }
        let state = self.hosts.entry(host.id.to_string()).or_default();
        if state.group != host.group {
            state.group = host.group.to_string();
        }
        state.permits = permits_for_capacity(host.capacity);
        let router = state.routers.entry(router).or_default();
        // Reports may arrive out of order; an older one must not undo the acknowledgement of a newer one.
        if report <= router.report {
            return;
        }
        (router.report, router.reported_at, router.demands) = (report, now, demands);
        if router.sent.iter().any(|(number, _)| *number == applied) {
            router.acknowledged = true;
            router.sent.retain(|(number, _)| *number >= applied);
        }
    }

    /// Divides the hosts that are due between `routers` routers. Returns the allocations to send, and the
    /// overloaded hosts for which every router is to be polled: small demands are reported only when polled,
    /// but their sum counts.
    pub fn allocate(&mut self, now: Timestamp, config: &ShareConfig, routers: u32) -> AllocationRound {
        let mut round = AllocationRound::default();
        if now < self.not_before {
            return round;
        }
        let (fence, last_number) = (self.fence, &mut self.last_number);
        // By group and class: the sum of its fair shares at all hosts, as far as it has demand there.
        let mut group_totals: BTreeMap<(String, ClassId), f64> = BTreeMap::new();
        for host in self.hosts.values() {
            for (class, fair_share, demand) in &host.fair_shares {
                *group_totals.entry((host.group.clone(), *class)).or_default() += fair_share.min(*demand);
            }
        }
        for (id, host) in &mut self.hosts {
            if now - host.allocated_at < MIN_ALLOCATION_INTERVAL {
                continue;
            }
            host.allocated_at = now;
            host.routers.retain(|_, router| now - router.reported_at < ALLOCATION_LEASE * LEASE_CLOCK_MARGIN);
            // Each host is divided with the updated shares at the hosts before it. Dividing all hosts of a
            // group with the shares of the previous round oscillates between two wrong divisions.
            let key = |host: &HostState, class: ClassId| (host.group.clone(), class);
            for (class, fair_share, demand) in &host.fair_shares {
                *group_totals.entry(key(host, *class)).or_default() -= fair_share.min(*demand);
            }
            host.update_fair_shares(now, config, &group_totals);
            for (class, fair_share, demand) in &host.fair_shares {
                *group_totals.entry(key(host, *class)).or_default() += fair_share.min(*demand);
            }
            let is_overloaded = host.overloaded_since.is_some();
            if is_overloaded && now - host.polled_at >= DEMAND_POLL_INTERVAL {
                host.polled_at = now;
                round.poll.push(id.clone());
            }
            let routers = routers.max(host.routers.len() as u32);
            for (router_id, caps) in host.caps_to_send(now) {
                let Some(router) = host.routers.get_mut(&router_id) else { continue };
                *last_number += 1;
                let allocation = Allocation {
                    host: id.clone(),
                    fence,
                    number: *last_number,
                    report: router.report,
                    overloaded: is_overloaded,
                    caps: caps.clone(),
                    permits: host.permits,
                    routers,
                };
                if is_overloaded {
                    router.sent.push_back((*last_number, caps));
                    router.sent_at = now;
                } else {
                    router.sent.clear();
                }
                round.allocations.push((router_id, allocation));
            }
        }
        self.hosts.retain(|_, host| !host.routers.is_empty());
        round
    }

    /// The status of every class at every host with reported demand, limited ones first.
    #[must_use]
    pub fn status(&self) -> Vec<ClassStatus> {
        let mut rows = Vec::new();
        for (id, host) in &self.hosts {
            for (class, fair_share, demand) in &host.fair_shares {
                let demands = || host.routers.values().map(|router| router.demand(*class));
                let permits = |milli: MilliPermits| f64::from(milli) / 1000.0;
                rows.push(ClassStatus {
                    host: id.clone(),
                    class: *class,
                    fair_share: *fair_share,
                    in_flight: permits(demands().map(|demand| demand.in_flight).sum()),
                    queued: permits(demands().map(|demand| demand.queued).sum()),
                    limited: host.overloaded_since.is_some() && demand > fair_share,
                    overloaded_since: host.overloaded_since.unwrap_or_default(),
                });
            }
        }
        rows.sort_by_key(|row| (!row.limited, row.host.clone()));
        rows
    }
}

impl HostState {
    /// Updates the fair share of each class, and whether the host is overloaded. `group_totals` are the fair
    /// shares at the other hosts of each group.
    fn update_fair_shares(
        &mut self,
        now: Timestamp,
        config: &ShareConfig,
        group_totals: &BTreeMap<(String, ClassId), f64>,
    ) {
        let mut demands: BTreeMap<ClassId, u64> = BTreeMap::new();
        for demand in self.routers.values().flat_map(|router| &router.demands) {
            *demands.entry(demand.class).or_default() +=
                u64::from(demand.in_flight) + u64::from(demand.queued);
        }
        let demands: Vec<(ClassId, f64)> =
            demands.into_iter().map(|(class, demand)| (class, demand as f64 / 1000.0)).collect();
        let permits = f64::from(self.permits) / 1000.0;
        let total_demand: f64 = demands.iter().map(|(_, demand)| demand).sum();
        let reserved = config.reserved(permits, &demands);
        let available = permits - reserved;
        if total_demand > available * OVERLOAD_ENTER_RATIO {
            self.below_exit_since = None;
            self.overloaded_since.get_or_insert(now);
        } else if self.overloaded_since.is_some() && total_demand < available * OVERLOAD_EXIT_RATIO {
            let below_since = *self.below_exit_since.get_or_insert(now);
            if now - below_since >= OVERLOAD_EXIT_DELAY {
                (self.overloaded_since, self.below_exit_since) = (None, None);
            }
        } else {
            self.below_exit_since = None;
        }
        let mut contenders = config.contenders(permits, &demands);
        for ((class, _), contender) in demands.iter().zip(&mut contenders) {
            let held_elsewhere = group_totals.get(&(self.group.clone(), *class)).copied().unwrap_or(0.0);
            contender.held_elsewhere = held_elsewhere.max(0.0);
        }
        let shares = weighted_max_min(available, &contenders);
        self.fair_shares =
            demands.iter().zip(shares).map(|((class, demand), share)| (*class, share, *demand)).collect();
    }

    /// The caps to send to each router, without routers whose caps changed little and whose lease is not due
    /// for renewal.
    fn caps_to_send(&self, now: Timestamp) -> Vec<(RouterId, Vec<(ClassId, MilliPermits)>)> {
        let limited: Vec<(ClassId, f64, f64)> = match self.overloaded_since {
            Some(_) => self.fair_shares.iter().copied().filter(|(_, share, demand)| demand > share).collect(),
            _ => Vec::new(),
        };
        // By class: the part of its fair share that no router may be using, in thousandths.
        let mut free_by_class: BTreeMap<ClassId, i64> = BTreeMap::new();
        for (class, fair_share, _) in &limited {
            let in_use: i64 = self.routers.values().map(|router| i64::from(router.max_in_use(*class))).sum();
            free_by_class.insert(*class, (*fair_share * 1000.0) as i64 - in_use);
        }
        // Permits that one class gives up go to another only once the routers have acknowledged it. A class
        // that is no longer limited therefore counts with its unacknowledged caps.
        let mut classes: std::collections::BTreeSet<ClassId> =
            self.fair_shares.iter().map(|(class, ..)| *class).collect();
        let sent_caps = self.routers.values().flat_map(|router| &router.sent).flat_map(|(_, caps)| caps);
        classes.extend(sent_caps.map(|(class, _)| *class));
        let mut total_free = i64::from(self.permits);
        for class in classes {
            let in_use: i64 = self.routers.values().map(|router| i64::from(router.max_in_use(class))).sum();
            total_free -= in_use;
        }
        let mut caps_by_router = Vec::new();
        for (id, router) in &self.routers {
            let mut caps = Vec::new();
            for (class, fair_share, total_demand) in &limited {
                let demand = router.demand(*class);
                let router_demand = f64::from(demand.in_flight) + f64::from(demand.queued);
                let target_cap = (fair_share * router_demand / total_demand) as i64;
                // A raise starts from the cap that was sent, not from the in-flight statements: those may
                // have started before the class was limited, without allocated permits.
                let sent_cap = router.max_sent_cap(*class);
                let is_new = sent_cap.is_none();
                let current_cap = i64::from(sent_cap.unwrap_or(demand.in_flight));
                let class_free = free_by_class.get_mut(class).expect("every limited class has an entry");
                let max_raise = (*class_free).min(total_free);
                let cap = if is_new {
                    // The class was not limited at this router. Its first cap is its in-flight statements and
                    // what is free, up to the target.
                    (current_cap + max_raise).clamp(0, target_cap)
                } else if target_cap <= current_cap {
                    target_cap
                } else {
                    current_cap + (target_cap - current_cap).min(max_raise.max(0))
                };
                let raised_by = if is_new { cap - current_cap } else { (cap - current_cap).max(0) };
                (*class_free, total_free) = (*class_free - raised_by, total_free - raised_by);
                caps.push((*class, cap.max(0) as MilliPermits));
            }
            if self.overloaded_since.is_none() {
                // Routers with caps get an allocation without caps, which lifts the limits.
                caps_by_router.extend((!router.sent.is_empty()).then(|| (*id, Vec::new())));
                continue;
            }
            let unchanged = |(class, cap): &(ClassId, MilliPermits)| {
                router.last_sent_cap(*class).is_some_and(|last| {
                    last.abs_diff(*cap) <= MIN_CAP_CHANGE.max(last / MIN_CAP_CHANGE_DIVISOR)
                })
            };
            let last_cap_count = router.sent.back().map_or(0, |(_, caps)| caps.len());
            let has_changed = !caps.iter().all(unchanged) || last_cap_count != caps.len();
            let is_first = router.sent.is_empty();
            let is_full = router.sent.len() >= MAX_UNACKNOWLEDGED;
            let renewal_is_due = now - router.sent_at >= LEASE_RENEWAL_INTERVAL;
            if !is_full && (is_first || has_changed || renewal_is_due)
                || is_full && renewal_is_due && router.sent.len() < MAX_UNACKNOWLEDGED * 2
            {
                caps_by_router.push((*id, caps));
            }
        }
        caps_by_router
    }
}
