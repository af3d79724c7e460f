//! Counters for operators.

/// What was sent, received and discarded since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipStats {
    /// Datagrams that were received and decoded.
    pub datagrams_received: u64,
    /// Datagrams sent; one for all fronts counts once for each.
    pub datagrams_sent: u64,
    /// Their bytes.
    pub bytes_sent: u64,
    /// Received datagrams that were longer than allowed.
    pub too_long: u64,
    /// Received datagrams that could not be decoded.
    pub malformed: u64,
    /// Received datagrams that claimed to be from another front than the one listed at their address.
    pub wrong_sender: u64,
    /// Decoded datagrams of a newer version than this program's.
    pub newer_version: u64,
    /// Parts of kinds that this program does not know.
    pub unknown_parts: u64,
    /// Messages that the budget had no room for.
    pub messages_dropped: u64,
}
