//! Settings of the scheduler process.

use std::net::SocketAddr;
use std::sync::Arc;

use rosemaryworks_core::placement::policy;
use rosemaryworks_node::logging;
use rosemaryworks_node::settings::{Cell, Check, Faults};
use serde::{Deserialize, Serialize};

/// Least retention of the log that leaves time to republish every record, in milliseconds.
pub const RETENTION_MIN_MS: u64 = 10_000;

/// Settings file of `rosemary-scheduler`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this scheduler; one of `cell.schedulers`.
    pub node: Arc<str>,
    /// Availability zone of this process.
    pub zone: Arc<str>,
    /// Address at which links are accepted.
    pub peer_listen: SocketAddr,
    /// Address of `/metrics`, `/healthz` and `/readyz`.
    pub status_listen: SocketAddr,
    /// Settings that must be equal in all processes of the cell.
    pub cell: Cell,
    /// Log settings.
    #[serde(default)]
    pub log: logging::Settings,
    /// Name of the placement policy.
    #[serde(default = "default_policy")]
    pub placement_policy: Arc<str>,
    /// Milliseconds for which the platform's log keeps records.
    #[serde(default = "default_retention_ms")]
    pub retention_ms: u64,
    /// Threads that run links, kernels and calls.
    #[serde(default = "default_runtime_threads")]
    pub runtime_threads: usize,
}

fn default_policy() -> Arc<str> {
    "default".into()
}

fn default_retention_ms() -> u64 {
    3_600_000
}

/// With tokio's default of a thread per core, each wake-up of an idle process also wakes threads
/// that search for work.
fn default_runtime_threads() -> usize {
    2
}

impl Check for Settings {
    fn check(&self, faults: &mut Faults) {
        faults.require_name(&self.node, "node");
        faults.require_name(&self.zone, "zone");
        let schedulers = &self.cell.schedulers;
        let known = schedulers.iter().any(|s| s.name == self.node);
        faults.require(known, "node", "is not one of cell.schedulers");
        let policies = policy::names();
        faults.require(
            policies.contains(&&*self.placement_policy),
            "placement_policy",
            format!("must be one of {}", policies.join(", ")),
        );
        faults.require(
            self.peer_listen != self.status_listen,
            "status_listen",
            "must differ from peer_listen",
        );
        faults.require(
            self.retention_ms >= RETENTION_MIN_MS,
            "retention_ms",
            format!("must be at least {RETENTION_MIN_MS} ms"),
        );
        let allowed = 1..=64;
        faults.require(
            allowed.contains(&self.runtime_threads),
            "runtime_threads",
            "must be 1 to 64 threads",
        );
        self.cell.check(faults);
    }
}
