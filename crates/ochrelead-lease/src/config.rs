//! The durations that leases are granted, renewed and retried with.

use ochrelead_core::time::Span;

/// The default bound on the error of a clock's rate, in parts per million: a crystal is off by 100 ppm at most, a clock
/// that is being slewed by 500 more, and this is three times their sum, rounded up.
pub const DEFAULT_CLOCK_DRIFT_PPM: u32 = 2_000;

/// How leases run. All fronts of a fleet use the same configuration.
#[derive(Clone, Copy, Debug)]
pub struct LeaseConfig {
    /// How long a voter's promise runs, on the voter's clock.
    pub duration: Span,
    /// How long a candidate waits for votes before the round counts as failed.
    pub vote_timeout: Span,
    /// The bound on the error of a clock's rate, in parts per million; 250,000 at most.
    pub clock_drift_ppm: u32,
    /// The upper bound of the random addition to a wait, which keeps candidates from asking in step.
    pub jitter: Span,
}

impl LeaseConfig {
    /// The default configuration for leases of a duration: votes are awaited for a quarter of it.
    pub fn with_duration(duration: Span) -> LeaseConfig {
        LeaseConfig {
            duration,
            vote_timeout: duration / 4,
            clock_drift_ppm: DEFAULT_CLOCK_DRIFT_PPM,
            jitter: duration / 8,
        }
    }

    /// How long a holder may act, counted from when it asked. Its clock may be as slow as allowed while the voters'
    /// clocks are as fast as allowed, so this is shorter than [`LeaseConfig::duration`].
    pub fn holder_duration(&self) -> Span {
        let (million, drift) = (1_000_000, u64::from(self.clock_drift_ppm));
        Span::from_micros(self.duration.micros() * (million - drift) / (million + drift))
    }

    /// How long a voter without persisted state abstains after its start. Its clock may run as fast as any other
    /// voter's, hence a whole duration.
    pub fn abstention(&self) -> Span {
        self.duration
    }
}
