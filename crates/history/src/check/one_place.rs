//! No task runs in two places.

use std::collections::HashMap;
use std::sync::Arc;

use super::Finding;
use crate::record::{Event, Record};

/// Checks that a task holds no other lease, by the workers' own clocks, when it gets one.
pub(super) fn check(records: &[Record]) -> Finding {
    let mut finding = Finding::new("one place");
    let mut live: HashMap<&Arc<str>, Vec<(&Arc<str>, u32)>> = HashMap::new();
    for record in records {
        match &record.event {
            Event::LeaseGranted {
                worker,
                task,
                attempt,
                ..
            } => {
                let leases = live.entry(task).or_default();
                finding.require(leases.is_empty(), record.at_us, || {
                    let others: Vec<_> = leases
                        .iter()
                        .map(|(worker, attempt)| format!("{worker} (attempt {attempt})"))
                        .collect();
                    format!(
                        "task {task} attempt {attempt} runs at {worker} and at {}",
                        others.join(", ")
                    )
                });
                leases.push((worker, *attempt));
            }
            Event::LeaseEnded {
                worker,
                task,
                attempt,
                ..
            } => {
                let ended =
                    |(name, number): &(&Arc<str>, u32)| *name == worker && number == attempt;
                if let Some(leases) = live.get_mut(task) {
                    leases.retain(|lease| !ended(lease));
                }
            }
            _ => {}
        }
    }
    finding
}
