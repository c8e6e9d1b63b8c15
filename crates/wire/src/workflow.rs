//! Messages between the processes that serve jobs of steps.

use std::sync::Arc;

use rosemaryworks_workflow::{Id, Record, State, StepKey};
use serde::{Deserialize, Serialize};

/// A message. Names are short because callers ask for states often.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Asks a process to put a question to the advice service.
    #[serde(rename = "a")]
    Advise {
        /// Step.
        #[serde(rename = "s")]
        step: StepKey,
        /// Workers.
        #[serde(rename = "w")]
        workers: Vec<Arc<str>>,
        /// Expected time of the call in milliseconds.
        #[serde(rename = "c")]
        cost_ms: f64,
    },
    /// Good workers with their permits; `None` if the service gave no answer.
    #[serde(rename = "b")]
    Advised(Option<Vec<(Arc<str>, Arc<str>)>>),
    /// Asks the owner of a shard for the state of a job.
    #[serde(rename = "i")]
    QueryJob {
        /// Shard.
        #[serde(rename = "s")]
        shard: u32,
        /// Job.
        #[serde(rename = "j")]
        job: Id,
    },
    /// Answer of the owner.
    #[serde(rename = "j")]
    JobState(JobState),
    /// Asks whether the platform's log answers the process.
    #[serde(rename = "p")]
    IsLogUp,
    /// Whether the log answers.
    #[serde(rename = "u")]
    LogUp(bool),
    /// Asks a process to store a record of a shard that the sender can't store itself.
    #[serde(rename = "o")]
    Store {
        /// Shard.
        #[serde(rename = "s")]
        shard: u32,
        /// Record.
        #[serde(rename = "v")]
        record: Record,
        /// Time allowed in milliseconds.
        #[serde(rename = "t")]
        timeout_ms: u64,
    },
    /// Whether the record is stored; `None` if that isn't known.
    #[serde(rename = "q")]
    StoreEnded(Option<bool>),
    /// Tells the owner of a shard of a record that is stored, before it reads it from the log.
    #[serde(rename = "d")]
    Stored {
        /// Shard.
        #[serde(rename = "s")]
        shard: u32,
        /// Record.
        #[serde(rename = "v")]
        record: Record,
    },
    /// Tells that the sender gave up a shard.
    #[serde(rename = "r")]
    Released {
        /// Shard.
        #[serde(rename = "s")]
        shard: u32,
        /// Epoch that ended.
        #[serde(rename = "e")]
        epoch: u64,
    },
    /// Asks the owner of a shard how many jobs of a queue wait.
    #[serde(rename = "l")]
    Length {
        /// Shard.
        #[serde(rename = "s")]
        shard: u32,
        /// Queue.
        #[serde(rename = "q")]
        queue: Arc<str>,
    },
    /// Number of waiting jobs; `None` if the process doesn't own the shard.
    #[serde(rename = "m")]
    LengthIs(Option<u64>),
}

/// What an owner says of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    /// The process doesn't own the shard, or can't tell now.
    #[serde(rename = "n")]
    Unavailable,
    /// State of the job.
    #[serde(rename = "s")]
    State(State),
    /// No such job was accepted.
    #[serde(rename = "u")]
    Unknown,
}
