//! Grids of emulated days: what is served, by load, size and policy, with how sure that is.

use std::error::Error;
use std::path::Path;

use anyhow::{Context, bail};
use ochrelead_config::diagnostic::Diagnostic;
use ochrelead_config::document::Document;
use ochrelead_config::faults::FaultKind;
use ochrelead_config::scenario::{self, Scenario};
use ochrelead_config::schema;
use ochrelead_parquet::{Cell, ColumnType as Column, TableError, TableWriter};
use ochrelead_scenario::policy::PolicyKind;
use plotters::prelude::*;
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::play::play;
use crate::world::Keep;

/// The most days of one grid.
const MOST: usize = 100_000;
/// Of the mean, two-sided.
const SURE: f64 = 0.95;

/// A grid.
pub struct Experiment {
    day: Scenario,
    rates: Vec<f64>,
    fronts: Vec<usize>,
    servers: Vec<usize>,
    policies: Vec<(&'static str, PolicyKind)>,
    repeats: u64,
}

/// One day of it.
pub struct Case {
    pub day: Scenario,
    pub policy: &'static str,
    deciding: PolicyKind,
}

/// What came of one day.
#[derive(Clone, Debug)]
pub struct Run {
    pub service: f64,
    pub worst: f64,
    pub ceiling: f64,
    pub offered: usize,
    pub events: u64,
    /// The first thing that was broken; textbooks break rules.
    pub broken: Option<String>,
}

/// All repeats of one case.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    pub policy: &'static str,
    pub rate: f64,
    pub fronts: usize,
    pub servers: usize,
    pub repeats: usize,
    /// The mean of the service, and the bounds that it lies within, 95 in 100.
    pub mean: f64,
    pub low: f64,
    pub high: f64,
    /// Days on which all rules were kept.
    pub kept: usize,
}

fn told(complaints: Vec<Diagnostic>) -> anyhow::Error {
    let lines: Vec<String> = complaints.iter().map(ToString::to_string).collect();
    anyhow::anyhow!("{}", lines.join("\n"))
}

impl Experiment {
    /// Reads a grid and its day.
    ///
    /// # Errors
    ///
    /// All that is wrong with either.
    pub fn open(path: &Path) -> anyhow::Result<Experiment> {
        let (grid, mut sheet) = Document::open::<schema::Experiment>(path, "Experiment").map_err(told)?;
        let file = sheet.required("day", grid.day);
        let repeats = sheet.in_range("repeats", f64::from(grid.repeats.unwrap_or(5)), 1.0, 10_000.0) as u64;
        let mut policies = Vec::new();
        for (nth, name) in grid.policy.iter().enumerate() {
            match PolicyKind::ALL.iter().find(|(own, _)| own == name) {
                Some(policy) => policies.push(*policy),
                None => {
                    let names = PolicyKind::ALL.map(|(name, _)| name).join(", ");
                    sheet.report(
                        &format!("policy[{nth}]"),
                        format!("policy is {name:?}; it must be one of {names}"),
                    );
                }
            }
        }
        for (nth, name) in grid.trouble.iter().enumerate() {
            if name != "none" && !FaultKind::ALL.iter().any(|(own, _)| own == name) {
                sheet.report(&format!("trouble[{nth}]"), format!("trouble is {name:?}, which no day has"));
            }
        }
        for (nth, rate) in grid.sessions_per_s.iter().enumerate() {
            sheet.in_range(&format!("sessions_per_s[{nth}]"), *rate, 0.01, 1e6);
        }
        sheet.finish(()).map_err(told)?;
        let beside = path.parent().unwrap_or(Path::new(".")).join(file);
        let mut day = scenario::open(&beside).map_err(told)?;
        if !grid.trouble.is_empty() {
            day.faults.retain(|own| grid.trouble.iter().any(|name| name == own.kind.name()));
        }
        let or = |own: Vec<usize>, usual: usize| if own.is_empty() { vec![usual] } else { own };
        let whole = |own: &[u32]| own.iter().map(|own| *own as usize).collect::<Vec<_>>();
        let experiment = Experiment {
            rates: if grid.sessions_per_s.is_empty() {
                vec![day.callers.sessions_per_s]
            } else {
                grid.sessions_per_s
            },
            fronts: or(whole(&grid.fronts), day.fronts),
            servers: or(whole(&grid.servers), day.servers.len()),
            policies: if policies.is_empty() { PolicyKind::ALL.to_vec() } else { policies },
            repeats,
            day,
        };
        experiment.check()?;
        Ok(experiment)
    }

