//! The results of an experiment: a table with one row per run, and a summary per case.

use std::path::Path;

use ochrelead_parquet::{Cell, ColumnType, TableError, TableWriter};
use statrs::distribution::{ContinuousCDF, StudentsT};

use super::{Case, CaseResult};

/// Confidence level of the two-sided interval of a mean.
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

/// A summary of all repeats of one case.
#[derive(Clone, Debug, PartialEq)]
pub struct CaseSummary {
    /// The name of the policy.
    pub policy: &'static str,
    /// The offered load, in sessions per second.
    pub rate: f64,
    /// The number of fronts.
    pub fronts: usize,
    /// The number of servers.
    pub servers: usize,
    /// The number of runs.
    pub repeats: usize,
    /// The mean service share.
    pub mean: f64,
    /// The lower bound of the mean's confidence interval.
    pub low: f64,
    /// The upper bound of the mean's confidence interval.
    pub high: f64,
    /// The number of runs without a violation.
    pub clean_runs: usize,
}

/// Writes a table with one row per run. Returns the number of rows.
///
/// # Errors
///
/// Returns an error if the table can't be written.
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

/// Summarizes all cases, with confidence intervals from Student's t-distribution.
pub fn summarize(cases: &[Case], results: &[CaseResult]) -> Vec<CaseSummary> {
    let mut summaries = Vec::new();
    let mut first = 0;
    while first < cases.len() {
        let case = &cases[first];
        let repeats = cases[first..].iter().take_while(|other| same_case(case, other)).count();
        summaries.push(summarize_case(case, &results[first..first + repeats]));
        first += repeats;
    }
    summaries
}

/// Returns whether two runs are repeats of the same case.
fn same_case(one: &Case, other: &Case) -> bool {
    let key = |case: &Case| {
        let scenario = &case.scenario;
        let rate = scenario.callers.sessions_per_s.to_bits();
        (case.policy, rate, scenario.fronts, scenario.servers.len())
    };
    key(one) == key(other)
}

fn summarize_case(case: &Case, results: &[CaseResult]) -> CaseSummary {
    let services: Vec<f64> = results.iter().map(|result| result.service).collect();
    let (mean, half_width) = mean_and_half_width(&services);
    CaseSummary {
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

/// Returns the mean, and half the width of its confidence interval; the width is 0 for a single value.
fn mean_and_half_width(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count.max(1.0);
    if values.len() < 2 {
        return (mean, 0.0);
    }
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0);
    let distribution = StudentsT::new(0.0, 1.0, count - 1.0).expect("at least one degree of freedom");
    (mean, distribution.inverse_cdf(0.5 + CONFIDENCE / 2.0) * (variance / count).sqrt())
}
