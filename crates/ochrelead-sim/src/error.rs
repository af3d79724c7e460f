//! Errors that prevent a scenario from being simulated.

use ochrelead_config::diagnostic::Diagnostic;
use thiserror::Error;

use crate::violation::InvariantError;

/// A text-format document that fails validation, with all diagnostics.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", join_lines(diagnostics))]
pub struct InvalidDocument {
    /// The diagnostics, in document order.
    pub diagnostics: Vec<Diagnostic>,
}

impl From<Vec<Diagnostic>> for InvalidDocument {
    fn from(diagnostics: Vec<Diagnostic>) -> InvalidDocument {
        InvalidDocument { diagnostics }
    }
}

/// Formats the diagnostics, one per line.
fn join_lines(diagnostics: &[Diagnostic]) -> String {
    diagnostics.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// An error that prevents a simulation from starting.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SimulationError {
    /// The scenario yields an invalid front configuration.
    #[error(transparent)]
    FrontConfig(#[from] InvalidDocument),
    /// An invariant is violated while the participants start, before the first step.
    #[error(transparent)]
    Invariant(#[from] InvariantError),
}
