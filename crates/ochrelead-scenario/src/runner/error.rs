//! The error when a scenario can't be run.

use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;

use thiserror::Error;

use crate::capture::CaptureError;
use crate::participant::Participant;

/// The error when a scenario can't be run to its end.
#[derive(Debug, Error)]
pub enum RunError {
    /// The scenario has more fronts than there are addresses.
    #[error(
        "too many fronts: this program runs scenarios with up to {limit} fronts; use ochrelead-sim for this one"
    )]
    TooManyFronts {
        /// The maximum number of fronts.
        limit: usize,
    },
    /// The scenario has a fault that only the simulator can inject.
    #[error("fault {fault} needs an emulated clock or disk; use ochrelead-sim for this scenario")]
    EmulatedOnly {
        /// The name of the fault's kind.
        fault: &'static str,
    },
    /// A file or folder can't be read or written.
    #[error("{}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The relay can't listen on one of its addresses.
    #[error("the relay can't listen on {address}")]
    Relay {
        /// The address.
        address: SocketAddrV4,
        /// The cause.
        source: io::Error,
    },
    /// A process can't be started.
    #[error("can't start the process of {participant:?}")]
    Start {
        /// The participant whose process it is.
        participant: Participant,
        /// The cause.
        source: io::Error,
    },
    /// A process exited although the script does not end it.
    #[error("the process of {participant:?} exited unexpectedly: {status}")]
    ProcessEnded {
        /// The participant whose process it is.
        participant: Participant,
        /// Its exit status.
        status: ExitStatus,
    },
    /// A process was requested for the test harness, which has none.
    #[error("the test harness has no process to start")]
    HarnessHasNoProcess,
    /// A task still holds the relay after the run.
    #[error("a task still uses the relay after the run")]
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
