//! Validation of a contract before it is published.

use std::collections::BTreeSet;

use super::{Contract, Fault, Pool, Service, is_name};
use crate::partition::Map;
use crate::size::Size;

/// Shortest key in characters.
pub const KEY_MIN_CHARS: usize = 16;

/// Longest key in characters.
pub const KEY_MAX_CHARS: usize = 128;

/// Most keys of one contract.
pub const KEYS_MAX: usize = 16;

/// Returns every validation error of `contract` in a cell with the services and pools of
/// `partition`.
#[must_use]
pub fn check(contract: &Contract, partition: &Map) -> Vec<Fault> {
    let mut faults = Faults::default();
    let name = &*contract.name;
    let message = format!("{name:?} is not 1 to 64 characters of a-z, 0-9 and '-'");
    faults.require(is_name(name), "name", message);
    faults.require(contract.weight >= 1, "weight", "must be at least 1");
    let percent = contract.urgent_percent;
    faults.require(percent <= 100, "urgent_percent", "must be 0 to 100");
    check_keys(contract, &mut faults);
    for (name, limits) in &contract.services {
        let path = format!("services.{name}");
        let known = partition.services.contains_key(name);
        faults.require(known, &path, "the cell has no such service");
        check_service(limits, &path, &mut faults);
    }
    for (name, limits) in &contract.pools {
        let path = format!("pools.{name}");
        let known = partition.pools.contains_key(name);
        faults.require(known, &path, "the cell has no such pool");
        check_pool(limits, &path, &mut faults);
    }
    faults.0
}

#[derive(Default)]
struct Faults(Vec<Fault>);

impl Faults {
    fn require(&mut self, valid: bool, path: &str, message: impl Into<String>) {
        if !valid {
            self.0.push(Fault {
                path: path.to_owned(),
                message: message.into(),
            });
        }
    }
}

fn check_keys(contract: &Contract, faults: &mut Faults) {
    let count = contract.keys.len();
    let allowed = (1..=KEYS_MAX).contains(&count);
    faults.require(allowed, "keys", "must be 1 to 16 keys");
    let mut seen = BTreeSet::new();
    for (index, key) in contract.keys.iter().enumerate() {
        let path = format!("keys[{index}]");
        let valid_length = (KEY_MIN_CHARS..=KEY_MAX_CHARS).contains(&key.len());
        faults.require(valid_length, &path, "must be 16 to 128 characters");
        let graphic = key.chars().all(|c| c.is_ascii_graphic());
        faults.require(
            graphic,
            &path,
            "must be printable ASCII characters without spaces",
        );
        faults.require(seen.insert(key), &path, "is used twice");
    }
}

fn check_service(limits: &Service, path: &str, faults: &mut Faults) {
    let fields = [
        ("rate", limits.rate),
        ("burst", limits.burst),
        ("concurrency", limits.concurrency),
        ("queue", limits.queue),
    ];
    for (field, limit) in fields {
        faults.require(limit >= 1, &format!("{path}.{field}"), "must be at least 1");
    }
}

fn check_pool(limits: &Pool, path: &str, faults: &mut Faults) {
    let Size {
        millicores,
        memory_mb,
        ..
    } = limits.size;
    let fields = [
        ("size.millicores", millicores),
        ("size.memory_mb", memory_mb),
        ("queue", u64::from(limits.queue)),
    ];
    for (field, limit) in fields {
        faults.require(limit >= 1, &format!("{path}.{field}"), "must be at least 1");
    }
}
