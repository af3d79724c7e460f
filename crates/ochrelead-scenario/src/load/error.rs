//! The error when a load measurement fails.

use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// The error when a load measurement fails.
#[derive(Debug, Error)]
pub enum LoadError {
    /// A file or folder can't be created or written.
    #[error("{}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A socket can't listen on its address.
    #[error("can't listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// The cause.
        source: io::Error,
    },
    /// The subject's process can't be pinned to one core.
    #[error(transparent)]
    Affinity(#[from] rustix::io::Errno),
    /// The histogram of the measured times can't be created.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A measured time is out of the histogram's range.
    #[error(transparent)]
    Record(#[from] hdrhistogram::RecordError),
    /// A socket or the subject's process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl LoadError {
    pub(super) fn in_file(path: &Path, source: io::Error) -> LoadError {
        LoadError::File { path: path.to_owned(), source }
    }

    pub(super) fn listen(address: SocketAddrV4, source: io::Error) -> LoadError {
        LoadError::Listen { address, source }
    }
}
