//! The durations of leases, vote rounds and back-off.

use ochrelead_core::time::Span;

/// The default bound on the rate error of a clock, in parts per million: three times the sum, rounded up, of a
/// crystal's error of at most 100 ppm and the at most 500 ppm that slewing the clock adds.
pub const DEFAULT_CLOCK_DRIFT_PPM: u32 = 2_000;

/// The configuration of leases. All fronts of a fleet use the same one.
#[derive(Clone, Copy, Debug)]
pub struct LeaseConfig {
    /// The duration of a voter's promise, on the voter's clock.
    pub duration: Span,
    /// How long a candidate collects votes before the round fails.
    pub vote_timeout: Span,
    /// The bound on the rate error of a clock, in parts per million; at most 250,000.
    pub clock_drift_ppm: u32,
    /// The upper bound of the random addition to a back-off, which keeps candidates from sending requests in step.
    pub jitter: Span,
}

impl LeaseConfig {
    /// The default configuration for leases of this duration. A vote round lasts at most a quarter of it, and the
    /// jitter is below an eighth.
    pub fn with_duration(duration: Span) -> LeaseConfig {
        LeaseConfig {
            duration,
            vote_timeout: duration / 4,
            clock_drift_ppm: DEFAULT_CLOCK_DRIFT_PPM,
            jitter: duration / 8,
        }
    }

    /// How long a holder may act, on its clock, measured from its vote request. With the drift bound `d`, this is
    /// `duration * (1 - d) / (1 + d)`: the holder's clock may be slow by `d` while the voters' clocks are fast by `d`.
    pub fn holder_duration(&self) -> Span {
        let (million, drift_ppm) = (1_000_000, u64::from(self.clock_drift_ppm));
        Span::from_micros(self.duration.micros() * (million - drift_ppm) / (million + drift_ppm))
    }

    /// How long a voter without persisted state abstains after its start: a whole lease duration. Its clock may be as
    /// fast as any other voter's, so after a shorter time a lease may still depend on a promise of its previous
    /// incarnation.
    pub fn abstention(&self) -> Span {
        self.duration
    }
}
