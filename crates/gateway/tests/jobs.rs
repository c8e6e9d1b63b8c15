//! Job API: the HTTP response for every reply of the owner.

#[path = "support/running.rs"]
mod support;

use std::time::Duration;

use rosemaryworks_core::job::{Id, Kind, State, Status};
use rosemaryworks_core::outcome::NotRun;
use rosemaryworks_node::http::Request;
use rosemaryworks_wire::{Message, Submission};
use serde_json::{Value, json};
use support::Running;
use support::fakes::{TEAM_KEY, no_reply, reply};

fn spec() -> Value {
    json!({
        "id": "job-1",
        "kind": "batch",
        "pool": "cpu",
        "tasks": 2,
        "size": { "millicores": 1000, "memory_mb": 512 },
        "run_ms": 100,
    })
}

fn status(state: State) -> Status {
    Status {
        id: Id {
            contract: "dala".into(),
            job: "job-1".into(),
        },
        kind: Kind::Batch,
        state,
        tasks: 2,
        running: 0,
        succeeded: 0,
        unsuccessful: 0,
        reason: None,
    }
}

async fn call(gateway: &Running, method: &'static str, path: &str, body: &str) -> (u16, Value) {
    let url = format!("http://{}{path}", gateway.address);
    let key = format!("Bearer {TEAM_KEY}");
    let call = Request::new(method, url, Duration::from_secs(15))
        .header("rosemary-contract", "dala")
        .header("authorization", &key)
        .body(body);
    let response = gateway.send(call).await;
    let body = serde_json::from_slice(&response.body).unwrap_or_default();
    (response.status, body)
}

async fn submit(gateway: &Running) -> (u16, Value) {
    call(gateway, "POST", "/v1/jobs", &spec().to_string()).await
}

/// Guards against replies that reach callers with a wrong status or outcome.
#[tokio::test]
async fn each_submission_reply_has_its_status_and_outcome() {
    let gateway = Running::start().await;
    let cases = [
        (
            Submission::Accepted(status(State::Queued)),
            200,
            Value::Null,
        ),
        (Submission::Conflict, 409, json!("not-run")),
        (
            Submission::Rejected("too large".into()),
            422,
            json!("not-run"),
        ),
        (
            Submission::Unavailable(NotRun::LogUnavailable),
            503,
            json!("not-run"),
        ),
        (Submission::Unavailable(NotRun::Rate), 429, json!("not-run")),
        (Submission::Unknown, 504, json!("unknown")),
    ];
    for (submission, expected, outcome) in cases {
        let message = Message::Submission(submission);
        gateway.scheduler.answer(move |_| reply(message.clone()));
        let (status, body) = submit(&gateway).await;
        assert_eq!((status, &body["outcome"]), (expected, &outcome), "{body}");
    }
}

/// Guards against reporting `not-run` for a job that an earlier call, whose reply was lost, may
/// have submitted.
#[tokio::test]
async fn a_refusal_after_a_lost_reply_is_unknown() {
    let gateway = Running::start().await;
    let call_count = std::sync::atomic::AtomicUsize::new(0);
    gateway.scheduler.answer(move |_| {
        match call_count.fetch_add(1, std::sync::atomic::Ordering::SeqCst) {
            0 => no_reply(),
            _ => reply(Message::Submission(Submission::Unavailable(
                NotRun::NoOwner,
            ))),
        }
    });
    assert_eq!(submit(&gateway).await.0, 504);
}

/// Guards against invalid jobs that reach the owner.
#[tokio::test]
async fn invalid_jobs_are_refused_with_the_field() {
    let gateway = Running::start().await;
    let cases = [
        ("id", json!("Job 1"), 400),
        ("tasks", json!(0), 400),
        ("tasks", json!(10_001), 400),
        ("kind", json!("daemon"), 400),
        ("pool", json!("gpu"), 403),
        ("size", json!({ "cores": 1 }), 400),
    ];
    for (field, value, expected) in cases {
        let mut spec = spec();
        spec[field] = value;
        let (status, body) = call(&gateway, "POST", "/v1/jobs", &spec.to_string()).await;
        let message = body["message"].as_str().unwrap_or_default();
        assert_eq!(status, expected, "{body}");
        assert!(message.contains(field), "{message}");
    }
}

