//! Targets: workers that run tasks and instances that answer requests.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::size::Size;

/// A worker VM as the platform lists it.
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
    /// Address at which the VM takes leases.
    pub address: SocketAddr,
    /// What the VM can hold.
    pub size: Size,
}

/// A service instance as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Service that the instance belongs to.
    pub service: Arc<str>,
    /// Availability zone of the instance.
    pub zone: Arc<str>,
    /// Address at which the instance answers HTTP requests.
    pub address: SocketAddr,
    /// Requests that the instance serves at once.
    pub slots: u32,
    /// Connections that the instance accepts.
    pub connections: u32,
}

/// Whether a target may receive new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// In service.
    #[default]
    Live,
    /// About to go away. Receives no new work.
    Leaving {
        /// Milliseconds until the VM stops, if the platform says so.
        within_ms: Option<u64>,
    },
}
