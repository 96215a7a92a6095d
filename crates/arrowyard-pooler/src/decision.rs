//! The decision module, and the mapping between host names and its numbers.

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

/// The unit of the decision module's waits and cool-downs; a connection within a region opens well within
/// it.
const CONNECT_TIMEOUT: TimeDelta = TimeDelta::from_millis(250);
/// Interval at which queued ops are checked again.
const QUEUE_CHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(10);
/// Retry delay given to clients whose statement was rejected without a delay of its own.
pub const DEFAULT_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(100);
/// The configured capacity of a host of size 1.
const STANDARD_CAPACITY: f64 = 4.0;
/// Maximum sends of one op whose statement is retryable.
const MAX_SENDS: f64 = 3.0;
/// Maximum time that an op without a host is queued, as a fraction of its latency target.
const QUEUE_TIME_FRACTION: f64 = 0.24;
/// Hosts close connections that were idle for longer; the decision module counts them as open until then.
const HOST_IDLE_TIMEOUT: TimeDelta = TimeDelta::from_millis(60_000);

/// The initial settings of the decision module.
pub fn router_settings() -> RouterSettings {
    let text = |text: &str| SettingValue::Text(text.to_string());
    RouterSettings::from([
        ("routers".to_string(), SettingValue::Number(1.0)),
        ("connect_timeout".to_string(), SettingValue::TimeDelta(CONNECT_TIMEOUT)),
        ("tick".to_string(), SettingValue::TimeDelta(QUEUE_CHECK_INTERVAL)),
        ("max_sends".to_string(), SettingValue::Number(MAX_SENDS)),
        ("held".to_string(), SettingValue::Number(QUEUE_TIME_FRACTION)),
        ("idle_close".to_string(), SettingValue::TimeDelta(HOST_IDLE_TIMEOUT)),
        ("ask_within".to_string(), SettingValue::TimeDelta(TimeDelta::from_millis(10_000))),
        ("fall".to_string(), SettingValue::TimeDelta(TimeDelta::from_millis(1500))),
        ("retry_after".to_string(), SettingValue::Flag(true)),
        ("max_retry_after".to_string(), SettingValue::TimeDelta(DEFAULT_RETRY_AFTER)),
        ("probes".to_string(), SettingValue::Flag(true)),
        ("reports".to_string(), text("pull")),
        // Hosts check the freshness of a read themselves, by AFTER.
        ("host_checks".to_string(), text("told")),
        ("list".to_string(), text("pushed")),
        ("tokens".to_string(), text("router")),
        // Hosts may be divided between tenants, which are the services of the fair shares.
        ("tenants_held".to_string(), SettingValue::Flag(true)),
    ])
}

/// A host known to this router.
#[derive(Clone, Debug)]
pub struct KnownHost {
    pub host: Host,
    pub address: SocketAddrV4,
    /// Since when this router knows that the host is draining.
    draining_since: Option<Timestamp>,
}

impl KnownHost {
    /// Until when a draining primary still accepts statements; `None` for all other hosts.
    fn serves_until(&self, drain_bound: TimeDelta) -> Option<Timestamp> {
        let since = self.draining_since.filter(|_| self.host.role() == DbRole::Primary)?;
        Some(since + drain_bound)
    }
}

/// The decision module with its list of hosts.
pub struct DecisionModule {
    router: Router,
    ids_by_name: FxHashMap<String, HostId>,
    hosts: Vec<KnownHost>,
    zones: FxHashMap<String, ZoneId>,
    pub groups: Groups,
    drain_bound: TimeDelta,
    /// Services that a client has used. Only their hosts are given to the decision module, which checks
    /// each of its hosts ten times a second.
    listed: FxHashSet<GroupId>,
    hosts_by_group: FxHashMap<GroupId, Vec<HostId>>,
    /// Draining primaries, with the time until which they accept statements.
    draining_primaries: Vec<(Timestamp, HostId)>,
}

impl DecisionModule {
    /// `drain_bound` is how long a draining host still accepts statements.
    pub fn start(now: Timestamp, seed: u64, drain_bound: TimeDelta, actions: &mut Vec<Action>) -> Self {
        DecisionModule {
            drain_bound,
            router: Router::start(now, seed, router_settings(), actions),
            ids_by_name: FxHashMap::default(),
            hosts: Vec::new(),
            zones: FxHashMap::default(),
            groups: Groups::default(),
            listed: FxHashSet::default(),
            hosts_by_group: FxHashMap::default(),
            draining_primaries: Vec::new(),
        }
    }

    /// Passes an event to the decision module, which adds the resulting actions.
    pub fn handle(&mut self, now: Timestamp, event: RouterEvent, actions: &mut Vec<Action>) {
        self.router.handle(now, event, actions);
    }

    /// The host with this number. Panics if the number was not assigned.
    pub fn host(&self, id: HostId) -> &KnownHost {
        &self.hosts[id.0 as usize]
    }

    /// All hosts ever reported, in the order of their numbers.
    pub fn hosts(&self) -> impl Iterator<Item = &KnownHost> {
        self.hosts.iter()
    }

    /// The number of a host by its name.
    pub fn host_id(&self, name: &str) -> Option<HostId> {
        self.ids_by_name.get(name).copied()
    }

