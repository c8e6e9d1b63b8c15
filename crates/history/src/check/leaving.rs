//! A leaving target receives no new work after 3 s.

use std::collections::HashMap;
use std::sync::Arc;

use super::Finding;
use crate::record::{Event, Record, Refusal};

/// Microseconds after the first notice during which new work may still arrive.
const GRACE_US: u64 = 3_000_000;

/// Checks that leaving targets get no work once the time is over. Counts the announcements.
pub(super) fn check(records: &[Record]) -> Finding {
    let mut finding = Finding::new("leaving");
    let mut leaving: HashMap<&Arc<str>, u64> = HashMap::new();
    for record in records {
        let (target, work) = match &record.event {
            Event::Leaving { target } => {
                finding.checked += 1;
                leaving.entry(target).or_insert(record.at_us);
                continue;
            }
            Event::Returned { target } => {
                leaving.remove(target);
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
        let Some(since_us) = leaving.get(target) else {
            continue;
        };
        let late_us = record.at_us.saturating_sub(*since_us);
        if late_us > GRACE_US {
            let seen =
                format!("target {target} got {work} {late_us} us after it announced to leave");
            finding.violate(record.at_us, seen);
        }
    }
    finding
}
