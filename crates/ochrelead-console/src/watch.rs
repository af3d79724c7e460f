//! What is known of the fleet, fed with records as they come.

use std::collections::{BTreeMap, VecDeque};

use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::clocks::{Clocks, Ties};
use ochrelead_diagnosis::diagnosis::Diagnosis;
use ochrelead_diagnosis::trouble::{Kind, Trouble};
use ochrelead_event_log::reader::{FrontIncarnation, Record};
use ochrelead_event_log::schema::{Event, event::What};

/// Records of several fronts come in any order; they are taken in the order of their moments once they are so
/// old, and what comes later than that counts as it comes.
const LAG: Span = Span::from_millis(600);
/// The seconds that are plotted.
pub const PLOTTED: usize = 180;
/// A front that has written nothing for so long is not counted as there.
const HERE: Span = Span::from_secs(3);

/// A server now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Server {
    /// INVITEs and answers by second, the newest last.
    pub invites: VecDeque<u64>,
    /// The middle of the fronts' answer times and limits, as last told.
    pub answer: Span,
    pub limit: f64,
    pub free: u32,
    pub lines: u32,
    pub sick: usize,
    pub fresh: bool,
    pub since: Option<Moment>,
    state: &'static str,
}

impl Server {
    pub fn state(&self) -> &'static str {
        if self.state.is_empty() { "well" } else { self.state }
    }
}

/// The state of the console.
#[derive(Default)]
pub struct Watch {
    waiting: BTreeMap<(u64, u64), (FrontIncarnation, Event)>,
    arrived: u64,
    newest: u64,
    ties: Ties,
    clocks: Clocks,
    now: Moment,
    second: u64,
    diagnosis: Diagnosis,
    pub servers: BTreeMap<String, Server>,
    outlooks: BTreeMap<(String, String), (Moment, f64, u64, bool)>,
    pub fronts: BTreeMap<String, Moment>,
    pub tried: VecDeque<u64>,
    pub stood: VecDeque<u64>,
    pub given_up: VecDeque<u64>,
    /// The steps of the last tries, for their stories.
    stories: VecDeque<(String, Moment, String)>,
}

/// Steps that are kept for stories.
const STEPS: usize = 4_000;

impl Watch {
    /// A record has come.
    pub fn take(&mut self, record: Record) {
        self.arrived += 1;
        if self.ties.take(&record.incarnation, &record.event) {
            self.clocks = self.ties.clone().settle();
        }
        let at = self.clocks.common(&record.incarnation, &record.event);
        self.newest = self.newest.max(at);
        self.waiting.insert((at, self.arrived), (record.incarnation, record.event));
    }

