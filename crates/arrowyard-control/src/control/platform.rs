//! Calls by which the duty holder asks the platform to make a host primary.
//!
//! Safety: each decision is an entry of the replicated log, and its slot is the fencing token of its
//! calls. A delayed call that arrives after a later decision has a lower token and is refused, and a
//! holder without a majority cannot decide. Calls for one decision are repeated under its token.

use std::collections::BTreeMap;

use arrowyard_messages::{Decision, Entry, EntryPayload};
use arrowyard_runtime::http::{HttpDecoder, format_request};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{TimeDelta, Timestamp};

use super::{Connection, Control};
use crate::promotion::{HostsSnapshot, Reply, Stage};
use crate::{ProposalId, ProposalOutcome};

/// A call that the platform does not answer in this time is repeated.
const RESPONSE_TIMEOUT: TimeDelta = TimeDelta::from_millis(1200);
/// How long after its proposal a decision is carried out; later a new one is made. Where the platform
/// does not check fencing tokens, a new duty holder waits longer than this before its first decision,
/// so that no call of the previous holder arrives after it.
const DECISION_VALIDITY: TimeDelta = TimeDelta::from_millis(2000);
const UNFENCED_WAIT: TimeDelta = TimeDelta::from_millis(3000);
/// A decision that is not chosen in this time is proposed again.
const PROPOSAL_TIMEOUT: TimeDelta = TimeDelta::from_millis(1000);

/// A call to the platform.
pub struct PlatformCall {
    pub messages: HttpDecoder,
    pub request: String,
    pub service: String,
    /// The call is not sent later than this. Safety: a process that was suspended resumes with what it was
    /// about to send.
    pub until: Timestamp,
}

/// The host that is to be primary of a service, and the fencing token once the decision is chosen.
#[derive(Debug)]
struct PendingDecision {
    host: String,
    number: u64,
    fence: Option<u64>,
    until: Timestamp,
}

/// The decisions of this machine, one per service.
#[derive(Debug, Default)]
pub struct Decisions {
    by_service: BTreeMap<String, PendingDecision>,
    /// Proposals without an outcome.
    proposed: BTreeMap<ProposalId, String>,
    last_number: u64,
    /// No decision is made before this time.
    not_before: Timestamp,
}

impl Control {
    /// Asks the platform to promote a host. Requires a chosen decision unless this repeats one that is
    /// still valid.
    pub(super) fn request_promotion(
        &mut self,
        now: Timestamp,
        service: &str,
        host: &str,
        commands: &mut Commands,
    ) {
        let stage = &self.promotions.get_or_create(service).stage;
        let is_repeated = matches!(stage, Stage::Promoting { retries, .. } if *retries > 0);
        let pending = self.decisions.by_service.get(service);
        let is_valid =
            |pending: &&PendingDecision| is_repeated && pending.host == host && now < pending.until;
        let agreed = pending.filter(is_valid).and_then(|pending| Some((pending.fence?, pending.until)));
        match agreed {
            Some((fence, until)) => self.call_platform(now, service, host, (fence, until), commands),
            None if now < self.decisions.not_before => {
                self.promotion_replied(now, service, Reply::Platform { status: 0 }, commands);
            }
            None => self.propose_decision(now, service, host, commands),
        }
    }

    /// Aborts calls in progress after a change of the duty.
    pub(super) fn drop_platform_calls(&mut self, commands: &mut Commands) {
        for (conn, _) in std::mem::take(&mut self.platform_calls) {
            if matches!(self.connections.get(&conn), Some(Connection::Platform(_))) {
                self.connections.remove(&conn);
                commands.reset(conn);
            }
        }
        self.decisions.by_service.clear();
    }

    /// Where the platform does not check fencing tokens, delays the first decision until the previous
    /// holder's calls have expired.
    pub(super) fn set_decision_start(&mut self, now: Timestamp, after_another: bool) {
        let delayed = after_another && !self.settings.envelope.fence_checked;
        self.decisions.not_before = if delayed { now + UNFENCED_WAIT } else { now };
    }

    /// Sends the call once connected, if it has not expired.
    pub(super) fn on_platform_connected(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(Connection::Platform(call)) = self.connections.get(&conn) else { return };
        if now < call.until {
            commands.write(conn, &[call.request.as_bytes()]);
        } else if let Some(Connection::Platform(call)) = self.connections.remove(&conn) {
            commands.reset(conn);
            self.on_platform_closed(now, &call, commands);
        }
    }

    /// Proposes a decision to the replicated log.
    fn propose_decision(&mut self, now: Timestamp, service: &str, host: &str, commands: &mut Commands) {
        let Some(duty_fence) = self.fence else { return };
        self.decisions.last_number += 1;
        let number = self.decisions.last_number;
        let pending =
            PendingDecision { host: host.to_string(), number, fence: None, until: now + DECISION_VALIDITY };
        self.decisions.by_service.insert(service.to_string(), pending);
        let decision = Decision {
            service: service.to_string(),
            host: host.to_string(),
            holder: self.local_ip,
            incarnation: self.incarnation,
            duty_fence,
            number,
        };
        let entry = Entry { payload: Some(EntryPayload::Decision(decision)) };
        // Register the proposal first: its outcome may be reported before the call returns.
        self.decisions.proposed.insert(self.replicated_log.next_proposal(), service.to_string());
        self.with_log(now, commands, |log, out| log.propose_entry(now, entry, now + PROPOSAL_TIMEOUT, out));
    }

