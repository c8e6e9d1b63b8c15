//! Guards against a task that lasts and doesn't start again (LOST), although workers that may run it
//! have room.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, queue, spec, step};
use rosemaryworks_core::size::Size;
use rosemaryworks_workflow::{AdviceTerms, Outcome, Queue, Step, Worker};

/// Tasks of the step, more than requests for one task name workers while their permits are valid.
const TASKS: u32 = 60;

const WORKERS: usize = 70;

/// Time that an answer of the service takes in milliseconds.
const ANSWER_MS: u64 = 700;

/// Time until permits expire in milliseconds.
const VALIDITY_MS: u64 = 2_000;

fn queue_with_advice() -> Queue {
    Queue {
        advice: Some(AdviceTerms {
            call_ms: 13.0,
            worker_ms: 0.2,
            validity_ms: VALIDITY_MS,
        }),
        ..queue("q")
    }
}

/// Lets all tasks be at work.
fn serve(fleet: &mut Fleet) {
    for worker in fleet.workers.values_mut() {
        let keys = worker.runs.keys().map(|key| (*key, 100));
        worker.percent = keys.collect();
    }
}

fn running(fleet: &Fleet) -> u32 {
    let runs = (0..TASKS).filter(|index| !fleet.workers_running(key(1, 0, *index)).is_empty());
    runs.count() as u32
}

/// Answers all requests, allowing every worker, until all tasks run or 14 s have passed.
fn advise_until_all_run(fleet: &mut Fleet) -> bool {
    for _ in 0..20 {
        for request in std::mem::take(&mut fleet.advice_requests) {
            let permits = request.workers.into_iter();
            let permits = permits.map(|worker| (worker, "permit".into())).collect();
            let until_ms = fleet.now_ms + VALIDITY_MS;
            fleet
                .shard
                .advice_received(request.step, permits, until_ms, fleet.now_ms);
        }
        fleet.tick();
        for _ in 0..ANSWER_MS / 50 {
            fleet.advance(50);
            serve(fleet);
            fleet.renew_all();
        }
        if running(fleet) == TASKS {
            return true;
        }
    }
    false
}

/// Requests named the workers that run the other tasks of the step, of which each may run one only.
#[test]
fn a_request_names_no_worker_that_runs_as_many_tasks_of_the_step_as_it_may() {
    let mut fleet = Fleet::with_queues(WORKERS, vec![queue_with_advice()]);
    let limited = Step {
        service: true,
        max_per_worker: 1,
        ..step(TASKS)
    };
    fleet.submit(1, spec(vec![limited]));
    assert!(advise_until_all_run(&mut fleet));
    fleet.advance(VALIDITY_MS);
    fleet.renew_all();
    let lost = key(1, 0, 0);
    let worker = fleet.workers_running(lost)[0].clone();
    let draining = Worker {
        draining: true,
        ..fleet::worker(&worker, Size::new(4_000, 16_384), 7)
    };
    fleet.shard.list_worker(draining, fleet.now_ms);
    fleet.end_and_report(lost, Outcome::Failed);
    assert_eq!(running(&fleet), TASKS - 1);
    let restarted = advise_until_all_run(&mut fleet);
    assert!(restarted, "the task doesn't start again");
}
