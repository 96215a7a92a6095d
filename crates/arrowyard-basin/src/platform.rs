//! The platform: makes a host primary when the holder of the duty asks, and keeps to fences.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use arrowyard_penstock::http::{Messages, answer};
use arrowyard_penstock::{Conn, Event, Orders, Plane, Timers};
use arrowyard_types::{Point, Span};

use crate::history::Shared;
use crate::shard::Shard;

/// The platform.
pub struct Platform {
    shards: BTreeMap<String, Rc<RefCell<Shard>>>,
    history: Shared,
    takes: Span,
    fences: BTreeMap<String, u64>,
    calls: BTreeMap<Conn, Messages>,
    timers: Timers<(String, String)>,
    /// Whether it answers at all.
    pub away: Rc<RefCell<bool>>,
}

impl Platform {
    pub fn new(shards: &[Rc<RefCell<Shard>>], history: Shared, takes: Span, away: Rc<RefCell<bool>>) -> Self {
        let shards = shards.iter().map(|shard| (shard.borrow().service.clone(), shard.clone())).collect();
        let (fences, calls, timers) = (BTreeMap::new(), BTreeMap::new(), Timers::default());
        Platform { shards, history, takes, fences, calls, timers, away }
    }

    fn status(&mut self, now: Point, fence: u64, service: &str, host: &str) -> u16 {
        let known = self.fences.entry(service.to_string()).or_default();
        if fence < *known {
            return 409;
        }
        *known = fence;
        let Some(shard) = self.shards.get(service) else { return 404 };
        let shard = shard.borrow();
        match shard.copies.get(host) {
            Some(copy) if copy.up => {}
            _ => return 409,
        }
        if !shard.leads(host) {
            self.timers.set(now + self.takes, (service.to_string(), host.to_string()));
        }
        200
    }
}

impl Plane for Platform {
    fn handle(&mut self, now: Point, event: Event<'_>, orders: &mut Orders) {
        match event {
            Event::Accepted { conn, .. } => drop(self.calls.insert(conn, Messages::default())),
            Event::Came { conn, bytes } if !*self.away.borrow() => {
                let Some(messages) = self.calls.get_mut(&conn) else { return };
                messages.put(bytes);
                if let Ok(Some(request)) = messages.request() {
                    let fence =
                        request.header("Arrowyard-Fence").and_then(|fence| fence.parse().ok()).unwrap_or(0);
                    let body = String::from_utf8_lossy(&request.body).into_owned();
                    let parts: Vec<&str> = body.split('"').collect();
                    let named = |name: &str| {
                        let place = parts.iter().position(|part| *part == name)?;
                        parts.get(place + 2).map(|value| value.to_string())
                    };
                    let (service, host) =
                        (named("service").unwrap_or_default(), named("id").unwrap_or_default());
                    let status = self.status(now, fence, &service, &host);
                    orders.write(conn, &[answer(status, "{}").as_bytes()]);
                }
            }
            Event::Closed { conn, .. } => drop(self.calls.remove(&conn)),
            _ => {}
        }
        while let Some((service, host)) = self.timers.take(now) {
            let shard = self.shards[&service].clone();
            // LOST: what was acknowledged must be in the log of whoever takes over.
            let before = self.history.borrow().acknowledged_of(&service);
            shard.borrow_mut().promote(now, &host);
            let shard = shard.borrow();
            if shard.leads(&host) {
                let has: BTreeSet<&String> = shard.log().iter().flat_map(|commit| &commit.writes).collect();
                for token in before.iter().filter(|token| !has.contains(token)) {
                    let what = format!("{host} of {service} leads without {token}");
                    self.history.borrow_mut().breach("LOST", now, what);
                }
            }
        }
    }

    fn due(&self) -> Option<Point> {
        self.timers.due()
    }
}
