//! The latest steps of all sessions. A step is an event of a session, for example an INVITE or its answer.

use std::collections::VecDeque;

use ochrelead_core::time::{Moment, Span};

/// The maximum number of steps that are kept.
const STEPS_KEPT: usize = 4_000;
/// The number of newest steps whose sessions are shown.
const STEPS_SHOWN: usize = 8;

#[derive(Clone, Debug)]
struct SessionStep {
    session: String,
    time: Moment,
    description: String,
}

/// The latest steps of all sessions, in the order of time.
#[derive(Clone, Debug, Default)]
pub struct SessionSteps {
    steps: VecDeque<SessionStep>,
}

impl SessionSteps {
    /// Adds a step, and drops the oldest one if there are more than `STEPS_KEPT`.
    pub(crate) fn push(&mut self, session: &str, time: Moment, description: String) {
        self.steps.push_back(SessionStep { session: session.to_owned(), time, description });
        if self.steps.len() > STEPS_KEPT {
            self.steps.pop_front();
        }
    }

    /// Lists the steps of the newest sessions that involve `subject`, a server or a session. One line per step.
    pub fn describe(&self, subject: &str, now: Moment) -> Vec<String> {
        let involves_subject =
            |step: &&SessionStep| step.session == subject || step.description.contains(subject);
        let newest: Vec<&str> = self
            .steps
            .iter()
            .rev()
            .filter(involves_subject)
            .take(STEPS_SHOWN)
            .map(|step| step.session.as_str())
            .collect();
        let shown = self.steps.iter().filter(|step| newest.contains(&step.session.as_str()));
        shown.map(|step| step.describe(now)).collect()
    }
}

impl SessionStep {
    fn describe(&self, now: Moment) -> String {
        let age = now.since(self.time).ratio(Span::from_secs(1));
        format!("{age:.2} s ago  {}  {}", self.session, self.description)
    }
}
