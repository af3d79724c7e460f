//! Called numbers by index. The table is bounded: a new number takes the index of the one that was called longest ago.

use std::collections::{BTreeMap, HashMap};

use ochrelead_core::index::CalledNumberIx;

/// The called numbers that are remembered at once.
pub struct CalledNumberTable {
    capacity: usize,
    entries: HashMap<String, Entry>,
    /// The numbers by the sequence number of their last call.
    by_last_call: BTreeMap<u64, String>,
    calls: u64,
}

#[derive(Clone, Copy)]
struct Entry {
    index: CalledNumberIx,
    /// The sequence number of its last call.
    last_call: u64,
}

impl CalledNumberTable {
    /// An empty table for so many numbers, but one at the least.
    pub fn new(capacity: usize) -> CalledNumberTable {
        CalledNumberTable {
            capacity: capacity.max(1),
            entries: HashMap::new(),
            by_last_call: BTreeMap::new(),
            calls: 0,
        }
    }

    /// The index of a number that is called now. A new one may get the index of the one called longest ago.
    pub fn index(&mut self, digits: &str) -> CalledNumberIx {
        self.calls += 1;
        let index = match self.entries.get(digits) {
            Some(entry) => {
                self.by_last_call.remove(&entry.last_call);
                entry.index
            }
            None if self.entries.len() < self.capacity => CalledNumberIx::new(self.entries.len()),
            None => self.remove_oldest(),
        };
        self.entries.insert(digits.to_owned(), Entry { index, last_call: self.calls });
        self.by_last_call.insert(self.calls, digits.to_owned());
        index
    }

    /// How many numbers the table holds.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no number has been called yet.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Forgets the number called longest ago; its index.
    fn remove_oldest(&mut self) -> CalledNumberIx {
        let (_, oldest) = self.by_last_call.pop_first().expect("a full table holds one number at the least");
        let entry = self.entries.remove(&oldest).expect("both maps hold the same numbers");
        entry.index
    }
}
