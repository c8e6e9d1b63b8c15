//! Actual run time, resource use and result of a task.

use rosemaryworks_platform::workers::Grant;
use serde::Deserialize;

use crate::settings::Tasks;

/// Overrides in the payload of a job, given as a JSON object. Any other payload is ignored.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct Payload {
    /// Whether the task ends with a failure.
    fails: bool,
    /// Actual run time in milliseconds.
    run_ms: Option<u64>,
    /// Actual run time in percent of the declared one.
    run_percent: Option<u64>,
    /// Actual resource use in percent of the declared size.
    use_percent: Option<u64>,
}

/// Simulated execution of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Plan {
    pub(super) fails: bool,
    pub(super) run_ms: u64,
    pub(super) use_percent: u64,
}

impl Plan {
    pub(super) fn new(grant: &Grant, tasks: &Tasks) -> Self {
        let payload = grant.payload.as_deref().unwrap_or_default();
        let payload: Payload = serde_json::from_str(payload).unwrap_or_default();
        let percent = payload.run_percent.unwrap_or(tasks.run_percent);
        let default_ms = grant.run_ms.saturating_mul(percent) / 100;
        Self {
            fails: payload.fails,
            run_ms: payload.run_ms.unwrap_or(default_ms),
            use_percent: payload.use_percent.unwrap_or(tasks.use_percent),
        }
    }
}
