//! Workers: targets that run tasks under leases.

use std::sync::Arc;

use rosemaryworks_core::job::Task;
use rosemaryworks_core::placement::{Attempt, Report};
use rosemaryworks_core::shard::Epoch;
use rosemaryworks_core::size::Size;
use rosemaryworks_core::target::Worker;
use serde::{Deserialize, Serialize};

use crate::failure::Answer;

/// Grants a lease to a worker for one attempt of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Epoch of the owner, which fences calls: the worker rejects epochs older than the latest that
    /// it has seen.
    pub epoch: Epoch,
    /// Task.
    pub task: Task,
    /// Attempt.
    pub attempt: Attempt,
    /// Size that the lease reserves.
    pub size: Size,
    /// Declared run time in milliseconds.
    pub run_ms: u64,
    /// Validity of the lease in milliseconds from receipt.
    pub lease_ms: u64,
    /// Opaque payload of the job.
    pub payload: Option<Arc<str>>,
}

/// Renews all leases of a worker and fetches its report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Sync {
    /// Epoch of the owner, which fences calls: the worker rejects epochs older than the latest that
    /// it has seen.
    pub epoch: Epoch,
    /// Validity of the renewed leases in milliseconds from receipt.
    pub lease_ms: u64,
    /// Finished attempts that the worker may discard.
    pub acknowledge: Vec<(Task, Attempt)>,
}

/// Change to a running task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Saves the task's progress and stops it; a later attempt continues from there.
    Checkpoint,
    /// Stops the task.
    Stop,
    /// Limits the task's processor time to this percentage of its size.
    Throttle(u32),
}

/// Changes a running task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Epoch of the owner, which fences calls: the worker rejects epochs older than the latest that
    /// it has seen.
    pub epoch: Epoch,
    /// Task.
    pub task: Task,
    /// Attempt.
    pub attempt: Attempt,
    /// Change to make.
    pub action: Action,
}

/// The workers of the platform.
pub trait Workers: Send + std::marker::Sync {
    /// Changes a running task. Has no effect if the attempt isn't running.
    fn control(&self, worker: &Worker, control: Control) -> Answer<()>;

    /// Grants a lease to a worker. Repeating the call for the same attempt has no further effect.
    fn place(&self, worker: &Worker, grant: Grant) -> Answer<()>;

    /// Renews the leases of a worker, acknowledges finished attempts and returns the report.
    fn sync(&self, worker: &Worker, sync: Sync) -> Answer<Report>;
}
