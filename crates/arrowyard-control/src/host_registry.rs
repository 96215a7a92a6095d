//! Registry of the database hosts, merged from heartbeats and from the reports of peers.

use std::collections::{BTreeMap, BTreeSet};

use arrowyard_messages::{DbRole, Host, Phase};
use arrowyard_types::{TimeDelta, Timestamp};

/// Departed hosts are kept for this long, so that a stale report does not add them again.
const DEPARTED_RETENTION: TimeDelta = TimeDelta::from_millis(600_000);
/// A heartbeat with a lower sequence number is accepted after this much silence: the host has restarted
/// its sequence.
const SEQUENCE_RESET_TIMEOUT: TimeDelta = TimeDelta::from_millis(5_000);
/// The same for a draining host. Heartbeats may be delayed by seconds; one sent before the drain must
/// not put the host back in service.
const DRAINING_SEQUENCE_RESET_TIMEOUT: TimeDelta = TimeDelta::from_millis(30_000);

/// The departure of a host, as noticed by this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    pub at: Timestamp,
    /// Whether the host was in service until then, and so may serve for a while after its departure.
    pub without_drain: bool,
}

/// Which control machine receives the heartbeats of a host, as far as this machine knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeartbeatReceiver {
    Unknown,
    /// This machine, the last one at this time.
    ThisMachine(Timestamp),
    /// Perhaps none: if no heartbeat arrives here or elsewhere, the host is silent since this time.
    Expected(Timestamp),
    /// The machine that last reported to receive them.
    OtherMachine(u32),
}

impl HeartbeatReceiver {
    /// Since when a host that is to send heartbeats here has sent none.
    fn silent_since(self) -> Option<Timestamp> {
        match self {
            HeartbeatReceiver::ThisMachine(at) | HeartbeatReceiver::Expected(at) => Some(at),
            HeartbeatReceiver::Unknown | HeartbeatReceiver::OtherMachine(_) => None,
        }
    }
}

/// Database hosts known to the control plane. The control machine of a zone receives the heartbeats of
/// its hosts; the others receive its reports.
#[derive(Debug, Default)]
pub struct HostRegistry {
    hosts: BTreeMap<String, HostEntry>,
    /// Index by service: scanning all hosts for each of thousands of services would be too slow.
    by_service: BTreeMap<String, BTreeSet<String>>,
    digest: u64,
    /// Number of the last change of a host.
    last_change: u64,
}

/// Contribution of one host to the digest over all hosts (FNV-1a).
fn host_digest(host: &Host) -> u64 {
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
    /// Orders the changes of all hosts: those that arrive in one message have the same time.
    change: u64,
    receiver: HeartbeatReceiver,
    /// Unknown for hosts restored after a restart of this machine.
    departure: Option<Departure>,
}

/// Completes a report with what is known of the host. A departed host that was never seen may be
/// reported by its id alone; once departed, a host stays departed whatever else becomes known of it.
fn complete_report(known: &Host, report: Host) -> Host {
    if report.service.is_empty() {
        return Host { phase: report.phase, call_seq: report.call_seq.max(known.call_seq), ..known.clone() };
    }
    let phase = if known.phase() == Phase::Gone { known.phase } else { report.phase };
    Host { phase, ..report }
}

/// Whether two records are the same apart from the sequence number, which routers do not receive.
fn is_equivalent(one: &Host, other: &Host) -> bool {
    Host { call_seq: 0, ..one.clone() } == Host { call_seq: 0, ..other.clone() }
}

impl HostRegistry {
    /// Records a heartbeat received here. Returns whether something changed that others must be told.
    pub fn record_heartbeat(&mut self, now: Timestamp, host: Host) -> bool {
        let sequence_reset = self.hosts.get(&host.id).is_some_and(|entry| {
            let silence = match entry.host.phase() {
                Phase::Gone => return false,
                Phase::Draining => DRAINING_SEQUENCE_RESET_TIMEOUT,
                Phase::InService => SEQUENCE_RESET_TIMEOUT,
            };
            entry.receiver.silent_since().is_some_and(|at| now - at >= silence)
        });
        let id = host.id.clone();
        let changed = self.merge(now, host, sequence_reset);
        if let Some(entry) = self.hosts.get_mut(&id) {
            entry.receiver = HeartbeatReceiver::ThisMachine(now);
        }
        changed
    }

