//! State of targets and tasks as the operator API reports it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::shard::Id;
use crate::size::Size;
use crate::target::State;

/// A target as reported to operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Name of the worker or instance.
    pub name: Arc<str>,
    /// Shard that the target belongs to.
    pub shard: Id,
    /// Whether it may receive new work.
    pub state: State,
    /// Resources of a worker; zero for an instance.
    pub size: Size,
    /// Resources held by leases.
    pub held: Size,
    /// Slots of an instance (0 for a worker).
    pub slots: u32,
    /// Slots taken at an instance, or leases held by a worker.
    pub taken: u32,
    /// Condition besides the state, such as `quarantined` or `unreachable`.
    pub condition: Option<Arc<str>>,
}

/// A task as reported to operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Task {
    /// Index within the job.
    pub index: u32,
    /// State, such as `pending`, `running` or `succeeded`.
    pub state: Arc<str>,
    /// Worker that holds the lease.
    pub worker: Option<Arc<str>>,
    /// Placement attempts so far.
    pub attempts: u32,
}
