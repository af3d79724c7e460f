//! Timers and table limits of the transaction layer.

use ochrelead_core::time::Span;

/// Timers and table limits of a [`TransactionLayer`](super::TransactionLayer).
#[derive(Clone, Copy, Debug)]
pub struct TransactionConfig {
    /// Initial retransmission timeout; it doubles with each retransmission.
    pub initial_rto: Span,
    /// Maximum retransmission timeout, which also applies after a provisional response (RFC 3435 section 3.5.5,
    /// LONGTRAN-TIMER).
    pub max_rto: Span,
    /// Time after which a command without a final response times out (RFC 3435 section 4.3, T-MAX).
    pub response_timeout: Span,
    /// How long a sent response is kept to answer retransmissions of its command (RFC 3435 section 3.5.1, T-HIST).
    pub history_duration: Span,
    /// Maximum number of commands that wait for a response.
    pub max_outstanding: usize,
    /// Maximum number of received commands in the history, of finished transactions that are kept, and of peers with a
    /// response time estimate (each).
    pub max_history: usize,
    /// Whether a retransmitted command that is still being executed gets a provisional response.
    pub sends_provisional: bool,
}

impl Default for TransactionConfig {
    fn default() -> TransactionConfig {
        TransactionConfig {
            initial_rto: Span::from_millis(500),
            max_rto: Span::from_secs(4),
            response_timeout: Span::from_secs(20),
            history_duration: Span::from_secs(30),
            max_outstanding: 65_536,
            max_history: 262_144,
            sends_provisional: false,
        }
    }
}

impl TransactionConfig {
    /// Returns the maximum number of retransmissions of a command that waits for a response for the time `wait`.
    pub fn max_retransmissions(&self, wait: Span) -> u32 {
        let (mut rto, mut next_at, mut count) = (self.initial_rto, self.initial_rto, 0);
        while rto < self.max_rto && next_at <= wait {
            rto = (rto * 2).min(self.max_rto);
            next_at += rto;
            count += 1;
        }
        if next_at > wait {
            return count;
        }
        let at_max_rto = (wait - next_at).micros() / rto.micros().max(1);
        count.saturating_add(u32::try_from(at_max_rto).unwrap_or(u32::MAX)).saturating_add(1)
    }
}
