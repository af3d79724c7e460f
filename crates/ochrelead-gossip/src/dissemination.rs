//! Dissemination of rumors and member updates. Each item is added to a limited number of datagrams that are sent for
//! other reasons; the items transmitted least often come first.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};

use crate::schema::Rumor;

/// The maximum number of items being disseminated, and of stored rumors.
const MAX_ITEMS: usize = 512;

/// The maximum length of a rumor's body, in bytes.
pub const MAX_RUMOR_SIZE: usize = 96;

/// The identifier of a rumor. A later rumor with the same identifier replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RumorId {
    /// The topic; the host assigns a number to each.
    pub topic: u32,
    /// The subject of the rumor within its topic.
    pub key: u64,
}

/// The identifier of an item being disseminated: the state of a front, or a rumor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ItemId {
    Member(u32),
    Rumor(RumorId),
}

/// A stored rumor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredRumor {
    revision: u64,
    /// When it was published, by this front's clock.
    pub(crate) published_at: Moment,
    pub(crate) body: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Dissemination {
    /// How often each item being disseminated was transmitted.
    transmissions: BTreeMap<ItemId, u32>,
    rumors: BTreeMap<RumorId, StoredRumor>,
}

impl Dissemination {
    /// Starts or restarts the dissemination of an item. If there are too many items, drops the one transmitted most
    /// often.
    pub(crate) fn enqueue(&mut self, item: ItemId) {
        if self.transmissions.len() >= MAX_ITEMS && !self.transmissions.contains_key(&item) {
            let most_sent = self.transmissions.iter().max_by_key(|(_, count)| **count);
            if let Some(most_sent) = most_sent.map(|(item, _)| *item) {
                self.transmissions.remove(&most_sent);
            }
        }
        self.transmissions.insert(item, 0);
    }

    /// The items being disseminated, those transmitted least often first.
    pub(crate) fn pending(&self) -> Vec<ItemId> {
        let counted = self.transmissions.iter().map(|(item, count)| (*count, *item));
        let mut pending: Vec<(u32, ItemId)> = counted.collect();
        pending.sort_unstable();
        pending.into_iter().map(|(_, item)| item).collect()
    }

    /// Counts a transmission of an item, whose dissemination ends after `max_transmissions`.
    pub(crate) fn on_sent(&mut self, item: ItemId, max_transmissions: u32) {
        if let Some(count) = self.transmissions.get_mut(&item) {
            *count += 1;
            if *count >= max_transmissions {
                self.transmissions.remove(&item);
            }
        }
    }

    pub(crate) fn get(&self, id: RumorId) -> Option<&StoredRumor> {
        self.rumors.get(&id)
    }

    /// Publishes a rumor of this front, with the next revision of its identifier.
    pub(crate) fn publish(&mut self, id: RumorId, body: Vec<u8>, now: Moment) {
        let revision = self.get(id).map_or(0, |known| known.revision) + 1;
        self.accept(Rumor { topic: id.topic, key: id.key, revision, age_ms: 0, body }, now);
    }

    /// Stores and disseminates a rumor if its revision is higher than the known one. Returns whether it is. A rumor
    /// longer than [`MAX_RUMOR_SIZE`] is ignored.
    pub(crate) fn accept(&mut self, rumor: Rumor, now: Moment) -> bool {
        if rumor.body.len() > MAX_RUMOR_SIZE {
            return false;
        }
        let id = RumorId { topic: rumor.topic, key: rumor.key };
        if self.rumors.get(&id).is_some_and(|known| known.revision >= rumor.revision) {
            return false;
        }
        if self.rumors.len() >= MAX_ITEMS && !self.rumors.contains_key(&id) {
            self.evict_oldest_rumor();
        }
        let age = Span::from_millis(u64::from(rumor.age_ms)).micros();
        let published_at = Moment::from_micros(now.micros().saturating_sub(age));
        self.rumors.insert(id, StoredRumor { revision: rumor.revision, published_at, body: rumor.body });
        self.enqueue(ItemId::Rumor(id));
        true
    }

    fn evict_oldest_rumor(&mut self) {
        let oldest = self.rumors.iter().min_by_key(|(_, rumor)| rumor.published_at);
        if let Some(oldest) = oldest.map(|(id, _)| *id) {
            self.rumors.remove(&oldest);
        }
    }

    /// A rumor as it is sent, with its age at `now`.
    pub(crate) fn outgoing_rumor(&self, id: RumorId, now: Moment) -> Option<Rumor> {
        let StoredRumor { revision, published_at, body } = self.rumors.get(&id)?;
        let age_ms = u32::try_from(now.since(*published_at).micros() / 1_000).unwrap_or(u32::MAX);
        Some(Rumor { topic: id.topic, key: id.key, revision: *revision, age_ms, body: body.clone() })
    }
}
