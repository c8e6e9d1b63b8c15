//! Intake of jobs: submitted by callers or restored from the log at a takeover.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::job::{End, Id, Priority, Spec};
use crate::placement::jobs::{Job, Key, Phase, Serial, TaskState};
use crate::placement::task::Cause;
use crate::placement::{Kernel, Restored};
use crate::time::Instant;

/// Tasks of restored jobs that one call resolves once the kernel is settled.
const RESOLVED_PER_CALL: usize = 2_000;
/// Deadline in milliseconds of nightly jobs that state none.
const NIGHTLY_DEADLINE_MS: u64 = 8 * 3_600_000;

impl Kernel {
    /// Adds a job that a caller submitted and queues its tasks.
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

    /// Adds a job restored from the log.
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

    /// Reschedules or ends restored tasks that no worker holds, once the kernel is settled.
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
        // `reschedule` stops the other members of a gang, so that it is placed again as a whole.
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
        let promote_at = accepted + spec.deadline_ms.unwrap_or(NIGHTLY_DEADLINE_MS) / 2;
        let job = self.new_job(id, spec, accepted);
        let serial = self.jobs.add(job);
        if nightly {
            self.promotions.insert((promote_at, serial));
        }
        Some(serial)
    }

    fn new_job(&mut self, id: Id, spec: Spec, accepted: Instant) -> Job {
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
            placed: 0,
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
