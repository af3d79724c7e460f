//! What the rules keep of services, members, sessions, servers and numbers; it holds no judgement.

use crate::config::Service;
use crate::index::{CalledNumberIx, ServerIx, SessionIx};
use crate::retry_budget::RetryBudget;
use crate::sliding_window::{GaugeWindow, SlidingWindow};
use crate::time::{Moment, Span};
use crate::types::{BudgetGrant, CallRequest, InviteOutcome, LineCapacity, LoadReport};

/// The figures of one service that decisions use.
pub struct Desk {
    /// The value of a session, and what is left of it after the post-dial target.
    pub value: f64,
    pub late: f64,
    pub target: Span,
    pub servers: Vec<i64>,
    pub repeatable: bool,
    pub usual_hold: Span,
    /// The sessions offered so far.
    pub offered: f64,
}

/// An even part, at one front, of a member's share, and what the member asked for over the long run.
pub struct Quota {
    pub part_per_s: f64,
    pub asked: SlidingWindow<16>,
}

/// A session that has no final answer yet, or one whose INVITE is still out.
pub struct Session {
    pub offer: CallRequest,
    pub came: Moment,
    /// When its caller, by all that is known, first tried.
    pub first_tried: Moment,
    pub invites: u32,
    /// The INVITE that waits for its answer.
    pub out: Option<Out>,
    pub standing: bool,
    /// Answered; only the outcome of its INVITE is still to come.
    pub over: bool,
    /// When a decision is due.
    pub due: Option<Moment>,
    /// Rule five: no INVITE before this moment.
    pub not_before: Moment,
    /// The server whose bucket let the next INVITE pass, and by what.
    pub paid: Option<(ServerIx, BudgetGrant)>,
    /// Servers that failed this session.
    pub spurned: Vec<ServerIx>,
    pub last: Option<InviteOutcome>,
    /// Its own draw of chance, which decides where servers take a share of the sessions only.
    pub luck: f64,
}

/// An INVITE that waits for its answer.
#[derive(Clone, Copy)]
pub struct Out {
    pub server: ServerIx,
    pub sent: Moment,
}

/// What is known of a signalling server.
pub struct Server {
    pub number: i64,
    pub open: bool,
    pub started: Option<Moment>,
    pub bucket: RetryBudget,
    /// Cold, for all this front knows, until then.
    pub fresh_until: Moment,
    /// What was sent of late, over the time in which a cold server falls.
    pub sent: SlidingWindow<4>,
    /// What it answered this front a second before its last start, where that was seen.
    pub before: Option<f64>,
    /// The sessions whose destination it was, over the long run.
    pub wanted: SlidingWindow<16>,
    /// As last told, the free ones less what was sent since; none at all where nothing is told.
    pub lines: LineCapacity,
    /// When they were last told.
    pub told_at: Moment,
    /// The lines in use of late, as told.
    pub used: GaugeWindow<4>,
    /// What it sets up for all fronts, in sessions a second, as its lines show it.
    pub flow: Option<f64>,
    /// How many of its lines fall free in a second.
    pub freed: f64,
    /// How many sessions a second, from all fronts, would fill all its lines.
    pub fills: f64,
    /// What it last said of its processor, and when.
    pub report: LoadReport,
    pub reported: Moment,
    /// The INVITEs that wait for an answer, oldest first.
    pub out: Vec<(Moment, SessionIx)>,
    /// Answer times of late, and over the long run.
    pub present: SlidingWindow<8>,
    pub long: SlidingWindow<16>,
    /// The latest answer, or time-out for want of one, and how long it took.
    pub latest: Option<(Moment, Span)>,
    /// The last sign of life.
    pub heard: Moment,
    /// Whether the last sign of how it does was a failure.
    pub troubled: bool,
    /// When the latest INVITE that was answered had been sent.
    pub answered_sent: Moment,
    /// Until when its answers are held to get lost.
    pub lossy_until: Moment,
    /// Held unfit by the rules.
    pub sick: bool,
    /// Whether that is for its faults alone, which it answers as any session.
    pub faulty: bool,
    /// What a sick server waits for: first this moment, then the answer to one trial.
    pub barred_until: Moment,
    pub gap: Span,
    pub tried: bool,
    /// Its weight in the draw as the list has it, against the other servers'.
    pub listed_weight: f64,
    /// What is left of that by its own set-ups of late.
    pub weight: f64,
    pub weight_at: Moment,
    /// What share of the sessions it takes, for its district's sake.
    pub eased: f64,
}

/// What is known of a called number.
#[derive(Clone, Copy, Default)]
pub struct Number {
    pub first_tried: Moment,
    /// When a session to it was last given up.
    pub given_up: Option<Moment>,
    pub busy_until: Moment,
    pub run: u32,
}

impl Desk {
    /// Its value counts in values of `least`.
    pub fn new(service: &Service, least: f64) -> Self {
        Desk {
            value: service.value / least.max(f64::MIN_POSITIVE),
            late: service.late_value_share,
            target: service.post_dial_target,
            servers: service.servers.clone(),
            repeatable: service.retryable,
            usual_hold: service.mean_hold_time,
            offered: 0.0,
        }
    }

