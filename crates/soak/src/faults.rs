//! Fault injection: a seed selects faults, their targets and their durations. Faults may overlap.

mod mix;
mod recut;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::callers::Context;
use crate::faults::mix::Fault;
pub use crate::faults::mix::Mix;
use crate::log::Log;
use crate::proxy::{Imposition, Mode};
use crate::run::publish_configuration;
use crate::worker::{Incarnation, Worker};

/// Injects faults into the processes, the log and the workers.
pub(crate) struct Injector {
    pub(crate) context: Arc<Context>,
    pub(crate) log: Arc<Log>,
    pub(crate) workers: Vec<Arc<Worker>>,
    pub(crate) next_version: std::sync::atomic::AtomicU64,
}

/// What a fault applies to.
#[derive(Clone, Copy, Debug)]
struct Target {
    /// Number of a process.
    process: usize,
    /// Selects a worker or a further process.
    number: usize,
    /// Bits that select groups of processes and workers.
    group: u32,
    /// Duration.
    ms: u64,
}

impl Target {
    /// Returns the duration.
    fn duration(self) -> Duration {
        Duration::from_millis(self.ms)
    }

    /// Returns a duration from 3.6 to 9 s. It may be longer than a takeover and a lease together.
    fn long_duration(self) -> Duration {
        Duration::from_millis(3_000 + self.ms * 2)
    }

    /// Returns whether a worker belongs to the group.
    fn has_worker(self, index: usize) -> bool {
        self.group >> index & 1 == 1
    }

    /// Returns whether the bit of a process is set.
    fn has_process(self, index: usize) -> bool {
        self.group >> (16 + index) & 1 == 1
    }
}

