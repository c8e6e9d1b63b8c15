//! Checks of processes: graceful shutdown and configuration propagation.

use rosemaryworks_history::record::{LeaseEnd, Outcome};
use rosemaryworks_history::{Event, Record};
use serde_json::json;

use crate::common::*;

fn stop(process: &str, began: bool) -> Event {
    let process = process.into();
    Event::PlannedStop { process, began }
}

#[test]
fn planned_stop_cuts_no_request() {
    // Guards against a gateway that closes connections with requests in flight.
    let run = |outcome| {
        history(vec![
            called(1, "r-1", 1, true),
            stop("gateway-0", true),
            answered(1, outcome),
            stop("gateway-0", false),
        ])
    };
    assert_distinguishes("planned stop", run(Outcome::Lost), run(Outcome::Completed));
    let unfinished = history(vec![stop("gateway-0", true)]);
    assert_distinguishes("planned stop", unfinished, run(Outcome::Unreached));
}

#[test]
fn planned_stop_loses_no_task() {
    // Guards against an owner that stops before a successor renews its leases. A lapse during
    // another fault is no violation.
    let run = |end, fault_began| {
        let injected = at(90, fault("owner-paused", "scheduler-2", fault_began));
        let records = vec![
            at(100, stop("scheduler-0", true)),
            at(2_000, stop("scheduler-0", false)),
            at(9_000, ended("cpu-0", "dala/j/0", 1, end)),
        ];
        [vec![injected], records].concat()
    };
    assert_distinguishes(
        "planned stop",
        run(LeaseEnd::Lapsed, false),
        run(LeaseEnd::Succeeded, false),
    );
    assert_distinguishes(
        "planned stop",
        run(LeaseEnd::Lapsed, false),
        run(LeaseEnd::Lapsed, true),
    );
}

fn published(id: &str, expected: u64) -> Event {
    let contract = json!({"name": "dala", "weight": 1});
    let publish = json!({"publish": {"id": id, "expected": expected, "contract": contract}});
    Event::Appended {
        stream: "contracts".into(),
        id: id.into(),
        offset: 1,
        records: vec![publish.to_string().into()],
    }
}

fn shown(process: &str, revision: u64) -> Event {
    Event::Shown {
        process: process.into(),
        contract: "dala".into(),
        revision,
    }
}

fn enforced(process: &str, revision: u64) -> Event {
    Event::Enforced {
        process: process.into(),
        contract: "dala".into(),
        revision,
    }
}

#[test]
fn schedulers_enforce_in_time_and_never_revert() {
    // Guards against a scheduler that enforces an older revision than gateways return: still after
    // 12 s, or by reverting to it.
    let run = |ms, first, last| {
        vec![
            at(1, published("p-1", 0)),
            at(2, published("p-2", 1)),
            at(3, shown("gateway-0", 2)),
            at(1_000, enforced("scheduler-0", first)),
            at(ms, enforced("scheduler-0", last)),
        ]
    };
    assert_distinguishes("enforcement", run(12_100, 1, 1), run(11_900, 1, 1));
    assert_distinguishes("enforcement", run(5_000, 2, 1), run(5_000, 1, 2));
}

#[test]
fn configuration_is_in_force_in_time() {
    // Guards against a process that doesn't follow the contracts stream. After a log outage, the
    // 12 s restart.
    let run = |ms, extra: Vec<Record>| {
        let mut records = vec![
            at(1, published("p-1", 0)),
            at(2, published("p-2", 0)),
            at(3, published("p-1", 1)),
        ];
        records.extend(extra);
        records.push(at(ms, shown("gateway-0", 0)));
        records
    };
    assert_distinguishes("configuration", run(12_100, vec![]), run(11_900, vec![]));
    let down = vec![
        at(5_000, fault("down", "log", true)),
        at(9_000, fault("down", "log", false)),
    ];
    assert_distinguishes(
        "configuration",
        run(21_100, down.clone()),
        run(20_900, down),
    );
}

#[test]
fn configuration_never_reverts() {
    // Guards against a process that adopts an older revision from a peer or after a restart.
    let run = |second| {
        history(vec![
            published("p-1", 0),
            published("p-2", 1),
            shown("gateway-0", 2),
            shown("gateway-1", 1),
            shown("gateway-0", second),
        ])
    };
    assert_distinguishes("configuration", run(1), run(2));
}
