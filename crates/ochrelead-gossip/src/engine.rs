//! One front's part in the fleet's talk, without I/O: its host hands in datagrams with the number of the peer at whose
//! listed address they came from, and sends what goes out.

use std::collections::{BTreeMap, VecDeque};

use ochrelead_core::time::{Moment, Span};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::members::{Members, State};
use crate::schema::{Ack, News, Ping, PingFor, part::What};
use crate::spread::{About, LONGEST_NEWS, Spread};
use crate::wire::{self, Sheet, Unread};
use crate::{VERSION, Who};

/// The pace of a fleet's talk; the same at all fronts.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// A front asks one other in each.
    pub period: Span,
    /// Datagrams that a front sends in a period, on average over a few; beyond, they wait or are dropped.
    pub budget: u32,
}

impl Pace {
    /// A second; a ping, its share of answers, four reports on districts, and as much again for news and leases.
    pub const USUAL: Pace = Pace { period: Span::from_secs(1), budget: 16 };
}

/// The number that stands for all fronts in what goes out.
pub const ALL: u32 = u32::MAX;

/// Others that are asked to ask where an answer does not come.
const HELPERS: usize = 2;
/// The most by which a front that doubts itself stretches its patience.
const MOST_DOUBT: u32 = 8;
/// Words to single fronts that wait for the budget.
const MOST_WAITING: usize = 256;
/// Words about districts that came and wait for a turn: all fronts of a district may speak to one.
const MOST_UNREAD: usize = 4_096;

/// What was passed over, for those who operate it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub read: u64,
    pub sent: u64,
    pub bytes: u64,
    pub too_long: u64,
    pub unreadable: u64,
    pub mistaken: u64,
    pub newer: u64,
    pub unknown_parts: u64,
    pub dropped: u64,
}

/// A ping that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Probe {
    front: u32,
    nth: u32,
    at: Moment,
    helped: bool,
}

#[derive(Clone, Debug)]
pub struct Engine {
    me: Who,
    pace: Pace,
    members: Members,
    spread: Spread,
    chance: Pcg64Mcg,
    /// Whom to ask next: all in an order of chance, then in another.
    round: Vec<u32>,
    next_round: Moment,
    probe: Option<Probe>,
    nth: u32,
    /// Who asked this front to ask another, by the ping's number.
    errands: BTreeMap<u32, (u32, u32, Moment)>,
    doubt: u32,
    turned: Moment,
    /// It asks nobody who is there: only words that are handed in go out.
    hushed: bool,
    /// What is left of the budget, in thousandths of a datagram, and when it was counted.
    left: u64,
    counted: Moment,
    waiting: VecDeque<(u32, Vec<What>)>,
    out: VecDeque<(u32, Vec<u8>)>,
    /// Words about districts that go out by themselves: news do not ride on them.
    urgent: VecDeque<(u32, Vec<u8>)>,
    lease_words: VecDeque<(Who, Vec<u8>)>,
    district_words: VecDeque<(Who, Vec<u8>)>,
    news: VecDeque<(u32, u64)>,
    counts: Counts,
}

impl Engine {
    /// `fronts` is how many peers are listed, this one among them.
    pub fn new(me: Who, fronts: u32, district: Option<u32>, pace: Pace, seed: u64, now: Moment) -> Engine {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        // Fronts that start together do not ask in step.
        let first = Span::from_micros(chance.random_range(0..pace.period.micros().max(1)));
        let mut spread = Spread::default();
        spread.carry(About::Member(me.front));
        Engine {
            me,
            pace,
            members: Members::new(me, fronts, district),
            spread,
            chance,
            round: Vec::new(),
            next_round: now + first,
            probe: None,
            nth: 0,
            errands: BTreeMap::new(),
            doubt: 0,
            turned: now,
            hushed: false,
            left: u64::from(pace.budget) * 1_000,
            counted: now,
            waiting: VecDeque::new(),
            out: VecDeque::new(),
            urgent: VecDeque::new(),
            lease_words: VecDeque::new(),
            district_words: VecDeque::new(),
            news: VecDeque::new(),
            counts: Counts::default(),
        }
    }

    /// From now on it asks nobody who is there. It answers those who ask, and carries the words that are handed in.
    pub fn hush(&mut self) {
        self.hushed = true;
    }

