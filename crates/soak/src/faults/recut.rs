//! Workers that start again and are cut off soon after, while their owner is superseded.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::faults::{Injector, Target, hold};
use crate::proxy::{Imposition, Mode};
use crate::worker::Worker;

/// Time before the workers start again from which some calls are carried out late. Longer than the
/// shortest delay, so that some of them reach the next life as it starts.
const LATE_BEFORE: Duration = Duration::from_millis(2_500);

/// Time from the loss of the owner until the workers are cut off.
const CUT_AFTER: Duration = Duration::from_millis(500);

impl Target {
    /// Returns the time without a life of a worker that starts again, from 0.3 to 1 s.
    pub(super) fn restart_duration(self) -> Duration {
        Duration::from_millis(300 + self.ms % 700)
    }

    /// Returns the time for which the connections of a new life still hang, up to 1 s.
    fn dark_duration(self) -> Duration {
        Duration::from_millis(u64::from(self.group >> 8) % 1_000)
    }

    /// Returns the time from the start of workers until the loss of their owner, from 1 to 3 s.
    fn life_duration(self) -> Duration {
        Duration::from_millis(1_000 + self.number as u64 % 2_000)
    }

    /// Returns the time for which the workers are cut off, from 5 to 9 s.
    fn cut_duration(self) -> Duration {
        Duration::from_millis(5_000 + self.number as u64 / 2_000 % 4_000)
    }
}

impl Injector {
    /// Starts workers again. Connections hang meanwhile and for a while afterwards, so that calls under
    /// way reach the next life before new ones.
    pub(super) async fn start_again(&self, workers: &[&Arc<Worker>], target: Target) {
        let held: Vec<Imposition> = workers
            .iter()
            .flat_map(|worker| worker.impose(Mode::Silent))
            .collect();
        workers.iter().for_each(|worker| worker.crash());
        tokio::time::sleep(target.restart_duration()).await;
        for worker in workers {
            worker.restart(&self.log).await;
        }
        tokio::time::sleep(target.dark_duration()).await;
        drop(held);
    }

    pub(super) async fn recut(&self, target: Target, supersede: bool) {
        // About a quarter of the workers, so that several groups may be cut off at the same time.
        let first = target.number % self.workers.len();
        let is_member = |index| target.has_worker(index) && target.has_worker(index + 8);
        let group: Vec<&Arc<Worker>> = (0..)
            .zip(&self.workers)
            .filter(|(index, _)| *index == first || is_member(*index))
            .map(|(_, worker)| worker)
            .collect();
        let late: Vec<_> = group.iter().map(|worker| worker.delay()).collect();
        tokio::time::sleep(LATE_BEFORE).await;
        self.start_again(&group, target).await;
        if supersede {
            tokio::time::sleep(target.life_duration()).await;
        }
        let cut = async {
            tokio::time::sleep(CUT_AFTER).await;
            let cuts = group.iter().flat_map(|worker| worker.impose(Mode::Silent));
            drop(late);
            hold(cuts.collect(), target.cut_duration()).await;
        };
        let superseded = async {
            if supersede {
                self.supersede_owner(target).await;
            }
        };
        tokio::join!(superseded, cut);
    }

    /// Kills the process that wrote to the journal of a shard last, or suspends it for longer than a
    /// takeover takes.
    async fn supersede_owner(&self, target: Target) {
        let owner = self.log.last_writer.load(Ordering::Relaxed);
        let kill = target.has_process(owner);
        let process = &self.context.processes[owner];
        let how = if kill { "killed" } else { "suspended" };
        let note = format!("{} is {how} as the owner", process.name);
        self.context.history.note(note);
        match kill {
            true => self.kill(owner, target.duration()).await,
            false => {
                let pause = Duration::from_millis(2_000 + target.ms * 6 / 10);
                self.pause(std::iter::once(owner), pause).await;
            }
        }
    }
}
