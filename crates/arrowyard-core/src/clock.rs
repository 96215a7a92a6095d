//! The router's clock: Unix time, as used in hosts' positions and start times, that never goes back.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arrowyard_types::{TimeDelta, Timestamp};
use tokio::time::{Instant, sleep};

/// The largest forward step of the system clock that is followed, since a larger one is not a normal
/// correction.
const MAX_FORWARD_STEP: TimeDelta = TimeDelta::from_millis(1000);
/// Smaller differences are not steps, since two readings of one clock may differ by this.
const MIN_FORWARD_STEP: TimeDelta = TimeDelta::from_micros(500);

/// A clock whose copies show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    /// The Unix time at `started_at`.
    unix_at_start: Timestamp,
    /// The sum of the forward steps that were followed, in microseconds. Never freed, since copies of the
    /// clock live on other threads.
    total_step_us: &'static AtomicI64,
}

impl Clock {
    /// Starts a clock at the current system time.
    pub fn start() -> Self {
        Clock {
            started_at: Instant::now(),
            unix_at_start: system_time(),
            total_step_us: Box::leak(Box::default()),
        }
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        self.unix_at_start
            + self.total_step()
            + TimeDelta::from_micros(self.started_at.elapsed().as_micros() as i64)
    }

    /// The instant at which this clock shows the time; an instant that has passed for past times.
    pub fn instant_at(&self, time: Timestamp) -> Instant {
        self.started_at + duration(time - self.unix_at_start - self.total_step())
    }

    fn total_step(&self) -> TimeDelta {
        TimeDelta::from_micros(self.total_step_us.load(Relaxed))
    }

    /// Follows a small forward step of the system clock and returns its size. Otherwise the positions of
    /// hosts whose clocks also step would appear to be in the future, and all reads would go to the
    /// primaries.
    pub fn apply_forward_step(&self, system_now: Timestamp) -> Option<TimeDelta> {
        let step = system_now - self.now();
        (MIN_FORWARD_STEP < step && step <= MAX_FORWARD_STEP).then(|| {
            self.total_step_us.fetch_add(step.micros(), Relaxed);
            step
        })
    }
}

/// The system clock, which may be set at any time.
fn system_time() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp::from_micros(since_epoch.as_micros() as i64)
}

/// Converts to a `Duration` for timers; negative values become zero.
pub fn duration(delta: TimeDelta) -> Duration {
    // Timers are capped at one day.
    Duration::from_micros(delta.micros().clamp(0, 86_400_000_000) as u64)
}

/// Detects stalls of the core's thread. Requests that arrived during a stall are read only after it, and
/// their deadlines must not start then.
pub struct StallDetector {
    clock: Clock,
    interval: Duration,
    /// The times of the last two ticks.
    last_tick: Cell<Timestamp>,
    previous_tick: Cell<Timestamp>,
}

impl StallDetector {
    /// Creates a detector that records a tick per `interval`.
    pub fn new(clock: Clock, interval: Duration) -> Rc<Self> {
        let now = clock.now();
        Rc::new(StallDetector { clock, interval, last_tick: Cell::new(now), previous_tick: Cell::new(now) })
    }

    /// Records a tick per interval, forever.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(self.interval).await;
            self.record_tick();
        }
    }

    fn record_tick(&self) {
        if let Some(step) = self.clock.apply_forward_step(system_time()) {
            tracing::info!(micros = step.micros(), "the system clock was set forward");
        }
        self.previous_tick.set(self.last_tick.replace(self.clock.now()));
    }

    /// The earliest time at which data that is read now can have arrived: now, or the tick before a recent
    /// stall.
    pub fn earliest_arrival(&self) -> Timestamp {
        let (now, last_tick, previous_tick) =
            (self.clock.now(), self.last_tick.get(), self.previous_tick.get());
        let is_stall = |from: Timestamp, to: Timestamp| duration(to - from) > self.interval * 4;
        if is_stall(last_tick, now) {
            last_tick
        } else if is_stall(previous_tick, last_tick) {
            previous_tick
        } else {
            now
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn data_read_after_a_stall_is_dated_to_its_start() {
        let (interval, stall) = (Duration::from_millis(5), Duration::from_millis(300));
        let clock = Clock::start();
        let detector = StallDetector::new(clock, interval);
        tokio::time::advance(interval).await;
        detector.record_tick();
        assert_eq!(detector.earliest_arrival(), clock.now());
        let stalled_at = clock.now();
        tokio::time::advance(stall).await;
        assert_eq!(detector.earliest_arrival(), stalled_at);
        // The tick may run before the bytes are read.
        detector.record_tick();
        assert_eq!(detector.earliest_arrival(), stalled_at);
        tokio::time::advance(interval).await;
        detector.record_tick();
        assert_eq!(detector.earliest_arrival(), clock.now());
    }
}
