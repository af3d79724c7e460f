//! The plot of an experiment: service share by load, with one line per policy and deployment size.

use std::io;
use std::path::{Path, PathBuf};

use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;
use thiserror::Error;

use super::results::CaseSummary;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (820, 460);

type DrawError = DrawingAreaErrorKind<io::Error>;
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// An error while the plot is drawn or written.
#[derive(Debug, Error)]
#[error("plot {} not written", path.display())]
pub struct PlotError {
    path: PathBuf,
    source: DrawError,
}

/// Writes the plot as an SVG file.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn write_plot(path: &Path, summaries: &[CaseSummary]) -> Result<(), PlotError> {
    draw(path, summaries).map_err(|source| PlotError { path: path.to_owned(), source })
}

fn draw(path: &Path, summaries: &[CaseSummary]) -> Result<(), DrawError> {
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = chart(&area, summaries)?;
    let mut lines: Vec<LineKey> = summaries.iter().map(line_key).collect();
    lines.dedup();
    for (index, line) in lines.into_iter().enumerate() {
        draw_line(&mut chart, index, line, summaries)?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    area.present()?;
    Ok(())
}

fn chart<'a>(area: &Area<'a>, summaries: &[CaseSummary]) -> Result<Chart<'a>, DrawError> {
    let rates = summaries.iter().map(|summary| summary.rate);
    let (lowest, highest) = (rates.clone().fold(f64::INFINITY, f64::min), rates.fold(0.0, f64::max));
    let margin = ((highest - lowest) * 0.05).max(0.5);
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(48)
        .build_cartesian_2d(lowest - margin..highest + margin, 0.0..1.02)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("sessions a second, all callers")
        .y_desc("service (simulated servers)")
        .draw()?;
    Ok(chart)
}

/// Identifies a line of the plot: policy, number of fronts, number of servers.
type LineKey = (&'static str, usize, usize);

fn line_key(summary: &CaseSummary) -> LineKey {
    (summary.policy, summary.fronts, summary.servers)
}

fn draw_line(
    chart: &mut Chart<'_>,
    index: usize,
    line: LineKey,
    summaries: &[CaseSummary],
) -> Result<(), DrawError> {
    let (policy, fronts, servers) = line;
    let colour = Palette99::pick(index).to_rgba();
    let summaries: Vec<&CaseSummary> = summaries.iter().filter(|summary| line_key(summary) == line).collect();
    let means = summaries.iter().map(|summary| (summary.rate, summary.mean));
    chart
        .draw_series(LineSeries::new(means, colour.stroke_width(2)))?
        .label(format!("{policy}, {fronts} fronts, {servers} servers"))
        .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2)));
    let bars = summaries.iter().map(|summary| {
        ErrorBar::new_vertical(summary.rate, summary.low, summary.mean, summary.high, colour.filled(), 6)
    });
    chart.draw_series(bars)?;
    Ok(())
}
