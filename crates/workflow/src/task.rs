//! Names of steps and tasks, and how runs end.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::job::Id;

/// A step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StepKey {
    /// Job.
    pub job: Id,
    /// Occurrence, counted from 0.
    pub occurrence: u32,
    /// Step, counted from 0.
    pub step: u16,
}

/// A task. Shown as the job, the occurrence, the step and the index, joined by dots.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Step that the task belongs to.
    pub step: StepKey,
    /// Number of the task within its step, counted from 0.
    pub index: u32,
}

/// A text that doesn't name a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Malformed;

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for Key {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(Malformed);
        let job = next()?.parse().map_err(|_| Malformed)?;
        let occurrence = next()?.parse().map_err(|_| Malformed)?;
        let step = next()?.parse().map_err(|_| Malformed)?;
        let index = next()?.parse().map_err(|_| Malformed)?;
        let step = StepKey {
            job,
            occurrence,
            step,
        };
        match parts.next() {
            None => Ok(Self { step, index }),
            Some(_) => Err(Malformed),
        }
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The other members of its gang did not appear in time.
    #[serde(rename = "a")]
    GangIncomplete,
    /// Another member of its gang ended.
    #[serde(rename = "b")]
    GangBroken,
    /// It completed its work.
    #[serde(rename = "d")]
    Done,
    /// It failed through its own fault or the worker's.
    #[serde(rename = "f")]
    Failed,
    /// Its lease lapsed, or the worker was lost.
    #[serde(rename = "l")]
    Lapsed,
    /// It was stopped by an order.
    #[serde(rename = "s")]
    Stopped,
}
