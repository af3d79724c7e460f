//! Reads logs that are still being written.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

use prost::Message;

use crate::VERSION;
use crate::damage::Damage;
use crate::frame::Frames;
use crate::reader::{FrontIncarnation, Record, decode_record};
use crate::schema::Head;
use crate::writer::EXTENSION;

/// Maximum number of bytes that are read from a file at once, so that memory does not grow with the length of a log.
const MAX_READ_BYTES: u64 = 1 << 20;

/// The read position in a segment.
#[derive(Default)]
struct SegmentPosition {
    /// The incarnation that wrote the segment; none before its head has been read.
    incarnation: Option<FrontIncarnation>,
    version: u32,
    offset: u64,
}

/// Follows all logs of a folder while they grow, including new logs of restarted fronts.
pub struct Follower {
    folder: PathBuf,
    positions: BTreeMap<String, SegmentPosition>,
    damage: Damage,
}

impl Follower {
    /// Creates a follower that starts at the beginning of each log.
    pub fn new(folder: &Path) -> Follower {
        Follower { folder: folder.to_owned(), positions: BTreeMap::new(), damage: Damage::default() }
    }

    /// Passes new records to `handle`, file by file in the order of file names, which is that of front, incarnation and
    /// segment. Returns true if more records can be read at once by a further call.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be read. A file that can't be read is skipped until the next call.
    pub fn read_new(&mut self, mut handle: impl FnMut(Record)) -> io::Result<bool> {
        let mut names: Vec<String> = fs::read_dir(&self.folder)?
            .flatten()
            .map(|entry| entry.file_name().to_string_lossy().into_owned())
            .filter(|name| name.ends_with(&format!(".{EXTENSION}")))
            .collect();
        names.sort();
        let mut has_more = false;
        for name in names {
            has_more |= self.read_segment(&name, &mut handle).unwrap_or(false);
        }
        Ok(has_more)
    }

    fn read_segment(&mut self, name: &str, handle: &mut impl FnMut(Record)) -> io::Result<bool> {
        let segment = self.positions.entry(name.to_owned()).or_default();
        let mut file = File::open(self.folder.join(name))?;
        let length = file.metadata()?.len();
        if length <= segment.offset {
            return Ok(false);
        }
        file.seek(SeekFrom::Start(segment.offset))?;
        let mut bytes = Vec::new();
        file.take(MAX_READ_BYTES).read_to_end(&mut bytes)?;
        let mut frames = Frames::new(&bytes);
        for frame in frames.by_ref() {
            if let Some(incarnation) = &segment.incarnation {
                if let Some(record) = decode_record(frame, segment.version, incarnation, &mut self.damage) {
                    handle(record);
                }
                continue;
            }
            let Some(head) = Head::decode(frame).ok().filter(|head| !head.front.is_empty()) else {
                self.damage.foreign.push(name.to_owned());
                segment.offset = u64::MAX;
                return Ok(false);
            };
            segment.version = head.version;
            if head.version > VERSION {
                self.damage.newer.insert(name.to_owned(), head.version);
            }
            segment.incarnation = Some(FrontIncarnation { front: head.front, started_us: head.started_us });
        }
        let (complete_bytes, incomplete_bytes) = (frames.position() as u64, frames.remaining() as u64);
        segment.offset += complete_bytes;
        let has_more = length > segment.offset && complete_bytes > 0;
        if incomplete_bytes > 0 && !has_more {
            self.damage.truncated.insert(name.to_owned(), incomplete_bytes);
        } else {
            self.damage.truncated.remove(name);
        }
        Ok(has_more)
    }

    /// Returns the damage found so far.
    pub fn damage(&self) -> &Damage {
        &self.damage
    }
}
