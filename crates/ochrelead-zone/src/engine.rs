//! One front's part, without I/O: it tells its district's observer what it met, heeds what the observer says, and is the
//! observer itself where nobody else is.
//!
//! Whoever hears no observer for its district for a while says, after a wait by chance, that it is the one; of two that
//! hear each other the one with the lower number stays. No majority is asked and none is needed: what an observer says is
//! advice, each front heeds one at a time, all that hear the same heed the same, and a part of the fleet that is cut off
//! has one of its own.
//!
//! Its host hands in what INVITEs came to, which servers are listed, and what other fronts say; it carries words to them,
//! and takes the shares to the module.

use std::collections::{BTreeMap, VecDeque};

use ochrelead_core::time::{Moment, Span};
use ochrelead_gossip::Who;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::course::Course;
use crate::evidence::Evidence;
use crate::pool::Pool;
use crate::verdict::{Count, judge};
use crate::word::{self, Eased, Word};
use crate::{District, Place, ServerKey, Terms};

/// With nothing in force the observer speaks once in so many steps: fronts learn by it whom to report to.
const QUIET_STEPS: u64 = 2;
/// The observer is taken for silent after so many of its words are missing.
const MISSED: u64 = 2;
/// A word lasts at most so many times the usual span, whatever it says.
const MOST_LASTS: u64 = 2;
/// A district that this front hears is not left, nor eased, for longer than so many steps, whatever is said.
const MOST_BORNE: u64 = 32;
/// Observers whose last words are remembered, so that an old one that comes late is known.
const MOST_HEARD: usize = 1_024;

/// To whom a word goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    Front(u32),
    /// All fronts.
    All,
}

/// What a front was last told by the observer of some district's fronts.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub by: u32,
    pub at: Moment,
    pub until: Moment,
    pub eased: Vec<Eased>,
}

/// What a front does while it observes.
#[derive(Clone, Debug)]
struct Observer {
    pool: Pool,
    courses: BTreeMap<District, Course>,
    /// What was said last, and when.
    said: Option<(Moment, Vec<Eased>)>,
}

#[derive(Clone, Debug)]
pub struct Engine {
    me: Who,
    own: District,
    terms: Terms,
    evidence: Evidence,
    places: BTreeMap<ServerKey, District>,
    alive: BTreeMap<ServerKey, Moment>,
    /// By the district of the fronts that it was said to.
    told: BTreeMap<District, Told>,
    /// Since when this front has been told that a district is not wholly in use.
    eased: BTreeMap<District, Moment>,
    /// The last word of each front that spoke as an observer: its life, and which word.
    heard: BTreeMap<u32, (u32, u32)>,
    observer: Option<Observer>,
    /// Words said as an observer in this life.
    nth: u32,
    /// When this front takes the task, if no observer speaks until then.
    claims_at: Moment,
    /// It leaves service: it observes no more.
    leaves: bool,
    report_at: Moment,
    reported: Moment,
    turned: Moment,
    chance: Pcg64Mcg,
    out: VecDeque<(To, Vec<u8>)>,
}

impl Engine {
    /// The part of a front that is in the district `own`.
    pub fn new(me: Who, own: District, terms: Terms, seed: u64, now: Moment) -> Engine {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let phase = chance.random_range(0..terms.period().micros().max(1));
        let mut engine = Engine {
            me,
            own,
            terms,
            evidence: Evidence::new(terms.overdue),
            places: BTreeMap::new(),
            alive: BTreeMap::new(),
            told: BTreeMap::new(),
            eased: BTreeMap::new(),
            heard: BTreeMap::new(),
            observer: None,
            nth: 0,
            claims_at: now,
            leaves: false,
            report_at: now + Span::from_micros(phase),
            reported: now,
            turned: now,
            chance,
            out: VecDeque::new(),
        };
        engine.claim_after(now, Span::ZERO);
        engine
    }

    pub fn own(&self) -> District {
        self.own
    }

    /// Fronts that miss an observer do not all speak at once.
    fn claim_after(&mut self, now: Moment, silence: Span) {
        let by_chance = self.chance.random_range(0..self.terms.step().micros().max(1));
        self.claims_at = now + silence + Span::from_micros(by_chance);
    }

    // ---- What is seen ----

    /// The servers in service that are in a district.
    pub fn listed(&mut self, places: &[Place]) {
        let next: BTreeMap<ServerKey, District> =
            places.iter().map(|place| (place.server, place.district)).collect();
        if next == self.places {
            return;
        }
        self.places = next;
        self.alive.retain(|server, _| self.places.contains_key(server));
        if let Some(observer) = &mut self.observer {
            observer.pool.listed(places);
        }
    }

    /// An INVITE has been decided on; `ask` names it until it ends.
    pub fn asked(&mut self, now: Moment, server: ServerKey, ask: u64) {
        if self.places.contains_key(&server) {
            self.evidence.asked(now, server, ask);
        }
    }

    pub fn answered(&mut self, now: Moment, ask: u64) {
        self.evidence.answered(now, ask);
    }

