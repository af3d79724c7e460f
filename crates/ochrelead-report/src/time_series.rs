//! Counts and answer times per interval, for the plots, and totals over all intervals, for the tables.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use ochrelead_core::time::{Moment, Span};
use ochrelead_event_log::reader::Record;
use ochrelead_event_log::schema::{
    Denial, Ended, Ending, GivenUp, Invite, Outlook, Stands, Taken, event::What,
};

/// The maximum number of intervals.
const MAX_INTERVALS: u64 = 240;
/// The shortest interval.
const MIN_INTERVAL: Span = Span::from_millis(250);
/// A session without an end in the records is dropped after this time.
const SESSION_TIMEOUT: Span = Span::from_secs(600);
/// The largest value of the answer time histogram, in microseconds. Longer answer times count as this value.
const MAX_ANSWER_TIME_US: u64 = 600_000_000;
/// The significant digits of the answer time histogram.
const ANSWER_TIME_DIGITS: u8 = 3;

const MICROS_PER_SECOND: f64 = 1e6;

/// The series of one server, with a value per interval.
#[derive(Clone, Debug, Default)]
pub struct ServerSeries {
    /// The number of INVITEs sent to the server.
    pub invites: Vec<f64>,
    /// The median answer time, in seconds; `None` without an answer.
    pub answers: Vec<Option<f64>>,
    /// The in-flight limit, averaged over the reports of all fronts; `None` without a report.
    pub limit: Vec<Option<f64>>,
}

impl ServerSeries {
    fn with_intervals(count: usize) -> ServerSeries {
        ServerSeries { invites: vec![0.0; count], answers: vec![None; count], limit: vec![None; count] }
    }
}

/// Numbers of sessions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionCounts {
    /// The number of accepted sessions.
    pub accepted: u64,
    /// The number of accepted sessions that were established.
    pub established: u64,
}

/// The series of all servers, and the totals.
#[derive(Clone, Debug, Default)]
pub struct TimeSeries {
    /// The length of an interval.
    pub interval: Span,
    /// The start of the first interval.
    pub from: Moment,
    /// The series of each server.
    pub servers: BTreeMap<String, ServerSeries>,
    /// The total of sessions.
    pub sessions: SessionCounts,
    /// The number of rejected sessions, by cause.
    pub rejections: BTreeMap<&'static str, u64>,
    /// The number of failed INVITEs, by outcome.
    pub invite_failures: BTreeMap<&'static str, u64>,
    /// The number of re-sends, by the kind of their retry budget grant.
    pub resend_grants: BTreeMap<&'static str, u64>,
    /// Sessions by service.
    pub services: BTreeMap<u32, SessionCounts>,
    /// Sessions by tenant; 0 counts sessions without a tenant.
    pub tenants: BTreeMap<u32, SessionCounts>,
    interval_count: usize,
    current_interval: usize,
    samples: BTreeMap<String, ServerSamples>,
    open_sessions: BTreeMap<String, OpenSession>,
}

/// The samples of a server in the current interval. The histogram keeps memory independent of the interval's length.
#[derive(Clone, Debug, Default)]
struct ServerSamples {
    answers: Option<Histogram<u64>>,
    limit_sum: f64,
    limit_count: f64,
}

/// A session without an end so far.
#[derive(Clone, Debug)]
struct OpenSession {
    service: u32,
    tenant: u32,
    interval: usize,
}

impl TimeSeries {
    /// Creates empty series for records between `from` and `to`.
    pub fn over(from: Moment, to: Moment) -> TimeSeries {
        let length = to.since(from);
        let interval = (length / MAX_INTERVALS).max(MIN_INTERVAL);
        let interval_count = (length.micros() / interval.micros() + 1) as usize;
        TimeSeries { interval, from, interval_count, ..TimeSeries::default() }
    }

