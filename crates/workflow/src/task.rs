//! Keys of steps and tasks, and outcomes of attempts.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::job::Id;

/// Key of a step in one occurrence of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StepKey {
    /// Identifier of the job.
    pub job: Id,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u16,
}

/// Key of a task. Formatted as job, occurrence, step and index, joined by dots.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Step that the task belongs to.
    pub step: StepKey,
    /// Index of the task within its step, from 0.
    pub index: u32,
}

/// Error returned if a text is not a valid task key.
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

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The attempt ended because the other members of its gang did not start in time.
    #[serde(rename = "a")]
    GangIncomplete,
    /// The attempt ended because another member of its gang ended.
    #[serde(rename = "b")]
    GangBroken,
    /// The attempt completed its work.
    #[serde(rename = "d")]
    Done,
    /// The attempt failed, through its own fault or the worker's.
    #[serde(rename = "f")]
    Failed,
    /// The lease expired, or the worker was lost.
    #[serde(rename = "l")]
    Lapsed,
    /// The attempt was stopped by a request.
    #[serde(rename = "s")]
    Stopped,
}
