//! Graceful stops with peers and callers that are slow, paused or disconnected.

#[path = "support/running.rs"]
mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rosemaryworks_core::outcome::Finish;
use rosemaryworks_gateway::stop;
use rosemaryworks_node::http::{Client, Request};
use rosemaryworks_wire::Message;
use support::fakes::{TEAM_KEY, no_reply};
use support::{Behavior, Running, eventually, grant_all};

const FIRST_ATTEMPT: (&str, &str) = ("rosemary-attempt", "1");

/// Stops the gateway and returns the duration of the stop.
async fn stop_gateway(gateway: &Running) -> Duration {
    let started = Instant::now();
    stop::stop_gracefully(&gateway.gateway).await;
    started.elapsed()
}

fn job_call(gateway: &Running, method: &'static str, path: &str) -> Request {
    let url = format!("http://{}{path}", gateway.address);
    Request::new(method, url, Duration::from_secs(80))
        .header("rosemary-contract", "dala")
        .header("authorization", &format!("Bearer {TEAM_KEY}"))
}

/// Guards against a stop that waits beyond the deadline for an unresponsive instance: in a
/// fault-injection run, the stop of a gateway with 12 to 16 requests in flight had not ended after
/// 30 s.
#[tokio::test]
async fn a_stalled_instance_is_not_waited_for_beyond_the_deadline() {
    let gateway = Running::start().await;
    gateway.instances.script(&[Behavior::Slow(60_000)]);
    let answered = gateway.outcome("r-1", &[FIRST_ATTEMPT, ("rosemary-deadline-ms", "1000")]);
    let stop = async {
        eventually(|| gateway.instances.received().len() == 1).await;
        stop_gateway(&gateway).await
    };
    let (outcome, took) = tokio::join!(answered, stop);
    assert_eq!((outcome.0, &*outcome.1), (504, "unknown"));
    assert!(took < Duration::from_secs(3), "{took:?}");
}

/// Guards against a stop that aborts a request whose caller disconnected: the stop waited at most
/// 10 s for it, regardless of its deadline.
#[tokio::test]
async fn a_request_without_a_caller_is_finished() {
    let gateway = Running::start().await;
    gateway.instances.script(&[Behavior::Slow(11_500)]);
    let mut call = gateway.call("r-1", &[("rosemary-deadline-ms", "20000")]);
    call.timeout = Duration::from_millis(500);
    assert!(Client::start(1).send(call).await.is_err());
    eventually(|| gateway.gateway.waiting_callers() == 0).await;
    assert_eq!(gateway.gateway.requests_in_flight(), 1);
    let took = stop_gateway(&gateway).await;
    assert!(took < Duration::from_secs(15), "{took:?}");
    assert_eq!(gateway.gateway.requests_in_flight(), 0);
    let ended = |call: &Message| {
        matches!(
            call,
            Message::Finish {
                finish: Finish::Answered,
                ..
            }
        )
    };
    assert!(gateway.scheduler.calls().iter().any(ended));
}

/// Guards against slot requests that wait beyond their deadline for a paused owner.
#[tokio::test]
async fn an_owner_that_never_answers_is_not_waited_for() {
    let gateway = Running::start().await;
    gateway.scheduler.answer(|_| no_reply());
    let answered = gateway.outcome("r-1", &[FIRST_ATTEMPT, ("rosemary-deadline-ms", "1000")]);
    let stop = async {
        eventually(|| gateway.slot_requests().len() == 1).await;
        stop_gateway(&gateway).await
    };
    let (outcome, took) = tokio::join!(answered, stop);
    assert_eq!((outcome.0, &*outcome.1), (503, "not-run"));
    assert!(took < Duration::from_secs(3), "{took:?}");
}

/// Guards against a stop that waits without limit for an owner that doesn't acknowledge reports.
#[tokio::test]
async fn unacknowledged_reports_are_abandoned_after_a_timeout() {
    let gateway = Running::start().await;
    gateway.scheduler.answer(|message| match message {
        Message::Ask { .. } => grant_all(message),
        _ => no_reply(),
    });
    assert_eq!(gateway.outcome("r-1", &[]).await.0, 200);
    assert_eq!(gateway.gateway.unacknowledged_reports(), 1);
    let took = stop_gateway(&gateway).await;
    assert!(took < Duration::from_secs(12), "{took:?}");
    assert_eq!(gateway.gateway.unacknowledged_reports(), 1);
}

/// Guards against a stop delayed by callers that wait for a job while its owner is paused: each of
/// their calls took up to 13 s, one pool after the other.
#[tokio::test]
async fn a_wait_for_a_job_ends_although_its_owner_is_paused() {
    let gateway = Running::start().await;
    gateway.scheduler.answer(|_| no_reply());
    let path = "/v1/jobs/job-1/wait?timeout-ms=60000";
    let waited = gateway.send(job_call(&gateway, "GET", path));
    let stop = async {
        eventually(|| gateway.gateway.waiting_callers() == 1).await;
        stop_gateway(&gateway).await
    };
    let (answer, took) = tokio::join!(waited, stop);
    assert_eq!(answer.status, 504);
    assert!(took < Duration::from_secs(6), "{took:?}");
}

/// Sends the head of a request and two of the ten bytes of its body.
fn half_sent(gateway: &Running, path: &str) -> TcpStream {
    let mut caller = TcpStream::connect(gateway.address).unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: gateway\r\nrosemary-contract: dala\r\n\
         rosemary-request-id: r-1\r\nrosemary-attempt: 1\r\nrosemary-deadline-ms: 1000\r\n\
         authorization: Bearer {TEAM_KEY}\r\ncontent-length: 10\r\n\r\nab"
    );
    caller.write_all(head.as_bytes()).unwrap();
    caller
}

/// Reads until the connection is closed, for at most `limit`.
fn read(mut caller: TcpStream, limit: Duration) -> String {
    caller.set_read_timeout(Some(limit)).unwrap();
    let mut text = Vec::new();
    // An error means that `limit` has passed.
    let _ = caller.read_to_end(&mut text);
    String::from_utf8(text).unwrap()
}

/// Guards against a body that never arrives: its request had no timeout, and its reserved bytes
/// were missing for all other callers.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_stalls_is_refused_at_the_deadline() {
    let gateway = Running::start().await;
    let request = half_sent(&gateway, "/v1/services/booking");
    eventually(|| gateway.gateway.waiting_callers() == 1).await;
    let answer = tokio::task::spawn_blocking(|| read(request, Duration::from_secs(5)));
    let took = stop_gateway(&gateway).await;
    assert!(took < Duration::from_secs(3), "{took:?}");
    let answer = answer.await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("rosemary-outcome: not-run"), "{answer}");
    assert!(gateway.slot_requests().is_empty());
}
