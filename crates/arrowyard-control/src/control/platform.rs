//! The holder of the duty asks the platform to make a host primary.
//!
//! Each decision is an entry of the ledger, and its slot is the fence of its calls. Safety: so a call that hangs on its
//! way, and arrives after another host was made primary, has a lower fence than the calls of the later decision and is
//! refused; and a holder that has no majority decides nothing. Calls for one decision are repeated under its one fence.

use std::collections::BTreeMap;

use arrowyard_messages::{Decision, Entry, EntryPayload};
use arrowyard_runtime::http::{HttpDecoder, format_request};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{TimeDelta, Timestamp};

use super::{Control, Line};
use crate::promotion::{HostsSnapshot, Reply, Stage};
use crate::{ProposalId, ProposalOutcome};

/// A platform that does not answer in so long is asked anew.
const PLATFORM: TimeDelta = TimeDelta::from_millis(1200);
/// A decision is carried out, by calls that are repeated, for so long after it was proposed; then anew. Where the platform
/// does not check fences, whoever takes the duty up waits longer than that before its first decision, so that no call of
/// the holder before comes after it.
const VALID: TimeDelta = TimeDelta::from_millis(2000);
const UNCHECKED_WAIT: TimeDelta = TimeDelta::from_millis(3000);
/// A decision that is not entered in the ledger in so long is asked for anew.
const DECIDED: TimeDelta = TimeDelta::from_millis(1000);

/// A call to the platform.
pub struct Platform {
    pub messages: HttpDecoder,
    pub call: String,
    pub service: String,
    /// Nothing is sent from then on. Safety: a machine that was frozen wakes up with what it was about to send.
    pub until: Timestamp,
}

/// Which host is to lead a service, and under which fence that was agreed on.
#[derive(Debug)]
struct Decided {
    host: String,
    number: u64,
    fence: Option<u64>,
    until: Timestamp,
}

/// The decisions of this machine, one a service.
#[derive(Debug, Default)]
pub struct Decisions {
    by_service: BTreeMap<String, Decided>,
    /// Proposals that the ledger has not answered.
    proposed: BTreeMap<ProposalId, String>,
    last: u64,
    /// Nothing is decided before.
    from: Timestamp,
}

impl Control {
    /// A host is to be made primary: that is agreed on first, unless it is a repetition of what was agreed on.
    pub(super) fn ask_platform(
        &mut self,
        now: Timestamp,
        service: &str,
        host: &str,
        commands: &mut Commands,
    ) {
        let stage = &self.promotions.get_or_create(service).stage;
        let is_repeated = matches ! ( stage , Stage :: Promoting { retries , .. } if * retries > 0 );
        let decided = self.decisions.by_service.get(service);
        let is_valid = |decided: &&Decided| is_repeated && decided.host == host && now < decided.until;
        let agreed = decided.filter(is_valid).and_then(|decided| Some((decided.fence?, decided.until)));
        match agreed {
            Some((fence, until)) => self.call_platform(now, service, host, (fence, until), commands),
            None if now < self.decisions.from => {
                self.replied(now, service, Reply::Platform { status: 0 }, commands);
            }
            None => self.decide(now, service, host, commands),
        }
    }

    /// The duty was taken up from another holder, or laid down: whatever is under way to the platform is given up.
    pub(super) fn drop_platform_calls(&mut self, commands: &mut Commands) {
        for (conn, _) in std::mem::take(&mut self.platform_calls) {
            if matches!(self.lines.get(&conn), Some(Line::Platform(_))) {
                self.lines.remove(&conn);
                commands.reset(conn);
            }
        }
        self.decisions.by_service.clear();
    }

    /// Where the platform does not check fences, calls of the holder before must have come to an end first.
    pub(super) fn decide_from(&mut self, now: Timestamp, after_another: bool) {
        let waits = after_another && !self.settings.envelope.fence_checked;
        self.decisions.from = if waits { now + UNCHECKED_WAIT } else { now };
    }

    /// A connection to the platform is open: the call goes out, if there is still time for it.
    pub(super) fn platform_opened(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(Line::Platform(platform)) = self.lines.get(&conn) else { return };
        if now < platform.until {
            commands.write(conn, &[platform.call.as_bytes()]);
        } else if let Some(Line::Platform(platform)) = self.lines.remove(&conn) {
            commands.reset(conn);
            self.platform_closed(now, &platform, commands);
        }
    }

    /// Proposes a decision to the ledger.
    fn decide(&mut self, now: Timestamp, service: &str, host: &str, commands: &mut Commands) {
        let Some(duty_fence) = self.fence else { return };
        self.decisions.last += 1;
        let number = self.decisions.last;
        let decided = Decided { host: host.to_string(), number, fence: None, until: now + VALID };
        self.decisions.by_service.insert(service.to_string(), decided);
        let decision = Decision {
            service: service.to_string(),
            host: host.to_string(),
            holder: self.me,
            incarnation: self.incarnation,
            duty_fence,
            number,
        };
        let entry = Entry { payload: Some(EntryPayload::Decision(decision)) };
        // The answer may come before the proposal is made; what it is for is laid down first.
        self.decisions.proposed.insert(self.ledger.next_proposal(), service.to_string());
        self.with_ledger(now, commands, |ledger, out| ledger.propose_entry(now, entry, now + DECIDED, out));
    }

