//! How much one front carries on one core, beside a bare relay of the same datagrams in the same run.
//!
//! Calls come evenly. The time from a caller's datagram to the INVITE that it causes is measured where both are seen: at
//! the sockets of the callers and of the server.

mod error;
mod generator;
mod relay;
mod subject;

use std::path::Path;
use std::time::Duration;

pub use error::LoadError;
use generator::LoadGenerator;
pub use relay::run_relay;

/// Sessions a second at full fleet size, over all fronts.
pub const FLEET_SESSIONS_PER_S: u32 = 720;
/// The 99th percentile that the front is to keep.
const MAX_P99: Duration = Duration::from_millis(1);
/// The percentage of the offered sessions that must have had their INVITE.
const MIN_INVITED_PERCENT: u64 = 99;

/// What is measured: the process between callers and server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A front.
    Front,
    /// A front that writes an event log.
    RecordingFront,
    /// A bare relay.
    Relay,
}

impl Subject {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Subject::Front => "front",
            Subject::RecordingFront => "recorded",
            Subject::Relay => "relay",
        }
    }
}

/// The measurement at one rate.
#[derive(Clone, Debug)]
pub struct LoadStep {
    /// Sessions a second.
    pub rate: u32,
    /// The sessions that were offered after the warm-up.
    pub offered: u64,
    /// Those of them whose INVITE was seen.
    pub invited: u64,
    /// The median time from a caller's datagram to its INVITE.
    pub p50: Duration,
    /// The 99th percentile of that time.
    pub p99: Duration,
    /// The processor time of the subject over the whole step, in clock ticks.
    pub cpu_ticks: u64,
}

impl LoadStep {
    /// Whether the subject kept the limit for nearly all that was offered.
    pub fn is_sustained(&self) -> bool {
        self.p99 <= MAX_P99 && self.invited * 100 >= self.offered * MIN_INVITED_PERCENT
    }
}

/// Measures a subject at one rate after the other, until one is not sustained.
///
/// # Errors
///
/// Where the subject can't be started, or a socket fails.
pub fn measure(
    subject: Subject,
    rates: &[u32],
    seconds: u64,
    output: &Path,
) -> Result<Vec<LoadStep>, LoadError> {
    let mut steps = Vec::new();
    for rate in rates {
        let step = LoadGenerator::start(subject, output)?.run(*rate, Duration::from_secs(seconds))?;
        let is_sustained = step.is_sustained();
        steps.push(step);
        if !is_sustained {
            break;
        }
    }
    Ok(steps)
}
