//! Messages between gateways, schedulers and entry processes.

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

/// Kind of process that uses the protocol.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// Entry process, which serves jobs that consist of steps.
    Entry,
    /// Gateway.
    Gateway,
    /// Scheduler.
    Scheduler,
}

/// First message on a link in each direction; identifies the sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Name of the process, from its settings.
    pub node: Arc<str>,
    /// Kind of process.
    pub role: Role,
    /// Availability zone of the process.
    pub zone: Arc<str>,
    /// Incarnation of the process; increases with every start.
    pub incarnation: u64,
}

/// Heartbeat of a scheduler, which also requests support for the shards that it claims. Field names
/// on the wire are short, because heartbeats are most of the traffic of idle schedulers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Name of the scheduler.
    #[serde(rename = "n")]
    pub node: Arc<str>,
    /// Incarnation of the scheduler.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the sender's incarnation.
    #[serde(default, rename = "q")]
    pub sequence: u64,
    /// Shards that the scheduler claims, with epochs. It requests the receiver's support for each
    /// claim.
    #[serde(rename = "c")]
    pub claims: Vec<(shard::Id, Epoch)>,
    /// Whether each shard is settled, in the order of `claims`, as defined by
    /// [`Claim::settled`](rosemaryworks_core::ownership::Claim::settled). A shard without a value
    /// is not settled.
    #[serde(default, rename = "t", skip_serializing_if = "Vec::is_empty")]
    pub settled: Vec<bool>,
    /// Whether the sender regards the log as unreachable now.
    #[serde(rename = "u")]
    pub log_unreachable: bool,
    /// Milliseconds since the sender last regarded the log as unreachable, or since its start if
    /// that is later: it has no information about the time before.
    #[serde(rename = "d")]
    pub log_unreachable_age_ms: u64,
    /// Whether the scheduler is stopping and claims no shards.
    #[serde(rename = "s")]
    pub stopping: bool,
}

/// Reply of an owner to a [`SlotRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// The gateway may dispatch the request once, to this instance.
    #[serde(rename = "g")]
    Granted {
        /// Epoch in which the owner granted the slot.
        #[serde(rename = "e")]
        epoch: Epoch,
        /// Slot to report in `Finish`.
        #[serde(rename = "l")]
        slot: Slot,
        /// Instance to which the request may be sent.
        #[serde(rename = "t", with = "compact::instance")]
        instance: Instance,
        /// Milliseconds on the owner's clock from the receipt of the slot request to a time, not
        /// later than the grant, at which the owner had the support of a majority. Extends the
        /// validity of a grant whose request waited in the owner's queue.
        #[serde(default, rename = "w", skip_serializing_if = "is_zero")]
        waited_ms: u64,
    },
    /// The request was not run, and this attempt will not run it.
    NotRun(NotRun),
    /// The scheduler doesn't own the shard.
    NotOwner {
        /// Current owner, if known to the scheduler.
        owner: Option<Arc<str>>,
    },
    /// The outcome is unknown; an earlier attempt may have run.
    Unknown(Unknown),
}

/// Reply of an owner to the submission or cancellation of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Submission {
    /// The job is durable, through this submission or an earlier one with the same id.
    Accepted(Status),
    /// The id was used for a different job.
    Conflict,
    /// The scheduler doesn't own the shard.
    NotOwner {
        /// Current owner, if known to the scheduler.
        owner: Option<Arc<str>>,
    },
    /// The job can never run, or the contract doesn't allow it.
    Rejected(Arc<str>),
    /// The job was not accepted; the same submission may succeed later.
    Unavailable(NotRun),
    /// It is unknown whether the job was accepted. The caller may retry with the same id.
    Unknown,
}

/// Part of a scheduler's state that an operator requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum View {
    /// Shards and their jobs.
    Jobs,
    /// Shards only.
    Shards,
    /// Shards and their targets.
    Targets,
}

/// Page of a scheduler's state for operators, with the part selected by a [`View`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Inspected {
    /// Shards owned, with their epochs.
    pub shards: Vec<(shard::Id, Epoch)>,
    /// Targets of the owned shards.
    pub targets: Vec<view::Target>,
    /// Jobs of the owned shards.
    pub jobs: Vec<Status>,
    /// Cursor of the next page; `None` on the last one.
    pub next: Option<Arc<str>>,
}

/// State that a process copies from a peer when it can't read the log.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// Contracts in force.
    pub register: Register,
    /// Offset of the cell stream up to which `owners` is complete.
    pub cell_offset: Offset,
    /// Shard, current epoch, owner and the owner's incarnation, for each claimed shard.
    pub owners: Vec<(shard::Id, Epoch, Arc<str>, u64)>,
}

