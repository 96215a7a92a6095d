//! Probes of hosts for the decision module.

use arrowyard_protocol::INTERNAL_STATEMENT_ID;
use arrowyard_runtime::Commands;
use arrowyard_types::{HostId, HostStatus, Outcome, Role, RouterEvent, Timestamp};

use super::hosts::ORPHAN_TIMEOUT;
use super::{RouterPlane, Timer};
use crate::host_connection::{ConnectionStage, ExpectedReply, HostReply};

impl RouterPlane {
    /// Probes a host for the decision module, by OBSERVE on an idle connection.
    pub(super) fn probe(&mut self, now: Timestamp, host: HostId, commands: &mut Commands) {
        let idle = self.pools.get(host.0 as usize).and_then(|pool| pool.idle.last().copied());
        match idle {
            Some(conn) => {
                self.pools[host.0 as usize].idle.pop();
                self.probes.insert(host, now);
                if let Some(connection) = self.host_connection(conn) {
                    connection.set_stage(now, ConnectionStage::Orphaned);
                    connection.expected.push_back(ExpectedReply::Observe);
                }
                commands.write_line(conn, &["QUERY ", INTERNAL_STATEMENT_ID, " OBSERVE"]);
                self.track_unanswered(now, conn, commands);
                self.timers.set(now + ORPHAN_TIMEOUT, Timer::HostConnection(conn));
            }
            None => {
                // No connection is idle, so the probe is not sent; the next statement shows the host's
                // state.
                let max_connections = self.max_connections(host);
                let pool = &self.pools[host.0 as usize];
                if pool.total < max_connections && pool.opening == 0 && self.connection_share(host) >= 1.0 {
                    self.dial_host(now, host, commands);
                }
                self.notify(
                    now,
                    RouterEvent::ProbeEnded {
                        host,
                        outcome: Outcome::NotSent,
                        status: HostStatus::default(),
                    },
                );
            }
        }
    }

    pub(super) fn probe_replied(&mut self, now: Timestamp, host: HostId, reply: &HostReply) {
        let sent_at = self.probes.remove(&host).unwrap_or(now);
        let row = reply.observed();
        let service = self.decision.host(host).host.service.clone();
        let (outcome, status) = match row {
            Some(row) => {
                let fresh_until =
                    reply.position.and_then(|position| self.timelines.get(&service)?.fresh_until(position));
                let role = Some(if row.primary { Role::Primary } else { Role::Replica });
                let position = if row.primary { Some(sent_at) } else { fresh_until };
                (Outcome::Acked, HostStatus { role, position, ..HostStatus::default() })
            }
            None => (Outcome::Overloaded, HostStatus::default()),
        };
        self.notify(now, RouterEvent::ProbeEnded { host, outcome, status });
    }
}
