//! Every acknowledged job reaches exactly one terminal state.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Finding;
use crate::record::{Event, Record};

#[derive(Default)]
struct Job<'a> {
    accepted_us: Option<u64>,
    terminal_state: Option<&'a Arc<str>>,
}

/// Checks that each acknowledged job was observed in a terminal state, and in no other state
/// afterwards.
pub(super) fn check(records: &[Record]) -> Finding {
    let mut finding = Finding::new("nothing dropped");
    let mut jobs: BTreeMap<&Arc<str>, Job> = BTreeMap::new();
    for record in records {
        match &record.event {
            Event::JobAccepted { job } => {
                let state = jobs.entry(job).or_default();
                state.accepted_us.get_or_insert(record.at_us);
            }
            Event::JobSeen {
                job,
                state,
                terminal,
            } => {
                let observed = jobs.entry(job).or_default();
                match observed.terminal_state {
                    Some(previous) if previous != state => {
                        let description =
                            format!("job {job} was {state} after it had been {previous}");
                        finding.add_violation(record.at_us, description);
                    }
                    Some(_) => {}
                    None if *terminal => observed.terminal_state = Some(state),
                    None => {}
                }
            }
            _ => {}
        }
    }
    for (name, job) in jobs {
        if let Some(at_us) = job.accepted_us {
            finding.require(job.terminal_state.is_some(), at_us, || {
                format!("job {name} was acknowledged but never observed in a terminal state")
            });
        }
    }
    finding
}
