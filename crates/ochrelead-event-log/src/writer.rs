//! Writing: off the sessions' path, with bounds on memory and disk.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread::{self, JoinHandle};

use prost::Message;

use crate::schema::{Event, Head, event::What};
use crate::{VERSION, frame};

/// The ending of a segment's name.
pub const ENDING: &str = "records";

/// The bounds of a log.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Events that wait for the disk, in all.
    pub queue: usize,
    /// Bytes of one segment, and of all segments of this front in the folder.
    pub segment: u64,
    pub all: u64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { queue: 65_536, segment: 8 << 20, all: 256 << 20 }
    }
}

/// So many events go to the writing thread at once: each hand-over wakes it.
const BATCH: usize = 128;

/// The log of one life of a front. Dropping it ends the thread after all is written.
pub struct Recorder {
    out: Option<Sender<Vec<Event>>>,
    thread: Option<JoinHandle<()>>,
    /// What has not been handed over yet, and how many events the thread still has.
    pending: Vec<Event>,
    handed: Arc<AtomicUsize>,
    most: usize,
    nth: u64,
    lost: u64,
}

impl Recorder {
    /// Starts a log in a folder. `complain` is told, once, what goes wrong with the disk.
    ///
    /// # Errors
    ///
    /// Where the folder can't be made or the thread can't be started.
    pub fn start(
        folder: &Path,
        front: &str,
        started_us: u64,
        bounds: Bounds,
        complain: impl Fn(io::Error) + Send + 'static,
    ) -> io::Result<Recorder> {
        fs::create_dir_all(folder)?;
        let (out, events) = mpsc::channel();
        let handed = Arc::new(AtomicUsize::new(0));
        let head = Head { version: VERSION, front: front.to_owned(), started_us, segment: 0 };
        let mut segments = Segments { folder: folder.to_owned(), head, bounds, open: None, size: 0 };
        let written = handed.clone();
        let thread = thread::Builder::new().name("records".to_owned()).spawn(move || {
            if let Err(error) = segments.follow(&events, &written) {
                complain(error);
            }
        })?;
        let (out, thread, most) = (Some(out), Some(thread), bounds.queue);
        Ok(Recorder { out, thread, pending: Vec::new(), handed, most, nth: 0, lost: 0 })
    }

    /// Takes an event; it never waits. What finds no room is counted, and the count is recorded as soon as
    /// there is room again. It goes to the disk with the next [`Recorder::flush`], or when many are together.
    pub fn put(&mut self, at_us: u64, what: What) {
        if self.lost > 0 && self.keep(at_us, What::Lost(self.lost)) {
            self.lost = 0;
        }
        if !self.keep(at_us, what) {
            self.lost += 1;
        }
        if self.pending.len() >= BATCH.min(self.most / 2) {
            self.flush();
        }
    }

    fn keep(&mut self, at_us: u64, what: What) -> bool {
        let event = Event { at_us, nth: self.nth, what: Some(what) };
        self.nth += 1;
        let room = self.pending.len() + self.handed.load(Ordering::Acquire) < self.most;
        if room {
            self.pending.push(event);
        }
        room
    }

    /// Hands over what is pending.
    pub fn flush(&mut self) {
        let Some(out) = self.out.as_ref().filter(|_| !self.pending.is_empty()) else { return };
        let batch = std::mem::take(&mut self.pending);
        let count = batch.len();
        self.handed.fetch_add(count, Ordering::AcqRel);
        // A log whose disk has failed takes nothing more; what is handed stays counted, so that room runs out
        // and all else is counted as lost. The front goes on.
        let _ = out.send(batch);
    }

    /// Events that found no room and are not recorded as lost yet.
    pub fn lost(&self) -> u64 {
        self.lost
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.flush();
        drop(self.out.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Segments {
    folder: PathBuf,
    head: Head,
    bounds: Bounds,
    open: Option<File>,
    size: u64,
}

impl Segments {
    fn follow(&mut self, events: &Receiver<Vec<Event>>, handed: &AtomicUsize) -> io::Result<()> {
        let mut bytes = Vec::new();
        while let Ok(batch) = events.recv() {
            let count = batch.len();
            for event in batch {
                frame::put(&mut bytes, &event.encode_to_vec());
            }
            self.write(&mut bytes)?;
            handed.fetch_sub(count, Ordering::AcqRel);
        }
        Ok(())
    }

    fn write(&mut self, bytes: &mut Vec<u8>) -> io::Result<()> {
        if self.open.is_none() || self.size >= self.bounds.segment {
            self.next_segment()?;
        }
        if let Some(file) = &mut self.open {
            file.write_all(bytes)?;
            self.size += bytes.len() as u64;
        }
        bytes.clear();
        Ok(())
    }

    fn name(&self) -> String {
        let Head { front, started_us, segment, .. } = &self.head;
        format!("{front}-{started_us:016}-{segment:06}.{ENDING}")
    }

    fn next_segment(&mut self) -> io::Result<()> {
        let mut bytes = Vec::new();
        frame::put(&mut bytes, &self.head.encode_to_vec());
        let mut file = File::create(self.folder.join(self.name()))?;
        file.write_all(&bytes)?;
        self.open = Some(file);
        self.size = bytes.len() as u64;
        self.head.segment += 1;
        self.drop_oldest()
    }

    /// Keeps this front's segments, of all its lives, within the bound. The one in use stays.
    fn drop_oldest(&self) -> io::Result<()> {
        let own = format!("{}-", self.head.front);
        let mut segments: Vec<(String, u64)> = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if name.starts_with(&own) && name.ends_with(ENDING) {
                segments.push((name, entry.metadata()?.len()));
            }
        }
        segments.sort();
        let mut all: u64 = segments.iter().map(|(_, size)| size).sum();
        segments.pop();
        for (name, size) in segments {
            if all + self.bounds.segment <= self.bounds.all {
                break;
            }
            fs::remove_file(self.folder.join(name))?;
            all -= size;
        }
        Ok(())
    }
}
