//! What the owner of a shard writes to the shard's journal.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::job::{Id, Spec, State};
use crate::target::Worker;
use crate::task::{Key, Outcome};

/// A record of a shard's streams. Jobs and cancellations are written by the process that accepts
/// them, ends by the owner of the shard. Records have short names because each one is priced.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// A job was cancelled.
    #[serde(rename = "c")]
    Cancelled {
        /// Job.
        #[serde(rename = "i")]
        id: Id,
    },
    /// A run ended. Written before the worker is allowed to forget the end.
    #[serde(rename = "e")]
    Ended {
        /// Task.
        #[serde(rename = "k")]
        key: Key,
        /// Attempt.
        #[serde(rename = "n")]
        attempt: u32,
        /// How it ended.
        #[serde(rename = "h")]
        how: Outcome,
        /// Last checkpoint, if there is one.
        #[serde(default, rename = "s", skip_serializing_if = "Option::is_none")]
        checkpoint: Option<Arc<str>>,
    },
    /// A job reached its final state.
    #[serde(rename = "f")]
    Final {
        /// Job.
        #[serde(rename = "i")]
        id: Id,
        /// Final state.
        #[serde(rename = "s")]
        state: State,
    },
    /// A worker that the owner may use. Its successor looks at it even if the platform's list has
    /// lost the worker's entry meanwhile.
    #[serde(rename = "w")]
    WorkerAdded {
        /// Worker.
        #[serde(rename = "w")]
        worker: Worker,
    },
    /// A worker has ended or is no longer used.
    #[serde(rename = "g")]
    WorkerRemoved {
        /// Identifier.
        #[serde(rename = "w")]
        worker: Arc<str>,
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
        /// Description.
        #[serde(rename = "s")]
        spec: Arc<Spec>,
    },
}
