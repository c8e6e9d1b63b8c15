//! Answers of workers to orders.

/// Why a worker did not carry out a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The order carried a lower fencing token than the worker has seen.
    Fenced,
    /// The order arrived after its deadline.
    Late,
    /// The connection could not be opened, so nothing was sent.
    NotSent,
    /// The attempt is not higher than one that ended or was stopped there.
    Old,
    /// The worker has no room.
    Room,
    /// The permit is missing or no longer valid.
    Permit,
    /// The worker is unhealthy and has done nothing.
    Unhealthy,
    /// Another worker, or another life of this one, answered.
    WrongInstance,
}

/// Outcome of a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The run is there.
    Accepted {
        /// Time on the worker's clock in milliseconds; 0 if it wasn't told.
        clock_ms: u64,
    },
    /// The run is not there and this order won't start it.
    Refused(Refusal),
    /// No answer: the order may have been carried out, or may be later.
    Unknown,
}
