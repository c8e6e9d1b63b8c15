//! Administration API over HTTP: contracts, drained targets, rollout, cell and audit trail.

#[path = "support/server.rs"]
mod support;

use std::time::Duration;

use rosemaryworks_core::contract::Revision;
use rosemaryworks_core::shard::{Epoch, Id};
use rosemaryworks_core::size::Size;
use rosemaryworks_core::target::State;
use rosemaryworks_core::view;
use rosemaryworks_wire::{Inspected, Message, View};
use serde_json::{Value, json};
use support::fakes::{MemoryLog, TEAM_KEY, reply};
use support::{Server, publication};

/// Guards against a publish that succeeds before the contract is in the log and in force.
#[tokio::test]
async fn a_publish_is_in_force_when_it_is_accepted() {
    let server = Server::start().await;
    let (status, body) = server.publish("change-1", 0, 100).await;
    assert_eq!((status, &body["revision"]), (200, &json!(1)), "{body}");
    assert_eq!(server.log.records("contracts").len(), 1);
    assert!(server.contracts.get("dala").is_some());
    let (status, list) = server.call("GET", "/v1/contracts", Value::Null).await;
    assert_eq!((status, &list[0]["operator"]), (200, &json!("ada")));
}

/// Guards against a lost update: both of two concurrent publishes succeed for the same base
/// revision.
#[tokio::test]
async fn one_of_two_concurrent_publishes_conflicts() {
    let server = Server::start().await;
    let (first, second) = tokio::join!(
        server.publish("change-1", 0, 100),
        server.publish("change-2", 0, 200),
    );
    let mut statuses = [first.0, second.0];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    let conflict = if first.0 == 409 { first.1 } else { second.1 };
    assert_eq!(conflict["current"], json!(1), "{conflict}");
}

/// Guards against a repeated request that applies its change twice or gets another verdict.
#[tokio::test]
async fn a_repeated_change_has_the_same_verdict() {
    let server = Server::start().await;
    let first = server.publish("change-1", 0, 100).await;
    assert_eq!(server.publish("change-2", 0, 200).await.0, 409);
    assert_eq!(server.publish("change-1", 0, 100).await, first);
    assert_eq!(server.publish("change-2", 0, 200).await.0, 409);
    assert_eq!(server.log.records("contracts").len(), 2);
    let drain = json!({ "id": "change-1" });
    let (status, body) = server.call("POST", "/v1/targets/cpu-1/drain", drain).await;
    assert_eq!(status, 409, "{body}");
}

/// Guards against validation that stops at the first fault, and against an invalid contract that
/// reaches the log.
#[tokio::test]
async fn an_invalid_contract_is_rejected_with_all_faults() {
    let server = Server::start().await;
    let mut body = publication("change-1", 0, 0);
    body["contract"]["weight"] = json!(0);
    body["contract"]["keys"] = json!(["short"]);
    let (status, answer) = server.call("PUT", "/v1/contracts/dala", body).await;
    let faults = answer["faults"].as_array().unwrap();
    let paths: Vec<&str> = faults
        .iter()
        .filter_map(|fault| fault["path"].as_str())
        .collect();
    assert_eq!(status, 400);
    assert_eq!(paths, ["weight", "keys[0]", "services.booking.rate"]);
    let mut body = publication("change-1", 0, 100);
    body["contract"]["services"]["booking"]["rates"] = json!(1);
    let (status, answer) = server.call("PUT", "/v1/contracts/dala", body).await;
    assert_eq!(status, 400);
    assert_eq!(
        answer["faults"][0]["path"],
        json!("contract.services.booking.rates")
    );
    assert!(server.log.records("contracts").is_empty());
}

/// Guards against changes without an operator's key, and against refusals missing from the audit
/// trail.
#[tokio::test]
async fn refusals_are_in_the_audit_trail() {
    let server = Server::start().await;
    let body = publication("change-1", 0, 100);
    let path = "/v1/contracts/dala";
    let (status, _) = server.call_as(TEAM_KEY, "PUT", path, body).await;
    assert_eq!(status, 401);
    assert_eq!(server.publish("change-2", 0, 0).await.0, 400);
    assert_eq!(server.publish("change-3", 7, 100).await.0, 409);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (_, trail) = server.call("GET", "/v1/audit", Value::Null).await;
    let refusals = trail["refusals"].as_array().unwrap();
    assert_eq!(refusals.len(), 2, "{trail}");
    assert_eq!(refusals[0]["operator"], Value::Null);
    assert_eq!(refusals[1]["operator"], json!("ada"));
    assert!(
        refusals[1]["reason"]
            .as_str()
            .unwrap()
            .contains("services.booking.rate")
    );
    assert_eq!(
        trail["changes"][0]["verdict"]["conflict"]["current"],
        json!(0)
    );
    assert_eq!(
        server
            .call_as(TEAM_KEY, "GET", "/v1/audit", Value::Null)
            .await
            .0,
        401
    );
}

