//! Guards against caps of teams that don't hold across the owners of several pools, or that leave
//! room unused because it belongs to another owner.

#[path = "support/memory.rs"]
mod memory;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use memory::{Log, Process, queue, worker};
use rosemaryworks_core::size::Size;
use rosemaryworks_entry::access::Directory;
use rosemaryworks_entry::clients::Terms;
use rosemaryworks_entry::config::shard;
use rosemaryworks_entry::port::Stream;
use rosemaryworks_entry::{Config, Route};
use rosemaryworks_workflow::{Id, Key, Queue, Record, Spec, Step, Team};
use tokio::time::Instant;

const SHARDS: u32 = 2;

/// Tasks that the cap of the team allows.
const CAP: usize = 4;

/// Returns two pools that belong to different shards.
fn pools() -> [String; 2] {
    let other = (0..)
        .map(|number| format!("pool-{number}"))
        .find(|name| shard(name, SHARDS) != shard("pool", SHARDS));
    ["pool".into(), other.expect("a pool of the other shard")]
}

fn configuration(version: u64, pools: &[String]) -> Config {
    let route = |pool: &String| Route {
        anonymous: false,
        host: "host".into(),
        prefix: format!("/{pool}/").into(),
        queue: Arc::new(Queue {
            name: pool.as_str().into(),
            pool: pool.as_str().into(),
            ..queue()
        }),
    };
    let team = Team {
        cap: Size::new(CAP as u64 * 1_000, 0),
        name: "team".into(),
        weight: 1.0,
    };
    Config {
        version,
        teams: Some(Directory::new(vec![(team, vec!["key".into()])])),
        routes: pools.iter().map(route).collect(),
        pools: BTreeSet::new(),
        terms: Terms::default(),
    }
}

fn log(pools: &[String]) -> Arc<Log> {
    let log = Arc::new(Log::default());
    let names = pools.iter().flat_map(|pool| {
        let name = move |number| (format!("{pool}-{number}"), pool);
        (0..4).map(name)
    });
    let list = names.map(|(id, pool)| worker(&id, pool)).collect();
    *log.list.lock().expect("the lock") = (list, Vec::new());
    log.workers.answering.store(true, Ordering::Relaxed);
    log.workers.reporting.store(true, Ordering::Relaxed);
    *log.config.lock().expect("the lock") = Some(configuration(1, pools));
    log
}

async fn launch(log: &Arc<Log>, name: &str) -> Process {
    let launched = Process::launch(log.clone(), |settings| {
        settings.node = name.into();
        settings.shards = SHARDS;
    });
    launched.await
}

fn submit(log: &Log, id: u64, pool: &str, count: u32) {
    let step = Step {
        count,
        size: Size::new(1_000, 1),
        ..Step::default()
    };
    let spec = Spec {
        steps: vec![step],
        team: Some("team".into()),
        ..Spec::default()
    };
    let record = Record::Submitted {
        id: Id(id),
        queue: pool.into(),
        spec: Arc::new(spec),
    };
    log.put(Stream::Jobs, shard(pool, SHARDS), &record);
}

/// Returns the number of tasks that workers were told to start.
fn started(log: &Log) -> usize {
    let tasks = log.workers.started_tasks.lock().expect("the lock");
    tasks.iter().collect::<BTreeSet<&Key>>().len()
}

/// Waits until a number of tasks have started, and returns the time that it took. The first one
/// starts once the owner has read its job from the log.
async fn wait_for_starts(log: &Log, count: usize) -> Duration {
    let began = Instant::now();
    while started(log) < count {
        assert!(
            began.elapsed() < Duration::from_secs(5),
            "{} of {count} tasks started",
            started(log)
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    began.elapsed()
}

/// Lets both pools compete for what is left and returns how many tasks have started.
async fn started_after_competition(log: &Log, pools: &[String]) -> usize {
    submit(log, 2, &pools[0], 8);
    submit(log, 3, &pools[1], 8);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    started(log)
}

/// A pool without work gives its part of the cap to the pool that has work, and both together never
/// use more than the cap. The second owner is that of an added pool.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_cap_holds_and_moves_between_owners_in_two_processes() {
    let pools = pools();
    let log = log(&pools);
    *log.config.lock().expect("the lock") = Some(configuration(1, &pools[..1]));
    let first = launch(&log, "first").await;
    first.wait_for_shards(1).await;
    let second = launch(&log, "second").await;
    tokio::time::sleep(memory::LINK_OPEN).await;
    *log.config.lock().expect("the lock") = Some(configuration(2, &pools));
    second.wait_for_shards(1).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    submit(&log, 1, &pools[1], 8);
    wait_for_starts(&log, 1).await;
    let took = wait_for_starts(&log, CAP).await;
    println!("the whole cap moved within {} ms", took.as_millis());
    assert_eq!(first.metrics.shards.get(), 1);
    assert_eq!(started_after_competition(&log, &pools).await, CAP);
}

/// The same for two shards of one process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_cap_holds_and_moves_between_owners_in_one_process() {
    let pools = pools();
    let log = log(&pools);
    let process = launch(&log, "only").await;
    process.wait_for_shards(2).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    submit(&log, 1, &pools[0], 8);
    wait_for_starts(&log, 1).await;
    let took = wait_for_starts(&log, CAP).await;
    println!("the whole cap moved within {} ms", took.as_millis());
    assert_eq!(started_after_competition(&log, &pools).await, CAP);
}

/// Without caps, no owner asks another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_is_sent_without_caps() {
    let pools = pools();
    let log = log(&pools);
    let mut config = configuration(1, &pools);
    config.teams = None;
    *log.config.lock().expect("the lock") = Some(config);
    let process = launch(&log, "only").await;
    process.wait_for_shards(2).await;
    submit(&log, 1, &pools[0], 30);
    wait_for_starts(&log, 16).await;
    assert_eq!(process.metrics.room_requests.get(), 0);
}

/// The owner that gave its part away is killed: its successor must not use that part again.
#[test]
fn the_successor_of_a_killed_giver_does_not_use_what_was_given() {
    let pools = pools();
    let log = log(&pools);
    let runtime = || tokio::runtime::Runtime::new().expect("a runtime");
    let (giver, other) = (runtime(), runtime());
    *log.config.lock().expect("the lock") = Some(configuration(1, &pools[..1]));
    giver.block_on(async {
        let process = launch(&log, "first").await;
        process.wait_for_shards(1).await;
    });
    let second = other.block_on(async {
        let process = launch(&log, "second").await;
        tokio::time::sleep(memory::LINK_OPEN).await;
        *log.config.lock().expect("the lock") = Some(configuration(2, &pools));
        process.wait_for_shards(1).await;
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        submit(&log, 1, &pools[1], 8);
        wait_for_starts(&log, CAP).await;
        process
    });
    giver.shutdown_background();
    other.block_on(async {
        submit(&log, 2, &pools[0], 8);
        second.wait_for_shards(2).await;
        // Longer than the time after which the successor may start tasks.
        tokio::time::sleep(Duration::from_millis(3_000)).await;
        assert_eq!(started(&log), CAP);
    });
}
