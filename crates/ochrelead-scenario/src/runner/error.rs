//! Why a scenario can't be run.

use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;

use thiserror::Error;

use crate::capture::CaptureError;
use crate::participant::Participant;

/// Why a scenario can't be run to its end.
#[derive(Debug, Error)]
pub enum RunError {
    /// There are not enough addresses for its fronts.
    #[error("real processes play days of up to {limit} fronts; ochrelead-sim plays this one")]
    TooManyFronts {
        /// The number of fronts that there may be.
        limit: usize,
    },
    /// It has a fault that only the simulator can inject.
    #[error("no real process has such a clock or disk: {fault}; ochrelead-sim plays this day")]
    EmulatedOnly {
        /// The name of the fault's kind.
        fault: &'static str,
    },
    /// A file or folder can't be used.
    #[error("{}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The relay can't listen on one of its addresses.
    #[error("relay on {address}")]
    Relay {
        /// The address.
        address: SocketAddrV4,
        /// Why not.
        source: io::Error,
    },
    /// A process can't be started.
    #[error("start {participant:?}")]
    Start {
        /// Whose process.
        participant: Participant,
        /// Why not.
        source: io::Error,
    },
    /// A process has ended that should have gone on.
    #[error("{participant:?} ended by itself: {status}")]
    ProcessEnded {
        /// Whose process.
        participant: Participant,
        /// How it ended.
        status: ExitStatus,
    },
    /// The rig has no process that could be started.
    #[error("the rig is no process of its own")]
    RigHasNoProcess,
    /// A task still uses the relay after the run.
    #[error("the relay still runs")]
    RelayInUse,
    /// The capture can't be written.
    #[error(transparent)]
    Capture(#[from] CaptureError),
    /// A signal can't be sent to a process.
    #[error(transparent)]
    Signal(#[from] rustix::io::Errno),
    /// A socket, a file or a process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl RunError {
    pub(super) fn in_file(path: &Path, source: io::Error) -> RunError {
        RunError::File { path: path.to_owned(), source }
    }
}