    pub fn failed(&mut self, ask: u64) {
        self.evidence.failed(ask);
    }

    pub fn called_off(&mut self, ask: u64) {
        self.evidence.called_off(ask);
    }

    /// A server said anything at all, or took a connection.
    pub fn alive(&mut self, now: Moment, server: ServerKey) {
        if self.places.contains_key(&server) {
            // Once a report is enough.
            if self.alive.insert(server, now).is_none_or(|at| now.since(at) >= self.terms.period()) {
                self.evidence.alive(server);
            }
        }
    }

    /// It leaves service: an observer says that it is one no more.
    pub fn leave(&mut self, now: Moment) {
        self.leaves = true;
        if self.observer.take().is_some() {
            self.say(now, Span::ZERO, Vec::new());
        }
    }

    /// A word of another front.
    pub fn take(&mut self, now: Moment, from: Who, bytes: &[u8]) {
        match word::read(bytes) {
            Some(Word::Report { from: district, met }) if district == self.own => {
                if let Some(observer) = &mut self.observer {
                    observer.pool.take(now, from.front, &met);
                }
            }
            Some(Word::Verdicts { from: district, nth, lasts, eased }) => {
                if self.is_old(from, nth) {
                    return;
                }
                let until = now + lasts.min(self.terms.lasts() * MOST_LASTS);
                self.heed(now, district, Told { by: from.front, at: now, until, eased });
            }
            _ => {}
        }
    }

    /// Whether a word of an observer comes after a later one of its own.
    fn is_old(&mut self, from: Who, nth: u32) -> bool {
        if self.heard.len() >= MOST_HEARD && !self.heard.contains_key(&from.front) {
            return true;
        }
        let last = self.heard.entry(from.front).or_insert((from.life, 0));
        let (life, known) = *last;
        let later = if life == from.life { nth > known } else { from.life.wrapping_sub(life) < u32::MAX / 2 };
        if later {
            *last = (from.life, nth);
        }
        !later
    }

    /// Takes a word on, where it is of the observer that is heeded, or of one that goes before it.
    fn heed(&mut self, now: Moment, district: District, told: Told) {
        let goes_before = |other: &Told| other.by == told.by || told.by < other.by || now >= other.until;
        if self.told.get(&district).is_some_and(|other| !goes_before(other)) {
            return;
        }
        if district == self.own {
            if told.by != self.me.front {
                self.observer = None;
            }
            let gap = if told.eased.is_empty() { self.terms.step() * QUIET_STEPS } else { self.terms.step() };
            let is_over = told.until <= now;
            self.claim_after(now, if is_over { Span::ZERO } else { gap * MISSED });
            self.eased.retain(|district, _| told.eased.iter().any(|eased| eased.district == *district));
            for eased in &told.eased {
                self.eased.entry(eased.district).or_insert(told.at);
            }
        }
        self.told.insert(district, told);
    }

    /// Says to all what is in force, and heeds it.
    fn say(&mut self, now: Moment, lasts: Span, eased: Vec<Eased>) {
        self.nth += 1;
        let word = Word::Verdicts { from: self.own, nth: self.nth, lasts, eased: eased.clone() };
        self.out.extend(word::write(&word).into_iter().map(|bytes| (To::All, bytes)));
        self.heed(now, self.own, Told { by: self.me.front, at: now, until: now + lasts, eased });
    }

    /// Takes the task of observing on. What a former observer had in force, and has not lapsed, goes on from there.
    fn claim(&mut self, now: Moment) {
        let mut pool = Pool::new(self.terms);
        let places = self.places.iter();
        let places: Vec<Place> =
            places.map(|(server, district)| Place { server: *server, district: *district }).collect();
        pool.listed(&places);
        let told = self.told.get(&self.own).filter(|told| now < told.until);
        let resumed = told.into_iter().flat_map(|told| &told.eased);
        let courses =
            resumed.map(|eased| (eased.district, Course::resumed(eased.share, eased.why, now))).collect();
        // Whoever was heeded is silent.
        self.told.remove(&self.own);
        self.observer = Some(Observer { pool, courses, said: None });
    }

    // ---- What is due ----

    pub fn turn(&mut self, now: Moment) {
        let stood_still = now.since(self.turned) > self.terms.overdue;
        self.turned = now;
        self.evidence.turn(now, stood_still);
        // A loss is told at once, as long as that is not all the time.
        let urgent = self.evidence.has_loss() && now.since(self.reported) >= self.terms.period() / 5;
        if now >= self.report_at || urgent {
            self.reported = now;
            self.report_at = now + self.terms.period();
            self.report(now);
        }
        if self.observer.is_none() && now >= self.claims_at && !self.leaves && !self.places.is_empty() {
            self.claim(now);
        }
        self.observe(now);
    }

