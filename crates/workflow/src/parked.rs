//! Steps that no worker of their pool could run, even an empty one. They are parked, so that they cost
//! nothing while they wait for other workers.

use crate::job::{Queue, Step};
use crate::placement::{meets_constraints, task_slots};
use crate::shard::Shard;
use crate::task::StepKey;

/// Members above which a gang isn't started. An owner can't place and start more of them within the time
/// for which members wait for each other and a pass may last.
pub(crate) const GANG_MEMBERS_MAX: u32 = 6_000;

/// Upper bound of the parked steps that are checked in a pass.
const CHECKS_MAX: usize = 64;

/// Workers whose capacity is compared at the cost of one evaluation.
const WORKERS_PER_EVALUATION: usize = 4;

/// What becomes of a parked step.
enum Verdict {
    /// No task of it waits any more.
    Gone,
    /// Some worker could run it now.
    Possible,
    /// It stays parked.
    Impossible,
}

impl Shard {
    /// Returns whether the workers of the pool, if all were empty and answered, could run a task of a step,
    /// or all members of a gang. Nothing can be said about a pool without workers.
    pub(crate) fn is_possible(&mut self, step: &Step, queue: &Queue) -> bool {
        let wanted = match step.gang {
            true if step.count > GANG_MEMBERS_MAX => return false,
            true => u64::from(step.count),
            false => 1,
        };
        let size = step.demand();
        let (mut slots, mut seen, mut in_pool) = (0, 0, 0);
        for host in self.hosts.values() {
            seen += 1;
            if host.worker.pool != queue.pool {
                continue;
            }
            in_pool += 1;
            if meets_constraints(host, step, 0) {
                slots += task_slots(&host.worker.capacity, step, &size);
            }
            if slots >= wanted {
                break;
            }
        }
        self.pass.charge(seen / WORKERS_PER_EVALUATION);
        slots >= wanted || in_pool == 0
    }

    /// Returns parked steps to the waiting ones that workers could run now. Checks as many as a small part
    /// of the pass allows, in turn.
    pub(crate) fn check_parked(&mut self) {
        for _ in 0..CHECKS_MAX.min(self.waiting.parked_len()) {
            let Some(position) = self.waiting.take_parked() else {
                return;
            };
            let (_, _, key) = position;
            match self.judge_parked(key) {
                Verdict::Gone => {}
                Verdict::Possible => self.enqueue(key),
                Verdict::Impossible => self.waiting.keep_parked(position),
            }
            if self.pass.checks_are_spent() {
                return;
            }
        }
    }

    fn judge_parked(&mut self, key: StepKey) -> Verdict {
        let is_waiting = self.step_run(key).is_some_and(|run| run.waiting > 0);
        let Some(job) = self.jobs.get(&key.job).filter(|_| is_waiting) else {
            return Verdict::Gone;
        };
        let (spec, queue) = (job.spec.clone(), self.queues.get(&job.queue).cloned());
        let (Some(queue), Some(step)) = (queue, spec.steps.get(key.step as usize)) else {
            return Verdict::Impossible;
        };
        match self.is_possible(step, &queue) {
            true => Verdict::Possible,
            false => Verdict::Impossible,
        }
    }
}
