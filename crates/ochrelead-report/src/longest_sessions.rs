//! The sessions that waited longest, step by step.

use ochrelead_core::time::{Moment, Span};
use ochrelead_event_log::reader::Record;
use ochrelead_event_log::schema::event::What;

use crate::readable_name;

/// How many sessions are kept.
const MAX_SESSIONS: usize = 5;
/// The most steps of one session; what comes after them is left out.
const MAX_STEPS: usize = 60;

const MICROS_PER_SECOND: f64 = 1e6;

/// A step of a session.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceStep {
    /// When it was, on the common clock.
    pub time: Moment,
    /// The front, and what happened there.
    pub description: String,
}

/// One session with its steps.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionTrace {
    /// The session's identifier.
    pub session: String,
    /// How long its caller waited.
    pub waited: Span,
    /// Its steps, the oldest first.
    pub steps: Vec<TraceStep>,
}

/// The sessions that waited longest: found in one reading, their steps collected in the next.
#[derive(Clone, Debug, Default)]
pub struct LongestSessions {
    traces: Vec<SessionTrace>,
}

impl LongestSessions {
    /// First reading: keeps the record's session where it ends and is one of the longest.
    pub fn consider(&mut self, record: &Record) {
        let (session, waited_us) = match &record.event.what {
            Some(What::Stands(stands)) => (&stands.tried, stands.since_taken_us),
            Some(What::HungUp(hung_up)) => (&hung_up.tried, hung_up.waited_us),
            _ => return,
        };
        let waited = Span::from_micros(waited_us);
        let is_full = self.traces.len() == MAX_SESSIONS;
        if is_full && self.traces.last().is_some_and(|shortest| shortest.waited >= waited) {
            return;
        }
        if self.traces.iter().any(|trace| trace.session == *session) {
            return;
        }
        let rank = self.traces.partition_point(|trace| trace.waited >= waited);
        self.traces.insert(rank, SessionTrace { session: session.clone(), waited, steps: Vec::new() });
        self.traces.truncate(MAX_SESSIONS);
    }

    /// Whether no session was kept.
    pub fn is_empty(&self) -> bool {
        self.traces.is_empty()
    }

    /// Second reading: keeps the record where it is a step of one of the sessions.
    pub fn collect_step(&mut self, time: Moment, record: &Record) {
        let Some((session, step)) = record.event.what.as_ref().and_then(describe_step) else { return };
        for trace in &mut self.traces {
            if trace.session == session && trace.steps.len() < MAX_STEPS {
                let description = format!("{}: {step}", record.incarnation.front);
                trace.steps.push(TraceStep { time, description });
            }
        }
    }

    /// The sessions, the longest first.
    pub fn into_traces(self) -> Vec<SessionTrace> {
        self.traces
    }
}

/// The session that an event is a step of, and the step in plain words.
fn describe_step(what: &What) -> Option<(&str, String)> {
    let (session, step) = match what {
        What::Taken(taken) => (&taken.tried, format!("taken, to {}", taken.called)),
        What::Invite(invite) => {
            let choice = readable_name(invite.choice().as_str_name());
            let payment = readable_name(invite.payment().as_str_name());
            (&invite.tried, format!("INVITE {} to {} ({choice}, {payment})", invite.nth, invite.server))
        }
        What::Ended(ended) => {
            let ending = readable_name(ended.ending().as_str_name());
            let took = ended.took_us as f64 / MICROS_PER_SECOND;
            (&ended.tried, format!("{} answered {ending} after {took:.2} s", ended.server))
        }
        What::Stands(stands) => (&stands.tried, format!("stands at {}", stands.server)),
        What::GivenUp(given_up) => {
            let denial = readable_name(given_up.denial().as_str_name());
            (&given_up.tried, format!("given up: {denial}"))
        }
        What::HungUp(hung_up) => (&hung_up.tried, format!("caller hung up, waiting for {}", hung_up.server)),
        What::Cut(cut) => (&cut.tried, format!("cut by {}", cut.server)),
        What::Released(released) => (&released.tried, format!("released at {}", released.server)),
        _ => return None,
    };
    Some((session, step))
}
