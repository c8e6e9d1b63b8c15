//! Actions that the process hosting a shard carries out.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::incarnation::{Incarnation, Unreported};
use crate::lost_attempt::LostAttempt;
use crate::record::Record;
use crate::task::{Key, StepKey};

/// Request to a worker to start an attempt of a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Order {
    /// Identifier of the worker.
    #[serde(rename = "w")]
    pub worker: Arc<str>,
    /// Address of the worker.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Task to run.
    #[serde(rename = "k")]
    pub key: Key,
    /// Number of the attempt.
    #[serde(rename = "n")]
    pub attempt: u32,
    /// Opaque text passed to the task.
    #[serde(rename = "x")]
    pub text: Arc<str>,
    /// Time on the worker's clock, in milliseconds, from which the worker rejects the request.
    #[serde(rename = "d")]
    pub deadline_ms: u64,
    /// Fencing token.
    #[serde(rename = "t")]
    pub token: u64,
    /// Checkpoint to resume from.
    #[serde(default, rename = "c", skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Arc<str>>,
    /// Permit to run the step on this worker.
    #[serde(default, rename = "p", skip_serializing_if = "Option::is_none")]
    pub permit: Option<Arc<str>>,
    /// Time on the owner's clock at which the task was placed, in milliseconds. Other processes have
    /// other clocks.
    #[serde(skip)]
    pub placed_ms: u64,
}

/// Request to a worker to stop an attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Stop {
    /// Identifier of the worker.
    #[serde(rename = "w")]
    pub worker: Arc<str>,
    /// Address of the worker.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Task to stop.
    #[serde(rename = "k")]
    pub key: Key,
    /// Number of the attempt.
    #[serde(rename = "n")]
    pub attempt: u32,
    /// Fencing token.
    #[serde(rename = "t")]
    pub token: u64,
}

/// Request to a worker to limit the speed of an attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pace {
    /// Attempt to throttle, identified as in a stop request.
    #[serde(rename = "r")]
    pub run: Stop,
    /// Share of full speed, in percent.
    #[serde(rename = "p")]
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
    /// Time within which the answer is of use, in milliseconds.
    pub useful_ms: u64,
    /// Validity of the returned permits in milliseconds.
    pub validity_ms: u64,
}

/// An action that the process hosting a shard carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Store a record in the stream of another shard, to which it belongs.
    Forward {
        /// Shard.
        shard: u32,
        /// Submission or cancellation.
        record: Record,
    },
    /// Request permits for a step from the advice service.
    RequestAdvice(AdviceRequest),
    /// The fencing tokens for a worker are used up: release the shard, so that it gets a new epoch.
    Release,
    /// A worker has seen a higher fencing token: stop acting as owner of the shard.
    StepDown,
    /// Log that a worker has started again.
    LogIncarnation(Incarnation),
    /// Log that an attempt counts as ended without a report of its end.
    LogLost(LostAttempt),
    /// Log that a takeover waits no longer for a worker that didn't report.
    LogUnreported(Unreported),
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
