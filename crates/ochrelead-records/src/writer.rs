//! Writing: off the sessions' path, with bounds on memory and disk.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use prost::Message;

use crate::schema::{Event, Head, event::What};
use crate::{VERSION, frame};

/// The ending of a segment's name.
pub const ENDING: &str = "records";

/// The bounds of a log.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Events that wait for the disk.
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

/// How long written events may stay in memory while nothing new comes.
const FLUSH: Duration = Duration::from_millis(200);

/// The log of one life of a front. Dropping it ends the thread after all is written.
pub struct Recorder {
    out: Option<SyncSender<Event>>,
    thread: Option<JoinHandle<()>>,
    nth: u64,
    lost: u64,
}

impl Recorder {
    /// Starts a log in a folder. `complain` is told, once each, what goes wrong with the disk.
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
        let (out, events) = mpsc::sync_channel(bounds.queue);
        let head = Head { version: VERSION, front: front.to_owned(), started_us, segment: 0 };
        let mut segments = Segments { folder: folder.to_owned(), head, bounds, open: None, size: 0 };
        let thread = thread::Builder::new().name("records".to_owned()).spawn(move || {
            if let Err(error) = segments.follow(&events) {
                complain(error);
            }
        })?;
        Ok(Recorder { out: Some(out), thread: Some(thread), nth: 0, lost: 0 })
    }

    /// Hands an event over; it never waits. What finds no room is counted, and the count is recorded as soon
    /// as there is room again.
    pub fn put(&mut self, at_us: u64, what: What) {
        if self.lost > 0 && self.send(at_us, What::Lost(self.lost)) {
            self.lost = 0;
        }
        if !self.send(at_us, what) {
            self.lost += 1;
        }
    }

    fn send(&mut self, at_us: u64, what: What) -> bool {
        let Some(out) = &self.out else { return false };
        let event = Event { at_us, nth: self.nth, what: Some(what) };
        self.nth += 1;
        match out.try_send(event) {
            Ok(()) => true,
            // A log whose disk has failed takes nothing more; the front goes on.
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    /// Events that found no room and are not recorded as lost yet.
    pub fn lost(&self) -> u64 {
        self.lost
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
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
    fn follow(&mut self, events: &Receiver<Event>) -> io::Result<()> {
        let mut bytes = Vec::new();
        loop {
            match events.recv_timeout(FLUSH) {
                Ok(event) => {
                    frame::put(&mut bytes, &event.encode_to_vec());
                    while bytes.len() < 64 * 1024
                        && let Ok(event) = events.try_recv()
                    {
                        frame::put(&mut bytes, &event.encode_to_vec());
                    }
                    self.write(&mut bytes)?;
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
        }
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
