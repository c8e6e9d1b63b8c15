//! Every message between gateways and schedulers.

use std::sync::Arc;

use rosemaryworks_core::contract::Revision;
use rosemaryworks_core::job::{Id, Spec, Status};
use rosemaryworks_core::outcome::{Finish, NotRun, Unknown};
use rosemaryworks_core::record::Offset;
use rosemaryworks_core::register::Register;
use rosemaryworks_core::routing::{Key, Outstanding, Slot, SlotRequest};
use rosemaryworks_core::shard::{self, Epoch};
use rosemaryworks_core::target::Instance;
use rosemaryworks_core::view;
use serde::{Deserialize, Serialize};

use crate::compact;

/// Kind of process at the other end of a link.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// Process of an entry VM that serves jobs of steps.
    Entry,
    /// Gateway.
    Gateway,
    /// Scheduler.
    Scheduler,
}

/// First message on a link, in both directions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Name of the process from its settings.
    pub node: Arc<str>,
    /// Kind of process.
    pub role: Role,
    /// Availability zone of the process.
    pub zone: Arc<str>,
    /// Incarnation: differs every time the process starts, later ones are larger.
    pub incarnation: u64,
}

/// Heartbeat of a scheduler. Fields have short names on the wire, because heartbeats are most of what
/// idle schedulers send.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Name of the scheduler.
    #[serde(rename = "n")]
    pub node: Arc<str>,
    /// Incarnation of the scheduler.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Number of the heartbeat, counted by the sender's incarnation.
    #[serde(default, rename = "q")]
    pub sequence: u64,
    /// Shards for which the scheduler asks for support.
    #[serde(rename = "c")]
    pub claims: Vec<(shard::Id, Epoch)>,
    /// Whether the shard is settled, for each of `claims` in their order. Those without a value are
    /// not.
    #[serde(default, rename = "t", skip_serializing_if = "Vec::is_empty")]
    pub settled: Vec<bool>,
    /// Whether the sender regards the log as unreachable now.
    #[serde(rename = "u")]
    pub log_unreachable: bool,
    /// Milliseconds since the sender last regarded the log as unreachable, or since its start if
    /// that is later and it can't tell.
    #[serde(rename = "d")]
    pub log_unreachable_age_ms: u64,
    /// Whether the scheduler is about to stop and takes no shards.
    #[serde(rename = "s")]
    pub stopping: bool,
}

/// Answer of an owner to [`SlotRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// The request may be dispatched once, to this instance.
    #[serde(rename = "g")]
    Granted {
        /// Epoch of the owner.
        #[serde(rename = "e")]
        epoch: Epoch,
        /// Slot to report in `Finish`.
        #[serde(rename = "l")]
        slot: Slot,
        /// Instance.
        #[serde(rename = "t", with = "compact::instance")]
        instance: Instance,
        /// Milliseconds on the owner's clock from its receipt of the ask to a moment, not after the
        /// grant, at which it held majority support. Extends the validity of a grant that waited in
        /// the owner's queue.
        #[serde(default, rename = "w", skip_serializing_if = "is_zero")]
        waited_ms: u64,
    },
    /// The request was not run and won't be by this attempt.
    NotRun(NotRun),
    /// The scheduler doesn't own the shard.
    NotOwner {
        /// Owner that the scheduler knows of.
        owner: Option<Arc<str>>,
    },
    /// An earlier attempt may have run.
    Unknown(Unknown),
}

/// Answer of an owner to a job submission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Submission {
    /// The job is durable, now or since an earlier submission of the same id.
    Accepted(Status),
    /// The id was used for a different job.
    Conflict,
    /// The scheduler doesn't own the shard.
    NotOwner {
        /// Owner that the scheduler knows of.
        owner: Option<Arc<str>>,
    },
    /// The job can never run, or the contract doesn't allow it.
    Rejected(Arc<str>),
    /// The job was not accepted; the same submission may succeed later.
    Unavailable(NotRun),
    /// It isn't known whether the job was accepted. The caller may repeat with the same id.
    Unknown,
}

/// What operators want to see of a scheduler's shards.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum View {
    /// Shards and their jobs.
    Jobs,
    /// Shards only.
    Shards,
    /// Shards and their targets.
    Targets,
}

/// What a scheduler tells operators about its own shards: a page of what was asked for.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Inspected {
    /// Shards owned, with their epochs.
    pub shards: Vec<(shard::Id, Epoch)>,
    /// Targets of the owned shards.
    pub targets: Vec<view::Target>,
    /// Jobs of the owned shards.
    pub jobs: Vec<Status>,
    /// Where the next page starts; `None` on the last one.
    pub next: Option<Arc<str>>,
}

/// What a process that can't read the log takes from a peer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// Contracts in force.
    pub register: Register,
    /// Offset up to which `owners` is known.
    pub cell_offset: Offset,
    /// Current epoch, owner and incarnation of the owner, per claimed shard.
    pub owners: Vec<(shard::Id, Epoch, Arc<str>, u64)>,
}

