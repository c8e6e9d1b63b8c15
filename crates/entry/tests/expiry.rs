//! Guards against what changes of owner lose, or repeat, when the log expires its records.

#[path = "support/memory.rs"]
mod memory;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use memory::{Log, Process, route, submitted, submitted_steps, submitted_text, worker};
use rosemaryworks_entry::Lookup;
use rosemaryworks_entry::port::Stream;
use rosemaryworks_node::clock;
use rosemaryworks_workflow::{Id, Key, Outcome, Record, State, StepKey};
use tokio::runtime::{Builder, Runtime};

/// Retention time of the log in milliseconds. A takeover takes half of it.
const RETENTION_MS: u64 = 2_500;

/// A process that can be killed with all its tasks.
struct Killable {
    process: Process,
    runtime: Runtime,
}

impl Killable {
    /// Starts a process that owns the shard.
    fn start(log: &Arc<Log>, name: &str) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        let process = runtime.block_on(async {
            let process = Process::launch(log.clone(), |settings| {
                settings.node = name.into();
                settings.retention_ms = RETENTION_MS;
            });
            let process = process.await;
            process.wait_for_shards(1).await;
            process
        });
        Self { process, runtime }
    }

    fn kill(self) {
        self.runtime.shutdown_background();
    }

    fn state(&self, id: u64) -> Lookup {
        let node = self.process.node.clone();
        let deadline_ms = clock::now().0 + 2_000;
        let route = route();
        self.runtime
            .block_on(async { node.job_state(&route, Id(id), None, deadline_ms).await })
    }
}

fn log() -> Arc<Log> {
    let log = Arc::new(Log::default());
    log.retention_ms.store(RETENTION_MS, Ordering::Relaxed);
    log
}

/// Returns the record of the end of the only task of a job.
fn done(id: u64) -> Record {
    let step = StepKey {
        job: Id(id),
        occurrence: 0,
        step: 0,
    };
    Record::Ended {
        key: Key { step, index: 0 },
        attempt: 1,
        how: Outcome::Done,
        checkpoint: None,
    }
}

fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A job completed, and another one was cancelled. Their submissions were repeated later, so the
/// records of the ends expired first: the next owner started the jobs again.
#[test]
fn jobs_that_have_ended_dont_run_again_if_their_submissions_are_repeated() {
    let log = log();
    let list = vec![worker("w", "pool")];
    *log.list.lock().expect("the lock") = (list, Vec::new());
    log.workers.answering.store(true, Ordering::Relaxed);
    log.put(Stream::Jobs, 0, &submitted(Id(1)));
    log.put(Stream::Jobs, 0, &submitted(Id(2)));
    log.put(
        Stream::Jobs,
        0,
        &Record::Cancelled {
            id: Id(2),
            team: None,
        },
    );
    log.put(Stream::Progress, 0, &done(1));
    let owner = Killable::start(&log, "first");
    assert_eq!(owner.state(1), Lookup::State(State::Completed));
    assert_eq!(owner.state(2), Lookup::State(State::Cancelled));
    sleep(RETENTION_MS);
    log.put(Stream::Jobs, 0, &submitted(Id(1)));
    log.put(Stream::Jobs, 0, &submitted(Id(2)));
    owner.kill();
    let successor = Killable::start(&log, "second");
    assert_eq!(successor.state(1), Lookup::State(State::Completed));
    assert_eq!(successor.state(2), Lookup::State(State::Cancelled));
    sleep(500);
    let started = log.workers.started.lock().expect("the lock").clone();
    assert!(started.is_empty(), "started again on {started:?}");
    successor.kill();
}

/// The state of a job that has ended is kept for a time that may be longer than the retention time of
/// the log: callers got the answer that their completed job doesn't exist.
#[test]
fn the_final_state_of_a_job_outlives_its_records() {
    let log = log();
    log.put(Stream::Jobs, 0, &submitted(Id(1)));
    log.put(Stream::Progress, 0, &done(1));
    let owner = Killable::start(&log, "first");
    sleep(RETENTION_MS);
    owner.kill();
    let successor = Killable::start(&log, "second");
    assert_eq!(successor.state(1), Lookup::State(State::Completed));
    successor.kill();
}

/// The owners changed more often than they republished open jobs: the records expired, and the tasks
/// were stopped.
#[test]
fn open_jobs_outlive_owners_that_are_killed_one_after_the_other() {
    let log = log();
    log.put(Stream::Jobs, 0, &submitted(Id(1)));
    for number in 0..5 {
        let owner = Killable::start(&log, &format!("owner-{number}"));
        assert_eq!(owner.state(1), Lookup::State(State::Pending));
        sleep(RETENTION_MS / 4);
        owner.kill();
    }
}

/// No process was there for longer than the retention time of the log. The job continues where it was.
#[test]
fn open_jobs_outlive_a_time_without_processes() {
    let log = log();
    let list = vec![worker("w", "pool")];
    *log.list.lock().expect("the lock") = (list, Vec::new());
    log.workers.answering.store(true, Ordering::Relaxed);
    log.put(Stream::Jobs, 0, &submitted_steps(Id(1), 2));
    log.put(Stream::Progress, 0, &done(1));
    let starts = || log.workers.started.lock().expect("the lock").len();
    for name in ["first", "second"] {
        let before = starts();
        let owner = Killable::start(&log, name);
        assert_eq!(owner.state(1), Lookup::State(State::Running));
        sleep(RETENTION_MS / 2);
        owner.kill();
        assert!(starts() > before, "{name} doesn't start the second step");
        sleep(RETENTION_MS);
    }
    let tasks = log.workers.started_tasks.lock().expect("the lock");
    let is_second = |key: &Key| key.step.step == 1;
    assert!(tasks.iter().all(is_second), "the first step runs again");
}

/// The open jobs are larger than an append may be. The log rejected their snapshot, and each owner in
/// turn gave the shard up.
#[test]
fn open_jobs_outlive_their_records_if_they_are_larger_than_an_append() {
    const JOBS: u64 = 300;
    let log = log();
    for id in 0..JOBS {
        log.put(Stream::Jobs, 0, &submitted_text(Id(id), 10_000));
    }
    let owner = Killable::start(&log, "first");
    sleep(RETENTION_MS);
    assert_eq!(log.newest_claim_epoch(), 1, "the owner gave the shard up");
    owner.kill();
    let successor = Killable::start(&log, "second");
    for id in 0..JOBS {
        assert_eq!(successor.state(id), Lookup::State(State::Pending));
    }
    successor.kill();
}
