//! What a front writes to disk, on a thread of its own: sessions never wait for it. Only the newest matters.

use std::io;
use std::path::Path;
use std::sync::mpsc::{self, Sender};
use std::thread;

use ochrelead_discovery::store::{self, Folder, Kept};
use ochrelead_host::{COUNTERS, STATUS};
use tracing::warn;

/// What is to be written.
pub enum StateWrite {
    Kept(Kept),
    Status { status: String, counters: String },
}

/// Starts the thread; it ends when the sender is dropped.
///
/// # Errors
///
/// Where the folder can't be made or the thread can't be started.
pub fn start(path: &Path) -> io::Result<(Sender<StateWrite>, thread::JoinHandle<()>)> {
    let mut folder = Folder::open(path)?;
    let (out, writings) = mpsc::channel();
    let thread = thread::Builder::new().name("keeping".to_owned()).spawn(move || {
        while let Ok(first) = writings.recv() {
            let (mut kept, mut told) = (None, None);
            for writing in std::iter::once(first).chain(std::iter::from_fn(|| writings.try_recv().ok())) {
                match writing {
                    StateWrite::Kept(own) => kept = Some(own),
                    StateWrite::Status { status, counters } => told = Some((status, counters)),
                }
            }
            let saved = kept.map_or(Ok(()), |kept| store::save(&mut folder, &kept));
            let written = told.map_or(Ok(()), |(status, counters)| {
                folder.put(STATUS, &status).and_then(|()| folder.put(COUNTERS, &counters))
            });
            if let Err(error) = saved.and(written) {
                warn!(%error, "the state could not be kept");
            }
        }
    })?;
    Ok((out, thread))
}
