//! From events, second by second, to troubles.
//!
//! A front sees few sessions: evidence is pooled over all fronts. Each kind asks for a least number of cases and
//! says nothing below it. A trouble that comes back within a moment is the same one.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_records::reader::Life;
use ochrelead_records::schema::{Denial, Ending, Event, event::What};

use crate::course::{Front, Lately, Server, seconds};
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
const SLOW_LEAST: f64 = 0.12;
/// An answer to a repeat: the first was lost. Repeats go out half a second after the INVITE.
const REPEATED: f64 = 0.45;
/// A redial so soon after the last try's end is none of a patient caller.
const AT_ONCE: Span = Span::from_millis(150);
/// How many of them within the stretch are a trouble.
const MANY: usize = 5;
/// The share of tries refused for lack of room that is overload.
const REFUSED: f64 = 0.12;
/// A front that stood still for less is not worth a word.
const STALL: Span = Span::from_millis(500);
/// A front that writes nothing for so long has ended; it writes each second.
const NO_SIGN: Span = Span::from_secs(4);

/// What callers of late did.
#[derive(Clone, Debug)]
struct Redial {
    member: u32,
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
    redials: Lately<Redial>,
    busy_numbers: Lately<String>,
    taken: Lately<()>,
    refused: Lately<()>,
    stood: Lately<()>,
    /// The most that stood in a stretch so far: what the fleet was seen to carry.
    carried: f64,
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
            taken: Lately::new(WINDOW),
            refused: Lately::new(WINDOW),
            stood: Lately::new(WINDOW),
            carried: 0.0,
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
                if self.ended.get(&called).is_some_and(|then| at.since(*then) < AT_ONCE) {
                    self.redials.add(at, Redial { member: taken.member, called: called.clone() });
                }
                self.tries.insert(taken.tried.clone(), (taken.member, called));
            }
            What::Invite(invite) => {
                self.server(&invite.server).out.insert(invite.tried.clone(), at);
            }
            What::Stands(stands) => {
                self.stood.add(at, ());
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
            }
            What::HungUp(hung_up) => {
                if !hung_up.server.is_empty() {
                    self.server(&hung_up.server).out.remove(&hung_up.tried);
                }
                self.try_ended(&hung_up.tried, at);
            }
            What::Cut(_) | What::Lost(_) | What::Fleet(_) => {}
            What::Released(released) => {
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

    /// A front writes: it is alive, perhaps in a new life.
    fn front_seen(&mut self, life: &Life, at: Moment) {
        let front = self.fronts.entry(life.front.clone()).or_default();
        let (before, last, stopped) = (front.life, front.last, front.stopped);
        if before != life.started_us {
            *front = Front { life: life.started_us, last: at, stopped: false };
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
        for lately in [&mut self.taken, &mut self.refused, &mut self.stood] {
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
            self.see(at, Kind::Silent, name, *heard, 0.9, evidence);
        }
        let gone = |name: &String| silent.iter().any(|(own, ..)| own == name);
        let mut cut_off = Vec::new();
        for (front, known) in &self.fronts {
            if known.stopped || at.since(known.last) > Span::from_secs(2) {
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

    /// Answer times: one server slow, all of them, or answers that came to the repeat only.
    fn judge_pace(&mut self, at: Moment) {
        let mut slow: Vec<(String, f64, f64)> = Vec::new();
        let mut judged = 0;
        let mut lossy = Vec::new();
        for (name, server) in &mut self.servers {
            server.answers.forget(at);
            let Some((middle, count)) = server.middle(at, WINDOW) else { continue };
            if count < ENOUGH {
                continue;
            }
            judged += 1;
            let times = || server.answers.within(at, WINDOW).map(|(_, took)| seconds(*took));
            let late = times().filter(|took| *took > REPEATED).count();
            let easy = times().filter(|took| *took < REPEATED / 2.0).count();
            let usual = server.usual.unwrap_or(middle);
            // Some at once and some half a second late, with nothing between: the late ones answered a repeat.
            if late >= 3 && easy >= 3 && late + easy >= count * 9 / 10 && late * 6 >= count {
                lossy.push((name.clone(), late, count));
            } else if middle > usual * SLOW_TIMES && middle - usual > SLOW_LEAST {
                slow.push((name.clone(), middle, usual));
            } else {
                server.usual = Some(usual + (middle - usual) * 0.02);
            }
        }
        for (name, late, count) in lossy {
            let onset = Moment::from_micros(at.micros().saturating_sub(WINDOW.micros() / 2));
            let evidence = format!("{late} of {count} answers came to a repeat, the others at once");
            self.see(at, Kind::AnswersLost, &name, onset, (late as f64 / 8.0).min(1.0), evidence);
        }
        let stood = self.stood.iter().count() as f64;
        let tries = self.taken.iter().count().max(1) as f64;
        let refused = self.refused.iter().count() as f64 / tries;
        let all = judged > 1 && slow.len() == judged;
        let onset = Moment::from_micros(at.micros().saturating_sub(WINDOW.micros() / 2));
        let carries = stood >= self.carried * 0.75;
        if refused >= REFUSED && carries && slow.len() * 2 >= judged {
            let evidence = format!(
                "{:.0} in 100 tries refused for lack of room while the servers carry as much as ever",
                refused * 100.0
            );
            self.see(at, Kind::Overload, "", onset, (refused * 2.0).min(1.0), evidence);
        } else if all && !carries {
            let evidence =
                format!("all {judged} answer {SLOW_TIMES} times as late as usual and carry less than before");
            self.see(at, Kind::AllSlow, "", onset, 0.8, evidence);
        } else if !all {
            for (name, middle, usual) in slow {
                let evidence =
                    format!("answers after {middle:.2} s where {usual:.2} s are usual; others do not");
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
        self.carried = self.carried.max(stood);
    }

    /// Callers that dial again at once, and numbers that many dial.
    fn judge_callers(&mut self, at: Moment) {
        let mut by_number: BTreeMap<&str, usize> = BTreeMap::new();
        let mut by_member: BTreeMap<u32, usize> = BTreeMap::new();
        for (_, redial) in self.redials.iter() {
            *by_number.entry(&redial.called).or_insert(0) += 1;
            *by_member.entry(redial.member).or_insert(0) += 1;
        }
        for (_, called) in self.busy_numbers.iter() {
            *by_number.entry(called).or_insert(0) += 1;
        }
        let all: usize = by_member.values().sum();
        let hot = by_number
            .iter()
            .max_by_key(|(_, count)| **count)
            .map(|(called, count)| ((*called).to_owned(), *count));
        let worst =
            by_member.iter().max_by_key(|(_, count)| **count).map(|(member, count)| (*member, *count));
        let onset = Moment::from_micros(at.micros().saturating_sub(WINDOW.micros() / 2));
        if let Some((called, count)) = hot.filter(|(_, count)| *count >= MANY) {
            let evidence = format!(
                "{count} tries in {} s that met its busy lines or came again at once",
                seconds(WINDOW)
            );
            self.see(at, Kind::HotNumber, &called, onset, (count as f64 / 15.0).min(1.0), evidence);
            return;
        }
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
