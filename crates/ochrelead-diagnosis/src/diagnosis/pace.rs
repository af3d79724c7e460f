//! Answer times, refusals and what is offered: slow, all slow, overloaded, or answers lost.

use super::*;

/// How many answers a judgement on a server's pace asks for.
const ENOUGH: usize = 5;
/// Slow: so many times the usual answer time, and so much in seconds.
const SLOW_TIMES: f64 = 2.5;
const SLOW_LEAST: f64 = 0.16;
/// Repeats go out so many seconds after the INVITE (RFC 3435 section 4.3, doubling gaps): an answer just after
/// one is an answer to it.
const REPEATS: [f64; 3] = [0.5, 1.5, 3.5];
/// The share of tries refused for lack of room that is overload.
const REFUSED: f64 = 0.12;
/// More offered than usual, as a multiple: what is late then is late for that.
const MORE: f64 = 1.3;
/// Of the usual, less than this is offered when callers leave.
const STILL_LOADED: f64 = 0.6;
/// A server that has started is slow for so long because it is cold.
const COLD: Span = Span::from_secs(12);
/// The wake of a server's silence or restart: what is refused or late then is so because of it.
const WAKE: Span = Span::from_secs(12);
/// It is one where a server in so many is concerned.
const WAKE_SHARE: usize = 5;

/// A server that answers late and carries less than this share of its usual is what is slow; the others that
/// are late carry what it does not.
const CARRIES_LESS: f64 = 0.8;
const CARRIES_ON: f64 = 0.9;
/// Less than this, and nothing else can explain it.
const CARRIES_LITTLE: f64 = 0.5;

/// A server that answers late with no more to do than usual.
struct Late {
    name: String,
    /// Its middle answer time now and usually, in seconds.
    middle: f64,
    usual: f64,
    /// INVITEs it gets, as a share of the usual.
    carries: f64,
}

impl Late {
    fn evidence(&self) -> String {
        let Late { middle, usual, .. } = self;
        format!("answers after {middle:.2} s where {usual:.2} s are usual, with no more to do")
    }

    fn confidence(&self) -> f64 {
        (self.middle / self.usual / SLOW_TIMES / 2.0).min(1.0)
    }
}

/// The one of several late servers that carries less, while the others carry on: theirs is the wake of it.
fn alone(late: &[Late]) -> Option<&Late> {
    let one = late.iter().min_by(|a, b| a.carries.total_cmp(&b.carries))?;
    let far_less = |own: &Late| own.carries >= one.carries * 2.0;
    let others = late.iter().filter(|own| own.name != one.name);
    let carry_on = others.clone().count() > 0 && others.clone().all(|own| own.carries >= CARRIES_ON);
    let few_sent = one.carries < CARRIES_LITTLE && others.clone().count() > 0 && others.clone().all(far_less);
    (few_sent || (one.carries < CARRIES_LESS && carry_on)).then_some(one)
}

