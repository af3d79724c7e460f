//! The machine's clock as moments.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use ochrelead_core::time::Moment;

/// Microseconds since 1970, from a clock that never goes back while the process runs.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    born: Instant,
    then: u64,
}

impl Clock {
    pub fn start() -> Clock {
        let then = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { born: Instant::now(), then: then.as_micros() as u64 }
    }

    pub fn now(&self) -> Moment {
        Moment::from_micros(self.then + self.born.elapsed().as_micros() as u64)
    }

    /// The timer that fires at `moment`; one that never does where there is none.
    pub fn timer(&self, moment: Option<Moment>) -> Timer {
        match moment {
            Some(moment) => Timer::after(Duration::from_micros(moment.since(self.now()).micros())),
            None => Timer::never(),
        }
    }
}
