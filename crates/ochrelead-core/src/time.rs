//! Points in time and durations, in whole microseconds. Addition, subtraction and
//! multiplication saturate.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// A point in time on the host's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

/// A duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

impl Moment {
    /// The zero of the clock.
    pub const START: Moment = Moment(0);

    /// Returns the point in time `micros` microseconds after the zero of the clock.
    pub const fn from_micros(micros: u64) -> Self {
        Moment(micros)
    }

    /// Returns the microseconds since the zero of the clock.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns the duration since `earlier`; zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// The duration of length zero.
    pub const ZERO: Span = Span(0);

    /// Returns a duration of `micros` microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Span(micros)
    }

    /// Returns a duration of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Span(millis * 1_000)
    }

    /// Returns a duration of `secs` seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Span(secs * 1_000_000)
    }

    /// Returns the duration in microseconds.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns `self` / `other`; a zero `other` counts as 1 microsecond.
    pub fn ratio(self, other: Span) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }

    /// Returns the duration multiplied by a ratio; zero if the ratio is negative.
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

impl Sub<Span> for Moment {
    type Output = Moment;

    fn sub(self, span: Span) -> Moment {
        Moment(self.0.saturating_sub(span.0))
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

    fn mul(self, factor: u64) -> Span {
        Span(self.0.saturating_mul(factor))
    }
}

impl Div<u64> for Span {
    type Output = Span;

    /// Returns the duration divided by `divisor`; a zero divisor counts as 1.
    fn div(self, divisor: u64) -> Span {
        Span(self.0 / divisor.max(1))
    }
}
