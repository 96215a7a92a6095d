//! This router's side of the division of hosts between services: what is under way and what waits is counted, told to
//! control where it matters, and what is allotted is told to the module, which chooses hosts within it.

use std::collections::BTreeMap;

use arrowyard_config::{Channel, RouteKind as Freshness};
use arrowyard_fair_shares::{
    Allocation, AllocationLeases, DemandMeter, MilliPermits, ServiceDemand, ServiceId, ShareConfig,
    permits_for_slots,
};
use arrowyard_messages::{DemandReport, HostAllocations, HostDemand, Payload, Phase, encode_payload};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{HostId, RouterEvent, TenantId, TimeDelta, Timestamp};

use super::{Alarm, Line, RouterPlane};
use crate::link::Stage;
use crate::routes::Statement as Kind;

/// Needs are looked at so often at most, and told again after so long where nothing moved.
const LOOK: TimeDelta = TimeDelta::from_millis(50);
const AGAIN: TimeDelta = TimeDelta::from_millis(250);
/// What moved by less, in thousandths of a place and as a part of itself, is not told.
const MOVES: MilliPermits = 100;
const MOVES_PART: MilliPermits = 8;

/// A host is divided only where each router's even part of its places, in thousandths, is so much. Danger: of 78 routers each
/// needs its even part whenever two of its statements meet; all of them tell without end, and hosts that idle look pressed
/// (a grown day: a third more bytes between zones, and half as many refusals again).
const LEAST_PART: MilliPermits = 250;

/// What this router knows of shares.
#[derive(Default)]
pub struct Shares {
    pub terms: ShareConfig,
    pub meter: DemandMeter<HostId>,
    holder: AllocationLeases,
    looked_at: Timestamp,
    /// An alarm for the next look is set.
    looks: bool,
    /// What control was told last of each host, and when.
    told: BTreeMap<HostId, (Timestamp, Vec<ServiceDemand>)>,
    /// What was read of each host at the last look.
    needs: BTreeMap<HostId, Vec<ServiceDemand>>,
    /// What the module goes by.
    held: BTreeMap<(HostId, ServiceId), MilliPermits>,
}

fn moved(old: &[ServiceDemand], new: &[ServiceDemand]) -> bool {
    let of = |list: &[ServiceDemand], service| {
        list.iter().copied().find(|need| need.service == service).unwrap_or_default()
    };
    let far = |a: MilliPermits, b: MilliPermits| a.abs_diff(b) > MOVES.max(a.max(b) / MOVES_PART);
    let differs = |need: &ServiceDemand| {
        let (old, new) = (of(old, need.service), of(new, need.service));
        far(old.in_flight, new.in_flight) || far(old.queued, new.queued)
    };
    old.iter().chain(new).any(differs)
}

impl RouterPlane {
    /// What a route counts as.
    pub(super) fn service_of(&mut self, channel: &Channel) -> ServiceId {
        self.shares.terms.service_id(&channel.share)
    }

    /// A session's statement waits for a host.
    pub(super) fn awaits(&mut self, now: Timestamp, conn: Conn, channel: &Channel) {
        let Some(statement) = self.session(conn).and_then(|session| session.asks()) else { return };
        let (kind, service) = (statement.kind, statement.service);
        if kind == Kind::Later {
            return;
        }
        let reads = kind == Kind::Read && channel.kind != Freshness::Primary;
        let hosts = self.module.takers(&channel.service, reads);
        self.shares.meter.add_queued(now, &hosts, service, 1.0);
        if let Some(statement) = self.session(conn).and_then(|session| session.asks()) {
            statement.waits = hosts;
        }
    }

    /// It waits no more.
    pub(super) fn awaits_no_more(&mut self, now: Timestamp, conn: Conn) {
        let Some(statement) = self.session(conn).and_then(|session| session.asks()) else { return };
        let (service, hosts) = (statement.service, std::mem::take(&mut statement.waits));
        if !hosts.is_empty() {
            self.shares.meter.add_queued(now, &hosts, service, -1.0);
        }
    }