    fn check(&self) -> anyhow::Result<()> {
        let listed = self.day.servers.len();
        if let Some(servers) = self.servers.iter().find(|own| **own == 0 || **own > listed) {
            bail!("servers: {servers}; the day has 1 to {listed}");
        }
        if self.fronts.contains(&0) {
            bail!("fronts: there must be one at least");
        }
        let count = self.rates.len() * self.fronts.len() * self.servers.len() * self.policies.len();
        if count as u64 * self.repeats > MOST as u64 {
            bail!("{} days; there may be {MOST}", count as u64 * self.repeats);
        }
        Ok(())
    }

    /// All days, those of one case together.
    pub fn cases(&self) -> Vec<Case> {
        let mut cases = Vec::new();
        for (policy, deciding) in &self.policies {
            for (fronts, servers) in
                self.fronts.iter().flat_map(|own| self.servers.iter().map(move |s| (*own, *s)))
            {
                for rate in &self.rates {
                    for nth in 0..self.repeats {
                        let mut day = self.day.clone();
                        (day.seed, day.fronts) = (self.day.seed + nth, fronts);
                        day.callers.sessions_per_s = *rate;
                        day.servers.truncate(servers);
                        // What strikes a party that is not there does not happen.
                        for own in &mut day.faults {
                            let most = if own.kind.is_at_fronts() { fronts } else { servers };
                            if own.kind != FaultKind::Redials {
                                own.targets.retain(|which| *which < most);
                            }
                        }
                        day.front.controller.fronts = fronts as u32;
                        day.front_settings.fronts = Some(fronts as u32);
                        cases.push(Case { day, policy, deciding: *deciding });
                    }
                }
            }
        }
        cases
    }
}

impl Case {
    /// Plays the day.
    ///
    /// # Errors
    ///
    /// Where it gives no sound settings.
    pub fn play(&self) -> Result<Run, String> {
        let outcome = play(&self.day, self.deciding, Keep { sights: true, ..Keep::default() })?;
        Ok(Run {
            service: outcome.service.overall,
            worst: outcome.service.worst_window,
            ceiling: outcome.service.ceiling,
            offered: outcome.service.offered,
            events: outcome.steps,
            broken: outcome.violation.map(|own| own.kind),
        })
    }
}

/// Writes one row a day; how many there are.
///
/// # Errors
///
/// Where the table can't be written.
pub fn write(path: &Path, cases: &[Case], runs: &[Run]) -> Result<usize, TableError> {
    let columns = [
        ("policy", Column::Text),
        ("sessions_per_s", Column::Float),
        ("fronts", Column::Integer),
        ("servers", Column::Integer),
        ("seed", Column::Integer),
        ("service", Column::Float),
        ("worst_10_s", Column::Float),
        ("ceiling", Column::Float),
        ("offered", Column::Integer),
        ("events", Column::Integer),
        ("broken", Column::Text),
    ];
    let mut table = TableWriter::create(path, &columns)?;
    for (case, run) in cases.iter().zip(runs) {
        table.write_row(vec![
            Cell::Text(case.policy.to_owned()),
            Cell::Float(case.day.callers.sessions_per_s),
            Cell::Integer(case.day.fronts as i64),
            Cell::Integer(case.day.servers.len() as i64),
            Cell::Integer(case.day.seed as i64),
            Cell::Float(run.service),
            Cell::Float(run.worst),
            Cell::Float(run.ceiling),
            Cell::Integer(run.offered as i64),
            Cell::Integer(run.events as i64),
            run.broken.clone().map_or(Cell::Empty, Cell::Text),
        ])?;
    }
    table.finish()
}

