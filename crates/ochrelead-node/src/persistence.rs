//! The optional state folder of a node. It contains a voter's state, which is replaced atomically and synced, and the
//! status.
//!
//! A separate thread writes the files, so that no session waits for the disk. It notifies the host of each voter state
//! that has been written; the host then releases the messages that depend on that state. The thread ends when its
//! [`PersistenceWriter`] is dropped.

use std::io;
use std::path::Path;
use std::sync::mpsc::{self, Receiver as Jobs, Sender};
use std::thread;

use async_channel::{Receiver, Sender as Reports};
use ochrelead_host::state_folder::{Disk, Durability, StateFolder, replace};
use ochrelead_host::{METRICS_FILE, STATUS_FILE};
use tracing::warn;

/// The file name of the voter's state.
const VOTER_STATE: &str = "promises";

/// A voter's state. A state with a higher sequence number replaces one with a lower number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterState {
    /// Increases with each change of the state.
    pub sequence: u64,
    /// The encoded state.
    pub bytes: Vec<u8>,
}

/// The status and the metrics of the coordination, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// The status text, one line per component, zone share or lease.
    pub status: String,
    /// The metrics in the text format of Prometheus.
    pub counters: String,
}

/// A file that the writer thread has to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteJob {
    /// A voter's state: synced to disk, and its sequence number reported back.
    VoterState(VoterState),
    /// The status and the metrics: written without sync, since they need not survive a crash.
    Status(StatusReport),
}

/// The channels to and from the writer thread.
pub struct PersistenceWriter {
    /// Accepts write jobs.
    pub jobs: Sender<WriteJob>,
    /// Yields the sequence numbers of the voter states that have been written.
    pub persisted: Receiver<u64>,
}

/// The result of opening a state folder.
pub struct OpenedState {
    /// The writer of its files.
    pub writer: PersistenceWriter,
    /// The voter's state that a previous process has written, if any.
    pub stored: Option<Vec<u8>>,
}

impl PersistenceWriter {
    /// Opens the folder, reads the stored state and starts the writer thread.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be created, the stored state can't be read, or the thread can't be started.
    pub fn open(folder: &Path) -> io::Result<OpenedState> {
        let folder = StateFolder::open(folder)?;
        let stored = folder.read(VOTER_STATE)?;
        let (jobs, queue) = mpsc::channel();
        let (reports, persisted) = async_channel::unbounded();
        thread::Builder::new()
            .name("persistence".to_owned())
            .spawn(move || WriterThread { folder, queue, reports }.run())?;
        Ok(OpenedState { writer: PersistenceWriter { jobs, persisted }, stored })
    }
}

struct WriterThread {
    folder: StateFolder,
    queue: Jobs<WriteJob>,
    reports: Reports<u64>,
}

impl WriterThread {
    fn run(mut self) {
        while let Ok(first) = self.queue.recv() {
            // Only the latest job of each kind is written: it supersedes the earlier ones.
            let (mut voter_state, mut status) = (None, None);
            for job in std::iter::once(first).chain(self.queue.try_iter()) {
                match job {
                    WriteJob::VoterState(newer) => voter_state = Some(newer),
                    WriteJob::Status(newer) => status = Some(newer),
                }
            }
            if let Some(state) = voter_state {
                self.write_voter_state(&state);
            }
            if let Some(report) = status {
                self.write_status(&report);
            }
        }
    }

    fn write_voter_state(&mut self, state: &VoterState) {
        match replace(&mut self.folder, VOTER_STATE, &state.bytes, Durability::Synced) {
            // Sending fails only if the host has dropped the receiver: no one waits for the report then.
            Ok(()) => _ = self.reports.send_blocking(state.sequence),
            Err(error) => {
                warn!(%error, "could not persist the voter state; holding back the messages that depend on it");
            }
        }
    }

    fn write_status(&mut self, report: &StatusReport) {
        let mut replace_unsynced =
            |name, text: &str| replace(&mut self.folder, name, text.as_bytes(), Durability::Unsynced);
        let written = replace_unsynced(STATUS_FILE, &report.status)
            .and_then(|()| replace_unsynced(METRICS_FILE, &report.counters));
        if let Err(error) = written {
            warn!(%error, "could not write the status files");
        }
    }
}
