//! What happens as time passes.

use std::sync::Arc;

use crate::action::Action;
use crate::host::{Liveness, Phase};
use crate::job::Id;
use crate::record::Record;
use crate::shard::Shard;
use crate::task::Key;

/// Time after which a stop without effect is ordered again, in milliseconds.
const STOP_RETRY_MS: u64 = 1_500;

/// Time without progress after which a run counts as stuck, in milliseconds.
const STUCK_MS: u64 = 4_000;

/// Time for which a worker that is no longer listed is remembered, in milliseconds.
const UNLISTED_MS: u64 = 4_000;

impl Shard {
    /// Does what is due at `now_ms`. `unix_ms` is the time of day.
    pub fn tick(&mut self, now_ms: u64, unix_ms: u64) {
        self.recovery.tick(now_ms);
        self.begin_due(unix_ms);
        let ids: Vec<Arc<str>> = self.hosts.keys().cloned().collect();
        for id in ids {
            self.lapse(&id, now_ms);
            self.leave(&id, now_ms);
            self.repeat_stops(&id, now_ms);
            self.stop_stuck(&id, now_ms);
        }
        self.stop_orphans(now_ms);
        self.forget(now_ms);
        self.place(now_ms);
    }

    /// Begins the occurrences whose time has come.
    fn begin_due(&mut self, unix_ms: u64) {
        let ids: Vec<Id> = self.timed.iter().copied().collect();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id) else {
                self.timed.remove(&id);
                continue;
            };
            let spec = job.spec.clone();
            while job.next < spec.times {
                let due_ms = spec.first_ms + u64::from(job.next) * spec.interval_ms;
                if unix_ms + self.settings.early_ms < due_ms {
                    break;
                }
                job.begin(job.next);
            }
            let begun: Vec<u32> = job.occurrences.keys().copied().collect();
            if job.next == spec.times {
                self.timed.remove(&id);
            }
            for number in begun {
                self.enqueue_ready(id, number);
            }
        }
    }

    /// Takes the runs of a worker as lost once their lease has surely lapsed.
    fn lapse(&mut self, id: &Arc<str>, now_ms: u64) {
        let Some(host) = self.hosts.get(id) else {
            return;
        };
        let dark = host.sight == Liveness::Unresponsive;
        let lapsed = host.lease.lapses_at().is_none_or(|at| now_ms >= at);
        if dark && lapsed && !host.runs.is_empty() {
            self.lose(id);
        }
    }

    /// Moves service tasks away from a worker that is about to leave.
    fn leave(&mut self, id: &Arc<str>, now_ms: u64) {
        let Some(host) = self.hosts.get(id).filter(|host| host.worker.draining) else {
            return;
        };
        let service: Vec<Key> = host
            .runs
            .iter()
            .filter(|(_, run)| run.phase == Phase::Running)
            .filter(|(key, _)| self.step_spec(key.step).is_some_and(|step| step.service))
            .map(|(key, _)| *key)
            .collect();
        for key in service {
            self.stop(id, key, now_ms);
        }
    }

    fn repeat_stops(&mut self, id: &Arc<str>, now_ms: u64) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let mut again = Vec::new();
        for (key, run) in &mut host.runs {
            if run.phase == Phase::Stopping && now_ms >= run.since_ms + STOP_RETRY_MS {
                run.since_ms = now_ms;
                again.push((*key, run.attempt));
            }
        }
        for (key, attempt) in again {
            if let Some(host) = self.hosts.get(id) {
                let stop = host.stop_order(key, attempt);
                self.actions.push(Action::Stop(stop));
            }
        }
    }

    /// Stops runs without progress, so that they go on elsewhere.
    fn stop_stuck(&mut self, id: &Arc<str>, now_ms: u64) {
        let Some(host) = self
            .hosts
            .get(id)
            .filter(|host| host.sight == Liveness::Confirmed)
        else {
            return;
        };
        let mut stuck = Vec::new();
        for (key, run) in &host.runs {
            let still = run.phase == Phase::Running && now_ms >= run.risen_ms + STUCK_MS;
            let Some(step) = self.step_spec(key.step).filter(|_| still) else {
                continue;
            };
            let works = run.percent < 100 && !step.best_effort && !step.gang;
            if works {
                stuck.push(*key);
            }
        }
        for key in stuck {
            if let Some(host) = self.hosts.get_mut(id) {
                host.suspicion.failed(now_ms);
            }
            self.stop(id, key, now_ms);
        }
    }

    /// Forgets jobs and workers that are long gone.
    fn forget(&mut self, now_ms: u64) {
        let keep_ms = self.settings.keep_ms;
        self.jobs
            .retain(|_, job| !job.is_ended() || now_ms < job.ended_ms + keep_ms);
        let gone = |host: &crate::host::Host| {
            !host.listed
                && host.runs.is_empty()
                && host
                    .dark_since_ms
                    .is_some_and(|since| now_ms >= since + UNLISTED_MS)
        };
        let ended: Vec<Arc<str>> = self
            .hosts
            .iter()
            .filter(|(_, host)| gone(host))
            .map(|(id, _)| id.clone())
            .collect();
        for worker in ended {
            self.hosts.remove(&worker);
            self.record(Record::WorkerRemoved { worker });
        }
    }

    /// Asks for a look at every worker that has not answered under the current token.
    pub fn renew_unconfirmed(&mut self) {
        let unseen = self
            .hosts
            .iter()
            .filter(|(_, host)| host.sight != Liveness::Confirmed);
        let ids: Vec<Arc<str>> = unseen.map(|(id, _)| id.clone()).collect();
        self.actions.extend(ids.into_iter().map(Action::Renew));
    }
}
