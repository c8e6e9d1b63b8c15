//! History of one soak run as workers and callers observe it, and the invariants checked on it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use rosemaryworks_workflow::{Id, Key, Outcome, State, StepKey};

/// A run of a task on a worker.
#[derive(Clone, Debug)]
struct Run {
    worker: String,
    began_ms: u64,
    ended_ms: Option<u64>,
    /// Whether the run completed successfully.
    done: bool,
    /// Whether the run failed.
    failed: bool,
    /// Number of the attempt.
    attempt: u32,
    /// Whether an owner acknowledged the end to the worker, whose lease had not expired since.
    acknowledged: bool,
    /// Whether the worker's clock stood still before the end was acknowledged. Leases are only promised
    /// for clocks that are at most 2 % slow, so what follows is reported apart from the violations.
    stood_still: bool,
}

/// A job as its caller submitted it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Job {
    /// Number of tasks of each step. Each step depends on the previous one.
    pub(crate) steps: Vec<u32>,
    /// Whether a submission was accepted.
    pub(crate) accepted: bool,
    /// Whether every submission was rejected.
    pub(crate) refused: bool,
    /// Time of an acknowledged cancellation in milliseconds.
    pub(crate) cancelled_ms: Option<u64>,
    /// Last state that a caller received.
    pub(crate) state: Option<State>,
}

#[derive(Default)]
struct Records {
    runs: BTreeMap<Key, Vec<Run>>,
    jobs: BTreeMap<Id, Job>,
    violations: Vec<String>,
    /// Second runs of tasks whose first run outlived a standstill of its worker's clock.
    exempt: Vec<String>,
    /// What else helps to find the cause of a violation.
    notes: Vec<String>,
}

/// Thread-safe history. The checks run as events are recorded.
pub(crate) struct History {
    start: Instant,
    records: Mutex<Records>,
}

/// Time after an acknowledged cancellation in which the job's tasks may still start, in
/// milliseconds.
const CANCELLATION_GRACE_MS: u64 = 3_000;

/// Number of failed runs of a task after which its job fails.
pub(crate) const MAX_ATTEMPTS: u32 = 4;

/// Returns the key of a task in the first occurrence of a job. The submitted jobs occur once.
fn task_key(job: Id, step: usize, index: u32) -> Key {
    let step = StepKey {
        job,
        occurrence: 0,
        step: u16::try_from(step).unwrap_or(u16::MAX),
    };
    Key { step, index }
}

impl History {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            records: Mutex::default(),
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn records(&self) -> std::sync::MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn add_violation(&self, description: String) {
        let now_ms = self.now_ms();
        self.records()
            .violations
            .push(format!("{now_ms} ms: {description}"));
    }

    /// Adds a line that helps to find the cause of a violation.
    pub(crate) fn note(&self, description: String) {
        let now_ms = self.now_ms();
        self.records()
            .notes
            .push(format!("{now_ms} ms: {description}"));
    }

    /// Returns the numbers of lives of workers and of the calls that were carried out late.
    pub(crate) fn describe_lives(&self) -> String {
        let records = self.records();
        let lives = records
            .notes
            .iter()
            .filter(|note| note.contains(" starts with clock "));
        let late = records.notes.iter().filter(|note| note.contains(" late /"));
        let succeeded = late.clone().filter(|note| note.contains(": 200 "));
        format!(
            "{} lives of workers, {} late calls, of which {} succeeded",
            lives.count(),
            late.count(),
            succeeded.count()
        )
    }

    /// Returns the notes.
    pub(crate) fn notes(&self) -> Vec<String> {
        self.records().notes.clone()
    }

    pub(crate) fn record_submission(&self, id: Id, steps: Vec<u32>) {
        let job = Job {
            steps,
            ..Job::default()
        };
        self.records().jobs.insert(id, job);
    }

    pub(crate) fn update_job(&self, id: Id, change: impl FnOnce(&mut Job)) {
        if let Some(job) = self.records().jobs.get_mut(&id) {
            change(job);
        }
    }

    /// Records the start of a run and checks it against the events before it.
    pub(crate) fn record_start(&self, task: Key, attempt: u32, worker: &str) {
        let now_ms = self.now_ms();
        let mut records = self.records();
        let mut violations = Vec::new();
        let (id, step) = (task.step.job, usize::from(task.step.step));
        match records.jobs.get(&id) {
            None => violations.push(format!("{task} was never submitted")),
            Some(job) => {
                if job.refused {
                    violations.push(format!("{task} starts although its job was rejected"));
                }
                if job
                    .cancelled_ms
                    .is_some_and(|at| now_ms > at + CANCELLATION_GRACE_MS)
                {
                    violations.push(format!(
                        "{task} starts more than {CANCELLATION_GRACE_MS} ms after its cancellation"
                    ));
                }
                for index in 0..step
                    .checked_sub(1)
                    .map_or(0, |previous| job.steps[previous])
                {
                    let dependency = task_key(id, step - 1, index);
                    let runs = records.runs.get(&dependency);
                    if !runs.is_some_and(|runs| runs.iter().any(|run| run.done)) {
                        violations.push(format!("{task} starts before {dependency} is done"));
                    }
                }
            }
        }
        let runs = records.runs.entry(task).or_default();
        let mut exempt = Vec::new();
        for run in runs.iter() {
            let target = match run.stood_still {
                true => &mut exempt,
                false => &mut violations,
            };
            if run.ended_ms.is_none() {
                target.push(format!("{task} runs on {} and on {worker}", run.worker));
            }
            if run.done && run.acknowledged {
                target.push(format!(
                    "{task} starts on {worker} after its completion was acknowledged"
                ));
            }
        }
        runs.push(Run {
            worker: worker.to_owned(),
            began_ms: now_ms,
            ended_ms: None,
            done: false,
            failed: false,
            attempt,
            acknowledged: false,
            stood_still: false,
        });
        let timed = |description| format!("{now_ms} ms: {description}");
        records.violations.extend(violations.into_iter().map(timed));
        records.exempt.extend(exempt.into_iter().map(timed));
    }

