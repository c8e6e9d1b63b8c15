//! Graceful shutdown: a planned stop interrupts no request and loses no task.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::Finding;
use crate::record::{Event, LeaseEnd, Outcome, Record};

/// Longest time after a stop in which it can make a lease lapse, in microseconds: lease validity,
/// the allowance for clock drift and a margin.
const EFFECT_MAX_US: u64 = 10_000_000;

/// Time after the exit in which a caller detects that its connection was closed, in microseconds.
const DETECTION_MAX_US: u64 = 1_000_000;

struct Stop<'a> {
    began_us: u64,
    ended_us: u64,
    process: &'a Arc<str>,
}

impl Stop<'_> {
    /// Returns whether a time lies between the start of the stop and `after_us` after the exit.
    fn covers(&self, at_us: u64, after_us: u64) -> bool {
        (self.began_us..=self.ended_us.saturating_add(after_us)).contains(&at_us)
    }
}

/// Checks the calls to stopped processes, and the lapsed leases of workers that have never been
/// unreachable and whose lapse no injected fault can explain. Counts the stops.
pub(super) fn check(records: &[Record]) -> Finding {
    let mut finding = Finding::new("planned stop");
    let stops = stops(records, &mut finding);
    let faults = fault_intervals(records);
    let mut called: HashMap<u64, &Arc<str>> = HashMap::new();
    let mut unreachable = HashSet::new();
    for record in records {
        match &record.event {
            Event::Called { call, process, .. } => {
                called.insert(*call, process);
            }
            Event::Answered {
                call,
                outcome: Outcome::Lost,
                ..
            } => {
                let process = called.get(call);
                let overlaps = |stop: &&Stop| {
                    Some(&stop.process) == process && stop.covers(record.at_us, DETECTION_MAX_US)
                };
                if let Some(stop) = stops.iter().find(overlaps) {
                    let description =
                        format!("the stop of {} interrupted call {call}", stop.process);
                    finding.add_violation(record.at_us, description);
                }
            }
            Event::WorkerCut { worker, .. } => {
                unreachable.insert(worker);
            }
            Event::LeaseEnded {
                worker,
                task,
                end: LeaseEnd::Lapsed,
                ..
            } if !unreachable.contains(worker) => {
                let overlaps = |stop: &&Stop| stop.covers(record.at_us, EFFECT_MAX_US);
                let Some(stop) = stops.iter().find(overlaps) else {
                    continue;
                };
                let from_us = stop.began_us.saturating_sub(EFFECT_MAX_US);
                if !faults
                    .iter()
                    .any(|(began_us, ended_us)| *began_us <= record.at_us && *ended_us >= from_us)
                {
                    let description = format!(
                        "the stop of {} let the lease of task {task} lapse",
                        stop.process
                    );
                    finding.add_violation(record.at_us, description);
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
        let is_open = |stop: &&mut Stop| stop.process == process && stop.ended_us == u64::MAX;
        match (began, stops.iter_mut().find(is_open)) {
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
            let description = format!("process {} did not exit", stop.process);
            finding.add_violation(stop.began_us, description);
        }
    }
    stops
}

/// Returns the start and end of each injected fault, including the time of its after-effects.
fn fault_intervals(records: &[Record]) -> Vec<(u64, u64)> {
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
            // Leases may still lapse after the end of the fault because of it.
            closed.push((began_us, record.at_us + EFFECT_MAX_US));
        }
    }
    closed.extend(open.into_values().map(|began_us| (began_us, u64::MAX)));
    closed
}
