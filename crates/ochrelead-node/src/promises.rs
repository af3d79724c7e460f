//! A node's folder, where it is given one: what it promised as a voter, replaced whole and synced, and how its tasks stand.
//! A thread of its own writes, so that no session waits for the disk. The host is told which promises have been
//! written, and lets the words go that waited for them.

use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Sender};
use std::thread;

use async_channel::Receiver;
use ochrelead_host::{COUNTERS, STATUS};
use tracing::warn;

const PRESENT: &str = "promises";
const NEXT: &str = "promises.next";

/// What is to be written.
pub enum Job {
    /// What was promised, as the so-manieth.
    Promises(u64, Vec<u8>),
    Status {
        status: String,
        counters: String,
    },
}

/// The way to the disk, and what comes back from it: which promises were written.
pub struct Promises {
    pub out: Sender<Job>,
    pub written: Receiver<u64>,
}

/// Replaces a file that need not last: whole, but not synced.
fn put(folder: &Path, name: &str, text: &str) -> io::Result<()> {
    let next = folder.join(format!("{name}.next"));
    fs::write(&next, text)?;
    fs::rename(next, folder.join(name))
}

/// Replaces the file whole: a kill at any point leaves the former or the next.
fn write(folder: &Path, bytes: &[u8]) -> io::Result<()> {
    let next = folder.join(NEXT);
    let mut file = File::create(&next)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(next, folder.join(PRESENT))?;
    File::open(folder)?.sync_all()
}

impl Promises {
    /// Opens the folder; what was kept there before, where anything was.
    ///
    /// # Errors
    ///
    /// Where the folder can't be made, the file can't be read, or the thread can't be started.
    pub fn open(folder: &Path) -> io::Result<(Promises, Option<Vec<u8>>)> {
        fs::create_dir_all(folder)?;
        let kept = match fs::read(folder.join(PRESENT)) {
            Ok(bytes) => Some(bytes),
            Err(error) if error.kind() == ErrorKind::NotFound => None,
            Err(error) => return Err(error),
        };
        let (out, jobs) = mpsc::channel::<Job>();
        let (done, written) = async_channel::unbounded();
        let folder: PathBuf = folder.to_owned();
        thread::Builder::new().name("promises".to_owned()).spawn(move || {
            while let Ok(first) = jobs.recv() {
                // Only the newest of each matters: it holds all that came before.
                let (mut promises, mut told) = (None, None);
                for job in std::iter::once(first).chain(jobs.try_iter()) {
                    match job {
                        Job::Promises(nth, bytes) => promises = Some((nth, bytes)),
                        Job::Status { status, counters } => told = Some((status, counters)),
                    }
                }
                if let Some((nth, bytes)) = promises {
                    match write(&folder, &bytes) {
                        Ok(()) => _ = done.send_blocking(nth),
                        Err(error) => warn!(%error, "promises could not be kept: no word of them leaves"),
                    }
                }
                let put = |(status, counters): (String, String)| {
                    put(&folder, STATUS, &status).and_then(|()| put(&folder, COUNTERS, &counters))
                };
                if let Some(Err(error)) = told.map(put) {
                    warn!(%error, "the status could not be written");
                }
            }
        })?;
        Ok((Promises { out, written }, kept))
    }
}
