//! Whoever is acted upon. It remembers the highest number and refuses less, and keeps what is needed to judge.

use ochrelead_lease::{FencingToken, MemberId};

/// An act as it reached the resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Act {
    pub by: MemberId,
    pub number: FencingToken,
    /// Which lease it was done under, in the order in which the judge saw them begin.
    pub since: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Resource {
    highest: Option<FencingToken>,
    last: Option<Act>,
}

impl Resource {
    /// Takes an act; the higher number where it is refused.
    ///
    /// # Errors
    ///
    /// Where what was taken shows two holders acting in turns, in the words of a finding.
    pub fn act(&mut self, act: Act, checks: bool) -> Result<Option<FencingToken>, String> {
        if checks && let Some(highest) = self.highest.filter(|highest| act.number < *highest) {
            return Ok(Some(highest));
        }
        if let Some(last) = self.last.filter(|last| last.by != act.by && last.since > act.since) {
            return Err(format!("{:?} acted after {:?}, whose lease began later", act, last));
        }
        self.highest = self.highest.max(Some(act.number));
        self.last = Some(act);
        Ok(None)
    }
}
