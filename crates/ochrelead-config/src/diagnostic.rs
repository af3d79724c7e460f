//! What is wrong with a file.

use thiserror::Error;

/// One thing that is wrong with a file: where, what, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}:{column}: {message}")]
pub struct Diagnostic {
    /// The name of the file.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The column in bytes, counted from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
}
