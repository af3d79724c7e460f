//! A lease as its holder sees it, and the permit to act under it.

use ochrelead_core::time::Moment;

use crate::token::FencingToken;

/// A lease that a majority of voters granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The token that each act under this lease carries.
    pub token: FencingToken,
    /// When the lease ends, by the holder's clock.
    pub expires_at: Moment,
    /// When it was first granted; a renewal does not change it.
    pub acquired_at: Moment,
}

/// Permission to act right now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    /// The token that the act has to carry.
    pub token: FencingToken,
    /// An act that has not begun by then must not begin.
    pub expires_at: Moment,
}
