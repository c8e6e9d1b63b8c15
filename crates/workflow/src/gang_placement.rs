//! Placement of gangs, whose members start together.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::job::{Queue, Step};
use crate::parked::GANG_MEMBERS_MAX;
use crate::placement::{START_COST, task_slots};
use crate::run::Placement;
use crate::shard::Shard;
use crate::task::{Key, StepKey};

impl Shard {
    /// Starts all members of a gang if they fit. Stops those that remain of an earlier attempt.
    pub(crate) fn place_gang(&mut self, key: StepKey, step: &Step, queue: &Queue, now_ms: u64) {
        let Some(run) = self.step_run_mut(key) else {
            return;
        };
        if run.waiting < step.count {
            self.stop_remaining_members(key, now_ms);
            return;
        }
        if run.tasks.iter().any(|task| task.not_before_ms > now_ms) || self.is_held_back(key) {
            return;
        }
        let Some(workers) = self.gang_workers(key, step, queue, now_ms) else {
            return;
        };
        let members: Vec<u32> = (0..step.count).collect();
        let attempt = self.next_attempt(key, &members);
        self.pass.charge(members.len() * START_COST);
        let checkpoint = self.step_run_mut(key).and_then(|run| {
            let checkpoint = run.tasks.iter().filter_map(|task| task.checkpoint.clone());
            checkpoint.max()
        });
        for (index, worker) in workers.into_iter().enumerate() {
            let index = index as u32;
            if let Some(run) = self.step_run_mut(key) {
                run.tasks[index as usize].checkpoint = checkpoint.clone();
            }
            self.start_task(&worker, Key { step: key, index }, attempt, step, now_ms);
        }
        self.release_reservations(key);
    }

    /// Returns a worker for each member of a gang; `None` if not all members fit.
    fn gang_workers(
        &mut self,
        key: StepKey,
        step: &Step,
        queue: &Queue,
        now_ms: u64,
    ) -> Option<Vec<Arc<str>>> {
        let mut planned: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        let mut member = step.clone();
        let mut candidates = self.candidates(key, &member, queue, now_ms, &planned);
        let slots = candidates.iter().map(|(_, id)| {
            let host = self.hosts.get(id);
            let free = host.map(|host| self.reservations.free(host, key, queue.priority));
            free.map_or(0, |free| task_slots(&free, step, &step.demand()))
        });
        if step.count > GANG_MEMBERS_MAX || slots.sum::<u64>() < u64::from(step.count) {
            return None;
        }
        let mut workers = Vec::with_capacity(step.count as usize);
        while workers.len() < step.count as usize {
            let (_, worker) = candidates.pop_first()?;
            *planned.entry(worker.clone()).or_default() += 1;
            let rack = self.hosts.get(&worker).map(|host| host.worker.rack.clone());
            if step.one_rack && member.preferred_rack != rack {
                member.preferred_rack = rack;
                candidates = self.candidates(key, &member, queue, now_ms, &planned);
            } else {
                // The plan changes what fits on this worker only.
                let score = self.candidate_score(&worker, key, &member, queue, now_ms, &planned);
                candidates.extend(score.map(|score| (score, worker.clone())));
            }
            workers.push(worker);
        }
        self.pass.charge(workers.len());
        Some(workers)
    }

    /// Stops the remaining members of a gang that has lost a member.
    fn stop_remaining_members(&mut self, key: StepKey, now_ms: u64) {
        let Some(run) = self.step_run_mut(key) else {
            return;
        };
        let mut members = Vec::new();
        for (index, task) in run.tasks.iter().enumerate() {
            if let Placement::Assigned(worker) = &task.placement {
                members.push((worker.clone(), index as u32));
            }
        }
        for (worker, index) in members {
            self.stop_run(&worker, Key { step: key, index }, now_ms);
        }
    }
}