    /// Works off what is old enough. Where nothing new comes, `idle` is how long: time goes on with it.
    pub fn settle(&mut self, idle: Span) {
        let until = (Moment::from_micros(self.newest) + idle).micros().saturating_sub(LAG.micros());
        while let Some(entry) = self.waiting.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), (life, event)) = entry.remove_entry();
            let at = Moment::from_micros(at);
            self.advance(at);
            self.diagnosis.take(at, &life, &event);
            self.note(at, &life, &event);
        }
        if until > 0 {
            self.advance(Moment::from_micros(until));
            self.diagnosis.until(self.now);
        }
        self.judge();
    }

    fn advance(&mut self, at: Moment) {
        self.now = self.now.max(at);
        let second = self.now.micros() / 1_000_000;
        if self.second == 0 {
            self.second = second;
            self.tried.push_back(0);
            self.stood.push_back(0);
            self.given_up.push_back(0);
        }
        let plots = [&mut self.tried, &mut self.stood, &mut self.given_up];
        let servers = self.servers.values_mut().map(|server| &mut server.invites);
        let passed = (second - self.second.min(second)).min(PLOTTED as u64);
        for plot in plots.into_iter().chain(servers) {
            for _ in 0..passed {
                plot.push_back(0);
            }
            while plot.len() > PLOTTED {
                plot.pop_front();
            }
        }
        self.second = self.second.max(second);
    }

    fn note(&mut self, at: Moment, life: &FrontIncarnation, event: &Event) {
        self.fronts.insert(life.front.clone(), at);
        let count = |plot: &mut VecDeque<u64>| {
            if let Some(last) = plot.back_mut() {
                *last += 1;
            }
        };
        let mut tell = |tried: &str, text: String| {
            self.stories.push_back((tried.to_owned(), at, format!("{}: {text}", life.front)));
            if self.stories.len() > STEPS {
                self.stories.pop_front();
            }
        };
        match &event.what {
            Some(What::Taken(own)) => {
                count(&mut self.tried);
                tell(&own.tried, format!("taken, to {}", own.called));
            }
            Some(What::Invite(own)) => {
                tell(&own.tried, format!("INVITE {} to {}", own.nth, own.server));
                let server = self.servers.entry(own.server.clone()).or_default();
                if server.invites.is_empty() {
                    server.invites.push_back(0);
                }
                count(&mut server.invites);
            }
            Some(What::Stands(own)) => {
                count(&mut self.stood);
                tell(&own.tried, format!("stands at {}", own.server));
            }
            Some(What::Ended(own)) => {
                let ending = own.ending().as_str_name().to_lowercase();
                tell(&own.tried, format!("{} answered {ending}", own.server));
            }
            Some(What::GivenUp(own)) => {
                count(&mut self.given_up);
                tell(&own.tried, format!("given up: {}", own.denial().as_str_name().to_lowercase()));
            }
            Some(What::HungUp(own)) => tell(&own.tried, "caller hung up".to_owned()),
            Some(What::Outlook(own)) => {
                let server = self.servers.entry(own.server.clone()).or_default();
                (server.free, server.lines, server.fresh) = (own.free, own.lines, own.fresh);
                let held = (at, own.limit, own.answer_us, own.sick);
                self.outlooks.insert((own.server.clone(), life.front.clone()), held);
            }
            _ => {}
        }
    }

    /// Each server's state: the worst trouble in hand there, and what the fronts hold of it.
    fn judge(&mut self) {
        let troubles = self.in_hand();
        for (name, server) in &mut self.servers {
            let recent = |(at, ..): &&(Moment, f64, u64, bool)| self.now.since(*at) < HERE;
            let of = self.outlooks.iter().filter(|((own, _), _)| own == name).map(|(_, held)| held);
            let held: Vec<&(Moment, f64, u64, bool)> = of.filter(recent).collect();
            let count = held.len().max(1) as f64;
            server.limit = held.iter().map(|(_, limit, ..)| limit).sum::<f64>() / count;
            let mut answers: Vec<u64> = held.iter().map(|(_, _, answer, _)| *answer).collect();
            answers.sort_unstable();
            server.answer = Span::from_micros(answers.get(answers.len() / 2).copied().unwrap_or(0));
            server.sick = held.iter().filter(|(.., sick)| *sick).count();
            let trouble = troubles.iter().find(|own| own.of == *name);
            let state = match trouble.map(|own| own.kind) {
                Some(Kind::Silent) => "silent",
                Some(Kind::Slow) => "slow",
                Some(Kind::AnswersLost) => "lossy",
                _ if server.fresh => "cold",
                _ if server.sick * 2 > held.len() => "sick",
                _ => "well",
            };
            if state != server.state() || server.since.is_none() {
                server.since = trouble.map(|own| own.onset).or(Some(self.now));
            }
            server.state = state;
        }
    }

    /// Troubles that last, the oldest first.
    pub fn in_hand(&self) -> Vec<Trouble> {
        self.diagnosis.troubles().into_iter().filter(|own| own.end.is_none()).collect()
    }

    /// Troubles that have passed, the newest first.
    pub fn passed(&self) -> Vec<Trouble> {
        let mut passed: Vec<Trouble> =
            self.diagnosis.troubles().into_iter().filter(|own| own.end.is_some()).collect();
        passed.reverse();
        passed
    }

    /// The story of the newest sessions that a server was part of, or of one try.
    pub fn story(&self, of: &str) -> Vec<String> {
        let with: Vec<&str> = self
            .stories
            .iter()
            .filter(|(tried, _, text)| tried == of || text.contains(of))
            .map(|(tried, ..)| tried.as_str())
            .collect();
        let last: Vec<&str> = with.iter().rev().take(8).copied().collect();
        let of_last = self.stories.iter().filter(|(tried, ..)| last.contains(&tried.as_str()));
        let ago = |at: Moment| self.now.since(at).ratio(Span::from_secs(1));
        of_last.map(|(tried, at, text)| format!("{:.2} s ago  {tried}  {text}", ago(*at))).collect()
    }

    pub fn now(&self) -> Moment {
        self.now
    }

    /// Fronts that write.
    pub fn fronts_here(&self) -> usize {
        self.fronts.values().filter(|at| self.now.since(**at) < HERE).count()
    }
}