    pub fn me(&self) -> Who {
        self.me
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How often an item is carried on: enough that all but a few in a million hear it.
    fn times(&self) -> u32 {
        3 * (u32::BITS - self.members.fronts().leading_zeros())
    }

    // ---- What comes ----

    /// A datagram that came from the address at which `front` is listed.
    pub fn take(&mut self, now: Moment, front: u32, bytes: &[u8]) {
        let read = match wire::read(bytes, front) {
            Ok(read) => read,
            Err(why) => {
                match why {
                    Unread::TooLong => self.counts.too_long += 1,
                    Unread::Unreadable => self.counts.unreadable += 1,
                    Unread::Mistaken => self.counts.mistaken += 1,
                }
                return;
            }
        };
        self.counts.read += 1;
        self.counts.newer += u64::from(read.version > VERSION);
        self.counts.unknown_parts += u64::from(read.unknown);
        if self.members.heard(read.from, read.version, now) {
            self.spread.carry(About::Member(front));
            if self.members.get(front).is_some_and(|view| view.state == State::Suspected) {
                // It was taken for gone: it is told so, and will deny it.
                let said = self.members.said(front);
                self.say(front, said.map(What::Member).into_iter().collect());
            }
        }
        for part in read.parts {
            self.part(now, read.from, part);
        }
    }

    fn part(&mut self, now: Moment, from: Who, part: What) {
        match part {
            What::Ping(Ping { nth }) => self.say(from.front, vec![What::Ack(Ack { nth, of: 0 })]),
            What::PingFor(PingFor { nth, front }) => {
                if front < self.members.fronts()
                    && front != self.me.front
                    && self.errands.len() < MOST_WAITING
                {
                    self.nth = self.nth.wrapping_add(1);
                    self.errands.insert(self.nth, (from.front, nth, now));
                    let nth = self.nth;
                    self.say(front, vec![What::Ping(Ping { nth })]);
                }
            }
            What::Ack(Ack { nth, of }) => {
                if let Some((for_whom, nth, _)) = self.errands.remove(&nth).filter(|_| of == 0) {
                    let of = from.front + 1;
                    self.say(for_whom, vec![What::Ack(Ack { nth, of })]);
                    return;
                }
                let own =
                    |probe: &Probe| probe.nth == nth && (probe.front == from.front || of == probe.front + 1);
                if self.probe.as_ref().is_some_and(own) {
                    self.probe = None;
                    self.doubt = self.doubt.saturating_sub(1);
                }
            }
            What::Member(member) => {
                if self.members.told(&member, now) {
                    self.spread.carry(About::Member(member.front));
                }
            }
            What::News(news) => {
                if self.spread.take(&news, now) {
                    self.spread.carry(About::News(news.topic, news.key));
                    if self.news.len() < MOST_WAITING {
                        self.news.push_back((news.topic, news.key));
                    }
                }
            }
            What::Lease(word) => {
                if self.lease_words.len() < MOST_WAITING {
                    self.lease_words.push_back((from, word));
                }
            }
            What::District(word) => {
                if self.district_words.len() < MOST_UNREAD {
                    self.district_words.push_back((from, word));
                }
            }
        }
    }

    /// The next word about leases that came.
    pub fn lease_word(&mut self) -> Option<(Who, Vec<u8>)> {
        self.lease_words.pop_front()
    }

    /// The next word about districts that came.
    pub fn district_word(&mut self) -> Option<(Who, Vec<u8>)> {
        self.district_words.pop_front()
    }

    /// The next news that came: topic and key.
    pub fn news(&mut self) -> Option<(u32, u64)> {
        self.news.pop_front()
    }

    /// News as they are held, with their age.
    pub fn known(&self, now: Moment, topic: u32, key: u64) -> Option<(&[u8], Span)> {
        let held = self.spread.get(topic, key)?;
        Some((&held.body, now.since(held.made)))
    }

    // ---- What goes ----

    /// A word about leases to one front; it goes out at once, within the budget.
    pub fn lease_to(&mut self, front: u32, word: Vec<u8>) {
        self.say(front, vec![What::Lease(word)]);
    }

    /// A word about districts, to one front or to [`ALL`]; nothing else goes with it.
    pub fn district_to(&mut self, front: u32, word: Vec<u8>) {
        if self.urgent.len() >= MOST_WAITING {
            self.urgent.pop_front();
            self.counts.dropped += 1;
        }
        self.urgent.push_back((front, word));
    }

    /// Makes news known to all, with what is sent anyway. Bodies are bounded.
    pub fn tell(&mut self, now: Moment, topic: u32, key: u64, body: Vec<u8>) {
        debug_assert!(body.len() <= LONGEST_NEWS);
        let count = self.spread.get(topic, key).map_or(0, |held| held.count) + 1;
        if self.spread.take(&News { topic, key, count, age_ms: 0, body }, now) {
            self.spread.carry(About::News(topic, key));
        }
    }

    fn say(&mut self, to: u32, parts: Vec<What>) {
        if parts.is_empty() || to == self.me.front || to >= self.members.fronts() {
            return;
        }
        if self.waiting.len() >= MOST_WAITING {
            self.waiting.pop_front();
            self.counts.dropped += 1;
        }
        self.waiting.push_back((to, parts));
    }

    /// All that is due.
    pub fn turn(&mut self, now: Moment) {
        let late = now.since(self.turned);
        if late >= self.pace.period * 2 {
            // It stood still, or its turns are late: what it missed says nothing of others.
            self.probe = None;
            self.errands.clear();
            self.doubt = MOST_DOUBT;
            self.members.forgive(now);
        }
        self.turned = now;
        let half = self.pace.period / 2;
        self.errands.retain(|_, (_, _, at)| now.since(*at) < half * 4);
        self.follow_up(now);
        if self.next_round <= now {
            self.next_round = now + self.pace.period;
            self.ask_one(now);
        }
        let after = self.pace.period * u64::from(4 * (1 + self.doubt));
        for front in self.members.overdue(after, now) {
            self.spread.carry(About::Member(front));
        }
        self.send(now);
    }

    /// An answer that does not come: others are asked to ask, then the front is suspected.
    fn follow_up(&mut self, now: Moment) {
        let Some(probe) = self.probe else { return };
        let patience = self.pace.period / 2 * u64::from(1 + self.doubt);
        if !probe.helped && now.since(probe.at) >= patience / 2 {
            self.probe = Some(Probe { helped: true, ..probe });
            let mut others = self.members.there();
            others.retain(|other| *other != self.me.front && *other != probe.front);
            for _ in 0..HELPERS.min(others.len()) {
                let other = others.swap_remove(self.chance.random_range(0..others.len()));
                self.say(other, vec![What::PingFor(PingFor { nth: probe.nth, front: probe.front })]);
            }
        }
        if now.since(probe.at) >= patience {
            self.probe = None;
            self.doubt = (self.doubt + 1).min(MOST_DOUBT);
            if self.members.suspect(probe.front, now) {
                self.spread.carry(About::Member(probe.front));
                // It hears of it first, and can deny it.
                let said = self.members.said(probe.front);
                self.say(probe.front, said.map(What::Member).into_iter().collect());
            }
        }
    }

    fn ask_one(&mut self, now: Moment) {
        if self.probe.is_some() || self.hushed {
            return;
        }
        if self.round.is_empty() {
            // Those that are gone, or were never heard of, are asked too: a cut heals, and a fleet finds together.
            let fronts = self.members.fronts();
            self.round = (0..fronts).filter(|front| *front != self.me.front).collect();
            for last in (1..self.round.len()).rev() {
                let other = self.chance.random_range(0..=last);
                self.round.swap(last, other);
            }
        }
        let Some(front) = self.round.pop() else { return };
        self.nth = self.nth.wrapping_add(1);
        let nth = self.nth;
        if self.members.get(front).is_none_or(|view| view.state != State::Gone) {
            self.probe = Some(Probe { front, nth, at: now, helped: false });
        }
        self.say(front, vec![What::Ping(Ping { nth })]);
    }

    /// Sends what waits, as far as the budget goes, and fills each datagram up with news.
    fn send(&mut self, now: Moment) {
        let full = u64::from(self.pace.budget) * 1_000;
        let earned = now.since(self.counted).micros() * full / self.pace.period.micros().max(1);
        if earned > 0 {
            (self.left, self.counted) = ((self.left + earned).min(full), now);
        }
        while self.left >= 1_000
            && let Some((to, word)) = self.urgent.pop_front()
        {
            self.left -= 1_000;
            let mut sheet = Sheet::new(self.me);
            if sheet.add(What::District(word)) {
                self.send_sheet(to, &sheet);
            } else {
                self.counts.dropped += 1;
            }
        }
        while self.left >= 1_000
            && let Some((to, parts)) = self.waiting.pop_front()
        {
            self.left -= 1_000;
            let mut sheet = Sheet::new(self.me);
            for part in parts {
                self.counts.dropped += u64::from(!sheet.add(part));
            }
            // More for the same front that waits goes with it.
            let mut rest = VecDeque::new();
            for (front, parts) in std::mem::take(&mut self.waiting) {
                let goes = front == to && parts.len() == 1 && sheet.add(parts[0].clone());
                if !goes {
                    rest.push_back((front, parts));
                }
            }
            self.waiting = rest;
            let most = self.times();
            for about in self.spread.due() {
                let said = match about {
                    About::Member(front) => self.members.said(front).map(What::Member),
                    About::News(topic, key) => self.spread.said(topic, key, now),
                };
                let Some(said) = said else { continue };
                if !sheet.add(said) {
                    break;
                }
                self.spread.carried(about, most);
            }
            self.send_sheet(to, &sheet);
        }
    }

    fn send_sheet(&mut self, to: u32, sheet: &Sheet) {
        let bytes = sheet.bytes();
        let (count, fronts) = (&mut self.counts, u64::from(self.members.fronts()));
        let reached = if to == ALL { fronts.saturating_sub(1) } else { 1 };
        count.sent += reached;
        count.bytes += bytes.len() as u64 * reached;
        self.out.push_back((to, bytes));
    }

    /// The next datagram to send, and to whom, which may be [`ALL`].
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<(u32, Vec<u8>)> {
        self.out.pop_front()
    }

    /// When [`Engine::turn`] is due although nothing came.
    pub fn wake(&self) -> Option<Moment> {
        let patience = self.pace.period / 2 * u64::from(1 + self.doubt);
        let probe = self.probe.map(|probe| probe.at + if probe.helped { patience } else { patience / 2 });
        let waits = (!self.waiting.is_empty() || !self.urgent.is_empty())
            .then(|| self.counted + self.pace.period / u64::from(self.pace.budget.max(1)));
        // Looked at once a period at the least, so that standing still shows.
        [probe, waits, Some(self.next_round)].into_iter().flatten().min()
    }
}
