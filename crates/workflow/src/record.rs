//! Records in the streams of a shard.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::incarnation::Restart;
use crate::job::{Address, Id, Queue, Spec, State};
use crate::task::{Key, Outcome, StepKey};
use crate::team::account::Account;
use crate::worker::Worker;

/// A record in the streams or the snapshot of a shard. Jobs and cancellations are written by the
/// process that accepts them, all other records by the owner of the shard. Field names are short because
/// every record is charged for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// A job was cancelled.
    #[serde(rename = "c")]
    Cancelled {
        /// Job.
        #[serde(rename = "i")]
        id: Id,
        /// Team of the caller, if it has one.
        #[serde(default, rename = "t", skip_serializing_if = "Option::is_none")]
        team: Option<Arc<str>>,
    },
    /// Cancellations that were stored before their jobs, in a snapshot.
    #[serde(rename = "y")]
    CancelledEarly {
        /// Jobs, with the times of the cancellations on the shard's clock in milliseconds.
        #[serde(rename = "j")]
        jobs: Vec<(Id, u64)>,
        /// Team of the callers, if they have one.
        #[serde(default, rename = "t", skip_serializing_if = "Option::is_none")]
        team: Option<Arc<str>>,
    },
    /// The time of the shard's clock, in a snapshot.
    #[serde(rename = "t")]
    Clock {
        /// Time in milliseconds.
        #[serde(rename = "t")]
        at_ms: u64,
    },
    /// Tasks of an open job that have completed, in a snapshot.
    #[serde(rename = "d")]
    Completed {
        /// Step.
        #[serde(rename = "k")]
        step: StepKey,
        /// Tasks, as ranges with their first index and their length.
        #[serde(rename = "t")]
        tasks: Vec<(u32, u32)>,
    },
    /// An attempt ended. Must be durable before the end is acknowledged to the worker.
    #[serde(rename = "e")]
    Ended {
        /// Task of the attempt.
        #[serde(rename = "k")]
        key: Key,
        /// Number of the attempt.
        #[serde(rename = "n")]
        attempt: u32,
        /// Outcome of the attempt.
        #[serde(rename = "h")]
        how: Outcome,
        /// Last checkpoint, if any.
        #[serde(default, rename = "s", skip_serializing_if = "Option::is_none")]
        checkpoint: Option<Arc<str>>,
    },
    /// A job has completed or failed.
    #[serde(rename = "f")]
    Final {
        /// Job.
        #[serde(rename = "i")]
        id: Id,
        /// Final state.
        #[serde(rename = "s")]
        state: State,
        /// Time of the end on the shard's clock in milliseconds. Earlier versions didn't record it.
        #[serde(default, rename = "t", skip_serializing_if = "Option::is_none")]
        at_ms: Option<u64>,
    },
    /// Parts of teams' caps that the shard has given to another one since ever. Must be durable before
    /// the totals are announced.
    #[serde(rename = "v")]
    Given {
        /// Digest of the set of shards between which the caps are divided.
        #[serde(rename = "m")]
        members: u64,
        /// Shard that received them.
        #[serde(rename = "s")]
        shard: u32,
        /// Totals in millionths, by account.
        #[serde(rename = "t")]
        totals: Vec<(Account, u64)>,
    },
    /// The sets of shards between which caps are divided.
    #[serde(rename = "m")]
    Members {
        /// Version of the newest configuration that the owner knew.
        #[serde(rename = "v")]
        version: u64,
        /// Sets that may be in use, the newest last.
        #[serde(rename = "s")]
        sets: Vec<BTreeSet<u32>>,
    },
    /// The jobs of an address belong to a shard, if their submissions stand at an offset of the jobs'
    /// stream or later. Must be durable before the shard denies a job of the address.
    #[serde(rename = "h")]
    Moved {
        /// Address.
        #[serde(rename = "a")]
        address: Address,
        /// Version of the configuration that moved it.
        #[serde(rename = "v")]
        version: u64,
        /// Offset.
        #[serde(rename = "f")]
        from: u64,
        /// Shard; `None` for the one that records it.
        #[serde(default, rename = "s", skip_serializing_if = "Option::is_none")]
        shard: Option<u32>,
    },
    /// What is known of an open job, in a snapshot. Follows the job's submission and precedes the
    /// records of its tasks.
    #[serde(rename = "o")]
    Open {
        /// Job.
        #[serde(rename = "i")]
        id: Id,
        /// Position in the order of acceptance.
        #[serde(rename = "a")]
        order: u64,
        /// Number of the next occurrence to begin.
        #[serde(rename = "n")]
        next_occurrence: u32,
        /// Completed occurrences, as ranges with their first number and their length.
        #[serde(default, rename = "d", skip_serializing_if = "Vec::is_empty")]
        completed: Vec<(u32, u32)>,
    },
    /// Jobs that have ended, in a snapshot.
    #[serde(rename = "r")]
    Retained {
        /// Final state.
        #[serde(rename = "s")]
        state: State,
        /// Jobs, with the times of their ends on the shard's clock in milliseconds.
        #[serde(rename = "j")]
        jobs: Vec<(Id, u64)>,
        /// Team of the jobs, if they have one.
        #[serde(default, rename = "t", skip_serializing_if = "Option::is_none")]
        team: Option<Arc<str>>,
    },
    /// Terms of a queue of accepted jobs. They hold after the queue has been removed.
    #[serde(rename = "q")]
    Terms(Arc<Queue>),
    /// A worker that the owner may use. A successor renews its lease even if the platform's
    /// directory has lost the entry meanwhile.
    #[serde(rename = "w")]
    WorkerAdded {
        /// Worker.
        #[serde(rename = "w")]
        worker: Worker,
        /// What calls for earlier incarnations may do.
        #[serde(default, rename = "r", skip_serializing_if = "Restart::is_none")]
        restart: Restart,
    },
    /// A worker has ended or is no longer used.
    #[serde(rename = "g")]
    WorkerRemoved {
        /// Identifier of the worker.
        #[serde(rename = "w")]
        worker: Arc<str>,
    },
    /// A worker doesn't answer. Holds until the worker is recorded as added again.
    #[serde(rename = "u")]
    WorkerSilent {
        /// Identifier of the worker.
        #[serde(rename = "w")]
        worker: Arc<str>,
        /// Tasks that it may run; it runs no others.
        #[serde(rename = "t")]
        tasks: Vec<Key>,
    },
    /// A job was accepted.
    #[serde(rename = "j")]
    Submitted {
        /// Job.
        #[serde(rename = "i")]
        id: Id,
        /// Name of its queue.
        #[serde(rename = "q")]
        queue: Arc<str>,
        /// Specification of the job.
        #[serde(rename = "s")]
        spec: Arc<Spec>,
    },
}
