//! Jobs as submitted, and the queues that they are submitted to.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use rosemaryworks_core::size::Size;
use serde::{Deserialize, Serialize};

/// Identifier of a job, chosen by its caller. Shown as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id(pub u64);

/// Digits of an [`Id`].
const ID_DIGITS: usize = 16;

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Id {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let plain = text.len() == ID_DIGITS && !text.starts_with('+');
        u64::from_str_radix(if plain { text } else { "" }, 16).map(Self)
    }
}

/// Tasks of one kind within a job.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Step {
    /// Earlier steps that must have completed first.
    pub after: Vec<u16>,
    /// Whether tasks save their progress.
    pub checkpoints: bool,
    /// Number of tasks.
    pub count: u32,
    /// Declared run time of a task in milliseconds.
    pub estimate_ms: u64,
    /// Whether the tasks use only processor time that other tasks leave unused.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Whether the tasks run all at once or not at all.
    pub gang: bool,
    /// What the tasks run. Tasks of one image behave alike.
    pub image: Arc<str>,
    /// Number of tasks that may be away at a time because of planned actions.
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
    /// Rack near the data of the tasks.
    #[serde(rename = "near")]
    pub preferred_rack: Option<Arc<str>>,
    /// Whether a gang runs slower on more than one rack.
    pub one_rack: bool,
    /// Label that the worker must have.
    pub requires: Option<Arc<str>>,
    /// Whether the tasks run until the job is cancelled.
    pub service: bool,
    /// Size of a task.
    pub size: Size,
    /// Largest number of tasks on one worker; 0 for no limit.
    #[serde(rename = "spread")]
    pub max_per_worker: u32,
    /// Bound on the tail of the response times of a service task in milliseconds; 0 for none.
    #[serde(rename = "target_ms")]
    pub latency_target_ms: u64,
}

impl Step {
    /// Returns what a task takes of a worker's capacity.
    #[must_use]
    pub fn demand(&self) -> Size {
        let mut size = self.size;
        if self.best_effort {
            size.millicores = 0;
        }
        size
    }
}

/// A job as its caller describes it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Spec {
    /// Unix time in milliseconds at which the first occurrence is due.
    pub first_ms: u64,
    /// Milliseconds between occurrences.
    pub interval_ms: u64,
    /// Steps.
    pub steps: Vec<Step>,
    /// Text handed to every task.
    pub text: Arc<str>,
    /// Number of occurrences; 0 for a job that runs once, at once.
    pub times: u32,
}

impl Spec {
    /// Returns the number of occurrences of the job.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.times.max(1)
    }
}

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// Cancelled.
    Cancelled,
    /// Every task has completed.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// No task has started yet.
    Pending,
    /// A task has started.
    Running,
}

/// Terms of the service that tells which workers may run a step.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdviceTerms {
    /// Time of a call in milliseconds.
    pub call_ms: f64,
    /// Time that each named worker adds, in milliseconds.
    pub worker_ms: f64,
    /// Time for which a permit is valid, in milliseconds.
    pub validity_ms: u64,
}

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Starts of a task that may fail.
    pub max_attempts: u32,
    /// Advice that starts need; none if every worker of the pool may run every step.
    pub advice: Option<AdviceTerms>,
    /// Name.
    pub name: Arc<str>,
    /// Pool of workers that run its tasks.
    pub pool: Arc<str>,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Objective of the time to completion, in multiples of the run time.
    pub slack_factor: f64,
    /// Objective of the time to completion beyond `slack_factor`, in milliseconds.
    pub slo_ms: u64,
}
