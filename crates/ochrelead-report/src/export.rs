//! All events as one table, on the common clock.

use std::path::{Path, PathBuf};

use anyhow::Context;
use ochrelead_core::time::Moment;
use ochrelead_event_log::reader::{Log, Record, open_logs};
use ochrelead_event_log::schema::{Choice, Denial, Ending, Payment, event::What};
use ochrelead_parquet::{Cell, ColumnType, TableWriter};

use crate::incident::survey;
use crate::merged::Merged;
use crate::story::words;

/// The columns; times in microseconds, moments since 1970 on the common clock.
const COLUMNS: [(&str, ColumnType); 13] = [
    ("at_us", ColumnType::Integer),
    ("front", ColumnType::Text),
    ("life_us", ColumnType::Integer),
    ("nth", ColumnType::Integer),
    ("event", ColumnType::Text),
    ("try", ColumnType::Text),
    ("server", ColumnType::Text),
    ("what", ColumnType::Text),
    ("how", ColumnType::Text),
    ("took_us", ColumnType::Integer),
    ("service", ColumnType::Integer),
    ("member", ColumnType::Integer),
    ("figure", ColumnType::Float),
];

/// What an event says, column by column.
#[derive(Default)]
struct Row {
    event: &'static str,
    tried: Option<String>,
    server: Option<String>,
    what: Option<String>,
    how: Option<String>,
    took_us: Option<u64>,
    service: Option<u32>,
    member: Option<u32>,
    figure: Option<f64>,
}

/// Writes all events of some folders; how many there were.
///
/// # Errors
///
/// Where a folder can't be read or the table can't be written.
pub fn export(folders: &[PathBuf], path: &Path) -> anyhow::Result<usize> {
    let mut all: Vec<Log> = Vec::new();
    for folder in folders {
        all.extend(open_logs(folder).with_context(|| folder.display().to_string())?.0);
    }
    let (clocks, _) = survey(&all);
    let mut table = TableWriter::create(path, &COLUMNS).with_context(|| path.display().to_string())?;
    for (at, record) in Merged::new(all, &clocks) {
        table.write_row(cells(at, &record)).with_context(|| path.display().to_string())?;
    }
    table.finish().with_context(|| path.display().to_string())
}

fn cells(at: Moment, record: &Record) -> Vec<Cell> {
    let text = |text: Option<String>| text.map_or(Cell::Empty, Cell::Text);
    let whole = |own: Option<u64>| own.map_or(Cell::Empty, |own| Cell::Integer(own as i64));
    let row = record.event.what.as_ref().map_or(Row { event: "unknown", ..Row::default() }, row);
    vec![
        Cell::Integer(at.micros() as i64),
        Cell::Text(record.incarnation.front.clone()),
        Cell::Integer(record.incarnation.started_us as i64),
        Cell::Integer(record.event.nth as i64),
        Cell::Text(row.event.to_owned()),
        text(row.tried),
        text(row.server),
        text(row.what),
        text(row.how),
        whole(row.took_us),
        whole(row.service.map(u64::from)),
        whole(row.member.map(u64::from)),
        row.figure.map_or(Cell::Empty, Cell::Float),
    ]
}

fn row(what: &What) -> Row {
    let own = |text: &String| Some(text.clone());
    let named = |name: &str| Some(words(name));
    match what {
        What::Taken(taken) => Row {
            event: "taken",
            tried: own(&taken.tried),
            what: own(&taken.called),
            service: Some(taken.service),
            member: Some(taken.member),
            ..Row::default()
        },
        What::Invite(invite) => Row {
            event: "invite",
            tried: own(&invite.tried),
            server: own(&invite.server),
            what: Choice::try_from(invite.choice).ok().and_then(|own| named(own.as_str_name())),
            how: Payment::try_from(invite.payment).ok().and_then(|own| named(own.as_str_name())),
            figure: Some(f64::from(invite.nth)),
            ..Row::default()
        },
        What::Ended(ended) => Row {
            event: "ended",
            tried: own(&ended.tried),
            server: own(&ended.server),
            what: Ending::try_from(ended.ending).ok().and_then(|own| named(own.as_str_name())),
            took_us: Some(ended.took_us),
            ..Row::default()
        },
        What::Stands(stands) => Row {
            event: "stands",
            tried: own(&stands.tried),
            server: own(&stands.server),
            took_us: Some(stands.took_us),
            ..Row::default()
        },
        What::GivenUp(given_up) => Row {
            event: "given up",
            tried: own(&given_up.tried),
            what: Denial::try_from(given_up.denial).ok().and_then(|own| named(own.as_str_name())),
            how: Some(if given_up.refused { "refused" } else { "failed" }.to_owned()),
            figure: Some(f64::from(given_up.come_back_ms)),
            ..Row::default()
        },
        What::HungUp(hung_up) => Row {
            event: "hung up",
            tried: own(&hung_up.tried),
            server: own(&hung_up.server),
            took_us: Some(hung_up.waited_us),
            ..Row::default()
        },
        What::Cut(cut) => {
            Row { event: "cut", tried: own(&cut.tried), server: own(&cut.server), ..Row::default() }
        }
        What::Released(released) => Row {
            event: "released",
            tried: own(&released.tried),
            server: own(&released.server),
            how: Some(if released.confirmed { "confirmed" } else { "not confirmed" }.to_owned()),
            ..Row::default()
        },
        What::Told(told) => {
            Row { event: "told", server: own(&told.server), what: own(&told.what), ..Row::default() }
        }
        What::Fleet(fleet) => Row {
            event: "fleet",
            what: Some(fleet.server.join(" ")),
            figure: Some(fleet.generation as f64),
            ..Row::default()
        },
        What::Outlook(outlook) => Row {
            event: "outlook",
            server: own(&outlook.server),
            took_us: Some(outlook.answer_us),
            figure: Some(outlook.limit),
            ..Row::default()
        },
        What::PausedUs(us) => Row { event: "paused", took_us: Some(*us), ..Row::default() },
        What::Lost(count) => Row { event: "lost", figure: Some(*count as f64), ..Row::default() },
        What::Life(life) => Row { event: "life", what: own(life), ..Row::default() },
    }
}
