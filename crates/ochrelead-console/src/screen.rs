//! The console on a terminal.

use ratatui::Frame;
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::Line;
use ratatui::widgets::{Block, List, Paragraph, Sparkline};

use crate::plain;
use crate::watch::Watch;

/// What is shown besides the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shown {
    /// Which server is picked, in their order.
    pub picked: usize,
    /// Its story is open.
    pub story: bool,
}

/// Draws everything.
pub fn draw(frame: &mut Frame<'_>, watch: &Watch, shown: &Shown) {
    let servers = watch.servers.len() as u16 + 2;
    let areas = Layout::vertical([
        Constraint::Length(servers),
        Constraint::Min(4),
        Constraint::Length(4),
        Constraint::Length(4),
        Constraint::Length(4),
        Constraint::Length(1),
    ])
    .split(frame.area());
    let now = watch.now();
    let lines: Vec<Line<'_>> = watch
        .servers
        .iter()
        .enumerate()
        .map(|(nth, (name, own))| {
            let color = match own.state() {
                "well" => Color::Green,
                "cold" => Color::Cyan,
                "slow" | "lossy" | "sick" => Color::Yellow,
                _ => Color::Red,
            };
            let mut style = Style::new().fg(color);
            if nth == shown.picked {
                style = style.add_modifier(Modifier::REVERSED);
            }
            Line::styled(plain::server(name, own, now), style)
        })
        .collect();
    let title = format!("servers; {} of {} fronts write", watch.fronts_here(), watch.fronts.len());
    frame.render_widget(Paragraph::new(lines).block(Block::bordered().title(title)), areas[0]);
    let picked = watch.servers.keys().nth(shown.picked);
    match picked.filter(|_| shown.story) {
        Some(name) => {
            let story = List::new(watch.story(name))
                .block(Block::bordered().title(format!("last sessions at {name}")));
            frame.render_widget(story, areas[1]);
        }
        None => {
            let red = |text: String| Line::styled(text, Style::new().fg(Color::Red));
            let dim = |text: String| Line::styled(text, Style::new().add_modifier(Modifier::DIM));
            let in_hand = watch.in_hand().iter().map(|own| red(plain::line(own, now))).collect::<Vec<_>>();
            let passed = watch.passed().iter().map(|own| dim(plain::line(own, now))).collect::<Vec<_>>();
            let all = List::new(in_hand.into_iter().chain(passed)).block(Block::bordered().title("troubles"));
            frame.render_widget(all, areas[1]);
        }
    }
    for (title, plot, area) in
        [("tries", &watch.tried, 2), ("stood", &watch.stood, 3), ("given up", &watch.given_up, 4)]
    {
        let wide = usize::from(areas[area].width.saturating_sub(2));
        let last: Vec<u64> = plot.iter().copied().skip(plot.len().saturating_sub(wide)).collect();
        let most = plot.iter().max().copied().unwrap_or(0);
        let title = format!("{title} a second, up to {most}");
        frame.render_widget(
            Sparkline::default().data(last).block(Block::bordered().title(title)),
            areas[area],
        );
    }
    frame.render_widget("up and down pick a server, enter its sessions, q ends", areas[5]);
}