    /// Restores a host recorded before a restart. Hosts of the local zone are expected to send heartbeats
    /// here.
    pub fn restore_host(&mut self, now: Timestamp, host: Host, zone: &str) {
        let (id, is_local) = (host.id.clone(), host.zone == zone);
        self.insert_entry(now, host, None);
        if is_local {
            self.expect_heartbeats(now, &id);
        }
    }

    /// Expects heartbeats of a host from now on, if no machine is known to receive them: if none arrives, it is
    /// silent.
    pub fn expect_heartbeats(&mut self, now: Timestamp, id: &str) {
        if let Some(entry) = self.hosts.get_mut(id)
            && entry.host.phase() != Phase::Gone
            && entry.receiver == HeartbeatReceiver::Unknown
        {
            entry.receiver = HeartbeatReceiver::Expected(now);
        }
    }

    /// Another host at the address of this one that has not departed.
    pub fn other_at_address(&self, host: &Host) -> Option<&Host> {
        let is_other = |other: &&Host| {
            (other.ip, other.port) == (host.ip, host.port)
                && other.id != host.id
                && other.phase() != Phase::Gone
        };
        self.hosts().find(is_other)
    }

    /// Replaces the entry of a host that has changed, and updates the service index and the digest.
    fn insert_entry(&mut self, now: Timestamp, host: Host, departure: Option<Departure>) {
        self.last_change += 1;
        let receiver = self.hosts.get(&host.id).map_or(HeartbeatReceiver::Unknown, |entry| entry.receiver);
        let entry = HostEntry { host, changed_at: now, change: self.last_change, receiver, departure };
        self.digest = self.digest.wrapping_add(host_digest(&entry.host));
        let (id, service) = (entry.host.id.clone(), entry.host.service.clone());
        if let Some(previous) = self.hosts.insert(id.clone(), entry) {
            self.digest = self.digest.wrapping_sub(host_digest(&previous.host));
            if previous.host.service != service {
                self.unindex(&previous.host);
            }
        }
        self.by_service.entry(service).or_default().insert(id);
    }

    fn unindex(&mut self, host: &Host) {
        if let Some(ids) = self.by_service.get_mut(&host.service) {
            ids.remove(&host.id);
            if ids.is_empty() {
                self.by_service.remove(&host.service);
            }
        }
    }

    fn entries_of(&self, service: &str) -> impl Iterator<Item = &HostEntry> {
        self.by_service.get(service).into_iter().flatten().filter_map(|id| self.hosts.get(id))
    }

    /// Records that a host sends its heartbeats to another control machine.
    pub fn record_receiver(&mut self, id: &str, machine: u32) {
        if let Some(entry) = self.hosts.get_mut(id) {
            entry.receiver = HeartbeatReceiver::OtherMachine(machine);
        }
    }

    /// Expects heartbeats of all hosts that have sent them to control machines that are lost: they turn to another
    /// machine, which reports it, unless they have failed as well.
    pub fn expect_heartbeats_of(&mut self, now: Timestamp, is_lost: impl Fn(u32) -> bool) {
        for entry in self.hosts.values_mut().filter(|entry| entry.host.phase() != Phase::Gone) {
            if matches!(entry.receiver, HeartbeatReceiver::OtherMachine(machine) if is_lost(machine)) {
                entry.receiver = HeartbeatReceiver::Expected(now);
            }
        }
    }

    /// Merges a report from a peer. Returns whether it changed the registry.
    pub fn merge_report(&mut self, now: Timestamp, host: Host) -> bool {
        self.merge(now, host, false)
    }

