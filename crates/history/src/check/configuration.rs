//! Configuration propagation: every process applies an accepted revision within 12 s and never
//! reverts to an older one.

use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;

use super::Finding;
use crate::record::{Event, Record};

/// Time from acceptance until every process must apply a revision, in microseconds.
const PROPAGATION_MAX_US: u64 = 12_000_000;

/// The parts of a contracts stream record that the check needs.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Change {
    Publish(Publish),
    #[serde(untagged)]
    Other(serde::de::IgnoredAny),
}

#[derive(Deserialize)]
struct Publish {
    id: Arc<str>,
    expected: u64,
    contract: Contract,
}

#[derive(Deserialize)]
struct Contract {
    name: Arc<str>,
}

/// Checks the revisions that gateways return to readers.
pub(super) fn gateways(records: &[Record]) -> Finding {
    check("configuration", records, |event| match event {
        Event::Shown {
            process,
            contract,
            revision,
        } => Some((process, contract, *revision)),
        _ => None,
    })
}

/// Checks the revisions that schedulers enforce.
pub(super) fn schedulers(records: &[Record]) -> Finding {
    check("enforcement", records, |event| match event {
        Event::Enforced {
            process,
            contract,
            revision,
        } => Some((process, contract, *revision)),
        _ => None,
    })
}

/// Observed process, contract and revision.
type Observation<'a> = (&'a Arc<str>, &'a Arc<str>, u64);

/// Checks every observation of a process: its revision is no older than one accepted 12 s before,
/// nor than one that it had earlier. While the log is down or the process is paused, unreachable or
/// not ready, only reverting is checked; the 12 s restart when that ends.
fn check<'a>(
    condition: &'static str,
    records: &'a [Record],
    observe: impl Fn(&'a Event) -> Option<Observation<'a>>,
) -> Finding {
    let mut finding = Finding::new(condition);
    let mut accepted = Accepted::default();
    let mut disruptions = Disruptions::default();
    let mut latest: HashMap<(&Arc<str>, &Arc<str>), u64> = HashMap::new();
    for record in records {
        let at_us = record.at_us;
        disruptions.apply(record);
        accepted.apply(record);
        let Some((process, contract, revision)) = observe(&record.event) else {
            continue;
        };
        let last = latest.entry((process, contract)).or_default();
        finding.require(revision >= *last, at_us, || {
            format!("{process} has revision {revision} of {contract} after revision {last}")
        });
        *last = (*last).max(revision);
        let Some(undisrupted_us) = disruptions.undisrupted_since(process) else {
            continue;
        };
        let required = accepted.required_revision(contract, at_us, undisrupted_us);
        if revision < required {
            let description = format!(
                "{process} has revision {revision} of {contract}, but must apply {required}"
            );
            finding.add_violation(at_us, description);
        }
    }
    if accepted.is_empty() {
        // Without an accepted revision, the observations check nothing.
        finding.checked = 0;
    }
    finding
}

/// Times at which revisions were accepted, from the contracts stream.
#[derive(Default)]
struct Accepted {
    /// Identifiers of the publishes in the stream.
    ids: std::collections::HashSet<Arc<str>>,
    /// Acceptance times of the revisions 1, 2, … of each contract, in microseconds.
    revisions: HashMap<Arc<str>, Vec<u64>>,
}

impl Accepted {
    fn apply(&mut self, record: &Record) {
        let Event::Appended {
            stream, records, ..
        } = &record.event
        else {
            return;
        };
        if &**stream != "contracts" {
            return;
        }
        for text in records {
            if let Ok(Change::Publish(publish)) = serde_json::from_str(text) {
                self.publish(record.at_us, publish);
            }
        }
    }

    /// Records the time of an accepted publish. Ignores a repeated publish and one whose expected
    /// revision isn't the current one.
    fn publish(&mut self, at_us: u64, publish: Publish) {
        if !self.ids.insert(publish.id) {
            return;
        }
        let times = self.revisions.entry(publish.contract.name).or_default();
        if times.len() as u64 == publish.expected {
            times.push(at_us);
        }
    }

    fn is_empty(&self) -> bool {
        self.revisions.values().all(Vec::is_empty)
    }

    /// Returns the revision that a process must apply at `at_us` if no fault has affected it since
    /// `undisrupted_us`.
    fn required_revision(&self, contract: &Arc<str>, at_us: u64, undisrupted_us: u64) -> u64 {
        let times = self.revisions.get(contract).map_or(&[][..], Vec::as_slice);
        let is_due = |time: &&u64| (**time).max(undisrupted_us) + PROPAGATION_MAX_US < at_us;
        times.iter().take_while(is_due).count() as u64
    }
}

/// Faults and outages that keep processes from following the log.
#[derive(Default)]
struct Disruptions {
    /// Whether each process is down.
    down: HashMap<Arc<str>, bool>,
    /// Number of active faults by target.
    faults: HashMap<Arc<str>, u32>,
    /// Time of the latest change of a fault or an outage by target, in microseconds.
    undisrupted_since: HashMap<Arc<str>, u64>,
}

/// Target name of faults of the log.
const LOG: &str = "log";

impl Disruptions {
    fn apply(&mut self, record: &Record) {
        match &record.event {
            Event::Fault { target, began, .. } => {
                let count = self.faults.entry(target.clone()).or_default();
                *count = match began {
                    true => *count + 1,
                    false => count.saturating_sub(1),
                };
                self.undisrupted_since.insert(target.clone(), record.at_us);
            }
            Event::Process { process, up } => {
                self.down.insert(process.clone(), !up);
                self.undisrupted_since.insert(process.clone(), record.at_us);
            }
            _ => {}
        }
    }

    /// Returns the time since which `process` has been able to follow the log, or `None` if a fault
    /// or an outage prevents it now.
    fn undisrupted_since(&self, process: &Arc<str>) -> Option<u64> {
        let faulty = |name: &str| self.faults.get(name).is_some_and(|count| *count > 0);
        let down = self.down.get(process).is_some_and(|down| *down);
        if faulty(process) || faulty(LOG) || down {
            return None;
        }
        let since = |name: &str| self.undisrupted_since.get(name).copied().unwrap_or(0);
        Some(since(process).max(since(LOG)))
    }
}