impl Injector {
    /// Injects faults for `duration`. Returns a description of each.
    pub(crate) async fn inject(
        self: Arc<Self>,
        mix: Mix,
        seed: u64,
        duration: Duration,
    ) -> Vec<String> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (faults, pause_max_ms) = mix.faults(seed);
        let until = tokio::time::Instant::now() + duration;
        let mut injected = Vec::new();
        let mut running = tokio::task::JoinSet::new();
        while tokio::time::Instant::now() < until {
            let fault = faults[rng.random_range(0..faults.len())];
            let target = Target {
                process: self.select_process(&mut rng),
                number: rng.random::<u32>() as usize,
                group: rng.random(),
                ms: rng.random_range(300..3_000),
            };
            let at_ms = self.context.history.now_ms();
            injected.push(format!("{at_ms} ms: {fault:?} {target:?}"));
            running.spawn(self.clone().apply(fault, target));
            tokio::time::sleep(Duration::from_millis(rng.random_range(50..pause_max_ms))).await;
        }
        while running.join_next().await.is_some() {}
        injected
    }

    /// Selects the process that took over a shard last, or any with equal probability.
    fn select_process(&self, rng: &mut SmallRng) -> usize {
        let any = rng.random_range(0..self.context.processes.len());
        match rng.random() {
            true => any,
            false => self.log.last_claimant.load(Ordering::Relaxed),
        }
    }

    /// Returns the group of processes of a target, which is neither empty nor complete.
    fn zone(&self, target: Target) -> BTreeSet<usize> {
        let (first, count) = (target.process, self.context.processes.len());
        let mut zone: BTreeSet<usize> = (0..count)
            .filter(|index| *index == first || target.has_process(*index))
            .collect();
        if zone.len() == count {
            zone.remove(&((first + 1) % count));
        }
        zone
    }

    /// Imposes a fault on the links between two processes, in both directions.
    fn cut_peers(&self, one: usize, other: usize, mode: Mode) -> Vec<Imposition> {
        let mut cuts = Vec::new();
        for (from, to) in [(one, other), (other, one)] {
            let links = &self.context.processes[to].links;
            let proxies = links.iter().filter(|(index, _)| *index == from);
            cuts.extend(proxies.map(|(_, proxy)| proxy.impose(mode)));
        }
        cuts
    }

    /// Imposes a fault on the connections between a process and the workers of a group, or the workers
    /// outside of it.
    fn cut_workers(
        &self,
        process: usize,
        target: Target,
        inside: bool,
        mode: Mode,
    ) -> Vec<Imposition> {
        let workers = (0..).zip(&self.workers);
        let cut = workers.filter(|(index, _)| target.has_worker(*index) == inside);
        cut.map(|(_, worker)| worker.proxies[process].impose(mode))
            .collect()
    }

    /// Cuts a group of processes off. `others` says whether the other processes lose the workers that
    /// the group keeps.
    fn cut_zone(&self, target: Target, others: bool, mode: Mode) -> Vec<Imposition> {
        let zone = self.zone(target);
        let mut cuts = Vec::new();
        for index in 0..self.context.processes.len() {
            if zone.contains(&index) {
                cuts.push(self.context.processes[index].log_proxy.impose(mode));
                cuts.extend(self.cut_workers(index, target, true, mode));
                continue;
            }
            for member in &zone {
                cuts.extend(self.cut_peers(*member, index, mode));
            }
            if others {
                cuts.extend(self.cut_workers(index, target, false, mode));
            }
        }
        cuts
    }

    /// Suspends processes for a while. Processes under another fault are left out.
    async fn pause(&self, indices: impl Iterator<Item = usize>, duration: Duration) {
        let processes = indices.map(|index| &self.context.processes[index]);
        let reserved: Vec<_> = processes.filter(|process| process.reserve()).collect();
        reserved.iter().for_each(|process| process.signal("-STOP"));
        tokio::time::sleep(duration).await;
        reserved.iter().for_each(|process| {
            process.signal("-CONT");
            process.release();
        });
    }

    async fn pause_and_takeover(&self, target: Target, mode: Mode) {
        let paused = target.process;
        let others = (0..self.context.processes.len()).filter(|index| *index != paused);
        let cuts: Vec<Imposition> = others
            .flat_map(|index| self.cut_workers(index, target, true, mode))
            .collect();
        // Shorter than a lease, so that work goes on that the successor counts as lost.
        let pause = Duration::from_millis(2_000 + target.ms * 6 / 10);
        self.pause(std::iter::once(paused), pause).await;
        tokio::time::sleep(target.long_duration()).await;
        drop(cuts);
    }

    async fn kill_all(&self, duration: Duration) {
        let processes = self.context.processes.iter();
        let reserved: Vec<_> = processes.filter(|process| process.reserve()).collect();
        reserved.iter().for_each(|process| process.kill());
        tokio::time::sleep(duration).await;
        reserved.iter().for_each(|process| {
            process.spawn();
            process.release();
        });
    }

    /// Shuts a process down gracefully and starts it again.
    async fn stop(&self, index: usize) {
        let process = &self.context.processes[index];
        if !process.reserve() {
            return;
        }
        if let Some(description) = process.stop().await {
            self.context.history.add_violation(description);
        }
        process.spawn();
        process.release();
    }

    /// Kills a process and starts it again after `duration`.
    async fn kill(&self, index: usize, duration: Duration) {
        let process = &self.context.processes[index];
        if !process.reserve() {
            return;
        }
        process.kill();
        tokio::time::sleep(duration).await;
        process.spawn();
        process.release();
    }

    fn reload(&self, target: Target) {
        let process = &self.context.processes[target.process];
        if process.reserve() {
            process.signal("-HUP");
            process.release();
        }
    }

    /// Sets the percentage of responses that all workers drop.
    fn drop_responses(&self, percent: u32) {
        for worker in &self.workers {
            worker.dropped_percent.store(percent, Ordering::Relaxed);
        }
    }

    async fn pause_worker(
        &self,
        worker: &Worker,
        suspend: impl FnOnce(&Incarnation),
        duration: Duration,
    ) {
        let Some(incarnation) = worker.incarnation() else {
            return;
        };
        let held = worker.impose(Mode::Silent);
        suspend(&incarnation);
        tokio::time::sleep(duration).await;
        incarnation.resume();
        drop(held);
    }

    fn publish_revision(&self) {
        let version = self.next_version.fetch_add(3, Ordering::Relaxed);
        let context = &self.context;
        publish_configuration(
            context.protocol.as_ref(),
            &context.layout,
            &self.log,
            version,
        );
    }

    async fn apply(self: Arc<Self>, fault: Fault, target: Target) {
        let duration = target.duration();
        let index = target.process;
        let process = &self.context.processes[index];
        let worker = &self.workers[target.number % self.workers.len()];
        match fault {
            Fault::Kill => self.kill(index, duration).await,
            Fault::Stop => self.stop(index).await,
            Fault::KillAll => self.kill_all(duration / 2).await,
            Fault::Pause => self.pause(std::iter::once(index), duration).await,
            Fault::PauseGroup => self.pause(self.zone(target).into_iter(), duration).await,
            Fault::PauseAndTakeover(mode) => self.pause_and_takeover(target, mode).await,
            Fault::Reload => self.reload(target),
            Fault::LogRefuses => {
                self.log.rejecting_faults.fetch_add(1, Ordering::Relaxed);
                tokio::time::sleep(duration).await;
                self.log.rejecting_faults.fetch_sub(1, Ordering::Relaxed);
            }
            Fault::LogSlow => {
                self.log.delay_ms.store(200, Ordering::Relaxed);
                tokio::time::sleep(duration).await;
                self.log.delay_ms.store(0, Ordering::Relaxed);
            }
            Fault::LogLosesAnswers => {
                self.log.dropped_percent.store(30, Ordering::Relaxed);
                tokio::time::sleep(duration).await;
                self.log.dropped_percent.store(0, Ordering::Relaxed);
            }
            Fault::LogCut(mode) => hold(vec![process.log_proxy.impose(mode)], duration).await,
            Fault::PeerCut(mode) => {
                let count = self.context.processes.len();
                let other = (index + 1 + target.number % (count - 1)) % count;
                hold(self.cut_peers(index, other, mode), duration).await;
            }
            Fault::ZoneCut(mode) => {
                hold(self.cut_zone(target, false, mode), target.long_duration()).await;
            }
            Fault::Split(mode) => {
                hold(self.cut_zone(target, true, mode), target.long_duration()).await;
            }
            Fault::WorkerCrash => {
                worker.crash();
                tokio::time::sleep(duration).await;
                worker.restart(&self.log).await;
            }
            Fault::WorkerRestart => {
                self.start_again(&[worker], target).await;
            }
            Fault::Recut(supersede) => self.recut(target, supersede).await,
            Fault::WorkersLate => {
                let late: Vec<_> = self.workers.iter().map(|worker| worker.delay()).collect();
                tokio::time::sleep(duration).await;
                drop(late);
            }
            Fault::WorkerPause => {
                let paused =
                    self.pause_worker(worker, Incarnation::suspend, target.long_duration());
                paused.await;
            }
            Fault::WorkerStandstill => {
                let paused =
                    self.pause_worker(worker, Incarnation::stand_still, target.long_duration());
                paused.await;
            }
            Fault::WorkerLink(mode) => hold(worker.impose(mode), duration).await,
            Fault::WorkerGroupCut(mode) => {
                let cuts = self.cut_workers(index, target, true, mode);
                hold(cuts, target.long_duration()).await;
            }
            Fault::WorkersLoseAnswers => {
                self.drop_responses(8);
                tokio::time::sleep(duration).await;
                self.drop_responses(0);
            }
            Fault::Revision => self.publish_revision(),
        }
    }
}

/// Keeps network faults for a while.
async fn hold(faults: Vec<Imposition>, duration: Duration) {
    tokio::time::sleep(duration).await;
    drop(faults);
}
