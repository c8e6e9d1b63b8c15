//! Contract register: the contracts in force, the drained targets and the audit trail, built from
//! the contracts stream.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::contract::{Contract, Revision};
use crate::record::{Config, Offset};

/// Audit entries kept in memory.
pub const AUDIT_MAX_ENTRIES: usize = 10_000;

/// A contract in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Revision in force.
    pub revision: Revision,
    /// The contract.
    pub contract: Arc<Contract>,
    /// Operator of the accepted publish.
    pub operator: Arc<str>,
    /// Unix time of the accepted publish in milliseconds.
    pub at_unix_ms: u64,
    /// Offset of the last record that contains this revision.
    pub offset: Offset,
}

/// Result of applying a record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The publish is accepted and in force.
    Accepted {
        /// Revision that it created.
        revision: Revision,
    },
    /// The publish was based on a revision that is no longer current.
    Conflict {
        /// Revision in force.
        current: Revision,
    },
    /// The target's drain state was set.
    Drained,
    /// The record was applied before, or repeats a contract in force.
    Repeated,
}

/// An entry of the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Audit {
    /// Offset of the record.
    pub offset: Offset,
    /// Identifier of the change.
    pub id: Arc<str>,
    /// Operator who requested the change.
    pub operator: Arc<str>,
    /// Requested change, such as `publish contract avvolgi-shops`.
    pub change: Arc<str>,
    /// Revision that the operator expected.
    pub from: Option<Revision>,
    /// Result of the change.
    pub verdict: Verdict,
    /// Unix time in milliseconds.
    pub at_unix_ms: u64,
}

/// Contracts in force, drained targets and audit trail at an offset of the contracts stream.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Register {
    offset: Offset,
    contracts: BTreeMap<Arc<str>, Entry>,
    drained: BTreeSet<Arc<str>>,
    audit: VecDeque<Audit>,
}

impl Register {
    /// Returns the offset of the last record applied.
    #[must_use]
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// Returns the contract `name` in force.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Entry> {
        self.contracts.get(name)
    }

    /// Returns all contracts in force by name.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.contracts.values()
    }

    /// Returns whether `target` is drained by an operator.
    #[must_use]
    pub fn is_drained(&self, target: &str) -> bool {
        self.drained.contains(target)
    }

    /// Returns the names of all drained targets.
    pub fn drained(&self) -> impl Iterator<Item = &Arc<str>> {
        self.drained.iter()
    }

    /// Returns the audit trail, oldest first.
    pub fn audit(&self) -> impl Iterator<Item = &Audit> {
        self.audit.iter()
    }

    /// Returns the verdict on the change `id`, if it was applied.
    #[must_use]
    pub fn verdict(&self, id: &str) -> Option<&Verdict> {
        self.audit
            .iter()
            .rev()
            .find(|entry| &*entry.id == id)
            .map(|entry| &entry.verdict)
    }

    /// Applies the record at `offset` and returns the result.
    ///
    /// A record at or below the current offset was applied before and has no effect.
    pub fn apply(&mut self, offset: Offset, record: &Config) -> Verdict {
        if offset <= self.offset {
            return Verdict::Repeated;
        }
        self.offset = offset;
        match record {
            // A retried append may repeat a change after a later change reverted it.
            Config::Drain { id, .. } if self.verdict(id).is_some() => Verdict::Repeated,
            Config::Drain {
                target, drained, ..
            } => {
                match drained {
                    true => self.drained.insert(target.clone()),
                    false => self.drained.remove(target),
                };
                self.record_audit(offset, record, Verdict::Drained)
            }
            Config::Publish { id, .. } if self.verdict(id).is_some() => Verdict::Repeated,
            Config::Publish {
                expected,
                contract,
                operator,
                at_unix_ms,
                ..
            } => {
                let current = self.revision(&contract.name);
                if current != *expected {
                    return self.record_audit(offset, record, Verdict::Conflict { current });
                }
                let revision = Revision(current.0 + 1);
                self.set_contract(offset, revision, contract, operator, *at_unix_ms);
                self.record_audit(offset, record, Verdict::Accepted { revision })
            }
            Config::Standing {
                revision,
                contract,
                operator,
                at_unix_ms,
            } => {
                if *revision >= self.revision(&contract.name) {
                    self.set_contract(offset, *revision, contract, operator, *at_unix_ms);
                }
                Verdict::Repeated
            }
        }
    }

    fn revision(&self, name: &str) -> Revision {
        self.contracts
            .get(name)
            .map_or(Revision(0), |entry| entry.revision)
    }

    fn set_contract(
        &mut self,
        offset: Offset,
        revision: Revision,
        contract: &Contract,
        operator: &Arc<str>,
        at_unix_ms: u64,
    ) {
        let contract = Arc::new(contract.clone());
        let name = contract.name.clone();
        let entry = Entry {
            revision,
            contract,
            operator: operator.clone(),
            at_unix_ms,
            offset,
        };
        self.contracts.insert(name, entry);
    }

    fn record_audit(&mut self, offset: Offset, record: &Config, verdict: Verdict) -> Verdict {
        let (id, operator, change, from, at_unix_ms) = match record {
            Config::Drain {
                id,
                target,
                drained,
                operator,
                at_unix_ms,
            } => {
                let verb = if *drained { "drain" } else { "undrain" };
                (
                    id,
                    operator,
                    format!("{verb} target {target}"),
                    None,
                    *at_unix_ms,
                )
            }
            Config::Publish {
                id,
                expected,
                contract,
                operator,
                at_unix_ms,
            } => {
                let change = format!("publish contract {}", contract.name);
                (id, operator, change, Some(*expected), *at_unix_ms)
            }
            Config::Standing { .. } => return verdict,
        };
        if self.audit.len() == AUDIT_MAX_ENTRIES {
            self.audit.pop_front();
        }
        self.audit.push_back(Audit {
            offset,
            id: id.clone(),
            operator: operator.clone(),
            change: change.into(),
            from,
            verdict: verdict.clone(),
            at_unix_ms,
        });
        verdict
    }
}
