//! Messages between entry processes, which serve jobs that consist of steps.

use std::fmt;
use std::sync::Arc;

use rosemaryworks_workflow::{Address, Ask, Grant, Id, Record, State, StepKey};
use serde::{Deserialize, Serialize};

use crate::command::{Command, Outcome};

/// Message between entry processes. Names on the wire are short, because job states are queried
/// often.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Call: sends an advice request on behalf of the sender. Answered by `Advised`.
    #[serde(rename = "a")]
    Advise {
        /// Step to be run.
        #[serde(rename = "s")]
        step: StepKey,
        /// Candidate workers.
        #[serde(rename = "w")]
        workers: Vec<Arc<str>>,
        /// Expected duration of the call to the advice service in milliseconds.
        #[serde(rename = "c")]
        cost_ms: f64,
        /// Terms of the request; `None` from a sender of an earlier version, which is answered by
        /// `Advised`.
        #[serde(default, rename = "t", skip_serializing_if = "Option::is_none")]
        terms: Option<Terms>,
    },
    /// Reply: allowed workers with their permits; `None` if the advice service did not answer.
    #[serde(rename = "b")]
    Advised(Option<Vec<(Arc<str>, Arc<str>)>>),
    /// Reply to `Advise` with terms.
    #[serde(rename = "w")]
    Advice(Advice),
    /// Notice: the sender is no longer the owner of a shard, so the receiver drops the advice
    /// requests of that owner and of earlier ones.
    #[serde(rename = "x")]
    WithdrawAdvice {
        /// Shard.
        #[serde(rename = "s")]
        shard: u32,
        /// Epoch in which the sender owned the shard.
        #[serde(rename = "e")]
        epoch: u64,
    },
    /// Call: queries the owner of a shard for the state of a job. Answered by `JobState`.
    #[serde(rename = "i")]
    QueryJob {
        /// Shard.
        #[serde(rename = "s")]
        shard: u32,
        /// Job.
        #[serde(rename = "j")]
        job: Id,
        /// Team of the caller, if it has one.
        #[serde(default, rename = "t", skip_serializing_if = "Option::is_none")]
        team: Option<Arc<str>>,
    },
    /// Call: asks the owner of a shard to which the address of a job belonged before. Answered by
    /// `JobState`.
    #[serde(rename = "z")]
    QueryFormer {
        /// Shard.
        #[serde(rename = "s")]
        shard: u32,
        /// Question.
        #[serde(rename = "q")]
        question: Question,
    },
    /// Reply to `QueryJob` and `QueryFormer`.
    #[serde(rename = "j")]
    JobState(JobState),
    /// Call: queries whether the receiver can take shards over. Answered by `Candidate`.
    #[serde(rename = "p")]
    IsCandidate,
    /// Reply: whether the process reaches the log and isn't stopping.
    #[serde(rename = "u")]
    Candidate(bool),
    /// Call: asks whether the receiver knows a later owner of a shard. Answered by `Ownership`.
    #[serde(rename = "g")]
    AskOwnership {
        /// Shards that the sender owns, each with its epoch.
        #[serde(rename = "s")]
        owned: Vec<(u32, u64)>,
        /// Whether the receiver is to probe the log and to say whether it can take shards over.
        #[serde(rename = "c")]
        seeks_candidate: bool,
    },
    /// Reply to `AskOwnership`.
    #[serde(rename = "h")]
    Ownership {
        /// Those of the shards that have a later owner; `None` if the process has read no claims since
        /// it started.
        #[serde(rename = "l")]
        superseded: Option<Vec<u32>>,
        /// Whether the process was asked to probe the log, reaches it and isn't stopping.
        #[serde(rename = "u")]
        candidate: bool,
    },
    /// Notice: the sender is about to end and claims no shard any more.
    #[serde(rename = "k")]
    Leaving,
    /// Call: appends a record of a shard to the log for a sender that can't do so itself. Answered
    /// by `StoreEnded` or, by the owner of the shard, `Busy`.
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
    /// Reply: whether the record was stored; `None` if that is unknown.
    #[serde(rename = "q")]
    StoreEnded(Option<bool>),
    /// Reply to `Store`: the job was refused, because it can't start in time to be of use, and is not
    /// stored.
    #[serde(rename = "y")]
    Busy {
        /// Time that the caller should wait in milliseconds.
        #[serde(rename = "w")]
        wait_ms: u64,
    },
    /// Notice: passes a stored record to the owner of its shard before the owner reads it from the
    /// log.
    #[serde(rename = "d")]
    Stored {
        /// Shard.
        #[serde(rename = "s")]
        shard: u32,
        /// Record.
        #[serde(rename = "v")]
        record: Record,
    },
    /// Notice: the sender released a shard.
    #[serde(rename = "r")]
    Released {
        /// Shard.
        #[serde(rename = "s")]
        shard: u32,
        /// Epoch in which the sender owned the shard.
        #[serde(rename = "e")]
        epoch: u64,
    },
    /// Call: queries the owner of a shard for the number of waiting jobs of a queue. Answered by
    /// `LengthIs`.
    #[serde(rename = "l")]
    Length {
        /// Shard.
        #[serde(rename = "s")]
        shard: u32,
        /// Queue.
        #[serde(rename = "q")]
        queue: Arc<str>,
        /// Address of the queue.
        #[serde(default, rename = "a")]
        address: Address,
    },
    /// Reply: number of waiting jobs; `None` if the process doesn't own the shard.
    #[serde(rename = "m")]
    LengthIs(Option<u64>),
    /// Call: asks the owner of a shard for parts of teams' caps. Answered by `RoomGiven`.
    #[serde(rename = "t")]
    AskRoom {
        /// Shard.
        #[serde(rename = "s")]
        shard: u32,
        /// Request.
        #[serde(rename = "a")]
        ask: Ask,
    },
    /// Reply: what the shard has given; `None` if the process doesn't own it.
    #[serde(rename = "v")]
    RoomGiven(Option<Grant>),
    /// Notice: commands that the receiver sends to workers on behalf of the sender, each with a
    /// number that its outcome repeats. Answered by `Outcomes`.
    #[serde(rename = "c")]
    Commands(Vec<(u64, Command)>),
    /// Notice: outcomes of `Commands`.
    #[serde(rename = "e")]
    Outcomes(Vec<(u64, Outcome)>),
    /// Notice: the sender sends commands on behalf of the receiver from now on; with 0 thousandths
    /// of a core it doesn't any more.
    #[serde(rename = "f")]
    Offers {
        /// CPU of the sender's VM in thousandths of a core.
        #[serde(rename = "m")]
        millicores: u64,
    },
    /// Call: asks for the newest configuration that the receiver knows. Answered by `Revision`.
    #[serde(rename = "n")]
    AskRevision {
        /// Version in force at the sender.
        #[serde(rename = "v")]
        version: Option<u64>,
        /// Form in which the configuration is wanted, if it is newer.
        #[serde(default, rename = "f", skip_serializing_if = "Form::is_plain")]
        form: Form,
    },
    /// Reply to `AskRevision`.
    #[serde(rename = "s")]
    Revision(Revision),
}

