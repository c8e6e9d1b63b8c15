//! Lease renewals and the reports that workers return.

use std::sync::Arc;

use crate::task::{Key, Outcome};

/// An attempt that is running on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// Task of the attempt.
    pub key: Key,
    /// Number of the attempt.
    pub attempt: u32,
    /// Last checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent.
    pub percent: u32,
    /// Tail latency in milliseconds for service tasks with a latency target; processor time in use
    /// otherwise.
    pub metric: f64,
}

/// An ended attempt that the worker has not forgotten yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finished {
    /// Position among the ended attempts of the worker's incarnation, from 1.
    pub number: u64,
    /// Task of the attempt.
    pub key: Key,
    /// Number of the attempt.
    pub attempt: u32,
    /// Outcome of the attempt.
    pub how: Outcome,
    /// Last checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// Answer of a worker to a lease renewal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Start time of the worker as Unix time in milliseconds, which identifies its incarnation; 0
    /// if the worker doesn't report it.
    pub incarnation: u64,
    /// Time on the worker's clock in milliseconds.
    pub clock_ms: u64,
    /// Ended attempts that are not acknowledged, in the order of their numbers.
    pub finished: Vec<Finished>,
    /// Whether the worker may have more ended attempts than `finished` holds.
    pub may_have_more_ends: bool,
    /// Running attempts.
    pub running: Vec<Running>,
}

/// Request to a worker that renews its lease.
#[derive(Clone, Debug, PartialEq)]
pub struct Renewal {
    /// Address of the worker.
    pub address: std::net::SocketAddr,
    /// Highest [`Finished::number`] of an ended attempt that the worker may forget.
    pub acknowledged: u64,
    /// Expiry of the lease on the worker's clock in milliseconds; `None` if the lease is not
    /// renewed or the worker's clock isn't known yet.
    pub deadline_ms: Option<u64>,
    /// Fencing token.
    pub token: u64,
    /// Maximum time that the worker waits for an attempt to end before it answers, in milliseconds.
    pub wait_ms: u64,
}

/// Reason why a renewal returned no report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewalFault {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker's address refused the connection. The worker may be alive behind a network cut.
    Refused,
    /// The worker did not answer, or the answer was not a report.
    Silent,
    /// Another worker, or another incarnation of this worker, answered.
    WrongInstance,
}
