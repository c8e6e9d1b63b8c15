//! Faults chosen by a seed, one after the other and at the same time.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::callers::Scene;
use crate::log::Log;
use crate::proxy::Mode;
use crate::run::publish;
use crate::worker::Worker;

/// Everything that faults act on.
pub(crate) struct Stage {
    pub(crate) scene: Arc<Scene>,
    pub(crate) log: Arc<Log>,
    pub(crate) workers: Vec<Arc<Worker>>,
    pub(crate) versions: std::sync::atomic::AtomicU64,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    KillAll,
    Stop,
    Pause,
    Reload,
    LogRefuses,
    LogSlow,
    LogLosesAnswers,
    LogCut(Mode),
    WorkerCrash,
    WorkerLink(Mode),
    WorkersLoseAnswers,
    Revision,
}

const FAULTS: [Fault; 21] = [
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
    Fault::WorkersLoseAnswers,
    Fault::Revision,
];

impl Stage {
    /// Plays faults for `length`. Returns what was played.
    pub(crate) async fn play(self: Arc<Self>, seed: u64, length: Duration) -> Vec<String> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let until = tokio::time::Instant::now() + length;
        let mut played = Vec::new();
        let mut running = tokio::task::JoinSet::new();
        while tokio::time::Instant::now() < until {
            let fault = FAULTS[rng.random_range(0..FAULTS.len())];
            let (target, ms) = (rng.random::<u32>() as usize, rng.random_range(300..3_000));
            let at_ms = self.scene.history.now_ms();
            played.push(format!("{at_ms} ms: {fault:?} target {target} for {ms} ms"));
            running.spawn(self.clone().carry_out(fault, target, ms));
            tokio::time::sleep(Duration::from_millis(rng.random_range(50..1_500))).await;
        }
        while running.join_next().await.is_some() {}
        played
    }

    async fn carry_out(self: Arc<Self>, fault: Fault, target: usize, ms: u64) {
        let pause = Duration::from_millis(ms);
        let process = self.scene.processes[target % self.scene.processes.len()].clone();
        let worker = self.workers[target % self.workers.len()].clone();
        if matches!(
            fault,
            Fault::Kill | Fault::Stop | Fault::Pause | Fault::Reload
        ) && !process.take()
        {
            return;
        }
        match fault {
            Fault::Kill => {
                process.kill();
                tokio::time::sleep(pause).await;
                process.spawn();
            }
            Fault::KillAll => {
                let taken: Vec<_> = self
                    .scene
                    .processes
                    .iter()
                    .filter(|process| process.take())
                    .collect();
                taken.iter().for_each(|process| process.kill());
                tokio::time::sleep(pause / 2).await;
                taken.iter().for_each(|process| {
                    process.spawn();
                    process.give_back();
                });
                return;
            }
            Fault::Stop => {
                if let Some(what) = process.stop().await {
                    self.scene.history.violate(what);
                }
                process.spawn();
            }
            Fault::Pause => {
                process.signal("-STOP");
                tokio::time::sleep(pause).await;
                process.signal("-CONT");
            }
            Fault::Reload => process.signal("-HUP"),
            Fault::LogRefuses => {
                self.log.refuses.fetch_add(1, Ordering::Relaxed);
                tokio::time::sleep(pause).await;
                self.log.refuses.fetch_sub(1, Ordering::Relaxed);
                return;
            }
            Fault::LogSlow => {
                self.log.slow_ms.store(200, Ordering::Relaxed);
                tokio::time::sleep(pause).await;
                self.log.slow_ms.store(0, Ordering::Relaxed);
                return;
            }
            Fault::LogLosesAnswers => {
                self.log.loses_percent.store(30, Ordering::Relaxed);
                tokio::time::sleep(pause).await;
                self.log.loses_percent.store(0, Ordering::Relaxed);
                return;
            }
            Fault::LogCut(mode) => {
                process.log.set(mode);
                tokio::time::sleep(pause).await;
                process.log.set(Mode::Pass);
                return;
            }
            Fault::WorkerCrash => {
                worker.crash();
                tokio::time::sleep(pause).await;
                worker.revive(&self.log).await;
                return;
            }
            Fault::WorkerLink(mode) => {
                worker.proxy.set(mode);
                tokio::time::sleep(pause).await;
                worker.proxy.set(Mode::Pass);
                return;
            }
            Fault::WorkersLoseAnswers => {
                let set = |percent| {
                    for worker in &self.workers {
                        worker.loses_percent.store(percent, Ordering::Relaxed);
                    }
                };
                set(8);
                tokio::time::sleep(pause).await;
                set(0);
                return;
            }
            Fault::Revision => {
                let version = self.versions.fetch_add(3, Ordering::Relaxed);
                publish(self.scene.protocol.as_ref(), &self.log, version);
                return;
            }
        }
        process.give_back();
    }
}
