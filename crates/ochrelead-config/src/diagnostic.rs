//! Errors in a file.

use thiserror::Error;

/// An error in a file: its position, the value found and the values that are allowed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}:{column}: {message}")]
pub struct Diagnostic {
    /// The name of the file.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The column in bytes, counted from 1.
    pub column: usize,
    /// A description of the error.
    pub message: String,
}
