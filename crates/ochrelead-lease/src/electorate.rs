//! The fronts that vote. All fronts derive the same electorate from the list of fronts: a few voters, evenly spaced
//! over the front numbers.
//!
//! An electorate is replaced through a joint generation, as in Raft's joint consensus, in which a lease needs a
//! majority of the former voters and a majority of the new ones. Any majority of a generation therefore shares a
//! voter with any majority of the previous and of the next generation. A voter refuses candidates of a generation
//! lower than its own or than one in which it has granted a vote, so fronts that missed a change cannot undo it.

use std::collections::BTreeSet;

use thiserror::Error;

/// The default number of voters; leases can be granted while two of them are down.
pub const DEFAULT_SIZE: usize = 5;

/// Why a configured electorate is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ElectorateError {
    /// The list of voters is empty.
    #[error("the list of voters is empty; at least one front must vote")]
    NoVoters,
    /// A voter is not one of the listed fronts.
    #[error("voter {front} is not a listed front; the {fleet_size} fronts are numbered from 0")]
    UnknownFront {
        /// The configured voter.
        front: u32,
        /// The number of listed fronts.
        fleet_size: u32,
    },
}

/// The fronts that vote, and in a joint generation the former voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Electorate {
    /// Increases with each change of the voters.
    pub generation: u32,
    voters: Vec<u32>,
    /// The voters of the previous generation, whose majority is also needed; empty unless the generation is joint.
    former_voters: Vec<u32>,
}

impl Electorate {
    /// An electorate of these voters, without former voters.
    pub fn new(generation: u32, voters: &[u32]) -> Electorate {
        Electorate { generation, voters: voters.to_vec(), former_voters: Vec::new() }
    }

    /// An electorate of `size` voters, evenly spaced over the numbers of all fronts. An even size is reduced by one:
    /// the additional voter would raise the majority without tolerating another failure.
    ///
    /// ```
    /// use ochrelead_lease::electorate::Electorate;
    ///
    /// let electorate = Electorate::evenly_spaced(1, 300, 4);
    /// assert_eq!(electorate.voters().into_iter().collect::<Vec<_>>(), [0, 100, 200]);
    /// ```
    pub fn evenly_spaced(generation: u32, fleet_size: u32, size: usize) -> Electorate {
        let size = u64::try_from(size).unwrap_or(u64::MAX).clamp(1, u64::from(fleet_size.max(1)));
        let size = if size % 2 == 0 { size - 1 } else { size };
        let voter = |index: u64| {
            u32::try_from(index * u64::from(fleet_size) / size).expect("lower than the number of fronts")
        };
        Electorate { generation, voters: (0..size).map(voter).collect(), former_voters: Vec::new() }
    }

    /// The electorate of the voters that the operator configured, with `former_voters` in a joint generation.
    ///
    /// # Errors
    ///
    /// If `voters` is empty, or if one of the voters is not a listed front.
    pub fn from_config(
        generation: u32,
        voters: &[u32],
        former_voters: &[u32],
        fleet_size: u32,
    ) -> Result<Electorate, ElectorateError> {
        if voters.is_empty() {
            return Err(ElectorateError::NoVoters);
        }
        if let Some(&front) = voters.iter().chain(former_voters).find(|front| **front >= fleet_size) {
            return Err(ElectorateError::UnknownFront { front, fleet_size });
        }
        Ok(Electorate { generation, voters: voters.to_vec(), former_voters: former_voters.to_vec() })
    }

    /// The joint generation between two electorates, in which a majority of each is needed.
    pub fn joint(from: &Electorate, to: &Electorate) -> Electorate {
        let generation = from.generation.max(to.generation) + 1;
        Electorate { generation, voters: to.voters.clone(), former_voters: from.voters.clone() }
    }

    /// The generation after a joint one, in which only the new voters vote.
    pub fn without_former_voters(&self) -> Electorate {
        Electorate::new(self.generation + 1, &self.voters)
    }

    /// Whether a front is a voter or a former voter.
    pub fn is_voter(&self, front: u32) -> bool {
        self.voters.contains(&front) || self.former_voters.contains(&front)
    }

    /// All voters, including former ones.
    pub fn voters(&self) -> BTreeSet<u32> {
        self.voters.iter().chain(&self.former_voters).copied().collect()
    }

    /// Whether these voters are a majority, in a joint generation a majority of each set.
    pub fn is_majority(&self, granted_by: &BTreeSet<u32>) -> bool {
        let has_majority_of = |voters: &[u32]| {
            let granted = voters.iter().filter(|front| granted_by.contains(front)).count();
            granted * 2 > voters.len()
        };
        has_majority_of(&self.voters)
            && (self.former_voters.is_empty() || has_majority_of(&self.former_voters))
    }

    /// Whether a majority is still possible after these voters have refused.
    pub fn can_reach_majority(&self, refused_by: &BTreeSet<u32>) -> bool {
        let undecided = self.voters().difference(refused_by).copied().collect();
        self.is_majority(&undecided)
    }
}
