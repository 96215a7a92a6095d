//! Questions to hosts that have fallen silent: routers ask them too.
//!
//! Safety: a host that no control machine reaches may still serve routers, and as a replica it lets its primary acknowledge
//! what no other host has. A change of primary that is decided without its answer may lose that. So whatever is asked of
//! a silent host is asked by way of routers at the same time, and the host counts as unreachable only if nobody got an
//! answer. Source: the indirect probes of Das, Gupta and Motivala, "SWIM" (2002).

use std::collections::BTreeMap;

use arrowyard_messages::{HostRequest, HostStatus, Payload, RelayedRequest, RelayedResponse};
use arrowyard_protocol::{Observed, Position};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{TimeDelta, Timestamp};

use super::Control;
use crate::promotion::{PromotionRequest, Reply};

/// Routers have so long to bring an answer. It is shorter than the wait for the host's own, so that a host that is down
/// is not waited for longer.
const RELAY_TIMEOUT: TimeDelta = TimeDelta::from_millis(300);
/// Beside this machine so many others have one of their routers ask: each takes a connection to the host.
const OTHER_MACHINES: usize = 2;

/// A question that routers were asked to relay.
#[derive(Debug)]
struct Relay {
    number: u64,
    ask: PromotionRequest,
    service: String,
    /// Control machines of which no answer has come.
    outstanding: usize,
    until: Timestamp,
    /// Whether the host has failed to answer control itself.
    direct_failed: bool,
}

/// What an answer leads to.
#[derive(Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// Nothing yet.
    Waiting,
    /// The host answered a router.
    Answered { service: String, reply: Reply },
    /// Neither control nor any router got an answer.
    Unreachable { service: String, host: String },
}

/// The relayed questions of this control machine, one for each host.
#[derive(Debug)]
pub struct Relays {
    last_number: u64,
    by_host: BTreeMap<String, Relay>,
}

impl Relays {
    /// Numbers begin with the life of the process, so that no answer to an earlier life is taken for one to this life.
    pub fn new(incarnation: u64) -> Self {
        Relays { last_number: incarnation, by_host: BTreeMap::new() }
    }

    /// Begins to relay a question through this many control machines, in place of the last one to the same host. None
    /// where the question is not one to a host.
    pub fn begin(
        &mut self,
        now: Timestamp,
        asked_by: u32,
        service: &str,
        ask: &PromotionRequest,
        machines: usize,
    ) -> Option<RelayedRequest> {
        let (host, request, term) = match ask {
            PromotionRequest::Observe { host } => (host, HostRequest::Observe, 0),
            PromotionRequest::Pause { host, term, .. } => (host, HostRequest::Pause, *term),
            PromotionRequest::Continue { host } => (host, HostRequest::Continue, 0),
            PromotionRequest::Promote { .. } => return None,
        };
        self.last_number = self.last_number.wrapping_add(1);
        let relay = Relay {
            number: self.last_number,
            ask: ask.clone(),
            service: service.to_string(),
            outstanding: machines,
            until: now + RELAY_TIMEOUT,
            direct_failed: false,
        };
        self.by_host.insert(host.clone(), relay);
        let number = self.last_number;
        Some(RelayedRequest { asked_by, number, host: host.clone(), request: request.into(), term })
    }

    /// Whether this question to the host is being relayed.
    pub fn is_relaying(&self, host: &str, ask: &PromotionRequest) -> bool {
        self.by_host.get(host).is_some_and(|relay| relay.ask == *ask)
    }

    /// The host answered control itself.
    pub fn direct_answered(&mut self, host: &str) {
        self.by_host.remove(host);
    }

    /// The host did not answer control itself. Whether routers are still being waited for.
    pub fn direct_failed(&mut self, host: &str) -> bool {
        self.by_host.get_mut(host).map(|relay| relay.direct_failed = true).is_some()
    }

