//! The program `ochrelead-console`.

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

/// Shows the fleet now, from records that grow. It reads files alone and never slows a front.
#[derive(Parser)]
#[command(version, after_help = "Examples:\n  ochrelead-console records\n  ochrelead-console records --once")]
struct Arguments {
    /// Folders of records
    #[arg(required = true, value_name = "DIR")]
    folders: Vec<PathBuf>,
    /// Print what is known now as text, and end
    #[arg(long)]
    once: bool,
}

/// How often the logs are read, and the longest wait for a key.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The time that counts as passed since the last record where the fleet is printed once.
const IDLE_BEFORE_PRINT: Span = Span::from_secs(1);
/// The exit code where a log can't be read or the terminal fails.
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

/// A folder of records and how far it is read.
struct FollowedFolder {
    path: PathBuf,
    follower: Follower,
}

impl FollowedFolder {
    fn new(path: &Path) -> FollowedFolder {
        FollowedFolder { path: path.to_owned(), follower: Follower::new(path) }
    }
}

/// Hands all new records to the fleet; whether there were any.
fn read_new_records(logs: &mut [FollowedFolder], fleet: &mut FleetView) -> anyhow::Result<bool> {
    let mut any = false;
    for FollowedFolder { path, follower } in logs {
        let mut handle_record = |record| {
            any = true;
            fleet.handle_record(record);
        };
        while follower.read_new(&mut handle_record).with_context(|| path.display().to_string())? {}
    }
    Ok(any)
}

/// Shows the fleet until the user ends it.
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
