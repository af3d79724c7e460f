//! The retransmission timeout towards one peer, from its response times (RFC 3435 section 4.3).

use ochrelead_core::time::Span;

use super::config::TransactionConfig;

/// The weight of one response time in the estimates is one part in this many (RFC 6298 section 2).
const SMOOTHING: u64 = 8;
/// How many deviations above the mean a response may take before the command is retransmitted (RFC 6298 section 2).
const DEVIATIONS: u64 = 4;

/// Estimates how long one peer takes to respond.
///
/// A command that was retransmitted gives no response time, since it is not known which copy was answered.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RtoEstimator {
    /// None until a response time was measured.
    mean: Option<Span>,
    deviation: Span,
    /// The timeout that the last retransmitted command had come to.
    backed_off: Option<Span>,
}

impl RtoEstimator {
    /// A command was answered without a retransmission.
    pub(super) fn on_response(&mut self, response_time: Span) {
        let smooth = |estimate: Span, sample: Span| estimate - estimate / SMOOTHING + sample / SMOOTHING;
        let (mean, deviation) = match self.mean {
            None => (response_time, response_time / 2),
            Some(mean) => {
                // A difference of spans is zero where it would be negative: one of the two always is.
                let distance = (response_time - mean) + (mean - response_time);
                (smooth(mean, response_time), smooth(self.deviation, distance))
            }
        };
        *self = RtoEstimator { mean: Some(mean), deviation, backed_off: None };
    }

    /// A retransmitted command was answered. A response that comes as soon after a retransmission as responses usually
    /// come answers that copy: the first one was lost, and the peer is not slow.
    pub(super) fn on_response_to_retransmission(&mut self, since_retransmission: Span, rto: Span) {
        if self.mean.is_none() || since_retransmission > self.usual_limit() {
            self.backed_off = Some(rto);
        }
    }

    /// How long a response takes at most, as a rule.
    fn usual_limit(&self) -> Span {
        self.mean.unwrap_or_default() + self.deviation * DEVIATIONS
    }

    /// The first retransmission timeout of the next command.
    pub(super) fn initial_rto(&self, config: &TransactionConfig) -> Span {
        self.backed_off.unwrap_or(self.usual_limit()).clamp(config.initial_rto, config.max_rto)
    }
}
