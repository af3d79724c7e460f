//! What is plotted, in fixed stretches of time.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use ochrelead_core::time::{Moment, Span};
use ochrelead_event_log::reader::Record;
use ochrelead_event_log::schema::{Choice, Denial, Ending, event::What};

/// The most stretches of a plot.
const MOST: u64 = 240;
/// A try whose end is not in the records is forgotten after this.
const HELD: Span = Span::from_secs(600);

/// A server's course.
#[derive(Clone, Debug, Default)]
pub struct Course {
    pub invites: Vec<f64>,
    pub drawn: Vec<f64>,
    /// The middle answer time of a stretch, in seconds; none where none came.
    pub answers: Vec<Option<f64>>,
    /// The in-flight limit, on the mean of all fronts.
    pub limit: Vec<Option<f64>>,
}

/// All courses, by server, and the whole.
#[derive(Clone, Debug, Default)]
pub struct Series {
    pub stretch: Span,
    pub from: Moment,
    pub servers: BTreeMap<String, Course>,
    pub tried: Vec<f64>,
    pub stood: Vec<f64>,
    pub given_up: Vec<f64>,
    pub denials: BTreeMap<&'static str, u64>,
    pub endings: BTreeMap<&'static str, u64>,
    pub payments: BTreeMap<&'static str, u64>,
    /// Tries and those that stood, by service and by member (0 is none).
    pub services: BTreeMap<u32, (u64, u64)>,
    pub members: BTreeMap<u32, (u64, u64)>,
    /// The stretch under way, and what came in it.
    at: usize,
    within: BTreeMap<String, Within>,
    /// Service, member and stretch of tries under way.
    tries: BTreeMap<String, (u32, u32, usize)>,
}

/// A server in one stretch: memory is the same for a second and for an hour.
#[derive(Clone, Debug, Default)]
struct Within {
    answers: Option<Histogram<u64>>,
    /// Sum and count of the fronts' limits.
    limit: (f64, f64),
}

impl Series {
    /// For records of that time.
    pub fn over(from: Moment, to: Moment) -> Series {
        let stretch = (to.since(from) / MOST).max(Span::from_millis(250));
        let count = (to.since(from).micros() / stretch.micros().max(1) + 1) as usize;
        let empty = || vec![0.0; count];
        Series { stretch, from, tried: empty(), stood: empty(), given_up: empty(), ..Series::default() }
    }

    /// A record, in the order of the common clock.
    pub fn take(&mut self, at: Moment, record: &Record) {
        let nth = (at.since(self.from).micros() / self.stretch.micros().max(1)) as usize;
        let nth = nth.min(self.tried.len().saturating_sub(1));
        if nth != self.at {
            self.close_stretch();
            self.at = nth;
        }
        let Some(what) = &record.event.what else { return };
        match what {
            What::Taken(taken) => {
                self.tried[nth] += 1.0;
                self.tries.insert(taken.tried.clone(), (taken.service, taken.member, nth));
                self.services.entry(taken.service).or_default().0 += 1;
                self.members.entry(taken.member).or_default().0 += 1;
            }
            What::Invite(invite) => {
                let course = self.server(&invite.server);
                course.invites[nth] += 1.0;
                course.drawn[nth] += f64::from(u8::from(invite.choice() == Choice::Drawn));
                if invite.nth > 1 {
                    *self.payments.entry(invite.payment().as_str_name()).or_insert(0) += 1;
                }
            }
            What::Stands(stands) => {
                self.stood[nth] += 1.0;
                let within = self.within.entry(stands.server.clone()).or_default();
                within.answers.get_or_insert_with(histogram).saturating_record(stands.took_us.max(1));
                if let Some((service, member, _)) = self.tries.remove(&stands.tried) {
                    self.services.entry(service).or_default().1 += 1;
                    self.members.entry(member).or_default().1 += 1;
                }
            }
            What::Ended(ended) => {
                let name = Ending::try_from(ended.ending).map_or("UNKNOWN", |own| own.as_str_name());
                *self.endings.entry(name).or_insert(0) += 1;
            }
            What::GivenUp(given_up) => {
                self.given_up[nth] += 1.0;
                self.tries.remove(&given_up.tried);
                let name = Denial::try_from(given_up.denial).map_or("UNKNOWN", |own| own.as_str_name());
                *self.denials.entry(name).or_insert(0) += 1;
            }
            What::HungUp(hung_up) => {
                self.tries.remove(&hung_up.tried);
            }
            What::Outlook(outlook) => {
                self.server(&outlook.server);
                let within = self.within.entry(outlook.server.clone()).or_default();
                within.limit = (within.limit.0 + outlook.limit, within.limit.1 + 1.0);
            }
            _ => {}
        }
    }

    /// The last stretch is over too.
    pub fn finish(&mut self) {
        self.close_stretch();
        self.tries.clear();
    }

    fn close_stretch(&mut self) {
        let nth = self.at;
        for (server, own) in std::mem::take(&mut self.within) {
            let course = self.server(&server);
            let middle = own.answers.map(|answers| answers.value_at_quantile(0.5) as f64 / 1e6);
            course.answers[nth] = middle.or(course.answers[nth]);
            if own.limit.1 > 0.0 {
                course.limit[nth] = Some(own.limit.0 / own.limit.1);
            }
        }
        // Tries that a killed front held have no end in the records.
        let (longest, stretch) = (HELD.micros(), self.stretch.micros().max(1));
        self.tries.retain(|_, (.., taken)| (nth.saturating_sub(*taken)) as u64 * stretch <= longest);
    }

    fn server(&mut self, name: &str) -> &mut Course {
        let count = self.tried.len();
        if !self.servers.contains_key(name) {
            let course = Course {
                invites: vec![0.0; count],
                drawn: vec![0.0; count],
                answers: vec![None; count],
                limit: vec![None; count],
            };
            self.servers.insert(name.to_owned(), course);
        }
        self.servers.get_mut(name).expect("it was put in just now")
    }
}

/// Answer times in microseconds, to three digits, up to ten minutes.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("these bounds are valid")
}
