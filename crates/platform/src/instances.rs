//! Service instances: targets that answer HTTP requests.

use std::sync::Arc;

use rosemaryworks_core::target::Instance;

use crate::failure::Answer;

/// A request as it is sent to an instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Request {
    /// Headers that are passed on.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body.
    pub body: Vec<u8>,
    /// Milliseconds to wait for the whole answer.
    pub timeout_ms: u64,
}

/// The whole answer of an instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body.
    pub body: Vec<u8>,
}

/// The service instances of the platform.
pub trait Instances: Send + Sync {
    /// Returns the number of requests that the instance is serving, or `None` if it can't tell.
    fn occupancy(&self, instance: &Instance) -> Answer<Option<u32>>;

    /// Sends a request and returns the whole answer. A status of 503 with the header
    /// `rosemary-not-run: true` means that the instance did not run the request. Fails with
    /// `Fault::Unreached` only if no byte can have reached the instance.
    fn send(&self, instance: &Instance, request: Request) -> Answer<Response>;
}
