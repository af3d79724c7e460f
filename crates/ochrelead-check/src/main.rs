//! The program `ochrelead-check`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use ochrelead_config::text::Complaint;
use ochrelead_config::{commission, day};
use ochrelead_discovery::sheet;
use ochrelead_discovery::watch;

/// Says all that a front or a rig would refuse, with the code that reads it there, and warns of what is odd.
///
/// Exits with 0 where all is sound, 2 where something would be refused.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:
  ochrelead-check --settings front.textproto
  ochrelead-check --settings front.textproto --fleet fleet.d
  ochrelead-check --day scenarios/bad-day.textproto"
)]
struct Line {
    /// Settings of a front; a fleet is checked against their services
    #[arg(long, value_name = "FILE")]
    settings: Vec<PathBuf>,
    /// A fleet file, or a folder of them
    #[arg(long, value_name = "PATH", requires = "settings")]
    fleet: Vec<PathBuf>,
    #[arg(long, value_name = "FILE")]
    day: Vec<PathBuf>,
}

/// What was found: refusals and warnings.
#[derive(Default)]
struct Findings {
    refused: Vec<String>,
    odd: Vec<String>,
}

impl Findings {
    fn take<T>(&mut self, read: Result<T, Vec<Complaint>>) -> Option<T> {
        read.map_err(|complaints| self.refused.extend(complaints.iter().map(ToString::to_string))).ok()
    }

    fn fleet(&mut self, path: &Path, services: &[String]) {
        let pages = watch::pages(path);
        if pages.is_empty() {
            return self.refused.push(format!("{}: no fleet file is there", path.display()));
        }
        if let Some(fleet) = self.take(sheet::join(&pages, services)) {
            let odd = sheet::warnings(&fleet);
            self.odd.extend(odd.into_iter().map(|what| format!("{}: {what}", path.display())));
        }
    }
}

fn main() -> ExitCode {
    let line = Line::parse();
    let mut findings = Findings::default();
    if line.settings.is_empty() && line.day.is_empty() {
        findings.refused.push("nothing to check: name --settings or --day".to_owned());
    }
    for path in &line.settings {
        if let Some(front) = findings.take(commission::open(path)) {
            line.fleet.iter().for_each(|fleet| findings.fleet(fleet, &front.service_names));
        }
    }
    for path in &line.day {
        findings.take(day::open(path));
    }
    for what in &findings.odd {
        println!("warning: {what}");
    }
    for what in &findings.refused {
        eprintln!("ochrelead-check: {what}");
    }
    if findings.refused.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(2) }
}
