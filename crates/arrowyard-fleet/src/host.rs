//! A simulated host: cores that each run one op at a time, and a warm-up after a cold start.

use arrowyard_types::{TimeDelta, Timestamp};

/// Interval at which a host refreshes its load report, in microseconds.
const REPORT_INTERVAL_US: i64 = 150_000;
/// Work of accepting a connection, in microseconds of a core.
const HANDSHAKE_WORK: f64 = 5_000.0;
/// Work of answering a probe, in microseconds of a core.
const PROBE_WORK: f64 = 300.0;

/// A simulated host.
pub struct Host {
    /// Index of its group.
    pub group: usize,
    /// Whether it runs; a host that does not run is silent.
    pub is_up: bool,
    /// When it started, if it started cold, and how long its warm-up takes.
    started_at: Option<Timestamp>,
    warmup_time: TimeDelta,
    /// Share of its capacity that it has at the start.
    cold_capacity: f64,
    /// When each core is free.
    core_free_at: Vec<Timestamp>,
    /// Factor by which ops take longer than usual.
    pub slowdown: f64,
    /// Arrival time and size of the work received during the warm-up, in microseconds of a core.
    warmup_work: Vec<(Timestamp, f64)>,
    /// Number of probes received.
    pub probes: u64,
}

impl Host {
    /// A host that runs. It is warm unless `started_at` is given.
    pub fn new(
        group: usize,
        cores: usize,
        started_at: Option<Timestamp>,
        warmup_time: TimeDelta,
        cold_capacity: f64,
    ) -> Self {
        let core_free_at = vec![Timestamp::default(); cores];
        let (warmup_work, is_up, slowdown, probes) = (Vec::new(), true, 1.0, 0);
        Host {
            group,
            is_up,
            started_at,
            warmup_time,
            cold_capacity,
            core_free_at,
            slowdown,
            warmup_work,
            probes,
        }
    }

    /// The share of its capacity that it has at this time.
    pub fn capacity_share(&self, now: Timestamp) -> f64 {
        let progress =
            self.started_at.map_or(1.0, |started_at| ((now - started_at) / self.warmup_time).clamp(0.0, 1.0));
        self.cold_capacity + (1.0 - self.cold_capacity) * progress
    }

    /// Queues `work` microseconds of a warm core and returns when it will be done; `None` if it would wait
    /// for longer than `max_wait`.
    pub fn serve(&mut self, now: Timestamp, work: f64, max_wait: TimeDelta) -> Option<Timestamp> {
        let capacity_share = self.capacity_share(now);
        if capacity_share < 1.0 {
            self.warmup_work.push((now, work));
        }
        let core =
            (0..self.core_free_at.len()).min_by_key(|&core| self.core_free_at[core]).unwrap_or_default();
        let start = self.core_free_at[core].max(now);
        if start - now > max_wait {
            return None;
        }
        let service_time_us = (work * self.slowdown / capacity_share) as i64;
        self.core_free_at[core] = start + TimeDelta::from_micros(service_time_us);
        Some(self.core_free_at[core])
    }

    /// Queues the work of accepting a connection.
    pub fn accept_connection(&mut self, now: Timestamp) {
        let _ = self.serve(now, HANDSHAKE_WORK, TimeDelta::from_millis(60_000));
    }

    /// Answers a probe outside the queue and returns the time of the load report.
    pub fn answer_probe(&mut self, now: Timestamp) -> Timestamp {
        self.probes += 1;
        let core =
            (0..self.core_free_at.len()).min_by_key(|&core| self.core_free_at[core]).unwrap_or_default();
        self.core_free_at[core] =
            self.core_free_at[core].max(now) + TimeDelta::from_micros(PROBE_WORK as i64);
        Timestamp::from_micros(now.micros().div_euclid(REPORT_INTERVAL_US) * REPORT_INTERVAL_US)
    }

    /// Peak load during the warm-up: the work received within a window, as a multiple of the host's capacity
    /// at the start of that window.
    pub fn peak_warmup_load(&self, window: TimeDelta) -> f64 {
        let capacity =
            |at: Timestamp| self.capacity_share(at) * window.micros() as f64 * self.core_free_at.len() as f64;
        let load = |end: usize| {
            let (window_end, _) = self.warmup_work[end];
            let in_window =
                self.warmup_work[..=end].iter().rev().take_while(|(at, _)| window_end - *at <= window);
            in_window.map(|(_, work)| work).sum::<f64>() / capacity(window_end - window)
        };
        (0..self.warmup_work.len()).map(load).fold(0.0, f64::max)
    }
}