    fn report(&mut self, now: Moment) {
        let to = self.told.get(&self.own).filter(|told| now < told.until + self.terms.lasts());
        let to = to.map(|told| told.by);
        // Where nobody is there to hear it, it is let go: it would be old for whoever comes.
        let mut met = self.evidence.take();
        // A sign of life says nothing beside an answer, nor of a district that is in use.
        let is_eased =
            |server| self.places.get(server).is_some_and(|district| self.eased.contains_key(district));
        for (server, met) in &mut met {
            met.alive &= met.in_time + met.late == 0 && !met.old && is_eased(server);
        }
        met.retain(|(_, met)| !met.is_nothing());
        match (&mut self.observer, to) {
            (Some(observer), _) => observer.pool.take(now, self.me.front, &met),
            (None, Some(to)) if !met.is_empty() && to != self.me.front => {
                for bytes in word::write(&Word::Report { from: self.own, met }) {
                    self.out.push_back((To::Front(to), bytes));
                }
            }
            _ => {}
        }
    }

    /// As the observer: looks at what was met, goes on with each district's course, and says what is in force.
    fn observe(&mut self, now: Moment) {
        let terms = self.terms;
        let Some(observer) = &mut self.observer else { return };
        observer.pool.turn(now);
        let mut districts: Vec<District> = self.places.values().copied().collect();
        districts.sort_unstable();
        districts.dedup();
        let counts: Vec<Count> =
            districts.iter().map(|district| observer.pool.count(now, *district)).collect();
        let verdicts = judge(&counts, observer.pool.reporters());
        observer.courses.retain(|district, _| districts.contains(district));
        for ((district, count), verdict) in districts.iter().zip(&counts).zip(&verdicts) {
            let course = observer.courses.entry(*district).or_default();
            if course.turn(now, *verdict, count, &terms) {
                observer.pool.begin_step(*district);
            }
        }
        let mut eased: Vec<Eased> = observer
            .courses
            .iter()
            .filter_map(|(district, course)| {
                let (share, why) = course.share()?;
                // As it is said: the same here and at all others.
                let share = (share * word::PARTS).round() / word::PARTS;
                Some(Eased { district: *district, share, why })
            })
            .collect();
        // Never all of them: the one that takes most is let go.
        if eased.len() >= districts.len()
            && let Some(most) = (0..eased.len()).max_by(|a, b| eased[*a].share.total_cmp(&eased[*b].share))
        {
            eased.remove(most);
        }
        let gap = if eased.is_empty() { terms.step() * QUIET_STEPS } else { terms.step() };
        let due = match &observer.said {
            None => true,
            Some((at, said)) => *said != eased || now.since(*at) >= gap,
        };
        if due {
            observer.said = Some((now, eased.clone()));
            self.say(now, terms.lasts(), eased);
        }
    }

    /// The next word, and to whom it goes.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<(To, Vec<u8>)> {
        self.out.pop_front()
    }

    /// When [`Engine::turn`] is due although nothing came.
    pub fn wake(&self) -> Option<Moment> {
        let observes = self.observer.is_some().then(|| self.turned + self.terms.period() / 2);
        let may = self.observer.is_none() && !self.leaves && !self.places.is_empty();
        let claims = may.then_some(self.claims_at);
        [Some(self.report_at), self.evidence.wake(), observes, claims].into_iter().flatten().min()
    }

    // ---- What is in force ----

    /// What share of the sessions the servers of a district take, by what the observer said and as long as it is good.
    pub fn share(&self, now: Moment, district: District) -> f64 {
        let told = self.told.get(&self.own).filter(|told| now < told.until);
        let Some(told) = told.filter(|told| self.leaves_some(told)) else { return 1.0 };
        let eased = told.eased.iter().find(|eased| eased.district == district);
        eased.filter(|eased| !self.is_doubted(now, eased)).map_or(1.0, |eased| eased.share)
    }

    /// Never all districts: a word that says so is wrong.
    fn leaves_some(&self, told: &Told) -> bool {
        let named = |district: &District| told.eased.iter().any(|eased| eased.district == *district);
        self.places.values().any(|district| !named(district))
    }

    /// It was said for long, and this front hears most of the district's servers all the while: whoever says it is
    /// wrong, and costs no more than that time.
    fn is_doubted(&self, now: Moment, eased: &Eased) -> bool {
        let Some(since) = self.eased.get(&eased.district) else { return false };
        if now.since(*since) < self.terms.step() * MOST_BORNE {
            return false;
        }
        let servers = || self.places.iter().filter(|(_, district)| **district == eased.district);
        let recent = self.terms.step() * 4;
        let hears = |(server, _): &(&ServerKey, &District)| {
            self.alive.get(server).is_some_and(|at| now.since(*at) < recent)
        };
        servers().filter(hears).count() * 2 > servers().count()
    }

    /// What the observer of that district's fronts said last, as long as it is good.
    pub fn row(&self, now: Moment, of: District) -> Option<&Told> {
        self.told.get(&of).filter(|told| now < told.until)
    }

    /// Whether this front observes.
    pub fn observes(&self) -> bool {
        self.observer.is_some()
    }

    /// The districts that servers are in.
    pub fn districts(&self) -> Vec<District> {
        let mut districts: Vec<District> = self.places.values().copied().collect();
        districts.sort_unstable();
        districts.dedup();
        districts
    }
}