/// Guards against stale reads from a process that has not read the stream to its end yet: in a
/// fault run, a restarted gateway returned revision 3 after it had returned 16 before the restart.
#[tokio::test]
async fn requests_fail_until_the_contracts_are_loaded() {
    let log = MemoryLog::default();
    log.set_down(true);
    let server = Server::start_with(log).await;
    for path in [
        "/v1/contracts",
        "/v1/contracts/dala",
        "/v1/cell",
        "/v1/audit",
    ] {
        let (status, body) = server.call("GET", path, Value::Null).await;
        assert_eq!(status, 503, "{path}: {body}");
    }
    server.log.set_down(false);
    while !server.contracts.progress().known {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(
        server.call("GET", "/v1/contracts", Value::Null).await.0,
        200
    );
}

/// Guards against a publish that hangs or succeeds while the log is unreachable.
#[tokio::test]
async fn a_publish_fails_while_the_log_is_unreachable() {
    let server = Server::start().await;
    server.log.set_down(true);
    let (status, body) = server.publish("change-1", 0, 100).await;
    let error = body["error"].as_str().unwrap();
    assert_eq!(status, 503);
    assert!(error.contains("the change was not made"), "{error}");
    server.log.set_down(false);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(server.log.records("contracts").is_empty());
}

/// Guards against an append with a lost response that is written again, or reported as a conflict,
/// although it took effect.
#[tokio::test]
async fn a_publish_with_a_lost_append_response_is_accepted_once() {
    let server = Server::start().await;
    server.log.lose_answers();
    let (status, body) = server.publish("change-1", 0, 100).await;
    assert_eq!((status, &body["revision"]), (200, &json!(1)), "{body}");
    assert_eq!(server.log.records("contracts").len(), 1);
}

/// Guards against unmasked keys in responses to requests without `keys=true`, and against a diff
/// that misses a field.
#[tokio::test]
async fn keys_are_masked_in_diffs_and_contracts() {
    let server = Server::start().await;
    server.publish("change-1", 0, 100).await;
    let mut body = publication("change-2", 1, 200);
    body["contract"]["keys"] = json!([TEAM_KEY, "another-key-0123456789"]);
    assert_eq!(server.call("PUT", "/v1/contracts/dala", body).await.0, 200);
    let path = "/v1/contracts/dala/diff?from=1&to=2";
    let (_, changes) = server.call("GET", path, Value::Null).await;
    let expected = json!([
        { "path": "keys[1]", "to": "anot..." },
        { "path": "services.booking.rate", "from": 100, "to": 200 },
    ]);
    assert_eq!(changes, expected);
    let (_, shown) = server.call("GET", "/v1/contracts/dala", Value::Null).await;
    assert_eq!(shown["contract"]["keys"][0], json!("team..."));
    assert_eq!(shown["revisions"], json!([1, 2]));
    let path = "/v1/contracts/dala?keys=true&revision=1";
    let (_, shown) = server.call("GET", path, Value::Null).await;
    assert_eq!(shown["contract"]["keys"], json!([TEAM_KEY]));
    let path = "/v1/contracts/dala/diff?from=1&to=9";
    assert_eq!(server.call("GET", path, Value::Null).await.0, 404);
}

/// Guards against a rollout reported as complete while a scheduler has an older revision or none.
#[tokio::test]
async fn a_rollout_lists_the_schedulers_that_are_behind() {
    let server = Server::start().await;
    for (change, expected) in [("change-1", 0), ("change-2", 1)] {
        assert_eq!(server.publish(change, expected, 100).await.0, 200);
    }
    let answer = |revision| {
        move |message| match message {
            Message::Revisions => {
                let revisions: Option<u64> = revision;
                let list = revisions.map(|number| vec![("dala".into(), Revision(number))]);
                reply(Message::RevisionList(list))
            }
            _ => reply(Message::Done),
        }
    };
    for (revision, behind) in [(1, json!(["scheduler-1"])), (2, json!([]))] {
        server.scheduler.answer(answer(Some(revision)));
        let (_, rollout) = server.call("GET", "/v1/rollout", Value::Null).await;
        let contract = &rollout["contracts"][0];
        assert_eq!(contract["newest"], json!(2), "{rollout}");
        assert_eq!(contract["processes"]["scheduler-1"], json!(revision));
        assert_eq!(contract["behind"], behind);
        assert_eq!(rollout["unreached"], json!([]));
    }
    server.scheduler.answer(answer(None));
    let (_, rollout) = server.call("GET", "/v1/rollout", Value::Null).await;
    assert_eq!(rollout["unreached"], json!(["scheduler-1"]), "{rollout}");
}

fn inspected() -> Inspected {
    let shard = Id::pool("cpu", 0);
    Inspected {
        shards: vec![(shard.clone(), Epoch(7))],
        targets: vec![view::Target {
            name: "cpu-1".into(),
            shard,
            state: State::Live,
            size: Size::new(16_000, 32_000),
            held: Size::ZERO,
            slots: 0,
            taken: 0,
            condition: None,
        }],
        jobs: Vec::new(),
        next: None,
    }
}

/// Guards against owners, targets and tasks that are missing or attributed to the wrong scheduler.
#[tokio::test]
async fn the_cell_is_assembled_from_its_schedulers() {
    let server = Server::start().await;
    server.scheduler.answer(|message| match message {
        Message::Inspect { .. } => reply(Message::Inspected(Box::new(inspected()))),
        Message::Tasks { job, .. } if &*job.job == "job-1" => reply(Message::TaskList(Vec::new())),
        _ => reply(Message::NoJob),
    });
    let drain = json!({ "id": "change-1" });
    let (status, body) = server.call("POST", "/v1/targets/cpu-1/drain", drain).await;
    assert_eq!(status, 200, "{body}");
    let (_, cell) = server.call("GET", "/v1/cell", Value::Null).await;
    let shards = json!([
        { "shard": "pool/cpu/0", "owner": "scheduler-1", "epoch": 7 },
        { "shard": "service/booking/0", "owner": null, "epoch": null },
    ]);
    assert_eq!(cell["shards"], shards);
    assert_eq!(cell["drained"], json!(["cpu-1"]));
    let (_, targets) = server.call("GET", "/v1/targets", Value::Null).await;
    assert_eq!(targets["items"][0]["drained"], json!(true), "{targets}");
    assert_eq!(targets["unreached"], json!([]));
    let path = "/v1/jobs/dala/job-1/tasks";
    assert_eq!(
        server.call("GET", path, Value::Null).await,
        (200, json!([]))
    );
    let path = "/v1/jobs/dala/job-2/tasks";
    assert_eq!(server.call("GET", path, Value::Null).await.0, 404);
}

/// Guards against a list that is truncated after the first page.
#[tokio::test]
async fn all_pages_of_a_scheduler_are_listed() {
    let server = Server::start().await;
    server.scheduler.answer(|message| {
        let Message::Inspect { view, after } = message else {
            return reply(Message::NoJob);
        };
        assert_eq!(view, View::Targets);
        let mut page = inspected();
        page.next = match after.as_deref() {
            None => Some("first".into()),
            Some("first") => Some("second".into()),
            Some(_) => None,
        };
        reply(Message::Inspected(Box::new(page)))
    });
    let (_, targets) = server.call("GET", "/v1/targets", Value::Null).await;
    assert_eq!(
        targets["items"].as_array().map(Vec::len),
        Some(3),
        "{targets}"
    );
}

/// Guards against unbounded memory for a large request body.
#[tokio::test]
async fn a_body_over_the_limit_is_rejected() {
    let server = Server::start().await;
    let body = json!("x".repeat(1024 * 1024));
    let (status, answer) = server.call("PUT", "/v1/contracts/dala", body).await;
    assert_eq!(status, 413, "{answer}");
}

/// Guards against a delayed duplicate of an append that drains a target again after it was
/// undrained.
#[tokio::test]
async fn a_duplicate_drain_record_has_no_effect() {
    let server = Server::start().await;
    for (id, verb) in [("change-1", "drain"), ("change-2", "undrain")] {
        let path = format!("/v1/targets/cpu-1/{verb}");
        assert_eq!(server.call("POST", &path, json!({ "id": id })).await.0, 200);
    }
    let record = server.log.records("contracts")[0].clone();
    server.log.push("contracts", &record);
    assert!(
        server
            .contracts
            .wait_applied(3, Duration::from_secs(2))
            .await
    );
    assert!(!server.contracts.is_drained("cpu-1"));
}

/// Guards against callers without a valid key who flood the log with refusals.
#[tokio::test]
async fn refusals_are_recorded_at_a_bounded_rate() {
    let server = Server::start().await;
    for _ in 0..150 {
        let body = publication("change-1", 0, 100);
        let (status, _) = server
            .call_as(TEAM_KEY, "PUT", "/v1/contracts/dala", body)
            .await;
        assert_eq!(status, 401);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let recorded = server.log.records("audit").len();
    assert!((100..150).contains(&recorded), "{recorded}");
    let (_, trail) = server.call("GET", "/v1/audit?limit=20", Value::Null).await;
    assert_eq!(trail["refusals"].as_array().map(Vec::len), Some(20));
}
