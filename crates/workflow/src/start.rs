//! Outcomes of start requests.

use serde::{Deserialize, Serialize};

/// Reason why a worker did not carry out a start request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// The request carried a lower fencing token than the worker has seen.
    #[serde(rename = "f")]
    Fenced,
    /// The request arrived after its deadline.
    #[serde(rename = "l")]
    Late,
    /// The connection could not be opened, so nothing was sent.
    #[serde(rename = "n")]
    NotSent,
    /// The attempt number is not higher than one that ended or was stopped on the worker.
    #[serde(rename = "o")]
    Old,
    /// The worker has too little free capacity.
    #[serde(rename = "m")]
    Room,
    /// The permit is missing or has expired.
    #[serde(rename = "p")]
    Permit,
    /// The worker is unhealthy and did nothing.
    #[serde(rename = "h")]
    Unhealthy,
    /// Another worker, or another incarnation of this worker, answered.
    #[serde(rename = "w")]
    WrongInstance,
}

/// Outcome of a start request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StartOutcome {
    /// The worker runs the attempt.
    #[serde(rename = "a")]
    Accepted {
        /// Time on the worker's clock in milliseconds; 0 if the worker didn't report it.
        #[serde(rename = "t")]
        clock_ms: u64,
    },
    /// The worker doesn't run the attempt and this request won't start it.
    #[serde(rename = "r")]
    Refused(Refusal),
    /// No answer: the request may have been carried out, or may still be carried out.
    #[serde(rename = "u")]
    Unknown,
}
