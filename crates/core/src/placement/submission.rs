//! Jobs that arrive: submitted by callers or taken over from the log.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::job::{End, Id, Priority, Spec};
use crate::placement::jobs::{Job, Key, Phase, Serial, TaskState};
use crate::placement::task::Cause;
use crate::placement::{Kernel, Restored};
use crate::time::Instant;

/// Tasks of jobs taken over that one call queues after the survey.
const RESOLVED_PER_CALL: usize = 2_000;
/// Milliseconds by which nightly work without a deadline should be done.
const NIGHT_MS: u64 = 8 * 3_600_000;

impl Kernel {
    /// Takes a job that a caller submitted.
    pub(crate) fn submit(&mut self, now: Instant, contract: &Arc<str>, spec: Spec) {
        let urgent = spec.priority == Priority::Urgent;
        let tasks = spec.tasks;
        let account = self.accounts.get_or_insert(contract);
        self.accounts.all[account].pending.remove(&spec.id);
        let Some(serial) = self.add(contract, spec, now) else {
            return;
        };
        for index in 0..tasks {
            self.queue_task(now, Key { serial, index });
        }
        if urgent || !self.policy.rules.fair {
            self.place_urgent(now);
        }
    }

    /// Takes over a job from the log.
    pub(crate) fn restore(
        &mut self,
        now: Instant,
        contract: &Arc<str>,
        spec: Spec,
        states: &[Restored],
        cancelled: bool,
        age_ms: u64,
    ) {
        let accepted = now - age_ms;
        let Some(serial) = self.add(contract, spec, accepted) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(serial) else {
            return;
        };
        job.cancelled = cancelled;
        for (task, state) in job.tasks.iter_mut().zip(states) {
            task.phase = match state {
                Restored::Ended(end) => Phase::Ended(*end),
                Restored::Granted => Phase::Unknown { granted: true },
                Restored::Pending => Phase::Unknown { granted: false },
            };
            if let Restored::Ended(end) = state {
                job.ends[*end as usize] += 1;
                job.ends_recorded += 1;
            }
        }
        job.started = job.ends_recorded > 0 || states.contains(&Restored::Granted);
        job.failed = !cancelled && job.ended(End::Failed) > 0 && job.spec.restart;
        self.unresolved.push_back(Key::first(serial));
        self.end_job_if_complete(serial);
    }

    /// Queues or ends tasks taken over that no worker holds, once all workers are surveyed.
    pub(crate) fn resolve(&mut self, now: Instant) {
        if !self.settled {
            return;
        }
        for _ in 0..RESOLVED_PER_CALL {
            let Some(key) = self.jobs.take_next(&mut self.unresolved) else {
                return;
            };
            self.resolve_one(now, key);
        }
    }

    fn resolve_one(&mut self, now: Instant, key: Key) {
        let Some(task) = self.jobs.task(key) else {
            return;
        };
        let Phase::Unknown { granted } = task.phase else {
            return;
        };
        // A gang whose other members run is stopped and placed again as a whole by `again`.
        match granted {
            true => self.reschedule(now, key, Cause::Lost),
            false => self.reschedule(now, key, Cause::NotFound),
        }
    }

    fn add(&mut self, contract: &Arc<str>, spec: Spec, accepted: Instant) -> Option<Serial> {
        let id = Id {
            contract: contract.clone(),
            job: spec.id.clone(),
        };
        if self.jobs.serial(&id).is_some() {
            return None;
        }
        let nightly = spec.priority == Priority::Nightly;
        let promote_at = accepted + spec.deadline_ms.unwrap_or(NIGHT_MS) / 2;
        let job = self.job(id, spec, accepted);
        let serial = self.jobs.add(job);
        if nightly {
            self.promotions.insert((promote_at, serial));
        }
        Some(serial)
    }

    fn job(&mut self, id: Id, spec: Spec, accepted: Instant) -> Job {
        let account = self.accounts.get_or_insert(&id.contract);
        let group = self.estimates.group(&id.contract, &spec);
        let unknown = TaskState::new(Phase::Unknown { granted: false });
        Job {
            account,
            group,
            accepted,
            priority: spec.priority,
            tasks: vec![unknown; spec.tasks as usize],
            waiting: VecDeque::new(),
            queued: false,
            cancelled: false,
            failed: false,
            member_lost: false,
            started: false,
            held: 0,
            ends_recorded: 0,
            ends: [0; 4],
            state: None,
            reason: None,
            outcomes: Vec::new(),
            succeeded_on: Vec::new(),
            racks: HashMap::new(),
            retry: accepted,
            id,
            spec,
        }
    }
}
