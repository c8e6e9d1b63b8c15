//! Workers as listed in the platform's directory.

use std::net::SocketAddr;
use std::sync::Arc;

use rosemaryworks_core::size::Size;
use serde::{Deserialize, Serialize};

/// A worker VM in one incarnation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Worker {
    /// Address for requests.
    pub address: SocketAddr,
    /// Start time as Unix time in milliseconds, which identifies the incarnation; 0 if the worker
    /// doesn't report it.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Total capacity.
    pub capacity: Size,
    /// Whether it is about to leave and takes no new tasks.
    pub draining: bool,
    /// Identifier of the worker.
    pub id: Arc<str>,
    /// Labels, including the rack.
    pub labels: Vec<Arc<str>>,
    /// Pool that it belongs to.
    pub pool: Arc<str>,
    /// Rack; empty if unknown.
    pub rack: Arc<str>,
    /// Minimum time until a leaving worker is gone, in milliseconds; `None` if it doesn't leave.
    pub remaining_ms: Option<u64>,
}
