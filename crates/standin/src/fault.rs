//! Failures that can be injected over the control port.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A failure, or the end of one. `POST /v1/fault` takes it as JSON, such as
/// `{"fault":"log-slow","delay_ms":1500}`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "fault")]
pub enum Fault {
    /// Calls to the log are not answered and have no effect.
    LogDown,
    /// The next appends take effect, but their answers are lost.
    LogLoseAnswers {
        /// Number of appends.
        count: u32,
    },
    /// The next appends are refused.
    LogReject {
        /// Number of appends.
        count: u32,
    },
    /// Calls to the log take longer.
    LogSlow {
        /// Milliseconds by which each call is delayed.
        delay_ms: u64,
    },
    /// The log works again.
    LogUp,
    /// No call reaches the workers; their tasks go on until the leases lapse.
    WorkersCut {
        /// Workers or racks.
        targets: Vec<Arc<str>>,
    },
    /// The workers die with their tasks.
    WorkersDied {
        /// Workers or racks.
        targets: Vec<Arc<str>>,
    },
    /// The workers answer again. Those that died come back empty.
    WorkersUp {
        /// Workers or racks.
        targets: Vec<Arc<str>>,
    },
    /// The worker fails every task that starts from now on, or no longer.
    WorkerFails {
        /// Worker.
        target: Arc<str>,
        /// Whether it fails.
        fails: bool,
    },
    /// The instance dies with its requests.
    InstanceCrashed {
        /// Instance.
        target: Arc<str>,
    },
    /// The instance cuts its answers in the middle.
    InstanceCuts {
        /// Instance.
        target: Arc<str>,
    },
    /// Requests at the instance take longer.
    InstanceSlow {
        /// Instance.
        target: Arc<str>,
        /// Run time in percent of what the requests ask for.
        percent: u64,
    },
    /// The instance works normally again.
    InstanceUp {
        /// Instance.
        target: Arc<str>,
    },
    /// The platform announces that a VM is leaving.
    Leaving {
        /// Worker or instance.
        target: Arc<str>,
        /// Whether the list of VMs tells so.
        list: bool,
        /// Whether the VM itself tells so.
        itself: bool,
        /// Milliseconds until the VM stops, if the platform says so.
        within_ms: Option<u64>,
    },
    /// The VM is removed from the list. Stop it first with another fault.
    Removed {
        /// Worker or instance.
        target: Arc<str>,
    },
    /// The list shows the VM as live again, and the VM takes work.
    Returned {
        /// Worker or instance.
        target: Arc<str>,
    },
}
