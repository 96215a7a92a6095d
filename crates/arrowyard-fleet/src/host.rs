//! One stand-in host: cores that take one op at a time, a start from cold, a role and a position.

use arrowyard_types::{TimeDelta, Timestamp};

/// How often a host refreshes its report.
const REPORT: i64 = 150_000;
/// Work of letting a connection in, and of answering a probe, in microseconds of a core.
const HANDSHAKE: f64 = 5_000.0;
const PROBE: f64 = 300.0;

pub struct Host {
    pub group: usize,
    /// Whether it runs; one that does not is silent.
    pub up: bool,
    /// When it was started, and after how long it is warm.
    born: Option<Timestamp>,
    warm_after: TimeDelta,
    cold_from: f64,
    /// When each core is free.
    free: Vec<Timestamp>,
    /// So many times slower than usual.
    pub slower: f64,
    /// Work sent to it while it warmed up, in microseconds of a core, by when it came.
    came: Vec<(Timestamp, f64)>,
    pub probes: u64,
}

impl Host {
    pub fn new(
        group: usize,
        cores: usize,
        born: Option<Timestamp>,
        warm_after: TimeDelta,
        cold_from: f64,
    ) -> Self {
        let free = vec![Timestamp::default(); cores];
        let (came, up, slower, probes) = (Vec::new(), true, 1.0, 0);
        Host { group, up, born, warm_after, cold_from, free, slower, came, probes }
    }

    /// The share of its capacity that it has.
    pub fn warmth(&self, now: Timestamp) -> f64 {
        let share = self.born.map_or(1.0, |born| ((now - born) / self.warm_after).clamp(0.0, 1.0));
        self.cold_from + (1.0 - self.cold_from) * share
    }

    /// Takes work of so many microseconds of a warm core; when it will be done. Nothing if too much waits.
    pub fn serve(&mut self, now: Timestamp, work: f64, longest: TimeDelta) -> Option<Timestamp> {
        let warmth = self.warmth(now);
        if warmth < 1.0 {
            self.came.push((now, work));
        }
        let core = (0..self.free.len()).min_by_key(|&core| self.free[core]).unwrap_or_default();
        let begins = self.free[core].max(now);
        if begins - now > longest {
            return None;
        }
        let took = (work * self.slower / warmth) as i64;
        self.free[core] = begins + TimeDelta::from_micros(took);
        Some(self.free[core])
    }

    /// A connection is let in.
    pub fn dialed(&mut self, now: Timestamp) {
        let _ = self.serve(now, HANDSHAKE, TimeDelta::from_millis(60_000));
    }

    /// Its report is answered beside the queue; as of when.
    pub fn probed(&mut self, now: Timestamp) -> Timestamp {
        self.probes += 1;
        let core = (0..self.free.len()).min_by_key(|&core| self.free[core]).unwrap_or_default();
        self.free[core] = self.free[core].max(now) + TimeDelta::from_micros(PROBE as i64);
        Timestamp::from_micros(now.micros().div_euclid(REPORT) * REPORT)
    }

    /// The most work that came within a window while it warmed up, over what it could do in it then.
    pub fn pushed(&self, window: TimeDelta) -> f64 {
        let can = |at: Timestamp| self.warmth(at) * window.micros() as f64 * self.free.len() as f64;
        let sum = |end: usize| {
            let (last, _) = self.came[end];
            let within = self.came[..=end].iter().rev().take_while(|(at, _)| last - *at <= window);
            within.map(|(_, work)| work).sum::<f64>() / can(last - window)
        };
        (0..self.came.len()).map(sum).fold(0.0, f64::max)
    }
}