impl Diagnosis {
    /// Answer times: one server slow, all of them, or answers that came to the repeat only. What is late while
    /// no more is offered than usual is slow; what is late while more is offered is overloaded.
    pub(super) fn judge_pace(&mut self, at: Moment) {
        let mut late: Vec<Late> = Vec::new();
        let (mut judged, mut well, mut pressed) = (0, 0, 0);
        let mut lossy = Vec::new();
        let mut avoided_all = Vec::new();
        let recent = |then: Option<Moment>, span| then.is_some_and(|then| at.since(then) < span);
        let seen = self.first_taken.map_or(Span::ZERO, |then| at.since(then)).min(WINDOW);
        let fresh = self.fresh.iter().count() as f64 / seconds(seen).max(0.5);
        // Where hardly anybody calls any more, little is sent to everybody.
        let usual_load = self.usual_fresh.known().is_none_or(|usual| fresh >= usual * STILL_LOADED);
        for (name, server) in &mut self.servers {
            server.answers.forget(at);
            server.sent.forget(at);
            // A server that is slow is soon sent little: what it answered before counts longer then.
            let usually = server.usual_sent.known().unwrap_or(0.0);
            let avoided = (server.sent.within(at, WINDOW).count() as f64) < usually * seconds(WINDOW) / 2.0;
            let avoided = avoided && usual_load;
            if avoided && server.drains_since.is_none() {
                avoided_all.push(name.clone());
            }
            let few = avoided && server.answers.within(at, WINDOW).count() < ENOUGH;
            let Some((middle, count)) = server.middle(at, if few { WINDOW * 3 } else { WINDOW }) else {
                continue;
            };
            if count < ENOUGH
                || server.drains_since.is_some()
                || recent(server.started, COLD)
                || recent(server.silent, WAKE / 2)
            {
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
                    late.push(Late { name: name.clone(), middle, usual, carries: sent / usually_sent });
                }
            } else if whole {
                well += usize::from(middle < usual * 1.5);
                server.usual_answer.learn(middle);
                server.usual_sent.learn(sent);
            }
        }
        let onset = Moment::from_micros(at.micros().saturating_sub(WINDOW.micros() / 2));
        // One of many servers leaves the others little more to do.
        let woken = self.servers.values().filter(|own| recent(own.started, WAKE) || recent(own.silent, WAKE));
        let wake = woken.count() * WAKE_SHARE >= self.servers.len().max(1);
        for (name, repeated, count) in lossy.into_iter().filter(|_| !wake && late.is_empty()) {
            let evidence = format!("{repeated} of {count} answers came to a repeat, the others at once");
            self.see(at, Kind::AnswersLost, &name, onset, (repeated as f64 / 8.0).min(1.0), evidence);
        }
        let refused = self.refused.iter().count() as f64 / self.taken.iter().count().max(1) as f64;
        let more = self.usual_fresh.known().is_some_and(|usual| fresh > usual * MORE);
        if more {
            self.last_more = Some(at);
        }
        // What waits from a rush is late for a while after it.
        let calm = self.last_more.is_none_or(|then| at.since(then) > WINDOW * 2);
        let whole = self.fleet_is_whole(at);
        let struck = self.open.keys().any(|(kind, _)| matches!(kind, Kind::Slow | Kind::AllSlow));
        // Nothing else explains what is late; what was found before goes on as long as it is late.
        let clear = calm && whole && !wake && !self.callers_press(at);
        let found = |kind: Kind, of: &str| self.open.contains_key(&(kind, of.to_owned()));
        let hampered = alone(&late).filter(|own| {
            judged > 1
                && usual_load
                && (clear || own.carries < CARRIES_LITTLE || found(Kind::Slow, &own.name))
        });
        // Nobody sends much to a server that was slow a moment ago: nothing says that it is well again.
        for name in avoided_all.into_iter().filter(|name| !late.iter().any(|own| own.name == *name)) {
            if found(Kind::Slow, &name) {
                self.seen.insert((Kind::Slow, name), at);
            }
        }
        if let Some(own) = hampered {
            let evidence = own.evidence();
            let confidence = own.confidence();
            let name = own.name.clone();
            self.see(at, Kind::Slow, &name, onset, confidence, evidence);
        } else if !late.is_empty() && judged > 1 && well == 0 && (clear || found(Kind::AllSlow, "")) {
            let evidence =
                format!("{} of {judged} answer late while no more is offered than usual", late.len());
            let onset = self.take_over(Kind::Slow, onset);
            self.see(at, Kind::AllSlow, "", onset, 0.8, evidence);
        } else if refused >= REFUSED && !wake && (more || !struck) && whole && !self.callers_press(at) {
            let percent = refused * 100.0;
            let evidence =
                format!("{percent:.0} in 100 tries refused for lack of room, with no server to blame");
            self.see(at, Kind::Overload, "", onset, (refused * 2.0).min(1.0), evidence);
        } else if more && judged > 1 && pressed * 2 >= judged {
            let evidence = format!("{pressed} of {judged} answer late while more is offered than usual");
            self.see(at, Kind::Overload, "", onset, 0.6, evidence);
        } else if late.len() == 1 && well > 0 && (clear || found(Kind::Slow, &late[0].name)) {
            let lossy = |own: &Trouble, name: &str| own.kind == Kind::AnswersLost && own.of == name;
            late.retain(|late| {
                let recent = self.closed.iter().rev().take(5);
                !self.open.values().chain(recent).any(|own| lossy(own, &late.name))
            });
            for own in late {
                self.see(at, Kind::Slow, &own.name, onset, own.confidence(), own.evidence());
            }
        }
        if !more && seen >= WINDOW / 2 && whole {
            self.usual_fresh.learn(fresh);
        }
    }

    /// Whether callers that dial again at once, or all dial one number, make more of what is offered.
    fn callers_press(&self, at: Moment) -> bool {
        let press = |kind: Kind| matches!(kind, Kind::Redials | Kind::HotNumber);
        let recent = |own: &Trouble| own.end.is_some_and(|end| at.since(end) < WAKE / 2);
        self.open.keys().any(|(kind, _)| press(*kind))
            || self.closed.iter().rev().take(20).any(|own| press(own.kind) && recent(own))
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
        let recent = |own: &Trouble| own.end.is_some_and(|end| at.since(end) < WAKE);
        !self.open.keys().any(|(kind, _)| fronts(*kind))
            && !self.closed.iter().rev().take(20).any(|own| fronts(own.kind) && recent(own))
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
