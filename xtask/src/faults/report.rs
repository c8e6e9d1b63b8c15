//! Table of the conditions checked.

use std::collections::HashSet;
use std::sync::Arc;

use rosemaryworks_history::check::{self, Finding};
use rosemaryworks_history::record::{LeaseEnd, Outcome, Reply};
use rosemaryworks_history::{Event, Record};
use serde_json::Value;

/// Violations printed per condition.
const PRINTED_MAX: usize = 5;

/// What a run exercised.
#[derive(Debug, Default)]
struct Counts {
    answered: u64,
    failures: u64,
    lapsed: u64,
    lost: u64,
    not_run: u64,
    revisions: u64,
    takeovers: u64,
    unknown: u64,
}

impl Counts {
    fn new(records: &[Record]) -> Self {
        let mut counts = Self::default();
        let mut ids = HashSet::new();
        for record in records {
            counts.add(&record.event, &mut ids);
        }
        counts
    }

    fn add<'a>(&mut self, event: &'a Event, ids: &mut HashSet<&'a Arc<str>>) {
        match event {
            Event::Answered { outcome, .. } => match outcome {
                Outcome::Completed => self.answered += 1,
                Outcome::NotRun => self.not_run += 1,
                Outcome::Unknown => self.unknown += 1,
                Outcome::Lost | Outcome::TimedOut | Outcome::Unreached => self.lost += 1,
                Outcome::Refused => {}
            },
            Event::Appended {
                stream,
                id,
                records,
                ..
            } if &**stream == "cell" && ids.insert(id) => {
                let claims = records.iter().filter(|text| is_takeover(text));
                self.takeovers += claims.count() as u64;
            }
            Event::Fault { began: true, .. } => self.failures += 1,
            Event::LeaseEnded {
                end: LeaseEnd::Lapsed,
                ..
            } => self.lapsed += 1,
            Event::OperatorTold {
                told: Reply::Accepted { .. },
                ..
            } => self.revisions += 1,
            _ => {}
        }
    }

    /// Returns what a run must exercise and this one didn't.
    fn missing(&self) -> Vec<&'static str> {
        let wanted = [
            (self.takeovers, "takeovers"),
            (self.not_run, "refused requests"),
            (self.revisions, "accepted revisions"),
        ];
        let missing = wanted.iter().filter(|(count, _)| *count == 0);
        missing.map(|(_, name)| *name).collect()
    }
}

/// Tells whether a record claims a shard that had an owner before.
fn is_takeover(text: &str) -> bool {
    let record: Value = serde_json::from_str(text).unwrap_or_default();
    record["claim"]["previous"]
        .as_u64()
        .is_some_and(|previous| previous > 0)
}

/// Checks a history, prints the table and returns whether every condition was checked and holds.
pub(crate) fn print(records: &[Record]) -> bool {
    let findings = check::all(records);
    println!(
        "{:<22} {:>9} {:>10}  result",
        "condition", "checked", "violations"
    );
    for finding in &findings {
        print_finding(finding);
    }
    let counts = Counts::new(records);
    println!(
        "requests: {} completed, {} not run, {} unknown, {} without an answer",
        counts.answered, counts.not_run, counts.unknown, counts.lost
    );
    println!(
        "failures: {}, takeovers: {}, leases lapsed: {}, revisions accepted: {}",
        counts.failures, counts.takeovers, counts.lapsed, counts.revisions
    );
    let missing = counts.missing();
    if !missing.is_empty() {
        println!("VACUOUS: the run had no {}", missing.join(", no "));
    }
    missing.is_empty() && findings.iter().all(Finding::holds)
}

fn print_finding(finding: &Finding) {
    let result = match (finding.is_vacuous(), finding.violations.len()) {
        (_, 1..) => "VIOLATED",
        (true, 0) => "VACUOUS",
        (false, 0) => "holds",
    };
    let violations = finding.violations.len();
    println!(
        "{:<22} {:>9} {violations:>10}  {result}",
        finding.condition, finding.checked
    );
    for violation in finding.violations.iter().take(PRINTED_MAX) {
        println!("    {violation}");
    }
}
