//! Guards against jobs whose memory isn't counted, or is counted for too long, and against large jobs
//! that leave no room for ordinary ones.

use std::sync::Arc;

use rosemaryworks_workflow::memory::{Pool, steps_min_bytes};
use rosemaryworks_workflow::{Id, Queue, Record, Settings, Shard, Spec, Step};

const MIB: u64 = 1024 * 1024;

/// Memory for jobs in bytes.
const LIMIT: u64 = 32 * MIB;

/// Time for which the state of ended jobs is kept, in milliseconds.
const KEEP_MS: u64 = 10_000;

fn shard(pool: &Pool) -> Shard {
    let settings = Settings {
        lease_ms: 2_000,
        lease_max_ms: 4_000,
        order_ttl_ms: 1_000,
        keep_ms: KEEP_MS,
        early_ms: 0,
    };
    let mut shard = Shard::new(settings, 1).with_memory(pool.clone());
    let queue = Queue {
        max_attempts: 3,
        advice: None,
        name: "queue".into(),
        pool: "pool".into(),
        priority: 0,
        slack_factor: 0.0,
        slo_ms: 0,
    };
    shard.set_queues([queue]);
    shard.finish_replay(true, 0);
    shard
}

fn spec(steps: usize) -> Spec {
    let step = Step {
        count: 1,
        ..Step::default()
    };
    Spec {
        steps: vec![step; steps],
        ..Spec::default()
    }
}

fn submit(shard: &mut Shard, id: u64, spec: Spec) {
    let record = Record::Submitted {
        id: Id(id),
        queue: "queue".into(),
        spec: Arc::new(spec),
    };
    shard.apply_stored(record, None, 0);
}

fn cancel(shard: &mut Shard, id: u64) {
    let record = Record::Cancelled {
        id: Id(id),
        team: None,
    };
    shard.apply_stored(record, None, 0);
}

#[test]
fn an_open_job_counts_what_is_reserved_for_it() {
    let pool = Pool::new(LIMIT);
    let mut shard = shard(&pool);
    let bytes = spec(1_000).memory_bytes();
    assert!(bytes > steps_min_bytes(1_000));
    submit(&mut shard, 1, spec(1_000));
    assert_eq!(pool.held(), bytes);
    // The same record, as it is read from the log.
    submit(&mut shard, 1, spec(1_000));
    assert_eq!(pool.held(), bytes);
    drop(shard);
    assert_eq!(pool.held(), 0);
}

#[test]
fn an_ended_job_counts_little_until_it_is_forgotten() {
    let pool = Pool::new(LIMIT);
    let mut shard = shard(&pool);
    submit(&mut shard, 1, spec(10_000));
    cancel(&mut shard, 1);
    shard.tick(1_000, 0);
    assert!((1..=1_024).contains(&pool.held()), "{} bytes", pool.held());
    shard.tick(2 * KEEP_MS, 0);
    assert_eq!(pool.held(), 0);
}

#[test]
fn occurrences_begin_while_there_is_memory() {
    let pool = Pool::new(LIMIT);
    let mut shard = shard(&pool);
    let timed = Spec {
        times: 1_000_000,
        interval_ms: 1,
        ..spec(1_000)
    };
    submit(&mut shard, 1, timed);
    shard.tick(0, 1_000_000);
    let held = pool.held();
    assert!((LIMIT / 2..=LIMIT).contains(&held), "{held} bytes");
    // An ordinary job has room, and the first occurrence of another job begins.
    assert!(pool.has_room(spec(1).memory_bytes()));
    let other = Spec {
        times: 1,
        ..spec(1)
    };
    submit(&mut shard, 2, other);
    shard.tick(1, 1_000_000);
    assert!(pool.held() > held);
    cancel(&mut shard, 1);
    cancel(&mut shard, 2);
    shard.tick(2_000, 1_000_000);
    assert!(pool.held() < 4_096, "{} bytes", pool.held());
}

#[test]
fn a_large_job_has_room_if_it_is_the_only_one() {
    let pool = Pool::new(LIMIT);
    let first = pool.reserve(2 * LIMIT).expect("an empty pool");
    assert!(pool.reserve(MIB).is_none());
    let ordinary: Vec<_> = (0..LIMIT / 8 / 1_024)
        .map(|_| pool.reserve(1_024).expect("room for an ordinary job"))
        .collect();
    assert!(pool.reserve(1_024).is_none());
    drop(first);
    assert!(pool.reserve(MIB).is_some());
    drop(ordinary);
    assert_eq!(pool.held(), 0);
}

#[test]
fn ordinary_jobs_may_use_all_memory_and_large_ones_leave_an_eighth() {
    let pool = Pool::new(LIMIT);
    let large: Vec<_> = std::iter::from_fn(|| pool.reserve(MIB)).collect();
    assert_eq!(large.len() as u64, 28);
    drop(large);
    let ordinary: Vec<_> = std::iter::from_fn(|| pool.reserve(1_024)).collect();
    assert_eq!(ordinary.len() as u64 * 1_024, LIMIT);
}
