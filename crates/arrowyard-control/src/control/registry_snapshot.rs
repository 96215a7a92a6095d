//! What a control machine keeps besides the ledger, so that a start after a loss of power finds hosts and routers at
//! once. Of hosts in service it is a hint: they call within their period, and a connection to a host names the one that
//! it means. That a host leaves or has left was acknowledged, so it is never forgotten for an older word.

use arrowyard_messages::Host;
use arrowyard_runtime::Commands;
use arrowyard_types::Timestamp;
use prost::Message;

use super::Control;
use crate::HostRegistry;
use crate::record::{Record, RecordKind, RegistrySnapshot};

/// The hosts and the number of routers that the records of a disk tell of.
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
    let (mut cell, now) = (HostRegistry::default(), Timestamp::from_micros(0));
    last.hosts.into_iter().for_each(|host| cell.restore_host(now, host, zone));
    // Records may be older or newer than the last memory: the cell takes the newer word of each host.
    departed.into_iter().for_each(|host| _ = cell.merge_report(now, host));
    (cell, last.routers)
}

impl Control {
    pub(super) fn memory(&self) -> RegistrySnapshot {
        RegistrySnapshot { hosts: self.cell.hosts().cloned().collect(), routers: self.routers }
    }

    /// Keeps what changed since the last time. Nobody waits for it.
    pub(super) fn remember(&mut self, now: Timestamp, commands: &mut Commands) {
        let digest = self.cell.digest().wrapping_add(u64::from(self.routers));
        if digest == self.kept_digest {
            return;
        }
        self.kept_digest = digest;
        let memory = self.memory();
        self.with_ledger(now, commands, |ledger, out| ledger.store_record(RecordKind::Registry(memory), out));
    }
}
