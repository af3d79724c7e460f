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
use ochrelead_gossip::MemberId;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::codec;
use crate::message::{Message, ZoneShare};
use crate::outcome_aggregate::OutcomeAggregate;
use crate::outcome_reporter::OutcomeReporter;
use crate::ramp::ZoneRamp;
use crate::verdict::{ZoneStats, evaluate};
use crate::{ServerKey, ServerLocation, ZoneConfig, ZoneId};

/// With nothing in force the observer speaks once in so many steps: fronts learn by it whom to report to.
const QUIET_STEPS: u64 = 2;
/// The observer is taken for silent after so many of its words are missing.
const MISSED: u64 = 2;
/// A word lasts at most so many times the usual span, whatever it says.
const MAX_LASTS: u64 = 2;
/// A district that this front hears is not left, nor eased, for longer than so many steps, whatever is said.
const MAX_BORNE: u64 = 32;
/// Observers whose last words are remembered, so that an old one that comes late is known.
const MAX_HEARD: usize = 1_024;

/// To whom a word goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    Front(u32),
    /// All fronts.
    All,
}

/// What a front was last told by the observer of some district's fronts.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveVerdicts {
    pub observer: u32,
    pub received_at: Moment,
    pub expires_at: Moment,
    pub shares: Vec<ZoneShare>,
}

/// What a front does while it observes.
#[derive(Clone, Debug)]
struct Observer {
    pool: OutcomeAggregate,
    courses: BTreeMap<ZoneId, ZoneRamp>,
    /// What was said last, and when.
    said: Option<(Moment, Vec<ZoneShare>)>,
}

#[derive(Clone, Debug)]
pub struct Engine {
    me: MemberId,
    own: ZoneId,
    terms: ZoneConfig,
    evidence: OutcomeReporter,
    places: BTreeMap<ServerKey, ZoneId>,
    alive: BTreeMap<ServerKey, Moment>,
    /// By the district of the fronts that it was said to.
    told: BTreeMap<ZoneId, ActiveVerdicts>,
    /// Since when this front has been told that a district is not wholly in use.
    eased: BTreeMap<ZoneId, Moment>,
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
    out: VecDeque<(Recipient, Vec<u8>)>,
}

