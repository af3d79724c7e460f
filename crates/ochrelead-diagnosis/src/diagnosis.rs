//! From events, second by second, to troubles.
//!
//! A front sees few sessions: evidence is pooled over all fronts. Each kind asks for a least number of cases and
//! says nothing below it. A trouble that comes back within a moment is the same one.

mod callers;
mod pace;
mod presence;

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_event_log::reader::FrontIncarnation;
use ochrelead_event_log::schema::{Denial, Ending, Event, event::What};

use crate::course::{Front, Lately, Server, Usual, seconds};
use crate::trouble::{Kind, Trouble};

/// How often it is judged.
const STEP: Span = Span::from_millis(250);
/// The stretch that is judged.
const WINDOW: Span = Span::from_secs(2);
/// A trouble that comes back within this is the same one.
const SAME: Span = Span::from_secs(3);
/// A redial so soon after the last try's end is none of a patient caller.
const AT_ONCE: Span = Span::from_millis(150);
/// A try to a number whose last try ended less than this ago is a redial, and no new demand.
const REDIAL: Span = Span::from_secs(5);
/// A front that stood still for less is not worth a word.
const STALL: Span = Span::from_millis(500);

/// An INVITE whose end is not in the records is forgotten after this: longer than any caller waits.
const LOST_TRACK: Span = Span::from_secs(60);

/// A try or call that is not over: the front that holds it, and the number called.
struct Call {
    front: String,
    called: String,
}

/// The state of the diagnosis.
pub struct Diagnosis {
    now: Moment,
    next: Moment,
    servers: BTreeMap<String, Server>,
    fronts: BTreeMap<String, Front>,
    /// Where each try's INVITE is.
    tries: BTreeMap<String, (u32, String)>,
    /// When a number's last try ended.
    ended: BTreeMap<String, Moment>,
    /// The members of redials that came at once.
    redials: Lately<u32>,
    busy_numbers: Lately<String>,
    /// Tries and calls of a number that are not over.
    numbers: BTreeMap<String, usize>,
    calls: BTreeMap<String, Call>,
    /// Tries that are no redials, and how many are usual in a stretch.
    fresh: Lately<()>,
    usual_fresh: Usual,
    first_taken: Option<Moment>,
    /// When more than usual was last offered.
    last_more: Option<Moment>,
    taken: Lately<()>,
    refused: Lately<()>,
    open: BTreeMap<(Kind, String), Trouble>,
    /// When an open trouble was last seen.
    seen: BTreeMap<(Kind, String), Moment>,
    closed: Vec<Trouble>,
}

impl Default for Diagnosis {
    fn default() -> Diagnosis {
        Diagnosis {
            now: Moment::START,
            next: Moment::START,
            servers: BTreeMap::new(),
            fronts: BTreeMap::new(),
            tries: BTreeMap::new(),
            ended: BTreeMap::new(),
            redials: Lately::new(WINDOW),
            busy_numbers: Lately::new(WINDOW),
            numbers: BTreeMap::new(),
            calls: BTreeMap::new(),
            fresh: Lately::new(WINDOW),
            usual_fresh: Usual::default(),
            first_taken: None,
            last_more: None,
            taken: Lately::new(WINDOW),
            refused: Lately::new(WINDOW),
            open: BTreeMap::new(),
            seen: BTreeMap::new(),
            closed: Vec::new(),
        }
    }
}

