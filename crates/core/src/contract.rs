//! Contracts: the limits, priorities and keys of each customer.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::job::Priority;
use crate::size::Size;

mod check;

pub use check::{KEY_MAX_CHARS, KEY_MIN_CHARS, KEYS_MAX, check};

/// Longest name of a contract, service, pool, job or request, in characters.
pub const NAME_MAX_CHARS: usize = 64;

/// Returns whether `name` is 1 to 64 characters of `a-z`, `0-9` and `-`.
#[must_use]
pub fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !name.is_empty() && name.len() <= NAME_MAX_CHARS && name.chars().all(allowed)
}

/// Revision of a contract. The first accepted publish creates revision 1.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Limits on a customer's requests to one service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Requests admitted per second on average.
    pub rate: u32,
    /// Requests admitted at once after an idle period.
    pub burst: u32,
    /// Requests dispatched at the same time.
    pub concurrency: u32,
    /// Requests waiting for a slot.
    pub queue: u32,
}

impl Service {
    /// Returns the limit that decides whether the contract is pinned to one shard of the service.
    ///
    /// The queue limit is ignored: a shard with a queue share of zero still admits requests.
    #[must_use]
    pub fn pinning_limit(&self) -> u64 {
        u64::from(self.concurrency.min(self.rate).min(self.burst))
    }
}

/// Limits on a customer's tasks in one worker pool.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Resources that running tasks hold at the same time.
    pub size: Size,
    /// Tasks waiting for placement.
    pub queue: u32,
}

/// A customer's contract.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Name of the contract.
    pub name: Arc<str>,
    /// Share of contended capacity relative to other contracts; at least 1.
    pub weight: u32,
    /// Keys with which the customer's callers authenticate.
    pub keys: Vec<Arc<str>>,
    /// Limits per service. Requests to other services are refused.
    #[serde(default)]
    pub services: BTreeMap<Arc<str>, Service>,
    /// Limits per worker pool. Jobs in other pools are refused.
    #[serde(default)]
    pub pools: BTreeMap<Arc<str>, Pool>,
    /// Highest priority that the customer's jobs may have.
    pub max_priority: Priority,
    /// Percentage of the pool limits that urgent tasks may hold.
    pub urgent_percent: u32,
}

/// A validation error in one field of a contract.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// Path of the field, such as `services.booking.rate`.
    pub path: String,
    /// What is wrong with the field.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}
