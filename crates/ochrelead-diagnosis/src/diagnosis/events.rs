//! Updates the state of the diagnosis with each event of the log.

use ochrelead_core::time::{Moment, Span};
use ochrelead_event_log::reader::FrontIncarnation;
use ochrelead_event_log::schema::event::What;
use ochrelead_event_log::schema::{Denial, Ended, Ending, GivenUp, Invite, Stands, Taken};

use super::incident_log::{Finding, INCIDENT_MERGE_GAP};
use super::{Diagnosis, OpenCall, WINDOW};
use crate::incident::IncidentKind;
use crate::statistics::{FrontActivity, RecentEvents, SERVER_RETENTION, seconds};

/// A redial within this time after the end of the last attempt at the number is immediate: a patient caller waits
/// longer.
const IMMEDIATE_REDIAL: Span = Span::from_millis(150);
/// An attempt within this time after the end of the last attempt at the number is a redial and not new demand.
const REDIAL_WITHIN: Span = Span::from_secs(5);
/// A front that was suspended for less than this is not reported.
const MIN_STALL: Span = Span::from_millis(500);
/// Above this number of called numbers, old ends of attempts are dropped.
const MAX_ENDED_ATTEMPTS: usize = 100_000;

impl Diagnosis {
    pub(super) fn on_event(&mut self, time: Moment, front: &str, what: &What) {
        match what {
            What::Taken(taken) => self.on_attempt(time, front, taken),
            What::Invite(invite) => self.on_invite(time, invite),
            What::Stands(stands) => self.on_established(time, front, stands),
            What::Ended(ended) => self.on_invite_ended(time, front, ended),
            What::GivenUp(given_up) => self.on_rejected(time, given_up),
            What::HungUp(hung_up) => {
                if !hung_up.server.is_empty() {
                    self.server(&hung_up.server).outstanding.remove(&hung_up.tried);
                }
                self.end_attempt(&hung_up.tried, time);
                self.end_call(&hung_up.tried);
            }
            What::Cut(cut) => self.end_call(&cut.tried),
            What::Lost(_) | What::Fleet(_) => {}
            What::Released(released) => {
                self.end_call(&released.tried);
                if released.confirmed {
                    self.server(&released.server).record_heard(front, time);
                }
            }
            What::Told(told) => self.on_announcement(time, front, &told.server, &told.what),
            What::Outlook(outlook) => {
                if outlook.unheard_us > 0 {
                    let heard_at = Moment::from_micros(time.micros().saturating_sub(outlook.unheard_us));
                    self.server(&outlook.server).record_heard(front, heard_at);
                }
            }
            What::PausedUs(us) => self.on_stall(time, front, Span::from_micros(*us)),
            What::Life(phase) => {
                if phase == "stop" || phase == "drain" {
                    self.fronts.entry(front.to_owned()).or_default().has_left = true;
                }
            }
        }
    }

    fn on_attempt(&mut self, time: Moment, front: &str, taken: &Taken) {
        self.attempts.record(time, ());
        let called = taken.called.clone();
        let since_last = self.last_attempt_ended.get(&called).map(|ended_at| time.since(*ended_at));
        if since_last.is_some_and(|since| since < IMMEDIATE_REDIAL) {
            self.immediate_redials.record(time, taken.member);
        }
        if since_last.is_none_or(|since| since >= REDIAL_WITHIN) {
            self.first_demand_at.get_or_insert(time);
            self.new_demand.record(time, ());
        }
        *self.open_calls_by_number.entry(called.clone()).or_insert(0) += 1;
        let call = OpenCall { front: front.to_owned(), called: called.clone() };
        self.open_calls.insert(taken.tried.clone(), call);
        self.pending_attempts.insert(taken.tried.clone(), called);
    }

    fn on_invite(&mut self, time: Moment, invite: &Invite) {
        let server = self.server(&invite.server);
        server.outstanding.insert(invite.tried.clone(), time);
        server.invites.record(time, ());
        server.first_invite_at.get_or_insert(time);
    }

    fn on_established(&mut self, time: Moment, front: &str, stands: &Stands) {
        let server = self.server(&stands.server);
        server.outstanding.remove(&stands.tried);
        server.answers.record(time, Span::from_micros(stands.took_us));
        server.record_heard(front, time);
        self.pending_attempts.remove(&stands.tried);
    }

    fn on_invite_ended(&mut self, time: Moment, front: &str, ended: &Ended) {
        let is_unanswered =
            matches!(ended.ending(), Ending::TimedOut | Ending::Cancelled | Ending::Unsent | Ending::Reset);
        let server = self.server(&ended.server);
        server.outstanding.remove(&ended.tried);
        if !is_unanswered {
            server.record_heard(front, time);
        }
        if ended.ending() == Ending::LinesBusy {
            self.record_busy_number(time, &ended.tried);
        }
    }

    fn on_rejected(&mut self, time: Moment, given_up: &GivenUp) {
        if matches!(given_up.denial(), Denial::NoRoom | Denial::NoToken) {
            self.rejections.record(time, ());
        }
        if given_up.denial() == Denial::NumberBusy {
            self.record_busy_number(time, &given_up.tried);
        }
        self.end_attempt(&given_up.tried, time);
        self.end_call(&given_up.tried);
    }

