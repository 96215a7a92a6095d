//! The division of pressed hosts between services: whoever holds the duty divides, the others carry words to and from the
//! routers that they feed.

use arrowyard_fair_shares::{Allocator, HostInfo, RouterId, ServiceDemand, ServiceStatus, ShareConfig};
use arrowyard_messages::{
    DemandReport, HostAllocation, HostAllocations, HostDemand, OverloadedHosts, Payload, ServiceCap,
};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{TimeDelta, Timestamp};
use rustc_hash::FxHashMap;

use super::{Control, Line};

/// How long whoever held the duty before may go on dividing: till it notices that it is cut off.
const BEFORE: TimeDelta = TimeDelta::from_millis(1750);
/// Routers whose control machine is remembered.
const MOST_ROUTERS: usize = 65_536;

/// What a control machine knows of shares.
#[derive(Default)]
pub struct Shares {
    terms: ShareConfig,
    /// The slot of the configuration that the terms are of.
    slot: u64,
    /// While it holds the duty.
    allotter: Option<Allocator>,
    /// By way of which control machine each router is reached; none where it is fed here.
    ways: FxHashMap<u64, Option<u32>>,
}

impl Shares {
    pub fn shown(&self) -> Vec<(ServiceStatus, &str)> {
        let rows = self.allotter.iter().flat_map(Allocator::status);
        rows.map(|row| {
            let name = self.terms.service_name(row.service);
            (row, name)
        })
        .collect()
    }
}

impl Control {
    /// The duty was taken up, or laid down.
    pub(super) fn divide_from(&mut self, now: Timestamp, after_another: bool) {
        let waits = if after_another { BEFORE } else { TimeDelta::ZERO };
        self.shares.allotter = self.fence.map(|fence| Allocator::start(now, fence, waits));
    }

    /// A router's needs, from itself or from the control machine that feeds it.
    pub(super) fn needs(
        &mut self,
        now: Timestamp,
        from: Option<u32>,
        needs: DemandReport,
        commands: &mut Commands,
    ) {
        if self.shares.allotter.is_none() {
            // It is passed on once, to the holder alone.
            let holder = self
                .ledger
                .applied()
                .duties
                .get(crate::applied_state::PROMOTION_DUTY)
                .map(|duty| duty.holder);
            if let Some(holder) = holder.filter(|holder| from.is_none() && *holder != self.me) {
                self.say_to_peer(holder, &Payload::DemandReport(needs), commands);
            }
            return;
        }
        self.read_terms();
        if !self.ledger.applied().configuration.division_enabled() {
            return;
        }
        let Shares { terms, allotter, ways, .. } = &mut self.shares;
        let Some(allotter) = allotter else { return };
        if ways.len() >= MOST_ROUTERS {
            ways.clear();
        }
        ways.insert(needs.router, from);
        for HostDemand { host, slots, fence, answers, services: list, group } in needs.hosts {
            let need = |need: arrowyard_messages::ServiceDemand| ServiceDemand {
                service: terms.service_id(&need.service),
                in_flight: need.running_milli,
                queued: need.waiting_milli,
            };
            let answers = if Some(fence) == self.fence { answers } else { 0 };
            let list = list.into_iter().take(MOST_SERVICES).map(need).collect();
            let at = HostInfo { id: &host, group: &group, slots };
            allotter.record_demand(now, &at, RouterId(needs.router), (needs.echo, answers), list);
        }
        self.divide(now, commands);
    }

    fn read_terms(&mut self) {
        let applied = self.ledger.applied();
        if self.shares.slot != applied.slot {
            self.shares.slot = applied.slot;
            self.shares.terms.apply_configuration(&applied.configuration);
        }
    }

    /// Divides what is due, and says what came of it.
    pub(super) fn divide(&mut self, now: Timestamp, commands: &mut Commands) {
        let (routers, fence) = (self.routers, self.fence.unwrap_or_default());
        let Shares { terms, allotter, ways, .. } = &mut self.shares;
        let Some(allotter) = allotter else { return };
        let division = allotter.allocate(now, terms, routers);
        let mut by_router: std::collections::BTreeMap<u64, Vec<HostAllocation>> =
            std::collections::BTreeMap::new();
        for (router, allot) in division.allocations {
            let caps = allot.caps.iter();
            let cap = |(of, cap): &(_, u32)| ServiceCap {
                service: terms.service_name(*of).to_string(),
                cap_milli: *cap,
            };
            by_router.entry(router.0).or_default().push(HostAllocation {
                host: allot.host,
                number: allot.number,
                echo: allot.report,
                overloaded: allot.overloaded,
                caps: caps.map(cap).collect(),
                capacity_milli: allot.permits,
                routers: allot.routers,
            });
        }
        let said: Vec<(Option<u32>, HostAllocations)> = by_router
            .into_iter()
            .filter_map(|(router, allots)| {
                Some((*ways.get(&router)?, HostAllocations { router, fence, allocations: allots }))
            })
            .collect();
        for (way, allots) in said {
            match way {
                Some(peer) => self.say_to_peer(peer, &Payload::HostAllocations(allots), commands),
                None => self.allots(allots, commands),
            }
        }
        if !division.poll.is_empty() {
            let word = Payload::OverloadedHosts(OverloadedHosts { hosts: division.poll });
            self.say_to_peers(&word, commands);
            self.pressed(&word, commands);
        }
    }

    /// Parts for a router that is fed here, or was.
    pub(super) fn allots(&mut self, allots: HostAllocations, commands: &mut Commands) {
        let fed =
            self.routers_fed().find(|(_, router)| router.incarnation == allots.router).map(|(conn, _)| conn);
        if let Some(conn) = fed {
            self.say(conn, Payload::HostAllocations(allots), commands);
        }
    }

    /// Routers are asked what they need of hosts that are pressed.
    pub(super) fn pressed(&mut self, word: &Payload, commands: &mut Commands) {
        let mut fed: Vec<Conn> = self
            .lines
            .iter()
            .filter_map(|(conn, line)| matches!(line, Line::Router(_)).then_some(*conn))
            .collect();
        fed.sort_unstable();
        fed.into_iter().for_each(|conn| self.say(conn, word.clone(), commands));
    }
}

/// Services of one router at one host.
const MOST_SERVICES: usize = 256;
