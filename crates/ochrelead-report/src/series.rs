//! What is plotted, in fixed stretches of time.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_records::schema::{Choice, Denial, Ending, event::What};

use crate::incident::Incident;

/// The most stretches of a plot.
const MOST: u64 = 240;

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
}

pub fn of(incident: &Incident) -> Series {
    let (from, to) = incident.span();
    let stretch = (to.since(from) / MOST).max(Span::from_millis(250));
    let count = (to.since(from).micros() / stretch.micros().max(1) + 1) as usize;
    let mut series = Series { stretch, from, ..Series::default() };
    (series.tried, series.stood, series.given_up) = (vec![0.0; count], vec![0.0; count], vec![0.0; count]);
    let mut times: BTreeMap<(String, usize), Vec<f64>> = BTreeMap::new();
    let mut limits: BTreeMap<(String, usize), (f64, f64)> = BTreeMap::new();
    let mut tries: BTreeMap<String, (u32, u32)> = BTreeMap::new();
    for (at, record) in &incident.records {
        let nth = (at.since(from).micros() / stretch.micros().max(1)) as usize;
        let Some(what) = &record.event.what else { continue };
        match what {
            What::Taken(taken) => {
                series.tried[nth] += 1.0;
                tries.insert(taken.tried.clone(), (taken.service, taken.member));
                series.services.entry(taken.service).or_default().0 += 1;
                series.members.entry(taken.member).or_default().0 += 1;
            }
            What::Invite(invite) => {
                let course = series.server(&invite.server, count);
                course.invites[nth] += 1.0;
                course.drawn[nth] += f64::from(u8::from(invite.choice() == Choice::Drawn));
                if invite.nth > 1 {
                    *series.payments.entry(invite.payment().as_str_name()).or_insert(0) += 1;
                }
            }
            What::Stands(stands) => {
                series.stood[nth] += 1.0;
                times.entry((stands.server.clone(), nth)).or_default().push(stands.took_us as f64 / 1e6);
                if let Some((service, member)) = tries.remove(&stands.tried) {
                    series.services.entry(service).or_default().1 += 1;
                    series.members.entry(member).or_default().1 += 1;
                }
            }
            What::Ended(ended) => {
                let name = Ending::try_from(ended.ending).map_or("UNKNOWN", |own| own.as_str_name());
                *series.endings.entry(name).or_insert(0) += 1;
            }
            What::GivenUp(given_up) => {
                series.given_up[nth] += 1.0;
                tries.remove(&given_up.tried);
                let name = Denial::try_from(given_up.denial).map_or("UNKNOWN", |own| own.as_str_name());
                *series.denials.entry(name).or_insert(0) += 1;
            }
            What::HungUp(hung_up) => {
                tries.remove(&hung_up.tried);
            }
            What::Outlook(outlook) => {
                series.server(&outlook.server, count);
                let own = limits.entry((outlook.server.clone(), nth)).or_default();
                *own = (own.0 + outlook.limit, own.1 + 1.0);
            }
            _ => {}
        }
    }
    for ((server, nth), mut own) in times {
        own.sort_by(f64::total_cmp);
        series.server(&server, count).answers[nth] = Some(own[own.len() / 2]);
    }
    for ((server, nth), (sum, count_of)) in limits {
        series.server(&server, count).limit[nth] = Some(sum / count_of);
    }
    series
}

impl Series {
    fn server(&mut self, name: &str, count: usize) -> &mut Course {
        self.servers.entry(name.to_owned()).or_insert_with(|| Course {
            invites: vec![0.0; count],
            drawn: vec![0.0; count],
            answers: vec![None; count],
            limit: vec![None; count],
        })
    }
}
