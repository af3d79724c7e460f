//! The resource that holders act upon. It remembers the highest token and refuses lower ones, and checks the order of the
//! acts that it accepts.

use ochrelead_lease::{FencingToken, MemberId};

use crate::violation::Violation;

/// An act as it reached the resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Act {
    /// Who acted.
    pub member: MemberId,
    /// The token that the act carries.
    pub token: FencingToken,
    /// The lease under which it acted, numbered in the order in which all leases began.
    pub lease: u64,
}

/// What became of an act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ActOutcome {
    /// It took effect.
    Accepted,
    /// It was refused for a higher token that the resource has seen.
    Refused {
        /// The highest token seen.
        highest: FencingToken,
    },
}

/// A resource, and what it remembers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Resource {
    highest: Option<FencingToken>,
    last: Option<Act>,
}

impl Resource {
    /// Accepts or refuses an act; without `checks_tokens` it accepts all.
    ///
    /// # Errors
    ///
    /// Where the act of a former holder would be accepted after one of its successor.
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
