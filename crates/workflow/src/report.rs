//! What a worker says of the runs that it holds.

use std::sync::Arc;

use crate::task::{Key, Outcome};

/// A run that a worker holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// Task.
    pub key: Key,
    /// Attempt.
    pub attempt: u32,
    /// Last checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Share of the work done in percent.
    pub percent: u32,
    /// Tail of response times in milliseconds for service tasks with a target; processor time in
    /// use otherwise.
    pub metric: f64,
}

/// An end that a worker still remembers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finished {
    /// Number of the end within the worker's life, from 1.
    pub number: u64,
    /// Task.
    pub key: Key,
    /// Attempt.
    pub attempt: u32,
    /// How the run ended.
    pub how: Outcome,
    /// Last checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// Answer of a worker to a renewal of its lease.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Unix time in milliseconds of the worker's start; 0 if it doesn't tell.
    pub incarnation: u64,
    /// Time on the worker's clock in milliseconds.
    pub clock_ms: u64,
    /// Ends that it still remembers, in their order.
    pub finished: Vec<Finished>,
    /// Runs that it holds.
    pub running: Vec<Running>,
}

/// What to send to a worker to renew its lease.
#[derive(Clone, Debug, PartialEq)]
pub struct Renewal {
    /// Address of the worker.
    pub address: std::net::SocketAddr,
    /// Highest number of an end that the worker may forget.
    pub acknowledged: u64,
    /// End of the lease on the worker's clock in milliseconds; `None` if its clock isn't known yet.
    pub deadline_ms: Option<u64>,
    /// Fencing token.
    pub token: u64,
    /// Time for which the worker is to wait for an end, in milliseconds.
    pub wait_ms: u64,
}

/// Why a worker gave no report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewalFault {
    /// The worker has seen a higher token.
    Fenced,
    /// No process listens at the worker's address.
    NotListening,
    /// The worker didn't answer, or not with a report.
    Silent,
    /// Another worker, or another life of this one, answered.
    WrongInstance,
}
