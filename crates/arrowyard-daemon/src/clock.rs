//! The router's clock: Unix time, since positions and starts of hosts are told in it, that never goes back.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arrowyard_types::{Point, Span};
use tokio::time::Instant;

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