/// Guards against a wait that returns before the job ends, or continues after it has ended.
#[tokio::test]
async fn waiting_ends_with_the_job() {
    let gateway = Running::start().await;
    gateway.scheduler.answer(|message| match message {
        Message::Status { wait_ms: 0, .. } => reply(Message::JobStatus(status(State::Running))),
        Message::Status { .. } => Box::pin(async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            Message::JobStatus(status(State::Succeeded))
        }),
        _ => reply(Message::Done),
    });
    let (code, body) = call(&gateway, "GET", "/v1/jobs/job-1", "").await;
    assert_eq!((code, &body["state"]), (200, &json!("running")));
    let path = "/v1/jobs/job-1/wait?timeout-ms=5000";
    let (code, body) = call(&gateway, "GET", path, "").await;
    assert_eq!((code, &body["state"]), (200, &json!("succeeded")));
}

/// Guards against cancelling jobs that don't exist, and against a status that differs from the
/// owner's.
#[tokio::test]
async fn a_job_is_cancelled_at_its_owner() {
    let gateway = Running::start().await;
    gateway.scheduler.answer(|_| reply(Message::NoJob));
    assert_eq!(
        call(&gateway, "POST", "/v1/jobs/job-1/cancel", "").await.0,
        404
    );
    gateway.scheduler.answer(|message| match message {
        Message::Status { .. } => reply(Message::JobStatus(status(State::Running))),
        _ => {
            let accepted = Submission::Accepted(status(State::Cancelled));
            reply(Message::Submission(accepted))
        }
    });
    let (code, body) = call(&gateway, "POST", "/v1/jobs/job-1/cancel", "").await;
    assert_eq!((code, &body["state"]), (200, &json!("cancelled")));
}

/// Guards against a stop that drops callers that wait for a job.
#[tokio::test]
async fn waiting_ends_when_the_gateway_stops() {
    let gateway = Running::start().await;
    gateway.scheduler.answer(|message| match message {
        Message::Status { wait_ms, .. } => Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            Message::JobStatus(status(State::Running))
        }),
        _ => reply(Message::Done),
    });
    let path = "/v1/jobs/job-1/wait?timeout-ms=60000";
    let stop = async {
        support::eventually(|| gateway.gateway.waiting_callers() == 1).await;
        gateway.gateway.stop();
    };
    let ((code, body), ()) = tokio::join!(call(&gateway, "GET", path, ""), stop);
    assert_eq!((code, &body["state"]), (200, &json!("running")));
    let (code, _) = tokio::time::timeout(Duration::from_secs(1), call(&gateway, "GET", path, ""))
        .await
        .expect("the call did not return within 1 s although the gateway is stopping");
    assert_eq!((code, gateway.gateway.waiting_callers()), (200, 0));
}

/// Guards against jobs that are sent to a shard in which their contract has no share, because the
/// gateway and the placement kernel disagree about which contracts are pinned.
#[tokio::test]
async fn jobs_go_to_shards_where_the_contract_has_a_share() {
    let log = support::fakes::MemoryLog::default();
    log.push("contracts", &support::fakes::publish_record());
    let change = |settings: &mut rosemaryworks_gateway::Settings| {
        settings.cell.partition.pools = [("cpu".into(), 3)].into();
    };
    let gateway = Running::start_with(log, change).await;
    let accepted = Submission::Accepted(status(State::Queued));
    let accepted = Message::Submission(accepted);
    gateway.scheduler.answer(move |_| reply(accepted.clone()));
    gateway.wait_ready().await;
    for index in 0..10 {
        let mut spec = spec();
        spec["id"] = json!(format!("job-{index}"));
        let body = spec.to_string();
        assert_eq!(call(&gateway, "POST", "/v1/jobs", &body).await.0, 200);
    }
    let contract = serde_json::from_value(support::fakes::contract_json()).unwrap();
    let contract: rosemaryworks_core::contract::Contract = contract;
    let size = contract.pools["cpu"].size;
    let pinning_limit = rosemaryworks_core::placement::pinning_limit(&contract.pools["cpu"]);
    let partition = &support::settings(&gateway.scheduler).cell.partition;
    let mut partition = partition.clone();
    partition.pools = [("cpu".into(), 3)].into();
    let submitted = gateway.scheduler.calls().into_iter();
    let shards = submitted.filter_map(|call| match call {
        Message::Submit { shard, .. } => Some(shard),
        _ => None,
    });
    let shards: Vec<_> = shards.collect();
    assert_eq!(shards.len(), 10);
    for shard in shards {
        let share = partition.share_size(&shard, "dala", &size, pinning_limit);
        assert_eq!(share, size, "{shard}");
    }
}
