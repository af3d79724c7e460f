//! A bounded set of recently used identifiers, which evicts the oldest first.

use std::collections::{HashSet, VecDeque};

/// A bounded set of identifiers, in the order of their insertion.
#[derive(Clone, Debug)]
pub struct RecentIds {
    capacity: usize,
    ids: HashSet<String>,
    /// The identifiers in the order of insertion, the oldest first.
    by_age: VecDeque<String>,
}

impl RecentIds {
    /// Creates an empty set that holds the last `capacity` identifiers.
    pub fn new(capacity: usize) -> RecentIds {
        RecentIds { capacity, ids: HashSet::new(), by_age: VecDeque::new() }
    }

    /// Inserts an identifier and evicts the oldest one if the capacity is exceeded. An identifier that is in the set
    /// already keeps its position.
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

    /// Returns whether the identifier is in the set.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }
}
