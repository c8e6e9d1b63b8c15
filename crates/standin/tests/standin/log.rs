//! Log and list of VMs through the HTTP adapters.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::common::Standin;
use rosemaryworks_core::target::State;
use rosemaryworks_platform::log::Append;
use rosemaryworks_platform::{Directory, Fault, Log, http};
use serde_json::json;

fn append(id: &str, count: usize) -> Append {
    let record = |index| Arc::from(format!("{index}"));
    Append {
        stream: "cell".into(),
        id: id.into(),
        records: (0..count).map(record).collect(),
    }
}

fn log(standin: &Standin) -> http::Log {
    http::Log::new(standin.client.clone(), standin.settings.log.address)
}

#[ntex::test]
async fn appends_get_consecutive_offsets_and_can_be_found() {
    // Guards against gaps in the offsets, and against an append that can't be found after its
    // response was lost.
    let standin = Standin::start("log-append");
    let log = log(&standin);
    assert_eq!(log.append(append("a", 2)).await.unwrap(), 1);
    standin
        .inject(json!({"fault": "log-lose-answers", "count": 1}))
        .await;
    let lost = log.append(append("b", 3)).await.unwrap_err();
    assert!(matches!(lost.current_context().fault, Fault::Uncertain(_)));
    assert_eq!(log.find("cell", "b").await.unwrap(), Some(3));
    assert_eq!(log.find("cell", "c").await.unwrap(), None);
    assert_eq!(log.append(append("d", 1)).await.unwrap(), 6);
    let page = log.read("cell", 5, 10, 0).await.unwrap();
    let offsets: Vec<_> = page.entries.iter().map(|entry| entry.offset).collect();
    assert_eq!((offsets, page.first, page.next), (vec![5, 6], 1, 7));
}

#[ntex::test]
async fn readers_wait_for_the_next_record() {
    // Guards against readers that receive a record only with their next poll.
    let standin = Standin::start("log-wait");
    let log = log(&standin);
    let start = Instant::now();
    let (page, _) = tokio::join!(log.read("cell", 1, 10, 2_000), async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        log.append(append("a", 1)).await.unwrap()
    });
    assert_eq!(page.unwrap().entries.len(), 1);
    assert!(start.elapsed() < Duration::from_millis(1_000));
}

#[ntex::test]
async fn calls_have_no_effect_during_an_outage() {
    // Guards against fault injection without an effect, and against calls that take effect during
    // an outage.
    let standin = Standin::start("log-down");
    let log = log(&standin);
    standin.inject(json!({"fault": "log-down"})).await;
    let down = log.append(append("a", 1)).await.unwrap_err();
    assert!(matches!(down.current_context().fault, Fault::Uncertain(_)));
    standin.inject(json!({"fault": "log-up"})).await;
    assert_eq!(log.find("cell", "a").await.unwrap(), None);
    standin
        .inject(json!({"fault": "log-reject", "count": 1}))
        .await;
    let rejected = log.append(append("a", 1)).await.unwrap_err();
    assert!(matches!(
        rejected.current_context().fault,
        Fault::Refused(_)
    ));
    standin
        .inject(json!({"fault": "log-slow", "delay_ms": 300}))
        .await;
    let start = Instant::now();
    assert_eq!(log.append(append("a", 1)).await.unwrap(), 1);
    assert!(start.elapsed() >= Duration::from_millis(300));
}

#[ntex::test]
async fn the_list_of_vms_lags() {
    // Guards against a list that is more up to date than that of the platform.
    let standin = Standin::start("log-list");
    let directory =
        http::Directory::new(standin.client.clone(), standin.settings.directory.address);
    standin.inject(json!({"fault": "leaving", "target": "cpu-0", "list": true, "itself": false, "within_ms": 9})).await;
    standin
        .inject(json!({"fault": "removed", "target": "booking-0"}))
        .await;
    let listing = directory.list().await.unwrap();
    assert_eq!(
        (listing.workers[0].1, listing.instances.len()),
        (State::Live, 1)
    );
    tokio::time::sleep(Duration::from_millis(300)).await;
    let listing = directory.list().await.unwrap();
    let leaving = State::Leaving { within_ms: Some(9) };
    assert_eq!(
        (listing.workers[0].1, listing.instances.len()),
        (leaving, 0)
    );
}