/// The cases' means, with Student's bounds on them.
pub fn points(cases: &[Case], runs: &[Run]) -> Vec<Point> {
    let key = |case: &Case| {
        let day = &case.day;
        (case.policy, day.callers.sessions_per_s.to_bits(), day.fronts, day.servers.len())
    };
    let mut points: Vec<Point> = Vec::new();
    let mut from = 0;
    while from < cases.len() {
        let same = cases[from..].iter().take_while(|case| key(case) == key(&cases[from])).count();
        let own = &runs[from..from + same];
        let services: Vec<f64> = own.iter().map(|run| run.service).collect();
        let (mean, half) = bounds(&services);
        let case = &cases[from];
        points.push(Point {
            policy: case.policy,
            rate: case.day.callers.sessions_per_s,
            fronts: case.day.fronts,
            servers: case.day.servers.len(),
            repeats: same,
            mean,
            low: (mean - half).max(0.0),
            high: (mean + half).min(1.0),
            kept: own.iter().filter(|run| run.broken.is_none()).count(),
        });
        from += same;
    }
    points
}

/// The mean, and how far it may be off.
fn bounds(figures: &[f64]) -> (f64, f64) {
    let count = figures.len() as f64;
    let mean = figures.iter().sum::<f64>() / count.max(1.0);
    if figures.len() < 2 {
        return (mean, 0.0);
    }
    let spread = figures.iter().map(|own| (own - mean).powi(2)).sum::<f64>() / (count - 1.0);
    let student = StudentsT::new(0.0, 1.0, count - 1.0).expect("one degree of freedom at least");
    (mean, student.inverse_cdf(0.5 + SURE / 2.0) * (spread / count).sqrt())
}

/// Service by load, one line a policy and size.
///
/// # Errors
///
/// Where the file can't be written.
pub fn plot(path: &Path, points: &[Point]) -> anyhow::Result<()> {
    draw(path, points).map_err(|error| anyhow::anyhow!("{error}")).with_context(|| path.display().to_string())
}

fn draw(path: &Path, points: &[Point]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, (820, 460)).into_drawing_area();
    root.fill(&WHITE)?;
    let rates = points.iter().map(|own| own.rate);
    let (least, most) = (rates.clone().fold(f64::INFINITY, f64::min), rates.fold(0.0, f64::max));
    let margin = ((most - least) * 0.05).max(0.5);
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(48)
        .build_cartesian_2d(least - margin..most + margin, 0.0..1.02)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("sessions a second, all callers")
        .y_desc("service (simulated servers)")
        .draw()?;
    let mut lines: Vec<(&str, usize, usize)> =
        points.iter().map(|own| (own.policy, own.fronts, own.servers)).collect();
    lines.dedup();
    for (nth, (policy, fronts, servers)) in lines.into_iter().enumerate() {
        let colour = Palette99::pick(nth).to_rgba();
        let own = || {
            points
                .iter()
                .filter(move |own| (own.policy, own.fronts, own.servers) == (policy, fronts, servers))
        };
        chart
            .draw_series(LineSeries::new(own().map(|own| (own.rate, own.mean)), colour.stroke_width(2)))?
            .label(format!("{policy}, {fronts} fronts, {servers} servers"))
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2)));
        let bar =
            |own: &Point| ErrorBar::new_vertical(own.rate, own.low, own.mean, own.high, colour.filled(), 6);
        chart.draw_series(own().map(bar))?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    root.present()?;
    Ok(())
}
