//! Checks the histories of a run and prints the results.

use std::collections::HashSet;
use std::sync::Arc;

use rosemaryworks_history::check::{self, Finding};
use rosemaryworks_history::record::{LeaseEnd, Outcome, Reply};
use rosemaryworks_history::{Event, Record};
use serde_json::Value;

/// Violations printed per condition.
const PRINTED_VIOLATIONS_MAX: usize = 5;

/// Counts of the events that a run produced.
#[derive(Debug, Default)]
struct Totals {
    completed: u64,
    faults: u64,
    expired_leases: u64,
    /// Requests without a response: not delivered, lost or timed out.
    unanswered: u64,
    not_run: u64,
    revisions: u64,
    takeovers: u64,
    unknown: u64,
}

impl Totals {
    fn new(records: &[Record]) -> Self {
        let mut totals = Self::default();
        let mut ids = HashSet::new();
        for record in records {
            totals.add(&record.event, &mut ids);
        }
        totals
    }

    fn add<'a>(&mut self, event: &'a Event, ids: &mut HashSet<&'a Arc<str>>) {
        match event {
            Event::Answered { outcome, .. } => match outcome {
                Outcome::Completed => self.completed += 1,
                Outcome::NotRun => self.not_run += 1,
                Outcome::Unknown => self.unknown += 1,
                Outcome::Lost | Outcome::TimedOut | Outcome::Unreached => self.unanswered += 1,
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
            Event::Fault { began: true, .. } => self.faults += 1,
            Event::LeaseEnded {
                end: LeaseEnd::Lapsed,
                ..
            } => self.expired_leases += 1,
            Event::OperatorTold {
                told: Reply::Accepted { .. },
                ..
            } => self.revisions += 1,
            _ => {}
        }
    }

    /// Returns the events that every run must produce and this one didn't.
    fn missing(&self) -> Vec<&'static str> {
        let required = [
            (self.takeovers, "takeovers"),
            (self.not_run, "refused requests"),
            (self.revisions, "accepted revisions"),
        ];
        let missing = required.iter().filter(|(count, _)| *count == 0);
        missing.map(|(_, name)| *name).collect()
    }
}

/// Returns whether a record claims a shard that had an owner before.
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
    let totals = Totals::new(records);
    println!(
        "requests: {} completed, {} not run, {} unknown, {} without an answer",
        totals.completed, totals.not_run, totals.unknown, totals.unanswered
    );
    println!(
        "failures: {}, takeovers: {}, leases lapsed: {}, revisions accepted: {}",
        totals.faults, totals.takeovers, totals.expired_leases, totals.revisions
    );
    let missing = totals.missing();
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
    for violation in finding.violations.iter().take(PRINTED_VIOLATIONS_MAX) {
        println!("    {violation}");
    }
}
