//! Drops duplicated verdicts, and verdicts that arrive after later ones of the same observer.

use std::collections::BTreeMap;

use ochrelead_gossip::MemberId;

/// Limit of the observers that are tracked; messages of further observers are dropped.
const MAX_OBSERVERS: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct LastSequence {
    incarnation: u32,
    sequence: u32,
}

/// The latest sequence number of each observer, by front number.
#[derive(Clone, Debug, Default)]
pub(super) struct SequenceFilter {
    last: BTreeMap<u32, LastSequence>,
}

impl SequenceFilter {
    /// Returns whether a message is later than all previous ones of the same observer, and records it if so.
    pub(super) fn accept(&mut self, from: MemberId, sequence: u32) -> bool {
        if self.last.len() >= MAX_OBSERVERS && !self.last.contains_key(&from.front) {
            return false;
        }
        let initial = LastSequence { incarnation: from.incarnation, sequence: 0 };
        let last = self.last.entry(from.front).or_insert(initial);
        let is_later = if last.incarnation == from.incarnation {
            sequence > last.sequence
        } else {
            is_later_incarnation(from.incarnation, last.incarnation)
        };
        if is_later {
            *last = LastSequence { incarnation: from.incarnation, sequence };
        }
        is_later
    }
}

/// Compares incarnation numbers, which wrap around.
fn is_later_incarnation(incarnation: u32, other: u32) -> bool {
    incarnation.wrapping_sub(other) < u32::MAX / 2
}
