//! Host registry and router count as stored on disk, so that they are available at once after a power
//! loss. For hosts in service they are a hint: heartbeats follow, and a connection names the host it is
//! meant for. Drains and departures were acknowledged, so an older report never overrides them.

use arrowyard_messages::Host;
use arrowyard_runtime::Commands;
use arrowyard_types::Timestamp;
use prost::Message;

use super::Control;
use crate::HostRegistry;
use crate::record::{Record, RecordKind, RegistrySnapshot};

/// Restores the host registry and the number of routers from the records on disk.
pub fn restore(records: &[Vec<u8>], zone: &str) -> (HostRegistry, u32) {
    let (mut last, mut departed): (RegistrySnapshot, Vec<Host>) = Default::default();
    let kept = records.iter().filter_map(|record| Record::decode(record.as_slice()).ok()?.kind);
    for kept in kept {
        match kept {
            RecordKind::Registry(memory) => last = memory,
            RecordKind::Snapshot(whole) => last = whole.registry.unwrap_or(last),
            RecordKind::Departing(host) => departed.push(host),
            _ => {}
        }
    }
    let (mut registry, now) = (HostRegistry::default(), Timestamp::from_micros(0));
    last.hosts.into_iter().for_each(|host| registry.restore_host(now, host, zone));
    // Records may be older or newer than the last registry snapshot: the registry keeps the newer report
    // of each host.
    departed.into_iter().for_each(|host| _ = registry.merge_report(now, host));
    (registry, last.routers)
}

impl Control {
    pub(super) fn registry_snapshot(&self) -> RegistrySnapshot {
        RegistrySnapshot { hosts: self.registry.hosts_by_change(), routers: self.routers }
    }

    /// Stores the registry if it has changed since the last time; nothing waits for this record.
    pub(super) fn store_registry(&mut self, now: Timestamp, commands: &mut Commands) {
        let digest = self.registry.digest().wrapping_add(u64::from(self.routers));
        if digest == self.stored_digest {
            return;
        }
        self.stored_digest = digest;
        let memory = self.registry_snapshot();
        self.with_log(now, commands, |log, out| log.store_record(RecordKind::Registry(memory), out));
    }
}
