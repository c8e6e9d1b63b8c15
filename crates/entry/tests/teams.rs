//! Guards against callers that see or cancel jobs of other teams, and against records that differ from
//! earlier ones although no team is configured.

#[path = "support/memory.rs"]
mod memory;

use std::sync::Arc;

use memory::{Process, route};
use rosemaryworks_entry::port::Stream;
use rosemaryworks_entry::{Acceptance, Lookup};
use rosemaryworks_node::clock;
use rosemaryworks_workflow::{Id, Record, Spec, State, Step};

const JOB: Id = Id(7);

fn team(name: &str) -> Option<Arc<str>> {
    Some(name.into())
}

async fn submit(process: &Process, id: Id, team: Option<Arc<str>>) -> Acceptance {
    let spec = Spec {
        steps: vec![Step {
            count: 1,
            ..Step::default()
        }],
        team,
        ..Spec::default()
    };
    let deadline_ms = clock::now().0 + 2_000;
    process.node.submit(&route(), id, spec, deadline_ms).await
}

async fn cancel(process: &Process, id: Id, team: Option<Arc<str>>) -> Acceptance {
    let deadline_ms = clock::now().0 + 2_000;
    process.node.cancel(&route(), id, team, deadline_ms).await
}

async fn state(process: &Process, id: Id, team: Option<Arc<str>>) -> Lookup {
    let deadline_ms = clock::now().0 + 2_000;
    process
        .node
        .job_state(&route(), id, team, deadline_ms)
        .await
}

/// The owner and a process that asks it over a link give the same answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_of_another_team_does_not_exist_for_a_caller() {
    let owner = Process::start().await;
    let peer = owner.start_peer("peer").await;
    assert_eq!(submit(&peer, JOB, team("a")).await, Acceptance::Accepted);
    for process in [&owner, &peer] {
        assert_eq!(state(process, JOB, team("b")).await, Lookup::NoSuchJob);
        assert_eq!(cancel(process, JOB, team("b")).await, Acceptance::NoSuchJob);
        let own = state(process, JOB, team("a")).await;
        assert_eq!(own, Lookup::State(State::Pending), "cancelled by team b");
    }
    assert_eq!(cancel(&peer, JOB, team("a")).await, Acceptance::Accepted);
    let own = state(&peer, JOB, team("a")).await;
    assert_eq!(own, Lookup::State(State::Cancelled));
    assert_eq!(state(&peer, JOB, team("b")).await, Lookup::NoSuchJob);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_without_a_team_is_open_to_all_callers() {
    let process = Process::start().await;
    assert_eq!(submit(&process, JOB, None).await, Acceptance::Accepted);
    let pending = Lookup::State(State::Pending);
    assert_eq!(state(&process, JOB, team("b")).await, pending);
    assert_eq!(state(&process, JOB, None).await, pending);
    assert_eq!(cancel(&process, JOB, team("b")).await, Acceptance::Accepted);
    let cancelled = Lookup::State(State::Cancelled);
    assert_eq!(state(&process, JOB, None).await, cancelled);
}

/// The submission of a job may be stored after its cancellation was answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancellation_of_an_unknown_job_holds_for_the_team() {
    let process = Process::start().await;
    let written = process.log.record_count(Stream::Jobs);
    assert_eq!(
        cancel(&process, JOB, team("a")).await,
        Acceptance::NoSuchJob
    );
    assert_eq!(process.log.record_count(Stream::Jobs), written + 1);
    submit(&process, JOB, team("a")).await;
    let own = state(&process, JOB, team("a")).await;
    assert_eq!(own, Lookup::State(State::Cancelled));
}

/// A deployment without teams must be able to return to an earlier build.
#[test]
fn records_without_a_team_are_encoded_as_before() {
    let records = [
        Record::Cancelled {
            id: Id(1),
            team: None,
        },
        Record::Retained {
            state: State::Failed,
            jobs: vec![(Id(1), 2)],
            team: None,
        },
        Record::CancelledEarly {
            jobs: vec![(Id(1), 2)],
            team: None,
        },
    ];
    let fields: Vec<usize> = records
        .iter()
        .map(|record| {
            let mut bytes = Vec::new();
            ciborium::into_writer(record, &mut bytes).expect("a record");
            let value: ciborium::Value = ciborium::from_reader(bytes.as_slice()).expect("a value");
            let variant = &value.as_map().expect("a variant")[0].1;
            variant.as_map().expect("fields").len()
        })
        .collect();
    assert_eq!(fields, [1, 2, 1]);
}
