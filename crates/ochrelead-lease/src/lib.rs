//! Named tasks of a fleet, each with at most one holder, without a centre, a disk or a common clock.
//!
//! A few fronts, the [`electorate`], vote. A front that wants a task asks all of them; a [`voter`] promises a task to
//! one front for a span on its own clock; a majority of promises is a lease. The holder counts from the moment it
//! asked, a voter from when it promised, and the holder gives up earlier by the bound on how far two clocks' rates
//! differ: so whenever a holder's permit is good, a majority's promises run. A voter that starts anew remembers no
//! promise; it abstains until none that it may have made can still run.
//!
//! Acting goes through a permit, asked for right before each act, that names a [`Number`]. Numbers rise from holder to
//! holder; whoever is acted upon remembers the highest and refuses less. This covers an act that was delayed on its
//! way, or a holder that stood still between its permit and its act.
//!
//! - [`engine`]: one front's part in all tasks: `take`, `turn`, `next`, `wake`.
//! - [`electorate`]: who votes, and when so many are a majority, also while it changes.
//! - [`voter`]: promises, and what of them is [`kept`] where there is a disk. [`candidate`]: asking, holding, renewing, giving up.
//! - [`word`]: what fronts say to each other about it; [`letter`]: as bytes.
//!
//! Clocks: only spans on one front's own clock are used, which must never go back while its process runs, and whose
//! rate must be off by no more than [`Terms::rate_ppm`].

pub mod candidate;
pub mod electorate;
pub mod engine;
pub mod kept;
pub mod letter;
pub mod voter;
pub mod word;

use ochrelead_core::time::Span;
pub use ochrelead_gossip::Who;

/// The schema's own types.
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/ochrelead.lease.rs"));
}

/// A task, named by a number that all fronts give it alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Task(pub u64);

/// A fencing number. Later holders have higher ones, and no two holders have the same, whatever they have forgotten:
/// the count rises, and behind it stands who held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number {
    pub count: u64,
    pub of: Who,
}

/// A count beyond this is none of ours: a holder a microsecond would take nine years to reach it.
pub const MOST_COUNT: u64 = 1 << 48;

impl Number {
    /// Less than any that is held.
    pub const NONE: Number = Number { count: 0, of: Who { front: 0, life: 0 } };

    /// Whether a number that came from outside can be one.
    pub fn is_likely(self) -> bool {
        self.count <= MOST_COUNT
    }

    pub fn next(self, of: Who) -> Number {
        Number { count: self.count.saturating_add(1), of }
    }
}

/// On what terms leases run; the same at all fronts.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// How long a promise runs.
    pub span: Span,
    /// How long votes are waited for.
    pub patience: Span,
    /// How far a clock's rate may be off, in parts per million; at most a quarter.
    pub rate_ppm: u32,
    /// The most that is added by chance to a wait, so that candidates do not ask in step.
    pub jitter: Span,
}

/// A crystal is off by 100 ppm at the most, and a clock that is slewed by 500 more; this is three times both.
pub const RATE_PPM: u32 = 2_000;

impl Terms {
    /// Terms for a span: votes are waited for a quarter of it.
    pub fn of(span: Span) -> Terms {
        Terms { span, patience: span / 4, rate_ppm: RATE_PPM, jitter: span / 8 }
    }

    /// How long a holder may act, from when it asked, on a clock as slow as allowed, while voters' are as fast.
    pub fn held(&self) -> Span {
        let (million, rate) = (1_000_000, u64::from(self.rate_ppm));
        Span::from_micros(self.span.micros() * (million - rate) / (million + rate))
    }

    /// How long a voter that starts anew abstains. Its clock may be as fast as any other voter's: a whole span.
    pub fn abstention(&self) -> Span {
        self.span
    }
}
