//! Identifiers that are no longer in use, the oldest forgotten first.

use std::collections::{HashSet, VecDeque};

/// A bounded set of identifiers.
#[derive(Clone, Debug)]
pub struct RecentIds {
    capacity: usize,
    ids: HashSet<String>,
    /// The same, in the order in which they were added.
    by_age: VecDeque<String>,
}

impl RecentIds {
    /// An empty set that remembers the last `capacity` identifiers.
    pub fn new(capacity: usize) -> RecentIds {
        RecentIds { capacity, ids: HashSet::new(), by_age: VecDeque::new() }
    }

    /// Adds an identifier, and forgets the oldest where there are too many. One that is there keeps its age.
    pub fn insert(&mut self, id: &str) {
        if !self.ids.insert(id.to_owned()) {
            return;
        }
        self.by_age.push_back(id.to_owned());
        if self.by_age.len() > self.capacity
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }

    /// Whether the identifier is still remembered.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }
}