/// Message of a frame.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Message between entry processes.
    #[serde(rename = "w")]
    Workflow(crate::workflow::Message),
    /// Call, gateway to owner: requests a slot. Answered by `Verdict`.
    #[serde(rename = "a")]
    Ask {
        /// Service shard.
        #[serde(rename = "s")]
        shard: shard::Id,
        /// Slot request.
        #[serde(rename = "a", with = "compact::slot_request")]
        ask: SlotRequest,
    },
    /// Call, scheduler to scheduler: heartbeat. Answered by `Supported`.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Call, gateway to owner or scheduler to owner: cancels a job. Answered by `Submission`;
    /// `Accepted` means that the cancellation is durable or that the job had already ended.
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
    /// `NotOwner` if the epoch has ended; the gateway then reports to the new owner by
    /// `OutstandingFinished`.
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
        /// How the request ended.
        #[serde(rename = "f")]
        finish: Finish,
        /// Milliseconds from dispatch to the end of the instance's response.
        #[serde(rename = "r")]
        run_ms: u64,
    },
    /// Notice, first on a link in each direction.
    Hello(Hello),
    /// Call, administration API to scheduler: requests a page of its state. Answered by
    /// `Inspected`.
    Inspect {
        /// Requested part of the state.
        view: View,
        /// `next` of the previous page; `None` for the first page.
        after: Option<Arc<str>>,
    },
    /// Reply to `Inspect`.
    Inspected(Box<Inspected>),
    /// Reply to `Status` and `Tasks`: the owner has no such job.
    NoJob,
    /// Reply of a scheduler that doesn't own the shard.
    NotOwner {
        /// Current owner, if known to the scheduler.
        owner: Option<Arc<str>>,
    },
    /// Reply to `Survey`: grants of earlier epochs that the gateway still holds.
    Outstanding(Vec<Outstanding>),
    /// Call, gateway to the new owner: reports how a grant of an earlier epoch ended. Answered by
    /// `Done` or `NotOwner`.
    OutstandingFinished {
        /// Service shard.
        shard: shard::Id,
        /// Key of the slot request.
        key: Key,
        /// How the request ended.
        finish: Finish,
    },
    /// Notice, scheduler to gateways and schedulers: announces the current owner of a shard.
    Owned {
        /// Shard.
        shard: shard::Id,
        /// Epoch.
        epoch: Epoch,
        /// Owner; `None` after it released the shard.
        owner: Option<Arc<str>>,
    },
    /// Notice, scheduler to scheduler: the sender no longer claims support for these epochs.
    Released(Vec<(shard::Id, Epoch)>),
    /// Reply to `Revisions`: revision in force per contract; `None` until the scheduler has read
    /// the contracts.
    RevisionList(Option<Vec<(Arc<str>, Revision)>>),
    /// Call, administration API to scheduler: requests the revisions in force. Answered by
    /// `RevisionList`.
    Revisions,
    /// Call, any process to scheduler: requests a [`Snapshot`]. Answered by `Snapshotted`.
    Snapshot,
    /// Reply to `Snapshot`.
    Snapshotted(Box<Snapshot>),
    /// Call, gateway to owner: requests the status of a job. Answered by `JobStatus`, `NoJob` or
    /// `NotOwner`.
    Status {
        /// Pool shard.
        shard: shard::Id,
        /// Job.
        job: Id,
        /// Milliseconds to wait for the job to end before replying; 0 replies at once.
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
        /// Revision of the contract at the gateway. An owner with an older revision in force reads
        /// this one before it decides.
        #[serde(default)]
        revision: Revision,
        /// Job.
        job: Box<Spec>,
    },
    /// Reply to `Heartbeat`.
    Supported {
        /// Claims of the heartbeat that the sender of this reply supports.
        #[serde(rename = "c")]
        claims: Vec<(shard::Id, Epoch)>,
        /// Shards among the heartbeat's unsettled claims for which the sender rules out unlogged
        /// grants: its support can't have let an earlier owner grant a request that is not in the
        /// log.
        #[serde(default, rename = "k", skip_serializing_if = "Vec::is_empty")]
        clear: Vec<shard::Id>,
        /// Whether the sender regards the log as unreachable now.
        #[serde(rename = "u")]
        log_unreachable: bool,
        /// Same as in [`Heartbeat`].
        #[serde(rename = "d")]
        log_unreachable_age_ms: u64,
        /// Schedulers that the sender suspects to be down, because it has received nothing from
        /// them for too long.
        #[serde(default, rename = "x", skip_serializing_if = "Vec::is_empty")]
        suspects: Vec<Arc<str>>,
    },
    /// Call, new owner to gateway: requests the outstanding grants of earlier epochs. Answered by
    /// `Outstanding`.
    Survey {
        /// Service shard.
        shard: shard::Id,
        /// Epoch of the new owner. The gateway discards grants of earlier epochs that it has not
        /// dispatched yet.
        epoch: Epoch,
    },
    /// Reply to `Tasks`.
    TaskList(Vec<view::Task>),
    /// Call, administration API to owner: requests the tasks of a job. Answered by `TaskList`,
    /// `NoJob` or `NotOwner`.
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
    /// Notice, gateway to owner: withdraws a slot request.
    Withdraw {
        /// Service shard.
        shard: shard::Id,
        /// Key of the slot request.
        key: Key,
    },
}

#[allow(clippy::trivially_copy_pass_by_ref)] // serde prescribes the signature.
fn is_zero(number: &u64) -> bool {
    *number == 0
}
