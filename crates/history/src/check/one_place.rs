//! Single execution: no task runs on two workers at the same time.

use std::collections::HashMap;
use std::sync::Arc;

use super::Finding;
use crate::record::{Event, Record};

/// Checks that no other lease of a task is live when a worker grants one. A lease ends when its
/// worker records the end, so expiry follows the worker's clock.
pub(super) fn check(records: &[Record]) -> Finding {
    let mut finding = Finding::new("one place");
    let mut live_leases: HashMap<&Arc<str>, Vec<(&Arc<str>, u32)>> = HashMap::new();
    for record in records {
        match &record.event {
            Event::LeaseGranted {
                worker,
                task,
                attempt,
                ..
            } => {
                let leases = live_leases.entry(task).or_default();
                finding.require(leases.is_empty(), record.at_us, || {
                    let others: Vec<_> = leases
                        .iter()
                        .map(|(worker, attempt)| format!("{worker} (attempt {attempt})"))
                        .collect();
                    format!(
                        "task {task} attempt {attempt} runs on {worker} and on {}",
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
                let is_ended =
                    |(name, number): &(&Arc<str>, u32)| *name == worker && number == attempt;
                if let Some(leases) = live_leases.get_mut(task) {
                    leases.retain(|lease| !is_ended(lease));
                }
            }
            _ => {}
        }
    }
    finding
}
