//! A lease as its holder knows it, and the permit for operations under it.

use ochrelead_core::time::Moment;

use crate::token::FencingToken;

/// A lease that a majority of the voters granted to this front.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The token that each operation under this lease carries.
    pub token: FencingToken,
    /// When the lease expires, by the holder's clock.
    pub expires_at: Moment,
    /// When the lease was first granted, by the holder's clock. A renewal does not change it.
    pub acquired_at: Moment,
}

/// Permission to start an operation under the lease now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    /// The token that the operation must carry.
    pub token: FencingToken,
    /// An operation must start before this time, by the holder's clock.
    pub expires_at: Moment,
}