    /// How long the sessions of all desks stand on the mean, in seconds; nothing where none was offered yet.
    pub fn mean_hold(desks: &[Desk]) -> f64 {
        let held = |desk: &Desk| desk.offered * desk.usual_hold.ratio(Span::from_secs(1));
        let offered = desks.iter().map(|desk| desk.offered).sum::<f64>();
        desks.iter().map(held).sum::<f64>() / offered.max(1.0)
    }
}

impl Quota {
    pub fn new(part_per_s: f64, long: Span) -> Self {
        Quota { part_per_s, asked: SlidingWindow::new(long) }
    }
}

/// Sessions by their index.
#[derive(Default)]
pub struct Sessions(Vec<Option<Session>>);

impl Sessions {
    pub fn put(&mut self, at: SessionIx, session: Session) {
        if self.0.len() <= at.index() {
            self.0.resize_with(at.index() + 1, || None);
        }
        self.0[at.index()] = Some(session);
    }

    pub fn get(&self, at: SessionIx) -> Option<&Session> {
        self.0.get(at.index())?.as_ref()
    }

    pub fn get_mut(&mut self, at: SessionIx) -> Option<&mut Session> {
        self.0.get_mut(at.index())?.as_mut()
    }

    pub fn take(&mut self, at: SessionIx) -> Option<Session> {
        self.0.get_mut(at.index())?.take()
    }
}

/// Called numbers by their index.
#[derive(Default)]
pub struct Numbers(Vec<Number>);

impl Numbers {
    pub fn get(&self, at: CalledNumberIx) -> Number {
        self.0.get(at.index()).copied().unwrap_or_default()
    }

    pub fn get_mut(&mut self, at: CalledNumberIx) -> &mut Number {
        if self.0.len() <= at.index() {
            self.0.resize(at.index() + 1, Number::default());
        }
        &mut self.0[at.index()]
    }
}

impl Session {
    pub fn new(offer: CallRequest, came: Moment, first_tried: Moment, luck: f64) -> Self {
        Session {
            offer,
            came,
            first_tried,
            invites: 0,
            out: None,
            standing: false,
            over: false,
            due: Some(came),
            not_before: came,
            paid: None,
            spurned: Vec::new(),
            last: None,
            luck,
        }
    }

    /// Its draw of chance for one server: each server's own, but the same each time it is asked. Multiples of
    /// the golden ratio lie far apart between 0 and 1, so one draw serves all servers.
    pub fn draws(&self, server: ServerIx) -> f64 {
        const GOLDEN: f64 = 0.618_034;
        (self.luck + GOLDEN * server.index() as f64).fract()
    }
}

impl Server {
    /// A server first heard of at `now`; with the widths of the time buckets of what was sent, of lines
    /// told, of the present and of the long run.
    pub fn new(now: Moment, sent: Span, told: Span, present: Span, long: Span) -> Self {
        Server {
            number: -1,
            open: false,
            started: None,
            bucket: RetryBudget::default(),
            fresh_until: Moment::START,
            sent: SlidingWindow::new(sent),
            before: None,
            wanted: SlidingWindow::new(long),
            lines: LineCapacity::default(),
            told_at: Moment::START,
            used: GaugeWindow::new(told),
            flow: None,
            freed: 0.0,
            fills: 0.0,
            report: LoadReport::default(),
            reported: Moment::START,
            out: Vec::new(),
            present: SlidingWindow::new(present),
            long: SlidingWindow::new(long),
            latest: None,
            heard: now,
            troubled: false,
            answered_sent: Moment::START,
            lossy_until: Moment::START,
            sick: false,
            faulty: false,
            barred_until: Moment::START,
            gap: Span::ZERO,
            tried: false,
            listed_weight: 1.0,
            weight: 1.0,
            weight_at: now,
            eased: 1.0,
        }
    }

    /// Its lines are told; `hold` is how long sessions stand on the mean, in seconds, zero where unknown.
    pub fn told(&mut self, now: Moment, lines: LineCapacity, hold: f64) {
        (self.lines, self.told_at) = (lines, now);
        self.used.record(now, f64::from(lines.total.saturating_sub(lines.free)));
        let course = self.used.trend(now).filter(|_| hold > 0.0);
        self.freed = course.map_or(0.0, |(mean, _)| mean / hold);
        self.flow = course.map(|(mean, change)| (change + mean / hold).max(0.0));
        self.fills = if hold > 0.0 { f64::from(lines.total) / hold } else { 0.0 };
    }

    /// It has started anew: what was seen of the old process counts no more.
    pub fn restart(&mut self, now: Moment, fresh_until: Moment) {
        self.fresh_until = fresh_until;
        self.before = (self.long.stats(now).count > 0).then(|| self.long.rate(now, Moment::START));
        self.present.clear();
        self.long.clear();
        self.latest = None;
        self.used.clear();
        self.flow = None;
        self.report = LoadReport::default();
        self.sick = false;
        self.heard = now;
    }
}
