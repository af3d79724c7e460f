//! The program `ochrelead-report`: reports on incidents from event logs.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use ochrelead_core::time::Span;
use ochrelead_report::error::ReportError;
use ochrelead_report::incident_report::IncidentReport;
use ochrelead_report::{export, json, page};

/// Reports on incidents from the event logs of the fronts
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:
  ochrelead-report records --out report.html
  ochrelead-report front-a/records front-b/records --json"
)]
struct Arguments {
    /// Records folders of the fronts
    #[arg(required = true, value_name = "DIR")]
    folders: Vec<PathBuf>,
    /// Write a self-contained HTML page to this file
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// Write all events to this file as a Parquet table
    #[arg(long, value_name = "FILE")]
    parquet: Option<PathBuf>,
    /// Print the diagnosis as JSON instead of text
    #[arg(long)]
    json: bool,
}

/// The exit code if a folder can't be read or a file can't be written.
const EXIT_FAILED: u8 = 2;

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ochrelead-report: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), ReportError> {
    let report = IncidentReport::read(&arguments.folders)?;
    if let Some(path) = &arguments.out {
        fs::write(path, page::render(&report)).map_err(|error| ReportError::io(path, error))?;
    }
    if let Some(path) = &arguments.parquet {
        export::export(&arguments.folders, path)?;
    }
    if arguments.json {
        println!("{:#}", json::render(&report));
    } else {
        print_incidents(&report);
    }
    Ok(())
}

/// Prints one line for each incident.
fn print_incidents(report: &IncidentReport) {
    let seconds = |span: Span| span.ratio(Span::from_secs(1));
    for incident in &report.incidents {
        let onset = seconds(incident.onset.since(report.from));
        let end = match incident.end {
            Some(end) => format!("{:.1}", seconds(end.since(report.from))),
            None => "lasts".to_owned(),
        };
        println!("{onset:.1} to {end} s: {incident}");
    }
}
