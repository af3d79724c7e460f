//! Who votes. All fronts derive the same electorate from the list of fronts: a few, evenly spaced over their numbers.
//!
//! An electorate is replaced by way of a joint generation, as in Raft's joint consensus, in which a lease takes a
//! majority of both the former and the new voters. Any majority of a generation then shares a voter with any majority
//! of the generation before and after. A voter refuses candidates of a generation lower than the highest that it has
//! granted, so a change is not undone by those that missed it.

use std::collections::BTreeSet;

use thiserror::Error;

/// How many fronts vote by default; two of them may be down.
pub const DEFAULT_SIZE: usize = 5;

/// Why an electorate that was configured is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ElectorateError {
    /// Nobody would vote.
    #[error("no voters")]
    NoVoters,
    /// A voter is none of the listed fronts.
    #[error("voter {front}: there are {fleet_size} fronts, counted from 0")]
    UnknownFront {
        /// The voter as configured.
        front: u32,
        /// How many fronts there are.
        fleet_size: u32,
    },
}

/// The fronts that vote, and whether it takes two majorities.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Electorate {
    /// Rises with each change of the voters.
    pub generation: u32,
    voters: Vec<u32>,
    /// In a joint generation: the voters of the generation before, whose majority is needed too.
    former_voters: Vec<u32>,
}

impl Electorate {
    /// An electorate of these voters.
    pub fn new(generation: u32, voters: &[u32]) -> Electorate {
        Electorate { generation, voters: voters.to_vec(), former_voters: Vec::new() }
    }

    /// `size` voters, evenly spaced over the numbers of all fronts. An even size is reduced by one: the extra voter
    /// would raise the majority and tolerate no more failures.
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

    /// The voters that an operator named, and in a joint generation the former ones.
    ///
    /// # Errors
    ///
    /// Where there are no voters, or one of them is not among the fronts.
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

    /// The joint generation between two electorates, in which both majorities are needed.
    pub fn joint(from: &Electorate, to: &Electorate) -> Electorate {
        let generation = from.generation.max(to.generation) + 1;
        Electorate { generation, voters: to.voters.clone(), former_voters: from.voters.clone() }
    }

    /// The generation after a joint one, in which only the new voters are left.
    pub fn without_former_voters(&self) -> Electorate {
        Electorate::new(self.generation + 1, &self.voters)
    }

    /// Whether a front votes, by either set of voters.
    pub fn is_voter(&self, front: u32) -> bool {
        self.voters.contains(&front) || self.former_voters.contains(&front)
    }

    /// All voters, each once.
    pub fn voters(&self) -> BTreeSet<u32> {
        self.voters.iter().chain(&self.former_voters).copied().collect()
    }

    /// Whether these voters are a majority; in a joint generation, of both sets.
    pub fn is_majority(&self, granted_by: &BTreeSet<u32>) -> bool {
        let has_most_of = |voters: &[u32]| {
            let granted = voters.iter().filter(|front| granted_by.contains(front)).count();
            granted * 2 > voters.len()
        };
        has_most_of(&self.voters) && (self.former_voters.is_empty() || has_most_of(&self.former_voters))
    }

    /// Whether a majority is still possible after these voters have refused.
    pub fn can_reach_majority(&self, refused_by: &BTreeSet<u32>) -> bool {
        let undecided = self.voters().difference(refused_by).copied().collect();
        self.is_majority(&undecided)
    }
}
