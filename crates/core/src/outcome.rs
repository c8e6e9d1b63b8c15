//! Outcomes of requests as reported to callers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Why a request was not run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRun {
    /// The contract's concurrency limit is reached and its queue is full.
    Concurrency,
    /// The deadline can't be met, or passed while the request was queued.
    Deadline,
    /// The contract doesn't include the service.
    NotInContract,
    /// No live instance of the service may be used for the request.
    NoInstance,
    /// The request requires the log, which is unreachable.
    LogUnavailable,
    /// No scheduler owns the shard at the moment.
    NoOwner,
    /// The queue of the shard is full.
    Overloaded,
    /// The contract's rate limit is reached.
    Rate,
    /// The process is shutting down.
    Stopping,
}

/// Why the outcome of a request is unknown.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unknown {
    /// The request id was dispatched before and is never dispatched again.
    AlreadyDispatched,
    /// The response did not arrive before the deadline.
    Deadline,
    /// This attempt was not run, but an earlier one may have run.
    EarlierAttempt,
    /// The instance responded that it did not run the request. It received bytes of the request, so
    /// `NotRun` must not be reported.
    InstanceRefused,
    /// The connection to the instance failed after the request was sent.
    InstanceLost,
    /// No owner was reachable, and an earlier attempt may have run.
    NoOwner,
    /// The shard changed owners while the log was unreachable, so earlier dispatches may be
    /// unrecorded.
    Takeover,
}

/// How a dispatched request ended, as the gateway reports it to the owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Finish {
    /// The complete response arrived.
    Answered,
    /// The connection failed after bytes were sent: the instance may still be running the request.
    Lost,
    /// No byte was sent: the connection couldn't be opened.
    NotSent,
    /// The instance responded that it is busy or leaving and did not run the request.
    Rejected,
    /// The gateway didn't use the grant: it had expired or the caller had disconnected.
    Unused,
}

/// Identity of a request.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Request {
    /// Contract of the caller.
    pub contract: Arc<str>,
    /// Identifier chosen by the caller.
    pub id: Arc<str>,
}
