//! News on their way: each is carried on so many times with datagrams that are sent anyway, the least carried first.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};

use crate::schema::{News, part::What};

/// Items that are carried at once, and news that are remembered.
const MOST: usize = 512;
/// The longest body of news.
pub const LONGEST_NEWS: usize = 96;

/// What an item is about: of the same, the later replaces the former.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum About {
    Member(u32),
    News(u32, u64),
}

/// News as they are held: when they were made, by this front's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    pub count: u64,
    pub made: Moment,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
pub struct Spread {
    /// How often each was carried.
    carried: BTreeMap<About, u32>,
    news: BTreeMap<(u32, u64), Held>,
}

impl Spread {
    /// To be carried on, from now.
    pub fn carry(&mut self, about: About) {
        if self.carried.len() >= MOST && !self.carried.contains_key(&about) {
            let most = self.carried.iter().max_by_key(|(_, times)| **times).map(|(about, _)| *about);
            if let Some(most) = most {
                self.carried.remove(&most);
            }
        }
        self.carried.insert(about, 0);
    }

    /// What is carried, the least carried first.
    pub fn due(&self) -> Vec<About> {
        let mut due: Vec<(u32, About)> = self.carried.iter().map(|(about, times)| (*times, *about)).collect();
        due.sort_unstable();
        due.into_iter().map(|(_, about)| about).collect()
    }

    /// One was carried; after so many times it is not any more.
    pub fn carried(&mut self, about: About, most: u32) {
        if let Some(times) = self.carried.get_mut(&about) {
            *times += 1;
            if *times >= most {
                self.carried.remove(&about);
            }
        }
    }

    pub fn get(&self, topic: u32, key: u64) -> Option<&Held> {
        self.news.get(&(topic, key))
    }

    /// Takes news in; whether they are newer than what is held.
    pub fn take(&mut self, news: &News, now: Moment) -> bool {
        if news.body.len() > LONGEST_NEWS {
            return false;
        }
        let key = (news.topic, news.key);
        if self.news.get(&key).is_some_and(|held| held.count >= news.count) {
            return false;
        }
        if self.news.len() >= MOST && !self.news.contains_key(&key) {
            let oldest = self.news.iter().min_by_key(|(_, held)| held.made).map(|(key, _)| *key);
            if let Some(oldest) = oldest {
                self.news.remove(&oldest);
            }
        }
        let age = Span::from_millis(u64::from(news.age_ms)).micros();
        let made = Moment::from_micros(now.micros().saturating_sub(age));
        self.news.insert(key, Held { count: news.count, made, body: news.body.clone() });
        true
    }

    /// News as they are said now, with their age.
    pub fn said(&self, topic: u32, key: u64, now: Moment) -> Option<What> {
        let held = self.news.get(&(topic, key))?;
        let age_ms = u32::try_from(now.since(held.made).micros() / 1_000).unwrap_or(u32::MAX);
        Some(What::News(News { topic, key, count: held.count, age_ms, body: held.body.clone() }))
    }
}
