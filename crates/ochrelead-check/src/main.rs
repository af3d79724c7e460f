//! The program `ochrelead-check`: checks settings, discovery files and scenarios with the code that reads them.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use ochrelead_config::diagnostic::Diagnostic;
use ochrelead_config::{front_config, scenario};
use ochrelead_discovery::fleet;
use ochrelead_discovery::watch;

/// The exit code where something would be rejected.
const EXIT_REJECTED: u8 = 2;

/// Reports all that a front or a rig would reject, with the code that reads it there, and warns of what is unusual.
///
/// Exits with 0 where nothing would be rejected, otherwise with 2.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:
  ochrelead-check --settings front.textproto
  ochrelead-check --settings front.textproto --fleet fleet.d
  ochrelead-check --day scenarios/bad-day.textproto"
)]
struct Arguments {
    /// Settings of a front; a fleet is checked against their services
    #[arg(long, value_name = "FILE")]
    settings: Vec<PathBuf>,
    /// A fleet file, or a folder of them
    #[arg(long, value_name = "PATH", requires = "settings")]
    fleet: Vec<PathBuf>,
    /// A scenario
    #[arg(long, value_name = "FILE")]
    day: Vec<PathBuf>,
}

/// What was found, a line each.
#[derive(Default)]
struct Report {
    errors: Vec<String>,
    warnings: Vec<String>,
}

impl Report {
    /// The checked value; what is wrong with it is added to the errors.
    fn accept<T>(&mut self, checked: Result<T, Vec<Diagnostic>>) -> Option<T> {
        match checked {
            Ok(checked) => Some(checked),
            Err(diagnostics) => {
                self.errors.extend(diagnostics.iter().map(ToString::to_string));
                None
            }
        }
    }

    fn check_fleet(&mut self, path: &Path, services: &[String]) {
        let files = watch::read_files(path);
        if files.is_empty() {
            self.errors.push(format!("{}: no fleet file is there", path.display()));
            return;
        }
        if let Some(fleet) = self.accept(fleet::join(&files, services)) {
            let warnings = fleet::warnings(&fleet);
            self.warnings
                .extend(warnings.into_iter().map(|warning| format!("{}: {warning}", path.display())));
        }
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut report = Report::default();
    if arguments.settings.is_empty() && arguments.day.is_empty() {
        report.errors.push("nothing to check: name --settings or --day".to_owned());
    }
    for path in &arguments.settings {
        if let Some(front) = report.accept(front_config::open(path)) {
            for fleet in &arguments.fleet {
                report.check_fleet(fleet, &front.service_names);
            }
        }
    }
    for path in &arguments.day {
        report.accept(scenario::open(path));
    }
    for warning in &report.warnings {
        println!("warning: {warning}");
    }
    for error in &report.errors {
        eprintln!("ochrelead-check: {error}");
    }
    if report.errors.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_REJECTED) }
}
