//! The plot of an experiment: service by load, one line a policy and size.

use std::io;
use std::path::{Path, PathBuf};

use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;
use thiserror::Error;

use super::results::Point;

/// Width and height of a plot.
const SIZE: (u32, u32) = (820, 460);

type DrawError = DrawingAreaErrorKind<io::Error>;
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// A plot that can't be written.
#[derive(Debug, Error)]
#[error("{}", path.display())]
pub struct PlotError {
    path: PathBuf,
    source: DrawError,
}

/// Writes the plot.
///
/// # Errors
///
/// Where the file can't be written.
pub fn write_plot(path: &Path, points: &[Point]) -> Result<(), PlotError> {
    draw(path, points).map_err(|source| PlotError { path: path.to_owned(), source })
}

fn draw(path: &Path, points: &[Point]) -> Result<(), DrawError> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = chart(&area, points)?;
    let mut lines: Vec<Line> = points.iter().map(line_of).collect();
    lines.dedup();
    for (index, line) in lines.into_iter().enumerate() {
        draw_line(&mut chart, index, line, points)?;
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

fn chart<'a>(area: &Area<'a>, points: &[Point]) -> Result<Chart<'a>, DrawError> {
    let rates = points.iter().map(|point| point.rate);
    let (least, most) = (rates.clone().fold(f64::INFINITY, f64::min), rates.fold(0.0, f64::max));
    let margin = ((most - least) * 0.05).max(0.5);
    let mut chart = ChartBuilder::on(area)
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
    Ok(chart)
}

/// What one line of the plot is of: policy, fronts, servers.
type Line = (&'static str, usize, usize);

fn line_of(point: &Point) -> Line {
    (point.policy, point.fronts, point.servers)
}

fn draw_line(chart: &mut Chart<'_>, index: usize, line: Line, points: &[Point]) -> Result<(), DrawError> {
    let (policy, fronts, servers) = line;
    let colour = Palette99::pick(index).to_rgba();
    let points: Vec<&Point> = points.iter().filter(|point| line_of(point) == line).collect();
    let means = points.iter().map(|point| (point.rate, point.mean));
    chart
        .draw_series(LineSeries::new(means, colour.stroke_width(2)))?
        .label(format!("{policy}, {fronts} fronts, {servers} servers"))
        .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2)));
    let bars = points.iter().map(|point| {
        ErrorBar::new_vertical(point.rate, point.low, point.mean, point.high, colour.filled(), 6)
    });
    chart.draw_series(bars)?;
    Ok(())
}
