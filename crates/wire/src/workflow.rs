//! Messages between the processes that serve jobs of steps.

use std::sync::Arc;

use rosemaryworks_workflow::{Id, State, StepKey};
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
    Inquire {
        /// Shard.
        #[serde(rename = "s")]
        shard: u32,
        /// Job.
        #[serde(rename = "j")]
        job: Id,
    },
    /// Answer of the owner.
    #[serde(rename = "j")]
    Inquired(Inquired),
    /// Tells that the sender gave up a shard.
    #[serde(rename = "r")]
    Released {
        /// Shard.
        #[serde(rename = "s")]
        shard: u32,
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
pub enum Inquired {
    /// The process doesn't own the shard, or can't tell now.
    #[serde(rename = "n")]
    CannotTell,
    /// State of the job.
    #[serde(rename = "s")]
    State(State),
    /// No such job was accepted.
    #[serde(rename = "u")]
    Unknown,
}
