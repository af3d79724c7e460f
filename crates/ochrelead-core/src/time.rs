//! Points in time and spans of time, in whole microseconds.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// A point in time on the host's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

/// A length of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

impl Moment {
    /// The zero of the clock.
    pub const START: Moment = Moment(0);

    /// The point so many microseconds after the clock's zero.
    pub const fn from_micros(micros: u64) -> Self {
        Moment(micros)
    }

    /// The microseconds since the clock's zero.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// The span since `earlier`; zero where `earlier` is not earlier.
    pub const fn since(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);

    /// The span of so many microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Span(micros)
    }

    /// The span of so many milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Span(millis * 1_000)
    }

    /// The span of so many seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Span(secs * 1_000_000)
    }

    /// The span in microseconds.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// How many times `other` this span is.
    pub fn ratio(self, other: Span) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }

    /// The span times a ratio that is not negative.
    pub fn scaled(self, ratio: f64) -> Span {
        Span((self.0 as f64 * ratio) as u64)
    }
}

impl Add<Span> for Moment {
    type Output = Moment;

    fn add(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(span.0))
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

impl Mul<u64> for Span {
    type Output = Span;

    fn mul(self, times: u64) -> Span {
        Span(self.0.saturating_mul(times))
    }
}

impl Div<u64> for Span {
    type Output = Span;

    fn div(self, parts: u64) -> Span {
        Span(self.0 / parts.max(1))
    }
}
