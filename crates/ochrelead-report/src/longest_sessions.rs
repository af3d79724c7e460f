//! Traces of the sessions whose callers waited longest.

use ochrelead_core::time::{Moment, Span};
use ochrelead_event_log::reader::Record;
use ochrelead_event_log::schema::event::What;

use crate::readable_name;

/// The number of sessions that are traced.
const MAX_SESSIONS: usize = 5;
/// The maximum number of steps in a trace. Later steps are dropped.
const MAX_STEPS: usize = 60;

const MICROS_PER_SECOND: f64 = 1e6;

/// A step of a session.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceStep {
    /// The time of the step on the common clock.
    pub time: Moment,
    /// The front and the event there.
    pub description: String,
}

/// The steps of one session.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionTrace {
    /// The session's identifier.
    pub session: String,
    /// The time from the set-up request until the call was established or the caller hung up.
    pub waited: Span,
    /// The steps in the order of time.
    pub steps: Vec<TraceStep>,
}

/// Selects the sessions with the longest waits in one pass over the records and collects their steps in a second
/// pass.
#[derive(Clone, Debug, Default)]
pub struct LongestSessions {
    traces: Vec<SessionTrace>,
}

impl LongestSessions {
    /// First pass: selects the session of a record that ends its wait, if the wait is among the longest so far.
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

    /// Whether no session is selected.
    pub fn is_empty(&self) -> bool {
        self.traces.is_empty()
    }

    /// Second pass: adds the record to the trace of its session, if that is selected.
    pub fn collect_step(&mut self, time: Moment, record: &Record) {
        let Some((session, step)) = record.event.what.as_ref().and_then(describe_step) else { return };
        for trace in &mut self.traces {
            if trace.session == session && trace.steps.len() < MAX_STEPS {
                let description = format!("{}: {step}", record.incarnation.front);
                trace.steps.push(TraceStep { time, description });
            }
        }
    }

    /// The traces by descending wait.
    pub fn into_traces(self) -> Vec<SessionTrace> {
        self.traces
    }
}

/// The session of an event and a description of the step; `None` if the event belongs to no session.
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
