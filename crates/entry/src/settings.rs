//! Settings of the process.

use std::net::SocketAddr;
use std::sync::Arc;

use rosemaryworks_node::logging;
use rosemaryworks_node::settings::{Check, Faults};
use serde::{Deserialize, Serialize};

use crate::clients::Limits;
use crate::relays;

/// Upper bound of a worker's lease in milliseconds. The takeover of a shard takes 2.2 s at most.
/// Leases are renewed every 0.8 s, so that much of a lease may have passed when the owner is lost.
const LEASE_MAX_MS: u64 = 4_000;

/// Settings of an entry process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the process.
    pub node: Arc<str>,
    /// Availability zone of the process.
    pub zone: Arc<str>,
    /// Address on which callers are served.
    pub listen: SocketAddr,
    /// Address on which the load balancer's readiness probes are served.
    pub readiness_listen: SocketAddr,
    /// Address on which links from other processes are accepted.
    pub peer_listen: SocketAddr,
    /// Address on which metrics are served.
    pub metrics_listen: SocketAddr,
    /// Number of shards, which is also the number of partitions of a stream.
    pub shards: u32,
    /// CPU of the VM in cores. Stronger VMs are preferred as owners of shards.
    #[serde(default = "defaults::cores")]
    pub cores: f64,
    /// Largest number of workers that an owner calls itself; with more, other VMs send its commands.
    /// Follows from `cores` if it is not set.
    #[serde(default)]
    pub own_workers: Option<u32>,
    /// Memory of the VM in MB, which bounds what clients make the process hold.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// File descriptors that the process may open, which bounds its connections.
    #[serde(default)]
    pub max_fds: Option<u64>,
    /// Longest time from a planned stop to the end of the process in milliseconds.
    #[serde(default = "defaults::stop_ms")]
    pub stop_ms: u64,
    /// Longest lease of a worker in milliseconds.
    #[serde(default = "defaults::lease_ms")]
    pub lease_max_ms: u64,
    /// Retention time of the state of an ended job in milliseconds.
    #[serde(default = "defaults::keep_ms")]
    pub keep_ms: u64,
    /// Retention time of records in the log in milliseconds. Open jobs are republished within it.
    #[serde(default = "defaults::retention_ms")]
    pub retention_ms: u64,
    /// Time by which an occurrence may begin before its due time, in milliseconds.
    #[serde(default)]
    pub early_ms: u64,
    /// Logs.
    #[serde(default)]
    pub log: logging::Settings,
}

mod defaults {
    pub(super) fn cores() -> f64 {
        1.0
    }

    pub(super) fn stop_ms() -> u64 {
        5_000
    }

    pub(super) fn lease_ms() -> u64 {
        super::LEASE_MAX_MS
    }

    pub(super) fn retention_ms() -> u64 {
        300_000
    }

    pub(super) fn keep_ms() -> u64 {
        120_000
    }
}

impl Settings {
    /// Returns the length of a worker's lease in milliseconds. It is longer than a takeover, but
    /// not more than needed, because the work of an unreachable worker restarts only after the
    /// lease has ended.
    #[must_use]
    pub fn lease_ms(&self) -> u64 {
        self.lease_max_ms.min(LEASE_MAX_MS)
    }

    /// Returns the limits of what clients make the process hold.
    #[must_use]
    pub fn limits(&self) -> Limits {
        Limits::derive(self.memory_mb, self.max_fds)
    }

    /// Returns the largest number of workers that an owner calls itself.
    #[must_use]
    pub fn own_workers(&self) -> u32 {
        let default = || relays::own_workers(self.cores);
        self.own_workers.unwrap_or_else(default)
    }
}

impl Check for Settings {
    fn check(&self, faults: &mut Faults) {
        faults.require(!self.node.is_empty(), "node", "must not be empty");
        faults.require(!self.zone.is_empty(), "zone", "must not be empty");
        let shards = (1..=1024).contains(&self.shards);
        faults.require(shards, "shards", "must be 1 to 1024");
        let lease = (1_000..=60_000).contains(&self.lease_max_ms);
        faults.require(lease, "lease_max_ms", "must be 1000 to 60000");
        let cores = (0.001..=1_000.0).contains(&self.cores);
        faults.require(cores, "cores", "must be 0.001 to 1000");
        let memory = self
            .memory_mb
            .is_none_or(|mb| (32..=1_048_576).contains(&mb));
        faults.require(memory, "memory_mb", "must be 32 to 1048576");
        let fds = self
            .max_fds
            .is_none_or(|fds| (256..=1_048_576).contains(&fds));
        faults.require(fds, "max_fds", "must be 256 to 1048576");
        let retention = self.retention_ms >= 10_000;
        faults.require(retention, "retention_ms", "must be 10000 at least");
        let stop = (500..=600_000).contains(&self.stop_ms);
        faults.require(stop, "stop_ms", "must be 500 to 600000");
        let listens = [
            ("listen", self.listen),
            ("readiness_listen", self.readiness_listen),
            ("peer_listen", self.peer_listen),
            ("metrics_listen", self.metrics_listen),
        ];
        for (index, (field, address)) in listens.iter().enumerate() {
            let twice = listens[..index].iter().any(|(_, other)| other == address);
            faults.require(!twice, *field, "is used twice");
        }
    }
}
