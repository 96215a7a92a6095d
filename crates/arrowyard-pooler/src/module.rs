//! The module, and the names and numbers that it knows hosts by.

use std::net::{Ipv4Addr, SocketAddrV4};

use arrowyard::Router;
use arrowyard_messages::{DbRole, Host, Phase};
use arrowyard_types::{
    Action, Availability, GroupId, GroupMembership, HostEntry, HostId, ListKind, Role, RouterEvent,
    RouterSettings, SettingValue, TimeDelta, Timestamp, ZoneId,
};
use rustc_hash::{FxHashMap, FxHashSet};
use smallvec::SmallVec;

use crate::routes::Groups;

/// The module reckons in this span where it has to wait or to rest; a connection inside a region opens well within.
const CONNECT: TimeDelta = TimeDelta::from_millis(250);
/// Ops that are held are looked at again so often.
const TICK: TimeDelta = TimeDelta::from_millis(10);
/// Whoever is given up is told to come back after so long.
pub const COME_BACK: TimeDelta = TimeDelta::from_millis(100);
/// A host with so much capacity counts as one of the usual size.
const USUAL: f64 = 4.0;
/// Sends of one op, of the statements that may be sent again.
const SENDS: f64 = 3.0;
/// An op without a host is held for this part of its latency target.
const HELD: f64 = 0.24;
/// Hosts close a connection that rests longer; the module takes it as open for so long.
const IDLE_CLOSE: TimeDelta = TimeDelta::from_millis(60_000);

/// What the module is told at the start.
pub fn manifest() -> RouterSettings {
    let text = |text: &str| SettingValue::Text(text.to_string());
    RouterSettings::from([
        ("routers".to_string(), SettingValue::Number(1.0)),
        ("connect_timeout".to_string(), SettingValue::TimeDelta(CONNECT)),
        ("tick".to_string(), SettingValue::TimeDelta(TICK)),
        ("max_sends".to_string(), SettingValue::Number(SENDS)),
        ("held".to_string(), SettingValue::Number(HELD)),
        ("idle_close".to_string(), SettingValue::TimeDelta(IDLE_CLOSE)),
        ("ask_within".to_string(), SettingValue::TimeDelta(TimeDelta::from_millis(10_000))),
        ("fall".to_string(), SettingValue::TimeDelta(TimeDelta::from_millis(1500))),
        ("retry_after".to_string(), SettingValue::Flag(true)),
        ("max_retry_after".to_string(), SettingValue::TimeDelta(COME_BACK)),
        ("probes".to_string(), SettingValue::Flag(true)),
        ("reports".to_string(), text("pull")),
        // Hosts check what a read must see: AFTER.
        ("host_checks".to_string(), text("told")),
        ("list".to_string(), text("pushed")),
        ("tokens".to_string(), text("router")),
        // Hosts may be divided between tenants: services, in the operator's words.
        ("tenants_held".to_string(), SettingValue::Flag(true)),
    ])
}

/// A host, as this router knows it.
#[derive(Clone, Debug)]
pub struct Known {
    pub host: Host,
    pub address: SocketAddrV4,
    /// Since when it is known that the host is to end.
    draining_since: Option<Timestamp>,
}

impl Known {
    /// Until when the host, as a primary that is to end, still takes what only it can take.
    fn serves_until(&self, drain: TimeDelta) -> Option<Timestamp> {
        let since = self.draining_since.filter(|_| self.host.role() == DbRole::Primary)?;
        Some(since + drain)
    }
}

/// The module with its list of hosts.
pub struct Module {
    router: Router,
    by_name: FxHashMap<String, HostId>,
    hosts: Vec<Known>,
    zones: FxHashMap<String, ZoneId>,
    pub groups: Groups,
    drain: TimeDelta,
    /// Services that somebody asked for. Danger: the module looks at each of its hosts ten times a second; of thousands of
    /// services a router's clients use some.
    listed: FxHashSet<GroupId>,
    by_group: FxHashMap<GroupId, Vec<HostId>>,
    /// Primaries that are to end.
    ending: Vec<(Timestamp, HostId)>,
}

impl Module {
    /// `drain` is how long a host that is to end still takes statements.
    pub fn start(now: Timestamp, seed: u64, drain: TimeDelta, actions: &mut Vec<Action>) -> Self {
        Module {
            drain,
            router: Router::start(now, seed, manifest(), actions),
            by_name: FxHashMap::default(),
            hosts: Vec::new(),
            zones: FxHashMap::default(),
            groups: Groups::default(),
            listed: FxHashSet::default(),
            by_group: FxHashMap::default(),
            ending: Vec::new(),
        }
    }

    pub fn take(&mut self, now: Timestamp, note: RouterEvent, actions: &mut Vec<Action>) {
        self.router.handle(now, note, actions);
    }

    pub fn host(&self, id: HostId) -> &Known {
        &self.hosts[id.0 as usize]
    }

    pub fn hosts(&self) -> impl Iterator<Item = &Known> {
        self.hosts.iter()
    }

    pub fn id_of(&self, name: &str) -> Option<HostId> {
        self.by_name.get(name).copied()
    }

