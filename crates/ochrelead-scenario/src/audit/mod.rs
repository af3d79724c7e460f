//! The judge of a day: what was seen on the sockets and the day's script, nothing else.

mod cold;
mod drawn;
mod rules;
mod service;
mod sightings;

use std::fmt;

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};

use crate::capture::Sight;
pub use drawn::Drawn;
pub use service::{Service, ceiling};

/// The rules by their numbers, from 1.
pub const RULES: [&str; 5] = [
    "one final answer, in time, and nothing after it",
    "never two INVITEs at once",
    "nothing new to a server that drains or is gone",
    "no cold server pushed over",
    "the release is awaited",
];

/// A rule that was broken: which, for what, when, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Counted from 1.
    pub rule: usize,
    /// The try or the server concerned.
    pub of: String,
    pub at: Moment,
    pub how: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = self.at.micros() as f64 / 1_000.0;
        write!(f, "rule {} broken by {} at {ms:.3} ms: {}", self.rule, self.of, self.how)
    }
}

/// What was examined of one rule.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tested {
    pub cases: u64,
    /// How much of what the rule allows was used at the worst, 1 being all of it; none where nothing says.
    pub nearest: Option<f64>,
}

impl Tested {
    fn case(&mut self) {
        self.cases += 1;
    }

    fn used(&mut self, share: f64) {
        self.nearest = Some(self.nearest.unwrap_or(0.0).max(share));
    }
}

/// The verdict on one day. Moments are counted from the day's start.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub tested: [Tested; 5],
    pub breaches: Vec<Breach>,
    /// For each drain by file: from the file's last byte to the last INVITE to the server, zero where none came.
    pub drained: Vec<Span>,
    pub drawn: Drawn,
    pub service: Service,
}

impl Verdict {
    pub fn is_kept(&self) -> bool {
        self.breaches.is_empty()
    }

    fn breach(&mut self, rule: usize, of: impl Into<String>, at: Moment, how: impl Into<String>) {
        self.breaches.push(Breach { rule, of: of.into(), at, how: how.into() });
    }
}

/// Judges a day by its capture.
pub fn audit(day: &Scenario, sights: &[Sight]) -> Verdict {
    let seen = sightings::read(day, sights);
    let mut verdict = Verdict::default();
    rules::judge(day, &seen, &mut verdict);
    cold::judge(day, &seen, &mut verdict);
    verdict.drawn = drawn::measure(day, &seen);
    verdict.service = service::measure(day, &seen);
    verdict.breaches.sort_by_key(|breach| (breach.at, breach.rule));
    verdict
}
