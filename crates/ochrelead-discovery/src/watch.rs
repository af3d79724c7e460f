//! Files and notifications. A thread of its own reads all files whole whenever something moved, and at a slow
//! poll beside that, for events get lost and some file systems give none. It decides nothing.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use notify::{RecursiveMode, Watcher};

use crate::sheet::Page;

/// How often the files are read although nothing was told.
const POLL: Duration = Duration::from_millis(100);
/// Events that come together are one.
const GATHER: Duration = Duration::from_millis(2);
/// The folder is watched anew so often: it may be another under the same name.
const RENEW: Duration = Duration::from_millis(500);
/// The ending of a fleet file; others in a folder are not read.
const ENDING: &str = "textproto";
/// The largest file that is read.
const LARGEST: u64 = 16 * 1024 * 1024;

/// Reads a fleet file, or all of a folder, by their names.
pub fn pages(path: &Path) -> Vec<Page> {
    let mut files: Vec<PathBuf> = match fs::read_dir(path) {
        Ok(entries) => entries.flatten().map(|entry| entry.path()).filter(|file| is_fleet(file)).collect(),
        Err(_) if path.is_file() => vec![path.to_owned()],
        Err(_) => Vec::new(),
    };
    files.sort();
    let name = |file: &Path| file.file_name().unwrap_or(file.as_os_str()).to_string_lossy().into_owned();
    files.iter().map(|file| Page { name: name(file), text: read(file) }).collect()
}

fn is_fleet(file: &Path) -> bool {
    let hidden = file.file_name().is_some_and(|name| name.to_string_lossy().starts_with('.'));
    !hidden && file.extension().is_some_and(|ending| ending == ENDING)
}

fn read(file: &Path) -> Result<String, String> {
    let size = fs::metadata(file).map_err(|error| error.to_string())?.len();
    if size > LARGEST {
        return Err(format!("{size} bytes; a fleet file has {LARGEST} at most"));
    }
    let bytes = fs::read(file).map_err(|error| error.to_string())?;
    String::from_utf8(bytes).map_err(|error| format!("not UTF-8 text: {error}"))
}

/// Watches a file or a folder; each changed reading comes out of the channel. Ends when that is dropped.
///
/// # Errors
///
/// Where no thread can be started.
pub fn start(path: PathBuf) -> io::Result<Receiver<Vec<Page>>> {
    let (out, readings) = async_channel::unbounded();
    thread::Builder::new().name("fleet".to_owned()).spawn(move || follow(&path, &out))?;
    Ok(readings)
}

fn follow(path: &Path, out: &Sender<Vec<Page>>) {
    let (told, news) = mpsc::channel();
    let mut watcher = None;
    let mut renewed = Instant::now();
    let mut last = None;
    while !out.is_closed() {
        if watcher.is_none() || renewed.elapsed() > RENEW {
            watcher = watch(path, told.clone());
            renewed = Instant::now();
        }
        let now = pages(path);
        if last.as_ref() != Some(&now) {
            last = Some(now.clone());
            if out.send_blocking(now).is_err() {
                return;
            }
        }
        if news.recv_timeout(POLL) == Err(RecvTimeoutError::Disconnected) {
            thread::sleep(POLL);
        }
        thread::sleep(GATHER);
        while news.try_recv().is_ok() {}
    }
}

/// Watches the path and the folder that it is in: a swapped link is an event of that folder.
fn watch(path: &Path, told: mpsc::Sender<()>) -> Option<impl Watcher> {
    // Where nothing can be watched the poll serves.
    let mut watcher = notify::recommended_watcher(move |event: notify::Result<notify::Event>| {
        if event.is_ok_and(|event| !event.kind.is_access()) {
            let _ = told.send(());
        }
    })
    .ok()?;
    let _ = watcher.watch(path, RecursiveMode::NonRecursive);
    if let Some(parent) = path.parent() {
        let _ = watcher.watch(parent, RecursiveMode::NonRecursive);
    }
    Some(watcher)
}
