//! Violations of the lease invariants.

use thiserror::Error;

use crate::resource::Act;

/// A violated lease invariant.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum Violation {
    /// Two fronts hold a permit for the same task at the same time.
    #[error("{fronts:?} may act at once")]
    ConcurrentHolders {
        /// The fronts that hold a permit.
        fronts: Vec<u32>,
    },
    /// A former holder's act was accepted after an act of its successor.
    #[error("{act:?} acted after {last:?}, whose lease began later")]
    StaleAct {
        /// The act of the former holder.
        act: Act,
        /// The act of the successor, accepted before it.
        last: Act,
    },
}