    /// Adds a record. Records must come in the order of the common clock.
    pub fn handle_record(&mut self, time: Moment, record: &Record) {
        self.advance_to(time);
        let Some(what) = &record.event.what else { return };
        match what {
            What::Taken(taken) => self.on_taken(taken),
            What::Invite(invite) => self.on_invite(invite),
            What::Stands(stands) => self.on_stands(stands),
            What::Ended(ended) => self.on_ended(ended),
            What::GivenUp(given_up) => self.on_given_up(given_up),
            What::HungUp(hung_up) => {
                self.open_sessions.remove(&hung_up.tried);
            }
            What::Outlook(outlook) => self.on_server_report(outlook),
            _ => {}
        }
    }

    /// Closes the last interval. Call this after the last record.
    pub fn finish(&mut self) {
        self.close_interval();
        self.open_sessions.clear();
    }

    fn advance_to(&mut self, time: Moment) {
        let interval = (time.since(self.from).micros() / self.interval.micros().max(1)) as usize;
        let interval = interval.min(self.interval_count.saturating_sub(1));
        if interval != self.current_interval {
            self.close_interval();
            self.current_interval = interval;
        }
    }

    fn on_taken(&mut self, taken: &Taken) {
        let session =
            OpenSession { service: taken.service, tenant: taken.member, interval: self.current_interval };
        self.open_sessions.insert(taken.tried.clone(), session);
        self.sessions.accepted += 1;
        self.services.entry(taken.service).or_default().accepted += 1;
        self.tenants.entry(taken.member).or_default().accepted += 1;
    }

    fn on_invite(&mut self, invite: &Invite) {
        let interval = self.current_interval;
        self.server(&invite.server).invites[interval] += 1.0;
        let is_resend = invite.nth > 1;
        if is_resend {
            *self.resend_grants.entry(invite.payment().as_str_name()).or_default() += 1;
        }
    }

    fn on_stands(&mut self, stands: &Stands) {
        self.sessions.established += 1;
        let samples = self.samples.entry(stands.server.clone()).or_default();
        samples.answers.get_or_insert_with(answer_histogram).saturating_record(stands.took_us.max(1));
        if let Some(session) = self.open_sessions.remove(&stands.tried) {
            self.services.entry(session.service).or_default().established += 1;
            self.tenants.entry(session.tenant).or_default().established += 1;
        }
    }

    fn on_ended(&mut self, ended: &Ended) {
        let name = Ending::try_from(ended.ending).map_or("UNKNOWN", |ending| ending.as_str_name());
        *self.invite_failures.entry(name).or_default() += 1;
    }

    fn on_given_up(&mut self, given_up: &GivenUp) {
        self.open_sessions.remove(&given_up.tried);
        let name = Denial::try_from(given_up.denial).map_or("UNKNOWN", |denial| denial.as_str_name());
        *self.rejections.entry(name).or_default() += 1;
    }

    fn on_server_report(&mut self, report: &Outlook) {
        self.server(&report.server);
        let samples = self.samples.entry(report.server.clone()).or_default();
        samples.limit_sum += report.limit;
        samples.limit_count += 1.0;
    }

    fn close_interval(&mut self) {
        let interval = self.current_interval;
        for (server, samples) in std::mem::take(&mut self.samples) {
            let series = self.server(&server);
            if let Some(answers) = samples.answers {
                series.answers[interval] = Some(answers.value_at_quantile(0.5) as f64 / MICROS_PER_SECOND);
            }
            if samples.limit_count > 0.0 {
                series.limit[interval] = Some(samples.limit_sum / samples.limit_count);
            }
        }
        self.drop_old_sessions();
    }

    /// Drops old sessions: those of a killed front have no end in the records.
    fn drop_old_sessions(&mut self) {
        let current = self.current_interval;
        let interval_us = self.interval.micros().max(1);
        self.open_sessions.retain(|_, session| {
            let age_us = current.saturating_sub(session.interval) as u64 * interval_us;
            age_us <= SESSION_TIMEOUT.micros()
        });
    }

    fn server(&mut self, name: &str) -> &mut ServerSeries {
        let count = self.interval_count;
        self.servers.entry(name.to_owned()).or_insert_with(|| ServerSeries::with_intervals(count))
    }
}

/// An empty histogram of answer times in microseconds.
fn answer_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_ANSWER_TIME_US, ANSWER_TIME_DIGITS).expect("these bounds are valid")
}
