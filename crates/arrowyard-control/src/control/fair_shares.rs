//! Allocation of overloaded hosts to classes of requests, each of which the operator configures as a share.
//! The duty holder allocates; the other control machines forward messages to and from the routers subscribed
//! to them.

use arrowyard_fair_shares::{Allocator, ClassDemand, ClassStatus, HostInfo, RouterId, ShareConfig};
use arrowyard_messages::{
    DemandReport, HostAllocation, HostAllocations, HostDemand, OverloadedHosts, Payload, ServiceCap,
};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{TimeDelta, Timestamp};
use rustc_hash::FxHashMap;

use super::{Connection, Control};

/// How long the previous holder may still allocate before it notices that it is partitioned.
const PREVIOUS_HOLDER_TIMEOUT: TimeDelta = TimeDelta::from_millis(1750);
/// Limit of the routers whose control machine is remembered.
const MAX_ROUTERS: usize = 65_536;

/// Allocation state of a control machine.
#[derive(Default)]
pub struct Shares {
    config: ShareConfig,
    /// Slot of the configuration that `config` was read from.
    slot: u64,
    /// Present while this machine holds the duty.
    allocator: Option<Allocator>,
    /// By incarnation of the router: the control machine that it is subscribed to; `None` if that is this
    /// one.
    next_hops: FxHashMap<u64, Option<u32>>,
}

impl Shares {
    /// Status of each class at each host with the name of the class; empty without the duty.
    pub fn status(&self) -> Vec<(ClassStatus, &str)> {
        let rows = self.allocator.iter().flat_map(Allocator::status);
        rows.map(|row| {
            let name = self.config.class_name(row.class);
            (row, name)
        })
        .collect()
    }
}

impl Control {
    /// Creates or drops the allocator when the duty is taken up or given up.
    pub(super) fn start_allocator(&mut self, now: Timestamp, after_another_holder: bool) {
        let handover_wait = if after_another_holder { PREVIOUS_HOLDER_TIMEOUT } else { TimeDelta::ZERO };
        self.shares.allocator = self.fence.map(|fence| Allocator::start(now, fence, handover_wait));
    }

    /// Handles a demand report from a router, or from the control machine that it is subscribed to.
    pub(super) fn handle_demand(
        &mut self,
        now: Timestamp,
        from: Option<u32>,
        report: DemandReport,
        commands: &mut Commands,
    ) {
        if self.shares.allocator.is_none() {
            // Forwarded once, to the duty holder only.
            let holder = self
                .replicated_log
                .applied()
                .duties
                .get(crate::applied_state::PROMOTION_DUTY)
                .map(|duty| duty.holder);
            if let Some(holder) = holder.filter(|holder| from.is_none() && *holder != self.local_ip) {
                self.send_to_peer(holder, &Payload::DemandReport(report), commands);
            }
            return;
        }
        self.update_shares_config();
        if !self.replicated_log.applied().configuration.division_enabled() {
            return;
        }
        let Shares { config, allocator, next_hops, .. } = &mut self.shares;
        let Some(allocator) = allocator else { return };
        if next_hops.len() >= MAX_ROUTERS {
            next_hops.clear();
        }
        next_hops.insert(report.router, from);
        for HostDemand { host, slots, fence, allocation_number, services, group } in report.hosts {
            let decode = |demand: arrowyard_messages::ServiceDemand| ClassDemand {
                class: config.class_id(&demand.service),
                in_flight: demand.running_milli,
                queued: demand.waiting_milli,
            };
            // A number given under another fence acknowledges no allocation of this allocator.
            let acknowledged = if Some(fence) == self.fence { allocation_number } else { 0 };
            let demands = services.into_iter().take(MAX_CLASSES_PER_REPORT).map(decode).collect();
            let host_info = HostInfo { id: &host, group: &group, capacity: slots };
            allocator.record_demand(
                now,
                &host_info,
                RouterId(report.router),
                (report.number, acknowledged),
                demands,
            );
        }
        self.allocate_shares(now, commands);
    }

    fn update_shares_config(&mut self) {
        let applied = self.replicated_log.applied();
        if self.shares.slot != applied.slot {
            self.shares.slot = applied.slot;
            self.shares.config.apply_configuration(&applied.configuration);
        }
    }

    /// Computes the allocations that are due and sends them.
    pub(super) fn allocate_shares(&mut self, now: Timestamp, commands: &mut Commands) {
        let (routers, fence) = (self.routers, self.fence.unwrap_or_default());
        let Shares { config, allocator, next_hops, .. } = &mut self.shares;
        let Some(allocator) = allocator else { return };
        let round = allocator.allocate(now, config, routers);
        let mut by_router: std::collections::BTreeMap<u64, Vec<HostAllocation>> =
            std::collections::BTreeMap::new();
        for (router, allocation) in round.allocations {
            let caps = allocation.caps.iter();
            let cap = |(class, cap): &(_, u32)| ServiceCap {
                service: config.class_name(*class).to_string(),
                cap_milli: *cap,
            };
            by_router.entry(router.0).or_default().push(HostAllocation {
                host: allocation.host,
                number: allocation.number,
                report_number: allocation.report,
                overloaded: allocation.overloaded,
                caps: caps.map(cap).collect(),
                capacity_milli: allocation.permits,
                routers: allocation.routers,
            });
        }
        let by_next_hop: Vec<(Option<u32>, HostAllocations)> = by_router
            .into_iter()
            .filter_map(|(router, allocations)| {
                Some((*next_hops.get(&router)?, HostAllocations { router, fence, allocations }))
            })
            .collect();
        for (next_hop, allocations) in by_next_hop {
            match next_hop {
                Some(peer) => self.send_to_peer(peer, &Payload::HostAllocations(allocations), commands),
                None => self.forward_allocations(allocations, commands),
            }
        }
        if !round.poll.is_empty() {
            let message = Payload::OverloadedHosts(OverloadedHosts { hosts: round.poll });
            self.broadcast_to_peers(&message, commands);
            self.forward_overload(&message, commands);
        }
    }

    /// Sends allocations to a router subscribed here, if it still is.
    pub(super) fn forward_allocations(&mut self, allocations: HostAllocations, commands: &mut Commands) {
        let subscribed = self
            .subscribed_routers()
            .find(|(_, router)| router.incarnation == allocations.router)
            .map(|(conn, _)| conn);
        if let Some(conn) = subscribed {
            self.send(conn, Payload::HostAllocations(allocations), commands);
        }
    }

    /// Asks the subscribed routers for their demand at overloaded hosts.
    pub(super) fn forward_overload(&mut self, message: &Payload, commands: &mut Commands) {
        let mut subscribed: Vec<Conn> = self
            .connections
            .iter()
            .filter_map(|(conn, connection)| matches!(connection, Connection::Router(_)).then_some(*conn))
            .collect();
        subscribed.sort_unstable();
        subscribed.into_iter().for_each(|conn| self.send(conn, message.clone(), commands));
    }
}

/// Limit of the classes in one router's report for one host.
const MAX_CLASSES_PER_REPORT: usize = 256;
