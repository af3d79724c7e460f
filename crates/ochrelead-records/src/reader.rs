//! Reading: whole logs, and logs that still grow.

use std::collections::BTreeMap;
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

/// Reads all logs of some folders at once.
///
/// # Errors
///
/// Where a folder can't be read.
pub fn read_all(folders: &[PathBuf], mut take: impl FnMut(Record)) -> io::Result<Damage> {
    let mut damage = Damage::default();
    for folder in folders {
        let mut follower = Follower::new(folder);
        while follower.follow(&mut take)? {}
        let own = follower.damage;
        damage.foreign.extend(own.foreign);
        damage.torn.extend(own.torn);
        damage.newer.extend(own.newer);
        damage.unknown_events += own.unknown_events;
    }
    Ok(damage)
}
