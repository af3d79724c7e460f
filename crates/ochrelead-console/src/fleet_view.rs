//! The current state of the fleet, updated by records as they arrive.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::diagnosis::Diagnosis;
use ochrelead_diagnosis::incident::Incident;
use ochrelead_event_log::reader::Record;
use ochrelead_event_log::schema::event::What;

use crate::rate_series::RateSeries;
use crate::record_queue::{RecordQueue, TimedRecord};
use crate::server_view::ServerView;
use crate::session_steps::SessionSteps;

/// A front that has written no record for this time counts as gone, and its reports are ignored.
pub const FRONT_TIMEOUT: Span = Span::from_secs(3);

const MICROS_PER_SECOND: u64 = 1_000_000;

/// The current state of the fleet.
#[derive(Default)]
pub struct FleetView {
    queue: RecordQueue,
    now: Moment,
    current_second: u64,
    diagnosis: Diagnosis,
    servers: BTreeMap<String, ServerView>,
    /// The time of each front's last record.
    fronts: BTreeMap<String, Moment>,
    accepted: RateSeries,
    established: RateSeries,
    rejected: RateSeries,
    session_steps: SessionSteps,
}

impl FleetView {
    /// Queues a record. [`FleetView::process`] applies it once its order among the records of other fronts is
    /// settled.
    pub fn handle_record(&mut self, record: Record) {
        self.queue.push(record);
    }

    /// Applies all records whose order is settled. `idle` is the time since the last record arrived; the common clock
    /// advances by it.
    pub fn process(&mut self, idle: Span) {
        let until = self.queue.settled_until(idle);
        while let Some(record) = self.queue.pop_until(until) {
            self.advance_to(record.time);
            self.diagnosis.handle_event(record.time, &record.incarnation, &record.event);
            self.apply(&record);
        }
        if until > Moment::START {
            self.advance_to(until);
            self.diagnosis.advance_to(self.now);
        }
        self.evaluate_servers();
    }

    /// The time on the common clock up to which all records are applied.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// All servers, by name.
    pub fn servers(&self) -> &BTreeMap<String, ServerView> {
        &self.servers
    }

    /// The number of fronts that have written a record.
    pub fn front_count(&self) -> usize {
        self.fronts.len()
    }

    /// The number of fronts that have written a record within [`FRONT_TIMEOUT`].
    pub fn active_front_count(&self) -> usize {
        self.fronts.values().filter(|last_write| self.now.since(**last_write) < FRONT_TIMEOUT).count()
    }

    /// The number of accepted sessions per second.
    pub fn accepted(&self) -> &RateSeries {
        &self.accepted
    }

    /// The number of established sessions per second.
    pub fn established(&self) -> &RateSeries {
        &self.established
    }

    /// The number of rejected sessions per second.
    pub fn rejected(&self) -> &RateSeries {
        &self.rejected
    }

    /// Ongoing incidents, the oldest first.
    pub fn ongoing_incidents(&self) -> Vec<Incident> {
        self.diagnosis.incidents().into_iter().filter(|incident| incident.end.is_none()).collect()
    }

    /// Past incidents, the newest first.
    pub fn past_incidents(&self) -> Vec<Incident> {
        let incidents = self.diagnosis.incidents().into_iter().rev();
        incidents.filter(|incident| incident.end.is_some()).collect()
    }

    /// Lists the steps of the newest sessions that involve `subject`, a server or a session. One line per step.
    pub fn describe_sessions(&self, subject: &str) -> Vec<String> {
        self.session_steps.describe(subject, self.now)
    }

    fn advance_to(&mut self, time: Moment) {
        self.now = self.now.max(time);
        let second = self.now.micros() / MICROS_PER_SECOND;
        let mut series = [&mut self.accepted, &mut self.established, &mut self.rejected];
        if self.current_second == 0 {
            self.current_second = second;
            series.iter_mut().for_each(|counts| counts.begin_second());
        }
        let passed = second - self.current_second;
        series.into_iter().for_each(|counts| counts.advance(passed));
        self.servers.values_mut().for_each(|server| server.advance(passed));
        self.current_second = second;
    }

    fn apply(&mut self, record: &TimedRecord) {
        let front = record.incarnation.front.as_str();
        self.fronts.insert(front.to_owned(), record.time);
        let Some(what) = &record.event.what else { return };
        self.count(what);
        match what {
            What::Invite(invite) => self.server(&invite.server).on_invite(),
            What::Outlook(outlook) => self.server(&outlook.server).on_report(record.time, front, outlook),
            _ => {}
        }
        if let Some((session, step)) = describe_step(what) {
            self.session_steps.push(session, record.time, format!("{front}: {step}"));
        }
    }

    fn count(&mut self, what: &What) {
        match what {
            What::Taken(_) => self.accepted.increment(),
            What::Stands(_) => self.established.increment(),
            What::GivenUp(_) => self.rejected.increment(),
            _ => {}
        }
    }

    fn server(&mut self, name: &str) -> &mut ServerView {
        self.servers.entry(name.to_owned()).or_default()
    }

    fn evaluate_servers(&mut self) {
        let incidents = self.ongoing_incidents();
        for (name, server) in &mut self.servers {
            let incident = incidents.iter().find(|incident| incident.subject == *name);
            server.evaluate(self.now, incident);
        }
    }
}

/// The session of an event and a description of the step; `None` if the event belongs to no session.
fn describe_step(what: &What) -> Option<(&str, String)> {
    let (session, step) = match what {
        What::Taken(taken) => (&taken.tried, format!("taken, to {}", taken.called)),
        What::Invite(invite) => (&invite.tried, format!("INVITE {} to {}", invite.nth, invite.server)),
        What::Stands(stands) => (&stands.tried, format!("stands at {}", stands.server)),
        What::Ended(ended) => {
            let ending = ended.ending().as_str_name().to_lowercase();
            (&ended.tried, format!("{} answered {ending}", ended.server))
        }
        What::GivenUp(given_up) => {
            let denial = given_up.denial().as_str_name().to_lowercase();
            (&given_up.tried, format!("given up: {denial}"))
        }
        What::HungUp(hung_up) => (&hung_up.tried, "caller hung up".to_owned()),
        _ => return None,
    };
    Some((session, step))
}
