//! Detects incidents from a stream of events.
//!
//! A single front sees few sessions, so the evidence of all fronts is pooled. Each kind of incident requires a
//! minimum number of cases and is not reported below it. An incident that recurs shortly after its end is reopened.

mod answer_times;
mod callers;
mod events;
mod incident_log;
mod presence;
mod server_survey;

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_event_log::reader::FrontIncarnation;
use ochrelead_event_log::schema::Event;

use crate::incident::Incident;
use crate::statistics::{FrontActivity, LearnedMean, RecentEvents, ServerStats};
use incident_log::IncidentLog;

/// The interval between evaluations of the state.
const EVALUATION_INTERVAL: Span = Span::from_millis(250);
/// The sliding window that an evaluation considers.
const WINDOW: Span = Span::from_secs(2);
/// An open incident ends after this number of evaluations without new evidence.
const EVALUATIONS_WITHOUT_EVIDENCE: u64 = 3;
/// An INVITE without an outcome in the log is dropped after this time, which is longer than any caller waits.
const MAX_OUTSTANDING: Span = Span::from_secs(60);
/// For this time after a server was silent or started, late answers and rejections are attributed to that.
const AFTERMATH: Span = Span::from_secs(12);

/// A call attempt or an established call that has not ended.
struct OpenCall {
    front: String,
    called: String,
}

/// Detects incidents. Feed it events with [`Diagnosis::handle_event`] and read [`Diagnosis::incidents`] at any time.
pub struct Diagnosis {
    /// The time of the next evaluation; `None` before the first event.
    next_evaluation: Option<Moment>,
    servers: BTreeMap<String, ServerStats>,
    fronts: BTreeMap<String, FrontActivity>,
    /// Attempts that are not answered yet, with their called numbers.
    pending_attempts: BTreeMap<String, String>,
    /// The end of the last attempt at each called number.
    last_attempt_ended: BTreeMap<String, Moment>,
    /// The tenants of recent immediate redials.
    immediate_redials: RecentEvents<u32>,
    /// Called numbers that were recently busy.
    busy_numbers: RecentEvents<String>,
    /// Open calls by attempt.
    open_calls: BTreeMap<String, OpenCall>,
    /// The number of open calls to each called number.
    open_calls_by_number: BTreeMap<String, usize>,
    attempts: RecentEvents<()>,
    /// Recent attempts that were rejected for lack of capacity or retry budget.
    rejections: RecentEvents<()>,
    /// Recent attempts that are not redials.
    new_demand: RecentEvents<()>,
    /// The usual rate of attempts that are not redials, per second.
    usual_demand: LearnedMean,
    first_demand_at: Option<Moment>,
    /// When demand last exceeded the usual rate.
    last_surge_at: Option<Moment>,
    incidents: IncidentLog,
}

impl Default for Diagnosis {
    fn default() -> Diagnosis {
        Diagnosis {
            next_evaluation: None,
            servers: BTreeMap::new(),
            fronts: BTreeMap::new(),
            pending_attempts: BTreeMap::new(),
            last_attempt_ended: BTreeMap::new(),
            immediate_redials: RecentEvents::new(WINDOW),
            busy_numbers: RecentEvents::new(WINDOW),
            open_calls: BTreeMap::new(),
            open_calls_by_number: BTreeMap::new(),
            attempts: RecentEvents::new(WINDOW),
            rejections: RecentEvents::new(WINDOW),
            new_demand: RecentEvents::new(WINDOW),
            usual_demand: LearnedMean::default(),
            first_demand_at: None,
            last_surge_at: None,
            incidents: IncidentLog::default(),
        }
    }
}

impl Diagnosis {
    /// Processes an event. `time` is on the common clock and must not decrease between calls.
    pub fn handle_event(&mut self, time: Moment, incarnation: &FrontIncarnation, event: &Event) {
        self.advance_to(time);
        self.on_record(time, incarnation);
        if let Some(what) = &event.what {
            self.on_event(time, &incarnation.front, what);
        }
    }

    /// Runs the evaluations that are due up to `now`.
    pub fn advance_to(&mut self, now: Moment) {
        let mut evaluation = self.next_evaluation.unwrap_or(now + EVALUATION_INTERVAL);
        while evaluation <= now {
            self.evaluate(evaluation);
            evaluation = evaluation + EVALUATION_INTERVAL;
        }
        self.next_evaluation = Some(evaluation);
    }

    /// All incidents so far, in the order of their onsets. An ongoing incident has no end.
    pub fn incidents(&self) -> Vec<Incident> {
        self.incidents.sorted_by_onset()
    }

    fn server(&mut self, name: &str) -> &mut ServerStats {
        self.servers.entry(name.to_owned()).or_default()
    }

    fn evaluate(&mut self, now: Moment) {
        self.expire_events(now);
        self.evaluate_fronts(now);
        self.evaluate_silence(now);
        self.evaluate_answer_times(now);
        self.evaluate_callers(now);
        self.incidents.close_expired(now, EVALUATION_INTERVAL * EVALUATIONS_WITHOUT_EVIDENCE);
    }

    fn expire_events(&mut self, now: Moment) {
        for events in [&mut self.attempts, &mut self.rejections, &mut self.new_demand] {
            events.expire(now);
        }
        for server in self.servers.values_mut() {
            server.outstanding.retain(|_, sent_at| now.since(*sent_at) < MAX_OUTSTANDING);
        }
        self.immediate_redials.expire(now);
        self.busy_numbers.expire(now);
    }
}

/// The middle of the window before `now`: the estimated onset of an incident that the window shows.
fn window_middle(now: Moment) -> Moment {
    Moment::from_micros(now.micros().saturating_sub(WINDOW.micros() / 2))
}
