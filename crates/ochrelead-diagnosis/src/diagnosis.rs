//! From events to troubles.
//!
//! A front sees few sessions, so evidence is pooled over all fronts. Each kind of trouble needs a least number of cases
//! and is not reported below it. A trouble that comes back within a moment is the same one.

mod answer_times;
mod callers;
mod events;
mod presence;
mod server_survey;
mod trouble_log;

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_event_log::reader::FrontIncarnation;
use ochrelead_event_log::schema::Event;

use crate::statistics::{FrontActivity, LearnedMean, RecentEvents, ServerStats};
use crate::trouble::Trouble;
use trouble_log::TroubleLog;

/// How often the state is evaluated.
const EVALUATION_INTERVAL: Span = Span::from_millis(250);
/// The recent time that is evaluated.
const WINDOW: Span = Span::from_secs(2);
/// An open trouble without evidence in so many evaluations has ended.
const EVALUATIONS_WITHOUT_EVIDENCE: u64 = 3;
/// An INVITE whose end is not in the log is forgotten after this: longer than any caller waits.
const MAX_OUTSTANDING: Span = Span::from_secs(60);
/// For so long after a server's silence or start, late answers and rejections are taken for its consequence.
const AFTERMATH: Span = Span::from_secs(12);

/// A call attempt or call that is not over.
struct OpenCall {
    front: String,
    called: String,
}

/// The state of the diagnosis.
pub struct Diagnosis {
    /// When the state is evaluated next; none before the first event.
    next_evaluation: Option<Moment>,
    servers: BTreeMap<String, ServerStats>,
    fronts: BTreeMap<String, FrontActivity>,
    /// The called numbers of the attempts that wait for their answer.
    pending_attempts: BTreeMap<String, String>,
    /// When the last attempt at a called number ended.
    last_attempt_ended: BTreeMap<String, Moment>,
    /// The tenants of redials that came at once.
    immediate_redials: RecentEvents<u32>,
    /// Called numbers whose lines were busy.
    busy_numbers: RecentEvents<String>,
    /// The open calls, by attempt, and their count by called number.
    open_calls: BTreeMap<String, OpenCall>,
    open_calls_by_number: BTreeMap<String, usize>,
    attempts: RecentEvents<()>,
    /// Attempts rejected for lack of capacity.
    rejections: RecentEvents<()>,
    /// Attempts that are no redials, and their usual rate a second.
    new_demand: RecentEvents<()>,
    usual_demand: LearnedMean,
    first_demand_at: Option<Moment>,
    /// When more than usual was last offered.
    last_surge_at: Option<Moment>,
    troubles: TroubleLog,
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
            troubles: TroubleLog::default(),
        }
    }
}

impl Diagnosis {
    /// An event with its time on the common clock; events come in the order of that clock.
    pub fn handle_event(&mut self, time: Moment, incarnation: &FrontIncarnation, event: &Event) {
        self.advance_to(time);
        self.on_record(time, incarnation);
        if let Some(what) = &event.what {
            self.on_event(time, &incarnation.front, what);
        }
    }

    /// Time passes without events up to `now`.
    pub fn advance_to(&mut self, now: Moment) {
        let mut evaluation = self.next_evaluation.unwrap_or(now + EVALUATION_INTERVAL);
        while evaluation <= now {
            self.evaluate(evaluation);
            evaluation = evaluation + EVALUATION_INTERVAL;
        }
        self.next_evaluation = Some(evaluation);
    }

    /// All troubles so far, in the order of their onsets; those that last have no end.
    pub fn troubles(&self) -> Vec<Trouble> {
        self.troubles.all()
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
        self.troubles.close_expired(now, EVALUATION_INTERVAL * EVALUATIONS_WITHOUT_EVIDENCE);
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

/// The middle of the window before `now`: where a trouble that the window shows is taken to have begun.
fn window_middle(now: Moment) -> Moment {
    Moment::from_micros(now.micros().saturating_sub(WINDOW.micros() / 2))
}
