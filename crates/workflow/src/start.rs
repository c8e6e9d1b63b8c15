//! Outcomes of start requests.

/// Reason why a worker did not carry out a start request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The request carried a lower fencing token than the worker has seen.
    Fenced,
    /// The request arrived after its deadline.
    Late,
    /// The connection could not be opened, so nothing was sent.
    NotSent,
    /// The attempt number is not higher than one that ended or was stopped on the worker.
    Old,
    /// The worker has too little free capacity.
    Room,
    /// The permit is missing or has expired.
    Permit,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// Another worker, or another incarnation of this worker, answered.
    WrongInstance,
}

/// Outcome of a start request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The worker runs the attempt.
    Accepted {
        /// Time on the worker's clock in milliseconds; 0 if the worker didn't report it.
        clock_ms: u64,
    },
    /// The worker doesn't run the attempt and this request won't start it.
    Refused(Refusal),
    /// No answer: the request may have been carried out, or may still be carried out.
    Unknown,
}
