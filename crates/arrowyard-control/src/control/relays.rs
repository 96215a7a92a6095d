//! Relays requests to silent hosts through routers.
//!
//! Safety: a host that no control machine reaches may still serve routers, and as a replica let its
//! primary acknowledge commits that no other host has. A promotion decided without its response may
//! lose them. So a request to a silent host is sent through routers at the same time, and the host
//! counts as unreachable only if nobody got a response. Based on the indirect probes of Das, Gupta and
//! Motivala, "SWIM" (2002).

use std::collections::BTreeMap;

use arrowyard_messages::{HostRequest, HostStatus, Payload, RelayedRequest, RelayedResponse};
use arrowyard_protocol::{Observed, Position};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{TimeDelta, Timestamp};

use super::Control;
use crate::promotion::{PromotionRequest, Reply};

/// Timeout of a relayed request. Shorter than that of the direct request, so that a failed host does
/// not take longer to detect.
const RELAY_TIMEOUT: TimeDelta = TimeDelta::from_millis(300);
/// Number of other control machines that have one of their routers relay the request; each relay takes
/// a connection to the host.
const OTHER_MACHINES: usize = 2;

/// A request being relayed.
#[derive(Debug)]
struct Relay {
    number: u64,
    request: PromotionRequest,
    service: String,
    /// Number of control machines that have not responded.
    outstanding: usize,
    until: Timestamp,
    /// Whether the direct request has failed.
    direct_failed: bool,
}

/// Result of a response or a timeout.
#[derive(Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// No result yet.
    Waiting,
    /// The host responded to a router.
    Answered { service: String, reply: Reply },
    /// Neither the direct request nor any relay got a response.
    Unreachable { service: String, host: String },
}

/// Relayed requests of this control machine, at most one per host.
#[derive(Debug)]
pub struct Relays {
    last_number: u64,
    by_host: BTreeMap<String, Relay>,
}

impl Relays {
    /// Numbers start at the incarnation, so that a response to an earlier incarnation does not match a
    /// request of this one.
    pub fn new(incarnation: u64) -> Self {
        Relays { last_number: incarnation, by_host: BTreeMap::new() }
    }

    /// Starts relaying a request through `machines` control machines, replacing an earlier one to the same
    /// host. `None` if the request is not addressed to a host.
    pub fn begin(
        &mut self,
        now: Timestamp,
        asked_by: u32,
        service: &str,
        promotion_request: &PromotionRequest,
        machines: usize,
    ) -> Option<RelayedRequest> {
        let (host, request, term) = match promotion_request {
            PromotionRequest::Observe { host } => (host, HostRequest::Observe, 0),
            PromotionRequest::Pause { host, term, .. } => (host, HostRequest::Pause, *term),
            PromotionRequest::Continue { host, .. } => (host, HostRequest::Continue, 0),
            PromotionRequest::Promote { .. } => return None,
        };
        self.last_number = self.last_number.wrapping_add(1);
        let relay = Relay {
            number: self.last_number,
            request: promotion_request.clone(),
            service: service.to_string(),
            outstanding: machines,
            until: now + RELAY_TIMEOUT,
            direct_failed: false,
        };
        self.by_host.insert(host.clone(), relay);
        let number = self.last_number;
        Some(RelayedRequest { asked_by, number, host: host.clone(), request: request.into(), term })
    }

    /// Whether this request to the host is being relayed.
    pub fn is_relaying(&self, host: &str, request: &PromotionRequest) -> bool {
        self.by_host.get(host).is_some_and(|relay| relay.request == *request)
    }

    /// The direct request was answered.
    pub fn direct_answered(&mut self, host: &str) {
        self.by_host.remove(host);
    }

    /// The direct request failed. Returns whether relays are still outstanding.
    pub fn direct_failed(&mut self, host: &str) -> bool {
        self.by_host.get_mut(host).map(|relay| relay.direct_failed = true).is_some()
    }

    /// Handles a response forwarded by a control machine.
    pub fn answered(&mut self, response: &RelayedResponse) -> RelayOutcome {
        let outcome = self.by_host.iter_mut().find(|(_, relay)| relay.number == response.number);
        let Some((host, relay)) = outcome else { return RelayOutcome::Waiting };
        let host = host.clone();
        relay.outstanding = relay.outstanding.saturating_sub(1);
        if let Some((row, kind)) = response.row.as_ref().zip(relay.request.request_kind()) {
            let service = relay.service.clone();
            self.by_host.remove(&host);
            return RelayOutcome::Answered { service, reply: Reply::Row { host, kind, row: observed(row) } };
        }
        if relay.outstanding > 0 {
            return RelayOutcome::Waiting;
        }
        self.ended(&host)
    }

