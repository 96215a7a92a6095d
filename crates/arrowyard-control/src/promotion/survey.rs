//! The survey of a service's hosts: whose word is waited for, and what follows once it is there.

use std::collections::{BTreeMap, BTreeSet};

use arrowyard_messages::{DbRole, Host, Phase};
use arrowyard_protocol::Observed;
use arrowyard_types::{TimeDelta, Timestamp};

use super::{HostsSnapshot, Promotion, PromotionRequest, RETRY, Stage};

/// A host that left may hold what nobody else has until another one has its log.
const HANDED_ON: TimeDelta = TimeDelta::from_millis(8000);

impl Promotion {
    pub(super) fn survey(
        &mut self,
        now: Timestamp,
        old: Option<String>,
        planned: bool,
        sight: &HostsSnapshot<'_>,
        asks: &mut Vec<PromotionRequest>,
    ) {
        self.ask_again(now, old, planned, Default::default(), sight, asks);
    }

    pub(super) fn ask_again(
        &mut self,
        now: Timestamp,
        old: Option<String>,
        planned: bool,
        (rows, unanswered): (BTreeMap<String, Observed>, BTreeSet<String>),
        sight: &HostsSnapshot<'_>,
        asks: &mut Vec<PromotionRequest>,
    ) {
        // A primary that is to be replaced in order is asked later, while the candidate catches up.
        let skip = |host: &Host| planned && old.as_ref() == Some(&host.id) || rows.contains_key(&host.id);
        let open = self.members(sight).into_iter().filter(|host| !skip(host));
        asks.extend(open.map(|host| PromotionRequest::Observe { host: host.id.clone() }));
        self.go(Stage::Surveying { old, planned, rows, unanswered }, Some(now + RETRY));
        self.surveyed(now, sight, asks);
    }

    /// Whether a host's answer is not waited for: it is silent, and another host has all that the primary had since then.
    /// Safety: how long it has been silent proves nothing. A host that receives nothing for long answers as well, and
    /// lacks what only the silent one acknowledged.
    fn is_no_witness(
        &self,
        host: &str,
        rows: &BTreeMap<String, Observed>,
        sight: &HostsSnapshot<'_>,
    ) -> bool {
        let floor = self.floors.get(host).filter(|_| sight.silent.contains_key(host));
        floor.is_some_and(|floor| rows.values().any(|row| row.received >= *floor))
    }

    /// Hosts that left a while ago and whose log nobody took over yet.
    fn is_handed_on(&self, now: Timestamp, sight: &HostsSnapshot<'_>) -> bool {
        let open = |(at, host): &&(Timestamp, Host)| {
            host.service == self.service && host.role() == DbRole::Replica && now - *at < HANDED_ON
        };
        sight.departed.iter().filter(open).all(|(_, gone)| {
            self.members(sight).iter().any(|host| (host.ip, host.port) == (gone.ip, gone.port))
        })
    }

    /// Once all witnesses have answered: who is to lead, and who is to receive no more.
    pub(super) fn surveyed(
        &mut self,
        now: Timestamp,
        sight: &HostsSnapshot<'_>,
        asks: &mut Vec<PromotionRequest>,
    ) {
        let Stage::Surveying { old, planned, rows, unanswered } = self.stage.clone() else { return };
        let replicas: Vec<&Host> =
            self.members(sight).into_iter().filter(|host| Some(&host.id) != old.as_ref()).collect();
        // Danger: one that was silent may be back, and not have called yet; so it was asked, and did not answer.
        let needed =
            |host: &&&Host| !(unanswered.contains(&host.id) && self.is_no_witness(&host.id, &rows, sight));
        let all = replicas.iter().filter(needed).all(|host| rows.contains_key(&host.id));
        if rows.is_empty() || !all || !self.is_handed_on(now, sight) {
            return;
        }
        self.surveyed_hosts = self.members(sight).into_iter().map(|host| host.id.clone()).collect();
        let term = next_term(rows.values());
        self.next_term = term;
        // In order, the candidate is one that stays: what it lacks it receives before it leads.
        let stays =
            |host: &str| sight.registry.get(host).is_some_and(|host| host.phase() == Phase::InService);
        let staying = rows.iter().filter(|(host, _)| planned && stays(host));
        let candidate = staying.max_by_key(|(_, row)| row.received).map(|(host, _)| host.clone());
        if planned && candidate.is_none() {
            return self.abort(now, asks);
        }
        let asked: BTreeSet<String> =
            rows.keys().filter(|host| Some(*host) != candidate.as_ref()).cloned().collect();
        self.attempt += 1;
        self.pause(now, asked.iter(), term, asks);
        let rows = rows.into_iter().filter(|(host, _)| Some(host) == candidate.as_ref()).collect();
        self.go(Stage::Fencing { old, candidate, asked, term, rows }, Some(now + RETRY));
        self.paused(now, sight, asks);
    }
}

/// Above every term that was told.
fn next_term<'a>(rows: impl Iterator<Item = &'a Observed>) -> u64 {
    rows.map(|row| row.term.max(row.received.term)).max().unwrap_or_default() + 1
}
