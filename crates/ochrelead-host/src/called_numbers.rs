//! Called numbers by index. The table is bounded: the number that was called longest ago makes room.

use std::collections::{BTreeMap, HashMap};

use ochrelead_core::index::CalledNumberIx;

/// CalledNumberTable that are remembered at once.
pub struct CalledNumberTable {
    most: usize,
    known: HashMap<String, (CalledNumberIx, u64)>,
    /// By when they were last called, as running counts.
    by_age: BTreeMap<u64, String>,
    called: u64,
}

impl CalledNumberTable {
    pub fn new(most: usize) -> CalledNumberTable {
        CalledNumberTable { most: most.max(1), known: HashMap::new(), by_age: BTreeMap::new(), called: 0 }
    }

    /// The index of a called number; a new one may get the index of the one called longest ago.
    pub fn index(&mut self, digits: &str) -> CalledNumberIx {
        self.called += 1;
        let index = if let Some((index, called)) = self.known.get(digits) {
            self.by_age.remove(called);
            *index
        } else if self.known.len() < self.most {
            CalledNumberIx::new(self.known.len())
        } else {
            let (_, oldest) = self.by_age.pop_first().expect("a full table has an oldest");
            self.known.remove(&oldest).map_or(CalledNumberIx::new(0), |(index, _)| index)
        };
        self.known.insert(digits.to_owned(), (index, self.called));
        self.by_age.insert(self.called, digits.to_owned());
        index
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
