//! The router's clock: Unix time, since positions and starts of hosts are told in it, that never goes back.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arrowyard_types::{Point, Span};
use tokio::time::{Instant, sleep};

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: Point,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: Point::from_micros(unix.as_micros() as i64) }
    }

    pub fn now(&self) -> Point {
        self.unix + Span::from_micros(self.started.elapsed().as_micros() as i64)
    }

    /// The moment at which this clock shows the point; at once for points gone by.
    pub fn when(&self, point: Point) -> Instant {
        self.started + duration(point - self.unix)
    }
}

pub fn duration(span: Span) -> Duration {
    // A timer further away than a day is none.
    Duration::from_micros(span.micros().clamp(0, 86_400_000_000) as u64)
}

/// When the one thread last came round. Danger: the machine gives the router no core for a while; what came in
/// that while is read only afterwards, and its time seems to start then.
pub struct Beat {
    clock: Clock,
    every: Duration,
    last: Cell<Point>,
    before: Cell<Point>,
}

impl Beat {
    pub fn new(clock: Clock, every: Duration) -> Rc<Self> {
        let now = clock.now();
        Rc::new(Beat { clock, every, last: Cell::new(now), before: Cell::new(now) })
    }

    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(self.every).await;
            self.strike();
        }
    }

    fn strike(&self) {
        self.before.set(self.last.replace(self.clock.now()));
    }

    /// The earliest point at which something can have come that is read now: now itself, or the beat before the
    /// thread was away.
    pub fn came(&self) -> Point {
        let (now, last, before) = (self.clock.now(), self.last.get(), self.before.get());
        let away = |from: Point, to: Point| duration(to - from) > self.every * 4;
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
        let beat = Beat::new(clock, every);
        tokio::time::advance(every).await;
        beat.strike();
        assert_eq!(beat.came(), clock.now());
        let halted = clock.now();
        tokio::time::advance(halt).await;
        assert_eq!(beat.came(), halted);
        // The beat may come round before the bytes are read.
        beat.strike();
        assert_eq!(beat.came(), halted);
        tokio::time::advance(every).await;
        beat.strike();
        assert_eq!(beat.came(), clock.now());
    }
}
