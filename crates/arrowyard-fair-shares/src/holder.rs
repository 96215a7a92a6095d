//! What a router was allotted, and till when. A part is leased: it runs from when the router said the word that it
//! answers. Without news it shrinks to the router's fixed part of the host, and is never more than it was.

use std::collections::BTreeMap;

use arrowyard_types::{TimeDelta, Timestamp};

use crate::owed::owed;
use crate::{Allot, Milli, Need, ServiceId, Terms};

/// How long a part holds from the router's word that it answers. It is whole for half of that, and then shrinks.
pub const LEASE: TimeDelta = TimeDelta::from_millis(1000);
/// A host is told of for so long after it was asked for last.
const ASKED: TimeDelta = TimeDelta::from_millis(1500);
/// Words of a router whose times are kept.
const WORDS: usize = 256;
/// A part without news for so long says nothing any more of how hosts are pressed.
const FORGOTTEN: TimeDelta = TimeDelta::from_millis(60_000);

#[derive(Clone, Debug)]
struct Part {
    allot: Allot,
    /// From when its lease runs.
    since: Timestamp,
}

/// All parts of one router.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    parts: BTreeMap<String, Part>,
    /// When each of the last words was said.
    said: BTreeMap<u64, Timestamp>,
    word: u64,
    /// Of all parts: the newest number that was taken up, by host.
    taken: BTreeMap<String, (u64, u64)>,
    /// Hosts of which whoever divides wants to know the need, and since when.
    asked: BTreeMap<String, Timestamp>,
}

impl Holder {
    /// The number of the next word to whoever divides, which is said now.
    pub fn says(&mut self, now: Timestamp) -> u64 {
        self.word += 1;
        self.said.insert(self.word, now);
        while self.said.len() > WORDS {
            self.said.pop_first();
        }
        self.word
    }

    /// The fence and number of the last part that was taken up for a host.
    #[must_use]
    pub fn answers(&self, host: &str) -> (u64, u64) {
        self.taken.get(host).copied().unwrap_or_default()
    }

    /// Whoever divides says what is allotted. What is older than what is known is passed over, from whoever it comes.
    /// Whether it was taken up.
    pub fn heard(&mut self, now: Timestamp, allot: Allot) -> bool {
        let newest = self.answers(&allot.host);
        if (allot.fence, allot.number) <= newest {
            return false;
        }
        // Danger: a word that was held up on its way, for longer than the lease of what it answers. Who has told nothing
        // yet is allotted nothing of what is held; that may be late.
        let since = if allot.echo == 0 { Some(now) } else { self.said.get(&allot.echo).copied() };
        let Some(since) = since else { return false };
        self.taken.insert(allot.host.clone(), (allot.fence, allot.number));
        if allot.pressed {
            self.parts.insert(allot.host.clone(), Part { allot, since });
        } else {
            self.parts.remove(&allot.host);
        }
        true
    }

    /// Whoever divides wants to know what is needed of a host.
    pub fn asked(&mut self, now: Timestamp, host: &str) {
        self.asked.insert(host.to_string(), now);
    }

    /// Whether this router's need of a host is to be told, however small it is.
    #[must_use]
    pub fn is_asked(&self, now: Timestamp, host: &str) -> bool {
        self.is_pressed(host) || self.asked.get(host).is_some_and(|at| now - *at < ASKED)
    }

    /// Hosts that are pressed, as far as is known here.
    pub fn pressed(&self) -> impl Iterator<Item = &str> {
        self.parts.keys().map(String::as_str)
    }

    #[must_use]
    pub fn is_pressed(&self, host: &str) -> bool {
        self.parts.contains_key(host)
    }

    /// The connection to control is new: parts that ran out are forgotten. It says again what is pressed.
    pub fn renewed(&mut self, now: Timestamp) {
        self.parts.retain(|_, part| now - part.since < LEASE);
    }

    /// Parts that nobody has spoken of for a long time are forgotten.
    pub fn sweep(&mut self, now: Timestamp) {
        self.parts.retain(|_, part| now - part.since < FORGOTTEN);
        self.asked.retain(|_, at| now - *at < ASKED);
        self.taken.retain(|host, _| self.parts.contains_key(host) || self.asked.contains_key(host));
    }

    /// How many statements of each service may be under way at a host, in thousandths; services that are not named go
    /// free. `needs` is what this router needs there now.
    #[must_use]
    pub fn caps(&self, now: Timestamp, host: &str, needs: &[Need], terms: &Terms) -> Vec<(ServiceId, Milli)> {
        let Some(part) = self.parts.get(host) else { return Vec::new() };
        let age = now - part.since;
        if age < LEASE * 0.5 {
            return part.allot.caps.clone();
        }
        let fixed = part.fixed(needs, terms);
        let left = (1.0 - (age - LEASE * 0.5) / (LEASE * 0.5)).clamp(0.0, 1.0);
        let shrunk = |(of, cap): &(ServiceId, Milli)| {
            let fixed = fixed.iter().find(|(other, _)| other == of).map_or(0, |(_, fixed)| *fixed).min(*cap);
            let cap = f64::from(fixed) + f64::from(cap - fixed) * left;
            (*of, cap as Milli)
        };
        part.allot.caps.iter().map(shrunk).collect()
    }
}

impl Part {
    /// This router's even part of the host, divided between its own services.
    fn fixed(&self, needs: &[Need], terms: &Terms) -> Vec<(ServiceId, Milli)> {
        let places = f64::from(self.allot.places) / 1000.0 / f64::from(self.allot.routers.max(1));
        let asks: Vec<(ServiceId, f64)> = needs
            .iter()
            .map(|need| (need.service, (f64::from(need.runs) + f64::from(need.waits)) / 1000.0))
            .collect();
        let parts = owed(places, &terms.claims(places, &asks));
        asks.iter().zip(parts).map(|((of, _), part)| (*of, (part * 1000.0) as Milli)).collect()
    }
}
