//! Simulated platform: promotes hosts on request and checks fencing tokens.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use arrowyard_runtime::http::{HttpDecoder, Request, format_response};
use arrowyard_runtime::{Commands, Conn, Event, Plane, Timers};
use arrowyard_types::{TimeDelta, Timestamp};

use crate::history::SharedHistory;
use crate::replication::ReplicationGroup;

/// A simulated platform.
pub struct Platform {
    groups: BTreeMap<String, Rc<RefCell<ReplicationGroup>>>,
    history: SharedHistory,
    promotion_duration: TimeDelta,
    /// Highest fencing token seen, by service.
    highest_fences: BTreeMap<String, u64>,
    connections: BTreeMap<Conn, HttpDecoder>,
    timers: Timers<Timer>,
    /// Whether the platform is unavailable.
    pub down: Rc<RefCell<bool>>,
    /// Calls received while unavailable; they are executed some time after it is available again.
    delayed_requests: Vec<PromoteRequest>,
    /// Whether lower fencing tokens are rejected; if not, a lower one violates `ONE`.
    checks_fencing: bool,
    /// Host named under each fencing token of a service.
    host_by_fence: BTreeMap<(String, u64), String>,
}

/// Request to make a host the primary of a service.
#[derive(Clone, Debug)]
struct PromoteRequest {
    /// Fencing token.
    fence: u64,
    service: String,
    host: String,
}

#[derive(Clone, Debug)]
enum Timer {
    Promote(PromoteRequest),
    /// Executes the delayed calls.
    Replay,
}

/// Time after which calls received while unavailable are executed, if the platform is available by then.
const HANG_TIME: TimeDelta = TimeDelta::from_millis(6000);

impl Platform {
    /// Creates a platform that promotes a host `promotion_duration` after the request.
    pub fn new(
        groups: &[Rc<RefCell<ReplicationGroup>>],
        history: SharedHistory,
        promotion_duration: TimeDelta,
        down: Rc<RefCell<bool>>,
    ) -> Self {
        let groups = groups.iter().map(|group| (group.borrow().service.clone(), group.clone())).collect();
        let (highest_fences, connections, timers) = (BTreeMap::new(), BTreeMap::new(), Timers::default());
        let (delayed_requests, host_by_fence) = (Vec::new(), BTreeMap::new());
        Platform {
            groups,
            history,
            promotion_duration,
            highest_fences,
            connections,
            timers,
            down,
            delayed_requests,
            checks_fencing: true,
            host_by_fence,
        }
    }

    /// Sets whether lower fencing tokens are rejected.
    #[must_use]
    pub fn with_fencing(self, checks_fencing: bool) -> Self {
        Platform { checks_fencing, ..self }
    }

    /// Validates a promotion request, schedules the promotion, and returns the HTTP status. Violates `ONE` if a
    /// fencing token decreases or names two hosts.
    fn handle_request(&mut self, now: Timestamp, promote_request: &PromoteRequest) -> u16 {
        let PromoteRequest { fence, service, host } = promote_request;
        let highest_fence = self.highest_fences.entry(service.clone()).or_default();
        if fence < highest_fence && self.checks_fencing {
            return 409;
        }
        if fence < highest_fence {
            let description = format!("{service}: fence {fence} after {highest_fence}");
            self.history.borrow_mut().record_violation("ONE", now, description);
        }
        *highest_fence = *fence;
        // A fencing token belongs to a single decision and therefore to a single host.
        let expected_host =
            self.host_by_fence.entry((service.clone(), *fence)).or_insert_with(|| host.clone());
        if expected_host != host {
            let description = format!("{service}: {expected_host} and {host} were named under fence {fence}");
            self.history.borrow_mut().record_violation("ONE", now, description);
        }
        let Some(group) = self.groups.get(service) else { return 404 };
        let group = group.borrow();
        match group.host_logs.get(host) {
            Some(host_log) if host_log.up => {}
            _ => return 409,
        }
        if !group.is_primary(host) {
            self.timers.set(now + self.promotion_duration, Timer::Promote(promote_request.clone()));
        }
        200
    }

    /// Promotes a host. Violates `LOST` if its log lacks an acknowledged write.
    fn promote(&mut self, now: Timestamp, promote_request: &PromoteRequest) {
        let PromoteRequest { service, host, .. } = promote_request;
        let group = self.groups[service].clone();
        let acknowledged = self.history.borrow().acknowledged_writes(service);
        group.borrow_mut().promote(now, host);
        let group = group.borrow();
        if group.is_primary(host) {
            let log_writes: BTreeSet<&String> =
                group.log().iter().flat_map(|commit| &commit.writes).collect();
            for token in acknowledged.iter().filter(|token| !log_writes.contains(token)) {
                let description = format!("{host} of {service} leads without {token}");
                self.history.borrow_mut().record_violation("LOST", now, description);
            }
        }
    }
}

/// Parses the body and the fencing token of a call.
fn parse_request(request: &Request) -> PromoteRequest {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let parts: Vec<&str> = body.split('"').collect();
    let json_value = |name: &str| {
        let index = parts.iter().position(|part| *part == name)?;
        parts.get(index + 2).map(|value| value.to_string())
    };
    PromoteRequest {
        fence: request.header("Arrowyard-Fence").and_then(|fence| fence.parse().ok()).unwrap_or(0),
        service: json_value("service").unwrap_or_default(),
        host: json_value("id").unwrap_or_default(),
    }
}

impl Plane for Platform {
    fn handle(&mut self, now: Timestamp, event: Event<'_>, commands: &mut Commands) {
        match event {
            Event::Accepted { conn, .. } => drop(self.connections.insert(conn, HttpDecoder::default())),
            Event::Received { conn, bytes } => {
                let Some(decoder) = self.connections.get_mut(&conn) else { return };
                decoder.put(bytes);
                if let Ok(Some(request)) = decoder.next_request() {
                    let promote_request = parse_request(&request);
                    if *self.down.borrow() {
                        if self.delayed_requests.is_empty() {
                            self.timers.set(now + HANG_TIME, Timer::Replay);
                        }
                        self.delayed_requests.push(promote_request);
                    } else {
                        let status = self.handle_request(now, &promote_request);
                        commands.write(conn, &[format_response(status, "{}").as_bytes()]);
                    }
                }
            }
            Event::Closed { conn, .. } => drop(self.connections.remove(&conn)),
            _ => {}
        }
        while let Some(timer) = self.timers.take(now) {
            match timer {
                Timer::Promote(promote_request) => self.promote(now, &promote_request),
                Timer::Replay if *self.down.borrow() => drop(self.timers.set(now + HANG_TIME, Timer::Replay)),
                Timer::Replay => {
                    for promote_request in std::mem::take(&mut self.delayed_requests) {
                        // The caller has timed out, so the status is dropped.
                        self.handle_request(now, &promote_request);
                    }
                }
            }
        }
    }

    fn due(&self) -> Option<Timestamp> {
        self.timers.due()
    }
}
