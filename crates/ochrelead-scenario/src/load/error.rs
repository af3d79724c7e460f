//! Why a load can't be measured.

use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// Why a load can't be measured.
#[derive(Debug, Error)]
pub enum LoadError {
    /// A file or folder can't be used.
    #[error("{}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// An address can't be listened on.
    #[error("listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// Why not.
        source: io::Error,
    },
    /// The subject can't be bound to one core.
    #[error(transparent)]
    Affinity(#[from] rustix::io::Errno),
    /// There is no room for the measured times.
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
