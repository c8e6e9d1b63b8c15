//! Measures the routing kernel on generated load against baselines in the same run.
//!
//! A discrete-event simulation stands for callers, gateways and instances. The kernel under test is
//! the one that schedulers run.

mod baseline;
mod blocking;
mod crest;
mod fairness;
mod kernel;
mod load;
mod sim;
mod speed;

use std::fmt;

/// Names of the scenarios.
pub(crate) const NAMES: [&str; 4] = ["crest", "blocking", "fairness", "routing-speed"];

/// Seeds per scenario.
const SEEDS: u64 = 5;

/// One measured figure over several seeds.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    /// Scenario.
    pub(crate) scenario: &'static str,
    /// What was measured.
    pub(crate) metric: String,
    /// Policy that decided.
    pub(crate) policy: String,
    /// Median over the seeds.
    pub(crate) median: f64,
    /// Least and greatest value over the seeds.
    pub(crate) spread: (f64, f64),
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<9} {:<44} {:<22} {:>9.3}  [{:.3}, {:.3}]",
            self.scenario, self.metric, self.policy, self.median, self.spread.0, self.spread.1
        )
    }
}

/// A figure of one seed: metric, policy and value.
type Figure = (String, String, f64);

/// Runs the scenario `name` with several seeds from `seed` on.
pub(crate) fn run(name: &str, seed: u64) -> Vec<Row> {
    let (scenario, figures): (_, fn(u64) -> Vec<Figure>) = match name {
        "blocking" => ("blocking", blocking::figures),
        "crest" => ("crest", crest::figures),
        "fairness" => ("fairness", fairness::figures),
        "routing-speed" => ("speed", speed::figures),
        _ => return Vec::new(),
    };
    let runs = run_seeds(seed, figures);
    (0..runs[0].len())
        .map(|at| row(scenario, &runs, at))
        .collect()
}

/// Runs the seeds on as many threads.
fn run_seeds(seed: u64, figures: fn(u64) -> Vec<Figure>) -> Vec<Vec<Figure>> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = (seed..seed + SEEDS)
            .map(|seed| scope.spawn(move || figures(seed)))
            .collect();
        let finished = threads.into_iter().map(|thread| thread.join());
        finished.map(|run| run.expect("a seed failed")).collect()
    })
}

fn row(scenario: &'static str, runs: &[Vec<Figure>], at: usize) -> Row {
    let mut values: Vec<_> = runs.iter().map(|run| run[at].2).collect();
    values.sort_by(f64::total_cmp);
    let (metric, policy, _) = runs[0][at].clone();
    Row {
        scenario,
        metric,
        policy,
        median: values[values.len() / 2],
        spread: (values[0], values[values.len() - 1]),
    }
}

/// Returns the quantile `share` of `values`, or 0 if there are none.
fn quantile(mut values: Vec<f64>, share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = (values.len() as f64 * share) as usize;
    values
        .get(at.min(values.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}
