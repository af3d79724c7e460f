//! A bounded set of recently used identifiers, which evicts the oldest first.

use std::borrow::Borrow;
use std::collections::{HashSet, VecDeque};
use std::hash::Hash;

/// A bounded set of identifiers, in the order of their insertion.
#[derive(Clone, Debug)]
pub struct RecentIds<Id> {
    capacity: usize,
    ids: HashSet<Id>,
    /// The identifiers in the order of insertion, the oldest first.
    by_age: VecDeque<Id>,
}

impl<Id: Clone + Eq + Hash> RecentIds<Id> {
    /// Creates an empty set that holds the last `capacity` identifiers.
    pub fn new(capacity: usize) -> RecentIds<Id> {
        RecentIds { capacity, ids: HashSet::new(), by_age: VecDeque::new() }
    }

    /// Inserts an identifier and evicts the oldest one if the capacity is exceeded. An identifier that is in the set
    /// already keeps its position.
    pub fn insert(&mut self, id: Id) {
        if !self.ids.insert(id.clone()) {
            return;
        }
        self.by_age.push_back(id);
        if self.by_age.len() > self.capacity
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }

    /// Returns whether the identifier is in the set.
    pub fn contains<Q: Eq + Hash + ?Sized>(&self, id: &Q) -> bool
    where
        Id: Borrow<Q>,
    {
        self.ids.contains(id)
    }
}
