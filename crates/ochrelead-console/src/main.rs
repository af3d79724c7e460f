//! The program `ochrelead-console`: shows the current state of the fleet.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::Context;
use clap::Parser;
use ochrelead_console::fleet_view::FleetView;
use ochrelead_console::screen::{ScreenState, draw};
use ochrelead_console::text;
use ochrelead_core::time::Span;
use ochrelead_event_log::follower::Follower;
use ratatui::DefaultTerminal;
use ratatui::crossterm::event::{self, Event, KeyCode};

/// Shows the current state of the fleet from its event logs. It only reads files and never delays a front.
#[derive(Parser)]
#[command(version, after_help = "Examples:\n  ochrelead-console records\n  ochrelead-console records --once")]
struct Arguments {
    /// Records folders of the fronts
    #[arg(required = true, value_name = "DIR")]
    folders: Vec<PathBuf>,
    /// Print the current state as text and exit
    #[arg(long)]
    once: bool,
}

/// The interval between reads of the logs, and the longest wait for a key.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// With `--once`: the time assumed to have passed since the last record. It exceeds the reorder delay of the record
/// queue, so that all records are processed.
const IDLE_BEFORE_PRINT: Span = Span::from_secs(1);
/// The exit code if a log can't be read or the terminal fails.
const EXIT_FAILED: u8 = 2;

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ochrelead-console: {error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run(arguments: &Arguments) -> anyhow::Result<()> {
    let mut logs: Vec<FollowedFolder> =
        arguments.folders.iter().map(|folder| FollowedFolder::new(folder)).collect();
    let mut fleet = FleetView::default();
    read_new_records(&mut logs, &mut fleet)?;
    if arguments.once {
        fleet.process(IDLE_BEFORE_PRINT);
        print!("{}", text::render(&fleet));
        return Ok(());
    }
    let mut terminal = ratatui::init();
    let result = show(&mut terminal, &mut logs, &mut fleet);
    ratatui::restore();
    result
}

/// A records folder, with the position up to which it has been read.
struct FollowedFolder {
    path: PathBuf,
    follower: Follower,
}

impl FollowedFolder {
    fn new(path: &Path) -> FollowedFolder {
        FollowedFolder { path: path.to_owned(), follower: Follower::new(path) }
    }
}

/// Passes all new records to `fleet`. Returns whether there were any.
fn read_new_records(logs: &mut [FollowedFolder], fleet: &mut FleetView) -> anyhow::Result<bool> {
    let mut has_new = false;
    for FollowedFolder { path, follower } in logs {
        let mut handle_record = |record| {
            has_new = true;
            fleet.handle_record(record);
        };
        while follower
            .read_new(&mut handle_record)
            .with_context(|| format!("reading records in {}", path.display()))?
        {}
    }
    Ok(has_new)
}

/// Shows the fleet until the user quits.
fn show(
    terminal: &mut DefaultTerminal,
    logs: &mut [FollowedFolder],
    fleet: &mut FleetView,
) -> anyhow::Result<()> {
    let mut state = ScreenState::default();
    let mut last_record = Instant::now();
    loop {
        if read_new_records(logs, fleet)? {
            last_record = Instant::now();
        }
        fleet.process(Span::from_micros(last_record.elapsed().as_micros() as u64));
        terminal.draw(|frame| draw(frame, fleet, &state))?;
        if !event::poll(POLL_INTERVAL)? {
            continue;
        }
        if let Event::Key(key) = event::read()? {
            match key.code {
                KeyCode::Char('q') => return Ok(()),
                KeyCode::Down => state.select_next(fleet.servers().len()),
                KeyCode::Up => state.select_previous(),
                KeyCode::Enter => state.toggle_sessions(),
                _ => {}
            }
        }
    }
}
