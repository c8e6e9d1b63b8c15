//! Invariant checks over a recorded history.
//!
//! Each check reports how many events it examined. A check that examined none is vacuous and counts
//! as failed.
//!
//! ```
//! use rosemaryworks_history::check;
//!
//! let findings = check::all(&[]);
//! assert!(findings.iter().all(|finding| finding.is_vacuous()));
//! ```

mod at_most_once;
mod capacity;
mod configuration;
mod leaving;
mod linearizable;
mod not_run;
mod nothing_dropped;
mod one_place;
mod planned_stop;
mod whole_answer;

use std::fmt;

use crate::record::Record;

/// A violation of a condition, the invariant that a check verifies.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// Unix time in microseconds.
    pub at_us: u64,
    /// Description of the violation.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {} us: {}", self.at_us, self.description)
    }
}

/// Result of one check.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Name of the condition.
    pub condition: &'static str,
    /// Number of checked events.
    pub checked: u64,
    /// Violations found.
    pub violations: Vec<Violation>,
}

impl Finding {
    fn new(condition: &'static str) -> Self {
        Self {
            condition,
            checked: 0,
            violations: Vec::new(),
        }
    }

    fn add_violation(&mut self, at_us: u64, description: String) {
        self.violations.push(Violation { at_us, description });
    }

    /// Counts a checked event and records a violation unless `holds`.
    fn require(&mut self, holds: bool, at_us: u64, description: impl FnOnce() -> String) {
        self.checked += 1;
        if !holds {
            self.add_violation(at_us, description());
        }
    }

    /// Returns whether the check examined no events.
    #[must_use]
    pub fn is_vacuous(&self) -> bool {
        self.checked == 0
    }

    /// Returns whether the check examined events and found no violation.
    #[must_use]
    pub fn holds(&self) -> bool {
        !self.is_vacuous() && self.violations.is_empty()
    }
}

/// Runs every check. `records` must be sorted by time.
#[must_use]
pub fn all(records: &[Record]) -> Vec<Finding> {
    vec![
        capacity::check(records),
        one_place::check(records),
        whole_answer::check(records),
        not_run::check(records),
        at_most_once::check(records),
        leaving::check(records),
        planned_stop::check(records),
        configuration::gateways(records),
        configuration::schedulers(records),
        linearizable::check(records),
        nothing_dropped::check(records),
    ]
}

/// Runs the check of one condition.
///
/// # Panics
///
/// Panics if no check has this name.
#[must_use]
pub fn one(condition: &str, records: &[Record]) -> Finding {
    let mut findings = all(records).into_iter();
    findings
        .find(|finding| finding.condition == condition)
        .unwrap_or_else(|| panic!("there is no check {condition:?}"))
}
