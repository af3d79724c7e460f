//! A monotonic clock that starts at the system time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use ochrelead_core::time::Moment;

/// Gives the time in microseconds since 1970. It is monotonic while the process runs: the system time is read once,
/// at the start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// The system time at the start of the clock, in microseconds since 1970.
    started_at_us: u64,
}

impl Clock {
    /// Starts a clock at the present system time.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), started_at_us: whole_micros(since_epoch) }
    }

    /// Returns the present time.
    pub fn now(&self) -> Moment {
        Moment::from_micros(self.started_at_us + whole_micros(self.started.elapsed()))
    }

    /// Returns a timer that fires at `moment`, or never if there is none.
    pub fn timer(&self, moment: Option<Moment>) -> Timer {
        match moment {
            Some(moment) => Timer::after(Duration::from_micros(moment.since(self.now()).micros())),
            None => Timer::never(),
        }
    }
}

/// Converts a duration to whole microseconds. 64 bits of them last for half a million years.
fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
