//! What a control machine keeps besides the ledger, so that a start after a loss of power finds hosts and routers at
//! once. It is a hint: hosts call within their period, and a connection to a host names the one that it means.

use arrowyard_conduit::Phase;
use arrowyard_penstock::Orders;
use arrowyard_types::Point;
use prost::Message;

use super::Control;
use crate::record::{Kept, Memory, Record};

/// The last memory among the records of a disk.
pub fn read(records: &[Vec<u8>]) -> Option<Memory> {
    let kept = records.iter().rev().filter_map(|record| Record::decode(record.as_slice()).ok()?.kept);
    kept.filter_map(|kept| match kept {
        Kept::Memory(memory) => Some(memory),
        Kept::Whole(whole) => whole.memory,
        _ => None,
    })
    .next()
}

impl Control {
    pub(super) fn memory(&self) -> Memory {
        let hosts = self.cell.all().filter(|host| host.phase() == Phase::InService).cloned().collect();
        Memory { hosts, routers: self.routers }
    }

    /// Keeps what changed since the last time. Nobody waits for it.
    pub(super) fn remember(&mut self, now: Point, orders: &mut Orders) {
        let digest = self.cell.digest().wrapping_add(u64::from(self.routers));
        if digest == self.kept_digest {
            return;
        }
        self.kept_digest = digest;
        let memory = self.memory();
        self.with_ledger(now, orders, |ledger, out| ledger.keep(Kept::Memory(memory), out));
    }
}