impl Engine {
    /// The part of a front that is in the district `own`.
    pub fn new(me: MemberId, own: ZoneId, terms: ZoneConfig, seed: u64, now: Moment) -> Engine {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let phase = chance.random_range(0..terms.report_interval().micros().max(1));
        let mut engine = Engine {
            me,
            own,
            terms,
            evidence: OutcomeReporter::new(terms.loss_timeout),
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

    pub fn local_zone(&self) -> ZoneId {
        self.own
    }

    /// Fronts that miss an observer do not all speak at once.
    fn claim_after(&mut self, now: Moment, silence: Span) {
        let by_chance = self.chance.random_range(0..self.terms.step_duration().micros().max(1));
        self.claims_at = now + silence + Span::from_micros(by_chance);
    }

    // ---- What is seen ----

    /// The servers in service that are in a district.
    pub fn on_server_locations(&mut self, places: &[ServerLocation]) {
        let next: BTreeMap<ServerKey, ZoneId> =
            places.iter().map(|place| (place.server, place.zone)).collect();
        if next == self.places {
            return;
        }
        self.places = next;
        self.alive.retain(|server, _| self.places.contains_key(server));
        if let Some(observer) = &mut self.observer {
            observer.pool.on_server_locations(places);
        }
    }

    /// An INVITE has been decided on; `ask` names it until it ends.
    pub fn on_invite_sent(&mut self, now: Moment, server: ServerKey, ask: u64) {
        if self.places.contains_key(&server) {
            self.evidence.on_invite_sent(now, server, ask);
        }
    }

    pub fn on_answer(&mut self, now: Moment, ask: u64) {
        self.evidence.on_answer(now, ask);
    }

    pub fn on_transport_failure(&mut self, ask: u64) {
        self.evidence.on_transport_failure(ask);
    }

    pub fn on_invite_cancelled(&mut self, ask: u64) {
        self.evidence.on_invite_cancelled(ask);
    }

    /// A server said anything at all, or took a connection.
    pub fn on_server_alive(&mut self, now: Moment, server: ServerKey) {
        if self.places.contains_key(&server) {
            // Once a report is enough.
            if self.alive.insert(server, now).is_none_or(|at| now.since(at) >= self.terms.report_interval()) {
                self.evidence.on_server_alive(server);
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
    pub fn handle_input(&mut self, now: Moment, from: MemberId, bytes: &[u8]) {
        match codec::decode(bytes) {
            Some(Message::Report { zone: district, samples: met }) if district == self.own => {
                if let Some(observer) = &mut self.observer {
                    observer.pool.on_report(now, from.front, &met);
                }
            }
            Some(Message::Verdicts { zone: district, sequence: nth, ttl: lasts, shares: eased }) => {
                if self.is_old(from, nth) {
                    return;
                }
                let until = now + lasts.min(self.terms.verdict_ttl() * MAX_LASTS);
                self.heed(
                    now,
                    district,
                    ActiveVerdicts {
                        observer: from.front,
                        received_at: now,
                        expires_at: until,
                        shares: eased,
                    },
                );
            }
            _ => {}
        }
    }

    /// Whether a word of an observer comes after a later one of its own.
    fn is_old(&mut self, from: MemberId, nth: u32) -> bool {
        if self.heard.len() >= MAX_HEARD && !self.heard.contains_key(&from.front) {
            return true;
        }
        let last = self.heard.entry(from.front).or_insert((from.incarnation, 0));
        let (life, known) = *last;
        let later = if life == from.incarnation {
            nth > known
        } else {
            from.incarnation.wrapping_sub(life) < u32::MAX / 2
        };
        if later {
            *last = (from.incarnation, nth);
        }
        !later
    }

    /// Takes a word on, where it is of the observer that is heeded, or of one that goes before it.
    fn heed(&mut self, now: Moment, district: ZoneId, told: ActiveVerdicts) {
        let goes_before = |other: &ActiveVerdicts| {
            other.observer == told.observer || told.observer < other.observer || now >= other.expires_at
        };
        if self.told.get(&district).is_some_and(|other| !goes_before(other)) {
            return;
        }
        if district == self.own {
            if told.observer != self.me.front {
                self.observer = None;
            }
            let gap = if told.shares.is_empty() {
                self.terms.step_duration() * QUIET_STEPS
            } else {
                self.terms.step_duration()
            };
            let is_over = told.expires_at <= now;
            self.claim_after(now, if is_over { Span::ZERO } else { gap * MISSED });
            self.eased.retain(|district, _| told.shares.iter().any(|eased| eased.zone == *district));
            for eased in &told.shares {
                self.eased.entry(eased.zone).or_insert(told.received_at);
            }
        }
        self.told.insert(district, told);
    }

    /// Says to all what is in force, and heeds it.
    fn say(&mut self, now: Moment, lasts: Span, eased: Vec<ZoneShare>) {
        self.nth += 1;
        let word =
            Message::Verdicts { zone: self.own, sequence: self.nth, ttl: lasts, shares: eased.clone() };
        self.out.extend(codec::encode(&word).into_iter().map(|bytes| (Recipient::All, bytes)));
        self.heed(
            now,
            self.own,
            ActiveVerdicts {
                observer: self.me.front,
                received_at: now,
                expires_at: now + lasts,
                shares: eased,
            },
        );
    }

    /// Takes the task of observing on. What a former observer had in force, and has not lapsed, goes on from there.
    fn claim(&mut self, now: Moment) {
        let mut pool = OutcomeAggregate::new(self.terms);
        let places = self.places.iter();
        let places: Vec<ServerLocation> =
            places.map(|(server, district)| ServerLocation { server: *server, zone: *district }).collect();
        pool.on_server_locations(&places);
        let told = self.told.get(&self.own).filter(|told| now < told.expires_at);
        let resumed = told.into_iter().flat_map(|told| &told.shares);
        let courses =
            resumed.map(|eased| (eased.zone, ZoneRamp::resumed(eased.share, eased.reason, now))).collect();
        // Whoever was heeded is silent.
        self.told.remove(&self.own);
        self.observer = Some(Observer { pool, courses, said: None });
    }

    // ---- What is due ----

    pub fn process(&mut self, now: Moment) {
        let stood_still = now.since(self.turned) > self.terms.loss_timeout;
        self.turned = now;
        self.evidence.process(now, stood_still);
        // A loss is told at once, as long as that is not all the time.
        let urgent = self.evidence.has_loss() && now.since(self.reported) >= self.terms.report_interval() / 5;
        if now >= self.report_at || urgent {
            self.reported = now;
            self.report_at = now + self.terms.report_interval();
            self.report(now);
        }
        if self.observer.is_none() && now >= self.claims_at && !self.leaves && !self.places.is_empty() {
            self.claim(now);
        }
        self.observe(now);
    }

    fn report(&mut self, now: Moment) {
        let to = self.told.get(&self.own).filter(|told| now < told.expires_at + self.terms.verdict_ttl());
        let to = to.map(|told| told.observer);
        // Where nobody is there to hear it, it is let go: it would be old for whoever comes.
        let mut met = self.evidence.take_samples();
        // A sign of life says nothing beside an answer, nor of a district that is in use.
        let is_eased =
            |server| self.places.get(server).is_some_and(|district| self.eased.contains_key(district));
        for (server, met) in &mut met {
            met.is_alive &= met.in_time + met.late == 0 && !met.is_stale && is_eased(server);
        }
        met.retain(|(_, met)| !met.is_empty());
        match (&mut self.observer, to) {
            (Some(observer), _) => observer.pool.on_report(now, self.me.front, &met),
            (None, Some(to)) if !met.is_empty() && to != self.me.front => {
                for bytes in codec::encode(&Message::Report { zone: self.own, samples: met }) {
                    self.out.push_back((Recipient::Front(to), bytes));
                }
            }
            _ => {}
        }
    }

    /// As the observer: looks at what was met, goes on with each district's course, and says what is in force.
    fn observe(&mut self, now: Moment) {
        let terms = self.terms;
        let Some(observer) = &mut self.observer else { return };
        observer.pool.process(now);
        let mut districts: Vec<ZoneId> = self.places.values().copied().collect();
        districts.sort_unstable();
        districts.dedup();
        let counts: Vec<ZoneStats> =
            districts.iter().map(|district| observer.pool.zone_stats(now, *district)).collect();
        let verdicts = evaluate(&counts, observer.pool.reporter_count());
        observer.courses.retain(|district, _| districts.contains(district));
        for ((district, count), verdict) in districts.iter().zip(&counts).zip(&verdicts) {
            let course = observer.courses.entry(*district).or_default();
            if course.process(now, *verdict, count, &terms) {
                observer.pool.begin_step(*district);
            }
        }
        let mut eased: Vec<ZoneShare> = observer
            .courses
            .iter()
            .filter_map(|(district, course)| {
                let (share, why) = course.share()?;
                // As it is said: the same here and at all others.
                let share = (share * codec::SHARE_SCALE).round() / codec::SHARE_SCALE;
                Some(ZoneShare { zone: *district, share, reason: why })
            })
            .collect();
        // Never all of them: the one that takes most is let go.
        if eased.len() >= districts.len()
            && let Some(most) = (0..eased.len()).max_by(|a, b| eased[*a].share.total_cmp(&eased[*b].share))
        {
            eased.remove(most);
        }
        let gap = if eased.is_empty() { terms.step_duration() * QUIET_STEPS } else { terms.step_duration() };
        let due = match &observer.said {
            None => true,
            Some((at, said)) => *said != eased || now.since(*at) >= gap,
        };
        if due {
            observer.said = Some((now, eased.clone()));
            self.say(now, terms.verdict_ttl(), eased);
        }
    }

    /// The next word, and to whom it goes.
    pub fn poll_output(&mut self) -> Option<(Recipient, Vec<u8>)> {
        self.out.pop_front()
    }

    /// When [`Engine::process`] is due although nothing came.
    pub fn poll_timeout(&self) -> Option<Moment> {
        let observes = self.observer.is_some().then(|| self.turned + self.terms.report_interval() / 2);
        let may = self.observer.is_none() && !self.leaves && !self.places.is_empty();
        let claims = may.then_some(self.claims_at);
        [Some(self.report_at), self.evidence.poll_timeout(), observes, claims].into_iter().flatten().min()
    }

    // ---- What is in force ----

    /// What share of the sessions the servers of a district take, by what the observer said and as long as it is good.
    pub fn zone_share(&self, now: Moment, district: ZoneId) -> f64 {
        let told = self.told.get(&self.own).filter(|told| now < told.expires_at);
        let Some(told) = told.filter(|told| self.leaves_some(told)) else { return 1.0 };
        let eased = told.shares.iter().find(|eased| eased.zone == district);
        eased.filter(|eased| !self.is_doubted(now, eased)).map_or(1.0, |eased| eased.share)
    }

    /// Never all districts: a word that says so is wrong.
    fn leaves_some(&self, told: &ActiveVerdicts) -> bool {
        let named = |district: &ZoneId| told.shares.iter().any(|eased| eased.zone == *district);
        self.places.values().any(|district| !named(district))
    }

    /// It was said for long, and this front hears most of the district's servers all the while: whoever says it is
    /// wrong, and costs no more than that time.
    fn is_doubted(&self, now: Moment, eased: &ZoneShare) -> bool {
        let Some(since) = self.eased.get(&eased.zone) else { return false };
        if now.since(*since) < self.terms.step_duration() * MAX_BORNE {
            return false;
        }
        let servers = || self.places.iter().filter(|(_, district)| **district == eased.zone);
        let recent = self.terms.step_duration() * 4;
        let hears = |(server, _): &(&ServerKey, &ZoneId)| {
            self.alive.get(server).is_some_and(|at| now.since(*at) < recent)
        };
        servers().filter(hears).count() * 2 > servers().count()
    }

    /// What the observer of that district's fronts said last, as long as it is good.
    pub fn active_verdicts(&self, now: Moment, of: ZoneId) -> Option<&ActiveVerdicts> {
        self.told.get(&of).filter(|told| now < told.expires_at)
    }

    /// Whether this front observes.
    pub fn is_observer(&self) -> bool {
        self.observer.is_some()
    }

    /// The districts that servers are in.
    pub fn zones(&self) -> Vec<ZoneId> {
        let mut districts: Vec<ZoneId> = self.places.values().copied().collect();
        districts.sort_unstable();
        districts.dedup();
        districts
    }
}
