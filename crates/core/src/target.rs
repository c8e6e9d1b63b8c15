//! Targets: workers that run tasks and service instances that serve requests.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::size::Size;

/// A worker VM in the platform's VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Name of the VM.
    pub name: Arc<str>,
    /// Worker pool that the VM belongs to, such as `cpu` or `gpu`.
    pub pool: Arc<str>,
    /// Availability zone of the VM.
    pub zone: Arc<str>,
    /// Rack of the VM.
    pub rack: Arc<str>,
    /// Address at which the VM accepts leases.
    pub address: SocketAddr,
    /// Resource capacity of the VM.
    pub size: Size,
}

/// A service instance in the platform's VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Service that the instance belongs to.
    pub service: Arc<str>,
    /// Availability zone of the instance.
    pub zone: Arc<str>,
    /// Address at which the instance serves HTTP requests.
    pub address: SocketAddr,
    /// Requests that the instance serves concurrently.
    pub slots: u32,
    /// Most connections that the instance accepts.
    pub connections: u32,
}

/// Whether a target may receive new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// In service.
    #[default]
    Live,
    /// About to stop. Receives no new work.
    Leaving {
        /// Milliseconds until the VM stops, if the platform reports it.
        within_ms: Option<u64>,
    },
}
