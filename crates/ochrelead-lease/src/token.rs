//! What a lease is about, and the fencing token that its holder acts under.

use ochrelead_gossip::MemberId;

/// A task, identified by a number on which all fronts agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);

/// A fencing token. Tokens rise from holder to holder, and no two holders have the same one, whatever voters have
/// forgotten: the counter is compared first, then the holder itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken {
    /// Rises with each change of holder.
    pub counter: u64,
    /// The member that the token was granted to.
    pub holder: MemberId,
}

/// The highest counter that is accepted from outside. One holder a microsecond would take nine years to reach it.
pub const MAX_COUNTER: u64 = 1 << 48;

impl FencingToken {
    /// Lower than any token that is granted.
    pub const NONE: FencingToken = FencingToken { counter: 0, holder: MemberId { front: 0, incarnation: 0 } };

    /// Whether a token that came from outside is within the accepted range.
    pub fn is_plausible(self) -> bool {
        self.counter <= MAX_COUNTER
    }

    /// The token of the next holder.
    pub fn successor(self, holder: MemberId) -> FencingToken {
        FencingToken { counter: self.counter.saturating_add(1), holder }
    }
}
