//! The clocks of simulated machines. As in the front's host, a process reads the system clock once, at its start, and
//! then advances by a monotonic clock: a step of the system clock affects only processes started after it.

use ochrelead_core::time::{Moment, Span};

/// A machine's system clock, relative to true (simulated) time.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock {
    /// Offset from true time, in microseconds; positive if the clock is ahead.
    pub offset_us: i64,
    /// Relative rate error of the monotonic clock: it runs at `1.0 + drift` times the rate of true time.
    pub drift: f64,
}

/// The clock of one process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    /// True time at which the process started.
    started_at: Moment,
    /// Reading of the system clock at that time.
    initial_reading: Moment,
    drift: f64,
}

impl SystemClock {
    /// Returns the clock of a process that starts at the true time `now`.
    pub fn start_process(&self, now: Moment) -> ProcessClock {
        let initial_reading = Moment::from_micros(now.micros().saturating_add_signed(self.offset_us));
        ProcessClock { started_at: now, initial_reading, drift: self.drift }
    }
}

impl ProcessClock {
    /// Returns the reading of this clock at the true time `now`.
    pub fn read(&self, now: Moment) -> Moment {
        self.initial_reading + now.since(self.started_at).scaled(1.0 + self.drift)
    }

    /// Returns the first true time at which this clock shows `reading`, or `now` if it already has.
    pub fn true_time(&self, reading: Moment, now: Moment) -> Moment {
        let elapsed = reading.since(self.initial_reading).scaled(1.0 / (1.0 + self.drift));
        let mut time = self.started_at + elapsed;
        while self.read(time) < reading {
            time = time + Span::from_micros(1);
        }
        time.max(now)
    }
}
