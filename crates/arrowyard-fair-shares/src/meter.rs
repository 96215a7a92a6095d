//! What a router has under way and what waits, by host and service, averaged over the time since it was read last. What
//! is under way is reckoned from answers, by Little's law: the time that answered statements took, over the time that
//! passed. Danger: a statement whose answer is lost, or whose host is dark, is out for as long as its client waits, and holds no
//! place at the host; a count of what is out took hosts that idle for pressed, and refused what they had room for.

use std::collections::BTreeMap;

use arrowyard_types::{TimeDelta, Timestamp};

use crate::{Milli, Need, ServiceId};

/// How far what was just read moves what is told to be under way.
const NEWEST: f64 = 0.5;

/// A count, and its integral over time since it was read last.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    now: f64,
    area: f64,
    since: Timestamp,
    read_at: Timestamp,
}

impl Count {
    fn pass(&mut self, now: Timestamp) {
        self.area += self.now * (now - self.since).max(TimeDelta::ZERO).as_secs_f64();
        self.since = now;
    }

    fn add(&mut self, now: Timestamp, more: f64) {
        self.pass(now);
        self.now = (self.now + more).max(0.0);
    }

    /// Its mean since it was read last; what it is now, if that was this moment.
    fn read(&mut self, now: Timestamp) -> f64 {
        self.pass(now);
        let span = (now - self.read_at).as_secs_f64();
        let mean = if span > 0.0 { self.area / span } else { self.now };
        (self.area, self.read_at) = (0.0, now);
        mean
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// Statements that are out, answered or not.
    out: u32,
    /// Seconds that answered statements took, since this was read last; and places, as they were read.
    took: f64,
    runs: f64,
    waits: Count,
}

/// By place `P` (a host): what runs there and what waits for it. What waits for one of several counts a part at each.
#[derive(Clone, Debug)]
pub struct Meter<P> {
    counts: BTreeMap<(P, ServiceId), Counts>,
}

impl<P> Default for Meter<P> {
    fn default() -> Self {
        Meter { counts: BTreeMap::new() }
    }
}

fn milli(places: f64) -> Milli {
    (places * 1000.0).round().clamp(0.0, f64::from(u32::MAX / 4)) as Milli
}

impl<P: Copy + Ord> Meter<P> {
    fn at(&mut self, now: Timestamp, place: P, service: ServiceId) -> &mut Counts {
        let fresh = || {
            let count = Count { since: now, read_at: now, ..Count::default() };
            Counts { waits: count, ..Counts::default() }
        };
        self.counts.entry((place, service)).or_insert_with(fresh)
    }

    /// A statement goes to a host.
    pub fn began(&mut self, now: Timestamp, place: P, service: ServiceId) {
        self.at(now, place, service).out += 1;
    }

    /// It is there no more. `took`: what it took, if the host has answered.
    pub fn ended(&mut self, now: Timestamp, place: P, service: ServiceId, took: Option<TimeDelta>) {
        let counts = self.at(now, place, service);
        counts.out = counts.out.saturating_sub(1);
        counts.took += took.map_or(0.0, TimeDelta::as_secs_f64);
    }

    /// So many statements wait for one of these hosts; more, or with a minus, fewer.
    pub fn waits(&mut self, now: Timestamp, places: &[P], service: ServiceId, more: f64) {
        let part = more / places.len().max(1) as f64;
        places.iter().for_each(|place| self.at(now, *place, service).waits.add(now, part));
    }

    /// Whether nothing is out at a host.
    #[must_use]
    pub fn is_idle(&self, place: P) -> bool {
        let mut of = self.counts.range((place, ServiceId(0))..=(place, ServiceId(u32::MAX)));
        of.all(|(_, counts)| counts.out == 0 && counts.waits.now <= 0.0)
    }

    /// The need of a host: means since this was read last.
    pub fn read(&mut self, now: Timestamp, place: P) -> Vec<Need> {
        let of = self.counts.range_mut((place, ServiceId(0))..=(place, ServiceId(u32::MAX)));
        of.map(|((_, service), counts)| {
            let span = (now - counts.waits.read_at).as_secs_f64();
            let taken = std::mem::take(&mut counts.took);
            if span > 0.0 {
                counts.runs += (taken / span - counts.runs) * NEWEST;
            }
            Need { service: *service, runs: milli(counts.runs), waits: milli(counts.waits.read(now)) }
        })
        .collect()
    }

    /// Hosts where anything is or was counted.
    pub fn places(&self) -> impl Iterator<Item = P> {
        let mut last = None;
        self.counts.keys().filter_map(move |(place, _)| {
            let new = last != Some(*place);
            last = Some(*place);
            new.then_some(*place)
        })
    }

    /// Forgets hosts that are gone.
    pub fn forget(&mut self, place: P) {
        self.counts.retain(|(of, _), _| *of != place);
    }
}
