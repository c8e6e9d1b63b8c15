//! Plays a seed from start to end.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use rosemaryworks_node::http::Client;
use rosemaryworks_workflow::{AdviceTerms, Queue};

use crate::callers::Scene;
use crate::history::{ATTEMPTS, History};
use crate::log::Log;
use crate::plan::Stage;
use crate::process::Process;
use crate::protocol::Protocol;
use crate::server;
use crate::worker::{POOL, Worker};

const PROCESSES: usize = 3;
const WORKERS: usize = 6;
const CALLERS: u64 = 6;

/// Time for the processes to start.
const START: Duration = Duration::from_millis(1_500);

/// Time after the last fault before states are looked at: some jobs are still being handed in.
const LAST_JOBS: Duration = Duration::from_secs(2);

/// Time after the last fault in which every accepted job must end: the longest lease of 6 s on the
/// slowest clock, a takeover, the longest job of two steps, its failed runs and their pauses.
const SETTLE: Duration = Duration::from_secs(25);

/// Publishes a revision of the configuration.
pub(crate) fn publish(protocol: &dyn Protocol, log: &Log, version: u64) {
    let queue = Queue {
        max_attempts: ATTEMPTS,
        advice: Some(AdviceTerms {
            call_ms: 15.0,
            worker_ms: 0.1,
            validity_ms: 2_000,
        }),
        name: "jobs".into(),
        pool: POOL.into(),
        priority: 0,
        slack_factor: 1.5,
        slo_ms: 250 + version,
    };
    protocol.publish_configuration(log, version, &queue);
}

/// Plays one seed with faults for `length`. Returns what was violated.
///
/// # Panics
///
/// Panics if the parts of the soak can't be started, or if no job ran.
pub async fn run(protocol: Arc<dyn Protocol>, seed: u64, length: Duration) -> Vec<String> {
    let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a writable folder");
    let history = Arc::new(History::new());
    let log = Arc::new(Log::default());
    publish(protocol.as_ref(), &log, 1);
    let (listener, log_address) = server::bind().await;
    tokio::spawn(server::serve(listener, protocol.log(log.clone())));
    let (listener, advisor) = server::bind().await;
    tokio::spawn(server::serve(listener, protocol.advisor()));
    let mut workers = Vec::new();
    for index in 0..WORKERS {
        let started = Worker::start(index, history.clone(), protocol.clone(), &log);
        workers.push(started.await);
    }
    let mut processes = Vec::new();
    for index in 0..PROCESSES {
        let prepared =
            Process::prepare(index, &folder, log_address, advisor, protocol.as_ref()).await;
        prepared.spawn();
        processes.push(Arc::new(prepared));
    }
    let scene = Arc::new(Scene {
        history: history.clone(),
        protocol,
        processes,
        client: Client::start(2),
        open: AtomicBool::new(true),
    });
    tokio::time::sleep(START).await;
    for index in 0..CALLERS {
        tokio::spawn(scene.clone().call(seed * 1_000 + index));
    }
    let stage = Arc::new(Stage {
        scene: scene.clone(),
        log,
        workers,
        versions: AtomicU64::new(2),
    });
    let played = stage.clone().play(seed, length).await;
    scene.open.store(false, Ordering::Relaxed);
    settle(&scene).await;
    let (violations, accepted, runs) = history.result();
    println!(
        "seed {seed}: {} faults, {accepted} jobs accepted, {runs} runs, {} violations",
        played.len(),
        violations.len()
    );
    if violations.is_empty() {
        // Logs of a good run tell nothing more. A folder that stays takes no harm.
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        let (played, violated) = (played.join("\n"), violations.join("\n"));
        println!("logs: {}\n{played}\n{violated}", folder.display());
    }
    assert!(accepted > 0 && runs > 0, "seed {seed} is vacuous");
    violations
}

/// Waits until every accepted job has ended, and notes what is left.
async fn settle(scene: &Scene) {
    let history = &scene.history;
    let until = tokio::time::Instant::now() + SETTLE;
    tokio::time::sleep(LAST_JOBS).await;
    while !history.open().is_empty() && tokio::time::Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    for process in &scene.processes {
        if let Some(what) = process.ended_by_itself() {
            history.violate(what);
        }
    }
    for id in history.open() {
        history.violate(format!("{id} has not ended: {}", history.story(id)));
    }
}

/// Plays seeds one after the other.
///
/// # Panics
///
/// Panics if a seed has violations, once all were played.
pub fn run_all(
    protocol: &Arc<dyn Protocol>,
    seeds: impl IntoIterator<Item = u64>,
    length: Duration,
) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let mut failed = Vec::new();
    for seed in seeds {
        let violations = runtime.block_on(run(protocol.clone(), seed, length));
        if !violations.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds with violations: {failed:?}");
}
