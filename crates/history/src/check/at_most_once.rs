//! A non-idempotent request runs at most once.

use std::collections::{HashMap, HashSet};

use super::Finding;
use crate::record::{Event, Record};

/// Checks that no id of a non-idempotent request arrived twice at targets.
pub(super) fn check(records: &[Record]) -> Finding {
    let mut finding = Finding::new("at most once");
    let mut once = HashSet::new();
    for record in records {
        if let Event::Called {
            request,
            idempotent: false,
            ..
        } = &record.event
        {
            once.insert((&request.contract, &request.id));
        }
    }
    let mut ran: HashMap<_, String> = HashMap::new();
    for record in records {
        let Event::Arrived {
            instance, request, ..
        } = &record.event
        else {
            continue;
        };
        let key = (&request.contract, &request.id);
        if !once.contains(&key) {
            continue;
        }
        let place = format!("attempt {} at {instance}", request.attempt);
        let before = ran.insert(key, place);
        finding.require(before.is_none(), record.at_us, || {
            let before = before.unwrap_or_default();
            let attempt = request.attempt;
            format!(
                "request {} ran as {before} and as attempt {attempt} at {instance}",
                request.id
            )
        });
    }
    finding
}