    fn record_busy_number(&mut self, time: Moment, attempt: &str) {
        if let Some(called) = self.pending_attempts.get(attempt) {
            self.busy_numbers.record(time, called.clone());
        }
    }

    fn on_stall(&mut self, time: Moment, front: &str, duration: Span) {
        if duration < MIN_STALL {
            return;
        }
        let finding = Finding {
            kind: IncidentKind::FrontStalled,
            subject: front,
            onset: Moment::from_micros(time.micros().saturating_sub(duration.micros())),
            confidence: 1.0,
            evidence: format!("it came {:.1} s too late for its turn", seconds(duration)),
        };
        self.incidents.record_ended(finding, time);
    }

    fn end_attempt(&mut self, attempt: &str, time: Moment) {
        if let Some(called) = self.pending_attempts.remove(attempt) {
            self.last_attempt_ended.insert(called, time);
        }
        if self.last_attempt_ended.len() > MAX_ENDED_ATTEMPTS {
            self.last_attempt_ended.retain(|_, ended_at| time.since(*ended_at) < WINDOW);
        }
    }

    fn end_call(&mut self, attempt: &str) {
        if let Some(call) = self.open_calls.remove(attempt)
            && let Some(open) = self.open_calls_by_number.get_mut(&call.called)
        {
            *open -= 1;
            if *open == 0 {
                self.open_calls_by_number.remove(&call.called);
            }
        }
    }

    /// Ends the open calls of a front whose process has ended: its log does not record their end.
    pub(super) fn end_calls_of(&mut self, front: &str) {
        let calls = self.open_calls.iter().filter(|(_, call)| call.front == front);
        let attempts: Vec<String> = calls.map(|(attempt, _)| attempt.clone()).collect();
        for attempt in attempts {
            self.pending_attempts.remove(&attempt);
            self.end_call(&attempt);
        }
    }

    /// Updates the activity of the front that wrote a record. Detects a restart by the new incarnation.
    pub(super) fn on_record(&mut self, time: Moment, incarnation: &FrontIncarnation) {
        let name = incarnation.front.as_str();
        let front = self.fronts.entry(name.to_owned()).or_default();
        if front.started_us == incarnation.started_us {
            front.last_record_at = front.last_record_at.max(time);
            // The same incarnation writes again: its records were missing, but it had not ended.
            self.incidents.withdraw(IncidentKind::FrontKilled, name);
            return;
        }
        let previous = std::mem::replace(
            front,
            FrontActivity { started_us: incarnation.started_us, last_record_at: time, has_left: false },
        );
        for server in self.servers.values_mut() {
            server.last_heard_by.remove(name);
        }
        if previous.started_us == 0 {
            return;
        }
        self.end_calls_of(name);
        if !previous.has_left {
            self.incidents.withdraw(IncidentKind::FrontKilled, name);
            let finding = Finding {
                kind: IncidentKind::FrontKilled,
                subject: name,
                onset: previous.last_record_at,
                confidence: 1.0,
                evidence: "its records end without a word and begin anew".to_owned(),
            };
            self.incidents.record_ended(finding, time);
        }
    }

    fn on_announcement(&mut self, time: Moment, front: &str, name: &str, what: &str) {
        let server = self.server(name);
        let (last_heard_at, draining_since) = (server.last_heard_at, server.draining_since);
        match what {
            "drains" => {
                server.draining_since.get_or_insert(time);
            }
            "started" => {
                server.draining_since = None;
                server.outstanding.clear();
                server.answers = RecentEvents::new(SERVER_RETENTION);
                server.started_at = Some(time);
                self.on_server_started(time, name, last_heard_at, draining_since);
            }
            _ => {}
        }
        self.server(name).record_heard(front, time);
    }

    /// Reports a restart of a server. It replaces an open report of silence, which the restart explains.
    fn on_server_started(
        &mut self,
        time: Moment,
        name: &str,
        last_heard_at: Option<Moment>,
        draining_since: Option<Moment>,
    ) {
        let silence = self.incidents.withdraw(IncidentKind::Silent, name);
        // Another front's record of the same announcement has been reported already.
        let last_ends =
            [IncidentKind::Crashed, IncidentKind::Replaced].map(|kind| self.incidents.last_end(kind, name));
        if last_ends.into_iter().flatten().any(|end| time.since(end) < INCIDENT_MERGE_GAP) {
            return;
        }
        let silent_since = silence.map(|incident| incident.onset).or(last_heard_at).unwrap_or(time);
        let (kind, onset, evidence) = match draining_since {
            Some(onset) => (IncidentKind::Replaced, onset, "it said that it drains, then that it started"),
            None => (IncidentKind::Crashed, silent_since, "it said that it started, and nothing before"),
        };
        let finding = Finding { kind, subject: name, onset, confidence: 1.0, evidence: evidence.to_owned() };
        self.incidents.record_ended(finding, time);
    }
}
