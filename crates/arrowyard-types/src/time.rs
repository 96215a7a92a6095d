//! Points in time and differences between them.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// A point in time, in microseconds on the caller's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(i64);

/// A signed difference between two timestamps, in microseconds. Sums and differences saturate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeDelta(i64);

impl Timestamp {
    /// Earlier than any real event, yet far enough from the least value to subtract from.
    pub const DISTANT_PAST: Timestamp = Timestamp(i64::MIN / 4);

    pub const fn from_micros(micros: i64) -> Self {
        Timestamp(micros)
    }

    pub const fn micros(self) -> i64 {
        self.0
    }
}

impl Default for Timestamp {
    fn default() -> Self {
        Timestamp::DISTANT_PAST
    }
}

impl TimeDelta {
    pub const ZERO: TimeDelta = TimeDelta(0);

    pub const fn from_micros(micros: i64) -> Self {
        TimeDelta(micros)
    }

    pub const fn from_millis(millis: i64) -> Self {
        TimeDelta(millis * 1000)
    }

    pub const fn micros(self) -> i64 {
        self.0
    }

    pub const fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Sub for Timestamp {
    type Output = TimeDelta;

    fn sub(self, earlier: Timestamp) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(earlier.0))
    }
}

impl Add<TimeDelta> for Timestamp {
    type Output = Timestamp;

    fn add(self, delta: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_add(delta.0))
    }
}

impl Sub<TimeDelta> for Timestamp {
    type Output = Timestamp;

    fn sub(self, delta: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_sub(delta.0))
    }
}

impl Add for TimeDelta {
    type Output = TimeDelta;

    fn add(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0.saturating_add(other.0))
    }
}

impl AddAssign for TimeDelta {
    fn add_assign(&mut self, other: TimeDelta) {
        *self = *self + other;
    }
}

impl Sub for TimeDelta {
    type Output = TimeDelta;

    fn sub(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(other.0))
    }
}

impl Mul<f64> for TimeDelta {
    type Output = TimeDelta;

    fn mul(self, factor: f64) -> TimeDelta {
        TimeDelta((self.0 as f64 * factor) as i64)
    }
}

impl Div for TimeDelta {
    type Output = f64;

    fn div(self, other: TimeDelta) -> f64 {
        self.0 as f64 / other.0 as f64
    }
}
