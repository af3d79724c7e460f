//! Draws the fleet on a terminal.

use ratatui::Frame;
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::Line;
use ratatui::widgets::{Block, List, Paragraph, Sparkline};

use crate::fleet_view::FleetView;
use crate::rate_series::RateSeries;
use crate::server_view::ServerState;
use crate::text;

/// The number of rows or columns that the border of a block takes.
const BORDER: u16 = 2;
/// The minimum height of the list of incidents or sessions, in rows.
const LIST_MIN_HEIGHT: u16 = 4;
/// The height of a plot, in rows.
const PLOT_HEIGHT: u16 = 4;

/// The user's selection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScreenState {
    /// The index of the selected server in the list.
    pub selected: usize,
    /// Whether the sessions of the selected server are shown instead of the incidents.
    pub sessions_open: bool,
}

impl ScreenState {
    /// Selects the previous server in the list.
    pub fn select_previous(&mut self) {
        self.selected = self.selected.saturating_sub(1);
    }

    /// Selects the next server in the list, which has `server_count` servers.
    pub fn select_next(&mut self, server_count: usize) {
        self.selected = (self.selected + 1).min(server_count.saturating_sub(1));
    }

    /// Switches between the sessions of the selected server and the incidents.
    pub fn toggle_sessions(&mut self) {
        self.sessions_open = !self.sessions_open;
    }
}

/// Draws the whole screen.
pub fn draw(frame: &mut Frame<'_>, fleet: &FleetView, state: &ScreenState) {
    let [servers, list, accepted, established, rejected, help] = Layout::vertical([
        Constraint::Length(fleet.servers().len() as u16 + BORDER),
        Constraint::Min(LIST_MIN_HEIGHT),
        Constraint::Length(PLOT_HEIGHT),
        Constraint::Length(PLOT_HEIGHT),
        Constraint::Length(PLOT_HEIGHT),
        Constraint::Length(1),
    ])
    .areas(frame.area());
    draw_servers(frame, servers, fleet, state.selected);
    match fleet.servers().keys().nth(state.selected) {
        Some(server) if state.sessions_open => draw_sessions(frame, list, fleet, server),
        _ => draw_incidents(frame, list, fleet),
    }
    draw_plot(frame, accepted, "tries", fleet.accepted());
    draw_plot(frame, established, "stood", fleet.established());
    draw_plot(frame, rejected, "given up", fleet.rejected());
    frame.render_widget("up and down pick a server, enter its sessions, q ends", help);
}

fn draw_servers(frame: &mut Frame<'_>, area: Rect, fleet: &FleetView, selected: usize) {
    let mut lines = Vec::new();
    for (index, (name, server)) in fleet.servers().iter().enumerate() {
        let mut style = Style::new().fg(state_color(server.state()));
        if index == selected {
            style = style.add_modifier(Modifier::REVERSED);
        }
        lines.push(Line::styled(text::describe_server(name, server, fleet.now()), style));
    }
    let title = format!("servers; {} of {} fronts write", fleet.active_front_count(), fleet.front_count());
    frame.render_widget(Paragraph::new(lines).block(Block::bordered().title(title)), area);
}

fn state_color(state: ServerState) -> Color {
    match state {
        ServerState::Healthy => Color::Green,
        ServerState::WarmingUp => Color::Cyan,
        ServerState::Slow | ServerState::AnswersLost | ServerState::Ejected => Color::Yellow,
        ServerState::Silent => Color::Red,
    }
}

fn draw_sessions(frame: &mut Frame<'_>, area: Rect, fleet: &FleetView, server: &str) {
    let block = Block::bordered().title(format!("last sessions at {server}"));
    frame.render_widget(List::new(fleet.describe_sessions(server)).block(block), area);
}

fn draw_incidents(frame: &mut Frame<'_>, area: Rect, fleet: &FleetView) {
    let now = fleet.now();
    let ongoing_style = Style::new().fg(Color::Red);
    let past_style = Style::new().add_modifier(Modifier::DIM);
    let mut lines = Vec::new();
    for incident in fleet.ongoing_incidents() {
        lines.push(Line::styled(text::describe_incident(&incident, now), ongoing_style));
    }
    for incident in fleet.past_incidents() {
        lines.push(Line::styled(text::describe_incident(&incident, now), past_style));
    }
    frame.render_widget(List::new(lines).block(Block::bordered().title("troubles")), area);
}

fn draw_plot(frame: &mut Frame<'_>, area: Rect, name: &str, series: &RateSeries) {
    let title = format!("{name} a second, up to {}", series.peak());
    let columns = usize::from(area.width.saturating_sub(BORDER));
    let plot = Sparkline::default().data(series.latest(columns)).block(Block::bordered().title(title));
    frame.render_widget(plot, area);
}
