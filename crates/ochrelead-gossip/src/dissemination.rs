//! Rumors and member updates on their way: each is added to a number of datagrams that are sent anyway, those sent least
//! often first.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};

use crate::schema::Rumor;

/// How many items are on their way at once, and how many rumors are remembered.
const MAX_ITEMS: usize = 512;

/// The longest body of a rumor, in bytes.
pub const MAX_RUMOR_SIZE: usize = 96;

/// What a rumor is about. A later rumor of the same id replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RumorId {
    /// A number for each use of rumors.
    pub topic: u32,
    /// The subject within the topic.
    pub key: u64,
}

/// What an item on its way is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RumorSubject {
    Member(u32),
    Rumor(RumorId),
}

/// A rumor as remembered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredRumor {
    revision: u64,
    /// When it was published, by this front's clock.
    pub(crate) published_at: Moment,
    pub(crate) body: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Dissemination {
    /// How often each item was sent.
    transmissions: BTreeMap<RumorSubject, u32>,
    rumors: BTreeMap<RumorId, StoredRumor>,
}

impl Dissemination {
    /// Starts to send an item, or starts anew. Where too many are on their way, the one sent most often gives way.
    pub(crate) fn enqueue(&mut self, subject: RumorSubject) {
        if self.transmissions.len() >= MAX_ITEMS && !self.transmissions.contains_key(&subject) {
            let most_sent = self.transmissions.iter().max_by_key(|(_, count)| **count);
            if let Some(most_sent) = most_sent.map(|(subject, _)| *subject) {
                self.transmissions.remove(&most_sent);
            }
        }
        self.transmissions.insert(subject, 0);
    }

    /// The items on their way, those sent least often first.
    pub(crate) fn pending(&self) -> Vec<RumorSubject> {
        let counted = self.transmissions.iter().map(|(subject, count)| (*count, *subject));
        let mut pending: Vec<(u32, RumorSubject)> = counted.collect();
        pending.sort_unstable();
        pending.into_iter().map(|(_, subject)| subject).collect()
    }

    /// An item was sent; at the limit it is no longer on its way.
    pub(crate) fn on_sent(&mut self, subject: RumorSubject, limit: u32) {
        if let Some(count) = self.transmissions.get_mut(&subject) {
            *count += 1;
            if *count >= limit {
                self.transmissions.remove(&subject);
            }
        }
    }

    pub(crate) fn get(&self, id: RumorId) -> Option<&StoredRumor> {
        self.rumors.get(&id)
    }

    /// Publishes a rumor of this front's own.
    pub(crate) fn publish(&mut self, id: RumorId, body: Vec<u8>, now: Moment) {
        let revision = self.get(id).map_or(0, |known| known.revision) + 1;
        self.accept(Rumor { topic: id.topic, key: id.key, revision, age_ms: 0, body }, now);
    }

    /// Remembers a rumor and sends it on. Returns whether it is newer than what was known.
    pub(crate) fn accept(&mut self, rumor: Rumor, now: Moment) -> bool {
        if rumor.body.len() > MAX_RUMOR_SIZE {
            return false;
        }
        let id = RumorId { topic: rumor.topic, key: rumor.key };
        if self.rumors.get(&id).is_some_and(|known| known.revision >= rumor.revision) {
            return false;
        }
        if self.rumors.len() >= MAX_ITEMS && !self.rumors.contains_key(&id) {
            self.forget_oldest();
        }
        let age = Span::from_millis(u64::from(rumor.age_ms)).micros();
        let published_at = Moment::from_micros(now.micros().saturating_sub(age));
        self.rumors.insert(id, StoredRumor { revision: rumor.revision, published_at, body: rumor.body });
        self.enqueue(RumorSubject::Rumor(id));
        true
    }

    fn forget_oldest(&mut self) {
        let oldest = self.rumors.iter().min_by_key(|(_, rumor)| rumor.published_at);
        if let Some(oldest) = oldest.map(|(id, _)| *id) {
            self.rumors.remove(&oldest);
        }
    }

    /// A rumor as it is sent now, with its age.
    pub(crate) fn message(&self, id: RumorId, now: Moment) -> Option<Rumor> {
        let StoredRumor { revision, published_at, body } = self.rumors.get(&id)?;
        let age_ms = u32::try_from(now.since(*published_at).micros() / 1_000).unwrap_or(u32::MAX);
        Some(Rumor { topic: id.topic, key: id.key, revision: *revision, age_ms, body: body.clone() })
    }
}
