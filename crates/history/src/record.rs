//! Records of a history: events observed by callers, targets, the log and the test driver.

use std::sync::Arc;

use rosemaryworks_core::size::Size;
use serde::{Deserialize, Serialize};

/// An event with its time. A history file holds one record per line as JSON.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Unix time in microseconds.
    pub at_us: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// How a lease ended, as its worker observed it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseEnd {
    /// The task was checkpointed and stopped.
    Checkpointed,
    /// The task failed.
    Failed,
    /// The lease expired without renewal.
    Lapsed,
    /// The owner stopped the task.
    Stopped,
    /// The task completed.
    Succeeded,
    /// The VM crashed.
    VmLost,
}

/// Why a target rejected work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The epoch is older than the highest one that the target has received.
    Fenced,
    /// The work exceeds the free capacity.
    Full,
    /// The target is draining.
    Leaving,
}

/// Identity of a request, the same at the caller and at the target.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Request {
    /// Contract of the caller.
    pub contract: Arc<str>,
    /// Identifier chosen by the caller.
    pub id: Arc<str>,
    /// Number of the attempt, counted by the caller.
    pub attempt: u32,
}

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An instance responded.
    Completed,
    /// The connection closed before the response was complete.
    Lost,
    /// The response reports that the request was not run.
    NotRun,
    /// The request is malformed or not permitted; it was not run.
    Refused,
    /// The caller's timeout elapsed.
    TimedOut,
    /// The response reports that the outcome is unknown.
    Unknown,
    /// The connection couldn't be opened.
    Unreached,
}

/// Operation on the contract register.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Operation {
    /// Publishes a contract of weight `mark` if `expected` is the current revision.
    Publish {
        /// Expected current revision.
        expected: u64,
        /// Contract weight, which identifies this publish.
        mark: u32,
    },
    /// Reads the current contract.
    Read,
}

/// Result of an operation on the contract register for the operator.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Reply {
    /// The publish was accepted.
    Accepted {
        /// Revision created.
        revision: u64,
    },
    /// The expected revision is not the current one.
    Conflict {
        /// Current revision, if the response has it.
        current: Option<u64>,
    },
    /// The operation was rejected without effect.
    Refused,
    /// The current contract.
    Shown {
        /// Revision; 0 if there is none.
        revision: u64,
        /// Weight of the contract; 0 if there is none.
        mark: u32,
    },
    /// No response, or one that leaves the effect undetermined.
    Unknown,
}

/// Event of a history. The description of each variant starts with its observer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Event {
    /// Caller: a call ended, with or without a response.
    Answered {
        /// Number of the call.
        call: u64,
        /// Outcome for the caller.
        outcome: Outcome,
        /// Token at the start of the response.
        token: Arc<str>,
        /// Length of the response in bytes.
        length: u64,
        /// Whether the whole response body repeats its token.
        intact: bool,
        /// Reason reported with the outcome.
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
        /// Records as JSON texts.
        records: Vec<Arc<str>>,
    },
    /// Instance: a request started to run.
    Arrived {
        /// Instance.
        instance: Arc<str>,
        /// The request.
        request: Request,
        /// Running requests, including this one.
        busy: u32,
    },
    /// Caller: a call began.
    Called {
        /// Number of the call, unique in the history.
        call: u64,
        /// Called process.
        process: Arc<str>,
        /// The request.
        request: Request,
        /// Whether the request may be run more than once.
        idempotent: bool,
        /// Token expected in the response.
        token: Arc<str>,
        /// Length expected of the response in bytes.
        length: u64,
    },
    /// Instance: a connection was opened.
    Connected {
        /// Instance.
        instance: Arc<str>,
        /// Open connections, including this one.
        open: u32,
    },
    /// Instance: crashed; its running requests were lost.
    Crashed {
        /// Instance.
        instance: Arc<str>,
    },
    /// Instance: a connection was closed.
    Disconnected {
        /// Instance.
        instance: Arc<str>,
        /// Remaining open connections.
        open: u32,
    },
    /// Driver: a fault began or ended.
    Fault {
        /// Name of the fault.
        name: Arc<str>,
        /// Affected process or target.
        target: Arc<str>,
        /// `true` at the start of the fault, `false` at its end.
        began: bool,
    },
    /// Instance: started serving.
    InstanceStarted {
        /// Instance.
        instance: Arc<str>,
        /// Maximum of concurrent requests.
        slots: u32,
        /// Maximum of open connections.
        connections: u32,
    },
    /// Caller: a job submission was acknowledged.
    JobAccepted {
        /// Contract and job identifier, joined by `/`.
        job: Arc<str>,
    },
    /// Caller: received the state of a job.
    JobSeen {
        /// Contract and job identifier, joined by `/`.
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
        /// Contract, job and task index, joined by `/`.
        task: Arc<str>,
        /// Attempt.
        attempt: u32,
        /// How it ended.
        end: LeaseEnd,
    },
    /// Worker: granted a lease.
    LeaseGranted {
        /// Worker.
        worker: Arc<str>,
        /// Contract, job and task index, joined by `/`.
        task: Arc<str>,
        /// Attempt.
        attempt: u32,
        /// Epoch of the owner.
        epoch: u64,
        /// Capacity that the lease reserves.
        size: Size,
    },
    /// Worker: rejected a lease.
    LeaseRefused {
        /// Worker.
        worker: Arc<str>,
        /// Contract, job and task index, joined by `/`.
        task: Arc<str>,
        /// Attempt.
        attempt: u32,
        /// Epoch of the owner.
        epoch: u64,
        /// Reason of the rejection.
        reason: Refusal,
    },
    /// Target or directory, the platform's list of VMs: first announced that a target is draining.
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
        /// The operation.
        operation: Operation,
    },
    /// Operator: a call to the contract register ended.
    OperatorTold {
        /// Number of the call.
        call: u64,
        /// The result.
        told: Reply,
    },
    /// Driver: a graceful shutdown began or ended.
    PlannedStop {
        /// Process.
        process: Arc<str>,
        /// `true` when the shutdown was requested, `false` when the process has exited.
        began: bool,
    },
    /// Driver: a process became ready after a start, or was killed.
    Process {
        /// Process.
        process: Arc<str>,
        /// Whether the process is running and ready.
        up: bool,
    },
    /// Instance: rejected a request without running it.
    Rejected {
        /// Instance.
        instance: Arc<str>,
        /// The request.
        request: Request,
        /// Reason of the rejection.
        reason: Refusal,
    },
    /// Target or directory, the platform's list of VMs: a draining target accepts work again.
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
        /// Remaining running requests.
        busy: u32,
    },
    /// Driver: read the revision of a contract that a scheduler enforces.
    Enforced {
        /// Scheduler.
        process: Arc<str>,
        /// Contract.
        contract: Arc<str>,
        /// Revision; 0 if there is none.
        revision: u64,
    },
    /// Driver: read the revision of a contract from a gateway.
    Shown {
        /// Queried gateway.
        process: Arc<str>,
        /// Contract.
        contract: Arc<str>,
        /// Revision; 0 if there is none.
        revision: u64,
    },
    /// Worker: became unreachable or reachable again; its tasks may continue meanwhile.
    WorkerCut {
        /// Worker.
        worker: Arc<str>,
        /// `true` when it became unreachable, `false` when it is reachable again.
        cut: bool,
    },
    /// Worker: started serving.
    WorkerStarted {
        /// Worker.
        worker: Arc<str>,
        /// Capacity of the worker.
        size: Size,
    },
}
