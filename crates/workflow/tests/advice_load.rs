//! Guards against steps that ask for advice which can't be answered before permits expire, and
//! against the loss of what is known when a request is refused or answered late.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, queue, spec, step};
use rosemaryworks_workflow::{AdviceLoad, AdviceRequest, AdviceTerms, Queue};

const VALIDITY_MS: u64 = 2_000;

fn advised(name: &'static str, priority: u32, call_ms: f64) -> Queue {
    Queue {
        priority,
        advice: Some(AdviceTerms {
            call_ms,
            worker_ms: call_ms / 70.0,
            validity_ms: VALIDITY_MS,
        }),
        ..queue(name)
    }
}

fn fleet() -> Fleet {
    let queues = vec![
        advised("short", 0, 20.0),
        advised("urgent", 0, 200.0),
        advised("batch", 2, 200.0),
    ];
    let mut fleet = Fleet::with_queues(20, queues);
    for (id, name) in ["batch", "urgent", "short"].into_iter().enumerate() {
        let id = rosemaryworks_workflow::Id(id as u64 + 1);
        let spec = spec(vec![step(4)]);
        fleet.shard.submit(id, name.into(), spec, fleet.now_ms);
    }
    fleet
}

fn load(backlog_ms: f64) -> AdviceLoad {
    AdviceLoad {
        vms: 4,
        idle: 0,
        backlog_ms,
    }
}

/// Returns the jobs whose steps ask, given the backlog of the VMs.
fn asking(backlog_ms: f64) -> Vec<u64> {
    let mut fleet = fleet();
    fleet.shard.set_advice_load(load(backlog_ms));
    fleet.tick();
    let mut jobs: Vec<u64> = fleet.advice_requests.iter().map(|r| r.step.job.0).collect();
    jobs.sort_unstable();
    jobs
}

#[test]
fn lower_priorities_give_way_first_and_short_requests_never() {
    assert_eq!(asking(0.0), vec![1, 2, 3]);
    assert_eq!(asking(700.0), vec![2, 3]);
    assert_eq!(asking(1_500.0), vec![3]);
}

#[test]
fn requests_of_one_pass_count() {
    let mut fleet = Fleet::with_queues(20, vec![advised("batch", 2, 700.0)]);
    for id in 1..=20 {
        let id = rosemaryworks_workflow::Id(id);
        let spec = spec(vec![step(1)]);
        fleet.shard.submit(id, "batch".into(), spec, fleet.now_ms);
    }
    fleet.shard.set_advice_load(AdviceLoad {
        idle: 4,
        ..load(0.0)
    });
    fleet.tick();
    // Four idle VMs take four requests; a fifth would wait for 820 ms.
    assert_eq!(fleet.advice_requests.len(), 4);
}

fn permits(
    request: &AdviceRequest,
    count: usize,
) -> Vec<(std::sync::Arc<str>, std::sync::Arc<str>)> {
    let workers = request.workers.iter().take(count);
    workers.map(|id| (id.clone(), "permit".into())).collect()
}

#[test]
fn a_refused_step_asks_again_after_a_pause_that_grows() {
    let mut fleet = Fleet::with_queues(20, vec![advised("batch", 2, 200.0)]);
    let id = rosemaryworks_workflow::Id(1);
    fleet
        .shard
        .submit(id, "batch".into(), spec(vec![step(4)]), fleet.now_ms);
    fleet.tick();
    let mut pauses = Vec::new();
    for _ in 0..3 {
        let request = fleet.advice_requests.pop().expect("a request");
        fleet.shard.advice_refused(request.step, fleet.now_ms);
        let refused_ms = fleet.now_ms;
        while fleet.advice_requests.is_empty() {
            assert!(fleet.now_ms < refused_ms + 2_000, "it asks no more");
            fleet.advance(10);
            fleet.renew_all();
        }
        pauses.push(fleet.now_ms - refused_ms);
    }
    assert!(
        pauses[0] >= 100 && pauses[1] >= 200 && pauses[2] >= 400,
        "{pauses:?}"
    );
}

#[test]
fn a_late_answer_is_used_and_leaves_the_next_request_alone() {
    let mut fleet = Fleet::with_queues(20, vec![advised("batch", 2, 200.0)]);
    let id = rosemaryworks_workflow::Id(1);
    fleet
        .shard
        .submit(id, "batch".into(), spec(vec![step(4)]), fleet.now_ms);
    fleet.tick();
    let first = fleet.advice_requests.pop().expect("a request");
    fleet.shard.advice_failed(first.step, fleet.now_ms);
    fleet.advance(200);
    let second = fleet.advice_requests.pop().expect("a second request");
    let until_ms = fleet.now_ms + VALIDITY_MS;
    let late = permits(&first, 1);
    fleet
        .shard
        .advice_received_late(first.step, first.workers.clone(), late, until_ms);
    fleet.tick();
    assert!(!fleet.orders.is_empty(), "the late permit is not used");
    assert!(
        fleet.advice_requests.is_empty(),
        "it asks while a request is under way"
    );
    fleet
        .shard
        .advice_received(second.step, Vec::new(), until_ms, fleet.now_ms);
    fleet.tick();
    let orders = fleet.orders.iter().filter(|order| order.permit.is_none());
    assert_eq!(orders.count(), 0);
}
