//! The allocations that a router holds, and their leases. A lease runs from when the router sent the report
//! that the allocation answers. Without renewal the caps shrink to the router's equal part of the host's
//! permits and never grow.

use std::collections::BTreeMap;

use arrowyard_types::{TimeDelta, Timestamp};

use crate::max_min::weighted_max_min;
use crate::{Allocation, ClassDemand, ClassId, MilliPermits, ShareConfig};

/// How long an allocation is valid after the report that it answers. Its caps shrink in the second half of
/// this time.
pub const ALLOCATION_LEASE: TimeDelta = TimeDelta::from_millis(1000);
/// How long after the last poll the demand for a host is still reported.
const POLL_VALIDITY: TimeDelta = TimeDelta::from_millis(1500);
/// The maximum number of reports whose send times are kept.
const MAX_REPORTS: usize = 256;
/// A host counts as overloaded for this long after the last renewal of its allocation.
const ALLOCATION_RETENTION: TimeDelta = TimeDelta::from_millis(60_000);

#[derive(Clone, Debug)]
struct LeasedAllocation {
    allocation: Allocation,
    lease_start: Timestamp,
}

/// All allocations of one router.
#[derive(Clone, Debug, Default)]
pub struct AllocationLeases {
    allocations: BTreeMap<String, LeasedAllocation>,
    /// Send times of the latest reports, by number.
    report_times: BTreeMap<u64, Timestamp>,
    last_report: u64,
    /// Fence and number of the newest allocation that was applied, by host.
    applied: BTreeMap<String, (u64, u64)>,
    /// When the allocator last polled the demand for a host.
    polled: BTreeMap<String, Timestamp>,
}

impl AllocationLeases {
    /// The number of the next demand report, which is sent now.
    pub fn next_report(&mut self, now: Timestamp) -> u64 {
        self.last_report += 1;
        self.report_times.insert(self.last_report, now);
        while self.report_times.len() > MAX_REPORTS {
            self.report_times.pop_first();
        }
        self.last_report
    }

    /// The fence and number of the last allocation that was applied for a host.
    #[must_use]
    pub fn last_applied(&self, host: &str) -> (u64, u64) {
        self.applied.get(host).copied().unwrap_or_default()
    }

    /// Applies an allocation. Returns false if it is ignored: it is not newer than the last one, or it
    /// answers a report whose send time is no longer kept.
    pub fn apply(&mut self, now: Timestamp, allocation: Allocation) -> bool {
        let newest = self.last_applied(&allocation.host);
        if (allocation.fence, allocation.number) <= newest {
            return false;
        }
        // The lease runs from the report, since the allocation may be delayed for longer than the lease.
        // A router without a report (0) gets no permits of limited classes, so the delay is harmless.
        let lease_start = if allocation.report == 0 {
            Some(now)
        } else {
            self.report_times.get(&allocation.report).copied()
        };
        let Some(lease_start) = lease_start else { return false };
        self.applied.insert(allocation.host.clone(), (allocation.fence, allocation.number));
        if allocation.overloaded {
            self.allocations.insert(allocation.host.clone(), LeasedAllocation { allocation, lease_start });
        } else {
            self.allocations.remove(&allocation.host);
        }
        true
    }

    /// Records that the allocator polls the demand for a host.
    pub fn record_poll(&mut self, now: Timestamp, host: &str) {
        self.polled.insert(host.to_string(), now);
    }

    /// Whether the demand for a host is to be reported even if it is small.
    #[must_use]
    pub fn is_polled(&self, now: Timestamp, host: &str) -> bool {
        self.is_overloaded(host) || self.polled.get(host).is_some_and(|at| now - *at < POLL_VALIDITY)
    }

    /// Hosts with an allocation in force, which are the ones known to be overloaded.
    pub fn overloaded_hosts(&self) -> impl Iterator<Item = &str> {
        self.allocations.keys().map(String::as_str)
    }

    /// Whether a host has an allocation in force.
    #[must_use]
    pub fn is_overloaded(&self, host: &str) -> bool {
        self.allocations.contains_key(host)
    }

    /// Drops expired allocations, after a reconnect to control: control sends the allocations of overloaded
    /// hosts again.
    pub fn drop_expired(&mut self, now: Timestamp) {
        self.allocations.retain(|_, leased| now - leased.lease_start < ALLOCATION_LEASE);
    }

    /// Drops allocations, polls and numbers that were not renewed for a long time.
    pub fn sweep(&mut self, now: Timestamp) {
        self.allocations.retain(|_, leased| now - leased.lease_start < ALLOCATION_RETENTION);
        self.polled.retain(|_, at| now - *at < POLL_VALIDITY);
        self.applied.retain(|host, _| self.allocations.contains_key(host) || self.polled.contains_key(host));
    }

    /// The current cap on in-flight statements at a host, by class; classes that are not named are not
    /// limited. `demands` is this router's current demand there.
    #[must_use]
    pub fn caps(
        &self,
        now: Timestamp,
        host: &str,
        demands: &[ClassDemand],
        config: &ShareConfig,
    ) -> Vec<(ClassId, MilliPermits)> {
        let Some(leased) = self.allocations.get(host) else { return Vec::new() };
        let age = now - leased.lease_start;
        if age < ALLOCATION_LEASE * 0.5 {
            return leased.allocation.caps.clone();
        }
        let fallback = leased.fallback_caps(demands, config);
        let remaining_fraction =
            (1.0 - (age - ALLOCATION_LEASE * 0.5) / (ALLOCATION_LEASE * 0.5)).clamp(0.0, 1.0);
        let shrink = |(class, cap): &(ClassId, MilliPermits)| {
            let fallback =
                fallback.iter().find(|(other, _)| other == class).map_or(0, |(_, cap)| *cap).min(*cap);
            let cap = f64::from(fallback) + f64::from(cap - fallback) * remaining_fraction;
            (*class, cap as MilliPermits)
        };
        leased.allocation.caps.iter().map(shrink).collect()
    }
}

impl LeasedAllocation {
    /// This router's equal part of the host's permits, divided between its own classes.
    fn fallback_caps(&self, demands: &[ClassDemand], config: &ShareConfig) -> Vec<(ClassId, MilliPermits)> {
        let permits = f64::from(self.allocation.permits) / 1000.0 / f64::from(self.allocation.routers.max(1));
        let demands: Vec<(ClassId, f64)> = demands
            .iter()
            .map(|demand| (demand.class, (f64::from(demand.in_flight) + f64::from(demand.queued)) / 1000.0))
            .collect();
        let shares = weighted_max_min(permits, &config.contenders(permits, &demands));
        demands
            .iter()
            .zip(shares)
            .map(|((class, _), share)| (*class, (share * 1000.0) as MilliPermits))
            .collect()
    }
}
