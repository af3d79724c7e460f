//! The program `ochrelead-report`.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use clap::Parser;
use ochrelead_report::incident::Incident;
use ochrelead_report::{export, json, page};

/// Explains what happened, from the fronts' own records.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:
  ochrelead-report records --out report.html
  ochrelead-report front-a/records front-b/records --json"
)]
struct Line {
    /// Folders of records
    #[arg(required = true, value_name = "DIR")]
    folders: Vec<PathBuf>,
    /// One self-contained page
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// All events as a Parquet table
    #[arg(long, value_name = "FILE")]
    parquet: Option<PathBuf>,
    /// The diagnosis for machines, to standard output
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    match run(&Line::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ochrelead-report: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run(line: &Line) -> anyhow::Result<()> {
    let incident = Incident::read(&line.folders)?;
    if let Some(out) = &line.out {
        fs::write(out, page::of(&incident)).with_context(|| out.display().to_string())?;
    }
    if let Some(path) = &line.parquet {
        export::export(&line.folders, path)?;
    }
    if line.json {
        println!("{:#}", json::of(&incident));
    } else {
        let (from, _) = incident.span();
        for own in &incident.troubles {
            let (onset, end) = (own.onset.since(from), own.end.map(|end| end.since(from)));
            let end = end.map_or("lasts".to_owned(), |end| format!("{:.1}", end.micros() as f64 / 1e6));
            println!("{:.1} to {end} s: {own}", onset.micros() as f64 / 1e6);
        }
    }
    Ok(())
}
