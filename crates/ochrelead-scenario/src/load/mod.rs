//! Measures the throughput of one front on one core, compared with a plain UDP relay in the same run.
//!
//! Calls are offered at equal intervals. The latency is the time from sending a caller's datagram at the callers'
//! socket to receiving the INVITE that it causes at the server's socket.

mod error;
mod generator;
mod relay;
mod subject;

use std::path::Path;
use std::time::Duration;

pub use error::LoadError;
use generator::LoadGenerator;
pub use relay::run_relay;

/// The sessions per second of the whole fleet at full size.
pub const FLEET_SESSIONS_PER_S: u32 = 720;
/// The 99th percentile of the latency that a sustained rate must not exceed.
const MAX_P99: Duration = Duration::from_millis(1);
/// The percentage of the offered sessions for which a sustained rate must cause an INVITE.
const MIN_INVITED_PERCENT: u64 = 99;

/// The process under measurement, between the callers and the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A front.
    Front,
    /// A front that writes an event log.
    RecordingFront,
    /// A plain UDP relay.
    Relay,
}

impl Subject {
    /// Returns its name in reports.
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
    /// The offered sessions per second.
    pub rate: u32,
    /// The number of sessions offered after the warm-up.
    pub offered: u64,
    /// The number of these sessions whose INVITE was received.
    pub invited: u64,
    /// The median latency.
    pub p50: Duration,
    /// The 99th percentile of the latency.
    pub p99: Duration,
    /// The CPU time of the subject over the whole step, in clock ticks.
    pub cpu_ticks: u64,
}

impl LoadStep {
    /// Whether the subject kept the latency limit and sent an INVITE for nearly all offered sessions.
    pub fn is_sustained(&self) -> bool {
        self.p99 <= MAX_P99 && self.invited * 100 >= self.offered * MIN_INVITED_PERCENT
    }
}

/// Measures a subject at each rate in turn, and stops after the first rate that is not sustained.
///
/// # Errors
///
/// If the subject can't be started, or a socket fails.
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
