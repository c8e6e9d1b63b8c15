//! Validation of contracts.

use rosemaryworks_core::contract::{Contract, check};
use rosemaryworks_core::partition::Map;
use serde_json::{Value, json};

fn partition() -> Map {
    Map {
        pools: [("cpu".into(), 2)].into(),
        services: [("booking".into(), 3)].into(),
    }
}

fn contract() -> Value {
    json!({
        "name": "dala",
        "weight": 1,
        "keys": ["team-key-0123456789"],
        "services": { "booking": { "rate": 1, "burst": 1, "concurrency": 1, "queue": 1 } },
        "pools": { "cpu": { "size": { "millicores": 1, "memory_mb": 1 }, "queue": 1 } },
        "max_priority": "normal",
        "urgent_percent": 100,
    })
}

fn faults(contract: Value) -> Vec<String> {
    let contract: Contract = serde_json::from_value(contract).unwrap();
    let faults = check(&contract, &partition());
    faults.into_iter().map(|fault| fault.path).collect()
}

/// Guards against validation that rejects the smallest allowed limits.
#[test]
fn the_smallest_limits_are_valid() {
    assert!(faults(contract()).is_empty());
}

/// Guards against values that the scheduler can't handle, such as zero limits.
#[test]
fn each_fault_is_reported_at_its_path() {
    let cases = [
        ("/name", json!("Dala"), "name"),
        ("/weight", json!(0), "weight"),
        ("/keys", json!([]), "keys"),
        ("/keys/0", json!("fifteen-chars-0"), "keys[0]"),
        ("/keys/0", json!("key with spaces 123"), "keys[0]"),
        ("/services/booking/rate", json!(0), "services.booking.rate"),
        (
            "/services/booking/burst",
            json!(0),
            "services.booking.burst",
        ),
        (
            "/services/booking/concurrency",
            json!(0),
            "services.booking.concurrency",
        ),
        (
            "/services/booking/queue",
            json!(0),
            "services.booking.queue",
        ),
        (
            "/pools/cpu/size/millicores",
            json!(0),
            "pools.cpu.size.millicores",
        ),
        (
            "/pools/cpu/size/memory_mb",
            json!(0),
            "pools.cpu.size.memory_mb",
        ),
        ("/pools/cpu/queue", json!(0), "pools.cpu.queue"),
        ("/urgent_percent", json!(101), "urgent_percent"),
    ];
    for (pointer, value, path) in cases {
        let mut contract = contract();
        *contract.pointer_mut(pointer).unwrap() = value;
        assert_eq!(faults(contract), [path], "{pointer}");
    }
}

/// Guards against limits for services and pools without a shard.
#[test]
fn unknown_services_and_pools_are_reported() {
    let mut contract = contract();
    contract["services"]["planning"] = contract["services"]["booking"].clone();
    contract["pools"]["gpu"] = contract["pools"]["cpu"].clone();
    assert_eq!(faults(contract), ["services.planning", "pools.gpu"]);
}
