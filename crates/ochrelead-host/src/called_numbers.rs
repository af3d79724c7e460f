//! A bounded table that assigns indices to called numbers. If it is full, a new number takes the index of the least
//! recently called one.

use std::collections::{BTreeMap, HashMap};

use ochrelead_core::index::CalledNumberIx;

/// Assigns indices to called numbers and evicts the least recently called number.
pub struct CalledNumberTable {
    capacity: usize,
    entries: HashMap<String, Entry>,
    /// The called numbers by the sequence number of their last call, the least recent first.
    by_last_call: BTreeMap<u64, String>,
    /// The number of calls so far, which is the sequence number of the last one.
    calls: u64,
}

#[derive(Clone, Copy)]
struct Entry {
    index: CalledNumberIx,
    /// The sequence number of the last call to this number.
    last_call: u64,
}

impl CalledNumberTable {
    /// Creates an empty table for `capacity` numbers, at least one.
    pub fn new(capacity: usize) -> CalledNumberTable {
        CalledNumberTable {
            capacity: capacity.max(1),
            entries: HashMap::new(),
            by_last_call: BTreeMap::new(),
            calls: 0,
        }
    }

    /// Records a call to a number and returns the number's index. If the table is full, a new number takes the index
    /// of the least recently called one.
    pub fn index(&mut self, digits: &str) -> CalledNumberIx {
        self.calls += 1;
        let index = match self.entries.get(digits) {
            Some(entry) => {
                self.by_last_call.remove(&entry.last_call);
                entry.index
            }
            None if self.entries.len() < self.capacity => CalledNumberIx::new(self.entries.len()),
            None => self.evict_least_recent(),
        };
        self.entries.insert(digits.to_owned(), Entry { index, last_call: self.calls });
        self.by_last_call.insert(self.calls, digits.to_owned());
        index
    }

    /// Returns the count of numbers in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no number has been called yet.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Evicts the least recently called number and returns its index.
    fn evict_least_recent(&mut self) -> CalledNumberIx {
        let (_, digits) = self.by_last_call.pop_first().expect("a full table holds at least one number");
        let entry = self.entries.remove(&digits).expect("both maps hold the same numbers");
        entry.index
    }
}
