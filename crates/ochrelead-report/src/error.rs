//! Why a report could not be made.

use std::io;
use std::path::{Path, PathBuf};

use ochrelead_parquet::TableError;

/// Why a report could not be made.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ReportError {
    /// A folder of records could not be read, or a file not be written.
    #[error("{}: {source}", path.display())]
    Io {
        /// The folder or file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The table of events could not be written.
    #[error("{}: {source}", path.display())]
    Table {
        /// The table's file.
        path: PathBuf,
        /// What went wrong with the table.
        source: TableError,
    },
}

impl ReportError {
    /// An error of a folder or file.
    pub fn io(path: &Path, source: io::Error) -> ReportError {
        ReportError::Io { path: path.to_owned(), source }
    }

    /// An error of a table.
    pub fn table(path: &Path, source: TableError) -> ReportError {
        ReportError::Table { path: path.to_owned(), source }
    }
}
