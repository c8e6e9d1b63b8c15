//! Table of the figures of several seeds: medians, ranges and ratios to baselines.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

use serde::Serialize;

/// One figure of one run, with the same figure of each baseline.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    /// What is measured, with its unit.
    pub(crate) name: String,
    /// Figure of the measured policy.
    pub(crate) ours: f64,
    /// Figures of the baselines by name.
    pub(crate) baselines: Vec<(String, f64)>,
}

impl Row {
    /// Creates a row from the figures of the measured policy and of each baseline.
    pub(crate) fn new(name: impl Into<String>, ours: f64, baselines: &[(&str, f64)]) -> Self {
        let owned = |(name, figure): &(&str, f64)| ((*name).to_owned(), *figure);
        Self {
            name: name.into(),
            ours,
            baselines: baselines.iter().map(owned).collect(),
        }
    }
}

/// Rows of all seeds by scenario and name.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Table {
    order: Vec<(String, String)>,
    runs: BTreeMap<String, Vec<Row>>,
}

impl Table {
    /// Adds the rows of one seed.
    pub(crate) fn add(&mut self, scenario: &str, rows: Vec<Row>) {
        for row in rows {
            let key = format!("{scenario}: {}", row.name);
            let runs = self.runs.entry(key.clone()).or_default();
            if runs.is_empty() {
                self.order.push((scenario.to_owned(), key));
            }
            runs.push(row);
        }
    }

    /// Writes all figures as JSON.
    pub(crate) fn write(&self, path: &Path) -> std::io::Result<()> {
        let text = serde_json::to_string_pretty(&self.runs)?;
        std::fs::write(path, text)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "Median (lowest to highest) over the seeds; ratios are ours / baseline."
        )?;
        for (_, key) in &self.order {
            let runs = &self.runs[key];
            let ours = runs.iter().map(|row| row.ours).collect();
            write!(f, "{key:<58} {:<26}", median_and_range(ours))?;
            for (column, (name, _)) in runs[0].baselines.iter().enumerate() {
                let ratios = runs
                    .iter()
                    .map(|row| ratio(row.ours, row.baselines[column].1));
                write!(f, "  {name} {}", median_and_range(ratios.collect()))?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

/// Returns the value below which `percent` of `values` lie, 0 if there are none.
pub(crate) fn quantile(values: &mut [f64], percent: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    let position = (last as f64 * percent / 100.0).round() as usize;
    values.get(position).copied().unwrap_or(0.0)
}

fn ratio(ours: f64, baseline: f64) -> f64 {
    if ours == baseline {
        return 1.0;
    }
    ours / baseline
}

fn median_and_range(mut values: Vec<f64>) -> String {
    let median = quantile(&mut values, 50.0);
    let (lowest, highest) = (values[0], values[values.len() - 1]);
    format!(
        "{} ({} to {})",
        format_figure(median),
        format_figure(lowest),
        format_figure(highest)
    )
}

fn format_figure(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.3}"),
    }
}
