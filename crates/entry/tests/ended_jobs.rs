//! Guards against a takeover that holds all jobs at once that have ended since the last snapshot
//! (review/12).

#[path = "support/memory.rs"]
mod memory;

use std::sync::Arc;

use memory::{Log, Process, queue, route, submitted};
use rosemaryworks_entry::Lookup;
use rosemaryworks_entry::port::Stream;
use rosemaryworks_node::clock;
use rosemaryworks_workflow::{Id, Record, Spec, State, Step};

/// Steps of a large job.
const STEPS: usize = 5_000;

/// Jobs that have ended.
const ENDED: u64 = 25;

fn large(id: u64, team: &str) -> Record {
    let step = Step {
        count: 9,
        ..Step::default()
    };
    Record::Submitted {
        id: Id(id),
        queue: queue().name,
        spec: Arc::new(Spec {
            address: route().address(),
            steps: vec![step; STEPS],
            team: Some(team.into()),
            ..Spec::default()
        }),
    }
}

fn memory_bytes() -> u64 {
    let Record::Submitted { spec, .. } = large(0, "a") else {
        panic!("no submission");
    };
    spec.memory_bytes()
}

/// The owner held one of these jobs at a time, its successor all of them, and was ended by its memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_takeover_does_not_open_jobs_that_have_ended() {
    let log: Arc<Log> = Arc::default();
    for id in 0..ENDED {
        log.put(Stream::Jobs, 0, &large(id, "a"));
        let ended = Record::Final {
            id: Id(id),
            state: State::Failed,
            at_ms: Some(1_000),
        };
        log.put(Stream::Progress, 0, &ended);
    }
    log.put(Stream::Jobs, 0, &large(ENDED, "a"));
    log.put(Stream::Jobs, 0, &submitted(Id(99)));
    let process = Process::start_on(log).await;
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    let peak = process.metrics.job_bytes_peak.get() as u64;
    assert!(peak < 2 * memory_bytes(), "{peak} bytes at the peak");
    let state = async |id, team: &str| {
        let deadline_ms = clock::now().0 + 1_000;
        let node = process.node.clone();
        let team = Some(team.into());
        node.job_state(&route(), Id(id), team, deadline_ms).await
    };
    assert_eq!(state(0, "a").await, Lookup::State(State::Failed));
    assert_eq!(state(0, "b").await, Lookup::NoSuchJob);
    assert_eq!(state(ENDED, "a").await, Lookup::State(State::Pending));
    assert_eq!(state(99, "b").await, Lookup::State(State::Pending));
}
