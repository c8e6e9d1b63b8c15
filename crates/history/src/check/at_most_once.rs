//! A non-idempotent request runs at most once.

use std::collections::{HashMap, HashSet};

use super::Finding;
use crate::record::{Event, Record};

/// Checks that no request identifier of a non-idempotent request arrived more than once.
pub(super) fn check(records: &[Record]) -> Finding {
    let mut finding = Finding::new("at most once");
    let mut non_idempotent = HashSet::new();
    for record in records {
        if let Event::Called {
            request,
            idempotent: false,
            ..
        } = &record.event
        {
            non_idempotent.insert((&request.contract, &request.id));
        }
    }
    let mut executions: HashMap<_, String> = HashMap::new();
    for record in records {
        let Event::Arrived {
            instance, request, ..
        } = &record.event
        else {
            continue;
        };
        let key = (&request.contract, &request.id);
        if !non_idempotent.contains(&key) {
            continue;
        }
        let execution = format!("attempt {} at {instance}", request.attempt);
        let previous = executions.insert(key, execution);
        finding.require(previous.is_none(), record.at_us, || {
            let previous = previous.unwrap_or_default();
            let attempt = request.attempt;
            format!(
                "request {} ran as {previous} and as attempt {attempt} at {instance}",
                request.id
            )
        });
    }
    finding
}
