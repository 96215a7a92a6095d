//! The router's clock: Unix time, since positions and starts of hosts are told in it, that never goes back.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arrowyard_types::{TimeDelta, Timestamp};
use tokio::time::{Instant, sleep};

/// How far the machine's clock may be set forward at once and be followed. Further away is no correction.
const MAX_FORWARD_STEP: TimeDelta = TimeDelta::from_millis(1000);
/// Less than this is no step: two readings of one clock lie so far apart.
const MIN_FORWARD_STEP: TimeDelta = TimeDelta::from_micros(500);

/// Copies show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: Timestamp,
    /// By how many microseconds the machine's clock was set forward since the start, as far as that was followed. One
    /// of a process, never freed: the clock is copied to threads of other fronts.
    stepped_us: &'static AtomicI64,
}

impl Clock {
    pub fn start() -> Self {
        Clock { started: Instant::now(), unix: system_time(), stepped_us: Box::leak(Box::default()) }
    }

    pub fn now(&self) -> Timestamp {
        self.unix + self.stepped() + TimeDelta::from_micros(self.started.elapsed().as_micros() as i64)
    }

    /// The moment at which this clock shows the point; at once for points gone by.
    pub fn instant_at(&self, point: Timestamp) -> Instant {
        self.started + duration(point - self.unix - self.stepped())
    }

    fn stepped(&self) -> TimeDelta {
        TimeDelta::from_micros(self.stepped_us.load(Relaxed))
    }

    /// Goes with the machine's clock where that was set forward by a little, and says by how much. Danger: hosts tell
    /// their positions by clocks that were set as well; one that stays behind takes each of them for one in the
    /// future, and all reads go to the primaries from then on.
    pub fn apply_forward_step(&self, machine: Timestamp) -> Option<TimeDelta> {
        let step = machine - self.now();
        (MIN_FORWARD_STEP < step && step <= MAX_FORWARD_STEP).then(|| {
            self.stepped_us.fetch_add(step.micros(), Relaxed);
            step
        })
    }
}

/// What the machine's clock shows, which may be set at any time.
fn system_time() -> Timestamp {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp::from_micros(unix.as_micros() as i64)
}

pub fn duration(span: TimeDelta) -> Duration {
    // A timer further away than a day is none.
    Duration::from_micros(span.micros().clamp(0, 86_400_000_000) as u64)
}

/// When the one thread last came round. Danger: the machine gives the router no core for a while; what came in
/// that while is read only afterwards, and its time seems to start then.
pub struct StallDetector {
    clock: Clock,
    interval: Duration,
    last: Cell<Timestamp>,
    before: Cell<Timestamp>,
}

impl StallDetector {
    pub fn new(clock: Clock, every: Duration) -> Rc<Self> {
        let now = clock.now();
        Rc::new(StallDetector { clock, interval: every, last: Cell::new(now), before: Cell::new(now) })
    }

    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(self.interval).await;
            self.record_tick();
        }
    }

    fn record_tick(&self) {
        if let Some(step) = self.clock.apply_forward_step(system_time()) {
            tracing::info!(micros = step.micros(), "the machine's clock was set forward");
        }
        self.before.set(self.last.replace(self.clock.now()));
    }

    /// The earliest point at which something can have come that is read now: now itself, or the beat before the
    /// thread was away.
    pub fn earliest_arrival(&self) -> Timestamp {
        let (now, last, before) = (self.clock.now(), self.last.get(), self.before.get());
        let away = |from: Timestamp, to: Timestamp| duration(to - from) > self.interval * 4;
        if away(last, now) {
            last
        } else if away(before, last) {
            before
        } else {
            now
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn what_is_read_after_a_halt_came_before_it_at_the_earliest() {
        let (every, halt) = (Duration::from_millis(5), Duration::from_millis(300));
        let clock = Clock::start();
        let beat = StallDetector::new(clock, every);
        tokio::time::advance(every).await;
        beat.record_tick();
        assert_eq!(beat.earliest_arrival(), clock.now());
        let halted = clock.now();
        tokio::time::advance(halt).await;
        assert_eq!(beat.earliest_arrival(), halted);
        // The beat may come round before the bytes are read.
        beat.record_tick();
        assert_eq!(beat.earliest_arrival(), halted);
        tokio::time::advance(every).await;
        beat.record_tick();
        assert_eq!(beat.earliest_arrival(), clock.now());
    }
}