/// Question about a job whose address may have moved.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Question {
    /// Address.
    #[serde(rename = "a")]
    pub address: Address,
    /// Version of the configuration that sends the address to `shard`.
    #[serde(rename = "v")]
    pub version: u64,
    /// Shard to which the address belongs.
    #[serde(rename = "s")]
    pub shard: u32,
    /// Job.
    #[serde(rename = "j")]
    pub job: Id,
}

/// Form in which a process wants a configuration.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Form {
    /// Encoded, as processes want it that know no other form.
    #[default]
    #[serde(rename = "p")]
    Plain,
    /// Encoded and compressed.
    #[serde(rename = "z")]
    Compressed,
    /// Only its version and its length.
    #[serde(rename = "b")]
    Brief,
}

impl Form {
    fn is_plain(&self) -> bool {
        *self == Self::Plain
    }
}

/// The newest configuration that a process knows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Revision {
    /// Version; `None` if the process has no configuration.
    #[serde(rename = "v")]
    pub version: Option<u64>,
    /// Time since this version was last confirmed to be the newest, in milliseconds; `None` if it
    /// never was.
    #[serde(rename = "a")]
    pub age_ms: Option<u64>,
    /// Offset in the log before which no newer version lies.
    #[serde(default, rename = "o", skip_serializing_if = "Option::is_none")]
    pub offset: Option<u64>,
    /// Length of the configuration in its compressed form in bytes, if it is newer than that of the
    /// process that asked.
    #[serde(default, rename = "l", skip_serializing_if = "Option::is_none")]
    pub length: Option<u64>,
    /// The configuration, if it is newer than that of the process that asked.
    #[serde(default, rename = "c", skip_serializing_if = "Option::is_none")]
    pub config: Option<Encoded>,
}

/// An encoded configuration. Its debug output shows no content, which includes the keys of callers.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Encoded(pub Vec<u8>);

impl fmt::Debug for Encoded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Encoded({} bytes)", self.0.len())
    }
}

/// Terms of an advice request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Terms {
    /// Shard whose owner sends it.
    #[serde(rename = "s")]
    pub shard: u32,
    /// Epoch of the owner.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Priority; 0 is the highest.
    #[serde(rename = "p")]
    pub priority: u32,
    /// Time within which the answer is of use, in milliseconds.
    #[serde(rename = "u")]
    pub useful_ms: u64,
}

/// Reply to an advice request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Advice {
    /// What became of the request.
    #[serde(rename = "r")]
    pub result: AdviceResult,
    /// Time since the advice service answered, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Time from the arrival of the request to this reply, in milliseconds.
    #[serde(rename = "h")]
    pub held_ms: u64,
    /// Expected time of the requests that the VM has yet to send, in milliseconds.
    #[serde(rename = "b")]
    pub backlog_ms: f64,
}

/// What became of an advice request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum AdviceResult {
    /// The service answered: allowed workers with their permits.
    #[serde(rename = "a")]
    Answered(Vec<(Arc<str>, Arc<str>)>),
    /// Too many requests are queued to answer it in time.
    #[serde(rename = "b")]
    Busy,
    /// It waited in the queue for longer than its answer was of use.
    #[serde(rename = "e")]
    Expired,
    /// The service did not answer, or the owner was superseded.
    #[serde(rename = "f")]
    Failed,
}

/// State of a job as reported by the owner of its shard.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    /// The process doesn't own the shard, or can't determine the state at present.
    #[serde(rename = "n")]
    Unavailable,
    /// State of the job.
    #[serde(rename = "s")]
    State(State),
    /// No such job was accepted, or it belongs to another team.
    #[serde(rename = "u")]
    Unknown,
}
