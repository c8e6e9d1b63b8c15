//! Workers that started again under their ids.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Time from the start of an incarnation until the platform's directory certainly names it, in
/// milliseconds: a period of the workers' entries and the lag of the directory.
pub(crate) const LISTED_AFTER_MS: u64 = 2_500;

/// What calls that were meant for an earlier incarnation of a worker may do to the current one.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Restart {
    /// They are void: the worker has seen a later fencing token. It may still hold the longest lease
    /// because of them.
    #[serde(rename = "f")]
    Fenced,
    /// Nothing: the worker hasn't started again, or its lease is as granted again.
    #[default]
    #[serde(rename = "n")]
    None,
    /// They may still be carried out.
    #[serde(rename = "u")]
    Unfenced,
}

impl Restart {
    pub(crate) fn is_none(&self) -> bool {
        *self == Self::None
    }
}

/// A new incarnation of a worker, as its owner learns of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Incarnation {
    /// Worker.
    pub worker: Arc<str>,
    /// Incarnation, see [`crate::Worker::incarnation`].
    pub number: u64,
    /// Incarnation that the owner knew before.
    pub former_number: u64,
    /// Number of attempts that ended with the former incarnation.
    pub ended: usize,
    /// Number of attempts whose start the new incarnation may have carried out.
    pub pending: usize,
    /// Time on the owner's clock, in milliseconds, from which the lease of the new incarnation has
    /// certainly expired unless it is renewed; `None` if the owner counts on no lease.
    pub lease_expires_ms: Option<u64>,
}

/// A worker that didn't report to a successor, which takes all attempts of previous owners on it as
/// ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unreported {
    /// Worker.
    pub worker: Arc<str>,
    /// Incarnation that the owner counts on; 0 if it isn't known.
    pub incarnation: u64,
    /// Time since previous owners stopped commanding workers, in milliseconds.
    pub waited_ms: u64,
}
