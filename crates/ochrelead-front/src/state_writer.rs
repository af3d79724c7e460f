//! The thread that writes a front's state to disk, so that sessions never wait for the disk. If several writes of a
//! file are queued, only the newest content is written. A failed write is logged, and the next one is attempted. The
//! thread ends when its [`StateWriter`] is closed.

use std::io;
use std::path::Path;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread::{self, JoinHandle};

use ochrelead_discovery::persistence::PersistedEndpoints;
use ochrelead_discovery::store;
use ochrelead_host::state_folder::{Durability, StateFolder, replace};
use ochrelead_host::{METRICS_FILE, STATUS_FILE};
use tracing::warn;

enum StateWrite {
    Endpoints(PersistedEndpoints),
    Status { status: String, counters: String },
}

/// Passes writes to the thread.
pub struct StateWriter {
    writes: Sender<StateWrite>,
    thread: JoinHandle<()>,
}

impl StateWriter {
    /// Opens the state folder and starts the thread.
    ///
    /// # Errors
    ///
    /// If the folder can't be created or the thread can't be started.
    pub fn start(path: &Path) -> io::Result<StateWriter> {
        let folder = StateFolder::open(path)?;
        let (writes, queue) = mpsc::channel();
        let thread =
            thread::Builder::new().name("state-writer".to_owned()).spawn(move || run(folder, &queue))?;
        Ok(StateWriter { writes, thread })
    }

    /// Writes the endpoints in use, which are restored after a restart.
    pub fn write_endpoints(&self, endpoints: PersistedEndpoints) {
        self.send(StateWrite::Endpoints(endpoints));
    }

    /// Writes the status text and the counters.
    pub fn write_status(&self, status: String, counters: String) {
        self.send(StateWrite::Status { status, counters });
    }

    fn send(&self, write: StateWrite) {
        // Can't fail: the thread receives until the sender is dropped.
        let _ = self.writes.send(write);
    }

    /// Waits until all queued writes are done.
    pub fn close(self) {
        drop(self.writes);
        let _ = self.thread.join();
    }
}

fn run(mut folder: StateFolder, queue: &Receiver<StateWrite>) {
    while let Ok(first) = queue.recv() {
        let (mut newest_endpoints, mut newest_status) = (None, None);
        for write in std::iter::once(first).chain(queue.try_iter()) {
            match write {
                StateWrite::Endpoints(endpoints) => newest_endpoints = Some(endpoints),
                StateWrite::Status { status, counters } => newest_status = Some((status, counters)),
            }
        }
        let endpoints_result =
            newest_endpoints.map_or(Ok(()), |endpoints| store::save(&mut folder, &endpoints));
        let status_result = newest_status.map_or(Ok(()), |(status, counters)| {
            replace(&mut folder, STATUS_FILE, status.as_bytes(), Durability::Unsynced)
                .and_then(|()| replace(&mut folder, METRICS_FILE, counters.as_bytes(), Durability::Unsynced))
        });
        if let Err(error) = endpoints_result.and(status_result) {
            warn!(%error, "state files could not be written");
        }
    }
}