    /// Hosts of a service that may take a read, or else what only its primary may take. Danger: reads that find no room
    /// at replicas go to the primary; whoever counts them as waiting for replicas alone lets them all go there at once.
    pub fn takers(&self, service: &str, reads: bool) -> SmallVec<[HostId; 4]> {
        let group = self.groups.get(service).and_then(|group| self.by_group.get(&group));
        let fits = |id: &HostId| {
            let host = &self.host(*id).host;
            host.phase() == Phase::InService && (reads || host.role() == DbRole::Primary)
        };
        group.into_iter().flatten().copied().filter(fits).collect()
    }

    fn entry(&mut self, now: Timestamp, id: HostId) -> HostEntry {
        let known = self.hosts[id.0 as usize].clone();
        let until = known.serves_until(self.drain);
        let host = known.host;
        let zones = self.zones.len() as u32;
        let zone = *self.zones.entry(host.zone.clone()).or_insert(ZoneId(zones));
        let availability = match host.phase() {
            Phase::InService => Availability::Ready,
            Phase::Draining if until.is_some_and(|until| now < until) => Availability::Ready,
            Phase::Draining => Availability::Draining,
            Phase::Gone => Availability::Gone,
        };
        HostEntry {
            host: id,
            address_hash: id.0,
            availability,
            memberships: [GroupMembership { group: self.groups.id(&host.service), primary_only: false }]
                .into_iter()
                .collect(),
            zone,
            size: f64::from(host.capacity.max(1)) / USUAL,
            is_primary: host.role() == DbRole::Primary,
            started_at: None,
        }
    }

    /// Somebody asks for a service: from now on the module knows its hosts.
    pub fn want(&mut self, now: Timestamp, service: &str, actions: &mut Vec<Action>) -> GroupId {
        let group = self.groups.id(service);
        if self.by_group.contains_key(&group) && self.listed.insert(group) {
            let ids = self.by_group.get(&group).cloned().unwrap_or_default();
            let entries = ids.into_iter().map(|id| self.entry(now, id)).collect();
            self.take(now, RouterEvent::HostList { kind: ListKind::Incremental, entries }, actions);
        }
        group
    }

    /// When a primary that is to end takes nothing more.
    pub fn due(&self) -> Option<Timestamp> {
        self.ending.iter().map(|(until, _)| *until).min()
    }

    pub fn woke(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let late: Vec<(Timestamp, HostId)> = self.ending.extract_if(.., |(until, _)| *until <= now).collect();
        for (_, id) in late {
            let entry = self.entry(now, id);
            let host = &self.hosts[id.0 as usize].host;
            if self.groups.get(&host.service).is_some_and(|group| self.listed.contains(&group)) {
                self.take(
                    now,
                    RouterEvent::HostList { kind: ListKind::Incremental, entries: vec![entry] },
                    actions,
                );
            }
        }
    }

    /// Since when a host is to end, as far as is known here. Safety: it keeps its first time, whatever it leads or does not
    /// lead meanwhile, since the bound on what it may still be asked runs from what it was told first. Where this router
    /// has never seen it in service, it may have said so long ago. A primary that is closed at once, on the other hand,
    /// leaves no one to write to until its successor leads.
    fn draining_since(&self, now: Timestamp, id: HostId, is_known: bool) -> Timestamp {
        let known = self.hosts.get(id.0 as usize).filter(|_| is_known);
        known.map_or(now - self.drain, |known| known.draining_since.unwrap_or(now))
    }

    /// News of hosts. What is older than what is known, by the number of the host's own calls, is passed over.
    pub fn learn(&mut self, now: Timestamp, news: &[Host], actions: &mut Vec<Action>) {
        let mut entries = Vec::new();
        let mut named = Vec::new();
        for host in news {
            let known = self.by_name.get(&host.id).map(|id| &self.hosts[id.0 as usize]);
            let before = known.map(|known| (known.host.call_seq, known.host.phase(), known.host.role));
            if before.is_some_and(|(seq, phase, _)| {
                phase == Phase::Gone || seq >= host.call_seq && host.phase() != Phase::Gone
            }) {
                continue;
            }
            let address = SocketAddrV4::new(Ipv4Addr::from(host.ip), host.port as u16);
            let id = *self.by_name.entry(host.id.clone()).or_insert(HostId(self.hosts.len() as u32));
            let primary = host.role() == DbRole::Primary;
            let draining_since =
                (host.phase() == Phase::Draining).then(|| self.draining_since(now, id, before.is_some()));
            let known = Known { host: host.clone(), address, draining_since };
            self.ending.retain(|(_, ending)| *ending != id);
            self.ending.extend(known.serves_until(self.drain).map(|until| (until, id)));
            let group = self.groups.id(&host.service);
            match self.hosts.get_mut(id.0 as usize) {
                Some(place) => *place = known,
                None => {
                    self.hosts.push(known);
                    self.by_group.entry(group).or_default().push(id);
                }
            }
            if !self.listed.contains(&group) {
                continue;
            }
            entries.push(self.entry(now, id));
            if before.is_none_or(|(_, _, role)| role != host.role) && (primary || before.is_some()) {
                named.push(RouterEvent::RoleAssigned {
                    host: id,
                    role: if primary { Role::Primary } else { Role::Replica },
                });
            }
        }
        if !entries.is_empty() {
            self.take(now, RouterEvent::HostList { kind: ListKind::Incremental, entries }, actions);
        }
        // Whoever ceased to lead first, so that the last word is of whoever leads.
        named.sort_by_key(|note| matches!(note, RouterEvent::RoleAssigned { role: Role::Primary, .. }));
        named.into_iter().for_each(|note| self.take(now, note, actions));
    }
}
