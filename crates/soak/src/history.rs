//! What the workers saw, and what must hold of it.

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
    done: bool,
    failed: bool,
    /// Whether the worker was told that it may forget the end.
    noted: bool,
}

/// A job as its caller submitted it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Job {
    /// Tasks of each step. Each step needs the one before it.
    pub(crate) steps: Vec<u32>,
    /// Whether an attempt was accepted.
    pub(crate) accepted: bool,
    /// Whether every attempt was refused.
    pub(crate) refused: bool,
    /// Time of an acknowledged cancellation in milliseconds.
    pub(crate) cancelled_ms: Option<u64>,
    /// Last state that was shown.
    pub(crate) state: Option<State>,
}

#[derive(Default)]
struct Book {
    runs: BTreeMap<Key, Vec<Run>>,
    jobs: BTreeMap<Id, Job>,
    violations: Vec<String>,
}

/// Everything that was seen from outside.
pub(crate) struct History {
    start: Instant,
    book: Mutex<Book>,
}

/// Time after an acknowledged cancellation from which no task of the job starts, in milliseconds.
const CANCEL_MS: u64 = 3_000;

/// Failed runs of a task after which its job fails.
pub(crate) const ATTEMPTS: u32 = 4;

/// Names a task of a job without occurrences.
fn key(job: Id, step: usize, index: u32) -> Key {
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
            book: Mutex::default(),
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn book(&self) -> std::sync::MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn violate(&self, what: String) {
        let now_ms = self.now_ms();
        self.book().violations.push(format!("{now_ms} ms: {what}"));
    }

    pub(crate) fn submitted(&self, id: Id, steps: Vec<u32>) {
        let job = Job {
            steps,
            ..Job::default()
        };
        self.book().jobs.insert(id, job);
    }

    pub(crate) fn update(&self, id: Id, change: impl FnOnce(&mut Job)) {
        if let Some(job) = self.book().jobs.get_mut(&id) {
            change(job);
        }
    }

    /// Notes a start and checks it against everything before it.
    pub(crate) fn started(&self, task: Key, worker: &str) {
        let now_ms = self.now_ms();
        let mut book = self.book();
        let mut found = Vec::new();
        let (id, step) = (task.step.job, usize::from(task.step.step));
        match book.jobs.get(&id) {
            None => found.push(format!("{task} was never submitted")),
            Some(job) => {
                if job.refused {
                    found.push(format!("{task} starts although its job was refused"));
                }
                if job.cancelled_ms.is_some_and(|at| now_ms > at + CANCEL_MS) {
                    found.push(format!("{task} starts after its cancellation"));
                }
                for index in 0..step.checked_sub(1).map_or(0, |before| job.steps[before]) {
                    let before = key(id, step - 1, index);
                    let runs = book.runs.get(&before);
                    if !runs.is_some_and(|runs| runs.iter().any(|run| run.done)) {
                        found.push(format!("{task} starts before {before} is done"));
                    }
                }
            }
        }
        let runs = book.runs.entry(task).or_default();
        for run in runs.iter() {
            if run.ended_ms.is_none() {
                found.push(format!("{task} runs on {} and on {worker}", run.worker));
            }
            if run.done && run.noted {
                found.push(format!("{task} starts on {worker} after it is done"));
            }
        }
        runs.push(Run {
            worker: worker.to_owned(),
            began_ms: now_ms,
            ended_ms: None,
            done: false,
            failed: false,
            noted: false,
        });
        let found = found.into_iter().map(|what| format!("{now_ms} ms: {what}"));
        book.violations.extend(found);
    }

    pub(crate) fn ended(&self, task: Key, worker: &str, how: Outcome) {
        let now_ms = self.now_ms();
        let mut book = self.book();
        let runs = book.runs.entry(task).or_default();
        let open = |run: &&mut Run| run.ended_ms.is_none() && run.worker == worker;
        if let Some(run) = runs.iter_mut().rev().find(open) {
            run.ended_ms = Some(now_ms);
            run.done = how == Outcome::Done;
            run.failed = how == Outcome::Failed;
        }
    }

    /// Notes that a worker was told to forget an end.
    pub(crate) fn noted(&self, task: Key, worker: &str) {
        let mut book = self.book();
        let mut twice = false;
        if let Some(runs) = book.runs.get_mut(&task) {
            let position = runs
                .iter()
                .rposition(|run| run.worker == worker && run.ended_ms.is_some());
            if let Some(position) = position {
                runs[position].noted = true;
                let ended_ms = runs[position].ended_ms;
                let later = |run: &Run| Some(run.began_ms) > ended_ms;
                twice = runs[position].done && runs.iter().skip(position + 1).any(later);
            }
        }
        if twice {
            let now_ms = self.now_ms();
            let what = format!("{now_ms} ms: {task} had started again after an end that counts");
            book.violations.push(what);
        }
    }

    /// Checks a state that was shown to a caller.
    pub(crate) fn shown(&self, id: Id, state: State) {
        let mut book = self.book();
        let Some(job) = book.jobs.get(&id).cloned() else {
            return;
        };
        if state == State::Completed {
            for (step, count) in job.steps.iter().enumerate() {
                for index in 0..*count {
                    let task = key(id, step, index);
                    let runs = book.runs.get(&task);
                    if !runs.is_some_and(|runs| runs.iter().any(|run| run.done)) {
                        let what = format!("{id} is shown as completed without {task}");
                        book.violations.push(what);
                    }
                }
            }
        }
        if state == State::Failed {
            let of_job = book
                .runs
                .range(key(id, 0, 0)..=key(id, usize::MAX, u32::MAX));
            let failures = of_job.map(|(_, runs)| runs.iter().filter(|run| run.failed).count());
            if failures.max().unwrap_or(0) < ATTEMPTS as usize {
                let what = format!("{id} is shown as failed without {ATTEMPTS} failed runs");
                book.violations.push(what);
            }
        }
        if let Some(job) = book.jobs.get_mut(&id) {
            job.state = Some(state);
        }
    }

    /// Lists the jobs that were accepted, are not cancelled and have not reached their end.
    pub(crate) fn open(&self) -> BTreeSet<Id> {
        let book = self.book();
        let open = book.jobs.iter().filter(|(_, job)| {
            let ended = matches!(job.state, Some(State::Completed | State::Failed));
            job.accepted && job.cancelled_ms.is_none() && !ended
        });
        open.map(|(id, _)| *id).collect()
    }

    /// Returns what was violated, and the numbers of accepted jobs and of runs.
    pub(crate) fn result(&self) -> (Vec<String>, usize, usize) {
        let book = self.book();
        let accepted = book.jobs.values().filter(|job| job.accepted).count();
        let runs = book.runs.values().map(Vec::len).sum();
        (book.violations.clone(), accepted, runs)
    }

    /// Returns the state and the runs of a job, for a report.
    pub(crate) fn story(&self, id: Id) -> String {
        let book = self.book();
        let of_job = book
            .runs
            .range(key(id, 0, 0)..=key(id, usize::MAX, u32::MAX));
        let runs: Vec<String> = of_job
            .map(|(task, runs)| format!("{task}: {runs:?}"))
            .collect();
        format!("{:?} {}", book.jobs.get(&id), runs.join("; "))
    }
}