impl Diagnosis {
    /// An event at its moment on the common clock; events come in the order of that clock.
    pub fn take(&mut self, at: Moment, life: &FrontIncarnation, event: &Event) {
        self.until(at);
        self.front_seen(life, at);
        let Some(what) = &event.what else { return };
        let front = life.front.as_str();
        match what {
            What::Taken(taken) => {
                self.taken.add(at, ());
                let called = taken.called.clone();
                let since = self.ended.get(&called).map(|then| at.since(*then));
                if since.is_some_and(|since| since < AT_ONCE) {
                    self.redials.add(at, taken.member);
                }
                if since.is_none_or(|since| since >= REDIAL) {
                    self.first_taken.get_or_insert(at);
                    self.fresh.add(at, ());
                }
                *self.numbers.entry(called.clone()).or_insert(0) += 1;
                let call = Call { front: front.to_owned(), called: called.clone() };
                self.calls.insert(taken.tried.clone(), call);
                self.tries.insert(taken.tried.clone(), (taken.member, called));
            }
            What::Invite(invite) => {
                let server = self.server(&invite.server);
                server.out.insert(invite.tried.clone(), at);
                server.sent.add(at, ());
                server.first_sent.get_or_insert(at);
            }
            What::Stands(stands) => {
                let took = Span::from_micros(stands.took_us);
                let server = self.server(&stands.server);
                server.out.remove(&stands.tried);
                server.answers.add(at, took);
                server.hear(front, at);
                self.tries.remove(&stands.tried);
            }
            What::Ended(ended) => {
                let unanswered = matches!(
                    ended.ending(),
                    Ending::TimedOut | Ending::Cancelled | Ending::Unsent | Ending::Reset
                );
                let server = self.server(&ended.server);
                server.out.remove(&ended.tried);
                if !unanswered {
                    server.hear(front, at);
                }
                if ended.ending() == Ending::LinesBusy
                    && let Some((_, called)) = self.tries.get(&ended.tried)
                {
                    self.busy_numbers.add(at, called.clone());
                }
            }
            What::GivenUp(given_up) => {
                if matches!(given_up.denial(), Denial::NoRoom | Denial::NoToken) {
                    self.refused.add(at, ());
                }
                if given_up.denial() == Denial::NumberBusy
                    && let Some((_, called)) = self.tries.get(&given_up.tried)
                {
                    self.busy_numbers.add(at, called.clone());
                }
                self.try_ended(&given_up.tried, at);
                self.call_over(&given_up.tried);
            }
            What::HungUp(hung_up) => {
                if !hung_up.server.is_empty() {
                    self.server(&hung_up.server).out.remove(&hung_up.tried);
                }
                self.try_ended(&hung_up.tried, at);
                self.call_over(&hung_up.tried);
            }
            What::Cut(cut) => self.call_over(&cut.tried),
            What::Lost(_) | What::Fleet(_) => {}
            What::Released(released) => {
                self.call_over(&released.tried);
                if released.confirmed {
                    self.server(&released.server).hear(front, at);
                }
            }
            What::Told(told) => self.told(at, front, &told.server, &told.what),
            What::Outlook(outlook) => {
                if outlook.unheard_us > 0 {
                    let then = Moment::from_micros(at.micros().saturating_sub(outlook.unheard_us));
                    self.server(&outlook.server).hear(front, then);
                }
            }
            What::PausedUs(us) => {
                let span = Span::from_micros(*us);
                if span >= STALL {
                    let onset = Moment::from_micros(at.micros().saturating_sub(*us));
                    let evidence = format!("it came {:.1} s too late for its turn", seconds(span));
                    self.close_now(Kind::FrontStalled, front, onset, at, 1.0, evidence);
                }
            }
            What::Life(what) => {
                if what == "stop" || what == "drain" {
                    self.fronts.entry(front.to_owned()).or_default().stopped = true;
                }
            }
        }
    }

    /// Time passes without events up to `now`.
    pub fn until(&mut self, now: Moment) {
        if self.next == Moment::START {
            self.next = now + STEP;
        }
        while self.next <= now {
            let at = self.next;
            self.next = at + STEP;
            self.judge(at);
        }
        self.now = self.now.max(now);
    }

    /// All troubles so far, in the order of their onsets; those in hand have no end.
    pub fn troubles(&self) -> Vec<Trouble> {
        let mut all: Vec<Trouble> = self.closed.iter().chain(self.open.values()).cloned().collect();
        all.sort_by(|a, b| (a.onset, a.kind, &a.of).cmp(&(b.onset, b.kind, &b.of)));
        all
    }

    fn server(&mut self, name: &str) -> &mut Server {
        self.servers.entry(name.to_owned()).or_default()
    }

    fn try_ended(&mut self, tried: &str, at: Moment) {
        if let Some((_, called)) = self.tries.remove(tried) {
            self.ended.insert(called, at);
        }
        if self.ended.len() > 100_000 {
            self.ended.retain(|_, then| at.since(*then) < WINDOW);
        }
    }

    fn call_over(&mut self, tried: &str) {
        if let Some(call) = self.calls.remove(tried)
            && let Some(open) = self.numbers.get_mut(&call.called)
        {
            *open -= 1;
            if *open == 0 {
                self.numbers.remove(&call.called);
            }
        }
    }

    /// What a front held when it ended has no end in its records.
    fn let_go(&mut self, front: &str) {
        let of = |(tried, call): (&String, &Call)| (call.front == front).then(|| tried.clone());
        let held: Vec<String> = self.calls.iter().filter_map(of).collect();
        for tried in held {
            self.tries.remove(&tried);
            self.call_over(&tried);
        }
    }

    /// A front writes: it is alive, perhaps in a new life.
    fn front_seen(&mut self, life: &FrontIncarnation, at: Moment) {
        let front = self.fronts.entry(life.front.clone()).or_default();
        let (before, last, stopped) = (front.life, front.last, front.stopped);
        if before != life.started_us {
            *front = Front { life: life.started_us, last: at, stopped: false };
            for server in self.servers.values_mut() {
                server.heard_by.remove(&life.front);
            }
            if before != 0 {
                self.let_go(&life.front);
            }
            if before != 0 && !stopped {
                let evidence = "its records end without a word and begin anew".to_owned();
                self.open.remove(&(Kind::FrontKilled, life.front.clone()));
                self.seen.remove(&(Kind::FrontKilled, life.front.clone()));
                self.close_now(Kind::FrontKilled, &life.front, last, at, 1.0, evidence);
            }
        } else {
            front.last = front.last.max(at);
            // The same life goes on: what is missing is records, not the front.
            self.open.remove(&(Kind::FrontKilled, life.front.clone()));
        }
    }

