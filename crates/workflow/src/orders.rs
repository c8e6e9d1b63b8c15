//! Answers to starts and stops.

use crate::action::{Action, Order};
use crate::host::{Liveness, Phase, Start};
use crate::shard::Shard;
use crate::start::{Refusal, StartOutcome};

/// Pause before a task whose start was refused is started again, in milliseconds.
const REFUSED_PAUSE_MS: u64 = 50;

impl Shard {
    /// Takes the outcome of a start.
    pub fn start_answered(&mut self, order: &Order, outcome: StartOutcome, now_ms: u64) {
        let Some(host) = self.hosts.get_mut(&order.worker) else {
            return;
        };
        if let StartOutcome::Accepted { clock_ms } = outcome {
            host.lease.read(clock_ms, now_ms);
        }
        let waits = host.runs.get_mut(&order.key).filter(|run| {
            run.attempt == order.attempt && matches!(run.phase, Phase::Starting | Phase::Stopping)
        });
        let Some(run) = waits else {
            // The run has been listed, has ended or was taken as lost in the meantime.
            self.check_fence(order, outcome);
            return;
        };
        match outcome {
            StartOutcome::Accepted { .. } => {
                if let Some(job) = self.jobs.get_mut(&order.key.step.job) {
                    job.started = true;
                }
                run.start = Start::Known;
                if run.phase == Phase::Starting {
                    run.phase = Phase::Running;
                }
                run.since_ms = now_ms;
                run.risen_ms = now_ms;
            }
            StartOutcome::Unknown => {
                self.lost_answers.lost();
                run.start = Start::Unanswered;
                if run.phase == Phase::Starting {
                    run.phase = Phase::Unsure;
                }
                run.since_ms = now_ms;
                host.suspicion.refused(now_ms);
                host.void_orders();
                let id = host.id();
                self.actions.push(Action::Renew(id));
            }
            StartOutcome::Refused(refusal) => {
                self.check_fence(order, outcome);
                self.refused(order, refusal, now_ms);
            }
        }
    }

    /// Stops acting if a worker knows a token that this owner didn't issue.
    fn check_fence(&mut self, order: &Order, outcome: StartOutcome) {
        if outcome != StartOutcome::Refused(Refusal::Fenced) {
            return;
        }
        let own = self
            .hosts
            .get(&order.worker)
            .is_some_and(|host| order.token < host.token());
        if !own {
            self.actions.push(Action::StepDown);
        }
    }

    fn refused(&mut self, order: &Order, refusal: Refusal, now_ms: u64) {
        let key = order.key;
        if let Some(host) = self.hosts.get_mut(&order.worker) {
            host.remove(&key);
            match refusal {
                Refusal::NotSent | Refusal::WrongInstance => {
                    host.sight = Liveness::Unresponsive;
                    host.dark_since_ms.get_or_insert(now_ms);
                }
                Refusal::Unhealthy => host.suspicion.refused(now_ms),
                Refusal::Room => {
                    host.suspicion.refused(now_ms);
                    host.void_orders();
                }
                Refusal::Fenced | Refusal::Late | Refusal::Old | Refusal::Permit => {}
            }
            let id = host.id();
            self.actions.push(Action::Renew(id));
        }
        if let Some(step) = self.step_run_mut(key.step) {
            if refusal == Refusal::Permit {
                step.advice.forget(&order.worker);
            }
            if let Some(task) = step.tasks.get_mut(key.index as usize) {
                task.not_before_ms = now_ms + REFUSED_PAUSE_MS;
            }
        }
        self.lose_run(&order.worker, key);
    }

    /// Notes that a stop got no answer, so that it is ordered again.
    pub fn stop_failed(&mut self, worker: &str, key: crate::task::Key, attempt: u32) {
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        if let Some(run) = host.runs.get_mut(&key)
            && run.attempt == attempt
            && run.phase == Phase::Stopping
        {
            run.since_ms = 0;
        }
    }
}
