//! A resource protected by fencing tokens. An act is one use of the resource by a lease holder, under the token of
//! its lease. The resource remembers the highest token and refuses lower ones, and checks the order of the acts it
//! accepts.

use ochrelead_lease::{FencingToken, MemberId};

use crate::violation::Violation;

/// An act as it reaches the resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Act {
    /// The front and incarnation that acted.
    pub member: MemberId,
    /// The token that the act carries.
    pub token: FencingToken,
    /// The lease under which the member acted; leases are numbered in the order in which they begin.
    pub lease: u64,
}

/// The resource's response to an act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ActOutcome {
    /// The act took effect.
    Accepted,
    /// The act was refused because the resource has seen a higher token.
    Refused {
        /// The highest token that the resource has seen.
        highest: FencingToken,
    },
}

/// A resource protected by fencing tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Resource {
    highest: Option<FencingToken>,
    last: Option<Act>,
}

impl Resource {
    /// Accepts or refuses an act. Without `checks_tokens`, accepts acts with any token.
    ///
    /// # Errors
    ///
    /// Returns [`Violation::StaleAct`] if an act of a former holder would be accepted after an act of its successor.
    pub fn act(&mut self, act: Act, checks_tokens: bool) -> Result<ActOutcome, Violation> {
        if checks_tokens && let Some(highest) = self.highest.filter(|highest| act.token < *highest) {
            return Ok(ActOutcome::Refused { highest });
        }
        if let Some(last) = self.last.filter(|last| last.member != act.member && last.lease > act.lease) {
            return Err(Violation::StaleAct { act, last });
        }
        self.highest = self.highest.max(Some(act.token));
        self.last = Some(act);
        Ok(ActOutcome::Accepted)
    }
}