    /// Hosts of a service that may run a read (with `reads`) or a write. The primary counts for reads too:
    /// reads that find no room at replicas go there, and a queue counted at replicas alone would overload
    /// it.
    pub fn eligible_hosts(&self, service: &str, reads: bool) -> SmallVec<[HostId; 4]> {
        let group = self.groups.get(service).and_then(|group| self.hosts_by_group.get(&group));
        let is_eligible = |id: &HostId| {
            let host = &self.host(*id).host;
            host.phase() == Phase::InService && (reads || host.role() == DbRole::Primary)
        };
        group.into_iter().flatten().copied().filter(is_eligible).collect()
    }

    fn entry(&mut self, now: Timestamp, id: HostId) -> HostEntry {
        let known = self.hosts[id.0 as usize].clone();
        let until = known.serves_until(self.drain_bound);
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
            name_hash: id.0,
            availability,
            memberships: [GroupMembership { group: self.groups.id(&host.service), primary_only: false }]
                .into_iter()
                .collect(),
            zone,
            size: f64::from(host.capacity.max(1)) / STANDARD_CAPACITY,
            is_primary: host.role() == DbRole::Primary,
            started_at: None,
        }
    }

    /// Gives the hosts of a service to the decision module on the first use of the service.
    pub fn list_service(&mut self, now: Timestamp, service: &str, actions: &mut Vec<Action>) -> GroupId {
        let group = self.groups.id(service);
        if self.hosts_by_group.contains_key(&group) && self.listed.insert(group) {
            let ids = self.hosts_by_group.get(&group).cloned().unwrap_or_default();
            let entries = ids.into_iter().map(|id| self.entry(now, id)).collect();
            self.handle(now, RouterEvent::HostList { kind: ListKind::Incremental, entries }, actions);
        }
        group
    }

    /// When the next draining primary stops accepting statements.
    pub fn due(&self) -> Option<Timestamp> {
        self.draining_primaries.iter().map(|(until, _)| *until).min()
    }

    /// Updates the entries of draining primaries that no longer accept statements.
    pub fn expire_draining(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let expired: Vec<(Timestamp, HostId)> =
            self.draining_primaries.extract_if(.., |(until, _)| *until <= now).collect();
        for (_, id) in expired {
            let entry = self.entry(now, id);
            let host = &self.hosts[id.0 as usize].host;
            if self.groups.get(&host.service).is_some_and(|group| self.listed.contains(&group)) {
                self.handle(
                    now,
                    RouterEvent::HostList { kind: ListKind::Incremental, entries: vec![entry] },
                    actions,
                );
            }
        }
    }

    /// Since when a host is draining. It keeps its first time whatever role it has meanwhile, since the
    /// bound on what it may still run starts at its first announcement. A host that this router never saw
    /// in service may have announced it long ago, so its bound counts as expired. A primary that was seen in
    /// service still gets the full bound: closing it at once would leave no host to write to until its
    /// successor takes over.
    fn draining_since(&self, now: Timestamp, id: HostId, is_known: bool) -> Timestamp {
        let known = self.hosts.get(id.0 as usize).filter(|_| is_known);
        known.map_or(now - self.drain_bound, |known| known.draining_since.unwrap_or(now))
    }

    /// Applies reported hosts. A report with a call number that is not newer than the known one is ignored,
    /// unless it says that the host is gone.
    pub fn update_hosts(&mut self, now: Timestamp, reported: &[Host], actions: &mut Vec<Action>) {
        let mut entries = Vec::new();
        let mut role_changes = Vec::new();
        for host in reported {
            let known = self.ids_by_name.get(&host.id).map(|id| &self.hosts[id.0 as usize]);
            let before = known.map(|known| (known.host.call_seq, known.host.phase(), known.host.role));
            if before.is_some_and(|(seq, phase, _)| {
                phase == Phase::Gone || seq >= host.call_seq && host.phase() != Phase::Gone
            }) {
                continue;
            }
            let address = SocketAddrV4::new(Ipv4Addr::from(host.ip), host.port as u16);
            let id = *self.ids_by_name.entry(host.id.clone()).or_insert(HostId(self.hosts.len() as u32));
            let is_primary = host.role() == DbRole::Primary;
            let draining_since =
                (host.phase() == Phase::Draining).then(|| self.draining_since(now, id, before.is_some()));
            let known = KnownHost { host: host.clone(), address, draining_since };
            self.draining_primaries.retain(|(_, draining)| *draining != id);
            self.draining_primaries.extend(known.serves_until(self.drain_bound).map(|until| (until, id)));
            let group = self.groups.id(&host.service);
            match self.hosts.get_mut(id.0 as usize) {
                Some(entry) => *entry = known,
                None => {
                    self.hosts.push(known);
                    self.hosts_by_group.entry(group).or_default().push(id);
                }
            }
            if !self.listed.contains(&group) {
                continue;
            }
            entries.push(self.entry(now, id));
            if before.is_none_or(|(_, _, role)| role != host.role) && (is_primary || before.is_some()) {
                role_changes.push(RouterEvent::RoleAssigned {
                    host: id,
                    role: if is_primary { Role::Primary } else { Role::Replica },
                });
            }
        }
        if !entries.is_empty() {
            self.handle(now, RouterEvent::HostList { kind: ListKind::Incremental, entries }, actions);
        }
        // Demotions go first, so that the last event names the current primary.
        role_changes
            .sort_by_key(|event| matches!(event, RouterEvent::RoleAssigned { role: Role::Primary, .. }));
        role_changes.into_iter().for_each(|event| self.handle(now, event, actions));
    }
}
