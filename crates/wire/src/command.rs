//! Commands to workers that a process sends on behalf of the owner of their shard, and their
//! outcomes.

use std::sync::Arc;

use rosemaryworks_workflow::{Order, Pace, Renewal, RenewalFault, Report, StartOutcome, Stop};
use serde::{Deserialize, Serialize};

/// Command to a worker. Names on the wire are short, because each attempt takes several commands.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Command {
    /// Changes the speed of an attempt.
    #[serde(rename = "p")]
    Pace(Pace),
    /// Renews the lease of a worker and fetches its report.
    #[serde(rename = "r")]
    Renew {
        /// Identifier of the worker.
        #[serde(rename = "i")]
        worker: Arc<str>,
        /// Renewal.
        #[serde(rename = "r")]
        renewal: Renewal,
        /// Time for which the worker waits for an end, in milliseconds.
        #[serde(rename = "w")]
        wait_ms: u64,
        /// Limit on the time to the response beyond `wait_ms`, in milliseconds.
        #[serde(rename = "t")]
        timeout_ms: u64,
    },
    /// Starts an attempt.
    #[serde(rename = "s")]
    Start {
        /// Start request.
        #[serde(rename = "o")]
        order: Order,
        /// Limit on the time to the response in milliseconds.
        #[serde(rename = "t")]
        timeout_ms: u64,
    },
    /// Stops an attempt.
    #[serde(rename = "e")]
    Stop(Stop),
}

/// Outcome of a [`Command`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Outcome {
    /// The command was not sent and won't be.
    #[serde(rename = "d")]
    Declined,
    /// Result of a renewal.
    #[serde(rename = "r")]
    Renewed(Result<Report, RenewalFault>),
    /// Outcome of a start request.
    #[serde(rename = "s")]
    Started(StartOutcome),
    /// Whether the worker accepted a command to stop or pace an attempt.
    #[serde(rename = "a")]
    Taken(bool),
}
