//! The clocks of emulated machines. A process reads the system clock once and goes on with a steady one, as the
//! front's host does: a clock that is set shows in the next process.

use ochrelead_core::time::{Moment, Span};

/// A machine's system clock, against true time.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock {
    /// How far it is ahead of true time, in microseconds.
    pub offset_us: i64,
    /// How much faster than true time its steady clock runs, as a share.
    pub drift: f64,
}

/// The clock of one process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    /// The true time of the process's start.
    started_at: Moment,
    /// What the system clock showed then.
    initial_reading: Moment,
    drift: f64,
}

impl SystemClock {
    /// The clock of a process that starts now.
    pub fn start_process(&self, now: Moment) -> ProcessClock {
        let initial_reading = Moment::from_micros(now.micros().saturating_add_signed(self.offset_us));
        ProcessClock { started_at: now, initial_reading, drift: self.drift }
    }
}

impl ProcessClock {
    /// What it shows at a true time.
    pub fn read(&self, now: Moment) -> Moment {
        self.initial_reading + now.since(self.started_at).scaled(1.0 + self.drift)
    }

    /// The first true time at which it shows that, or `now` where that has passed.
    pub fn true_time(&self, reading: Moment, now: Moment) -> Moment {
        let elapsed = reading.since(self.initial_reading).scaled(1.0 / (1.0 + self.drift));
        let mut time = self.started_at + elapsed;
        while self.read(time) < reading {
            time = time + Span::from_micros(1);
        }
        time.max(now)
    }
}
