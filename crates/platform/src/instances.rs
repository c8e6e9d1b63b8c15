//! Service instances: targets that answer HTTP requests.

use std::sync::Arc;

use rosemaryworks_core::target::Instance;

use crate::failure::Answer;

/// Request as sent to an instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Request {
    /// Headers to forward.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body.
    pub body: Vec<u8>,
    /// Milliseconds to wait for the complete response.
    pub timeout_ms: u64,
}

/// Complete response of an instance.
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
    /// Returns the number of requests that the instance is serving, or `None` if it doesn't report
    /// the number.
    fn occupancy(&self, instance: &Instance) -> Answer<Option<u32>>;

    /// Sends a request and returns the complete response. A status of 503 with the header
    /// `rosemary-not-run: true` means that the instance did not run the request. Fails with
    /// `Fault::Unreached` only if no byte can have reached the instance.
    fn send(&self, instance: &Instance, request: Request) -> Answer<Response>;
}
