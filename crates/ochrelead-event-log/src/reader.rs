//! Reading: whole logs, and logs that still grow.

use std::collections::{BTreeMap, VecDeque};
use std::fs::{self, File};
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};
use std::sync::LazyLock;

use prost::Message;
use prost_reflect::{DescriptorPool, DynamicMessage};

use crate::VERSION;
use crate::frame::Frames;
use crate::schema::{Event, Head};
use crate::writer::ENDING;

static SCHEMA: LazyLock<DescriptorPool> = LazyLock::new(|| {
    let bytes = include_bytes!(concat!(env!("OUT_DIR"), "/records.bin"));
    DescriptorPool::decode(bytes.as_slice()).expect("the schema was compiled by the build")
});

/// Whose events they are: a front, in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Life {
    pub front: String,
    pub started_us: u64,
}

/// One event, with whose it is.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub life: Life,
    pub event: Event,
    /// Fields of a newer version that this program does not know.
    pub unknown: usize,
}

/// What could not be read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Damage {
    /// Files that are no segments.
    pub foreign: Vec<String>,
    /// Segments with bytes behind the last whole frame, and how many. One that is being written may have some.
    pub torn: BTreeMap<String, u64>,
    /// Segments of a newer version: what is known of them was read.
    pub newer: BTreeMap<String, u32>,
    /// Events of kinds that this program does not know.
    pub unknown_events: u64,
}

struct Place {
    life: Option<Life>,
    version: u32,
    at: u64,
}

/// Follows all logs of a folder, also as they grow and as fronts start anew.
pub struct Follower {
    folder: PathBuf,
    places: BTreeMap<String, Place>,
    damage: Damage,
}

/// The most bytes of one file that are taken at once: memory stays flat in the length of a log.
const MOST_AT_ONCE: u64 = 1 << 20;

impl Follower {
    pub fn new(folder: &Path) -> Follower {
        Follower { folder: folder.to_owned(), places: BTreeMap::new(), damage: Damage::default() }
    }

    /// Hands what is new to `take`, file by file in the order of lives and segments; true where there was more
    /// than is taken at once.
    ///
    /// # Errors
    ///
    /// Where the folder can't be read. A file that can't be is passed over until the next time.
    pub fn follow(&mut self, mut take: impl FnMut(Record)) -> io::Result<bool> {
        let mut names: Vec<String> = fs::read_dir(&self.folder)?
            .flatten()
            .map(|entry| entry.file_name().to_string_lossy().into_owned())
            .filter(|name| name.ends_with(&format!(".{ENDING}")))
            .collect();
        names.sort();
        let mut more = false;
        for name in names {
            more |= self.follow_one(&name, &mut take).unwrap_or(false);
        }
        Ok(more)
    }

    fn follow_one(&mut self, name: &str, take: &mut impl FnMut(Record)) -> io::Result<bool> {
        let place = self.places.entry(name.to_owned()).or_insert(Place { life: None, version: 0, at: 0 });
        let mut file = File::open(self.folder.join(name))?;
        let length = file.metadata()?.len();
        if length <= place.at {
            return Ok(false);
        }
        file.seek(SeekFrom::Start(place.at))?;
        let mut bytes = Vec::new();
        file.take(MOST_AT_ONCE).read_to_end(&mut bytes)?;
        let mut frames = Frames::new(&bytes);
        for frame in frames.by_ref() {
            let Some(life) = &place.life else {
                let Some(head) = Head::decode(frame).ok().filter(|head| !head.front.is_empty()) else {
                    self.damage.foreign.push(name.to_owned());
                    place.at = u64::MAX;
                    return Ok(false);
                };
                place.version = head.version;
                if head.version > VERSION {
                    self.damage.newer.insert(name.to_owned(), head.version);
                }
                place.life = Some(Life { front: head.front, started_us: head.started_us });
                continue;
            };
            let Ok(event) = Event::decode(frame) else { continue };
            let unknown = if place.version > VERSION { unknown_fields(frame) } else { 0 };
            self.damage.unknown_events += u64::from(event.what.is_none());
            take(Record { life: life.clone(), event, unknown });
        }
        let (whole, rest) = (frames.at() as u64, frames.rest() as u64);
        place.at += whole;
        let more = length > place.at && whole > 0;
        if rest > 0 && !more {
            self.damage.torn.insert(name.to_owned(), rest);
        } else {
            self.damage.torn.remove(name);
        }
        Ok(more)
    }

    pub fn damage(&self) -> &Damage {
        &self.damage
    }
}

/// How many fields of an event this program's schema does not have.
fn unknown_fields(frame: &[u8]) -> usize {
    let schema = SCHEMA.get_message_by_name("ochrelead.records.Event").expect("a schema of this crate");
    DynamicMessage::decode(schema, frame).map_or(0, |event| {
        let within = event
            .fields()
            .filter_map(|(_, value)| value.as_message().map(|own| own.unknown_fields().count()));
        event.unknown_fields().count() + within.sum::<usize>()
    })
}

