//! The tasks that leases are granted for, and the fencing tokens of their holders.

use ochrelead_gossip::MemberId;

/// The number of a task; all fronts derive the same number for the same task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);

/// A fencing token. Tokens increase from holder to holder. They are ordered by counter, then by holder, so no two
/// holders have the same token even if voters have lost their state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken {
    /// Increases with each change of holder.
    pub counter: u64,
    /// The member that requested the token.
    pub holder: MemberId,
}

/// The highest counter accepted from other fronts. At one change of holder per microsecond it is reached in nine
/// years.
pub const MAX_COUNTER: u64 = 1 << 48;

impl FencingToken {
    /// Stands for the absence of a token; lower than every granted token.
    pub const NONE: FencingToken = FencingToken { counter: 0, holder: MemberId { front: 0, incarnation: 0 } };

    /// Whether the counter of a received token is within the accepted range.
    pub fn is_plausible(self) -> bool {
        self.counter <= MAX_COUNTER
    }

    /// The token that `holder` requests if this is the highest one that it knows.
    pub fn successor(self, holder: MemberId) -> FencingToken {
        FencingToken { counter: self.counter.saturating_add(1), holder }
    }
}
