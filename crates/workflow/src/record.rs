//! Records in the streams of a shard.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::job::{Id, Spec, State};
use crate::task::{Key, Outcome};
use crate::worker::Worker;

/// A record in the streams of a shard. Jobs and cancellations are written by the process that
/// accepts them, all other records by the owner of the shard. The owner also writes open jobs again
/// before their records expire. Field names are short because every record is charged for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// A job was cancelled.
    #[serde(rename = "c")]
    Cancelled {
        /// Job.
        #[serde(rename = "i")]
        id: Id,
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
    },
    /// A worker that the owner may use. A successor renews its lease even if the platform's
    /// directory has lost the entry meanwhile.
    #[serde(rename = "w")]
    WorkerAdded {
        /// Worker.
        #[serde(rename = "w")]
        worker: Worker,
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
