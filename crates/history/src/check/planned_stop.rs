//! Every planned stop is a graceful shutdown: it cuts off no request and loses no task.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::Finding;
use crate::record::{Event, LeaseEnd, Outcome, Record};

/// Longest time after a stop in which its consequences show: lease validity, its clock allowance
/// and a margin.
const AFTER_US: u64 = 10_000_000;

/// Time after the exit in which a caller notices that its connection was cut.
const NOTICE_US: u64 = 1_000_000;

struct Stop<'a> {
    began_us: u64,
    ended_us: u64,
    process: &'a Arc<str>,
}

impl Stop<'_> {
    fn covers(&self, at_us: u64, after_us: u64) -> bool {
        (self.began_us..=self.ended_us.saturating_add(after_us)).contains(&at_us)
    }
}

/// Checks callers of stopped processes, and leases at workers that nothing else disturbed. Counts
/// the stops.
pub(super) fn check(records: &[Record]) -> Finding {
    let mut finding = Finding::new("planned stop");
    let stops = stops(records, &mut finding);
    let disturbed = disturbances(records);
    let mut callers: HashMap<u64, &Arc<str>> = HashMap::new();
    let mut cut = HashSet::new();
    for record in records {
        match &record.event {
            Event::Called { call, process, .. } => {
                callers.insert(*call, process);
            }
            Event::Answered {
                call,
                outcome: Outcome::Lost,
                ..
            } => {
                let process = callers.get(call);
                let caused = |stop: &&Stop| {
                    Some(&stop.process) == process && stop.covers(record.at_us, NOTICE_US)
                };
                if let Some(stop) = stops.iter().find(caused) {
                    let seen = format!("the stop of {} cut off call {call}", stop.process);
                    finding.violate(record.at_us, seen);
                }
            }
            Event::WorkerCut { worker, .. } => {
                cut.insert(worker);
            }
            Event::LeaseEnded {
                worker,
                task,
                end: LeaseEnd::Lapsed,
                ..
            } if !cut.contains(worker) => {
                let caused = |stop: &&Stop| stop.covers(record.at_us, AFTER_US);
                let Some(stop) = stops.iter().find(caused) else {
                    continue;
                };
                let from_us = stop.began_us.saturating_sub(AFTER_US);
                if !disturbed
                    .iter()
                    .any(|(began_us, ended_us)| *began_us <= record.at_us && *ended_us >= from_us)
                {
                    let seen = format!("the stop of {} let task {task} lapse", stop.process);
                    finding.violate(record.at_us, seen);
                }
            }
            _ => {}
        }
    }
    finding
}

fn stops<'a>(records: &'a [Record], finding: &mut Finding) -> Vec<Stop<'a>> {
    let mut stops: Vec<Stop<'a>> = Vec::new();
    for record in records {
        let Event::PlannedStop { process, began } = &record.event else {
            continue;
        };
        let open = |stop: &&mut Stop| stop.process == process && stop.ended_us == u64::MAX;
        match (began, stops.iter_mut().find(open)) {
            (true, _) => {
                finding.checked += 1;
                stops.push(Stop {
                    began_us: record.at_us,
                    ended_us: u64::MAX,
                    process,
                });
            }
            (false, Some(stop)) => stop.ended_us = record.at_us,
            (false, None) => {}
        }
    }
    for stop in &stops {
        if stop.ended_us == u64::MAX {
            let seen = format!("process {} did not exit", stop.process);
            finding.violate(stop.began_us, seen);
        }
    }
    stops
}

/// Returns the times of all other failures.
fn disturbances(records: &[Record]) -> Vec<(u64, u64)> {
    let mut open: HashMap<(&Arc<str>, &Arc<str>), u64> = HashMap::new();
    let mut closed = Vec::new();
    for record in records {
        let Event::Fault {
            name,
            target,
            began,
        } = &record.event
        else {
            continue;
        };
        if *began {
            open.insert((name, target), record.at_us);
        } else if let Some(began_us) = open.remove(&(name, target)) {
            // What a failure did shows for a while after its end.
            closed.push((began_us, record.at_us + AFTER_US));
        }
    }
    closed.extend(open.into_values().map(|began_us| (began_us, u64::MAX)));
    closed
}
