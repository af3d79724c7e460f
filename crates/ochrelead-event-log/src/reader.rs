//! Reads finished logs in chunks, so that memory does not grow with their length.

use std::collections::{BTreeMap, VecDeque};
use std::fs::{self, File};
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};
use std::sync::LazyLock;

use prost::Message;
use prost_reflect::{DescriptorPool, DynamicMessage};

use crate::VERSION;
pub use crate::damage::Damage;
use crate::frame::Frames;
use crate::schema::{Event, Head};
use crate::writer::EXTENSION;

static SCHEMA: LazyLock<DescriptorPool> = LazyLock::new(|| {
    let bytes = include_bytes!(concat!(env!("OUT_DIR"), "/records.bin"));
    DescriptorPool::decode(bytes.as_slice()).expect("the build script compiles a valid schema")
});

/// Number of bytes that are read at once, unless a frame is longer.
const READ_LENGTH: u64 = 1 << 15;
/// The factor by which the read length grows until a frame that is longer fits.
const READ_LENGTH_GROWTH: u64 = 8;

/// An incarnation of a front: one run of its process, from one start to the next.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FrontIncarnation {
    /// The name of the front.
    pub front: String,
    /// The start time of the process, in microseconds since 1970 on the front's clock.
    pub started_us: u64,
}

/// An event and the incarnation that logged it.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The incarnation that logged the event.
    pub incarnation: FrontIncarnation,
    /// The event.
    pub event: Event,
    /// The number of fields of the event that are unknown because they belong to a newer schema version.
    pub unknown_fields: usize,
}

/// Decodes an event. Returns none if the frame does not hold an event.
pub(crate) fn decode_record(
    frame: &[u8],
    version: u32,
    incarnation: &FrontIncarnation,
    damage: &mut Damage,
) -> Option<Record> {
    let event = Event::decode(frame).ok()?;
    let unknown_fields = if version > VERSION { count_unknown_fields(frame) } else { 0 };
    damage.unknown_events += u64::from(event.what.is_none());
    Some(Record { incarnation: incarnation.clone(), event, unknown_fields })
}

/// Counts the fields of an event, and of its direct submessages, that are not in the schema.
fn count_unknown_fields(frame: &[u8]) -> usize {
    let schema = SCHEMA.get_message_by_name("ochrelead.records.Event").expect("the schema defines Event");
    DynamicMessage::decode(schema, frame).map_or(0, |event| {
        let nested = event
            .fields()
            .filter_map(|(_, value)| value.as_message().map(|message| message.unknown_fields().count()));
        event.unknown_fields().count() + nested.sum::<usize>()
    })
}

/// The log of one incarnation. Iterates over its records in the order in which they were written.
#[derive(Clone, Debug)]
pub struct Log {
    /// The incarnation that wrote the log.
    pub incarnation: FrontIncarnation,
    /// Segments that are not read to their end yet.
    segments: VecDeque<PathBuf>,
    /// The read position in the first of these segments.
    offset: u64,
    decoded: VecDeque<Record>,
    damage: Damage,
}

impl Log {
    /// Creates a log from records in memory.
    pub fn from_records(incarnation: FrontIncarnation, records: impl IntoIterator<Item = Record>) -> Log {
        let decoded = records.into_iter().collect();
        Log { incarnation, segments: VecDeque::new(), offset: 0, decoded, damage: Damage::default() }
    }

    /// Returns the damage found so far.
    pub fn damage(&self) -> &Damage {
        &self.damage
    }

