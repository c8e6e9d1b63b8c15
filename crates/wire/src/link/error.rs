//! Errors of calls and notices over a link.

use std::fmt;
use std::sync::Arc;

/// Cause of a failed call or notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The link closed before the reply; the peer may have received the call.
    Closed,
    /// No link to the peer is open; the call was not sent.
    NotOpen,
    /// No reply arrived in time; the peer may have received the call.
    Timeout,
    /// The message exceeds the largest frame; it was not sent.
    TooLarge,
}

/// A failed call or notice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// Operation that failed.
    pub operation: &'static str,
    /// Name of the peer.
    pub peer: Arc<str>,
    /// Cause.
    pub fault: Fault,
}

impl Error {
    /// Returns whether the peer definitely did not receive the call.
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
        write!(f, "{} at {}: {fault}", self.operation, self.peer)
    }
}

impl std::error::Error for Error {}