    fn told(&mut self, at: Moment, front: &str, name: &str, what: &str) {
        let server = self.server(name);
        let (before, drains) = (server.heard, server.drains_since);
        match what {
            "drains" => {
                server.drains_since.get_or_insert(at);
            }
            "started" => {
                server.drains_since = None;
                server.out.clear();
                server.answers = Lately::new(Span::from_secs(6));
                server.started = Some(at);
                self.started(at, name, before, drains);
            }
            _ => {}
        }
        self.server(name).hear(front, at);
    }

    /// A server has started anew: what was held for silence was its end.
    fn started(&mut self, at: Moment, name: &str, heard: Option<Moment>, drains: Option<Moment>) {
        let silent = self.open.remove(&(Kind::Silent, name.to_owned()));
        self.seen.remove(&(Kind::Silent, name.to_owned()));
        let recent = |kind: Kind| {
            let same = |trouble: &&Trouble| trouble.kind == kind && trouble.of == name;
            self.closed.iter().rev().find(same).and_then(|trouble| trouble.end)
        };
        // The other fronts' copies of the same word.
        if [Kind::Crashed, Kind::Replaced].into_iter().filter_map(recent).any(|end| at.since(end) < SAME) {
            return;
        }
        match drains {
            Some(onset) => {
                let evidence = "it said that it drains, then that it started".to_owned();
                self.close_now(Kind::Replaced, name, onset, at, 1.0, evidence);
            }
            None => {
                let onset = silent.map(|trouble| trouble.onset).or(heard).unwrap_or(at);
                let evidence = "it said that it started, and nothing before".to_owned();
                self.close_now(Kind::Crashed, name, onset, at, 1.0, evidence);
            }
        }
    }

    fn close_now(
        &mut self,
        kind: Kind,
        of: &str,
        onset: Moment,
        end: Moment,
        confidence: f64,
        evidence: String,
    ) {
        if matches!(kind, Kind::FrontStalled | Kind::FrontKilled) {
            // That it heard no server is the same thing.
            let same = |own: &Trouble| own.kind == Kind::CutOff && own.of == of && own.onset + SAME >= onset;
            self.closed.retain(|own| !same(own));
            self.open.retain(|_, own| !same(own));
        }
        self.closed.push(Trouble { kind, of: of.to_owned(), onset, end: Some(end), confidence, evidence });
    }

    /// Evidence for a trouble at this moment.
    fn see(&mut self, at: Moment, kind: Kind, of: &str, onset: Moment, confidence: f64, evidence: String) {
        let key = (kind, of.to_owned());
        self.seen.insert(key.clone(), at);
        if let Some(trouble) = self.open.get_mut(&key) {
            if confidence > trouble.confidence {
                (trouble.confidence, trouble.evidence) = (confidence, evidence);
            }
            return;
        }
        let again = self.closed.iter().rposition(|own| {
            own.kind == kind && own.of == of && own.end.is_some_and(|end| onset.since(end) < SAME)
        });
        let trouble = match again {
            Some(before) => Trouble { end: None, ..self.closed.remove(before) },
            None => Trouble { kind, of: of.to_owned(), onset, end: None, confidence, evidence },
        };
        self.open.insert(key, trouble);
    }

    fn judge(&mut self, at: Moment) {
        for lately in [&mut self.taken, &mut self.refused, &mut self.fresh] {
            lately.forget(at);
        }
        for server in self.servers.values_mut() {
            server.out.retain(|_, sent| at.since(*sent) < LOST_TRACK);
        }
        self.redials.forget(at);
        self.busy_numbers.forget(at);
        self.judge_fronts(at);
        self.judge_silence(at);
        self.judge_pace(at);
        self.judge_callers(at);
        self.close_what_passed(at);
    }

    /// What was not seen again has ended when it was last seen.
    fn close_what_passed(&mut self, at: Moment) {
        let passed: Vec<(Kind, String)> = self
            .open
            .keys()
            .filter(|key| self.seen.get(*key).is_none_or(|seen| at.since(*seen) >= STEP * 3))
            .cloned()
            .collect();
        for key in passed {
            if let Some(mut trouble) = self.open.remove(&key) {
                trouble.end = Some(self.seen.remove(&key).unwrap_or(at));
                self.closed.push(trouble);
            }
        }
    }
}