    /// Reads the next chunk of a segment. Returns false at the end of the segment, or at a frame that is incomplete or
    /// corrupted; the following segments can still be valid.
    fn read_chunk(&mut self, path: &Path) -> io::Result<bool> {
        let mut file = File::open(path)?;
        let length = file.metadata()?.len();
        let mut read_length = READ_LENGTH;
        loop {
            file.seek(SeekFrom::Start(self.offset))?;
            let mut bytes = Vec::new();
            file.by_ref().take(read_length).read_to_end(&mut bytes)?;
            let mut frames = Frames::new(&bytes);
            let Some(version) = self.segment_version(path, &mut frames) else { return Ok(false) };
            for frame in frames.by_ref() {
                self.decoded.extend(decode_record(frame, version, &self.incarnation, &mut self.damage));
            }
            let complete_bytes = frames.position() as u64;
            if complete_bytes > 0 {
                self.offset += complete_bytes;
                return Ok(true);
            }
            let unread_bytes = length.saturating_sub(self.offset);
            if read_length >= unread_bytes {
                if unread_bytes > 0 {
                    self.damage.truncated.insert(file_name(path), unread_bytes);
                }
                return Ok(false);
            }
            read_length *= READ_LENGTH_GROWTH;
        }
    }

    /// Returns the schema version of a segment. Reads the head if the position is at the start of the segment; returns
    /// none if there is no valid head. After the head, only tells whether the version is newer than [`VERSION`].
    fn segment_version(&mut self, path: &Path, frames: &mut Frames<'_>) -> Option<u32> {
        if self.offset > 0 {
            let is_newer = self.damage.newer.contains_key(&file_name(path));
            return Some(if is_newer { VERSION + 1 } else { VERSION });
        }
        let head = frames.next().and_then(|frame| Head::decode(frame).ok())?;
        if head.version > VERSION {
            self.damage.newer.insert(file_name(path), head.version);
        }
        Some(head.version)
    }
}

fn file_name(path: &Path) -> String {
    path.file_name().unwrap_or_default().to_string_lossy().into_owned()
}

impl Iterator for Log {
    type Item = Record;

    fn next(&mut self) -> Option<Record> {
        loop {
            if let Some(record) = self.decoded.pop_front() {
                return Some(record);
            }
            let path = self.segments.front()?.clone();
            if !self.read_chunk(&path).unwrap_or(false) {
                self.segments.pop_front();
                self.offset = 0;
            }
        }
    }
}

/// Opens the logs of a folder, ordered by front and incarnation. Also returns the files that are not segments and those
/// without a complete head.
///
/// # Errors
///
/// Fails if the folder can't be read.
pub fn open_logs(folder: &Path) -> io::Result<(Vec<Log>, Damage)> {
    let mut segments: BTreeMap<FrontIncarnation, BTreeMap<u32, PathBuf>> = BTreeMap::new();
    let mut damage = Damage::default();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != EXTENSION) {
            continue;
        }
        let mut bytes = Vec::new();
        if File::open(&path).and_then(|file| file.take(READ_LENGTH).read_to_end(&mut bytes)).is_err() {
            damage.foreign.push(file_name(&path));
            continue;
        }
        match Frames::new(&bytes).next().map(Head::decode) {
            Some(Ok(head)) if !head.front.is_empty() => {
                let incarnation = FrontIncarnation { front: head.front, started_us: head.started_us };
                segments.entry(incarnation).or_default().insert(head.segment, path);
            }
            None => drop(damage.truncated.insert(file_name(&path), bytes.len() as u64)),
            Some(_) => damage.foreign.push(file_name(&path)),
        }
    }
    damage.foreign.sort();
    let log = |(incarnation, segments): (FrontIncarnation, BTreeMap<u32, PathBuf>)| Log {
        segments: segments.into_values().collect(),
        ..Log::from_records(incarnation, [])
    };
    Ok((segments.into_iter().map(log).collect(), damage))
}

/// Reads all logs of several folders, folder by folder, and passes their records to `handle`, incarnation by
/// incarnation.
///
/// # Errors
///
/// Fails if a folder can't be read.
pub fn read_all(folders: &[PathBuf], mut handle: impl FnMut(Record)) -> io::Result<Damage> {
    let mut damage = Damage::default();
    for folder in folders {
        let (logs, folder_damage) = open_logs(folder)?;
        damage.merge(&folder_damage);
        for mut log in logs {
            log.by_ref().for_each(&mut handle);
            damage.merge(log.damage());
        }
    }
    Ok(damage)
}
