//! From events, second by second, to troubles.
//!
//! A front sees few sessions: evidence is pooled over all fronts. Each kind asks for a least number of cases and
//! says nothing below it. A trouble that comes back within a moment is the same one.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_records::reader::Life;
use ochrelead_records::schema::{Denial, Ending, Event, event::What};

use crate::course::{Front, Lately, Server, Usual, seconds};
use crate::trouble::{Kind, Trouble};

/// How often it is judged.
const STEP: Span = Span::from_millis(250);
/// The stretch that is judged.
const WINDOW: Span = Span::from_secs(2);
/// Nothing of a server for so long, with INVITEs out, is silence.
const SILENCE: Span = Span::from_millis(1_300);
/// A trouble that comes back within this is the same one.
const SAME: Span = Span::from_secs(3);
/// How many answers a judgement on a server's pace asks for.
const ENOUGH: usize = 5;
/// Slow: so many times the usual answer time, and so much in seconds.
const SLOW_TIMES: f64 = 2.5;
const SLOW_LEAST: f64 = 0.16;
/// Repeats go out so many seconds after the INVITE (RFC 3435 section 4.3, doubling gaps): an answer just after
/// one is an answer to it.
const REPEATS: [f64; 3] = [0.5, 1.5, 3.5];
/// A redial so soon after the last try's end is none of a patient caller.
const AT_ONCE: Span = Span::from_millis(150);
/// How many of them within the stretch are a trouble.
const MANY: usize = 4;
/// A number with so many tries and calls at once is flooded.
const FLOOD: usize = 4;
/// The share of tries refused for lack of room that is overload.
const REFUSED: f64 = 0.12;
/// More offered than usual, as a multiple: what is late then is late for that.
const MORE: f64 = 1.3;
/// A try to a number whose last try ended less than this ago is a redial, and no new demand.
const REDIAL: Span = Span::from_secs(5);
/// A server that has started is slow for so long because it is cold.
const COLD: Span = Span::from_secs(12);
/// The wake of a server's silence or restart: what is refused or late then is so because of it.
const WAKE: Span = Span::from_secs(8);
/// A front that stood still for less is not worth a word.
const STALL: Span = Span::from_millis(500);
/// A front in service writes at least so often.
const SIGNS: Span = Span::from_millis(1_200);
/// A front that writes nothing for so long has ended; it writes each second.
const NO_SIGN: Span = Span::from_secs(4);

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
    calls: BTreeMap<String, String>,
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
    pub fn take(&mut self, at: Moment, life: &Life, event: &Event) {
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
                self.calls.insert(taken.tried.clone(), called.clone());
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
        if let Some(called) = self.calls.remove(tried)
            && let Some(open) = self.numbers.get_mut(&called)
        {
            *open -= 1;
            if *open == 0 {
                self.numbers.remove(&called);
            }
        }
    }

    /// A front writes: it is alive, perhaps in a new life.
    fn front_seen(&mut self, life: &Life, at: Moment) {
        let front = self.fronts.entry(life.front.clone()).or_default();
        let (before, last, stopped) = (front.life, front.last, front.stopped);
        if before != life.started_us {
            *front = Front { life: life.started_us, last: at, stopped: false };
            for server in self.servers.values_mut() {
                server.heard_by.remove(&life.front);
            }
            if before != 0 && !stopped {
                let evidence = "its records end without a word and begin anew".to_owned();
                self.open.remove(&(Kind::FrontKilled, life.front.clone()));
                self.seen.remove(&(Kind::FrontKilled, life.front.clone()));
                self.close_now(Kind::FrontKilled, &life.front, last, at, 1.0, evidence);
            }
        } else {
            front.last = front.last.max(at);
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
        self.redials.forget(at);
        self.busy_numbers.forget(at);
        self.judge_fronts(at);
        self.judge_silence(at);
        self.judge_pace(at);
        self.judge_callers(at);
        self.close_what_passed(at);
    }

    fn judge_fronts(&mut self, at: Moment) {
        let alive = self.fronts.values().filter(|front| at.since(front.last) < NO_SIGN).count();
        let missing: Vec<(String, Moment)> = self
            .fronts
            .iter()
            .filter(|(_, front)| !front.stopped && at.since(front.last) >= NO_SIGN)
            .map(|(name, front)| (name.clone(), front.last))
            .collect();
        for (name, last) in missing.into_iter().filter(|_| alive > 0) {
            let evidence = "it has written nothing since, while others write".to_owned();
            self.see(at, Kind::FrontKilled, &name, last, 0.8, evidence);
        }
    }

    /// Servers that are not heard: by nobody, or by one front alone.
    fn judge_silence(&mut self, at: Moment) {
        let mut silent = Vec::new();
        for (name, server) in &self.servers {
            let Some(heard) = server.heard else { continue };
            let waits = server.out.values().filter(|sent| at.since(**sent) > SILENCE / 2).count();
            let still = self.open.contains_key(&(Kind::Silent, name.clone()));
            if at.since(heard) >= SILENCE && (waits > 0 || still) {
                silent.push((name.clone(), heard, waits));
            }
        }
        for (name, heard, waits) in &silent {
            let evidence = format!("no sign of it since, with {waits} INVITEs out over all fronts");
            self.server(name).silent = Some(at);
            self.see(at, Kind::Silent, name, *heard, 0.9, evidence);
        }
        let gone = |name: &String| silent.iter().any(|(own, ..)| own == name);
        let mut cut_off = Vec::new();
        for (front, known) in &self.fronts {
            // One that writes nothing itself stands still or is gone: that is another trouble.
            if known.stopped || at.since(known.last) > SIGNS {
                continue;
            }
            let heard: Vec<(Moment, Moment)> = self
                .servers
                .iter()
                .filter(|(name, _)| !gone(name))
                .filter_map(|(_, server)| Some((server.heard?, *server.heard_by.get(front)?)))
                .collect();
            let cut = |(all, own): &(Moment, Moment)| at.since(*own) >= SILENCE && at.since(*all) < SILENCE;
            if heard.len() > 1 && heard.iter().all(cut) {
                let onset = heard.iter().map(|(_, own)| *own).max().unwrap_or(at);
                cut_off.push((front.clone(), onset));
            }
        }
        for (front, onset) in cut_off {
            let evidence = "it hears none of the servers that others hear".to_owned();
            self.see(at, Kind::CutOff, &front, onset, 0.9, evidence);
        }
    }

    /// Answer times: one server slow, all of them, or answers that came to the repeat only. What is late while
    /// no more is offered than usual is slow; what is late while more is offered is overloaded.
    fn judge_pace(&mut self, at: Moment) {
        let mut late: Vec<(String, f64, f64)> = Vec::new();
        let (mut judged, mut well, mut pressed) = (0, 0, 0);
        let mut lossy = Vec::new();
        let recent = |then: Option<Moment>, span| then.is_some_and(|then| at.since(then) < span);
        for (name, server) in &mut self.servers {
            server.answers.forget(at);
            server.sent.forget(at);
            let Some((middle, count)) = server.middle(at, WINDOW) else { continue };
            if count < ENOUGH || recent(server.started, COLD) || recent(server.silent, WAKE / 2) {
                continue;
            }
            judged += 1;
            let seen = server.first_sent.map_or(Span::ZERO, |then| at.since(then)).min(WINDOW);
            let whole = seen >= WINDOW / 2;
            let sent = server.sent.within(at, WINDOW).count() as f64 / seconds(seen).max(0.5);
            let usual = server.usual_answer.known().unwrap_or(middle);
            let usually_sent = server.usual_sent.known().unwrap_or(f64::INFINITY);
            let sent_and_took = |(then, took): &(Moment, Span)| {
                (seconds(then.since(Moment::START)) - seconds(*took), seconds(*took))
            };
            let answers: Vec<(f64, f64)> = server.answers.within(at, WINDOW).map(sent_and_took).collect();
            if let Some(repeated) = to_repeats(&answers) {
                lossy.push((name.clone(), repeated, count));
            } else if middle > usual * SLOW_TIMES && middle - usual > SLOW_LEAST {
                pressed += 1;
                if sent <= usually_sent * MORE + 0.5 {
                    late.push((name.clone(), middle, usual));
                }
            } else if whole {
                well += usize::from(middle < usual * 1.5);
                server.usual_answer.learn(middle);
                server.usual_sent.learn(sent);
            }
        }
        let onset = Moment::from_micros(at.micros().saturating_sub(WINDOW.micros() / 2));
        let wake = self.servers.values().any(|own| recent(own.started, WAKE) || recent(own.silent, WAKE));
        for (name, repeated, count) in lossy.into_iter().filter(|_| !wake && late.is_empty()) {
            let evidence = format!("{repeated} of {count} answers came to a repeat, the others at once");
            self.see(at, Kind::AnswersLost, &name, onset, (repeated as f64 / 8.0).min(1.0), evidence);
        }
        let refused = self.refused.iter().count() as f64 / self.taken.iter().count().max(1) as f64;
        let seen = self.first_taken.map_or(Span::ZERO, |then| at.since(then)).min(WINDOW);
        let fresh = self.fresh.iter().count() as f64 / seconds(seen).max(0.5);
        let more = self.usual_fresh.known().is_some_and(|usual| fresh > usual * MORE);
        if more {
            self.last_more = Some(at);
        }
        // What waits from a rush is late for a while after it.
        let calm = self.last_more.is_none_or(|then| at.since(then) > WINDOW * 2);
        let whole = self.fleet_is_whole(at);
        let struck = self.open.keys().any(|(kind, _)| matches!(kind, Kind::Slow | Kind::AllSlow));
        if !late.is_empty() && judged > 1 && well == 0 && calm && whole && !wake {
            let evidence =
                format!("{} of {judged} answer late while no more is offered than usual", late.len());
            let onset = self.take_over(Kind::Slow, onset);
            self.see(at, Kind::AllSlow, "", onset, 0.8, evidence);
        } else if refused >= REFUSED && !wake && (more || !struck) && whole {
            let percent = refused * 100.0;
            let evidence =
                format!("{percent:.0} in 100 tries refused for lack of room, with no server to blame");
            self.see(at, Kind::Overload, "", onset, (refused * 2.0).min(1.0), evidence);
        } else if more && judged > 1 && pressed * 2 >= judged {
            let evidence = format!("{pressed} of {judged} answer late while more is offered than usual");
            self.see(at, Kind::Overload, "", onset, 0.6, evidence);
        } else if late.len() == 1 && well > 0 && calm && whole && !wake {
            let lossy = |own: &Trouble, name: &str| own.kind == Kind::AnswersLost && own.of == name;
            late.retain(|(name, ..)| {
                !self.open.values().chain(self.closed.iter().rev().take(5)).any(|own| lossy(own, name))
            });
            for (name, middle, usual) in late {
                let evidence =
                    format!("answers after {middle:.2} s where {usual:.2} s are usual, with no more to do");
                self.see(
                    at,
                    Kind::Slow,
                    &name,
                    onset,
                    (middle / usual / SLOW_TIMES / 2.0).min(1.0),
                    evidence,
                );
            }
        }
        if !more && seen >= WINDOW / 2 && whole {
            self.usual_fresh.learn(fresh);
        }
    }

    /// What was held for one server's trouble is all servers': the onset of the first of them.
    fn take_over(&mut self, kind: Kind, onset: Moment) -> Moment {
        let same = |own: &Trouble| own.kind == kind && own.end.is_none_or(|end| onset.since(end) < SAME);
        let first = self.open.values().chain(&self.closed).filter(|own| same(own)).map(|own| own.onset).min();
        self.closed.retain(|own| !same(own));
        self.open.retain(|_, own| !same(own));
        first.map_or(onset, |first| first.min(onset))
    }

    /// Whether no front is, or was a moment ago, cut off, stalled or gone: its refusals are its own.
    fn fleet_is_whole(&self, at: Moment) -> bool {
        let fronts = |kind: Kind| matches!(kind, Kind::CutOff | Kind::FrontStalled | Kind::FrontKilled);
        let recent = |own: &Trouble| own.end.is_some_and(|end| at.since(end) < WAKE / 2);
        !self.open.keys().any(|(kind, _)| fronts(*kind))
            && !self.closed.iter().rev().take(20).any(|own| fronts(own.kind) && recent(own))
    }

    /// Callers that dial again at once, and numbers that many dial.
    fn judge_callers(&mut self, at: Moment) {
        let mut busy: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, called) in self.busy_numbers.iter() {
            *busy.entry(called).or_insert(0) += 1;
        }
        let mut members: BTreeMap<u32, usize> = BTreeMap::new();
        for (_, member) in self.redials.iter() {
            *members.entry(*member).or_insert(0) += 1;
        }
        let most = |counts: Vec<(String, usize)>| counts.into_iter().max_by_key(|(_, count)| *count);
        let busiest = most(busy.iter().map(|(called, count)| ((*called).to_owned(), *count)).collect());
        let fullest = most(self.numbers.iter().map(|(called, open)| (called.clone(), *open)).collect());
        let onset = Moment::from_micros(at.micros().saturating_sub(WINDOW.micros() / 2));
        let flooded =
            busiest.filter(|(_, count)| *count >= MANY).or(fullest.filter(|(_, open)| *open >= FLOOD));
        if let Some((called, count)) = flooded {
            let evidence = format!("{count} tries met its busy lines, or are open, at once");
            self.see(at, Kind::HotNumber, &called, onset, (count as f64 / 12.0).min(1.0), evidence);
            return;
        }
        let all: usize = members.values().sum();
        let worst = members.iter().max_by_key(|(_, count)| **count).map(|(member, count)| (*member, *count));
        if let Some((member, count)) = worst.filter(|(_, count)| *count >= MANY && *count * 4 >= all * 3) {
            let evidence = format!("{count} of {all} tries that came again at once are its callers'");
            let name = format!("member {member}");
            self.see(at, Kind::Redials, &name, onset, (count as f64 / 15.0).min(1.0), evidence);
        }
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

/// How many answers came to a repeat, where others came at once and nothing between: the first ones were lost.
/// A slow server answers at all times, and one that turns slow or well again answers first so and then so; here
/// both kinds come by turns. Each answer with when its INVITE was sent, in seconds.
fn to_repeats(answers: &[(f64, f64)]) -> Option<usize> {
    let first = REPEATS[0];
    let (easy, late): (Vec<_>, Vec<_>) = answers.iter().copied().partition(|(_, took)| *took < first / 2.0);
    let reach = easy.iter().map(|(_, took)| *took).fold(0.0, f64::max) + 0.05;
    let just_after = |took: f64| REPEATS.iter().any(|repeat| (0.0..reach).contains(&(took - repeat)));
    let repeated = late.iter().filter(|(_, took)| just_after(*took)).count();
    let begins = |of: &[(f64, f64)]| of.iter().map(|(sent, _)| *sent).fold(f64::INFINITY, f64::min);
    let after = |of: &[(f64, f64)], then: f64| of.iter().filter(|(sent, _)| *sent > then).count();
    let by_turns = after(&easy, begins(&late)) >= 2 && after(&late, begins(&easy)) >= 2;
    let mixed = easy.len() >= 3 && late.len() >= 4 && late.len() * 4 >= answers.len();
    (by_turns && mixed && repeated * 5 >= late.len() * 4).then_some(repeated)
}
