use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// A point in time, in microseconds on the caller's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Point(i64);

/// A span between two points, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(i64);

impl Point {
    /// Before anything that happens.
    pub const DAWN: Point = Point(i64::MIN / 4);

    pub const fn from_micros(micros: i64) -> Self {
        Point(micros)
    }

    pub const fn micros(self) -> i64 {
        self.0
    }
}

impl Default for Point {
    fn default() -> Self {
        Point::DAWN
    }
}

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn from_micros(micros: i64) -> Self {
        Span(micros)
    }

    pub const fn from_millis(millis: i64) -> Self {
        Span(millis * 1000)
    }

    pub const fn micros(self) -> i64 {
        self.0
    }

    pub const fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Sub for Point {
    type Output = Span;

    fn sub(self, earlier: Point) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Point {
    type Output = Point;

    fn add(self, span: Span) -> Point {
        Point(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Point {
    type Output = Point;

    fn sub(self, span: Span) -> Point {
        Point(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, other: Span) {
        *self = *self + other;
    }
}

impl Sub for Span {
    type Output = Span;

    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;

    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as i64)
    }
}

impl Div for Span {
    type Output = f64;

    fn div(self, other: Span) -> f64 {
        self.0 as f64 / other.0 as f64
    }
}
