//! Records in the streams of the log.
//!
//! A record that an owner wrote carries the shard and the epoch and is void unless that epoch is
//! current at the record's offset. Readers fold records in offset order, so all of them agree on
//! which records are void.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::contract::{Contract, Revision};
use crate::job::{End, Id, Spec, State, Task};
use crate::outcome::Request;
use crate::shard::{self, Epoch};

/// Position of a record in a stream. The first record has offset 1.
pub type Offset = u64;

/// A record of the cell stream: ownership, requests and jobs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cell {
    /// A caller cancelled a job.
    Cancelled {
        /// Shard of the job.
        shard: shard::Id,
        /// Epoch of the writer.
        epoch: Epoch,
        /// Job to cancel.
        job: Id,
    },
    /// A scheduler claims a shard. Valid if `previous` is the current epoch; the claim's offset
    /// becomes the new epoch.
    Claim {
        /// Shard claimed.
        shard: shard::Id,
        /// Epoch that the claim replaces.
        previous: Epoch,
        /// Name of the claiming scheduler.
        owner: Arc<str>,
        /// Incarnation of the claiming process.
        incarnation: u64,
    },
    /// A job reached a terminal state.
    Ended {
        /// Shard of the job.
        shard: shard::Id,
        /// Epoch of the writer.
        epoch: Epoch,
        /// Job.
        job: Id,
        /// Terminal state.
        state: State,
        /// Reason for callers.
        reason: Option<Arc<str>>,
        /// Unix time of the end in milliseconds.
        at_unix_ms: u64,
    },
    /// Tasks ended. Written before the worker's copy of the result is acknowledged.
    Finished {
        /// Shard of the tasks.
        shard: shard::Id,
        /// Epoch of the writer.
        epoch: Epoch,
        /// Tasks and how each ended.
        tasks: Vec<(Task, End)>,
    },
    /// Leases are about to be granted for tasks that may run only once.
    Granted {
        /// Shard of the tasks.
        shard: shard::Id,
        /// Epoch of the writer.
        epoch: Epoch,
        /// Tasks.
        tasks: Vec<Task>,
    },
    /// Non-idempotent requests are about to be dispatched.
    Intent {
        /// Shard of the requests.
        shard: shard::Id,
        /// Epoch of the writer.
        epoch: Epoch,
        /// Requests.
        requests: Vec<Request>,
        /// Unix time of the first dispatch in milliseconds.
        at_unix_ms: u64,
    },
    /// The owner gives the shard up; the next claim needs no wait.
    Release {
        /// Shard released.
        shard: shard::Id,
        /// Epoch released.
        epoch: Epoch,
        /// Milliseconds for which the next owner still has to doubt that all dispatches of earlier
        /// epochs are recorded; 0 if there is no doubt.
        #[serde(default)]
        doubt_ms: u64,
    },
    /// Repeats a valid claim before it expires from the log.
    Standing {
        /// Shard.
        shard: shard::Id,
        /// Epoch of the original claim.
        epoch: Epoch,
        /// Owner.
        owner: Arc<str>,
        /// Incarnation of the owner.
        incarnation: u64,
    },
    /// A job was accepted. Also written to repeat an unfinished job before its record expires.
    Submitted {
        /// Shard of the job.
        shard: shard::Id,
        /// Epoch of the writer.
        epoch: Epoch,
        /// Contract of the job.
        contract: Arc<str>,
        /// The job.
        job: Box<Spec>,
        /// Unix time of the first acceptance in milliseconds.
        at_unix_ms: u64,
    },
}

/// A record of the contracts stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Config {
    /// An operator puts a target out of service, or back into it.
    Drain {
        /// Identifier of the change.
        id: Arc<str>,
        /// Name of the worker or instance.
        target: Arc<str>,
        /// Whether the target is drained.
        drained: bool,
        /// Operator who asked.
        operator: Arc<str>,
        /// Unix time in milliseconds.
        at_unix_ms: u64,
    },
    /// An operator publishes a contract. Accepted if `expected` is the current revision.
    Publish {
        /// Identifier of the change.
        id: Arc<str>,
        /// Revision that the operator saw; 0 for a new contract.
        expected: Revision,
        /// The contract.
        contract: Box<Contract>,
        /// Operator who asked.
        operator: Arc<str>,
        /// Unix time in milliseconds.
        at_unix_ms: u64,
    },
    /// Repeats an accepted contract before it expires from the log.
    Standing {
        /// Revision of the contract.
        revision: Revision,
        /// The contract.
        contract: Box<Contract>,
        /// Operator of the accepted publish.
        operator: Arc<str>,
        /// Unix time of the accepted publish in milliseconds.
        at_unix_ms: u64,
    },
}

/// A record of the audit stream: a change refused before it reached the contracts stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Operator, if the key was known.
    pub operator: Option<Arc<str>>,
    /// What was asked, such as `publish contract avvolgi-shops`.
    pub change: Arc<str>,
    /// Why it was refused.
    pub reason: Arc<str>,
    /// Unix time in milliseconds.
    pub at_unix_ms: u64,
}
