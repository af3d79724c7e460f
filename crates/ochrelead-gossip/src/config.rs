//! The protocol period and the send budget of gossip.

use ochrelead_core::time::Span;

/// The configuration of gossip. All fronts of a fleet use the same one.
#[derive(Clone, Copy, Debug)]
pub struct GossipConfig {
    /// The interval at which a front pings another one.
    pub protocol_period: Span,
    /// The number of datagrams that a front may send per period, averaged over a few periods. Further messages are
    /// delayed or dropped.
    pub datagrams_per_period: u32,
}

impl GossipConfig {
    /// A period of one second, with a budget for one ping, the front's share of answers to pings and four zone
    /// reports, doubled to leave as much again for rumors and leases.
    pub const DEFAULT: GossipConfig =
        GossipConfig { protocol_period: Span::from_secs(1), datagrams_per_period: 16 };
}
