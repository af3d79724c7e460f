//! Writes a log on a separate thread, so that session handling never waits for the disk, within limits on memory and
//! disk space.

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

/// The extension of a segment's file name.
pub const EXTENSION: &str = "records";

/// Number of events that are passed to the writer thread at once, since each batch wakes the thread.
const BATCH_LENGTH: usize = 128;

/// The limits of a log.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of events that are not written yet.
    pub max_queued_events: usize,
    /// The length in bytes from which a segment gets no further batch. The last batch may exceed it.
    pub max_segment_bytes: u64,
    /// The limit in bytes on all segments of this front in the folder, over all incarnations.
    pub max_total_bytes: u64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { max_queued_events: 65_536, max_segment_bytes: 8 << 20, max_total_bytes: 256 << 20 }
    }
}

/// Writes the log of one incarnation of a front. Dropping it blocks until all events are written and the writer thread
/// has ended.
pub struct Recorder {
    /// None once the recorder is being dropped.
    batches: Option<Sender<Vec<Event>>>,
    thread: Option<JoinHandle<()>>,
    /// Events that are not passed to the writer thread yet.
    pending: Vec<Event>,
    /// Number of events that were passed to the writer thread and are not written yet.
    unwritten: Arc<AtomicUsize>,
    max_queued_events: usize,
    next_sequence: u64,
    /// Number of dropped events that no `Lost` event has recorded yet.
    lost: u64,
}

impl Recorder {
    /// Starts a log in a folder and creates the folder if needed. `on_error` is called with the first disk error, after
    /// which nothing more is written.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be created or the thread can't be started.
    pub fn start(
        folder: &Path,
        front: &str,
        started_us: u64,
        bounds: Bounds,
        on_error: impl Fn(io::Error) + Send + 'static,
    ) -> io::Result<Recorder> {
        fs::create_dir_all(folder)?;
        let (batches, queue) = mpsc::channel();
        let unwritten = Arc::new(AtomicUsize::new(0));
        let head = Head { version: VERSION, front: front.to_owned(), started_us, segment: 0 };
        let mut segments =
            SegmentWriter { folder: folder.to_owned(), head, bounds, file: None, file_length: 0 };
        let thread_unwritten = unwritten.clone();
        let thread = thread::Builder::new().name("records".to_owned()).spawn(move || {
            if let Err(error) = segments.run(&queue, &thread_unwritten) {
                on_error(error);
            }
        })?;
        Ok(Recorder {
            batches: Some(batches),
            thread: Some(thread),
            pending: Vec::new(),
            unwritten,
            max_queued_events: bounds.max_queued_events,
            next_sequence: 0,
            lost: 0,
        })
    }

    /// Records an event without blocking. If the queue is full, drops the event and counts it; the count is recorded as
    /// a `Lost` event as soon as the queue has room again. An event is passed to the writer thread by the next
    /// [`Recorder::flush`], or when a batch is complete.
    pub fn record(&mut self, at_us: u64, what: What) {
        if self.lost > 0 && self.try_push(at_us, What::Lost(self.lost)) {
            self.lost = 0;
        }
        if !self.try_push(at_us, what) {
            self.lost += 1;
        }
        if self.pending.len() >= BATCH_LENGTH.min(self.max_queued_events / 2) {
            self.flush();
        }
    }

    fn try_push(&mut self, at_us: u64, what: What) -> bool {
        let event = Event { at_us, nth: self.next_sequence, what: Some(what) };
        self.next_sequence += 1;
        let queued = self.pending.len() + self.unwritten.load(Ordering::Acquire);
        let has_room = queued < self.max_queued_events;
        if has_room {
            self.pending.push(event);
        }
        has_room
    }

    /// Passes pending events to the writer thread.
    pub fn flush(&mut self) {
        let Some(batches) = self.batches.as_ref().filter(|_| !self.pending.is_empty()) else { return };
        let batch = std::mem::take(&mut self.pending);
        self.unwritten.fetch_add(batch.len(), Ordering::AcqRel);
        // Sending fails if the writer thread has ended after a disk error. Events of failed batches stay counted in
        // `unwritten`, so that the queue fills up and later events are counted as lost. The front continues to run.
        let _ = batches.send(batch);
    }

    /// Returns the number of dropped events that are not recorded as lost yet.
    pub fn unrecorded_losses(&self) -> u64 {
        self.lost
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.flush();
        drop(self.batches.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Writes batches of events to segments; runs on the writer thread.
struct SegmentWriter {
    folder: PathBuf,
    head: Head,
    bounds: Bounds,
    file: Option<File>,
    file_length: u64,
}

impl SegmentWriter {
    fn run(&mut self, queue: &Receiver<Vec<Event>>, unwritten: &AtomicUsize) -> io::Result<()> {
        let mut bytes = Vec::new();
        while let Ok(batch) = queue.recv() {
            let count = batch.len();
            for event in batch {
                frame::append(&mut bytes, &event.encode_to_vec());
            }
            self.write(&bytes)?;
            bytes.clear();
            unwritten.fetch_sub(count, Ordering::AcqRel);
        }
        Ok(())
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.file.is_none() || self.file_length >= self.bounds.max_segment_bytes {
            self.start_segment()?;
        }
        if let Some(file) = &mut self.file {
            file.write_all(bytes)?;
            self.file_length += bytes.len() as u64;
        }
        Ok(())
    }

    fn file_name(&self) -> String {
        let Head { front, started_us, segment, .. } = &self.head;
        format!("{front}-{started_us:016}-{segment:06}.{EXTENSION}")
    }

    fn start_segment(&mut self) -> io::Result<()> {
        let mut bytes = Vec::new();
        frame::append(&mut bytes, &self.head.encode_to_vec());
        let mut file = File::create(self.folder.join(self.file_name()))?;
        file.write_all(&bytes)?;
        self.file = Some(file);
        self.file_length = bytes.len() as u64;
        self.head.segment += 1;
        self.delete_oldest()
    }

    /// Deletes the oldest segments of this front, over all its incarnations, until a further full segment fits within
    /// `max_total_bytes`. Never deletes the newest segment, which is being written.
    fn delete_oldest(&self) -> io::Result<()> {
        let prefix = format!("{}-", self.head.front);
        let mut segments: Vec<(String, u64)> = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if name.starts_with(&prefix) && name.ends_with(EXTENSION) {
                segments.push((name, entry.metadata()?.len()));
            }
        }
        segments.sort();
        let mut total: u64 = segments.iter().map(|(_, length)| length).sum();
        segments.pop();
        for (name, length) in segments {
            if total + self.bounds.max_segment_bytes <= self.bounds.max_total_bytes {
                break;
            }
            fs::remove_file(self.folder.join(name))?;
            total -= length;
        }
        Ok(())
    }
}
