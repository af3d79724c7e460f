//! How often fronts speak, and how much.

use ochrelead_core::time::Span;

/// The configuration of gossip; the same at all fronts.
#[derive(Clone, Copy, Debug)]
pub struct GossipConfig {
    /// A front pings one other in each period.
    pub protocol_period: Span,
    /// The datagrams that a front sends in a period, on average over a few; more than that wait or are dropped.
    pub datagrams_per_period: u32,
}

impl GossipConfig {
    /// A period of one second, and room for a ping, the front's share of answers, four reports on zones, and as much
    /// again for rumors and leases.
    pub const DEFAULT: GossipConfig =
        GossipConfig { protocol_period: Span::from_secs(1), datagrams_per_period: 16 };
}
