//! Reports of workers: what runs, what ended, and who doesn't answer.

use std::collections::BTreeSet;

use crate::action::Action;
use crate::host::{Liveness, Phase, Run, Start};
use crate::record::Record;
use crate::report::{Finished, Renewal, RenewalFault, Report, Running};
use crate::run::Place;
use crate::shard::Shard;
use crate::task::{Key, Outcome};

/// Share of the work in percent at which a service task is at work.
const AT_WORK_PERCENT: u32 = 100;

/// Longest silence of a worker after which a missing answer counts as lost, in milliseconds. A worker
/// that stays silent longer has ended or is cut off.
const LOST_ANSWER_MS: u64 = 500;

impl Shard {
    /// Returns how to renew the lease of a worker; `None` if it isn't known.
    #[must_use]
    pub fn renewal(&mut self, id: &str, now_ms: u64) -> Option<Renewal> {
        let lease_ms = self.settings.lease_ms;
        let wait_ms = self.lost_answers.wait_ms();
        let host = self.hosts.get_mut(id)?;
        Some(Renewal {
            address: host.worker.address,
            acknowledged: host.durable,
            // Without runs there is nothing to hold, and a later loss is over sooner. A worker that
            // doesn't answer may still take the order, so its lease would never end.
            deadline_ms: match host.runs.is_empty() || host.sight == Liveness::Unresponsive {
                true => None,
                false => host.lease.deadline(now_ms, lease_ms),
            },
            token: host.token(),
            wait_ms: match host.sight == Liveness::Confirmed && !host.runs.is_empty() {
                true => wait_ms,
                false => 0,
            },
        })
    }

