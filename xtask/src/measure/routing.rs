//! Measures the routing kernel on generated load against baselines in the same run.
//!
//! A discrete-event simulation replaces callers, gateways and instances. The kernel under test is
//! the production code of the schedulers.

mod baseline;
mod blocking;
mod fairness;
mod kernel;
mod load;
mod overload;
mod sim;
mod speed;

use super::Scenario;
use super::table::Row;

/// Policy under measurement.
const OURS: &str = "kernel";

/// The measured policy with and without a retry budget, while instances fail.
const WITH_BUDGET: &str = "kernel, budget 10%";
const NO_BUDGET: &str = "kernel, no budget";

/// A figure of one seed: metric, policy and value.
type Figure = (String, String, f64);

/// A scenario of the routing kernel.
pub(crate) struct Routing {
    name: &'static str,
    figures: fn(u64) -> Vec<Figure>,
}

/// Overload: the arrival rate grows tenfold within 2 s.
pub(crate) const OVERLOAD: Routing = Routing {
    name: "routing-crest",
    figures: overload::figures,
};

/// Head-of-line blocking of short requests by stragglers.
pub(crate) const BLOCKING: Routing = Routing {
    name: "routing-blocking",
    figures: blocking::figures,
};

/// Fairness between contracts with different weights, and beside a greedy contract.
pub(crate) const FAIRNESS: Routing = Routing {
    name: "routing-fairness",
    figures: fairness::figures,
};

/// Time of the routing kernel per event.
pub(crate) const SPEED: Routing = Routing {
    name: SPEED_NAME,
    figures: speed::figures,
};

const SPEED_NAME: &str = "routing-speed";

impl Scenario for Routing {
    fn name(&self) -> &'static str {
        self.name
    }

    fn is_timed(&self) -> bool {
        self.name == SPEED_NAME
    }

    fn run(&self, seed: u64) -> Vec<Row> {
        rows(&(self.figures)(seed))
    }
}

/// Groups the figures of all policies by metric, in the order in which the metrics first occur.
fn rows(figures: &[Figure]) -> Vec<Row> {
    let mut metrics: Vec<&str> = Vec::new();
    for (metric, _, _) in figures {
        if !metrics.contains(&metric.as_str()) {
            metrics.push(metric);
        }
    }
    let rows = metrics.iter().flat_map(|metric| {
        let matching = figures.iter().filter(|figure| figure.0 == **metric);
        let values: Vec<_> = matching
            .map(|(_, policy, value)| (policy.as_str(), *value))
            .collect();
        [baseline_row(metric, &values), budget_row(metric, &values)]
    });
    rows.flatten().collect()
}

fn value(values: &[(&str, f64)], policy: &str) -> Option<f64> {
    values
        .iter()
        .find(|(name, _)| *name == policy)
        .map(|(_, value)| *value)
}

fn baseline_row(metric: &str, values: &[(&str, f64)]) -> Option<Row> {
    let ours = value(values, OURS)?;
    let is_baseline = |(name, _): &&(&str, f64)| ![OURS, WITH_BUDGET, NO_BUDGET].contains(name);
    let baselines: Vec<_> = values.iter().filter(is_baseline).copied().collect();
    Some(Row::new(metric, ours, &baselines))
}

fn budget_row(metric: &str, values: &[(&str, f64)]) -> Option<Row> {
    let (ours, other) = (value(values, WITH_BUDGET)?, value(values, NO_BUDGET)?);
    let name = format!("{metric}, failing instances");
    Some(Row::new(name, ours, &[("no-budget", other)]))
}

/// Returns the quantile `share` of `values`, or 0 if there are none.
fn quantile(mut values: Vec<f64>, share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * share) as usize;
    values
        .get(index.min(values.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}
