//! What operators see of targets and tasks.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::shard::Id;
use crate::size::Size;
use crate::target::State;

/// State of a target for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Name.
    pub name: Arc<str>,
    /// Shard.
    pub shard: Id,
    /// Whether it may receive new work.
    pub state: State,
    /// Resources of a worker, or its slots as `millicores` 0.
    pub size: Size,
    /// Resources held by leases.
    pub held: Size,
    /// Slots of an instance (0 for a worker).
    pub slots: u32,
    /// Slots taken, or leases held.
    pub taken: u32,
    /// Further condition, such as `quarantined` or `unreachable`.
    pub condition: Option<Arc<str>>,
}

/// State of a task for operators.
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
