//! Fault injection: failures that a test starts or clears over the control port.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A failure to inject, or to clear. The JSON body of `POST /v1/fault`, for example
/// `{"fault":"log-slow","delay_ms":1500}`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "fault")]
pub enum Fault {
    /// The log is unreachable: calls get no response and have no effect.
    LogDown,
    /// The next appends take effect, but their responses are lost.
    LogLoseAnswers {
        /// Number of appends.
        count: u32,
    },
    /// The next appends are rejected.
    LogReject {
        /// Number of appends.
        count: u32,
    },
    /// Calls to the log are delayed.
    LogSlow {
        /// Milliseconds by which each call is delayed.
        delay_ms: u64,
    },
    /// All failures of the log are cleared.
    LogUp,
    /// The workers are partitioned: no call reaches them, and their tasks run until the leases
    /// expire.
    WorkersCut {
        /// Names of workers or racks.
        targets: Vec<Arc<str>>,
    },
    /// The workers crash and lose their tasks.
    WorkersDied {
        /// Names of workers or racks.
        targets: Vec<Arc<str>>,
    },
    /// The workers are reachable again. Those that crashed restart without state.
    WorkersUp {
        /// Names of workers or racks.
        targets: Vec<Arc<str>>,
    },
    /// Sets whether every task that starts from now on fails.
    WorkerFails {
        /// Name of the worker.
        target: Arc<str>,
        /// Whether tasks fail.
        fails: bool,
    },
    /// The instance crashes and loses its running requests.
    InstanceCrashed {
        /// Name of the instance.
        target: Arc<str>,
    },
    /// The instance closes connections in the middle of its responses.
    InstanceCuts {
        /// Name of the instance.
        target: Arc<str>,
    },
    /// Requests at the instance run more slowly.
    InstanceSlow {
        /// Name of the instance.
        target: Arc<str>,
        /// Run time in percent of the requested one.
        percent: u64,
    },
    /// All failures of the instance are cleared.
    InstanceUp {
        /// Name of the instance.
        target: Arc<str>,
    },
    /// The platform announces that a VM is leaving.
    Leaving {
        /// Name of a worker or instance.
        target: Arc<str>,
        /// Whether the list of VMs announces it.
        list: bool,
        /// Whether the VM itself announces it.
        itself: bool,
        /// Milliseconds until the VM stops, if the platform announces a time.
        within_ms: Option<u64>,
    },
    /// The VM is removed from the list. The VM itself keeps running; stop it first with another
    /// fault.
    Removed {
        /// Name of a worker or instance.
        target: Arc<str>,
    },
    /// The VM is listed as live again and accepts work.
    Returned {
        /// Name of a worker or instance.
        target: Arc<str>,
    },
}
