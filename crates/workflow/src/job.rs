//! Job specifications and the queues that jobs are submitted to.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use rosemaryworks_core::size::Size;
use serde::{Deserialize, Serialize};

use crate::memory::Cost;

/// Identifier of a job, chosen by the caller. Formatted as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id(pub u64);

/// Digest of the host and path under which jobs are submitted to a queue. The default stands for an
/// unknown address.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Address(pub u64);

/// Number of hexadecimal digits of an [`Id`].
const ID_DIGITS: usize = 16;

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Id {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // `from_str_radix` accepts a plus sign. It returns an error for an empty text.
        let is_well_formed = text.len() == ID_DIGITS && !text.starts_with('+');
        u64::from_str_radix(if is_well_formed { text } else { "" }, 16).map(Self)
    }
}

/// Returns whether a field has the value that a record without the field is read with.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A step of a job: a number of identical tasks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Step {
    /// Indexes of the steps that must complete first.
    #[serde(skip_serializing_if = "is_default")]
    pub after: Vec<u16>,
    /// Whether the tasks write checkpoints.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Number of tasks.
    #[serde(skip_serializing_if = "is_default")]
    pub count: u32,
    /// Estimated run time of a task in milliseconds.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Whether the tasks use only processor time that other tasks leave idle.
    #[serde(rename = "fills", skip_serializing_if = "is_default")]
    pub best_effort: bool,
    /// Whether the tasks run all together or not at all.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Image that the tasks run. Tasks of one image behave alike.
    #[serde(skip_serializing_if = "is_default")]
    pub image: Arc<str>,
    /// Number of tasks that planned operations may take down at the same time.
    #[serde(rename = "may_miss", skip_serializing_if = "is_default")]
    pub max_unavailable: u32,
    /// Rack near the data of the tasks.
    #[serde(rename = "near", skip_serializing_if = "is_default")]
    pub preferred_rack: Option<Arc<str>>,
    /// Whether a gang is slower when it spans several racks.
    #[serde(skip_serializing_if = "is_default")]
    pub one_rack: bool,
    /// Label that a worker must have.
    #[serde(skip_serializing_if = "is_default")]
    pub requires: Option<Arc<str>>,
    /// Whether the tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub service: bool,
    /// Resources that a task requests.
    #[serde(skip_serializing_if = "is_default")]
    pub size: Size,
    /// Maximum number of tasks on one worker; 0 for no limit.
    #[serde(rename = "spread", skip_serializing_if = "is_default")]
    pub max_per_worker: u32,
    /// Objective for the tail latency of a service task in milliseconds; 0 for none.
    #[serde(rename = "target_ms", skip_serializing_if = "is_default")]
    pub latency_target_ms: u64,
}

impl Step {
    /// Returns the capacity that a task occupies on a worker.
    #[must_use]
    pub fn demand(&self) -> Size {
        let mut size = self.size;
        if self.best_effort {
            size.millicores = 0;
        }
        size
    }
}

/// Specification of a job.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Spec {
    /// Address at which the job was submitted.
    #[serde(rename = "at", skip_serializing_if = "is_default")]
    pub address: Address,
    /// Unix time in milliseconds of the first occurrence.
    pub first_ms: u64,
    /// Time between occurrences in milliseconds.
    pub interval_ms: u64,
    /// Steps of each occurrence.
    pub steps: Vec<Step>,
    /// Team whose key submitted the job; `None` for jobs of anonymous routes and without teams.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub team: Option<Arc<str>>,
    /// Opaque text passed to every task.
    pub text: Arc<str>,
    /// Number of occurrences; 0 for a job that runs once, immediately.
    pub times: u32,
}

impl Spec {
    /// Returns the number of occurrences of the job, at least 1.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.times.max(1)
    }

    /// Returns the number of tasks of the occurrences that are due at `unix_ms`, or of one occurrence
    /// if none is due yet.
    #[must_use]
    pub fn due_tasks(&self, unix_ms: u64) -> u64 {
        let since_ms = unix_ms.saturating_sub(self.first_ms);
        let due = match self.interval_ms {
            0 => u64::MAX,
            interval_ms => (since_ms / interval_ms).saturating_add(1),
        };
        let due = match unix_ms < self.first_ms {
            true => 1,
            false => due.min(u64::from(self.occurrences())),
        };
        let counts = self.steps.iter().map(|step| u64::from(step.count));
        due.saturating_mul(counts.sum())
    }

    /// Returns the memory in bytes that an owner holds for the job with one occurrence.
    #[must_use]
    pub fn memory_bytes(&self) -> u64 {
        Cost::of(self).open(1)
    }

    /// Returns the Unix time in milliseconds at which an occurrence is due.
    pub(crate) fn due_ms(&self, occurrence: u32) -> u64 {
        let after_ms = u64::from(occurrence).saturating_mul(self.interval_ms);
        self.first_ms.saturating_add(after_ms)
    }
}

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// The job was cancelled.
    Cancelled,
    /// Every task has completed.
    Completed,
    /// A task failed as often as the queue allows.
    Failed,
    /// No task has started yet.
    Pending,
    /// A task has started.
    Running,
}

/// Call duration and permit validity of the advice service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdviceTerms {
    /// Base duration of a call in milliseconds.
    pub call_ms: f64,
    /// Duration that each named worker adds, in milliseconds.
    pub worker_ms: f64,
    /// Validity of a permit in milliseconds.
    pub validity_ms: u64,
}

/// Settings of a job queue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Queue {
    /// Failed attempts of a task after which its job fails.
    pub max_attempts: u32,
    /// Advice service that must permit starts; `None` if every worker of the pool may run every
    /// step.
    pub advice: Option<AdviceTerms>,
    /// Name of the queue.
    pub name: Arc<str>,
    /// Pool of workers that run its tasks.
    pub pool: Arc<str>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Part of the objective for the completion time, as a multiple of the run time.
    pub slack_factor: f64,
    /// Constant part of the objective for the completion time, added to the part of
    /// `slack_factor`, in milliseconds.
    pub slo_ms: u64,
}
