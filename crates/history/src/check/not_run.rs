//! A request that is reported to its caller as not run was not run.

use std::collections::{HashMap, HashSet};

use super::Finding;
use crate::record::{Event, Outcome, Record, Request};

/// Checks that no attempt that was reported as not run, nor an earlier one of the same request,
/// arrived at a target at any time, before or after the report.
pub(super) fn check(records: &[Record]) -> Finding {
    let mut finding = Finding::new("not run");
    let mut calls: HashMap<u64, &Request> = HashMap::new();
    let mut arrived: HashMap<_, HashSet<u32>> = HashMap::new();
    for record in records {
        match &record.event {
            Event::Called { call, request, .. } => {
                calls.insert(*call, request);
            }
            Event::Arrived { request, .. } => {
                let attempts = arrived.entry((&request.contract, &request.id)).or_default();
                attempts.insert(request.attempt);
            }
            _ => {}
        }
    }
    for record in records {
        let Event::Answered {
            call,
            outcome: Outcome::NotRun,
            reason,
            ..
        } = &record.event
        else {
            continue;
        };
        let Some(request) = calls.get(call) else {
            continue;
        };
        let attempts = arrived.get(&(&request.contract, &request.id));
        let ran = attempts
            .into_iter()
            .flatten()
            .find(|attempt| **attempt <= request.attempt);
        finding.require(ran.is_none(), record.at_us, || {
            format!(
                "request {} attempt {} was reported as not run ({reason}), but attempt {} ran",
                request.id,
                request.attempt,
                ran.copied().unwrap_or_default()
            )
        });
    }
    finding
}
