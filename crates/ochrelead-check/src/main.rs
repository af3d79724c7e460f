//! The program `ochrelead-check`: validates front settings, fleet files and scenarios with the code that loads them.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use ochrelead_config::diagnostic::Diagnostic;
use ochrelead_config::{front_config, scenario};
use ochrelead_discovery::fleet;
use ochrelead_discovery::watch;

/// The exit code if a file would be rejected.
const EXIT_REJECTED: u8 = 2;

/// Validates files with the code that fronts and test runs load them with, reports all errors, and warns of unusual
/// values.
///
/// Exits with 0 if no file would be rejected, otherwise with 2.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:
  ochrelead-check --settings front.textproto
  ochrelead-check --settings front.textproto --fleet fleet.d
  ochrelead-check --day scenarios/bad-day.textproto"
)]
struct Arguments {
    /// Settings of a front; fleet files are validated against its services
    #[arg(long, value_name = "FILE")]
    settings: Vec<PathBuf>,
    /// A fleet file, or a folder of fleet files
    #[arg(long, value_name = "PATH", requires = "settings")]
    fleet: Vec<PathBuf>,
    /// A scenario file
    #[arg(id = "day", long = "day", value_name = "FILE")]
    scenarios: Vec<PathBuf>,
}

/// The errors and warnings of all files, one line each.
#[derive(Default)]
struct Report {
    errors: Vec<String>,
    warnings: Vec<String>,
}

impl Report {
    /// Returns the value if it was loaded; otherwise adds its diagnostics to the errors.
    fn accept<T>(&mut self, loaded: Result<T, Vec<Diagnostic>>) -> Option<T> {
        match loaded {
            Ok(value) => Some(value),
            Err(diagnostics) => {
                self.errors.extend(diagnostics.iter().map(ToString::to_string));
                None
            }
        }
    }

    fn check_fleet(&mut self, path: &Path, services: &[String]) {
        let files = watch::read_files(path);
        if files.is_empty() {
            self.errors.push(format!("{}: no fleet file found", path.display()));
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
    if arguments.settings.is_empty() && arguments.scenarios.is_empty() {
        report.errors.push("no file to check: --settings or --day is required".to_owned());
    }
    for path in &arguments.settings {
        if let Some(front) = report.accept(front_config::open(path)) {
            for fleet in &arguments.fleet {
                report.check_fleet(fleet, &front.service_names);
            }
        }
    }
    for path in &arguments.scenarios {
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
