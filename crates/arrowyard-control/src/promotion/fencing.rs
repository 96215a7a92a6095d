//! Fencing: replicas are made to stop receiving, so that the old primary can acknowledge nothing more.

use std::collections::BTreeMap;

use arrowyard_messages::Phase;
use arrowyard_protocol::Observed;
use arrowyard_types::Timestamp;

use super::departed::is_departed;
use super::{
    CATCH_UP_TIMEOUT, HostsSnapshot, Promotion, PromotionRequest, RETRY_INTERVAL, Stage, YIELD_TIMEOUT,
};

impl Promotion {
    /// Continues once every host that was asked to pause has done so.
    pub(super) fn finish_fencing(
        &mut self,
        now: Timestamp,
        hosts: &HostsSnapshot<'_>,
        requests: &mut Vec<PromotionRequest>,
    ) {
        let Stage::Fencing { old, candidate, pending_hosts, rows, .. } = self.stage.clone() else { return };
        if !pending_hosts.iter().all(|host| rows.contains_key(host)) {
            return;
        }
        match candidate {
            Some(candidate) => {
                let others = rows.iter().filter(|(host, _)| **host != candidate).map(|(_, row)| row.received);
                let required = others.max().unwrap_or_default();
                requests.extend(old.iter().map(|host| PromotionRequest::Observe { host: host.clone() }));
                let until = now + CATCH_UP_TIMEOUT;
                let includes_old = old.is_none();
                self.planned_candidate = Some(candidate.clone());
                let stage = Stage::CatchingUp { old, candidate, required, includes_old, until };
                self.set_stage(stage, Some(now + RETRY_INTERVAL));
            }
            None => match most_advanced(&rows, hosts) {
                Some(candidate) if lacks_departed_log(&candidate, &rows, hosts) => {
                    log::info!("promotion: {}: waiting for the log of a departed replica", self.service);
                    self.survey_later(now, old);
                }
                Some(candidate) if self.has_yielded => self.promote(old, candidate, false, requests),
                Some(candidate) => {
                    let stage = Stage::Yielding { old, candidate };
                    self.set_stage(stage, Some(now + YIELD_TIMEOUT));
                }
                None => self.survey_later(now, None),
            },
        }
    }

    pub(super) fn pause<'a>(
        &mut self,
        now: Timestamp,
        hosts: impl Iterator<Item = &'a String>,
        term: u64,
        requests: &mut Vec<PromotionRequest>,
    ) {
        self.paused_at = now;
        for host in hosts {
            self.paused_hosts.insert(host.clone(), self.attempt);
            requests.push(PromotionRequest::Pause { host: host.clone(), term, attempt: self.attempt });
        }
    }

    pub(super) fn request_continue(&self, requests: &mut Vec<PromotionRequest>) {
        let to_continue = |(host, attempt): (&String, &u64)| PromotionRequest::Continue {
            host: host.clone(),
            attempt: *attempt,
        };
        requests.extend(self.paused_hosts.iter().map(to_continue));
    }
}

/// Whether a departed host has received more than the candidate.
fn lacks_departed_log(candidate: &str, rows: &BTreeMap<String, Observed>, hosts: &HostsSnapshot<'_>) -> bool {
    let received = rows.get(candidate).map(|row| row.received);
    rows.iter().any(|(host, row)| is_departed(host, hosts) && Some(row.received) > received)
}

/// The member that has received most; of equals, one that is not draining. Safety: a draining host is
/// primary only briefly, but one that has received less would lose acknowledged commits.
fn most_advanced(rows: &BTreeMap<String, Observed>, hosts: &HostsSnapshot<'_>) -> Option<String> {
    let is_in_service =
        |host: &str| hosts.registry.get(host).is_some_and(|host| host.phase() == Phase::InService);
    let members = rows.iter().filter(|(host, _)| !is_departed(host, hosts));
    let best = members.max_by_key(|(host, row)| (row.received, is_in_service(host)));
    best.map(|(host, _)| host.clone())
}