    /// Needs are looked at where that was not done for a while.
    pub(super) fn look_now_and_then(&mut self, now: Timestamp, commands: &mut Commands) {
        if now - self.shares.looked_at >= LOOK {
            self.look_at_needs(now, commands);
        }
    }

    /// Tells control what is needed of hosts of which this router alone needs its even part, and of those that control
    /// asks for. Where all need more than there is, one of them needs more than its even part.
    pub(super) fn look_at_needs(&mut self, now: Timestamp, commands: &mut Commands) {
        self.shares.looked_at = now;
        self.shares.needs.clear();
        if !self.configured.configuration.division_enabled() {
            self.shares.holder = AllocationLeases::default();
            return self.hold_to_parts(now);
        }
        let mut hosts = Vec::new();
        let all: Vec<HostId> = self.shares.meter.hosts().collect();
        for host in all {
            let needs = self.shares.meter.read(now, host);
            let sum: f64 = needs.iter().map(|need| f64::from(need.in_flight) + f64::from(need.queued)).sum();
            let known = &self.module.host(host).host;
            if known.phase() == Phase::Gone && self.shares.meter.is_idle(host) {
                self.shares.meter.forget(host);
            }
            let (id, group, slots) = (known.id.clone(), known.service.clone(), known.capacity);
            let coarse = permits_for_slots(slots) / self.routers.max(1) >= LEAST_PART;
            let asked = coarse && self.shares.holder.is_polled(now, &id);
            let much = coarse && sum * f64::from(self.routers) >= f64::from(permits_for_slots(slots));
            let last = self.shares.told.get(&host);
            let due = match last {
                Some((at, old)) => now - *at >= AGAIN || moved(old, &needs),
                None => sum > 0.0,
            };
            if !(asked || much) {
                if self.shares.told.remove(&host).is_none() {
                    continue;
                }
                // Control hears that it is over.
            } else if !due {
                self.shares.needs.insert(host, needs);
                continue;
            } else {
                self.shares.told.insert(host, (now, needs.clone()));
            }
            let (fence, answers) = self.shares.holder.last_applied(&id);
            let need = |need: &ServiceDemand| arrowyard_messages::ServiceDemand {
                service: self.shares.terms.service_name(need.service).to_string(),
                running_milli: need.in_flight,
                waiting_milli: need.queued,
            };
            let list = needs.iter().filter(|need| need.in_flight > 0 || need.queued > 0).map(need).collect();
            hosts.push(HostDemand { host: id, slots, fence, answers, services: list, group });
            self.shares.needs.insert(host, needs);
        }
        if let Some(conn) = self.feed.open_conn().filter(|_| !hosts.is_empty()) {
            let echo = self.shares.holder.next_report(now);
            commands.write(
                conn,
                &[&encode_payload(Payload::DemandReport(DemandReport {
                    router: self.incarnation,
                    echo,
                    hosts,
                }))],
            );
        }
        self.shares.holder.sweep(now);
        self.hold_to_parts(now);
        self.look_again(now);
    }

    /// While anything was told or is held, needs are looked at though nothing comes.
    fn look_again(&mut self, now: Timestamp) {
        let busy = !self.shares.told.is_empty() || self.shares.holder.overloaded_hosts().next().is_some();
        if busy && !self.shares.looks {
            self.shares.looks = true;
            self.timers.set(now + LOOK, Alarm::Shares);
        }
    }

    pub(super) fn shares_due(&mut self, now: Timestamp, commands: &mut Commands) {
        self.shares.looks = false;
        self.look_at_needs(now, commands);
    }

    /// Control asks what is needed of hosts.
    pub(super) fn hosts_pressed(&mut self, now: Timestamp, hosts: &[String], commands: &mut Commands) {
        hosts.iter().for_each(|host| self.shares.holder.record_poll(now, host));
        self.look_now_and_then(now, commands);
        self.look_again(now);
    }

