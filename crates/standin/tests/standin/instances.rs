//! Service instances through the HTTP adapter: requests and injected failures.

use std::time::Duration;

use crate::common::Standin;
use rosemaryworks_history::Event;
use rosemaryworks_platform::instances::{Request, Response};
use rosemaryworks_platform::{Fault, Instances, http};
use serde_json::json;

async fn send(standin: &Standin, run_ms: u64, length: usize) -> Result<Response, Fault> {
    let body = json!({
        "token": "abc", "length": length, "run_ms": run_ms,
        "contract": "dala", "id": "r-1", "attempt": 1,
    });
    let request = Request {
        headers: Vec::new(),
        body: body.to_string().into_bytes(),
        timeout_ms: 1_000,
    };
    let instances = http::Instances::new(standin.client.clone());
    let response = instances.send(&standin.instance(), request).await;
    response.map_err(|report| report.current_context().fault.clone())
}

#[ntex::test]
async fn responses_repeat_the_token_of_their_request() {
    // Guards against responses that can't be matched to their requests.
    let standin = Standin::start("instances-answer");
    let response = send(&standin, 10, 7).await.unwrap();
    assert_eq!((response.status, &*response.body), (200, &b"abcabca"[..]));
}

#[ntex::test]
async fn busy_instances_reject_without_running() {
    // Guards against an instance that runs more requests concurrently than it has slots.
    let standin = Standin::start("instances-busy");
    let (first, second, third) =
        tokio::join!(send(&standin, 200, 3), send(&standin, 200, 3), async {
            tokio::time::sleep(Duration::from_millis(80)).await;
            let instances = http::Instances::new(standin.client.clone());
            let busy = instances.occupancy(&standin.instance()).await.unwrap();
            (busy, send(&standin, 0, 3).await.unwrap())
        },);
    assert_eq!((first.unwrap().status, second.unwrap().status), (200, 200));
    let (busy, rejected) = third;
    assert_eq!((busy, rejected.status), (Some(2), 503));
    let header = ("rosemary-not-run".into(), "true".into());
    assert!(rejected.headers.contains(&header));
    let arrived = |event: &&Event| matches!(event, Event::Arrived { .. });
    assert_eq!(standin.history().iter().filter(arrived).count(), 2);
}

#[ntex::test]
async fn requests_run_to_completion_without_a_caller() {
    // Guards against a slot that is reported free while its request still runs.
    let standin = Standin::start("instances-end");
    assert!(matches!(
        send(&standin, 1_200, 3).await,
        Err(Fault::Uncertain(_))
    ));
    assert_eq!(standin.platform.instances[0].busy(), 1);
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(
        standin
            .history()
            .iter()
            .any(|event| matches!(event, Event::Served { .. }))
    );
}

#[ntex::test]
async fn crashes_and_truncated_responses_are_uncertain() {
    // Guards against fault injection without an effect.
    let standin = Standin::start("instances-faults");
    standin
        .inject(json!({"fault": "instance-cuts", "target": "booking-0"}))
        .await;
    assert!(matches!(
        send(&standin, 0, 1_000).await,
        Err(Fault::Uncertain(_))
    ));
    standin
        .inject(json!({"fault": "instance-crashed", "target": "booking-0"}))
        .await;
    assert!(matches!(
        send(&standin, 0, 3).await,
        Err(Fault::Uncertain(_))
    ));
    standin
        .inject(json!({"fault": "instance-up", "target": "booking-0"}))
        .await;
    assert_eq!(send(&standin, 0, 3).await.unwrap().status, 200);
    let leaving = json!({"fault": "leaving", "target": "booking-0", "list": false, "itself": true, "within_ms": null});
    standin.inject(leaving).await;
    assert_eq!(send(&standin, 0, 3).await.unwrap().status, 503);
}