    /// The higher sequence number wins whatever its source, and a departed host stays departed, so machines
    /// that exchange reports converge in any order.
    fn merge(&mut self, now: Timestamp, host: Host, sequence_reset: bool) -> bool {
        match self.hosts.get(&host.id) {
            None => {
                let is_gone = host.phase() == Phase::Gone;
                let departure = is_gone.then_some(Departure { at: now, without_drain: false });
                self.insert_entry(now, host, departure);
                true
            }
            Some(entry) => {
                let host = complete_report(&entry.host, host);
                let (was_gone, is_gone) = (entry.host.phase() == Phase::Gone, host.phase() == Phase::Gone);
                let newer = host.call_seq > entry.host.call_seq || sequence_reset;
                // The details of a host known only as departed may arrive later.
                let adds_details = entry.host.service.is_empty() && !host.service.is_empty();
                if was_gone && !adds_details || !newer && !is_gone {
                    return false;
                }
                let changed = !is_equivalent(&entry.host, &host);
                if changed {
                    let without_drain = entry.host.phase() == Phase::InService;
                    let departs = (is_gone && !was_gone).then_some(Departure { at: now, without_drain });
                    let departure = departs.or(entry.departure);
                    self.insert_entry(now, host, departure);
                } else if let Some(entry) = self.hosts.get_mut(&host.id) {
                    entry.host.call_seq = host.call_seq;
                }
                changed
            }
        }
    }

    /// Removes hosts that departed long ago.
    pub fn remove_expired(&mut self, now: Timestamp) {
        let expired = |entry: &&HostEntry| {
            entry.host.phase() == Phase::Gone && now - entry.changed_at >= DEPARTED_RETENTION
        };
        let departed: Vec<Host> =
            self.hosts.values().filter(expired).map(|entry| entry.host.clone()).collect();
        for host in departed {
            self.hosts.remove(&host.id);
            self.digest = self.digest.wrapping_sub(host_digest(&host));
            self.unindex(&host);
        }
    }

    /// The record of a host.
    pub fn get(&self, id: &str) -> Option<&Host> {
        self.hosts.get(id).map(|entry| &entry.host)
    }

    /// When a host last sent a heartbeat to this machine, if it still does.
    pub fn last_heartbeat_at(&self, id: &str) -> Option<Timestamp> {
        match self.hosts.get(id)?.receiver {
            HeartbeatReceiver::ThisMachine(at) => Some(at),
            _ => None,
        }
    }

    /// The other control machine that last reported to receive the heartbeats of a host.
    pub fn receiver(&self, id: &str) -> Option<u32> {
        match self.hosts.get(id)?.receiver {
            HeartbeatReceiver::OtherMachine(machine) => Some(machine),
            _ => None,
        }
    }

    /// Since when a host that is to send heartbeats to this machine has sent none.
    pub fn silent_since(&self, id: &str) -> Option<Timestamp> {
        self.hosts.get(id)?.receiver.silent_since()
    }

    /// All hosts in the order of their last changes. A registry that takes them over in this order names the
    /// same primaries.
    pub fn hosts_by_change(&self) -> Vec<Host> {
        let mut entries: Vec<&HostEntry> = self.hosts.values().collect();
        entries.sort_unstable_by_key(|entry| entry.change);
        entries.into_iter().map(|entry| entry.host.clone()).collect()
    }

    /// All hosts, departed ones included.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values().map(|entry| &entry.host)
    }

    /// Hosts of a service that have not departed.
    pub fn members(&self, service: &str) -> impl Iterator<Item = &Host> {
        self.entries_of(service).map(|entry| &entry.host).filter(|host| host.phase() != Phase::Gone)
    }

    /// Replicas of a service whose departure this machine has noticed, with the departure. They are kept for
    /// ten minutes.
    pub fn departed_replicas(&self, service: &str) -> impl Iterator<Item = (&Host, Departure)> {
        let departed =
            |entry: &&HostEntry| entry.host.phase() == Phase::Gone && entry.host.role() == DbRole::Replica;
        self.entries_of(service)
            .filter(departed)
            .filter_map(|entry| entry.departure.map(|departure| (&entry.host, departure)))
    }

    /// The primary of a service; if several hosts report that role, the one that changed last.
    pub fn primary(&self, service: &str) -> Option<&Host> {
        let leads =
            |entry: &&HostEntry| entry.host.phase() != Phase::Gone && entry.host.role() == DbRole::Primary;
        self.entries_of(service).filter(leads).max_by_key(|entry| entry.change).map(|entry| &entry.host)
    }

    /// Order-independent digest over all hosts, by which machines detect that their registries differ.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}
