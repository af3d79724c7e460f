//! All records of some folders on one clock, with the diagnosis. They are read three times, piece by piece: what
//! ties the clocks, what happened, and the steps of the sessions that are told. None is kept.

use std::collections::BTreeMap;
use std::path::PathBuf;

use anyhow::Context;
use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::clocks::{Clocks, Ties};
use ochrelead_diagnosis::diagnosis::Diagnosis;
use ochrelead_diagnosis::trouble::Trouble;
use ochrelead_event_log::reader::{Damage, FrontIncarnation, Log, Record, open_logs};
use ochrelead_event_log::schema::event::What;

use crate::merged::Merged;
use crate::series::Series;
use crate::story::{Stories, Story};

/// A front's life as its records have it, on the common clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Stretch {
    pub life: FrontIncarnation,
    pub from: Moment,
    pub to: Moment,
    /// How far its clock was moved, in microseconds, and give or take how much; none where nothing ties it.
    pub moved_us: i64,
    pub bound: Option<Span>,
    /// Microseconds that its clock was found to gain in a second, and how often it was set.
    pub gains_us: f64,
    pub steps: usize,
    pub lost: u64,
    /// Numbers of events that are missing: dropped segments, or cut out.
    pub missing: u64,
}

/// What is known of an incident.
pub struct Incident {
    pub from: Moment,
    pub to: Moment,
    pub events: u64,
    pub stretches: Vec<Stretch>,
    pub troubles: Vec<Trouble>,
    pub series: Series,
    pub stories: Vec<Story>,
    pub damage: Damage,
    pub loose: Vec<FrontIncarnation>,
}

impl Incident {
    /// Reads some folders.
    ///
    /// # Errors
    ///
    /// Where one can't be read.
    pub fn read(folders: &[PathBuf]) -> anyhow::Result<Incident> {
        let mut all = Vec::new();
        let mut damage = Damage::default();
        for folder in folders {
            let (own, foreign) = open_logs(folder).with_context(|| folder.display().to_string())?;
            all.extend(own);
            damage.merge(&foreign);
        }
        Ok(Incident::of(&all, damage))
    }

    /// Of logs, with what was already found damaged about them.
    pub fn of(logs: &[Log], mut damage: Damage) -> Incident {
        let (clocks, mut lives) = survey(logs);
        let reached = |stretch: &Stretch| (stretch.from, stretch.to);
        let from = lives.values().map(|own| reached(own).0).min().unwrap_or(Moment::START);
        let to = lives.values().map(|own| reached(own).1).max().unwrap_or(from);
        let (mut series, mut stories) = (Series::over(from, to), Stories::default());
        let mut diagnosis = Diagnosis::default();
        let mut events = 0;
        let mut merged = Merged::new(logs.to_vec(), &clocks);
        for (at, record) in merged.by_ref() {
            events += 1;
            diagnosis.take(at, &record.incarnation, &record.event);
            series.take(at, &record);
            stories.weigh(&record);
        }
        damage.merge(merged.damage());
        series.finish();
        if stories.are_any() {
            Merged::new(logs.to_vec(), &clocks).for_each(|(at, record)| stories.take(at, &record));
        }
        let stretches: Vec<Stretch> = std::mem::take(&mut lives).into_values().collect();
        let (troubles, loose) = (diagnosis.troubles(), clocks.loose().to_vec());
        Incident { from, to, events, stretches, troubles, series, stories: stories.told(), damage, loose }
    }

    /// The first and the last moment.
    pub fn span(&self) -> (Moment, Moment) {
        (self.from, self.to)
    }
}

/// The clocks, and what there is of each life.
pub fn survey(logs: &[Log]) -> (Clocks, BTreeMap<FrontIncarnation, Stretch>) {
    let mut ties = Ties::default();
    let mut ends: BTreeMap<FrontIncarnation, (Record, Record, u64, u64)> = BTreeMap::new();
    for log in logs {
        for record in log.clone() {
            ties.take(&record.incarnation, &record.event);
            let held = ends.entry(record.incarnation.clone());
            let (_, last, lost, missing) = held.or_insert_with(|| (record.clone(), record.clone(), 0, 0));
            *missing += record.event.nth.saturating_sub(last.event.nth + 1);
            if let Some(What::Lost(own)) = record.event.what {
                *lost += own;
                *missing = missing.saturating_sub(own);
            }
            *last = record;
        }
    }
    let clocks = ties.settle();
    let at = |record: &Record| Moment::from_micros(clocks.common(&record.incarnation, &record.event));
    let mut stretches = BTreeMap::new();
    for (life, (first, last, lost, missing)) in ends {
        let offset = clocks.of(&life);
        let stretch = Stretch {
            from: at(&first),
            to: at(&last).max(at(&first)),
            moved_us: offset.add,
            bound: offset.bound,
            gains_us: -offset.drift * 1e6,
            steps: clocks.steps(&life),
            lost,
            missing,
            life: life.clone(),
        };
        stretches.insert(life, stretch);
    }
    (clocks, stretches)
}
