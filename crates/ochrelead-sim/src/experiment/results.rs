//! The results of an experiment: one row a run, and one mean a case.

use std::path::Path;

use ochrelead_parquet::{Cell, ColumnType, TableError, TableWriter};
use statrs::distribution::{ContinuousCDF, StudentsT};

use super::{Case, CaseResult};

/// The confidence of the interval of a mean, two-sided.
const CONFIDENCE: f64 = 0.95;

const COLUMNS: [(&str, ColumnType); 11] = [
    ("policy", ColumnType::Text),
    ("sessions_per_s", ColumnType::Float),
    ("fronts", ColumnType::Integer),
    ("servers", ColumnType::Integer),
    ("seed", ColumnType::Integer),
    ("service", ColumnType::Float),
    ("worst_10_s", ColumnType::Float),
    ("ceiling", ColumnType::Float),
    ("offered", ColumnType::Integer),
    ("events", ColumnType::Integer),
    ("broken", ColumnType::Text),
];

/// All repeats of one case.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    /// The name of the policy.
    pub policy: &'static str,
    /// The sessions a second that callers ask for.
    pub rate: f64,
    /// The number of fronts.
    pub fronts: usize,
    /// The number of servers.
    pub servers: usize,
    /// The number of runs.
    pub repeats: usize,
    /// The mean of the service.
    pub mean: f64,
    /// The lower bound of its confidence interval.
    pub low: f64,
    /// The upper bound of its confidence interval.
    pub high: f64,
    /// The runs without a violation.
    pub clean_runs: usize,
}

/// Writes one row a run; how many there are.
///
/// # Errors
///
/// Where the table can't be written.
pub fn write_table(path: &Path, cases: &[Case], results: &[CaseResult]) -> Result<usize, TableError> {
    let mut table = TableWriter::create(path, &COLUMNS)?;
    for (case, result) in cases.iter().zip(results) {
        let violation = result.violation.map(|kind| kind.to_string());
        table.write_row(vec![
            Cell::Text(case.policy.to_owned()),
            Cell::Float(case.scenario.callers.sessions_per_s),
            Cell::Integer(case.scenario.fronts as i64),
            Cell::Integer(case.scenario.servers.len() as i64),
            Cell::Integer(case.scenario.seed as i64),
            Cell::Float(result.service),
            Cell::Float(result.worst_window),
            Cell::Float(result.ceiling),
            Cell::Integer(result.offered as i64),
            Cell::Integer(result.events as i64),
            violation.map_or(Cell::Empty, Cell::Text),
        ])?;
    }
    table.finish()
}

/// The means of all cases, with Student's confidence intervals.
pub fn points(cases: &[Case], results: &[CaseResult]) -> Vec<Point> {
    let mut points = Vec::new();
    let mut first = 0;
    while first < cases.len() {
        let case = &cases[first];
        let repeats = cases[first..].iter().take_while(|other| same_case(case, other)).count();
        points.push(point(case, &results[first..first + repeats]));
        first += repeats;
    }
    points
}

fn same_case(one: &Case, other: &Case) -> bool {
    let key = |case: &Case| {
        let scenario = &case.scenario;
        let rate = scenario.callers.sessions_per_s.to_bits();
        (case.policy, rate, scenario.fronts, scenario.servers.len())
    };
    key(one) == key(other)
}

fn point(case: &Case, results: &[CaseResult]) -> Point {
    let services: Vec<f64> = results.iter().map(|result| result.service).collect();
    let (mean, half_width) = mean_with_bounds(&services);
    Point {
        policy: case.policy,
        rate: case.scenario.callers.sessions_per_s,
        fronts: case.scenario.fronts,
        servers: case.scenario.servers.len(),
        repeats: results.len(),
        mean,
        low: (mean - half_width).max(0.0),
        high: (mean + half_width).min(1.0),
        clean_runs: results.iter().filter(|result| result.violation.is_none()).count(),
    }
}

/// The mean, and half the width of its confidence interval.
fn mean_with_bounds(figures: &[f64]) -> (f64, f64) {
    let count = figures.len() as f64;
    let mean = figures.iter().sum::<f64>() / count.max(1.0);
    if figures.len() < 2 {
        return (mean, 0.0);
    }
    let variance = figures.iter().map(|figure| (figure - mean).powi(2)).sum::<f64>() / (count - 1.0);
    let student = StudentsT::new(0.0, 1.0, count - 1.0).expect("one degree of freedom at least");
    (mean, student.inverse_cdf(0.5 + CONFIDENCE / 2.0) * (variance / count).sqrt())
}
