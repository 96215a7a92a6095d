use std::collections::{BTreeMap, BTreeSet};

use arrowyard_messages::{DbRole, Host, Phase};
use arrowyard_types::{TimeDelta, Timestamp};

/// A host that is gone is remembered so long, so that nobody's old word brings it back.
const REMEMBERED: TimeDelta = TimeDelta::from_millis(600_000);
/// A call with a lower number than the last counts again after so long: its host began to count anew.
const ANEW: TimeDelta = TimeDelta::from_millis(5_000);
/// The same for a host that said that it leaves. Calls may come seconds late: one from before must not bring it back.
const ANEW_IN_SERVICE: TimeDelta = TimeDelta::from_millis(30_000);

/// The hosts that control knows of; the cell of a zone hears its hosts' calls, the others hear of them from it.
#[derive(Debug, Default)]
pub struct HostRegistry {
    hosts: BTreeMap<String, HostEntry>,
    /// Danger: services in their thousands that each look through all hosts. So each knows its own.
    by_service: BTreeMap<String, BTreeSet<String>>,
    digest: u64,
}

/// What one host adds to the sum over all.
fn part(host: &Host) -> u64 {
    let numbers = [host.ip, host.port, host.phase as u32, host.role as u32];
    let bytes = numbers.iter().flat_map(|number| number.to_le_bytes());
    host.id
        .bytes()
        .chain(bytes)
        .fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

#[derive(Debug)]
struct HostEntry {
    host: Host,
    changed_at: Timestamp,
    /// When it last called here itself.
    called_at: Option<Timestamp>,
}

/// A word of a host, with what it does not tell taken from what is known. A host that was never heard of may be told to
/// have left by its name alone; and one that has left stays gone, whatever else becomes known of it.
fn merged(known: &Host, word: Host) -> Host {
    if word.service.is_empty() {
        return Host { phase: word.phase, call_seq: word.call_seq.max(known.call_seq), ..known.clone() };
    }
    let phase = if known.phase() == Phase::Gone { known.phase } else { word.phase };
    Host { phase, ..word }
}

/// What routers are told of a host: all but the number of its call.
fn same(one: &Host, other: &Host) -> bool {
    Host { call_seq: 0, ..one.clone() } == Host { call_seq: 0, ..other.clone() }
}

impl HostRegistry {
    /// A host called here. Whether something changed that others must hear of.
    pub fn record_heartbeat(&mut self, now: Timestamp, host: Host) -> bool {
        let anew = self.hosts.get(&host.id).is_some_and(|kept| {
            let silence = match kept.host.phase() {
                Phase::Gone => return false,
                Phase::Draining => ANEW_IN_SERVICE,
                Phase::InService => ANEW,
            };
            kept.called_at.is_some_and(|at| now - at >= silence)
        });
        let id = host.id.clone();
        let changed = self.take(now, host, anew);
        if let Some(kept) = self.hosts.get_mut(&id) {
            kept.called_at = Some(now);
        }
        changed
    }

    /// A host as it was known before this start. Those of the own zone are to call here soon, or are missed.
    pub fn restore_host(&mut self, now: Timestamp, host: Host, zone: &str) {
        let called_at = (host.zone == zone && host.phase() != Phase::Gone).then_some(now);
        self.put(HostEntry { host, changed_at: now, called_at });
    }

    /// Every change of what is known of a host: the list of its service and the sum go with it.
    fn put(&mut self, kept: HostEntry) {
        self.digest = self.digest.wrapping_add(part(&kept.host));
        let (id, service) = (kept.host.id.clone(), kept.host.service.clone());
        if let Some(old) = self.hosts.insert(id.clone(), kept) {
            self.digest = self.digest.wrapping_sub(part(&old.host));
            if old.host.service != service {
                self.leave(&old.host);
            }
        }
        self.by_service.entry(service).or_default().insert(id);
    }

    fn leave(&mut self, host: &Host) {
        if let Some(ids) = self.by_service.get_mut(&host.service) {
            ids.remove(&host.id);
            if ids.is_empty() {
                self.by_service.remove(&host.service);
            }
        }
    }

    fn of(&self, service: &str) -> impl Iterator<Item = &HostEntry> {
        self.by_service.get(service).into_iter().flatten().filter_map(|id| self.hosts.get(id))
    }

    /// A host calls another control machine now.
    pub fn clear_heartbeat(&mut self, id: &str) {
        if let Some(kept) = self.hosts.get_mut(id) {
            kept.called_at = None;
        }
    }

    /// Somebody else's word of a host. Whether it was news.
    pub fn merge_report(&mut self, now: Timestamp, host: Host) -> bool {
        self.take(now, host, false)
    }

    /// Higher numbers win, whoever brings them, and a host that left stays gone: machines that tell each other what
    /// they have come to the same, in whatever order.
    fn take(&mut self, now: Timestamp, host: Host, anew: bool) -> bool {
        match self.hosts.get(&host.id) {
            None => {
                self.put(HostEntry { host, changed_at: now, called_at: None });
                true
            }
            Some(kept) => {
                let host = merged(&kept.host, host);
                let gone = (kept.host.phase() == Phase::Gone, host.phase() == Phase::Gone);
                let newer = host.call_seq > kept.host.call_seq || anew;
                // Of a host that left, more may become known than that it did.
                let is_named = kept.host.service.is_empty() && !host.service.is_empty();
                if gone.0 && !is_named || !newer && !gone.1 {
                    return false;
                }
                let changed = !same(&kept.host, &host);
                let (changed_at, called_at) = (if changed { now } else { kept.changed_at }, kept.called_at);
                if changed {
                    self.put(HostEntry { host, changed_at, called_at });
                } else if let Some(kept) = self.hosts.get_mut(&host.id) {
                    kept.host.call_seq = host.call_seq;
                }
                changed
            }
        }
    }

    /// Forgets hosts that are gone for long.
    pub fn remove_expired(&mut self, now: Timestamp) {
        let old = |kept: &&HostEntry| kept.host.phase() == Phase::Gone && now - kept.changed_at >= REMEMBERED;
        let gone: Vec<Host> = self.hosts.values().filter(old).map(|kept| kept.host.clone()).collect();
        for host in gone {
            self.hosts.remove(&host.id);
            self.digest = self.digest.wrapping_sub(part(&host));
            self.leave(&host);
        }
    }

    pub fn get(&self, id: &str) -> Option<&Host> {
        self.hosts.get(id).map(|kept| &kept.host)
    }

    /// When a host last called here itself.
    pub fn last_heartbeat_at(&self, id: &str) -> Option<Timestamp> {
        self.hosts.get(id).and_then(|kept| kept.called_at)
    }

    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values().map(|kept| &kept.host)
    }

    /// The hosts of a service that are not gone.
    pub fn members(&self, service: &str) -> impl Iterator<Item = &Host> {
        self.of(service).map(|kept| &kept.host).filter(|host| host.phase() != Phase::Gone)
    }

    /// Who is primary of a service: of several that say so, the one that began to say so last.
    pub fn primary(&self, service: &str) -> Option<&Host> {
        let leads =
            |kept: &&HostEntry| kept.host.phase() != Phase::Gone && kept.host.role() == DbRole::Primary;
        self.of(service).filter(leads).max_by_key(|kept| kept.changed_at).map(|kept| &kept.host)
    }

    /// A sum over all hosts by which two machines see whether they know the same, whatever the order.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}