    /// Ends the relays whose deadline has passed.
    pub fn expire(&mut self, now: Timestamp) -> Vec<RelayOutcome> {
        let expired = self.by_host.iter().filter(|(_, relay)| relay.until <= now);
        let expired: Vec<String> = expired.map(|(host, _)| host.clone()).collect();
        expired.iter().map(|host| self.ended(host)).collect()
    }

    /// No relay got a response; the direct one may still arrive unless it has failed as well.
    fn ended(&mut self, host: &str) -> RelayOutcome {
        match self.by_host.remove(host) {
            Some(relay) if relay.direct_failed => {
                RelayOutcome::Unreachable { service: relay.service, host: host.to_string() }
            }
            _ => RelayOutcome::Waiting,
        }
    }

    /// When the next relay expires.
    pub fn due(&self) -> Option<Timestamp> {
        self.by_host.values().map(|relay| relay.until).min()
    }
}

fn observed(row: &HostStatus) -> Observed {
    let received = Position { term: row.received_term, number: row.received_number };
    Observed { primary: row.primary, term: row.term, received }
}

impl Control {
    /// Relays a request to a silent host. A primary is not asked this way: it is replaced while control
    /// cannot reach it.
    pub(super) fn relay(
        &mut self,
        now: Timestamp,
        id: &str,
        request: &PromotionRequest,
        commands: &mut Commands,
    ) {
        let Some(host) = self.registry.get(id) else { return };
        let service = host.service.clone();
        let is_primary = self.registry.primary(&service).is_some_and(|primary| primary.id == id);
        if is_primary || !self.silences.contains(id) {
            return;
        }
        let peers = self.random_peers(OTHER_MACHINES);
        let Some(request) = self.relays.begin(now, self.local_ip, &service, request, 1 + peers.len()) else {
            return;
        };
        for peer in peers {
            self.send_to_peer(peer, &Payload::RelayedRequest(request.clone()), commands);
        }
        self.relay_to_router(now, request, commands);
    }

    /// Forwards a request to one of the subscribed routers, a different one for each request.
    pub(super) fn relay_to_router(
        &mut self,
        now: Timestamp,
        request: RelayedRequest,
        commands: &mut Commands,
    ) {
        let mut subscribed: Vec<Conn> = self.subscribed_routers().map(|(conn, _)| conn).collect();
        subscribed.sort_unstable();
        if subscribed.is_empty() {
            let response = RelayedResponse { asked_by: request.asked_by, number: request.number, row: None };
            return self.handle_relay_response(now, response, commands);
        }
        let chosen = subscribed[(request.number % subscribed.len() as u64) as usize];
        self.send(chosen, Payload::RelayedRequest(request), commands);
    }

    /// Forwards a router's response to the control machine that asked.
    pub(super) fn handle_relay_response(
        &mut self,
        now: Timestamp,
        response: RelayedResponse,
        commands: &mut Commands,
    ) {
        if response.asked_by != self.local_ip {
            return self.send_to_peer(response.asked_by, &Payload::RelayedResponse(response), commands);
        }
        let outcome = self.relays.answered(&response);
        self.conclude_relay(now, outcome, commands);
    }

    /// Expires relayed requests.
    pub(super) fn expire_relays(&mut self, now: Timestamp, commands: &mut Commands) {
        for outcome in self.relays.expire(now) {
            self.conclude_relay(now, outcome, commands);
        }
    }

    fn conclude_relay(&mut self, now: Timestamp, outcome: RelayOutcome, commands: &mut Commands) {
        match outcome {
            RelayOutcome::Waiting => {}
            RelayOutcome::Answered { service, reply } => {
                if let Reply::Row { host, .. } = &reply {
                    self.drop_host_connection(host, commands);
                }
                self.promotion_replied(now, &service, reply, commands);
            }
            RelayOutcome::Unreachable { service, host } => {
                self.promotion_replied(now, &service, Reply::NoResponse { host }, commands);
            }
        }
    }
}
