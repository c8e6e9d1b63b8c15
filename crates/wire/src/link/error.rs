//! Errors of calls over a link.

use std::fmt;
use std::sync::Arc;

/// What went wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The link was closed after the call was handed to it; the peer may have taken the call.
    Closed,
    /// No link to the peer is open; the call was not sent.
    NotOpen,
    /// The peer did not reply in time; it may have taken the call.
    Timeout,
    /// The message is too large to be sent.
    TooLarge,
}

/// A failed call with its step and peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// Step that failed.
    pub step: &'static str,
    /// Name of the peer.
    pub peer: Arc<str>,
    /// What went wrong.
    pub fault: Fault,
}

impl Error {
    /// Tells whether the peer certainly did not take the call.
    #[must_use]
    pub const fn is_undelivered(&self) -> bool {
        matches!(self.fault, Fault::NotOpen | Fault::TooLarge)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fault = match self.fault {
            Fault::Closed => "link closed before the reply",
            Fault::NotOpen => "no open link",
            Fault::Timeout => "no reply in time",
            Fault::TooLarge => "message too large",
        };
        write!(f, "{} at {}: {fault}", self.step, self.peer)
    }
}

impl std::error::Error for Error {}
