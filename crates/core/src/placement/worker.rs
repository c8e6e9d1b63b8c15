//! State of a worker: target, connection, health and allocated resources.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::job::Task;
use crate::placement::Attempt;
use crate::placement::index::Slot;
use crate::placement::jobs::{Key, Serial};
use crate::size::Size;
use crate::target;
use crate::time::Instant;

/// Latest task outcomes that decide whether a worker is quarantined.
pub(crate) const EVALUATED_OUTCOMES: usize = 5;

/// When a leaving worker shuts down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Departure {
    /// At a stated time.
    At(Instant),
    /// At an unknown time.
    Unknown,
}

/// Connection state of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    /// When the unanswered `Sync` was sent.
    pub(crate) outstanding: Option<Instant>,
    /// Latest time at which a renewal or a placement may have reached the worker.
    pub(crate) last_contact: Instant,
    /// When the current series of failures began.
    pub(crate) failing_since: Option<Instant>,
    /// Whether the worker answered a `Sync` of this epoch.
    pub(crate) answered: bool,
    /// Whether the worker's leases of earlier epochs are known: it answered a `Sync` of this epoch,
    /// or its leases surely lapsed.
    pub(crate) surveyed: bool,
    /// Whether all leases surely lapsed because the worker was unreachable.
    pub(crate) lapsed: bool,
    /// Whether the worker has seen a newer epoch.
    pub(crate) fenced: bool,
    /// Placements without an answer.
    pub(crate) placements_in_flight: u32,
    /// When a placement failed. No new tasks until a `Sync` sent later is answered.
    pub(crate) suspect_since: Option<Instant>,
}

/// Quarantine of a worker on which all recent tasks failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Quarantine {
    /// Earliest start of the next probe.
    pub(crate) until: Instant,
    /// Delay before the probe in milliseconds. A failed probe doubles it if the job succeeds
    /// elsewhere.
    pub(crate) wait_ms: u64,
    /// Whether a probe may start now.
    pub(crate) probe_allowed: bool,
    /// Task that probes the worker.
    pub(crate) probe: Option<Key>,
}

/// Recent outcomes of tasks on a worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Latest outcomes: the job, and whether the task succeeded.
    pub(crate) recent: VecDeque<(Serial, bool)>,
    /// The latest two jobs that succeeded on the worker.
    pub(crate) succeeded_jobs: Vec<Serial>,
    pub(crate) quarantine: Option<Quarantine>,
}

/// State of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) target: target::Worker,
    pub(crate) rack: u32,
    pub(crate) listed: bool,
    pub(crate) departure: Option<Departure>,
    /// Whether the worker itself announces that it is shutting down.
    pub(crate) announced: bool,
    pub(crate) link: Link,
    /// Tasks placed on the worker.
    pub(crate) keys: Vec<Key>,
    /// Resources allocated to the leases of known tasks.
    pub(crate) held: Size,
    /// Resources of orphaned leases, which belong to no current attempt of a task
    /// and are stopped once the kernel is settled.
    pub(crate) orphaned: Size,
    /// Finished attempts to acknowledge with the next `Sync`.
    pub(crate) acknowledge: Vec<(Task, Attempt)>,
    /// Acknowledgements of the `Sync` in flight.
    pub(crate) acknowledging: Vec<(Task, Attempt)>,
    pub(crate) health: Health,
    /// Whether the worker accepts only short tasks.
    pub(crate) short_only: bool,
    /// Whether the worker is reserved for a gang or an urgent job.
    pub(crate) reserved: bool,
    /// Level of escalation against use near the VM's size; 0 is none.
    pub(crate) pressure: u8,
    /// Time of the next poll.
    pub(crate) next_poll: Instant,
}

impl Worker {
    /// Returns the resources that are not allocated.
    pub(crate) fn free(&self) -> Size {
        self.target.size - self.held - self.orphaned
    }

    /// Returns whether new tasks may be placed on the worker.
    pub(crate) fn is_usable(&self) -> bool {
        let link = &self.link;
        let reachable = link.surveyed && !link.lapsed && !link.fenced;
        let trusted = link.failing_since.is_none() && link.suspect_since.is_none();
        let staying = self.listed && self.departure.is_none() && !self.announced;
        staying && reachable && trusted && self.is_healthy()
    }

    /// Returns the condition that operators see, or `None` if there is no problem.
    pub(crate) fn condition(&self) -> Option<Arc<str>> {
        let link = &self.link;
        let condition = if link.fenced {
            "fenced"
        } else if !self.listed {
            "unlisted"
        } else if link.lapsed || link.failing_since.is_some() {
            "unreachable"
        } else if !link.surveyed {
            "unsurveyed"
        } else if self.health.quarantine.is_some() {
            "quarantined"
        } else if self.pressure > 0 {
            "overloaded"
        } else {
            return None;
        };
        Some(condition.into())
    }

    fn is_healthy(&self) -> bool {
        let blocked =
            |quarantine: &Quarantine| !quarantine.probe_allowed || quarantine.probe.is_some();
        !self.health.quarantine.as_ref().is_some_and(blocked)
    }
}

impl Link {
    /// Creates the state of a worker that has not been contacted in this epoch.
    pub(crate) fn new(epoch_start: Instant, surveyed: bool) -> Self {
        Self {
            outstanding: None,
            last_contact: epoch_start,
            failing_since: None,
            answered: false,
            surveyed,
            lapsed: false,
            fenced: false,
            placements_in_flight: 0,
            suspect_since: None,
        }
    }
}

/// Adds a value unless present, and keeps only the latest two.
pub(crate) fn keep_latest_two<T: PartialEq>(values: &mut Vec<T>, value: T) {
    if values.contains(&value) {
        return;
    }
    if values.len() == 2 {
        values.remove(0);
    }
    values.push(value);
}

/// Scheduled poll of a worker.
pub(crate) type Poll = (Instant, Slot);
