//! Records in the streams of the log.
//!
//! A record written by a shard's owner carries the shard and the epoch. It has no effect unless
//! that epoch is current at the record's offset. Readers apply records in offset order, so that all
//! of them ignore the same records.

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
    /// Tasks ended. Written before the scheduler acknowledges the result to the worker.
    Finished {
        /// Shard of the tasks.
        shard: shard::Id,
        /// Epoch of the writer.
        epoch: Epoch,
        /// Tasks, each with how it ended.
        tasks: Vec<(Task, End)>,
    },
    /// Written before leases are granted for tasks that may run only once; for leases granted in
    /// outage mode, once the log is reachable again.
    Granted {
        /// Shard of the tasks.
        shard: shard::Id,
        /// Epoch of the writer.
        epoch: Epoch,
        /// Tasks.
        tasks: Vec<Task>,
    },
    /// Written before non-idempotent requests are dispatched; for requests granted in outage mode,
    /// once the log is reachable again.
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
    /// The owner released the shard. The next owner may act without a waiting period.
    Release {
        /// Shard released.
        shard: shard::Id,
        /// Epoch released.
        epoch: Epoch,
        /// Milliseconds for which the next owner still must assume that dispatches of earlier
        /// epochs may be unrecorded; 0 if all are recorded.
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
    /// A job was accepted. Written again for an unfinished job before the record expires.
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
    /// An operator drained a target, or ended its draining.
    Drain {
        /// Identifier of the change.
        id: Arc<str>,
        /// Name of the worker or instance.
        target: Arc<str>,
        /// Whether the target is drained.
        drained: bool,
        /// Operator who requested the change.
        operator: Arc<str>,
        /// Unix time in milliseconds.
        at_unix_ms: u64,
    },
    /// An operator published a contract. Accepted if `expected` is the current revision.
    Publish {
        /// Identifier of the change.
        id: Arc<str>,
        /// Revision that the change is based on; 0 for a new contract.
        expected: Revision,
        /// The contract.
        contract: Box<Contract>,
        /// Operator who requested the change.
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

/// A record of the audit stream: a change that was rejected before it reached the contracts stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Operator, if the key was known.
    pub operator: Option<Arc<str>>,
    /// Requested change, such as `publish contract avvolgi-shops`.
    pub change: Arc<str>,
    /// Reason of the rejection.
    pub reason: Arc<str>,
    /// Unix time in milliseconds.
    pub at_unix_ms: u64,
}
