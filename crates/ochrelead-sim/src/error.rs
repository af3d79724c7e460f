//! Why a scenario can't be simulated.

use ochrelead_config::diagnostic::Diagnostic;
use thiserror::Error;

use crate::violation::InvariantError;

/// A file or a message in text form that is refused, with all that is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", lines(diagnostics))]
pub struct InvalidDocument {
    /// What is wrong, in the order of the document.
    pub diagnostics: Vec<Diagnostic>,
}

impl From<Vec<Diagnostic>> for InvalidDocument {
    fn from(diagnostics: Vec<Diagnostic>) -> InvalidDocument {
        InvalidDocument { diagnostics }
    }
}

/// One line for each.
fn lines(diagnostics: &[Diagnostic]) -> String {
    diagnostics.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// Why a simulation can't begin.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SimulationError {
    /// The scenario gives no valid configuration for a front.
    #[error(transparent)]
    FrontConfig(#[from] InvalidDocument),
    /// An invariant is violated before the first step.
    #[error(transparent)]
    Invariant(#[from] InvariantError),
}
