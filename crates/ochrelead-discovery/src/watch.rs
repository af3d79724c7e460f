//! Watches and reads the fleet files. A thread reads all files after each file system event, and also at a fixed
//! interval: events can be lost, and some file systems send none. The contents are not interpreted here.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use notify::{RecursiveMode, Watcher};

use crate::source_file::{MAX_FILE_SIZE, ReadError, SourceFile};

/// The files are read at this interval even without events.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Events within this time after the first one are handled together.
const EVENT_DEBOUNCE: Duration = Duration::from_millis(2);
/// The watch is renewed at this interval, because the folder may have been replaced by another one with the same path.
const WATCH_RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// Extension of the fleet files in a folder; other files there are not read.
const FLEET_FILE_EXTENSION: &str = "textproto";

/// Reads one fleet file, or all fleet files of a folder in the order of their names. Hidden files are skipped. Returns
/// an empty list if the path does not exist.
pub fn read_files(path: &Path) -> Vec<SourceFile> {
    let mut paths: Vec<PathBuf> = match fs::read_dir(path) {
        Ok(entries) => {
            entries.flatten().map(|entry| entry.path()).filter(|file| is_fleet_file(file)).collect()
        }
        Err(_) if path.is_file() => vec![path.to_owned()],
        Err(_) => Vec::new(),
    };
    paths.sort();
    paths.iter().map(|path| SourceFile { name: file_name(path), text: read_text(path) }).collect()
}

fn file_name(path: &Path) -> String {
    path.file_name().unwrap_or(path.as_os_str()).to_string_lossy().into_owned()
}

fn is_fleet_file(path: &Path) -> bool {
    let is_hidden = path.file_name().is_some_and(|name| name.to_string_lossy().starts_with('.'));
    !is_hidden && path.extension().is_some_and(|extension| extension == FLEET_FILE_EXTENSION)
}

fn read_text(path: &Path) -> Result<String, ReadError> {
    let io_error = |error: io::Error| ReadError::Io(error.to_string());
    let size = fs::metadata(path).map_err(io_error)?.len();
    if size > MAX_FILE_SIZE {
        return Err(ReadError::TooLarge(size));
    }
    let bytes = fs::read(path).map_err(io_error)?;
    String::from_utf8(bytes).map_err(|error| ReadError::NotUtf8(error.utf8_error()))
}

/// Watches a file or a folder in a thread, and sends each changed reading to the returned channel. The thread ends when
/// the receiver is dropped.
///
/// # Errors
///
/// If the thread cannot be started.
pub fn start(path: PathBuf) -> io::Result<Receiver<Vec<SourceFile>>> {
    let (sender, readings) = async_channel::unbounded();
    thread::Builder::new().name("fleet".to_owned()).spawn(move || run(&path, &sender))?;
    Ok(readings)
}

fn run(path: &Path, readings: &Sender<Vec<SourceFile>>) {
    let (event_sender, events) = mpsc::channel();
    let mut watcher = None;
    let mut watched_since = Instant::now();
    let mut last_reading = None;
    while !readings.is_closed() {
        if watcher.is_none() || watched_since.elapsed() > WATCH_RENEWAL_INTERVAL {
            watcher = watch(path, event_sender.clone());
            watched_since = Instant::now();
        }
        let reading = read_files(path);
        if last_reading.as_ref() != Some(&reading) {
            last_reading = Some(reading.clone());
            if readings.send_blocking(reading).is_err() {
                return;
            }
        }
        if events.recv_timeout(POLL_INTERVAL) == Err(RecvTimeoutError::Disconnected) {
            thread::sleep(POLL_INTERVAL);
        }
        thread::sleep(EVENT_DEBOUNCE);
        while events.try_recv().is_ok() {}
    }
}

/// Watches the path and its parent folder: the replacement of a symbolic link is an event of the parent folder.
fn watch(path: &Path, events: mpsc::Sender<()>) -> Option<impl Watcher> {
    // If no watcher can be created, changes are still detected at each `POLL_INTERVAL`.
    let mut watcher = notify::recommended_watcher(move |event: notify::Result<notify::Event>| {
        if event.is_ok_and(|event| !event.kind.is_access()) {
            let _ = events.send(());
        }
    })
    .ok()?;
    let _ = watcher.watch(path, RecursiveMode::NonRecursive);
    if let Some(parent) = path.parent() {
        let _ = watcher.watch(parent, RecursiveMode::NonRecursive);
    }
    Some(watcher)
}