    /// Carries out a chosen decision if it is this machine's newest one for the service.
    pub(super) fn decision_chosen(
        &mut self,
        now: Timestamp,
        slot: u64,
        decision: &Decision,
        commands: &mut Commands,
    ) {
        let is_own_decision = (decision.holder, decision.incarnation) == (self.local_ip, self.incarnation);
        if !is_own_decision || self.fence != Some(decision.duty_fence) {
            return;
        }
        let Some(pending) = self.decisions.by_service.get_mut(&decision.service) else { return };
        if pending.number != decision.number || pending.fence.is_some() {
            return;
        }
        pending.fence = Some(slot);
        let until = pending.until;
        if self.survey_newcomers(now, &decision.service, commands) {
            return;
        }
        self.call_platform(now, &decision.service, &decision.host, (slot, until), commands);
    }

    /// Whether a host has joined the service since the survey, which is then repeated.
    fn survey_newcomers(&mut self, now: Timestamp, service: &str, commands: &mut Commands) -> bool {
        let mut requests = Vec::new();
        let hosts = HostsSnapshot { registry: &self.registry, silent: self.silences.since() };
        let joined = self.promotions.get_or_create(service).survey_newcomers(now, &hosts, &mut requests);
        self.publish_replacements(now, false, commands);
        self.send_host_requests(now, requests, commands);
        joined
    }

    /// Handles the outcome of a proposal; returns whether it was a decision.
    pub(super) fn decision_resolved(
        &mut self,
        now: Timestamp,
        ticket: ProposalId,
        outcome: ProposalOutcome,
        commands: &mut Commands,
    ) -> bool {
        let Some(service) = self.decisions.proposed.remove(&ticket) else { return false };
        if !matches!(outcome, ProposalOutcome::Committed(_)) {
            log::warn!("promotion: {service}: the decision was not chosen in time");
            self.promotion_replied(now, &service, Reply::Platform { status: 0 }, commands);
        }
        true
    }

    /// Calls the platform under the decision's fencing token while the decision is valid.
    fn call_platform(
        &mut self,
        now: Timestamp,
        service: &str,
        host: &str,
        (fence, until): (u64, Timestamp),
        commands: &mut Commands,
    ) {
        let Some(platform_api) = &self.settings.platform_api else {
            log::error!("promotion: {service}: no platform API is configured");
            return;
        };
        log::info!("promotion: {service}: asking the platform to promote {host} under fencing token {fence}");
        let text = |text: &str| sonic_rs::to_string(text).unwrap_or_default();
        let body = format!("{{\"service\":{},\"id\":{}}}", text(service), text(host));
        let fence = fence.to_string();
        let headers =
            [("Arrowyard-Duty-Holder", self.settings.node.as_str()), ("Arrowyard-Fence", fence.as_str())];
        let request =
            format_request("POST", "/promotion", &platform_api.address.to_string(), &headers, &body);
        let conn = commands.dial(platform_api.address);
        let call =
            PlatformCall { messages: HttpDecoder::default(), request, service: service.to_string(), until };
        self.connections.insert(conn, Connection::Platform(call));
        self.platform_calls.push((conn, now + RESPONSE_TIMEOUT));
    }

    pub(super) fn on_platform_data(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(Connection::Platform(call)) = self.connections.get_mut(&conn) else { return };
        let status = match call.messages.next_response() {
            Ok(None) => return,
            Ok(Some(response)) => response.status,
            Err(_) => 0,
        };
        let service = call.service.clone();
        commands.close(conn);
        drop(self.connections.remove(&conn));
        self.platform_replied(now, &service, status, commands);
    }

    pub(super) fn on_platform_closed(
        &mut self,
        now: Timestamp,
        call: &PlatformCall,
        commands: &mut Commands,
    ) {
        self.platform_replied(now, &call.service, 0, commands);
    }

    fn platform_replied(&mut self, now: Timestamp, service: &str, status: u16, commands: &mut Commands) {
        log::info!("promotion: {service}: the platform responded with status {status}");
        self.promotion_replied(now, service, Reply::Platform { status }, commands);
    }

    /// Fails calls that were not answered in time.
    pub(super) fn drop_late_calls(&mut self, now: Timestamp, commands: &mut Commands) {
        let expired: Vec<Conn> =
            self.platform_calls.iter().filter(|(_, until)| *until <= now).map(|(conn, _)| *conn).collect();
        self.platform_calls.retain(|(_, until)| *until > now);
        for conn in expired {
            if let Some(Connection::Platform(call)) = self.connections.remove(&conn) {
                commands.reset(conn);
                self.on_platform_closed(now, &call, commands);
            }
        }
    }
}
