//! Lease renewals and the reports that workers return.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::task::{Key, Outcome};

/// An attempt that is running on a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Running {
    /// Task of the attempt.
    #[serde(rename = "k")]
    pub key: Key,
    /// Number of the attempt.
    #[serde(rename = "n")]
    pub attempt: u32,
    /// Last checkpoint.
    #[serde(default, rename = "c", skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent.
    #[serde(rename = "p")]
    pub percent: u32,
    /// Tail latency in milliseconds for service tasks with a latency target; processor time in use
    /// otherwise.
    #[serde(rename = "m")]
    pub metric: f64,
}

/// An ended attempt that the worker has not forgotten yet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finished {
    /// Position among the ended attempts of the worker's incarnation, from 1.
    #[serde(rename = "i")]
    pub number: u64,
    /// Task of the attempt.
    #[serde(rename = "k")]
    pub key: Key,
    /// Number of the attempt.
    #[serde(rename = "n")]
    pub attempt: u32,
    /// Outcome of the attempt.
    #[serde(rename = "h")]
    pub how: Outcome,
    /// Last checkpoint.
    #[serde(default, rename = "c", skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Arc<str>>,
}

/// Answer of a worker to a lease renewal.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Start time of the worker as Unix time in milliseconds, which identifies its incarnation; 0
    /// if the worker doesn't report it.
    #[serde(rename = "b")]
    pub incarnation: u64,
    /// Time on the worker's clock in milliseconds.
    #[serde(rename = "t")]
    pub clock_ms: u64,
    /// Ended attempts that are not acknowledged, in the order of their numbers.
    #[serde(default, rename = "f", skip_serializing_if = "Vec::is_empty")]
    pub finished: Vec<Finished>,
    /// Whether the worker may have more ended attempts than `finished` holds.
    #[serde(default, rename = "e", skip_serializing_if = "std::ops::Not::not")]
    pub may_have_more_ends: bool,
    /// Running attempts.
    #[serde(default, rename = "r", skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<Running>,
}

/// Request to a worker that renews its lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Renewal {
    /// Address of the worker.
    #[serde(rename = "a")]
    pub address: std::net::SocketAddr,
    /// Highest [`Finished::number`] of an ended attempt that the worker may forget.
    #[serde(rename = "l")]
    pub acknowledged: u64,
    /// Expiry of the lease on the worker's clock in milliseconds; `None` if the lease is not
    /// renewed or the worker's clock isn't known yet.
    #[serde(default, rename = "d", skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Fencing token.
    #[serde(rename = "t")]
    pub token: u64,
    /// Maximum time that the worker waits for an attempt to end before it answers, in milliseconds.
    #[serde(rename = "w")]
    pub wait_ms: u64,
}

/// Reason why a renewal returned no report.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RenewalFault {
    /// The worker has seen a higher fencing token.
    #[serde(rename = "f")]
    Fenced,
    /// The worker's address refused the connection. The worker may be alive behind a network cut.
    #[serde(rename = "r")]
    Refused,
    /// The worker did not answer, or the answer was not a report.
    #[serde(rename = "s")]
    Silent,
    /// Another worker, or another incarnation of this worker, answered.
    #[serde(rename = "w")]
    WrongInstance,
}
