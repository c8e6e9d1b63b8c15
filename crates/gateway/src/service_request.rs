//! Validated service request of a caller, and its outcome.

use std::sync::Arc;

use rosemaryworks_core::outcome::{NotRun, Request, Unknown};
use rosemaryworks_core::time::Instant;
use rosemaryworks_platform::instances::Response;

use crate::body_memory::Reservation;

/// Request that passed all checks of the gateway.
#[derive(Debug)]
pub(crate) struct ServiceRequest {
    pub(crate) service: Arc<str>,
    pub(crate) identity: Request,
    pub(crate) idempotent: bool,
    pub(crate) attempt: Option<u32>,
    pub(crate) content_type: Option<Arc<str>>,
    pub(crate) body: Body,
    /// Limit of the contract that decides whether its requests are pinned to one shard.
    pub(crate) pinning_limit: u64,
    pub(crate) received: Instant,
    pub(crate) deadline: Instant,
}

/// Request body with its memory reservation.
#[derive(Debug)]
pub(crate) struct Body {
    pub(crate) bytes: Vec<u8>,
    /// Held until the request has ended.
    pub(crate) _reservation: Reservation,
}

impl ServiceRequest {
    /// Returns the outcome of a request of which this gateway sent no bytes to an instance. Unless
    /// the owner guarantees that it has not recorded the id, `not-run` is certain only for the
    /// first attempt: an earlier one may have run through another gateway.
    pub(crate) fn unsent_outcome(&self, reason: NotRun, unknown: Unknown) -> Outcome {
        match is_first_attempt(self.attempt) {
            true => Outcome::NotRun(reason),
            false => Outcome::Unknown(unknown),
        }
    }

    /// Returns the attempt number that the instance receives.
    pub(crate) fn attempt_number(&self) -> u32 {
        self.attempt.unwrap_or(1)
    }
}

/// Returns whether the caller marks the attempt as the first use of the id. A missing number
/// doesn't imply a first attempt, not even for idempotent requests: callers also repeat those
/// without a number.
pub(crate) fn is_first_attempt(attempt: Option<u32>) -> bool {
    attempt == Some(1)
}

/// Outcome of a request as reported to the caller.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    Completed(Arc<Response>),
    NotRun(NotRun),
    Unknown(Unknown),
}

impl Outcome {
    /// Returns the outcome to report. `rejected` is true if an instance rejected an earlier
    /// dispatch: bytes of the request reached that instance, so `not-run` must not be reported.
    pub(crate) fn after_rejection(self, rejected: bool) -> Self {
        match self {
            Self::NotRun(_) if rejected => Self::Unknown(Unknown::InstanceRefused),
            outcome => outcome,
        }
    }
}
