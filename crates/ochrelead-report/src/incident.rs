//! All records of some folders on one clock, with the diagnosis.

use std::collections::BTreeMap;
use std::path::PathBuf;

use anyhow::Context;
use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::clocks::Clocks;
use ochrelead_diagnosis::diagnosis::Diagnosis;
use ochrelead_diagnosis::trouble::Trouble;
use ochrelead_records::reader::{Damage, Life, Record, read_all};
use ochrelead_records::schema::event::What;

/// A front's life as its records have it, on the common clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Stretch {
    pub life: Life,
    pub from: Moment,
    pub to: Moment,
    /// How far its clock was moved, in microseconds, and give or take how much; none where nothing ties it.
    pub moved_us: i64,
    pub bound: Option<Span>,
    pub lost: u64,
    /// Numbers of events that are missing: dropped segments, or cut out.
    pub missing: u64,
}

/// What is known of an incident.
pub struct Incident {
    /// In the order of the common clock.
    pub records: Vec<(Moment, Record)>,
    pub stretches: Vec<Stretch>,
    pub troubles: Vec<Trouble>,
    pub damage: Damage,
    pub loose: Vec<Life>,
}

impl Incident {
    /// Reads some folders.
    ///
    /// # Errors
    ///
    /// Where one can't be read.
    pub fn read(folders: &[PathBuf]) -> anyhow::Result<Incident> {
        let mut records = Vec::new();
        let names = || folders.iter().map(|own| own.display().to_string()).collect::<Vec<_>>().join(", ");
        let damage = read_all(folders, |record| records.push(record)).with_context(names)?;
        Ok(Incident::of(records, damage))
    }

    /// Puts records on one clock and diagnoses them.
    pub fn of(records: Vec<Record>, damage: Damage) -> Incident {
        let clocks = Clocks::estimate(records.iter());
        let loose = clocks.loose().into_iter().cloned().collect();
        let mut stretches: BTreeMap<Life, (Stretch, u64)> = BTreeMap::new();
        let mut ordered: Vec<(Moment, Record)> = Vec::with_capacity(records.len());
        for record in records {
            let at = Moment::from_micros(clocks.common(&record.life, record.event.at_us));
            let offset = clocks.of(&record.life);
            let (stretch, next) = stretches.entry(record.life.clone()).or_insert_with(|| {
                let (life, bound) = (record.life.clone(), offset.bound);
                let stretch =
                    Stretch { life, from: at, to: at, moved_us: offset.add, bound, lost: 0, missing: 0 };
                (stretch, record.event.nth)
            });
            stretch.to = stretch.to.max(at);
            stretch.missing += record.event.nth.saturating_sub(*next);
            *next = record.event.nth + 1;
            if let Some(What::Lost(lost)) = record.event.what {
                stretch.lost += lost;
                stretch.missing = stretch.missing.saturating_sub(lost);
            }
            ordered.push((at, record));
        }
        ordered.sort_by(|(a, one), (b, other)| {
            (a, &one.life, one.event.nth).cmp(&(b, &other.life, other.event.nth))
        });
        let mut diagnosis = Diagnosis::default();
        for (at, record) in &ordered {
            diagnosis.take(*at, &record.life, &record.event);
        }
        let stretches = stretches.into_values().map(|(stretch, _)| stretch).collect();
        Incident { records: ordered, stretches, troubles: diagnosis.troubles(), damage, loose }
    }

    /// The first and the last moment.
    pub fn span(&self) -> (Moment, Moment) {
        let first = self.records.first().map_or(Moment::START, |(at, _)| *at);
        (first, self.records.last().map_or(first, |(at, _)| *at))
    }
}
