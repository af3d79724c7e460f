//! Counters of datagrams and messages.

/// Counters of sent, received and dropped datagrams and messages since the start of this front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipStats {
    /// Datagrams received and decoded.
    pub datagrams_received: u64,
    /// Datagrams sent. A datagram to all fronts is counted once per recipient.
    pub datagrams_sent: u64,
    /// Bytes of the datagrams sent, counted per recipient.
    pub bytes_sent: u64,
    /// Received datagrams refused because they exceed the maximum length.
    pub too_long: u64,
    /// Received datagrams refused because they could not be decoded.
    pub malformed: u64,
    /// Received datagrams refused because they name another sender than the front listed at their source address.
    pub wrong_sender: u64,
    /// Decoded datagrams with a newer schema version than this program's.
    pub newer_version: u64,
    /// Received parts of unknown kinds.
    pub unknown_parts: u64,
    /// Messages to send that were dropped because their queue was full or they did not fit into a datagram.
    pub messages_dropped: u64,
}
