//! HTTP responses to callers.

use ntex::http::StatusCode;
use ntex::web::{HttpResponse, HttpResponseBuilder};
use rosemaryworks_core::outcome::{NotRun, Unknown};
use rosemaryworks_platform::instances::Response;
use serde::Serialize;
use serde_json::json;

use crate::service_request::Outcome;

const OUTCOME: &str = "rosemary-outcome";
const REQUEST_ID: &str = "rosemary-request-id";

/// Headers of an instance's response that are hop-by-hop, or that the gateway sets itself.
const HEADERS_NOT_FORWARDED: [&str; 12] = [
    "connection",
    "content-length",
    "date",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    OUTCOME,
    REQUEST_ID,
];

/// Status of a request whose body doesn't arrive before the deadline.
pub(super) const STATUS_REQUEST_TIMEOUT: u16 = 408;

const STATUS_PAYLOAD_TOO_LARGE: u16 = 413;

/// Rejection of a request that is invalid, not authorized, or can't be accepted at the moment.
#[derive(Debug)]
pub(super) struct Refusal {
    pub(super) status: u16,
    pub(super) message: String,
}

impl Refusal {
    pub(super) fn new(status: u16, message: impl Into<String>) -> Self {
        Self {
            status,
            message: message.into(),
        }
    }

    /// Returns the HTTP response. `outcome` covers all attempts with the request id.
    pub(super) fn response(&self, outcome: &'static str) -> HttpResponse {
        let body = json!({
            "outcome": outcome,
            "reason": "refused",
            "message": self.message,
        });
        let mut builder = builder(self.status);
        builder.set_header(OUTCOME, outcome);
        // Otherwise the unread rest of the body would be parsed as the next request.
        if matches!(
            self.status,
            STATUS_PAYLOAD_TOO_LARGE | STATUS_REQUEST_TIMEOUT
        ) {
            builder.force_close();
        }
        json_body(builder, &body)
    }
}

pub(super) fn builder(status: u16) -> HttpResponseBuilder {
    HttpResponse::build(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY))
}

pub(super) fn json_body<T: Serialize>(mut builder: HttpResponseBuilder, body: &T) -> HttpResponse {
    match serde_json::to_vec(body) {
        Ok(body) => builder.content_type("application/json").body(body),
        Err(error) => HttpResponse::InternalServerError().body(format!("{error}\n")),
    }
}

impl Outcome {
    /// Returns the name of the outcome.
    pub(crate) const fn name(&self) -> &'static str {
        match self {
            Self::Completed(_) => "completed",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// Returns the HTTP response for the outcome of a request.
pub(super) fn outcome(id: &str, outcome: &Outcome) -> HttpResponse {
    let mut builder = match outcome {
        Outcome::Completed(response) => completed(response),
        Outcome::NotRun(reason) => builder(not_run_status(reason)),
        Outcome::Unknown(_) => builder(504),
    };
    builder.set_header(OUTCOME, outcome.name());
    builder.set_header(REQUEST_ID, id);
    match outcome {
        Outcome::Completed(response) => builder.body(response.body.clone()),
        Outcome::NotRun(reason) => json_body(builder, &not_run(reason)),
        Outcome::Unknown(reason) => json_body(builder, &unknown(reason)),
    }
}

fn completed(response: &Response) -> HttpResponseBuilder {
    let mut builder = builder(response.status);
    for (name, value) in &response.headers {
        let is_forwarded = !HEADERS_NOT_FORWARDED
            .iter()
            .any(|excluded| name.eq_ignore_ascii_case(excluded));
        if is_forwarded {
            builder.header(&**name, &**value);
        }
    }
    builder
}

/// Returns the status of a request that was not run: 429 if it exceeded a limit of its contract,
/// else 503.
pub(super) const fn not_run_status(reason: &NotRun) -> u16 {
    match reason {
        NotRun::Concurrency | NotRun::Rate => 429,
        _ => 503,
    }
}

pub(super) fn not_run(reason: &NotRun) -> serde_json::Value {
    let message = match reason {
        NotRun::Concurrency => "the concurrency limit is reached and the queue is full",
        NotRun::Deadline => "the deadline can't be met",
        NotRun::NotInContract => "the contract doesn't include this",
        NotRun::NoInstance => "no instance could be reached",
        NotRun::LogUnavailable => "the log can't be reached",
        NotRun::NoOwner => "no scheduler owns the shard at the moment",
        NotRun::Overloaded => "the queue of the shard is full",
        NotRun::Rate => "the rate limit is reached",
        NotRun::Stopping => "the process is shutting down",
    };
    json!({ "outcome": "not-run", "reason": reason, "message": message })
}

fn unknown(reason: &Unknown) -> serde_json::Value {
    let message = match reason {
        Unknown::AlreadyDispatched => "already dispatched",
        Unknown::Deadline => "no answer before the deadline",
        Unknown::EarlierAttempt => "this attempt was not run; an earlier one may have run",
        Unknown::InstanceRefused => "the instance refused the request after it was sent",
        Unknown::InstanceLost => "the connection to the instance failed",
        Unknown::NoOwner => "no scheduler could be asked and an earlier attempt may have run",
        Unknown::Takeover => "the shard changed its owner; earlier dispatches are not all known",
    };
    json!({ "outcome": "unknown", "reason": reason, "message": message })
}
