//! Departed replicas. A replica counts for `sync-replicas` until it ends, which may be long after it has
//! reported its departure; a new host at its address may then take over its log. So an unplanned change asks
//! departed replicas too, and waits for a log that may hold the only copy of a commit.

use std::collections::BTreeMap;

use arrowyard_messages::{Host, Phase};
use arrowyard_protocol::Observed;
use arrowyard_types::{TimeDelta, Timestamp};

use super::{HostsSnapshot, Promotion, Stage};
use crate::Departure;

/// Time after the end of a departed host in which a new host takes over its log.
const HANDOVER_TIMEOUT: TimeDelta = TimeDelta::from_millis(8_000);
/// A host that departs without a drain serves on for the drain bound and a little longer.
const SERVICE_AFTER_DEPARTURE: TimeDelta = TimeDelta::from_millis(10_000);
/// A departed host is not waited for after this time, even if it still responds.
const DEPARTED_HOST_LIMIT: TimeDelta = TimeDelta::from_millis(30_000);
/// Interval at which hosts are asked again while the log of a departed host is awaited.
const AWAIT_LOG_INTERVAL: TimeDelta = TimeDelta::from_millis(500);

impl Promotion {
    /// Departed replicas that may still run, or whose log may still be taken over.
    pub(super) fn departed<'a>(
        &'a self,
        now: Timestamp,
        hosts: &HostsSnapshot<'a>,
    ) -> impl Iterator<Item = &'a Host> {
        let departed = hosts.registry.departed_replicas(&self.service);
        departed
            .filter(move |(host, departure)| now < self.awaited_until(&host.id, *departure))
            .map(|(host, _)| host)
    }

    fn awaited_until(&self, id: &str, departure: Departure) -> Timestamp {
        let expected_end =
            if departure.without_drain { departure.at + SERVICE_AFTER_DEPARTURE } else { departure.at };
        let last_seen = self.departed_seen_at.get(id).copied();
        let until = last_seen.map_or(expected_end, |seen| seen.max(expected_end)) + HANDOVER_TIMEOUT;
        until.min(departure.at + DEPARTED_HOST_LIMIT)
    }

    /// Whether a host is a departed replica that is still waited for.
    pub(super) fn is_awaited(&self, now: Timestamp, host: &str, hosts: &HostsSnapshot<'_>) -> bool {
        self.departed(now, hosts).any(|departed| departed.id == host)
    }

    /// Records that a host has responded, if it has departed.
    pub(super) fn departed_host_responded(&mut self, now: Timestamp, host: &str, hosts: &HostsSnapshot<'_>) {
        if is_departed(host, hosts) {
            self.departed_seen_at.insert(host.to_string(), now);
        }
    }

    /// Whether every departed replica, or the host that has taken over its log, has responded. Safety: a
    /// member that is only known at the address may have failed long ago; a response proves that it runs.
    pub(super) fn are_departed_logs_known(
        &self,
        now: Timestamp,
        rows: &BTreeMap<String, Observed>,
        hosts: &HostsSnapshot<'_>,
    ) -> bool {
        let members = self.members(hosts);
        let is_taken_over = |departed: &Host| {
            members.iter().any(|host| {
                (host.ip, host.port) == (departed.ip, departed.port) && rows.contains_key(&host.id)
            })
        };
        self.departed(now, hosts).all(|departed| rows.contains_key(&departed.id) || is_taken_over(departed))
    }

    /// Surveys the hosts again after a while.
    pub(super) fn survey_later(&mut self, now: Timestamp, old: Option<String>) {
        let (rows, unanswered) = Default::default();
        let stage = Stage::Surveying { old, planned: false, rows, unanswered };
        self.set_stage(stage, Some(now + AWAIT_LOG_INTERVAL));
    }
}

/// Whether a host has departed.
pub(super) fn is_departed(host: &str, hosts: &HostsSnapshot<'_>) -> bool {
    hosts.registry.get(host).is_none_or(|host| host.phase() == Phase::Gone)
}
