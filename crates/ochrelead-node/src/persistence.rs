//! The state folder of a node, where it is given one: a voter's state, replaced atomically and synced, and the status.
//!
//! A thread writes, so that no session waits for the disk. The host is notified of each voter state that has been
//! written, and lets the messages go that waited for it. The thread ends when its [`PersistenceWriter`] is dropped.

use std::io;
use std::path::Path;
use std::sync::mpsc::{self, Receiver as Jobs, Sender};
use std::thread;

use async_channel::{Receiver, Sender as Reports};
use ochrelead_host::state_folder::{Disk, Durability, StateFolder, replace};
use ochrelead_host::{METRICS_FILE, STATUS_FILE};
use tracing::warn;

const VOTER_STATE: &str = "promises";

/// A voter's state; a higher sequence number replaces a lower one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterState {
    /// Its place in the order of states.
    pub sequence: u64,
    /// The encoded state.
    pub bytes: Vec<u8>,
}

/// What an operator reads of the coordination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// The status, a line for each part.
    pub status: String,
    /// The counters, in the text format of Prometheus.
    pub counters: String,
}

/// What is to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteJob {
    /// A voter's state, to be synced and reported.
    VoterState(VoterState),
    /// The status, which need not last.
    Status(StatusReport),
}

/// The way to the disk, and the reports that come back.
pub struct PersistenceWriter {
    /// Takes what is to be written.
    pub jobs: Sender<WriteJob>,
    /// The sequence numbers of the voter states that have been written.
    pub persisted: Receiver<u64>,
}

/// An opened state folder.
pub struct OpenedState {
    /// The writer of its files.
    pub writer: PersistenceWriter,
    /// The voter's state that a former process has left, if any.
    pub stored: Option<Vec<u8>>,
}

impl PersistenceWriter {
    /// Opens the folder and starts the thread.
    ///
    /// # Errors
    ///
    /// Where the folder can't be made, the file can't be read, or the thread can't be started.
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
            // Only the newest of each matters: it includes all that came before.
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
            // A closed channel: the host has ended.
            Ok(()) => _ = self.reports.send_blocking(state.sequence),
            Err(error) => {
                warn!(%error, "voter state not persisted; messages that depend on it are held back");
            }
        }
    }

    fn write_status(&mut self, report: &StatusReport) {
        let mut replace_unsynced =
            |name, text: &str| replace(&mut self.folder, name, text.as_bytes(), Durability::Unsynced);
        let written = replace_unsynced(STATUS_FILE, &report.status)
            .and_then(|()| replace_unsynced(METRICS_FILE, &report.counters));
        if let Err(error) = written {
            warn!(%error, "status not written");
        }
    }
}
