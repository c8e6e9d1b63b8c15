//! Failures of calls to the platform.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use error_stack::Report;

/// Future of a platform call.
pub type Answer<T> = Pin<Box<dyn Future<Output = Result<T, Report<Failure>>> + Send>>;

/// What went wrong.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The records before this offset are no longer kept.
    Expired {
        /// First offset that is kept.
        first: u64,
    },
    /// The peer refused because it has seen a newer epoch.
    Fenced {
        /// Epoch that the peer has seen.
        seen: u64,
    },
    /// The peer understood the call and refused it; it had no effect.
    Refused(String),
    /// The peer did not answer, or its answer was not understood; the call may have taken effect.
    Uncertain(String),
    /// No byte reached the peer; the call had no effect.
    Unreached(String),
}

/// A failed call with its step and peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Step that failed, such as `append to cell`.
    pub step: Arc<str>,
    /// Peer, such as an address or a VM's name.
    pub peer: Arc<str>,
    /// What went wrong.
    pub fault: Fault,
}

impl Failure {
    /// Creates a failure.
    #[must_use]
    pub fn new(step: &str, peer: &str, fault: Fault) -> Self {
        Self {
            step: step.into(),
            peer: peer.into(),
            fault,
        }
    }

    /// Tells whether the call certainly had no effect.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        !matches!(self.fault, Fault::Uncertain(_))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: ", self.step, self.peer)?;
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
