//! Computes the retransmission timeout (RTO) for one peer from its response times (RFC 3435 section 4.3).

use ochrelead_core::time::Span;

use super::config::TransactionConfig;

/// A new response time enters the moving averages with a weight of 1/8 (RFC 6298 section 2).
const SMOOTHING_DIVISOR: u64 = 8;
/// The timeout is the mean plus this multiple of the mean deviation (RFC 6298 section 2).
const DEVIATION_MULTIPLIER: u64 = 4;

/// Estimates the response time of one peer.
///
/// A retransmitted command gives no response time sample, since its response may answer any of the copies (Karn's
/// algorithm).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RtoEstimator {
    /// None before the first response time sample.
    mean: Option<Span>,
    deviation: Span,
    /// The backed-off timeout that the last retransmitted command had reached; none after a later sample.
    backed_off: Option<Span>,
}

impl RtoEstimator {
    /// Adds the response time of a command that was answered without a retransmission.
    pub(super) fn on_response(&mut self, response_time: Span) {
        let smooth = |estimate: Span, sample: Span| {
            estimate - estimate / SMOOTHING_DIVISOR + sample / SMOOTHING_DIVISOR
        };
        let (mean, deviation) = match self.mean {
            None => (response_time, response_time / 2),
            Some(mean) => {
                // Subtraction of spans saturates at zero, so the sum of both differences is the absolute difference.
                let absolute_difference = (response_time - mean) + (mean - response_time);
                (smooth(mean, response_time), smooth(self.deviation, absolute_difference))
            }
        };
        *self = RtoEstimator { mean: Some(mean), deviation, backed_off: None };
    }

    /// Keeps the backed-off timeout of a retransmitted command that was answered, unless the response came within the
    /// estimated timeout after the last retransmission: then it answers that copy, an earlier one was lost, and the
    /// peer is not slow.
    pub(super) fn on_response_to_retransmission(&mut self, since_retransmission: Span, rto: Span) {
        if self.mean.is_none() || since_retransmission > self.estimated_timeout() {
            self.backed_off = Some(rto);
        }
    }

    /// Returns the mean response time plus [`DEVIATION_MULTIPLIER`] mean deviations.
    fn estimated_timeout(&self) -> Span {
        self.mean.unwrap_or_default() + self.deviation * DEVIATION_MULTIPLIER
    }

    /// Returns the initial retransmission timeout of the next command.
    pub(super) fn initial_rto(&self, config: &TransactionConfig) -> Span {
        self.backed_off.unwrap_or(self.estimated_timeout()).clamp(config.initial_rto, config.max_rto)
    }
}
