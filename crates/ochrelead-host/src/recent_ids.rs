//! Names that are over, the oldest forgotten first.

use std::collections::{HashSet, VecDeque};

/// A bounded set of names.
#[derive(Clone, Debug)]
pub struct RecentIds {
    most: usize,
    known: HashSet<String>,
    order: VecDeque<String>,
}

impl RecentIds {
    pub fn new(most: usize) -> RecentIds {
        RecentIds { most, known: HashSet::new(), order: VecDeque::new() }
    }

    pub fn insert(&mut self, name: &str) {
        if !self.known.insert(name.to_owned()) {
            return;
        }
        self.order.push_back(name.to_owned());
        if self.order.len() > self.most
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    pub fn contains(&self, name: &str) -> bool {
        self.known.contains(name)
    }
}
