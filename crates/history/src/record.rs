//! Records of a history: what callers, targets and the log saw.

use std::sync::Arc;

use rosemaryworks_core::size::Size;
use serde::{Deserialize, Serialize};

/// An event with its time. A history file holds one record a line as JSON.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Unix time in microseconds.
    pub at_us: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// How a lease ended at its worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseEnd {
    /// The task was checkpointed and stopped.
    Checkpointed,
    /// The task failed.
    Failed,
    /// The lease lapsed.
    Lapsed,
    /// The owner stopped the task.
    Stopped,
    /// The task ran to its end.
    Succeeded,
    /// The VM died.
    VmLost,
}

/// Why a target refused work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The epoch is older than one that the target has seen.
    Fenced,
    /// The work doesn't fit.
    Full,
    /// The target is leaving.
    Leaving,
}

/// Identity of a request at a target and at a caller.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Request {
    /// Contract of the caller.
    pub contract: Arc<str>,
    /// Identifier chosen by the caller.
    pub id: Arc<str>,
    /// Number of the attempt as the caller counts them.
    pub attempt: u32,
}

/// What a caller learned of its request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The answer of an instance.
    Completed,
    /// The connection ended without a whole answer.
    Lost,
    /// Reported as not run.
    NotRun,
    /// The request is malformed or not permitted; nothing was run.
    Refused,
    /// The caller stopped waiting.
    TimedOut,
    /// Reported as unknown.
    Unknown,
    /// The connection couldn't be opened.
    Unreached,
}

/// What an operator asked of the contract register.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Operation {
    /// Publishes a contract whose weight is `mark`, if `expected` is the current revision.
    Publish {
        /// Revision expected.
        expected: u64,
        /// Weight that tells this publish from others.
        mark: u32,
    },
    /// Reads the contract in force.
    Read,
}

/// What an operator was told.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Reply {
    /// The publish is accepted.
    Accepted {
        /// Revision created.
        revision: u64,
    },
    /// Another publish came first.
    Conflict {
        /// Revision in force, if it was told.
        current: Option<u64>,
    },
    /// The change had no effect.
    Refused,
    /// The contract in force.
    Shown {
        /// Revision; 0 if there is none.
        revision: u64,
        /// Weight of the contract; 0 if there is none.
        mark: u32,
    },
    /// No answer, or one that leaves the effect open.
    Unknown,
}

