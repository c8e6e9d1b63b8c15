//! Settings of the gateway.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use rosemaryworks_admin::Operator;
use rosemaryworks_core::contract::{KEY_MIN_CHARS, is_name};
use rosemaryworks_node::logging;
use rosemaryworks_node::settings::{Cell, Check, Faults};
use serde::{Deserialize, Serialize};

/// Largest body of a request in bytes.
pub const BODY_MAX_BYTES: usize = 1024 * 1024;

/// Settings of the gateway.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the gateway, as listed in `cell.gateways`.
    pub node: Arc<str>,
    /// Availability zone of the gateway.
    pub zone: Arc<str>,
    /// Address at which callers send requests.
    pub listen: SocketAddr,
    /// Address of the administration API, metrics and health.
    pub admin_listen: SocketAddr,
    /// The cell.
    pub cell: Cell,
    /// Logging.
    #[serde(default)]
    pub log: logging::Settings,
    /// Operators who may use the administration API.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Milliseconds between reporting not ready and rejecting requests, in which the load balancer
    /// stops sending new ones.
    #[serde(default = "drain_ms")]
    pub drain_ms: u64,
    /// Retries as a percentage of the requests per service; 0 disables them.
    #[serde(default = "retry_percent")]
    pub retry_percent: u32,
    /// Size of the response cache for repeats of non-idempotent requests, in bytes.
    #[serde(default = "answers_max_bytes")]
    pub answers_max_bytes: usize,
    /// Memory limit for request bodies, in bytes. Requests beyond it are rejected.
    #[serde(default = "bodies_max_bytes")]
    pub bodies_max_bytes: usize,
    /// Threads that serve callers.
    #[serde(default = "threads")]
    pub http_threads: usize,
    /// Threads that run the links and the requests in flight.
    #[serde(default = "threads")]
    pub runtime_threads: usize,
}

const fn drain_ms() -> u64 {
    2_000
}

const fn retry_percent() -> u32 {
    10
}

const fn answers_max_bytes() -> usize {
    8 * 1024 * 1024
}

const fn bodies_max_bytes() -> usize {
    48 * 1024 * 1024
}

const fn threads() -> usize {
    2
}

impl Check for Settings {
    fn check(&self, faults: &mut Faults) {
        faults.require_name(&self.node, "node");
        faults.require_name(&self.zone, "zone");
        self.cell.check(faults);
        let listed = self.cell.gateways.contains(&self.node);
        faults.require(listed, "node", "is not listed in cell.gateways");
        let distinct = self.listen != self.admin_listen || self.listen.port() == 0;
        faults.require(distinct, "admin_listen", "must differ from listen");
        self.check_operators(faults);
        let percent_valid = self.retry_percent <= 100;
        faults.require(percent_valid, "retry_percent", "must be 0 to 100");
        let allowed = 1..=64;
        let message = "must be 1 to 64 threads";
        faults.require(
            allowed.contains(&self.http_threads),
            "http_threads",
            message,
        );
        faults.require(
            allowed.contains(&self.runtime_threads),
            "runtime_threads",
            message,
        );
        let body_fits = self.bodies_max_bytes >= BODY_MAX_BYTES;
        let message = format!("must be at least {BODY_MAX_BYTES}, the size of the largest body");
        faults.require(body_fits, "bodies_max_bytes", message);
        let drain_valid = self.drain_ms <= 60_000;
        faults.require(drain_valid, "drain_ms", "must be at most 60000");
    }
}

impl Settings {
    fn check_operators(&self, faults: &mut Faults) {
        let mut names = BTreeSet::new();
        let mut keys = BTreeSet::new();
        for (index, operator) in self.operators.iter().enumerate() {
            let path = format!("operators[{index}]");
            // The message doesn't repeat the name: it might be a misplaced key.
            faults.require(
                is_name(&operator.name),
                format!("{path}.name"),
                "must be 1 to 64 characters of a-z, 0-9 and '-'",
            );
            let is_unique = names.insert(&operator.name);
            faults.require(is_unique, format!("{path}.name"), "is used twice");
            let message = format!("must have at least {KEY_MIN_CHARS} characters");
            let long_enough = operator.key.len() >= KEY_MIN_CHARS;
            faults.require(long_enough, format!("{path}.key"), message);
            let is_unique = keys.insert(&operator.key);
            faults.require(is_unique, format!("{path}.key"), "is used twice");
        }
    }
}