    /// Takes the report of a worker for a look with `token` that was sent at `sent_ms`.
    pub fn report(&mut self, id: &str, report: Report, token: u64, sent_ms: u64, now_ms: u64) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let shared = host.id();
        if report.incarnation < host.worker.incarnation {
            // From before the worker started again.
            return;
        }
        if report.incarnation > host.worker.incarnation {
            if host.worker.incarnation > 0 {
                self.reborn(&shared, report.incarnation, now_ms);
                return;
            }
            host.worker.incarnation = report.incarnation;
        }
        host.lease.read(report.clock_ms, now_ms);
        let silent_ms = host
            .dark_since_ms
            .take()
            .map(|since| now_ms.saturating_sub(since));
        match silent_ms {
            Some(ms) if ms <= LOST_ANSWER_MS => self.lost_answers.lost(),
            Some(_) => {}
            None => self.lost_answers.arrived(),
        }
        let current = token == host.token();
        if current {
            host.sight = Liveness::Confirmed;
        } else if host.sight == Liveness::Unresponsive {
            host.sight = Liveness::Unconfirmed;
            self.actions.push(Action::Renew(shared.clone()));
        }
        for end in &report.finished {
            self.finished(id, end, now_ms);
        }
        let listed: BTreeSet<Key> = report.running.iter().map(|row| row.key).collect();
        for row in report.running {
            self.running(id, row, now_ms);
        }
        self.drop_absent(id, &listed, token, sent_ms);
        if current {
            self.recovery.seen(id);
        }
        self.pace(id);
    }

    /// Notes that a worker gave no report.
    pub fn renewal_failed(&mut self, id: &str, token: u64, fault: RenewalFault, now_ms: u64) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if fault == RenewalFault::Fenced {
            if token == host.token() {
                self.actions.push(Action::StepDown);
            }
            return;
        }
        host.sight = Liveness::Unresponsive;
        host.dark_since_ms.get_or_insert(now_ms);
        if matches!(
            fault,
            RenewalFault::NotListening | RenewalFault::WrongInstance
        ) {
            // A worker keeps its address for life and its runs end with it, so another worker there,
            // or none, means that they have ended.
            self.lose(id);
            self.recovery.seen(id);
        }
        self.drop_if_left(id);
    }

    /// Processes an end, once.
    fn finished(&mut self, id: &str, end: &Finished, now_ms: u64) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if end.number <= host.seen {
            return;
        }
        host.seen = end.number;
        let held = host
            .runs
            .get(&end.key)
            .is_some_and(|run| run.attempt == end.attempt);
        let mut asked = false;
        if held && let Some(run) = host.remove(&end.key) {
            asked = run.phase == Phase::Stopping;
        }
        match end.how {
            Outcome::Done => host.suspicion.completed(),
            Outcome::Failed if !asked => host.suspicion.failed(now_ms),
            _ => {}
        }
        let open = self
            .jobs
            .get(&end.key.step.job)
            .is_some_and(|job| !job.is_ended());
        if open {
            self.record(Record::Ended {
                key: end.key,
                attempt: end.attempt,
                how: end.how,
                checkpoint: end.checkpoint.clone().filter(|_| end.how != Outcome::Done),
            });
        }
        let issued = self.issued;
        if let Some(host) = self.hosts.get_mut(id) {
            host.pending.push_back((issued, end.number));
        }
        self.stop_duplicate(id, end, now_ms);
        self.apply_end(
            end.key,
            end.attempt,
            end.how,
            end.checkpoint.clone(),
            now_ms,
        );
        self.release_written();
    }

    /// Stops a later run of a task that has completed in an earlier one.
    fn stop_duplicate(&mut self, id: &str, end: &Finished, now_ms: u64) {
        if end.how != Outcome::Done {
            return;
        }
        let Some(run) = self.step_run_mut(end.key.step) else {
            return;
        };
        let place = run
            .tasks
            .get(end.key.index as usize)
            .map(|t| t.place.clone());
        if let Some(Place::On(other)) = place
            && &*other != id
        {
            self.stop(&other, end.key, now_ms);
        }
    }

    /// Marks ends as durable that need no record of their own.
    fn release_written(&mut self) {
        if self.written == self.issued {
            self.mark_durable(self.issued);
        }
    }

    fn running(&mut self, id: &str, row: Running, now_ms: u64) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if let Some(run) = host.runs.get_mut(&row.key)
            && run.attempt == row.attempt
        {
            if row.percent > run.percent {
                run.risen_ms = now_ms;
            }
            run.percent = row.percent;
            run.figure = row.metric;
            run.start = Start::Known;
            if matches!(run.phase, Phase::Unsure | Phase::Starting) {
                run.phase = Phase::Running;
                run.since_ms = now_ms;
            }
            if let Some(job) = self.jobs.get_mut(&row.key.step.job) {
                job.started = true;
            }
            if let Some(step) = self.step_run_mut(row.key.step)
                && let Some(task) = step.tasks.get_mut(row.key.index as usize)
                && row.checkpoint.is_some()
            {
                task.saved = row.checkpoint;
            }
            return;
        }
        self.adopt(id, row, now_ms);
    }

    /// Takes over a run that this owner did not start, or stops it if its task needs no run.
    fn adopt(&mut self, id: &str, row: Running, now_ms: u64) {
        let size = self.step_spec(row.key.step).map(crate::job::Step::demand);
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if host.runs.contains_key(&row.key) {
            // Another attempt of the same task: the report was overtaken.
            return;
        }
        // A run of an unknown job may take anything.
        let size = size.unwrap_or(host.worker.capacity);
        let (worker, token) = (host.id(), host.token());
        let run = Run {
            attempt: row.attempt,
            size,
            phase: Phase::Running,
            start: Start::Known,
            since_ms: now_ms,
            percent: row.percent,
            risen_ms: now_ms,
            figure: row.metric,
            pace: 100,
            token,
        };
        host.insert(row.key, run);
        if !self.jobs.contains_key(&row.key.step.job) {
            self.orphans.note(row.key.step.job, now_ms);
            return;
        }
        let open = self
            .jobs
            .get_mut(&row.key.step.job)
            .filter(|job| !job.is_ended());
        let wanted = open.is_some_and(|job| {
            let number = row.key.step.occurrence;
            if number >= job.next && number < job.spec.occurrences() {
                job.begin(number);
            }
            job.started = true;
            true
        });
        let task = self
            .step_run_mut(row.key.step)
            .filter(|_| wanted)
            .and_then(|step| step.tasks.get_mut(row.key.index as usize));
        match task {
            Some(task) if task.place == Place::Waiting && row.attempt >= task.attempt => {
                task.attempt = row.attempt;
                if row.checkpoint.is_some() {
                    task.saved = row.checkpoint;
                }
                if let Some(step) = self.step_run_mut(row.key.step) {
                    step.set(row.key.index, Place::On(worker));
                }
            }
            _ => self.stop(id, row.key, now_ms),
        }
    }

    /// Drops runs that the worker would have listed if it held them.
    fn drop_absent(&mut self, id: &str, listed: &BTreeSet<Key>, token: u64, sent_ms: u64) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let absent = |key: &Key, run: &Run| {
            !listed.contains(key)
                && match run.start {
                    Start::Ordered => false,
                    // The look's token makes the order void if it hasn't been carried out yet.
                    Start::Unanswered => run.token < token,
                    Start::Known => run.since_ms < sent_ms,
                }
        };
        let gone: Vec<Key> = host
            .runs
            .iter()
            .filter(|(key, run)| absent(key, run))
            .map(|(key, _)| *key)
            .collect();
        for key in gone {
            if let Some(host) = self.hosts.get_mut(id) {
                host.remove(&key);
            }
            self.lose_run(id, key);
        }
    }

    /// Tells whether a service task is at work.
    pub(crate) fn at_work(run: &Run) -> bool {
        run.phase == Phase::Running && run.percent >= AT_WORK_PERCENT
    }
}