    /// An answer has come by way of a control machine.
    pub fn answered(&mut self, answer: &RelayedResponse) -> RelayOutcome {
        let asked = self.by_host.iter_mut().find(|(_, relay)| relay.number == answer.number);
        let Some((host, relay)) = asked else { return RelayOutcome::Waiting };
        let host = host.clone();
        relay.outstanding = relay.outstanding.saturating_sub(1);
        if let Some((row, kind)) = answer.row.as_ref().zip(relay.ask.row_kind()) {
            let service = relay.service.clone();
            self.by_host.remove(&host);
            return RelayOutcome::Answered { service, reply: Reply::Row { host, kind, row: observed(row) } };
        }
        if relay.outstanding > 0 {
            return RelayOutcome::Waiting;
        }
        self.ended(&host)
    }

    /// Whoever has not answered by now does not.
    pub fn expire(&mut self, now: Timestamp) -> Vec<RelayOutcome> {
        let late = self.by_host.iter().filter(|(_, relay)| relay.until <= now);
        let late: Vec<String> = late.map(|(host, _)| host.clone()).collect();
        late.iter().map(|host| self.ended(host)).collect()
    }

    /// No router brought an answer. The host's own may still come, unless it has failed as well.
    fn ended(&mut self, host: &str) -> RelayOutcome {
        match self.by_host.remove(host) {
            Some(relay) if relay.direct_failed => {
                RelayOutcome::Unreachable { service: relay.service, host: host.to_string() }
            }
            _ => RelayOutcome::Waiting,
        }
    }

    pub fn due(&self) -> Option<Timestamp> {
        self.by_host.values().map(|relay| relay.until).min()
    }
}

fn observed(row: &HostStatus) -> Observed {
    let received = Position { term: row.received_term, number: row.received_number };
    Observed { primary: row.primary, term: row.term, received }
}

impl Control {
    /// Relays a question to a host that has fallen silent. A primary is not asked so: while control does not reach it, it
    /// is replaced.
    pub(super) fn relay(
        &mut self,
        now: Timestamp,
        id: &str,
        ask: &PromotionRequest,
        commands: &mut Commands,
    ) {
        let Some(host) = self.cell.get(id) else { return };
        let service = host.service.clone();
        let is_primary = self.cell.primary(&service).is_some_and(|primary| primary.id == id);
        if is_primary || !self.silent.contains_key(id) {
            return;
        }
        let peers = self.some_peers(OTHER_MACHINES);
        let Some(question) = self.relays.begin(now, self.me, &service, ask, 1 + peers.len()) else { return };
        for peer in peers {
            self.say_to_peer(peer, &Payload::RelayedRequest(question.clone()), commands);
        }
        self.relay_to_router(now, question, commands);
    }

    /// Passes a question on to one of the routers that are fed here, another one for each question.
    pub(super) fn relay_to_router(
        &mut self,
        now: Timestamp,
        question: RelayedRequest,
        commands: &mut Commands,
    ) {
        let mut fed: Vec<Conn> = self.routers_fed().map(|(conn, _)| conn).collect();
        fed.sort_unstable();
        if fed.is_empty() {
            let answer = RelayedResponse { asked_by: question.asked_by, number: question.number, row: None };
            return self.relayed(now, answer, commands);
        }
        let chosen = fed[(question.number % fed.len() as u64) as usize];
        self.say(chosen, Payload::RelayedRequest(question), commands);
    }

    /// An answer of a router, on its way to whoever asked.
    pub(super) fn relayed(&mut self, now: Timestamp, answer: RelayedResponse, commands: &mut Commands) {
        if answer.asked_by != self.me {
            return self.say_to_peer(answer.asked_by, &Payload::RelayedResponse(answer), commands);
        }
        let relayed = self.relays.answered(&answer);
        self.conclude_relay(now, relayed, commands);
    }

    /// RelayOutcome questions that nobody has answered in time.
    pub(super) fn expire_relays(&mut self, now: Timestamp, commands: &mut Commands) {
        for relayed in self.relays.expire(now) {
            self.conclude_relay(now, relayed, commands);
        }
    }

    fn conclude_relay(&mut self, now: Timestamp, relayed: RelayOutcome, commands: &mut Commands) {
        match relayed {
            RelayOutcome::Waiting => {}
            RelayOutcome::Answered { service, reply } => {
                if let Reply::Row { host, .. } = &reply {
                    self.drop_link(host, commands);
                }
                self.replied(now, &service, reply, commands);
            }
            RelayOutcome::Unreachable { service, host } => {
                self.replied(now, &service, Reply::Silent { host }, commands);
            }
        }
    }
}