    /// Records that a worker's clock stands still during its latest run of a task or before an owner
    /// acknowledged the end.
    pub(crate) fn record_standstill(&self, task: Key, worker: &str) {
        let mut records = self.records();
        let runs = records.runs.entry(task).or_default();
        if let Some(run) = runs.iter_mut().rev().find(|run| run.worker == worker) {
            run.stood_still = true;
        }
    }

    /// Records the end of the latest unfinished run on a worker.
    pub(crate) fn record_end(&self, task: Key, worker: &str, outcome: Outcome) {
        let now_ms = self.now_ms();
        let mut records = self.records();
        let runs = records.runs.entry(task).or_default();
        let is_running = |run: &&mut Run| run.ended_ms.is_none() && run.worker == worker;
        if let Some(run) = runs.iter_mut().rev().find(is_running) {
            run.ended_ms = Some(now_ms);
            run.done = outcome == Outcome::Done;
            run.failed = outcome == Outcome::Failed;
        }
    }

    /// Records that an owner acknowledged the end of a run to its worker. The lease of the worker must
    /// not have expired between the two: a task whose worker was silent for that long may start again.
    pub(crate) fn record_acknowledgement(&self, task: Key, attempt: u32, worker: &str) {
        let mut records = self.records();
        let mut restarted = false;
        let mut stood_still = false;
        if let Some(runs) = records.runs.get_mut(&task) {
            let position = runs.iter().rposition(|run| {
                run.worker == worker && run.attempt == attempt && run.ended_ms.is_some()
            });
            if let Some(position) = position {
                runs[position].acknowledged = true;
                stood_still = runs[position].stood_still;
                let ended_ms = runs[position].ended_ms;
                let is_later = |run: &Run| Some(run.began_ms) > ended_ms;
                restarted = runs[position].done && runs.iter().skip(position + 1).any(is_later);
            }
        }
        if restarted {
            let now_ms = self.now_ms();
            let description = format!(
                "{now_ms} ms: {task} was started again after a completion that was then acknowledged"
            );
            match stood_still {
                true => records.exempt.push(description),
                false => records.violations.push(description),
            }
        }
    }

    /// Checks a state that a caller received.
    pub(crate) fn check_state(&self, id: Id, state: State) {
        let mut records = self.records();
        let Some(job) = records.jobs.get(&id).cloned() else {
            return;
        };
        if state == State::Completed {
            for (step, count) in job.steps.iter().enumerate() {
                for index in 0..*count {
                    let task = task_key(id, step, index);
                    let runs = records.runs.get(&task);
                    if !runs.is_some_and(|runs| runs.iter().any(|run| run.done)) {
                        let description =
                            format!("{id} is reported as completed, but {task} is not done");
                        records.violations.push(description);
                    }
                }
            }
        }
        if state == State::Failed {
            let job_runs = records
                .runs
                .range(task_key(id, 0, 0)..=task_key(id, usize::MAX, u32::MAX));
            let failures = job_runs.map(|(_, runs)| runs.iter().filter(|run| run.failed).count());
            if failures.max().unwrap_or(0) < MAX_ATTEMPTS as usize {
                let description = format!(
                    "{id} is reported as failed, but no task has {MAX_ATTEMPTS} failed runs"
                );
                records.violations.push(description);
            }
        }
        // An owner that is cut off may answer an older state than its successor has answered.
        let has_ended = |state: State| matches!(state, State::Completed | State::Failed);
        if let Some(job) = records.jobs.get_mut(&id)
            && !job.state.is_some_and(has_ended)
        {
            job.state = Some(state);
        }
    }

    /// Returns the accepted jobs that are neither cancelled nor ended.
    pub(crate) fn unfinished_jobs(&self) -> BTreeSet<Id> {
        let records = self.records();
        let unfinished = records.jobs.iter().filter(|(_, job)| {
            let ended = matches!(job.state, Some(State::Completed | State::Failed));
            job.accepted && job.cancelled_ms.is_none() && !ended
        });
        unfinished.map(|(id, _)| *id).collect()
    }

    /// Returns the violations, the number of accepted jobs and the number of runs.
    pub(crate) fn summary(&self) -> (Vec<String>, usize, usize) {
        let records = self.records();
        let accepted = records.jobs.values().filter(|job| job.accepted).count();
        let runs = records.runs.values().map(Vec::len).sum();
        (records.violations.clone(), accepted, runs)
    }

    /// Returns the second runs that follow from clocks that stood still.
    pub(crate) fn exempt(&self) -> Vec<String> {
        self.records().exempt.clone()
    }

    /// Returns a description of a job and its runs for a violation.
    pub(crate) fn describe_job(&self, id: Id) -> String {
        let records = self.records();
        let job_runs = records
            .runs
            .range(task_key(id, 0, 0)..=task_key(id, usize::MAX, u32::MAX));
        let runs: Vec<String> = job_runs
            .map(|(task, runs)| format!("{task}: {runs:?}"))
            .collect();
        format!("{:?} {}", records.jobs.get(&id), runs.join("; "))
    }
}
