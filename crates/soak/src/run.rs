//! Runs of the soak test, one per seed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use rosemaryworks_node::http::Client;
use rosemaryworks_workflow::{AdviceTerms, Queue};

use crate::callers::Context;
use crate::faults::{Injector, Mix};
use crate::history::{History, MAX_ATTEMPTS};
use crate::layout::Layout;
use crate::log::Log;
use crate::network::View;
use crate::permit::{self, Permits};
use crate::process::Process;
use crate::protocol::Protocol;
use crate::server;
use crate::worker::{Services, Worker};

const CALLER_COUNT: u64 = 6;

/// Retention time of the log, as in the deployments of the users. Two thirds of it are longer than the
/// longest fault, which may cut all processes off from the log, and a takeover.
pub(crate) const RETENTION: Duration = Duration::from_secs(20);

/// Time for the processes to start.
const STARTUP_TIME: Duration = Duration::from_millis(1_500);

/// Wait after the last fault before the first check for unfinished jobs: some jobs are still being
/// submitted.
const SUBMISSION_WAIT: Duration = Duration::from_secs(2);

/// Time after the last fault in which every accepted job must end: a lease of at most 10 s on the
/// slowest clock, a takeover, the longest job, its failed runs and the pauses before their retries.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(40);

/// Number of the next run of this program. Several tests may run the same seed at the same time.
static NEXT_RUN: AtomicU64 = AtomicU64::new(0);

/// Publishes a configuration revision. Its service level objective includes the
/// version, so that revisions differ.
pub(crate) fn publish_configuration(
    protocol: &dyn Protocol,
    layout: &Layout,
    log: &Log,
    version: u64,
) {
    let queue = |pool: &Arc<str>| Queue {
        max_attempts: MAX_ATTEMPTS,
        advice: Some(AdviceTerms {
            call_ms: 15.0,
            worker_ms: 0.1,
            validity_ms: permit::VALIDITY_MS,
        }),
        name: pool.clone(),
        pool: pool.clone(),
        priority: 0,
        slack_factor: 1.5,
        slo_ms: 250 + version,
    };
    let queues: Vec<Queue> = layout.pools.iter().map(queue).collect();
    protocol.publish_configuration(log, version, &queues);
}

/// Runs one seed and injects faults for `duration`. Returns the violations.
///
/// # Panics
///
/// Panics if a part of the soak test can't be started, or if no job was accepted or run.
pub async fn run(
    protocol: Arc<dyn Protocol>,
    mix: Mix,
    seed: u64,
    duration: Duration,
) -> Vec<String> {
    let number = NEXT_RUN.fetch_add(1, Ordering::Relaxed);
    let name = format!("soak-{}-{number}-seed-{seed}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("can't create the soak folder");
    let history = Arc::new(History::new());
    let log = Arc::new(Log::new(RETENTION));
    let layout = Layout::of_seed(seed);
    publish_configuration(protocol.as_ref(), &layout, &log, 1);
    let (listener, advisor) = server::bind().await;
    let permits = Arc::new(Permits::default());
    tokio::spawn(server::serve(listener, protocol.advisor(permits.clone())));
    let mut workers = Vec::new();
    for index in 0..layout.workers {
        let services = Services {
            history: history.clone(),
            permits: permits.clone(),
            protocol: protocol.clone(),
        };
        let seed = seed * 1_000 + index as u64;
        workers.push(Worker::start(index, seed, &layout, services, &log).await);
    }
    let mut processes = Vec::new();
    for index in 0..layout.processes {
        let (listener, log_address) = server::bind().await;
        let view = View::new(log.clone(), index);
        tokio::spawn(server::serve(listener, protocol.log(view)));
        let prepared = Process::prepare(
            index,
            &layout,
            &folder,
            log_address,
            advisor,
            protocol.as_ref(),
        );
        processes.push(Arc::new(prepared.await));
    }
    // A process may connect to any other as soon as it runs.
    processes.iter().for_each(|process| process.spawn());
    let context = Arc::new(Context {
        history: history.clone(),
        protocol,
        processes,
        client: Client::start(2),
        layout,
        load: mix.load(),
        submitting: AtomicBool::new(true),
    });
    tokio::time::sleep(STARTUP_TIME).await;
    for index in 0..CALLER_COUNT {
        tokio::spawn(context.clone().run_caller(seed * 1_000 + index));
    }
    let injector = Arc::new(Injector {
        context: context.clone(),
        log,
        workers,
        next_version: AtomicU64::new(2),
    });
    let injected = injector.clone().inject(mix, seed, duration).await;
    context.submitting.store(false, Ordering::Relaxed);
    await_completion(&context).await;
    // Callers may still hold the processes when this program exits.
    context.processes.iter().for_each(|process| process.kill());
    let (violations, accepted, runs) = history.summary();
    println!(
        "seed {seed}: {} faults, {accepted} jobs accepted, {runs} runs, {} violations",
        injected.len(),
        violations.len()
    );
    let exempt = history.exempt();
    if mix == Mix::Standstill {
        println!("  {} second runs after standstills", exempt.len());
    }
    if mix == Mix::Restarts {
        println!("  {}", history.describe_lives());
    }
    if violations.is_empty() {
        // The logs of a passing run aren't needed. A folder that can't be removed does no harm.
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        let (injected, violated) = (injected.join("\n"), violations.join("\n"));
        let notes = history.notes().join("\n");
        std::fs::write(folder.join("workers.log"), notes).expect("can't write to the soak folder");
        println!("logs: {}\n{injected}\n{violated}", folder.display());
    }
    assert!(
        accepted > 0 && runs > 0,
        "seed {seed} is vacuous: no job was accepted or run"
    );
    violations
}

/// Waits until every accepted job has ended or [`COMPLETION_TIMEOUT`] has elapsed. Records a
/// violation for each process that exited and each unfinished job.
async fn await_completion(context: &Context) {
    let history = &context.history;
    let until = tokio::time::Instant::now() + COMPLETION_TIMEOUT;
    tokio::time::sleep(SUBMISSION_WAIT).await;
    while !history.unfinished_jobs().is_empty() && tokio::time::Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    for process in &context.processes {
        if let Some(description) = process.unexpected_exit() {
            history.add_violation(description);
        }
    }
    for id in history.unfinished_jobs() {
        history.add_violation(format!("{id} has not ended: {}", history.describe_job(id)));
    }
}

/// Runs seeds one after the other.
///
/// # Panics
///
/// Panics after the last seed if any seed had violations.
pub fn run_all(
    protocol: &Arc<dyn Protocol>,
    mix: Mix,
    seeds: impl IntoIterator<Item = u64>,
    duration: Duration,
) {
    let mut failed = Vec::new();
    for seed in seeds {
        // The stand-ins of a seed end with its runtime; their timers would slow down later seeds.
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("can't start the runtime");
        let violations = runtime.block_on(run(protocol.clone(), mix, seed, duration));
        runtime.shutdown_background();
        if !violations.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds with violations: {failed:?}");
}
