//! An accepted configuration is in force everywhere within 12 s and never reverts.

use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;

use super::Finding;
use crate::record::{Event, Record};

/// Microseconds from acceptance until every process must have the revision in force.
const EVERYWHERE_US: u64 = 12_000_000;

/// What is read of a record in the contracts stream.
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

/// Checks what gateways show.
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

/// Checks what schedulers apply.
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

/// Process, contract and revision that were seen.
type Look<'a> = (&'a Arc<str>, &'a Arc<str>, u64);

/// Checks every look at a process: it shows no revision older than one that was accepted 12 s
/// before, nor older than one that it showed before. The time doesn't run while the log is down or
/// the process is paused, cut off or not ready.
fn check<'a>(
    condition: &'static str,
    records: &'a [Record],
    look: impl Fn(&'a Event) -> Option<Look<'a>>,
) -> Finding {
    let mut finding = Finding::new(condition);
    let mut accepted = Accepted::default();
    let mut hindered = Hindered::default();
    let mut shown: HashMap<(&Arc<str>, &Arc<str>), u64> = HashMap::new();
    for record in records {
        let at_us = record.at_us;
        hindered.apply(record);
        accepted.apply(record);
        let Some((process, contract, revision)) = look(&record.event) else {
            continue;
        };
        let last = shown.entry((process, contract)).or_default();
        finding.require(revision >= *last, at_us, || {
            format!("{process} shows revision {revision} of {contract} after {last}")
        });
        *last = (*last).max(revision);
        let Some(free_us) = hindered.free_since(process) else {
            continue;
        };
        let due = accepted.due(contract, at_us, free_us);
        if revision < due {
            let seen =
                format!("{process} shows revision {revision} of {contract}, and {due} is due");
            finding.violate(at_us, seen);
        }
    }
    if accepted.is_empty() {
        // Looks at contracts that nobody revised tell nothing.
        finding.checked = 0;
    }
    finding
}

/// Accepted revisions with their times, from the contracts stream.
#[derive(Default)]
struct Accepted {
    ids: std::collections::HashSet<Arc<str>>,
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

    /// Returns the revision that a process, free to follow since `free_us`, must show at `at_us`.
    fn due(&self, contract: &Arc<str>, at_us: u64, free_us: u64) -> u64 {
        let times = self.revisions.get(contract).map_or(&[][..], Vec::as_slice);
        let is_due = |time: &&u64| (**time).max(free_us) + EVERYWHERE_US < at_us;
        times.iter().take_while(is_due).count() as u64
    }
}

/// Processes that can't follow the log at the moment.
#[derive(Default)]
struct Hindered {
    down: HashMap<Arc<str>, bool>,
    /// Faults in force, by target.
    faults: HashMap<Arc<str>, u32>,
    free_since: HashMap<Arc<str>, u64>,
}

/// Target of faults that concern the log.
const LOG: &str = "log";

impl Hindered {
    fn apply(&mut self, record: &Record) {
        match &record.event {
            Event::Fault { target, began, .. } => {
                let count = self.faults.entry(target.clone()).or_default();
                *count = match began {
                    true => *count + 1,
                    false => count.saturating_sub(1),
                };
                self.free_since.insert(target.clone(), record.at_us);
            }
            Event::Process { process, up } => {
                self.down.insert(process.clone(), !up);
                self.free_since.insert(process.clone(), record.at_us);
            }
            _ => {}
        }
    }

    /// Returns the time since which nothing keeps `process` from following the log, or `None` if
    /// something does now.
    fn free_since(&self, process: &Arc<str>) -> Option<u64> {
        let faulty = |name: &str| self.faults.get(name).is_some_and(|count| *count > 0);
        let down = self.down.get(process).is_some_and(|down| *down);
        if faulty(process) || faulty(LOG) || down {
            return None;
        }
        let since = |name: &str| self.free_since.get(name).copied().unwrap_or(0);
        Some(since(process).max(since(LOG)))
    }
}
