//! The platform: makes a host primary when the holder of the duty asks, and keeps to fences.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use arrowyard_runtime::http::{HttpDecoder, Request, format_response};
use arrowyard_runtime::{Commands, Conn, Event, Plane, Timers};
use arrowyard_types::{TimeDelta, Timestamp};

use crate::history::Shared;
use crate::shard::Shard;

/// The platform.
pub struct Platform {
    shards: BTreeMap<String, Rc<RefCell<Shard>>>,
    history: Shared,
    takes: TimeDelta,
    fences: BTreeMap<String, u64>,
    calls: BTreeMap<Conn, HttpDecoder>,
    timers: Timers<Due>,
    /// Whether it answers at all.
    pub away: Rc<RefCell<bool>>,
    /// Calls that came meanwhile: they hang, and arrive once it is back for a while.
    hung: Vec<Wanted>,
    /// Whether lower fences are refused; if not, none may come.
    checks_fences: bool,
    /// Which host was named last under a fence.
    named: BTreeMap<(String, u64), String>,
}

/// A host that is to lead a service.
#[derive(Clone, Debug)]
struct Wanted {
    fence: u64,
    service: String,
    host: String,
}

#[derive(Clone, Debug)]
enum Due {
    Lead(Wanted),
    /// Calls that hung arrive.
    Hung,
}

/// So long after it is back, calls that hung arrive.
const HANGS: TimeDelta = TimeDelta::from_millis(6000);

impl Platform {
    pub fn new(
        shards: &[Rc<RefCell<Shard>>],
        history: Shared,
        takes: TimeDelta,
        away: Rc<RefCell<bool>>,
    ) -> Self {
        let shards = shards.iter().map(|shard| (shard.borrow().service.clone(), shard.clone())).collect();
        let (fences, calls, timers) = (BTreeMap::new(), BTreeMap::new(), Timers::default());
        let (hung, named) = (Vec::new(), BTreeMap::new());
        Platform { shards, history, takes, fences, calls, timers, away, hung, checks_fences: true, named }
    }

    #[must_use]
    pub fn checks_fences(self, checks_fences: bool) -> Self {
        Platform { checks_fences, ..self }
    }

    fn status(&mut self, now: Timestamp, wanted: &Wanted) -> u16 {
        let Wanted { fence, service, host } = wanted;
        let known = self.fences.entry(service.clone()).or_default();
        if fence < known && self.checks_fences {
            return 409;
        }
        if fence < known {
            let what = format!("{service}: fence {fence} after {known}");
            self.history.borrow_mut().breach("ONE", now, what);
        }
        *known = *fence;
        // ONE: a fence is for one decision.
        let named = self.named.entry((service.clone(), *fence)).or_insert_with(|| host.clone());
        if named != host {
            let what = format!("{service}: {named} and {host} were named under fence {fence}");
            self.history.borrow_mut().breach("ONE", now, what);
        }
        let Some(shard) = self.shards.get(service) else { return 404 };
        let shard = shard.borrow();
        match shard.copies.get(host) {
            Some(copy) if copy.up => {}
            _ => return 409,
        }
        if !shard.leads(host) {
            self.timers.set(now + self.takes, Due::Lead(wanted.clone()));
        }
        200
    }

    /// A host leads from now on. LOST: what was acknowledged must be in its log.
    fn lead(&mut self, now: Timestamp, wanted: &Wanted) {
        let Wanted { service, host, .. } = wanted;
        let shard = self.shards[service].clone();
        let before = self.history.borrow().acknowledged_of(service);
        shard.borrow_mut().promote(now, host);
        let shard = shard.borrow();
        if shard.leads(host) {
            let has: BTreeSet<&String> = shard.log().iter().flat_map(|commit| &commit.writes).collect();
            for token in before.iter().filter(|token| !has.contains(token)) {
                let what = format!("{host} of {service} leads without {token}");
                self.history.borrow_mut().breach("LOST", now, what);
            }
        }
    }
}

/// What a call asks for.
fn wanted(request: &Request) -> Wanted {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let parts: Vec<&str> = body.split('"').collect();
    let named = |name: &str| {
        let place = parts.iter().position(|part| *part == name)?;
        parts.get(place + 2).map(|value| value.to_string())
    };
    Wanted {
        fence: request.header("Arrowyard-Fence").and_then(|fence| fence.parse().ok()).unwrap_or(0),
        service: named("service").unwrap_or_default(),
        host: named("id").unwrap_or_default(),
    }
}

impl Plane for Platform {
    fn handle(&mut self, now: Timestamp, event: Event<'_>, commands: &mut Commands) {
        match event {
            Event::Accepted { conn, .. } => drop(self.calls.insert(conn, HttpDecoder::default())),
            Event::Received { conn, bytes } => {
                let Some(messages) = self.calls.get_mut(&conn) else { return };
                messages.put(bytes);
                if let Ok(Some(request)) = messages.next_request() {
                    let wanted = wanted(&request);
                    if *self.away.borrow() {
                        if self.hung.is_empty() {
                            self.timers.set(now + HANGS, Due::Hung);
                        }
                        self.hung.push(wanted);
                    } else {
                        let status = self.status(now, &wanted);
                        commands.write(conn, &[format_response(status, "{}").as_bytes()]);
                    }
                }
            }
            Event::Closed { conn, .. } => drop(self.calls.remove(&conn)),
            _ => {}
        }
        while let Some(due) = self.timers.take(now) {
            match due {
                Due::Lead(wanted) => self.lead(now, &wanted),
                Due::Hung if *self.away.borrow() => drop(self.timers.set(now + HANGS, Due::Hung)),
                Due::Hung => {
                    for wanted in std::mem::take(&mut self.hung) {
                        // Nobody waits for its answer any more.
                        self.status(now, &wanted);
                    }
                }
            }
        }
    }

    fn due(&self) -> Option<Timestamp> {
        self.timers.due()
    }
}
