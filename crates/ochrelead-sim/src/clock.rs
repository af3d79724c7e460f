//! The clocks of emulated machines. A process reads the system clock once and goes on with a steady one, as the
//! front's host does: a clock that is set shows in the next process.

use ochrelead_core::time::{Moment, Span};

/// A machine's system clock, against true time.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock {
    /// Microseconds that it is ahead of true time.
    pub ahead_us: i64,
    /// How much faster its steady clock runs.
    pub fast: f64,
}

/// The clock of one process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    born: Moment,
    shows: Moment,
    fast: f64,
}

impl SystemClock {
    pub fn process(&self, now: Moment) -> ProcessClock {
        let shows = Moment::from_micros(now.micros().saturating_add_signed(self.ahead_us));
        ProcessClock { born: now, shows, fast: self.fast }
    }
}

impl ProcessClock {
    /// What it shows at a true moment.
    pub fn shows(&self, now: Moment) -> Moment {
        self.shows + now.since(self.born).scaled(1.0 + self.fast)
    }

    /// The first true moment at which it shows that, or now.
    pub fn when(&self, shows: Moment, now: Moment) -> Moment {
        let mut when = self.born + shows.since(self.shows).scaled(1.0 / (1.0 + self.fast));
        while self.shows(when) < shows {
            when = when + Span::from_micros(1);
        }
        when.max(now)
    }
}
