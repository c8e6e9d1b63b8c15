//! Lease renewal and worker reports: running attempts, ended attempts and unresponsive workers.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use crate::action::Action;
use crate::host::{Liveness, Phase, Run, StartState};
use crate::incarnation::Restart;
use crate::lost_attempt::Evidence;
use crate::record::Record;
use crate::report::{Finished, Renewal, RenewalFault, Report, Running};
use crate::run::Placement;
use crate::shard::Shard;
use crate::task::{Key, Outcome};

/// Progress in percent from which a service task counts as serving.
const SERVING_PERCENT: u32 = 100;

/// Longest time without an answer that counts as a lost answer, in milliseconds. A worker that is
/// silent for longer has ended or is unreachable.
const LOST_ANSWER_MAX_MS: u64 = 500;

impl Shard {
    /// Returns the next lease renewal for a worker, or `None` if the worker is unknown.
    #[must_use]
    pub fn renewal(&mut self, id: &str, now_ms: u64) -> Option<Renewal> {
        let lease_ms = self.settings.lease_ms;
        let wait_ms = self.lost_answers.wait_ms();
        let host = self.hosts.get_mut(id)?;
        let (deadline_ms, acknowledged) = host.begin_renewal(lease_ms, now_ms);
        Some(Renewal {
            address: host.worker.address,
            acknowledged,
            deadline_ms,
            token: host.token(),
            wait_ms: match host.liveness == Liveness::Confirmed && !host.runs.is_empty() {
                true => wait_ms,
                false => 0,
            },
        })
    }

