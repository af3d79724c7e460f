//! What verification finds: an invariant that does not hold.

use thiserror::Error;

use crate::resource::Act;

/// An invariant of leases that was violated.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum Violation {
    /// Two fronts hold a permit for the same task at the same time.
    #[error("{fronts:?} may act at once")]
    ConcurrentHolders {
        /// All fronts that may act.
        fronts: Vec<u32>,
    },
    /// A former holder's act was accepted after an act of its successor.
    #[error("{act:?} acted after {last:?}, whose lease began later")]
    StaleAct {
        /// The act in question.
        act: Act,
        /// The act that was accepted before it.
        last: Act,
    },
}
