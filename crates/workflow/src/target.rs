//! Workers as the platform lists them.

use std::net::SocketAddr;
use std::sync::Arc;

use rosemaryworks_core::size::Size;
use serde::{Deserialize, Serialize};

/// A worker VM in one life.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Worker {
    /// Address for orders.
    pub address: SocketAddr,
    /// Unix time in milliseconds of its start, as it tells itself; 0 if it doesn't.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// What it can hold.
    pub capacity: Size,
    /// Whether it is about to leave and takes no new work.
    pub draining: bool,
    /// Identifier.
    pub id: Arc<str>,
    /// Labels, the rack included.
    pub labels: Vec<Arc<str>>,
    /// Pool that it belongs to.
    pub pool: Arc<str>,
    /// Rack; empty if unknown.
    pub rack: Arc<str>,
    /// Milliseconds until a leaving worker is gone, at least; `None` if it doesn't leave.
    pub remaining_ms: Option<u64>,
}
