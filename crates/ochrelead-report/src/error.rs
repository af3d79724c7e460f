//! The error type of the crate.

use std::io;
use std::path::{Path, PathBuf};

use ochrelead_parquet::TableError;

/// Why a report could not be made.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ReportError {
    /// A records folder could not be read, or an output file could not be written.
    #[error("{}: {source}", path.display())]
    Io {
        /// The folder or file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The table of events could not be written.
    #[error("{}: table of events not written: {source}", path.display())]
    Table {
        /// The table's file.
        path: PathBuf,
        /// The error of the table writer.
        source: TableError,
    },
}

impl ReportError {
    /// An error at a folder or file.
    pub fn io(path: &Path, source: io::Error) -> ReportError {
        ReportError::Io { path: path.to_owned(), source }
    }

    /// An error at a table.
    pub fn table(path: &Path, source: TableError) -> ReportError {
        ReportError::Table { path: path.to_owned(), source }
    }
}
