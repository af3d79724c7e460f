//! The program `ochrelead-console`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Parser;
use ochrelead_console::plain;
use ochrelead_console::screen::{Shown, draw};
use ochrelead_console::watch::Watch;
use ochrelead_core::time::Span;
use ochrelead_event_log::follower::Follower;
use ratatui::crossterm::event::{self, Event, KeyCode};

/// Shows the fleet now, from records that grow. It reads files alone and never slows a front.
#[derive(Parser)]
#[command(version, after_help = "Examples:\n  ochrelead-console records\n  ochrelead-console records --once")]
struct Line {
    /// Folders of records
    #[arg(required = true, value_name = "DIR")]
    folders: Vec<PathBuf>,
    /// Print what is known now as text, and end
    #[arg(long)]
    once: bool,
}

/// How often it looks for news.
const LOOK: Duration = Duration::from_millis(250);

fn main() -> ExitCode {
    match run(&Line::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ochrelead-console: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Takes all news; whether there was any.
fn follow(followers: &mut [(PathBuf, Follower)], watch: &mut Watch) -> anyhow::Result<bool> {
    let mut news = false;
    for (folder, follower) in followers {
        let mut take = |record| {
            news = true;
            watch.take(record);
        };
        while follower
            .read_new(&mut take)
            .map_err(|error| anyhow::anyhow!("{}: {error}", folder.display()))?
        {}
    }
    Ok(news)
}

fn run(line: &Line) -> anyhow::Result<()> {
    let mut followers: Vec<(PathBuf, Follower)> =
        line.folders.iter().map(|folder| (folder.clone(), Follower::new(folder))).collect();
    let mut watch = Watch::default();
    follow(&mut followers, &mut watch)?;
    if line.once {
        watch.settle(Span::from_secs(1));
        print!("{}", plain::of(&watch));
        return Ok(());
    }
    let mut terminal = ratatui::init();
    let mut shown = Shown::default();
    let mut last_news = Instant::now();
    let ended = loop {
        match follow(&mut followers, &mut watch) {
            Ok(true) => last_news = Instant::now(),
            Ok(false) => {}
            Err(error) => break Err(error),
        }
        watch.settle(Span::from_micros(last_news.elapsed().as_micros() as u64));
        if let Err(error) = terminal.draw(|frame| draw(frame, &watch, &shown)) {
            break Err(error.into());
        }
        match event::poll(LOOK).and_then(|ready| if ready { event::read().map(Some) } else { Ok(None) }) {
            Ok(Some(Event::Key(key))) => match key.code {
                KeyCode::Char('q') => break Ok(()),
                KeyCode::Down => shown.picked = (shown.picked + 1).min(watch.servers.len().saturating_sub(1)),
                KeyCode::Up => shown.picked = shown.picked.saturating_sub(1),
                KeyCode::Enter => shown.story = !shown.story,
                _ => {}
            },
            Ok(_) => {}
            Err(error) => break Err(error.into()),
        }
    };
    ratatui::restore();
    ended
}
