//! A router's in-flight and queued statements by host and class, averaged over the time since the last
//! reading.
//!
//! In-flight statements are derived from replies by Little's law: the summed latency of answered statements
//! over the elapsed time. Statements whose reply was lost, or whose host is unreachable, stay outstanding
//! until their timeout but use no permit at the host; counting them would make an idle host look overloaded.

use std::collections::BTreeMap;

use arrowyard_types::{TimeDelta, Timestamp};

use crate::{ClassDemand, ClassId, MilliPermits};

/// Weight of the newest reading in the exponential moving average of in-flight statements.
const SMOOTHING: f64 = 0.5;

/// A count, and its integral over the time since the last reading in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct TimeAverage {
    value: f64,
    integral: f64,
    updated_at: Timestamp,
    read_at: Timestamp,
}

impl TimeAverage {
    fn advance(&mut self, now: Timestamp) {
        self.integral += self.value * (now - self.updated_at).max(TimeDelta::ZERO).as_secs_f64();
        self.updated_at = now;
    }

    fn add(&mut self, now: Timestamp, delta: f64) {
        self.advance(now);
        self.value = (self.value + delta).max(0.0);
    }

    /// The mean since the last reading; the current value if no time has passed.
    fn read(&mut self, now: Timestamp) -> f64 {
        self.advance(now);
        let elapsed_s = (now - self.read_at).as_secs_f64();
        let mean = if elapsed_s > 0.0 { self.integral / elapsed_s } else { self.value };
        (self.integral, self.read_at) = (0.0, now);
        mean
    }
}

/// The counters of one class at one host.
#[derive(Clone, Copy, Debug, Default)]
struct Counters {
    /// Statements sent whose end was not recorded yet.
    outstanding: u32,
    /// Summed latency in seconds of the statements answered since the last reading.
    answered_s: f64,
    /// The moving average of the in-flight statements.
    in_flight: f64,
    queued: TimeAverage,
}

/// Measures the demand at each host `H`. A statement that waits for any of several hosts counts in equal
/// parts at each.
#[derive(Clone, Debug)]
pub struct DemandMeter<H> {
    counters: BTreeMap<(H, ClassId), Counters>,
}

impl<H> Default for DemandMeter<H> {
    fn default() -> Self {
        DemandMeter { counters: BTreeMap::new() }
    }
}

fn milli_permits(permits: f64) -> MilliPermits {
    (permits * 1000.0).round().clamp(0.0, f64::from(u32::MAX / 4)) as MilliPermits
}

impl<H: Copy + Ord> DemandMeter<H> {
    fn counters(&mut self, now: Timestamp, host: H, class: ClassId) -> &mut Counters {
        let new_counters = || {
            let queued = TimeAverage { updated_at: now, read_at: now, ..TimeAverage::default() };
            Counters { queued, ..Counters::default() }
        };
        self.counters.entry((host, class)).or_insert_with(new_counters)
    }

    /// Records that a statement was sent to a host.
    pub fn statement_started(&mut self, now: Timestamp, host: H, class: ClassId) {
        self.counters(now, host, class).outstanding += 1;
    }

    /// Records the end of a statement. `latency` is given only if the host answered.
    pub fn statement_ended(&mut self, now: Timestamp, host: H, class: ClassId, latency: Option<TimeDelta>) {
        let counters = self.counters(now, host, class);
        counters.outstanding = counters.outstanding.saturating_sub(1);
        counters.answered_s += latency.map_or(0.0, TimeDelta::as_secs_f64);
    }

    /// Adds `delta` (negative to remove) to the statements queued for any of these hosts.
    pub fn add_queued(&mut self, now: Timestamp, hosts: &[H], class: ClassId, delta: f64) {
        let part = delta / hosts.len().max(1) as f64;
        hosts.iter().for_each(|host| self.counters(now, *host, class).queued.add(now, part));
    }

    /// Whether a host has neither outstanding nor queued statements.
    #[must_use]
    pub fn is_idle(&self, host: H) -> bool {
        let mut counters = self.counters.range((host, ClassId(0))..=(host, ClassId(u32::MAX)));
        counters.all(|(_, counters)| counters.outstanding == 0 && counters.queued.value <= 0.0)
    }

    /// The demand at a host, by class, averaged since the last reading.
    pub fn read(&mut self, now: Timestamp, host: H) -> Vec<ClassDemand> {
        let counters = self.counters.range_mut((host, ClassId(0))..=(host, ClassId(u32::MAX)));
        counters
            .map(|((_, class), counters)| {
                let elapsed_s = (now - counters.queued.read_at).as_secs_f64();
                let answered_s = std::mem::take(&mut counters.answered_s);
                if elapsed_s > 0.0 {
                    counters.in_flight += (answered_s / elapsed_s - counters.in_flight) * SMOOTHING;
                }
                ClassDemand {
                    class: *class,
                    in_flight: milli_permits(counters.in_flight),
                    queued: milli_permits(counters.queued.read(now)),
                }
            })
            .collect()
    }

    /// Hosts with counters.
    pub fn hosts(&self) -> impl Iterator<Item = H> {
        let mut last = None;
        self.counters.keys().filter_map(move |(host, _)| {
            let is_new = last != Some(*host);
            last = Some(*host);
            is_new.then_some(*host)
        })
    }

    /// Drops the counters of a host.
    pub fn forget(&mut self, host: H) {
        self.counters.retain(|(other, _), _| *other != host);
    }
}
