//! Failures of calls to the platform.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use error_stack::Report;

/// Future that resolves to the result of a platform call.
pub type Answer<T> = Pin<Box<dyn Future<Output = Result<T, Report<Failure>>> + Send>>;

/// Cause of a failed call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The requested records are older than the first record that the log retains.
    Expired {
        /// First retained offset.
        first: u64,
    },
    /// The peer rejected the call because it has seen a newer epoch.
    Fenced {
        /// Epoch that the peer has seen.
        seen: u64,
    },
    /// The peer rejected the call; it had no effect.
    Refused(String),
    /// The peer sent no response or an invalid one; the call may have taken effect.
    Uncertain(String),
    /// No byte of the call reached the peer; it had no effect.
    Unreached(String),
}

/// A failed call to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Operation that failed, such as `append to cell`.
    pub operation: Arc<str>,
    /// Peer, such as an address or a VM's name.
    pub peer: Arc<str>,
    /// Cause.
    pub fault: Fault,
}

impl Failure {
    /// Creates a failure.
    #[must_use]
    pub fn new(operation: &str, peer: &str, fault: Fault) -> Self {
        Self {
            operation: operation.into(),
            peer: peer.into(),
            fault,
        }
    }

    /// Returns whether the call definitely had no effect.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        !matches!(self.fault, Fault::Uncertain(_))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: ", self.operation, self.peer)?;
        match &self.fault {
            Fault::Expired { first } => write!(f, "records before offset {first} have expired"),
            Fault::Fenced { seen } => write!(f, "fenced by epoch {seen}"),
            Fault::Refused(reason) => write!(f, "refused: {reason}"),
            Fault::Uncertain(reason) => write!(f, "no answer, may have taken effect: {reason}"),
            Fault::Unreached(reason) => write!(f, "not reached: {reason}"),
        }
    }
}

impl std::error::Error for Failure {}