/// One life's log in the order in which it was written, read piece by piece: memory does not grow with its length.
#[derive(Clone, Debug)]
pub struct Log {
    pub life: Life,
    segments: VecDeque<PathBuf>,
    /// Where the first of them is read on, and what is decoded already.
    at: u64,
    ready: VecDeque<Record>,
    damage: Damage,
}

/// Bytes that are read at once; a longer frame is read whole.
const PIECE: u64 = 1 << 15;

impl Log {
    /// A log that is in memory.
    pub fn of(life: Life, records: impl IntoIterator<Item = Record>) -> Log {
        let ready = records.into_iter().collect();
        Log { life, segments: VecDeque::new(), at: 0, ready, damage: Damage::default() }
    }

    /// What could not be read so far.
    pub fn damage(&self) -> &Damage {
        &self.damage
    }

    /// Reads on in the first segment; false where there is nothing more in it. One that can't be read, or is
    /// torn, ends there; the next may be whole.
    fn read_on(&mut self, path: &Path) -> io::Result<bool> {
        let mut file = File::open(path)?;
        let length = file.metadata()?.len();
        let name = || path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        let mut size = PIECE;
        loop {
            file.seek(SeekFrom::Start(self.at))?;
            let mut bytes = Vec::new();
            file.by_ref().take(size).read_to_end(&mut bytes)?;
            let mut frames = Frames::new(&bytes);
            let mut version = VERSION;
            if self.at == 0 {
                let Some(head) = frames.next().and_then(|frame| Head::decode(frame).ok()) else {
                    return Ok(false);
                };
                version = head.version;
                if version > VERSION {
                    self.damage.newer.insert(name(), version);
                }
            } else if self.damage.newer.contains_key(&name()) {
                version = VERSION + 1;
            }
            for frame in frames.by_ref() {
                let Ok(event) = Event::decode(frame) else { continue };
                let unknown = if version > VERSION { unknown_fields(frame) } else { 0 };
                self.damage.unknown_events += u64::from(event.what.is_none());
                self.ready.push_back(Record { life: self.life.clone(), event, unknown });
            }
            let whole = frames.at() as u64;
            if whole > 0 {
                self.at += whole;
                return Ok(true);
            }
            let left = length.saturating_sub(self.at);
            if size >= left {
                if left > 0 {
                    self.damage.torn.insert(name(), left);
                }
                return Ok(false);
            }
            size *= 8;
        }
    }
}

impl Iterator for Log {
    type Item = Record;

    fn next(&mut self) -> Option<Record> {
        loop {
            if let Some(record) = self.ready.pop_front() {
                return Some(record);
            }
            let path = self.segments.front()?.clone();
            if !self.read_on(&path).unwrap_or(false) {
                self.segments.pop_front();
                self.at = 0;
            }
        }
    }
}

/// The logs of a folder, by front and life, and what holds none.
///
/// # Errors
///
/// Where the folder can't be read.
pub fn logs(folder: &Path) -> io::Result<(Vec<Log>, Damage)> {
    let mut segments: BTreeMap<Life, BTreeMap<u32, PathBuf>> = BTreeMap::new();
    let mut damage = Damage::default();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|own| own != ENDING) {
            continue;
        }
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        let mut bytes = Vec::new();
        if File::open(&path).and_then(|file| file.take(PIECE).read_to_end(&mut bytes)).is_err() {
            damage.foreign.push(name);
            continue;
        }
        let first = Frames::new(&bytes).next().map(Head::decode);
        match first {
            Some(Ok(head)) if !head.front.is_empty() => {
                let life = Life { front: head.front, started_us: head.started_us };
                segments.entry(life).or_default().insert(head.segment, path);
            }
            None => drop(damage.torn.insert(name, bytes.len() as u64)),
            Some(_) => damage.foreign.push(name),
        }
    }
    damage.foreign.sort();
    let log = |(life, segments): (Life, BTreeMap<u32, PathBuf>)| Log {
        segments: segments.into_values().collect(),
        ..Log::of(life, [])
    };
    Ok((segments.into_iter().map(log).collect(), damage))
}

/// Reads all logs of some folders, life by life.
///
/// # Errors
///
/// Where a folder can't be read.
pub fn read_all(folders: &[PathBuf], mut take: impl FnMut(Record)) -> io::Result<Damage> {
    let mut damage = Damage::default();
    for folder in folders {
        let (logs, own) = logs(folder)?;
        damage.add(&own);
        for mut log in logs {
            log.by_ref().for_each(&mut take);
            damage.add(log.damage());
        }
    }
    Ok(damage)
}

impl Damage {
    /// Both together.
    pub fn add(&mut self, other: &Damage) {
        self.foreign.extend(other.foreign.iter().cloned());
        self.torn.extend(other.torn.iter().map(|(name, bytes)| (name.clone(), *bytes)));
        self.newer.extend(other.newer.iter().map(|(name, version)| (name.clone(), *version)));
        self.unknown_events += other.unknown_events;
    }
}
