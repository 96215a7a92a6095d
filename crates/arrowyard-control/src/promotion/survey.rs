//! Survey of a service's hosts: whose response is required, and how the candidate is chosen.

use std::collections::{BTreeMap, BTreeSet};

use arrowyard_messages::{Host, Phase};
use arrowyard_protocol::Observed;
use arrowyard_types::Timestamp;

use super::{HostsSnapshot, Promotion, PromotionRequest, RETRY_INTERVAL, Stage};

impl Promotion {
    pub(super) fn survey(
        &mut self,
        now: Timestamp,
        old: Option<String>,
        planned: bool,
        hosts: &HostsSnapshot<'_>,
        requests: &mut Vec<PromotionRequest>,
    ) {
        self.continue_survey(now, old, planned, Default::default(), hosts, requests);
    }

    pub(super) fn continue_survey(
        &mut self,
        now: Timestamp,
        old: Option<String>,
        planned: bool,
        (rows, unanswered): (BTreeMap<String, Observed>, BTreeSet<String>),
        hosts: &HostsSnapshot<'_>,
        requests: &mut Vec<PromotionRequest>,
    ) {
        // In a planned change the old primary is asked later, while the candidate catches up.
        let skip = |host: &Host| planned && old.as_ref() == Some(&host.id) || rows.contains_key(&host.id);
        let departed = self.departed(now, hosts).filter(|_| !planned);
        let open = self.members(hosts).into_iter().chain(departed).filter(|host| !skip(host));
        requests.extend(open.map(|host| PromotionRequest::Observe { host: host.id.clone() }));
        self.set_stage(Stage::Surveying { old, planned, rows, unanswered }, Some(now + RETRY_INTERVAL));
        self.finish_survey(now, hosts, requests);
    }

    /// Whether the response of a host is not required: it is silent, and another host has received
    /// everything that the primary had since then. Safety: the length of the silence proves nothing. A host
    /// that has long received nothing still responds, and lacks what only the silent one acknowledged.
    fn is_dispensable(
        &self,
        host: &str,
        rows: &BTreeMap<String, Observed>,
        hosts: &HostsSnapshot<'_>,
    ) -> bool {
        let floor = self.floors.get(host).filter(|_| hosts.silent.contains_key(host));
        floor.is_some_and(|floor| rows.values().any(|row| row.received >= *floor))
    }

    /// Once all required hosts have responded: chooses the candidate and pauses the others.
    pub(super) fn finish_survey(
        &mut self,
        now: Timestamp,
        hosts: &HostsSnapshot<'_>,
        requests: &mut Vec<PromotionRequest>,
    ) {
        let Stage::Surveying { old, planned, rows, unanswered } = self.stage.clone() else { return };
        let replicas: Vec<&Host> =
            self.members(hosts).into_iter().filter(|host| Some(&host.id) != old.as_ref()).collect();
        // Safety: a silent host may be back before its next heartbeat arrives, so it is skipped only after
        // it failed to respond. In a planned change that suffices: the old primary has everything that the
        // host acknowledged, and the candidate has to catch up with it; what the host acknowledges later
        // is checked at the candidate. Waiting would leave the service without a primary, since a host
        // that is lost for good never responds and the old primary serves for a limited time.
        let is_skipped = |host: &Host| {
            unanswered.contains(&host.id) && (planned || self.is_dispensable(&host.id, &rows, hosts))
        };
        let needed = |host: &&&Host| !is_skipped(host);
        let all = replicas.iter().filter(needed).all(|host| rows.contains_key(&host.id));
        // The same holds for the log of a departed host, which may go to no other host.
        let is_complete = all && (planned || self.are_departed_logs_known(now, &rows, hosts));
        if rows.is_empty() || !is_complete {
            return;
        }
        self.surveyed_hosts = self.members(hosts).into_iter().map(|host| host.id.clone()).collect();
        let term = next_term(rows.values());
        self.next_term = term;
        // In a planned change, the candidate is a host that is not draining: it receives what it lacks
        // before it is promoted.
        let is_in_service =
            |host: &str| hosts.registry.get(host).is_some_and(|host| host.phase() == Phase::InService);
        let staying = rows.iter().filter(|(host, _)| planned && is_in_service(host));
        let candidate = staying.max_by_key(|(_, row)| row.received).map(|(host, _)| host.clone());
        if planned && candidate.is_none() {
            return self.abort(now, requests);
        }
        let pending_hosts: BTreeSet<String> =
            rows.keys().filter(|host| Some(*host) != candidate.as_ref()).cloned().collect();
        self.attempt += 1;
        self.pause(now, pending_hosts.iter(), term, requests);
        let rows = rows.into_iter().filter(|(host, _)| Some(host) == candidate.as_ref()).collect();
        self.set_stage(
            Stage::Fencing { old, candidate, pending_hosts, term, rows },
            Some(now + RETRY_INTERVAL),
        );
        self.finish_fencing(now, hosts, requests);
    }
}

/// A term above every reported one.
fn next_term<'a>(rows: impl Iterator<Item = &'a Observed>) -> u64 {
    rows.map(|row| row.term.max(row.received.term)).max().unwrap_or_default() + 1
}
