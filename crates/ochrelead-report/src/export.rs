//! Exports all events as a Parquet table, with times on the common clock.

use std::path::{Path, PathBuf};

use ochrelead_core::time::Moment;
use ochrelead_event_log::reader::Record;
use ochrelead_event_log::schema::{Choice, Denial, Ending, Payment, event::What};
use ochrelead_parquet::{Cell, ColumnType, TableWriter};

use crate::error::ReportError;
use crate::merged_log::MergedLog;
use crate::readable_name;
use crate::survey::{open_folders, survey};

/// The columns. All times are in microseconds; `at_us` counts from 1970 on the common clock.
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

/// Writes all events of the records folders to a table at `path`. Returns the number of rows.
///
/// # Errors
///
/// If a folder can't be read or the table can't be written.
pub fn export(folders: &[PathBuf], path: &Path) -> Result<usize, ReportError> {
    let (logs, _) = open_folders(folders)?;
    let clocks = survey(&logs).clocks;
    let table_error = |error| ReportError::table(path, error);
    let mut table = TableWriter::create(path, &COLUMNS).map_err(table_error)?;
    for (time, record) in MergedLog::new(logs, &clocks) {
        table.write_row(cells(time, &record)).map_err(table_error)?;
    }
    table.finish().map_err(table_error)
}

fn cells(time: Moment, record: &Record) -> Vec<Cell> {
    let text = |text: Option<String>| text.map_or(Cell::Empty, Cell::Text);
    let integer = |number: Option<u64>| number.map_or(Cell::Empty, |number| Cell::Integer(number as i64));
    let row = record.event.what.as_ref().map_or_else(|| Row::new("unknown"), row);
    vec![
        Cell::Integer(time.micros() as i64),
        Cell::Text(record.incarnation.front.clone()),
        Cell::Integer(record.incarnation.started_us as i64),
        Cell::Integer(record.event.nth as i64),
        Cell::Text(row.event.to_owned()),
        text(row.session),
        text(row.server),
        text(row.detail),
        text(row.manner),
        integer(row.duration_us),
        integer(row.service.map(u64::from)),
        integer(row.member.map(u64::from)),
        row.figure.map_or(Cell::Empty, Cell::Float),
    ]
}

/// The columns that depend on the kind of event. A column that does not apply is empty.
#[derive(Default)]
struct Row {
    event: &'static str,
    session: Option<String>,
    server: Option<String>,
    /// The column `what`.
    detail: Option<String>,
    /// The column `how`.
    manner: Option<String>,
    duration_us: Option<u64>,
    service: Option<u32>,
    member: Option<u32>,
    figure: Option<f64>,
}

impl Row {
    fn new(event: &'static str) -> Row {
        Row { event, ..Row::default() }
    }

    /// A row for an event of a session at a server.
    fn at_server(event: &'static str, session: &str, server: &str) -> Row {
        Row::new(event).session(session).server(server)
    }

    fn session(self, session: &str) -> Row {
        Row { session: Some(session.to_owned()), ..self }
    }

    fn server(self, server: &str) -> Row {
        Row { server: Some(server.to_owned()), ..self }
    }

    fn detail(self, detail: &str) -> Row {
        Row { detail: Some(detail.to_owned()), ..self }
    }

    /// Sets the detail to the name of an enum value; `None` if this version does not know the value.
    fn detail_name(self, name: Option<&str>) -> Row {
        Row { detail: name.map(readable_name), ..self }
    }

    fn manner(self, manner: &str) -> Row {
        Row { manner: Some(manner.to_owned()), ..self }
    }

    /// Sets the manner to the name of an enum value; `None` if this version does not know the value.
    fn manner_name(self, name: Option<&str>) -> Row {
        Row { manner: name.map(readable_name), ..self }
    }

    fn duration_us(self, duration_us: u64) -> Row {
        Row { duration_us: Some(duration_us), ..self }
    }

    fn caller(self, service: u32, member: u32) -> Row {
        Row { service: Some(service), member: Some(member), ..self }
    }

    fn figure(self, figure: f64) -> Row {
        Row { figure: Some(figure), ..self }
    }
}

fn row(what: &What) -> Row {
    match what {
        What::Taken(taken) => {
            Row::new("taken").session(&taken.tried).detail(&taken.called).caller(taken.service, taken.member)
        }
        What::Invite(invite) => Row::at_server("invite", &invite.tried, &invite.server)
            .detail_name(Choice::try_from(invite.choice).ok().map(|choice| choice.as_str_name()))
            .manner_name(Payment::try_from(invite.payment).ok().map(|payment| payment.as_str_name()))
            .figure(f64::from(invite.nth)),
        What::Ended(ended) => Row::at_server("ended", &ended.tried, &ended.server)
            .detail_name(Ending::try_from(ended.ending).ok().map(|ending| ending.as_str_name()))
            .duration_us(ended.took_us),
        What::Stands(stands) => {
            Row::at_server("stands", &stands.tried, &stands.server).duration_us(stands.took_us)
        }
        What::GivenUp(given_up) => Row::new("given up")
            .session(&given_up.tried)
            .detail_name(Denial::try_from(given_up.denial).ok().map(|denial| denial.as_str_name()))
            .manner(if given_up.refused { "refused" } else { "failed" })
            .figure(f64::from(given_up.come_back_ms)),
        What::HungUp(hung_up) => {
            Row::at_server("hung up", &hung_up.tried, &hung_up.server).duration_us(hung_up.waited_us)
        }
        What::Cut(cut) => Row::at_server("cut", &cut.tried, &cut.server),
        What::Released(released) => Row::at_server("released", &released.tried, &released.server)
            .manner(if released.confirmed { "confirmed" } else { "not confirmed" }),
        What::Told(told) => Row::new("told").server(&told.server).detail(&told.what),
        What::Fleet(fleet) => {
            Row::new("fleet").detail(&fleet.server.join(" ")).figure(fleet.generation as f64)
        }
        What::Outlook(outlook) => {
            Row::new("outlook").server(&outlook.server).duration_us(outlook.answer_us).figure(outlook.limit)
        }
        What::PausedUs(paused_us) => Row::new("paused").duration_us(*paused_us),
        What::Lost(count) => Row::new("lost").figure(*count as f64),
        What::Life(change) => Row::new("life").detail(change),
    }
}
