//! Jobs and their tasks.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::size::Size;

/// Most tasks of one job.
pub const TASKS_MAX: u32 = 10_000;

/// How the tasks of a job run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Independent tasks that run to completion.
    Batch,
    /// Tasks that must all run at the same time (gang scheduling).
    Gang,
    /// Tasks that are kept running until the job is cancelled.
    Service,
}

/// Priority of a job. Later variants are placed first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Must be done by morning.
    Nightly,
    /// Default priority.
    #[default]
    Normal,
    /// Starts within 8.3 s.
    Urgent,
}

/// A job as submitted by a caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Identifier chosen by the caller, unique within the contract.
    pub id: Arc<str>,
    /// Kind of job.
    pub kind: Kind,
    /// Worker pool.
    pub pool: Arc<str>,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared size of one task.
    pub size: Size,
    /// Declared run time of one task in milliseconds.
    pub run_ms: u64,
    /// Priority.
    #[serde(default)]
    pub priority: Priority,
    /// Milliseconds from acceptance by which the job should be done.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether a task may run again after a lease was granted for it.
    #[serde(default)]
    pub restart: bool,
    /// Kind of work, such as `royalty-statement`. Run times are estimated per contract and kind of
    /// work.
    #[serde(default)]
    pub work: Option<Arc<str>>,
    /// Opaque text passed to the workers.
    #[serde(default)]
    pub payload: Option<Arc<str>>,
}

/// Identity of a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id {
    /// Contract of the job.
    pub contract: Arc<str>,
    /// Identifier within the contract.
    pub job: Arc<str>,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.contract, self.job)
    }
}

/// Identity of a task.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Task {
    /// Job of the task.
    pub job: Id,
    /// Index of the task within the job.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// Stopped because the job was cancelled.
    Cancelled,
    /// Failed, with no further attempt.
    Failed,
    /// The VM was lost while the task may have been running, and the job doesn't allow a restart.
    Lost,
    /// Completed.
    Succeeded,
}

/// State of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Ended: cancelled by the caller.
    Cancelled,
    /// Ended: at least one task failed.
    Failed,
    /// Ended: at least one task was lost and none failed.
    Lost,
    /// Accepted, no task placed yet.
    Queued,
    /// At least one task was placed.
    Running,
    /// Ended: every task completed.
    Succeeded,
}

impl State {
    /// Returns whether the state is terminal.
    #[must_use]
    pub const fn is_terminal(self) -> bool {
        matches!(
            self,
            Self::Cancelled | Self::Failed | Self::Lost | Self::Succeeded
        )
    }
}

/// A job as reported to callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Identity of the job.
    pub id: Id,
    /// Kind of job.
    pub kind: Kind,
    /// State.
    pub state: State,
    /// Number of tasks.
    pub tasks: u32,
    /// Tasks that hold a lease now.
    pub running: u32,
    /// Tasks that completed.
    pub succeeded: u32,
    /// Tasks that failed, were lost or were cancelled.
    pub unsuccessful: u32,
    /// Explanation of the state, if there is one.
    pub reason: Option<Arc<str>>,
}
