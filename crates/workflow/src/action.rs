//! Actions that the process hosting a shard carries out.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::lost_attempt::LostAttempt;
use crate::record::Record;
use crate::task::{Key, StepKey};

/// Request to a worker to start an attempt of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Identifier of the worker.
    pub worker: Arc<str>,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Task to run.
    pub key: Key,
    /// Number of the attempt.
    pub attempt: u32,
    /// Opaque text passed to the task.
    pub text: Arc<str>,
    /// Time on the worker's clock, in milliseconds, from which the worker rejects the request.
    pub deadline_ms: u64,
    /// Fencing token.
    pub token: u64,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Permit to run the step on this worker.
    pub permit: Option<Arc<str>>,
    /// Time on the owner's clock at which the task was placed, in milliseconds.
    pub placed_ms: u64,
}

/// Request to a worker to stop an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Stop {
    /// Identifier of the worker.
    pub worker: Arc<str>,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Task to stop.
    pub key: Key,
    /// Number of the attempt.
    pub attempt: u32,
    /// Fencing token.
    pub token: u64,
}

/// Request to a worker to limit the speed of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Pace {
    /// Attempt to throttle, identified as in a stop request.
    pub run: Stop,
    /// Share of full speed, in percent.
    pub percent: u32,
}

/// Request to the advice service for permits to run a step on workers.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceRequest {
    /// Step to run.
    pub step: StepKey,
    /// Candidate workers.
    pub workers: Vec<Arc<str>>,
    /// Priority of the request; 0 is the highest.
    pub priority: u32,
    /// Expected duration of the call in milliseconds.
    pub cost_ms: f64,
    /// Validity of the returned permits in milliseconds.
    pub validity_ms: u64,
}

/// An action that the process hosting a shard carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Request permits for a step from the advice service.
    RequestAdvice(AdviceRequest),
    /// A worker has seen a higher fencing token: stop acting as owner of the shard.
    StepDown,
    /// Log that an attempt counts as ended without a report of its end.
    LogLost(LostAttempt),
    /// Renew the lease of a worker now and fetch its report.
    Renew(Arc<str>),
    /// Limit the speed of an attempt.
    Pace(Pace),
    /// Append a record to the shard's stream.
    Record(Record),
    /// Start an attempt.
    Start(Order),
    /// Stop an attempt.
    Stop(Stop),
}
