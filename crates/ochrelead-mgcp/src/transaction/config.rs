//! The timers and bounds of transactions.

use ochrelead_core::time::Span;

/// The timers and bounds of a [`TransactionLayer`](super::TransactionLayer).
#[derive(Clone, Copy, Debug)]
pub struct TransactionConfig {
    /// The first retransmission timeout; it doubles with each retransmission.
    pub initial_rto: Span,
    /// The longest retransmission timeout, and the one after a provisional response (RFC 3435 section 3.5.5,
    /// LONGTRAN-TIMER).
    pub max_rto: Span,
    /// How long a response is waited for (RFC 3435 section 4.3, T-MAX).
    pub response_timeout: Span,
    /// How long responses that were sent are kept for repeated commands (RFC 3435 section 3.5.1, T-HIST).
    pub history_duration: Span,
    /// The most commands that wait for a response.
    pub max_outstanding: usize,
    /// The most responses that are kept, the most finished transactions that are remembered, and the most peers whose
    /// response times are.
    pub max_history: usize,
    /// Whether a repeated command that is still being executed gets a provisional response.
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
    /// How many retransmissions a command may see that waits for so long.
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