    /// Applies a worker's report for a renewal with `token` that was sent at `sent_ms`.
    pub fn report(&mut self, id: &str, report: Report, token: u64, sent_ms: u64, now_ms: u64) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let host_id = host.id();
        host.end_renewal(sent_ms);
        match host.compare(report.incarnation, sent_ms) {
            Ordering::Less => return,
            Ordering::Equal => {}
            Ordering::Greater if host.worker.incarnation > 0 => {
                // What the directory said was about the previous incarnation.
                host.worker.draining = false;
                self.begin_incarnation(&host_id, report.incarnation, now_ms);
                return;
            }
            Ordering::Greater => host.worker.incarnation = report.incarnation,
        }
        host.lease.observe_clock(report.clock_ms, now_ms);
        host.reported_ms = host.reported_ms.max(sent_ms);
        host.answered_ms = host.answered_ms.max(sent_ms);
        let silent_ms = host
            .unresponsive_since_ms
            .take()
            .map(|since| now_ms.saturating_sub(since));
        if silent_ms.is_some() {
            host.returned_ms = now_ms;
        }
        match silent_ms {
            Some(ms) if ms <= LOST_ANSWER_MAX_MS => self.lost_answers.lost(),
            Some(_) => {}
            None => self.lost_answers.arrived(),
        }
        let is_current_token = token == host.token();
        let is_fenced =
            host.restart == Restart::Unfenced && !host.is_for_earlier_incarnation(token);
        if is_fenced {
            host.restart = Restart::Fenced;
            host.lease.void_earlier_calls(now_ms);
        }
        if is_current_token {
            host.liveness = Liveness::Confirmed;
        } else if host.liveness == Liveness::Unresponsive {
            host.liveness = Liveness::Unconfirmed;
            self.actions.push(Action::Renew(host_id.clone()));
        }
        if is_fenced {
            self.record_restart(&host_id);
        } else if is_current_token {
            self.record_return(id);
        }
        for end in &report.finished {
            self.process_end(id, end, now_ms);
        }
        let reported_keys: BTreeSet<Key> =
            report.running.iter().map(|reported| reported.key).collect();
        for reported in report.running {
            self.update_run(id, reported, now_ms);
        }
        // An attempt may be among the ends that the worker has not returned yet.
        if !report.may_have_more_ends {
            self.remove_absent_runs(id, &reported_keys, token, sent_ms);
        }
        if is_current_token && !report.may_have_more_ends {
            self.recovery.worker_confirmed(id);
        }
        self.adjust_pace(id);
    }

    /// Records that the renewal of a worker that is under way was sent twice, so that it may be carried
    /// out after its answer.
    pub fn renewal_repeated(&mut self, id: &str, now_ms: u64) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.abandon_renewal(now_ms);
        }
    }

    /// Handles a failed renewal.
    pub fn renewal_failed(&mut self, id: &str, token: u64, fault: RenewalFault, now_ms: u64) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        match fault {
            RenewalFault::Silent => host.abandon_renewal(now_ms),
            RenewalFault::Fenced | RenewalFault::Refused | RenewalFault::WrongInstance => {
                host.renewal = None;
            }
        }
        if fault == RenewalFault::Fenced {
            if token == host.token() {
                self.actions.push(Action::StepDown);
            }
            return;
        }
        host.liveness = Liveness::Unresponsive;
        host.unresponsive_since_ms.get_or_insert(now_ms);
        // A worker keeps its address during its incarnation and its attempts end with it, so an
        // answer of another worker at the address means that they have ended. A call without an
        // answer means nothing: a network cut may refuse or reset connections.
        if fault == RenewalFault::WrongInstance && !host.is_for_earlier_incarnation(token) {
            let keys = host.runs.keys().copied().collect();
            self.mark_runs_lost(id, keys, Evidence::WrongInstance);
            self.recovery.worker_confirmed(id);
        }
        self.remove_if_departed(id);
    }

    /// Processes an ended attempt, unless it was processed before.
    fn process_end(&mut self, id: &str, end: &Finished, now_ms: u64) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if end.number <= host.last_processed_end {
            return;
        }
        host.last_processed_end = end.number;
        let is_known = host
            .runs
            .get(&end.key)
            .is_some_and(|run| run.attempt == end.attempt);
        let mut stop_requested = false;
        if is_known && let Some(run) = host.remove(&end.key) {
            stop_requested = run.phase == Phase::Stopping;
            if end.how == Outcome::Done {
                self.observe_run(id, end.key, &run, now_ms);
            }
        }
        if let Some(host) = self.hosts.get_mut(id) {
            match end.how {
                Outcome::Done => host.backoff.completed(),
                Outcome::Failed if !stop_requested => host.backoff.failed(now_ms),
                _ => {}
            }
        }
        let job = self.jobs.get(&end.key.step.job);
        // A job that has not been read yet may be open, too, and the worker forgets the end.
        let is_open = job.is_none_or(|job| !job.is_ended());
        if job.is_none() {
            self.orphans.add_end(id.into(), end.clone(), now_ms);
        }
        if is_open {
            self.record(Record::Ended {
                key: end.key,
                attempt: end.attempt,
                how: end.how,
                checkpoint: end.checkpoint.clone().filter(|_| end.how != Outcome::Done),
            });
        }
        let record_number = self.issued_records;
        if let Some(host) = self.hosts.get_mut(id) {
            host.pending_ends.push_back((record_number, end.number));
            self.awaiting_records.insert(host.id());
        }
        self.stop_duplicate(id, end, now_ms);
        self.apply_end(
            Some(id),
            end.key,
            end.attempt,
            end.how,
            end.checkpoint.clone(),
            now_ms,
        );
        self.mark_unrecorded_ends_durable();
    }

    /// Stops the attempt of a completed task on another worker.
    fn stop_duplicate(&mut self, id: &str, end: &Finished, now_ms: u64) {
        if end.how != Outcome::Done {
            return;
        }
        let Some(run) = self.step_run_mut(end.key.step) else {
            return;
        };
        let placement = run
            .tasks
            .get(end.key.index as usize)
            .map(|t| t.placement.clone());
        if let Some(Placement::Assigned(other)) = placement
            && &*other != id
        {
            self.stop_run(&other, end.key, now_ms);
        }
    }

    /// Lets ends without a record of their own be acknowledged if every earlier record is durable.
    fn mark_unrecorded_ends_durable(&mut self) {
        if self.durable_records == self.issued_records {
            self.mark_durable(self.issued_records);
        }
    }

    fn update_run(&mut self, id: &str, reported: Running, now_ms: u64) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if let Some(run) = host.runs.get_mut(&reported.key)
            && run.attempt == reported.attempt
        {
            if reported.percent > run.percent {
                run.progressed_ms = now_ms;
            }
            run.percent = reported.percent;
            if run.is_resumed {
                run.first_report.get_or_insert((now_ms, reported.percent));
            }
            run.metric = reported.metric;
            if matches!(run.start, StartState::Sent | StartState::Unanswered) {
                run.started_ms = now_ms;
            }
            run.start = StartState::Confirmed;
            if matches!(run.phase, Phase::Unresolved | Phase::Starting) {
                run.phase = Phase::Running;
                run.phase_since_ms = now_ms;
            }
            if let Some(job) = self.jobs.get_mut(&reported.key.step.job) {
                job.started = true;
            }
            if let Some(step) = self.step_run_mut(reported.key.step)
                && let Some(task) = step.tasks.get_mut(reported.key.index as usize)
                && reported.checkpoint.is_some()
            {
                task.checkpoint = reported.checkpoint;
            }
            return;
        }
        self.adopt(id, reported, now_ms);
    }

    /// Adopts an attempt that this owner did not start, or stops it if its task needs none.
    fn adopt(&mut self, id: &str, reported: Running, now_ms: u64) {
        let size = self
            .step_spec(reported.key.step)
            .map(crate::job::Step::demand);
        let capacity = self.hosts.get(id).map(|host| host.worker.capacity);
        let charge = self.charge(reported.key.step, capacity.unwrap_or_default());
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if host.runs.contains_key(&reported.key) {
            // The worker is known to run another attempt of the task: the report arrived out of
            // order.
            return;
        }
        // The size of an attempt of an unknown job is unknown, so it reserves the whole worker.
        let size = size.unwrap_or(host.worker.capacity);
        let (worker, token) = (host.id(), host.token());
        let run = Run {
            attempt: reported.attempt,
            size,
            charge,
            phase: Phase::Running,
            start: StartState::Confirmed,
            phase_since_ms: now_ms,
            started_ms: now_ms,
            outcome_ms: Some(now_ms),
            is_same_clock: false,
            carried_out_ms: now_ms,
            percent: reported.percent,
            progressed_ms: now_ms,
            metric: reported.metric,
            pace_percent: 100,
            is_pace_known: false,
            token,
            is_resumed: true,
            first_report: Some((now_ms, reported.percent)),
        };
        host.insert(reported.key, run);
        if !self.jobs.contains_key(&reported.key.step.job) {
            self.orphans.add(reported.key.step.job, now_ms);
            return;
        }
        let open_job = self
            .jobs
            .get_mut(&reported.key.step.job)
            .filter(|job| !job.is_ended());
        let is_needed = open_job.is_some_and(|job| {
            let number = reported.key.step.occurrence;
            if number < job.spec.occurrences() {
                job.begin_occurrences(number + 1);
            }
            job.started = true;
            true
        });
        let task = self
            .step_run_mut(reported.key.step)
            .filter(|_| is_needed)
            .and_then(|step| step.tasks.get_mut(reported.key.index as usize));
        match task {
            Some(task)
                if task.placement == Placement::Waiting && reported.attempt >= task.attempt =>
            {
                task.attempt = reported.attempt;
                if reported.checkpoint.is_some() {
                    task.checkpoint = reported.checkpoint;
                }
                if let Some(step) = self.step_run_mut(reported.key.step) {
                    step.set_placement(reported.key.index, Placement::Assigned(worker));
                }
            }
            _ => self.stop_run(id, reported.key, now_ms),
        }
    }

    /// Removes attempts that the worker would have reported if it ran them.
    fn remove_absent_runs(
        &mut self,
        id: &str,
        reported_keys: &BTreeSet<Key>,
        token: u64,
        sent_ms: u64,
    ) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let is_absent = |key: &Key, run: &Run| {
            !reported_keys.contains(key)
                && match run.start {
                    StartState::Sent => false,
                    // The token of the renewal invalidates a start request that was not carried out
                    // yet.
                    StartState::Unanswered => run.token < token,
                    StartState::Accepted | StartState::Confirmed => run.started_ms < sent_ms,
                }
        };
        let absent_keys: Vec<Key> = host
            .runs
            .iter()
            .filter(|(key, run)| is_absent(key, run))
            .map(|(key, _)| *key)
            .collect();
        self.mark_runs_lost(id, absent_keys, Evidence::Absent);
    }

    /// Returns whether a service task is serving.
    pub(crate) fn is_serving(run: &Run) -> bool {
        run.phase == Phase::Running && run.percent >= SERVING_PERCENT
    }
}