/// What happened.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Event {
    /// Caller: a call ended.
    Answered {
        /// Number of the call.
        call: u64,
        /// What the caller learned.
        outcome: Outcome,
        /// Token at the start of the answer.
        token: Arc<str>,
        /// Bytes of the answer.
        length: u64,
        /// Whether the whole answer repeats its token.
        intact: bool,
        /// Reason told with the outcome.
        reason: Arc<str>,
    },
    /// Log: an append took effect.
    Appended {
        /// Stream.
        stream: Arc<str>,
        /// Identifier of the append.
        id: Arc<str>,
        /// Offset of the first record.
        offset: u64,
        /// Records as JSON text.
        records: Vec<Arc<str>>,
    },
    /// Instance: a request began to run.
    Arrived {
        /// Instance.
        instance: Arc<str>,
        /// The request.
        request: Request,
        /// Requests running, with this one.
        busy: u32,
    },
    /// Caller: a call began.
    Called {
        /// Number of the call, unique in the history.
        call: u64,
        /// Process called.
        process: Arc<str>,
        /// The request.
        request: Request,
        /// Whether the request may run more than once.
        idempotent: bool,
        /// Token expected in the answer.
        token: Arc<str>,
        /// Bytes expected in the answer.
        length: u64,
    },
    /// Instance: a connection was opened.
    Connected {
        /// Instance.
        instance: Arc<str>,
        /// Connections open, with this one.
        open: u32,
    },
    /// Instance: died with every request that it ran.
    Crashed {
        /// Instance.
        instance: Arc<str>,
    },
    /// Instance: a connection was closed.
    Disconnected {
        /// Instance.
        instance: Arc<str>,
        /// Connections still open.
        open: u32,
    },
    /// Driver: a failure was injected or ended.
    Fault {
        /// Name of the failure.
        name: Arc<str>,
        /// Process or target that it concerns.
        target: Arc<str>,
        /// Whether it began; `false` when it ended.
        began: bool,
    },
    /// Instance: came into service.
    InstanceStarted {
        /// Instance.
        instance: Arc<str>,
        /// Requests that it serves at once.
        slots: u32,
        /// Connections that it accepts.
        connections: u32,
    },
    /// Caller: a job was acknowledged.
    JobAccepted {
        /// Contract and identifier, joined by `/`.
        job: Arc<str>,
    },
    /// Caller: a job's state was told.
    JobSeen {
        /// Contract and identifier, joined by `/`.
        job: Arc<str>,
        /// State, such as `running`.
        state: Arc<str>,
        /// Whether the state is terminal.
        terminal: bool,
    },
    /// Worker: a lease ended.
    LeaseEnded {
        /// Worker.
        worker: Arc<str>,
        /// Contract, job and index, joined by `/`.
        task: Arc<str>,
        /// Attempt.
        attempt: u32,
        /// How it ended.
        end: LeaseEnd,
    },
    /// Worker: a lease began.
    LeaseGranted {
        /// Worker.
        worker: Arc<str>,
        /// Contract, job and index, joined by `/`.
        task: Arc<str>,
        /// Attempt.
        attempt: u32,
        /// Epoch of the owner.
        epoch: u64,
        /// Size that the lease holds.
        size: Size,
    },
    /// Worker: refused a lease.
    LeaseRefused {
        /// Worker.
        worker: Arc<str>,
        /// Contract, job and index, joined by `/`.
        task: Arc<str>,
        /// Attempt.
        attempt: u32,
        /// Epoch of the owner.
        epoch: u64,
        /// Why.
        reason: Refusal,
    },
    /// Target or list: the first notice that a target is leaving could be received.
    Leaving {
        /// Worker or instance.
        target: Arc<str>,
    },
    /// Operator: a call to the contract register began.
    OperatorCalled {
        /// Number of the call, unique in the history.
        call: u64,
        /// Contract.
        contract: Arc<str>,
        /// What was asked.
        operation: Operation,
    },
    /// Operator: a call to the contract register ended.
    OperatorTold {
        /// Number of the call.
        call: u64,
        /// What was told.
        told: Reply,
    },
    /// Driver: a planned stop began or ended.
    PlannedStop {
        /// Process.
        process: Arc<str>,
        /// Whether it began; `false` when the process has exited.
        began: bool,
    },
    /// Driver: a process became ready after a start, or was killed.
    Process {
        /// Process.
        process: Arc<str>,
        /// Whether it runs and is ready.
        up: bool,
    },
    /// Instance: refused a request and did not run it.
    Rejected {
        /// Instance.
        instance: Arc<str>,
        /// The request.
        request: Request,
        /// Why.
        reason: Refusal,
    },
    /// Target or list: a target that was leaving takes work again.
    Returned {
        /// Worker or instance.
        target: Arc<str>,
    },
    /// Instance: a request ended.
    Served {
        /// Instance.
        instance: Arc<str>,
        /// The request.
        request: Request,
        /// Requests still running.
        busy: u32,
    },
    /// Driver: the revision of a contract that a scheduler applies.
    Enforced {
        /// Scheduler.
        process: Arc<str>,
        /// Contract.
        contract: Arc<str>,
        /// Revision; 0 if there is none.
        revision: u64,
    },
    /// Driver: the revision of a contract that a gateway shows.
    Shown {
        /// Process asked.
        process: Arc<str>,
        /// Contract.
        contract: Arc<str>,
        /// Revision; 0 if there is none.
        revision: u64,
    },
    /// Worker: became unreachable while its tasks may go on.
    WorkerCut {
        /// Worker.
        worker: Arc<str>,
        /// Whether it is unreachable; `false` when it is reachable again.
        cut: bool,
    },
    /// Worker: came into service.
    WorkerStarted {
        /// Worker.
        worker: Arc<str>,
        /// What it can hold.
        size: Size,
    },
}
