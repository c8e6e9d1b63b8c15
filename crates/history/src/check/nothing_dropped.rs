//! Every acknowledged job reaches one terminal state.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Finding;
use crate::record::{Event, Record};

#[derive(Default)]
struct Job<'a> {
    accepted_us: Option<u64>,
    ended: Option<&'a Arc<str>>,
}

/// Checks that each acknowledged job was seen in a terminal state, and in no other state after it.
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
                let known = jobs.entry(job).or_default();
                match known.ended {
                    Some(ended) if ended != state => {
                        let seen = format!("job {job} was {state} after it had been {ended}");
                        finding.violate(record.at_us, seen);
                    }
                    Some(_) => {}
                    None if *terminal => known.ended = Some(state),
                    None => {}
                }
            }
            _ => {}
        }
    }
    for (name, job) in jobs {
        if let Some(at_us) = job.accepted_us {
            finding.require(job.ended.is_some(), at_us, || {
                format!("job {name} was acknowledged and never seen to end")
            });
        }
    }
    finding
}