    /// A decision was agreed on in this slot: if it is this machine's newest one for the service, it is carried out.
    pub(super) fn decided(
        &mut self,
        now: Timestamp,
        slot: u64,
        decision: &Decision,
        commands: &mut Commands,
    ) {
        let is_mine = (decision.holder, decision.incarnation) == (self.me, self.incarnation);
        if !is_mine || self.fence != Some(decision.duty_fence) {
            return;
        }
        let Some(decided) = self.decisions.by_service.get_mut(&decision.service) else { return };
        if decided.number != decision.number || decided.fence.is_some() {
            return;
        }
        decided.fence = Some(slot);
        let until = decided.until;
        if self.survey_newcomers(now, &decision.service, commands) {
            return;
        }
        self.call_platform(now, &decision.service, &decision.host, (slot, until), commands);
    }

    /// Whether a host has joined the service since it was surveyed; then its hosts are surveyed again.
    fn survey_newcomers(&mut self, now: Timestamp, service: &str, commands: &mut Commands) -> bool {
        let mut asks = Vec::new();
        let sight = HostsSnapshot { registry: &self.cell, silent: &self.silent, departed: &self.left };
        let joined = self.promotions.get_or_create(service).survey_newcomers(now, &sight, &mut asks);
        self.tell_replacements(false, commands);
        self.ask_hosts(now, asks, commands);
        joined
    }

    /// The ledger answers a proposal. Whether it was one for a decision.
    pub(super) fn proposal_answered(
        &mut self,
        now: Timestamp,
        ticket: ProposalId,
        answer: ProposalOutcome,
        commands: &mut Commands,
    ) -> bool {
        let Some(service) = self.decisions.proposed.remove(&ticket) else { return false };
        if !matches!(answer, ProposalOutcome::Committed(_)) {
            log::warn!("promotion: {service}: No majority agreed in time.");
            self.replied(now, &service, Reply::Platform { status: 0 }, commands);
        }
        true
    }

    /// Calls the platform for a decision, under the decision's own fence and as long as it is valid.
    fn call_platform(
        &mut self,
        now: Timestamp,
        service: &str,
        host: &str,
        (fence, until): (u64, Timestamp),
        commands: &mut Commands,
    ) {
        let Some(platform) = &self.settings.platform_api else {
            log::error!("promotion: {service}: There is no platform to ask.");
            return;
        };
        log::info!("promotion: {service}: The platform is asked for {host}, fence {fence}.");
        let text = |text: &str| sonic_rs::to_string(text).unwrap_or_default();
        let body = format!("{{\"service\":{},\"id\":{}}}", text(service), text(host));
        let fence = fence.to_string();
        let headers =
            [("Arrowyard-Duty-Holder", self.settings.node.as_str()), ("Arrowyard-Fence", fence.as_str())];
        let call = format_request("POST", "/promotion", &platform.address.to_string(), &headers, &body);
        let conn = commands.dial(platform.address);
        let platform =
            Platform { messages: HttpDecoder::default(), call, service: service.to_string(), until };
        self.lines.insert(conn, Line::Platform(platform));
        self.platform_calls.push((conn, now + PLATFORM));
    }

    pub(super) fn platform_came(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(Line::Platform(platform)) = self.lines.get_mut(&conn) else { return };
        let status = match platform.messages.next_response() {
            Ok(None) => return,
            Ok(Some(response)) => response.status,
            Err(_) => 0,
        };
        let service = platform.service.clone();
        commands.close(conn);
        drop(self.lines.remove(&conn));
        self.platform_said(now, &service, status, commands);
    }

    pub(super) fn platform_closed(&mut self, now: Timestamp, platform: &Platform, commands: &mut Commands) {
        self.platform_said(now, &platform.service, 0, commands);
    }

    fn platform_said(&mut self, now: Timestamp, service: &str, status: u16, commands: &mut Commands) {
        log::info!("promotion: {service}: The platform says {status}.");
        self.replied(now, service, Reply::Platform { status }, commands);
    }

    /// Calls that were not answered in time.
    pub(super) fn drop_late_calls(&mut self, now: Timestamp, commands: &mut Commands) {
        let late: Vec<Conn> =
            self.platform_calls.iter().filter(|(_, until)| *until <= now).map(|(conn, _)| *conn).collect();
        self.platform_calls.retain(|(_, until)| *until > now);
        for conn in late {
            if let Some(Line::Platform(platform)) = self.lines.remove(&conn) {
                commands.reset(conn);
                self.platform_closed(now, &platform, commands);
            }
        }
    }
}