    /// Whoever divides says what this router may have of hosts.
    pub(super) fn take_allots(&mut self, now: Timestamp, allots: HostAllocations, commands: &mut Commands) {
        if allots.router != self.incarnation {
            return;
        }
        for allot in allots.allocations {
            let caps = allot
                .caps
                .iter()
                .map(|cap| (self.shares.terms.service_id(&cap.service), cap.cap_milli))
                .collect();
            let allot = Allocation {
                host: allot.host,
                fence: allots.fence,
                number: allot.number,
                report: allot.echo,
                overloaded: allot.overloaded,
                caps,
                permits: allot.capacity_milli,
                routers: allot.routers,
            };
            self.shares.holder.apply(now, allot);
        }
        self.hold_to_parts(now);
        self.look_now_and_then(now, commands);
        self.look_again(now);
    }

    /// The feed is new.
    pub(super) fn renew_shares(&mut self, now: Timestamp) {
        self.shares.holder.drop_expired(now);
        self.hold_to_parts(now);
    }

    /// Tells the module what of the parts is new to it.
    fn hold_to_parts(&mut self, now: Timestamp) {
        let mut held = BTreeMap::new();
        for name in self.shares.holder.overloaded_hosts() {
            let Some(host) = self.module.id_of(name) else { continue };
            let needs = self.shares.needs.get(&host).map_or(&[][..], Vec::as_slice);
            for (service, cap) in self.shares.holder.caps(now, name, needs, &self.shares.terms) {
                held.insert((host, service), cap);
            }
        }
        let old = std::mem::replace(&mut self.shares.held, held);
        let new = self.shares.held.clone();
        for ((host, service), cap) in &new {
            if old.get(&(*host, *service)) != Some(cap) {
                let most = Some(f64::from(*cap) / 1000.0);
                self.note(
                    now,
                    RouterEvent::TenantLimit {
                        host: *host,
                        tenant: TenantId(service.0),
                        max_in_flight: most,
                    },
                );
            }
        }
        for (host, service) in old.keys().filter(|key| !new.contains_key(key)) {
            self.note(
                now,
                RouterEvent::TenantLimit { host: *host, tenant: TenantId(service.0), max_in_flight: None },
            );
        }
    }

    /// Which of those that wait for a connection to a host gets the one that is free: of the services that wait, the one
    /// that holds the fewest by its weight; of that one, whoever waits longest.
    pub(super) fn next_waiting(&self, host: HostId) -> usize {
        let waiting = &self.pools[host.0 as usize].waiting;
        let first = waiting.front().map(|(_, sent)| sent.service);
        if waiting.iter().all(|(_, sent)| Some(sent.service) == first) {
            return 0;
        }
        let mut held: BTreeMap<ServiceId, f64> = BTreeMap::new();
        for line in self.lines.values() {
            if let Line::HostConnection(link) = line
                && link.host == host
                && let (Stage::Held(_), Some(service)) = (link.stage, link.service)
            {
                *held.entry(service).or_default() += 1.0;
            }
        }
        let has = |service: ServiceId| {
            held.get(&service).copied().unwrap_or(0.0) / self.shares.terms.weight(service).max(1e-9)
        };
        let places = waiting.iter().enumerate().map(|(place, (_, sent))| (has(sent.service), place));
        places.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map_or(0, |(_, place)| place)
    }

    /// A send of a statement has ended, and the statement has not: it waits for a host again.
    pub(super) fn waits_again(&mut self, now: Timestamp, conn: Conn) {
        let Some(Line::Client(session)) = self.lines.get(&conn) else { return };
        let inside = session.transaction.as_ref().map(|transaction| transaction.channel.clone());
        let channel = inside.or_else(|| self.configured.routes.of(&session.database).cloned());
        self.awaits_no_more(now, conn);
        channel.into_iter().for_each(|channel| self.awaits(now, conn, &channel));
    }
}
