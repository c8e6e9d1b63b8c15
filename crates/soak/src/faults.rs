//! Fault injection: a seed selects faults, their targets and their durations. Faults may overlap.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::callers::Context;
use crate::log::Log;
use crate::proxy::Mode;
use crate::run::publish_configuration;
use crate::worker::Worker;

/// Injects faults into the processes, the log and the workers.
pub(crate) struct Injector {
    pub(crate) context: Arc<Context>,
    pub(crate) log: Arc<Log>,
    pub(crate) workers: Vec<Arc<Worker>>,
    pub(crate) next_version: std::sync::atomic::AtomicU64,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Kills a process and starts it again.
    Kill,
    /// Kills every process without another fault and starts them again.
    KillAll,
    /// Shuts a process down gracefully and starts it again.
    Stop,
    /// Suspends a process.
    Pause,
    /// Sends SIGHUP to a process.
    Reload,
    /// The log rejects every call.
    LogRefuses,
    /// The log delays every call.
    LogSlow,
    /// The log drops some append responses.
    LogLosesAnswers,
    /// Network fault between a process and the log.
    LogCut(Mode),
    /// Crashes a worker and starts it again.
    WorkerCrash,
    /// Network fault of the connections to a worker.
    WorkerLink(Mode),
    /// All workers drop some responses.
    WorkersLoseAnswers,
    /// Publishes a configuration revision.
    Revision,
}

/// Faults to select from with equal probability; an entry that is listed twice is twice as likely.
const FAULTS: [Fault; 23] = [
    Fault::Kill,
    Fault::Kill,
    Fault::KillAll,
    Fault::Stop,
    Fault::Stop,
    Fault::Pause,
    Fault::Pause,
    Fault::Reload,
    Fault::LogRefuses,
    Fault::LogSlow,
    Fault::LogLosesAnswers,
    Fault::LogCut(Mode::Silent),
    Fault::LogCut(Mode::Reset),
    Fault::LogCut(Mode::OneWay),
    Fault::LogCut(Mode::Delay(60)),
    Fault::WorkerCrash,
    Fault::WorkerLink(Mode::Silent),
    Fault::WorkerLink(Mode::OneWay),
    Fault::WorkerLink(Mode::Delay(120)),
    Fault::WorkerLink(Mode::Refuse),
    Fault::WorkerLink(Mode::Reset),
    Fault::WorkersLoseAnswers,
    Fault::Revision,
];

impl Injector {
    /// Injects faults for `duration`. Returns a description of each.
    pub(crate) async fn inject(self: Arc<Self>, seed: u64, duration: Duration) -> Vec<String> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let until = tokio::time::Instant::now() + duration;
        let mut injected = Vec::new();
        let mut running = tokio::task::JoinSet::new();
        while tokio::time::Instant::now() < until {
            let fault = FAULTS[rng.random_range(0..FAULTS.len())];
            let (target, ms) = (rng.random::<u32>() as usize, rng.random_range(300..3_000));
            let at_ms = self.context.history.now_ms();
            injected.push(format!("{at_ms} ms: {fault:?} target {target} for {ms} ms"));
            running.spawn(self.clone().apply(fault, target, ms));
            tokio::time::sleep(Duration::from_millis(rng.random_range(50..1_500))).await;
        }
        while running.join_next().await.is_some() {}
        injected
    }

    async fn apply(self: Arc<Self>, fault: Fault, target: usize, ms: u64) {
        let duration = Duration::from_millis(ms);
        let process = self.context.processes[target % self.context.processes.len()].clone();
        let worker = self.workers[target % self.workers.len()].clone();
        if matches!(
            fault,
            Fault::Kill | Fault::Stop | Fault::Pause | Fault::Reload
        ) && !process.reserve()
        {
            return;
        }
        match fault {
            Fault::Kill => {
                process.kill();
                tokio::time::sleep(duration).await;
                process.spawn();
            }
            Fault::KillAll => {
                let reserved: Vec<_> = self
                    .context
                    .processes
                    .iter()
                    .filter(|process| process.reserve())
                    .collect();
                reserved.iter().for_each(|process| process.kill());
                tokio::time::sleep(duration / 2).await;
                reserved.iter().for_each(|process| {
                    process.spawn();
                    process.release();
                });
                return;
            }
            Fault::Stop => {
                if let Some(description) = process.stop().await {
                    self.context.history.add_violation(description);
                }
                process.spawn();
            }
            Fault::Pause => {
                process.signal("-STOP");
                tokio::time::sleep(duration).await;
                process.signal("-CONT");
            }
            Fault::Reload => process.signal("-HUP"),
            Fault::LogRefuses => {
                self.log.rejecting_faults.fetch_add(1, Ordering::Relaxed);
                tokio::time::sleep(duration).await;
                self.log.rejecting_faults.fetch_sub(1, Ordering::Relaxed);
                return;
            }
            Fault::LogSlow => {
                self.log.delay_ms.store(200, Ordering::Relaxed);
                tokio::time::sleep(duration).await;
                self.log.delay_ms.store(0, Ordering::Relaxed);
                return;
            }
            Fault::LogLosesAnswers => {
                self.log.dropped_percent.store(30, Ordering::Relaxed);
                tokio::time::sleep(duration).await;
                self.log.dropped_percent.store(0, Ordering::Relaxed);
                return;
            }
            Fault::LogCut(mode) => {
                process.log_proxy.set(mode);
                tokio::time::sleep(duration).await;
                process.log_proxy.set(Mode::Pass);
                return;
            }
            Fault::WorkerCrash => {
                worker.crash();
                tokio::time::sleep(duration).await;
                worker.restart(&self.log).await;
                return;
            }
            Fault::WorkerLink(mode) => {
                worker.proxy.set(mode);
                tokio::time::sleep(duration).await;
                worker.proxy.set(Mode::Pass);
                return;
            }
            Fault::WorkersLoseAnswers => {
                let set = |percent| {
                    for worker in &self.workers {
                        worker.dropped_percent.store(percent, Ordering::Relaxed);
                    }
                };
                set(8);
                tokio::time::sleep(duration).await;
                set(0);
                return;
            }
            Fault::Revision => {
                let version = self.next_version.fetch_add(3, Ordering::Relaxed);
                publish_configuration(self.context.protocol.as_ref(), &self.log, version);
                return;
            }
        }
        process.release();
    }
}
