//! Probes of hosts for role and position, and broadcasts of their results to other routers.

use arrowyard_types::*;

use crate::logic::{HostIds, RECOVERY_TIMEOUTS};
use crate::queues::{HostEvent, Queues, encode_host_status};
use crate::state::{Dispatcher, HostView, Op};

/// A read's wait for a probe, and the base of the backoff, as a share of the shortest latency target.
pub const PROBE_WAIT_SHARE: f64 = 0.1;
/// Least time between two probes of a host, as a share of the shortest staleness bound.
const PROBE_GAP_SHARE: f64 = 0.125;
/// Connect timeouts between two broadcasts of a router, for each router of the deployment.
const BROADCAST_GAP_TIMEOUTS: f64 = 0.04;

impl Dispatcher {
    /// Probes those hosts that have no probe in flight; returns whether there was one.
    pub fn probe(&self, hosts: &[HostId], broadcast: bool, queues: &mut Queues) -> bool {
        let allowed = self.settings.flag("probes") && self.settings.text("reports") != "none";
        let may_probe = |host: &HostId| allowed && self.view(*host).available && !self.view(*host).probing;
        let probed: HostIds = hosts.iter().copied().filter(may_probe).collect();
        probed.iter().for_each(|&host| queues.hosts.push(host, HostEvent::ProbeRequested(broadcast)));
        !probed.is_empty()
    }

    /// Probes one more replica; returns whether the read should wait for the result.
    pub fn probe_replica(&self, op: &Op, replicas: &[HostId], queues: &mut Queues) -> bool {
        if !matches!(self.op_type(op).consistency, Consistency::Bounded(_) | Consistency::Session) {
            return false;
        }
        let max_wait = self.min_target * PROBE_WAIT_SHARE;
        let awaited = |view: &HostView| view.probing && self.now - view.probed_at < max_wait;
        if replicas.iter().any(|&host| awaited(self.view(host))) {
            return true;
        }
        let max_gap = self.settings.time_delta("connect_timeout") * RECOVERY_TIMEOUTS;
        let due = |host: &HostId| {
            let view = self.view(*host);
            // A replica far behind cannot be within the bound before it has applied what it lacks.
            let gap = ((view.lag - self.min_bound) * 0.5).min(max_gap).max(self.min_bound * PROBE_GAP_SHARE);
            let gap_elapsed = view.probed_at < op.arrived_at && self.now - view.probed_at >= gap;
            view.is_usable() && self.has_room(*host, 1.0) && !view.probing && gap_elapsed
        };
        // Ties are broken at random: routers that probe the same replica first would all send it their reads.
        let due: HostIds = replicas.iter().copied().filter(due).collect();
        let key = |id: HostId| (self.view(id).failed_probes, !self.is_connected(id), self.view(id).in_flight);
        let least = due.iter().map(|&host| key(host)).min();
        let ties: HostIds = due.into_iter().filter(|&host| Some(key(host)) == least).collect();
        let next = (!ties.is_empty()).then(|| self.draw_by_capacity(&ties));
        self.probe(next.as_slice(), self.settings.flag("peers"), queues)
    }

    /// Spares other routers the probe, where probes fail or there are many routers. The gap grows with their
    /// number, so that all together do not flood each other.
    pub fn broadcast_status(&mut self, host: HostId, status: &HostStatus, queues: &mut Queues) {
        let gap_timeouts = BROADCAST_GAP_TIMEOUTS * self.settings.number_or("routers", 1.0);
        let gap = self.settings.time_delta("connect_timeout") * gap_timeouts;
        let view = *self.view(host);
        let is_newer = view.broadcast_probe && status.position > Some(view.position);
        if is_newer && self.now - self.last_broadcast_at >= gap {
            self.last_broadcast_at = self.now;
            let bytes = encode_host_status(view.name_hash, status);
            queues.actions.push(Action::SendPeerMessage { to: None, bytes });
        }
    }
}
