//! Draining: a target receives no new work later than 3 s after its drain notice.

use std::collections::HashMap;
use std::sync::Arc;

use super::Finding;
use crate::record::{Event, Record, Refusal};

/// Time after the first drain notice in which new work may still arrive, in microseconds.
const GRACE_US: u64 = 3_000_000;

/// Checks that draining targets receive no work after the grace period. Counts the drain notices.
pub(super) fn check(records: &[Record]) -> Finding {
    let mut finding = Finding::new("leaving");
    let mut draining: HashMap<&Arc<str>, u64> = HashMap::new();
    for record in records {
        let (target, work) = match &record.event {
            Event::Leaving { target } => {
                finding.checked += 1;
                draining.entry(target).or_insert(record.at_us);
                continue;
            }
            Event::Returned { target } => {
                draining.remove(target);
                continue;
            }
            Event::Arrived {
                instance, request, ..
            }
            | Event::Rejected {
                instance,
                request,
                reason: Refusal::Leaving,
            } => (instance, &request.id),
            Event::LeaseGranted { worker, task, .. } => (worker, task),
            _ => continue,
        };
        let Some(since_us) = draining.get(target) else {
            continue;
        };
        let elapsed_us = record.at_us.saturating_sub(*since_us);
        if elapsed_us > GRACE_US {
            let description =
                format!("target {target} received {work} {elapsed_us} us after its drain notice");
            finding.add_violation(record.at_us, description);
        }
    }
    finding
}
