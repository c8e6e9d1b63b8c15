//! JSON settings, validated completely when the process starts.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use error_stack::Report;
use rosemaryworks_core::contract::{Fault, is_name};
use rosemaryworks_core::partition::Map;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Exit code of a process whose settings are invalid.
pub const EXIT_CODE: i32 = 2;

/// Invalid settings, with every fault found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// Faults, each with the path of its field.
    pub faults: Vec<Fault>,
}

impl Error {
    /// Creates an error with one fault.
    #[must_use]
    pub fn fault(path: &str, message: &str) -> Self {
        Self {
            faults: vec![Fault {
                path: path.to_owned(),
                message: message.to_owned(),
            }],
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.faults.iter().map(Fault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Error {}

/// Collects faults with the paths of their fields.
#[derive(Debug, Default)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Adds a fault at `path` if `valid` is false.
    pub fn require(&mut self, valid: bool, path: impl Into<String>, message: impl Into<String>) {
        if !valid {
            self.0.push(Fault {
                path: path.into(),
                message: message.into(),
            });
        }
    }

    /// Validates settings nested under `field`.
    pub fn require_within(&mut self, field: &str, settings: &impl Check) {
        let mut faults = Self::default();
        settings.check(&mut faults);
        let prefixed = faults.0.into_iter().map(|fault| Fault {
            path: format!("{field}.{}", fault.path),
            ..fault
        });
        self.0.extend(prefixed);
    }

    /// Adds a fault at `path` if `name` is not a valid name.
    pub fn require_name(&mut self, name: &str, path: impl Into<String>) {
        let message = format!("{name:?} is not 1 to 64 characters of a-z, 0-9 and '-'");
        self.require(is_name(name), path, message);
    }

    /// Returns the faults.
    #[must_use]
    pub fn into_vec(self) -> Vec<Fault> {
        self.0
    }
}

/// Settings with constraints that their types don't express.
pub trait Check {
    /// Adds every fault to `faults`.
    fn check(&self, faults: &mut Faults);
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns every fault found in the file.
pub fn load<T: Check + DeserializeOwned>(path: &Path) -> Result<T, Report<Error>> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        Report::new(Error::fault(
            &path.display().to_string(),
            &format!("can't be read: {error}"),
        ))
    })?;
    parse(&text)
}

/// Parses and validates settings.
///
/// # Errors
///
/// Returns every fault found in `text`.
pub fn parse<T: Check + DeserializeOwned>(text: &str) -> Result<T, Report<Error>> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let settings: T = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string();
        Report::new(Error::fault(&path, &error.into_inner().to_string()))
    })?;
    let mut faults = Faults::default();
    if let Err(error) = deserializer.end() {
        faults.require(false, ".", error.to_string());
    }
    settings.check(&mut faults);
    match faults.into_vec() {
        faults if faults.is_empty() => Ok(settings),
        faults => Err(Report::new(Error { faults })),
    }
}

/// Scheduler of a cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scheduler {
    /// Name of the scheduler.
    pub name: Arc<str>,
    /// Availability zone of the scheduler.
    pub zone: Arc<str>,
    /// Address on which the scheduler accepts links.
    pub peer: SocketAddr,
}

/// Settings of a cell, which must be equal in all of its processes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cell {
    /// Name of the cell.
    pub name: Arc<str>,
    /// All schedulers of the cell. A majority means more than half of them.
    pub schedulers: Vec<Scheduler>,
    /// Names of all gateways of the cell.
    pub gateways: Vec<Arc<str>>,
    /// Number of shards per service and worker pool.
    pub partition: Map,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Address of the platform's list of VMs.
    pub directory: SocketAddr,
}

impl Cell {
    /// Returns the number of schedulers that form a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.schedulers.len() / 2 + 1
    }
}

impl Check for Cell {
    fn check(&self, faults: &mut Faults) {
        faults.require_name(&self.name, "cell.name");
        faults.require(
            !self.schedulers.is_empty(),
            "cell.schedulers",
            "must not be empty",
        );
        faults.require(
            !self.gateways.is_empty(),
            "cell.gateways",
            "must not be empty",
        );
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (index, scheduler) in self.schedulers.iter().enumerate() {
            let path = format!("cell.schedulers[{index}]");
            faults.require_name(&scheduler.name, format!("{path}.name"));
            faults.require_name(&scheduler.zone, format!("{path}.zone"));
            faults.require(
                names.insert(&scheduler.name),
                format!("{path}.name"),
                "is used twice",
            );
            let is_new = addresses.insert(scheduler.peer);
            faults.require(is_new, format!("{path}.peer"), "is used twice");
        }
        for (index, gateway) in self.gateways.iter().enumerate() {
            let path = format!("cell.gateways[{index}]");
            faults.require_name(gateway, path.clone());
            faults.require(names.insert(gateway), path, "is used twice");
        }
        let groups = self.partition.pools.iter().map(|group| ("pools", group));
        let groups = groups.chain(
            self.partition
                .services
                .iter()
                .map(|group| ("services", group)),
        );
        for (kind, (name, count)) in groups {
            let path = format!("cell.partition.{kind}.{name}");
            faults.require_name(name, path.clone());
            faults.require((1..=1024).contains(count), path, "must be 1 to 1024 shards");
        }
    }
}
