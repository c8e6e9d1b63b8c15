//! Settings file of the stand-in.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;

use rosemaryworks_core::size::Size;
use rosemaryworks_core::target::{Instance, Worker};
use rosemaryworks_node::logging;
use rosemaryworks_node::settings::{Check, Faults};
use serde::{Deserialize, Serialize};

/// Settings of the stand-in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Logging of the stand-in's own events.
    #[serde(default)]
    pub logging: logging::Settings,
    /// Address of the control port.
    pub control: SocketAddr,
    /// The platform's log.
    pub log: Log,
    /// The platform's list of VMs.
    pub directory: Directory,
    /// Groups of workers.
    #[serde(default)]
    pub workers: Vec<Workers>,
    /// Groups of instances.
    #[serde(default)]
    pub instances: Vec<Instances>,
    /// Behaviour of tasks.
    #[serde(default)]
    pub tasks: Tasks,
    /// Path of the history file; without it, no history is written.
    #[serde(default)]
    pub history: Option<PathBuf>,
    /// Number of server threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

/// Settings of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Address of the log.
    pub address: SocketAddr,
    /// Appends accepted per second.
    #[serde(default = "default_appends_per_second")]
    pub appends_per_second: u32,
    /// Retention of records in milliseconds.
    #[serde(default = "default_retention_ms")]
    pub retention_ms: u64,
}

/// Settings of the list of VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Directory {
    /// Address of the list.
    pub address: SocketAddr,
    /// Milliseconds after which a change becomes visible in the list.
    #[serde(default = "default_lag_ms")]
    pub lag_ms: u64,
}

/// A group of workers named `POOL-INDEX` on consecutive ports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    /// Worker pool.
    pub pool: Arc<str>,
    /// Number of workers.
    pub count: u16,
    /// Workers in each rack.
    pub per_rack: u16,
    /// Availability zones; racks are assigned to them round-robin.
    pub zones: Vec<Arc<str>>,
    /// Capacity of each worker.
    pub size: Size,
    /// IP address of the workers.
    #[serde(default = "default_host")]
    pub host: IpAddr,
    /// Port of the first worker.
    pub base_port: u16,
}

/// A group of instances named `SERVICE-INDEX` on consecutive ports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instances {
    /// Service.
    pub service: Arc<str>,
    /// Number of instances.
    pub count: u16,
    /// Availability zones; instances are assigned to them round-robin.
    pub zones: Vec<Arc<str>>,
    /// Requests that each instance runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Open connections that each instance accepts.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// IP address of the instances.
    #[serde(default = "default_host")]
    pub host: IpAddr,
    /// Port of the first instance.
    pub base_port: u16,
}

/// Default behaviour of tasks; the payload of a job can override run time and resource use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tasks {
    /// Actual run time in percent of the declared one.
    pub run_percent: u64,
    /// Actual resource use in percent of the declared size.
    pub use_percent: u64,
    /// Age of the reported resource use in milliseconds.
    pub usage_lag_ms: u64,
    /// Largest percentage by which the clock of a worker runs slow. The drift differs by worker.
    pub clock_slow_percent: u64,
}

impl Default for Tasks {
    fn default() -> Self {
        Self {
            run_percent: 100,
            use_percent: 100,
            usage_lag_ms: 1_000,
            clock_slow_percent: 5,
        }
    }
}

const fn default_appends_per_second() -> u32 {
    300
}

const fn default_connections() -> u32 {
    64
}

fn default_host() -> IpAddr {
    IpAddr::from([127, 0, 0, 1])
}

const fn default_lag_ms() -> u64 {
    1_000
}

const fn default_retention_ms() -> u64 {
    24 * 60 * 60 * 1_000
}

const fn default_slots() -> u32 {
    8
}

const fn default_threads() -> usize {
    2
}

impl Workers {
    /// Returns the workers of the group.
    #[must_use]
    pub fn targets(&self) -> Vec<Worker> {
        let target = |index: u16| {
            let rack = index / self.per_rack.max(1);
            Worker {
                name: format!("{}-{index}", self.pool).into(),
                pool: self.pool.clone(),
                zone: self.zones[usize::from(rack) % self.zones.len()].clone(),
                rack: format!("{}-rack-{rack}", self.pool).into(),
                address: SocketAddr::new(self.host, self.base_port.saturating_add(index)),
                size: self.size,
            }
        };
        (0..self.count).map(target).collect()
    }
}

impl Instances {
    /// Returns the instances of the group.
    #[must_use]
    pub fn targets(&self) -> Vec<Instance> {
        let target = |index: u16| Instance {
            name: format!("{}-{index}", self.service).into(),
            service: self.service.clone(),
            zone: self.zones[usize::from(index) % self.zones.len()].clone(),
            address: SocketAddr::new(self.host, self.base_port.saturating_add(index)),
            slots: self.slots,
            connections: self.connections,
        };
        (0..self.count).map(target).collect()
    }
}

impl Check for Settings {
    fn check(&self, faults: &mut Faults) {
        faults.require(self.threads >= 1, "threads", "must be at least 1");
        let appends = self.log.appends_per_second;
        faults.require(appends >= 1, "log.appends_per_second", "must be at least 1");
        let slow = self.tasks.clock_slow_percent;
        let message = "must be at most 10, the clock drift that owners allow for";
        faults.require(slow <= 10, "tasks.clock_slow_percent", message);
        let mut names = BTreeSet::new();
        for (index, group) in self.workers.iter().enumerate() {
            let path = format!("workers[{index}]");
            faults.require_name(&group.pool, format!("{path}.pool"));
            let unique = names.insert(&group.pool);
            faults.require(unique, format!("{path}.pool"), "is used twice");
            faults.require(
                group.per_rack >= 1,
                format!("{path}.per_rack"),
                "must be at least 1",
            );
            check_group(faults, &path, &group.zones, group.base_port, group.count);
        }
        for (index, group) in self.instances.iter().enumerate() {
            let path = format!("instances[{index}]");
            faults.require_name(&group.service, format!("{path}.service"));
            let unique = names.insert(&group.service);
            faults.require(unique, format!("{path}.service"), "is used twice");
            check_group(faults, &path, &group.zones, group.base_port, group.count);
        }
    }
}

fn check_group(faults: &mut Faults, path: &str, zones: &[Arc<str>], base_port: u16, count: u16) {
    faults.require(
        !zones.is_empty(),
        format!("{path}.zones"),
        "must not be empty",
    );
    let fits = base_port > 0 && base_port.checked_add(count).is_some();
    faults.require(
        fits,
        format!("{path}.base_port"),
        "the ports of the group must lie within 1 to 65535",
    );
}
