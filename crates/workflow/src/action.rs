//! What the process that hosts a shard carries out.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::record::Record;
use crate::task::{Key, StepKey};

/// Order to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Worker.
    pub worker: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Task.
    pub key: Key,
    /// Attempt.
    pub attempt: u32,
    /// Text for the task.
    pub text: Arc<str>,
    /// Time on the worker's clock in milliseconds after which the order is void.
    pub deadline_ms: u64,
    /// Fencing token.
    pub token: u64,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Permit to run the step on this worker.
    pub permit: Option<Arc<str>>,
}

/// Order to stop a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Stop {
    /// Worker.
    pub worker: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Task.
    pub key: Key,
    /// Attempt.
    pub attempt: u32,
    /// Fencing token.
    pub token: u64,
}

/// Order to let a run work at a share of its speed.
#[derive(Clone, Debug, PartialEq)]
pub struct Pace {
    /// Run to pace.
    pub run: Stop,
    /// Share in percent.
    pub percent: u32,
}

/// Question to the advice service.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceRequest {
    /// Step.
    pub step: StepKey,
    /// Workers that may run it.
    pub workers: Vec<Arc<str>>,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Expected time of the call in milliseconds.
    pub cost_ms: f64,
    /// Time for which the answer is valid, in milliseconds.
    pub validity_ms: u64,
}

/// Work for the process that hosts a shard.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask which workers may run a step.
    RequestAdvice(AdviceRequest),
    /// Another owner holds the shard: stop acting for it.
    StepDown,
    /// Renew the lease of a worker now and take its report.
    Renew(Arc<str>),
    /// Change the speed of a run.
    Pace(Pace),
    /// Append to the shard's journal.
    Record(Record),
    /// Start a run.
    Start(Order),
    /// Stop a run.
    Stop(Stop),
}
