//! Handling of answers to start and stop requests.

use crate::action::{Action, Order};
use crate::host::{Liveness, Phase, StartState};
use crate::incarnation::Restart;
use crate::lease::LATE_CALL_MAX_MS;
use crate::lost_attempt::Evidence;
use crate::shard::Shard;
use crate::start::{Refusal, StartOutcome};

/// Minimum time from a refused start of a task to its next start, in milliseconds.
const REFUSED_PAUSE_MS: u64 = 50;

/// Returns whether a worker may have taken the deadline of a start request as that of its lease.
fn may_set_lease(outcome: StartOutcome) -> bool {
    match outcome {
        StartOutcome::Accepted { .. } | StartOutcome::Unknown => true,
        StartOutcome::Refused(refusal) => matches!(refusal, Refusal::Old | Refusal::Room),
    }
}

impl Shard {
    /// Applies the outcome of a start request.
    pub fn start_answered(&mut self, order: &Order, outcome: StartOutcome, now_ms: u64) {
        match outcome {
            StartOutcome::Unknown => self.start_window.unanswered(),
            _ => {
                let took_ms = now_ms.saturating_sub(order.placed_ms);
                self.start_window.answered(took_ms, now_ms);
            }
        }
        let late_ms = self.late_start_ms(order);
        let Some(host) = self.hosts.get_mut(&order.worker) else {
            return;
        };
        let mut is_same_clock = false;
        if outcome == StartOutcome::Unknown {
            host.lease.call_unanswered(now_ms + late_ms);
        }
        if host.is_for_earlier_incarnation(order.token) {
            // The deadline of the request is on the clock of the earlier incarnation, and the
            // reading in the answer may be, too.
            match outcome {
                StartOutcome::Unknown if host.restart == Restart::Unfenced => {
                    host.lease.assume_late_calls(now_ms);
                }
                _ if may_set_lease(outcome) => host.lease.assume_longest(now_ms),
                _ => {}
            }
        } else if let StartOutcome::Accepted { clock_ms } = outcome {
            is_same_clock = host.lease.continues(clock_ms, now_ms);
            host.lease.observe_clock(clock_ms, now_ms);
        }
        let pending_run = host.runs.get_mut(&order.key).filter(|run| {
            run.attempt == order.attempt && matches!(run.phase, Phase::Starting | Phase::Stopping)
        });
        let Some(run) = pending_run else {
            // The attempt was reported, has ended or was marked as lost in the meantime.
            self.check_fence(order, outcome);
            return;
        };
        run.outcome_ms = Some(now_ms);
        run.is_same_clock = is_same_clock;
        run.carried_out_ms = now_ms;
        match outcome {
            StartOutcome::Accepted { .. } => {
                if let Some(job) = self.jobs.get_mut(&order.key.step.job) {
                    job.started = true;
                }
                run.start = StartState::Accepted;
                run.started_ms = now_ms;
                if run.phase == Phase::Starting {
                    run.phase = Phase::Running;
                }
                run.phase_since_ms = now_ms;
                run.progressed_ms = now_ms;
            }
            StartOutcome::Unknown => {
                self.lost_answers.lost();
                run.start = StartState::Unanswered;
                // Without a permit there is no bound short enough to wait for.
                if order.permit.is_some() {
                    run.carried_out_ms = now_ms + late_ms;
                }
                if run.phase == Phase::Starting {
                    run.phase = Phase::Unresolved;
                }
                run.phase_since_ms = now_ms;
                host.backoff.refused(now_ms);
                host.invalidate_requests();
                let id = host.id();
                self.actions.push(Action::Renew(id));
            }
            StartOutcome::Refused(refusal) => {
                self.check_fence(order, outcome);
                self.start_refused(order, refusal, now_ms);
            }
        }
    }

    /// Returns the longest time for which a start request without an answer may be carried out, in
    /// milliseconds. A worker rejects it once its permit has expired.
    fn late_start_ms(&self, order: &Order) -> u64 {
        let job = self.jobs.get(&order.key.step.job);
        let queue = job.and_then(|job| self.queues.get(&job.queue));
        let terms = queue.and_then(|queue| queue.advice.as_ref());
        match terms.filter(|_| order.permit.is_some()) {
            Some(terms) => terms.validity_ms.min(LATE_CALL_MAX_MS),
            None => LATE_CALL_MAX_MS,
        }
    }

    /// Issues [`Action::StepDown`] if a worker rejected a fencing token that this owner did not
    /// invalidate itself: another owner has issued a higher one.
    fn check_fence(&mut self, order: &Order, outcome: StartOutcome) {
        if outcome != StartOutcome::Refused(Refusal::Fenced) {
            return;
        }
        let invalidated_here = self
            .hosts
            .get(&order.worker)
            .is_some_and(|host| order.token < host.token());
        if !invalidated_here {
            self.actions.push(Action::StepDown);
        }
    }

    fn start_refused(&mut self, order: &Order, refusal: Refusal, now_ms: u64) {
        let key = order.key;
        if let Some(host) = self.hosts.get_mut(&order.worker) {
            host.remove(&key);
            match refusal {
                Refusal::NotSent | Refusal::WrongInstance => {
                    host.liveness = Liveness::Unresponsive;
                    host.unresponsive_since_ms.get_or_insert(now_ms);
                }
                Refusal::Unhealthy => host.backoff.refused(now_ms),
                Refusal::Room => {
                    host.backoff.refused(now_ms);
                    host.invalidate_requests();
                }
                Refusal::Fenced | Refusal::Late | Refusal::Old | Refusal::Permit => {}
            }
            let id = host.id();
            self.actions.push(Action::Renew(id));
        }
        if let Some(step) = self.step_run_mut(key.step) {
            if refusal == Refusal::Permit {
                step.advice.expire_permit(&order.worker);
            }
            if let Some(task) = step.tasks.get_mut(key.index as usize) {
                task.not_before_ms = now_ms + REFUSED_PAUSE_MS;
            }
        }
        self.mark_run_lost(&order.worker, key, Evidence::StartRefused(refusal));
    }

    /// Makes a stop request that got no answer due for a retry at the next tick.
    pub fn stop_failed(&mut self, worker: &str, key: crate::task::Key, attempt: u32) {
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        if let Some(run) = host.runs.get_mut(&key)
            && run.attempt == attempt
            && run.phase == Phase::Stopping
        {
            run.phase_since_ms = 0;
            self.worker_check_due_ms = 0;
        }
    }
}