/// Content of a frame.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Between processes that serve jobs of steps.
    #[serde(rename = "w")]
    Workflow(crate::workflow::Message),
    /// Call, gateway to owner: asks for a slot. Answered by `Verdict`.
    #[serde(rename = "a")]
    Ask {
        /// Service shard.
        #[serde(rename = "s")]
        shard: shard::Id,
        /// The ask.
        #[serde(rename = "a", with = "compact::ask")]
        ask: SlotRequest,
    },
    /// Call, scheduler to scheduler: heartbeat. Answered by `Supported`.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Call, gateway to owner: cancels a job once the cancellation is durable. Answered by
    /// `Submission`.
    Cancel {
        /// Pool shard.
        shard: shard::Id,
        /// Job.
        job: Id,
    },
    /// Reply without content.
    #[serde(rename = "d")]
    Done,
    /// Call, gateway to owner: reports how a granted request ended. Answered by `Done`, or by
    /// `NotOwner` if the epoch is over and the new owner must be told by `OutstandingFinished`.
    #[serde(rename = "f")]
    Finish {
        /// Service shard.
        #[serde(rename = "s")]
        shard: shard::Id,
        /// Epoch of the grant.
        #[serde(rename = "e")]
        epoch: Epoch,
        /// Slot of the grant.
        #[serde(rename = "l")]
        slot: Slot,
        /// How it ended.
        #[serde(rename = "f")]
        finish: Finish,
        /// Milliseconds from dispatch to the end of the answer.
        #[serde(rename = "r")]
        run_ms: u64,
    },
    /// Notice, both directions, first on a link.
    Hello(Hello),
    /// Call, administration API to scheduler. Answered by `Inspected`.
    Inspect {
        /// What is asked for.
        view: View,
        /// `next` of the page before; `None` for the first page.
        after: Option<Arc<str>>,
    },
    /// Reply to `Inspect`.
    Inspected(Box<Inspected>),
    /// Reply to `Status` and `Tasks`: the owner has no such job.
    NoJob,
    /// Reply of a scheduler that doesn't own the shard.
    NotOwner {
        /// Owner that the scheduler knows of.
        owner: Option<Arc<str>>,
    },
    /// Reply to `Survey`.
    Outstanding(Vec<Outstanding>),
    /// Call, gateway to the new owner: a grant of an earlier epoch ended. Answered by `Done` or
    /// `NotOwner`.
    OutstandingFinished {
        /// Service shard.
        shard: shard::Id,
        /// Identity of the ask.
        key: Key,
        /// How it ended.
        finish: Finish,
    },
    /// Notice, scheduler to gateways and schedulers: the current owner of a shard.
    Owned {
        /// Shard.
        shard: shard::Id,
        /// Epoch.
        epoch: Epoch,
        /// Owner; `None` once it released the shard.
        owner: Option<Arc<str>>,
    },
    /// Notice, scheduler to scheduler: the sender released its support claims for these epochs.
    Released(Vec<(shard::Id, Epoch)>),
    /// Reply to `Revisions`: revision in force per contract; `None` until the scheduler has read the
    /// contracts.
    RevisionList(Option<Vec<(Arc<str>, Revision)>>),
    /// Call, administration API to scheduler. Answered by `RevisionList`.
    Revisions,
    /// Call, any process to a scheduler. Answered by `Snapshotted`.
    Snapshot,
    /// Reply to `Snapshot`.
    Snapshotted(Box<Snapshot>),
    /// Call, gateway to owner. Answered by `JobStatus`, `NoJob` or `NotOwner`.
    Status {
        /// Pool shard.
        shard: shard::Id,
        /// Job.
        job: Id,
        /// Milliseconds to wait for the job to end before answering; 0 answers at once.
        wait_ms: u64,
    },
    /// Reply to `Submit` and `Cancel`.
    Submission(Submission),
    /// Call, gateway to owner: submits a job. Answered by `Submission`.
    Submit {
        /// Pool shard.
        shard: shard::Id,
        /// Contract of the caller.
        contract: Arc<str>,
        /// Revision of the contract at the gateway. An owner that has an older one in force reads
        /// this one before it decides.
        #[serde(default)]
        revision: Revision,
        /// The job.
        job: Box<Spec>,
    },
    /// Reply to `Heartbeat`.
    Supported {
        /// Claims of the heartbeat that the sender supports.
        #[serde(rename = "c")]
        claims: Vec<(shard::Id, Epoch)>,
        /// Shards of the heartbeat's unsettled claims of which the sender is clear: it can't have
        /// helped their earlier owners to grant a request that is not in the log.
        #[serde(default, rename = "k", skip_serializing_if = "Vec::is_empty")]
        clear: Vec<shard::Id>,
        /// Whether the sender regards the log as unreachable now.
        #[serde(rename = "u")]
        log_unreachable: bool,
        /// As in [`Heartbeat`].
        #[serde(rename = "d")]
        log_unreachable_age_ms: u64,
        /// Schedulers that the sender has not heard of for so long that they may be down.
        #[serde(default, rename = "x", skip_serializing_if = "Vec::is_empty")]
        suspects: Vec<Arc<str>>,
    },
    /// Call, new owner to gateway: asks for grants of earlier epochs. Answered by `Outstanding`.
    Survey {
        /// Service shard.
        shard: shard::Id,
        /// Epoch of the new owner. The gateway no longer uses grants of earlier epochs that it has
        /// not dispatched yet.
        epoch: Epoch,
    },
    /// Reply to `Tasks`.
    TaskList(Vec<view::Task>),
    /// Call, administration API to owner. Answered by `TaskList`, `NoJob` or `NotOwner`.
    Tasks {
        /// Pool shard.
        shard: shard::Id,
        /// Job.
        job: Id,
    },
    /// Reply to `Status`.
    #[serde(rename = "Told")]
    JobStatus(Status),
    /// Reply to `Ask`.
    #[serde(rename = "v")]
    Verdict(Verdict),
    /// Notice, gateway to owner: the ask is no longer needed.
    Withdraw {
        /// Service shard.
        shard: shard::Id,
        /// Identity of the ask.
        key: Key,
    },
}

#[allow(clippy::trivially_copy_pass_by_ref)] // The signature is serde's.
fn is_zero(number: &u64) -> bool {
    *number == 0
}
