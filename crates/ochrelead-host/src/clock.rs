//! The machine's clock as moments.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use ochrelead_core::time::Moment;

/// Microseconds since 1970, from a clock that never goes back while the process runs.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// The time of day when it was started, in microseconds since 1970.
    started_at_us: u64,
}

impl Clock {
    /// A clock that is set by the time of day, once.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), started_at_us: whole_micros(since_epoch) }
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        Moment::from_micros(self.started_at_us + whole_micros(self.started.elapsed()))
    }

    /// The timer that fires at `moment`; one that never does where there is none.
    pub fn timer(&self, moment: Option<Moment>) -> Timer {
        match moment {
            Some(moment) => Timer::after(Duration::from_micros(moment.since(self.now()).micros())),
            None => Timer::never(),
        }
    }
}

/// 64 bits of microseconds last for half a million years.
fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
