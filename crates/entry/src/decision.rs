//! Decision of an owner on a new job: to store it, or to refuse it because it can't start in time or
//! there is no memory for it.

use std::collections::HashMap;

use rosemaryworks_node::clock;
use rosemaryworks_workflow::memory::Share;
use rosemaryworks_workflow::{Id, Record, Shard, Spec};

use crate::events;
use crate::node::lock;
use crate::owner::Owner;

/// Time after which the caller of a job for which there is no memory should return, in milliseconds.
pub(crate) const MEMORY_WAIT_MS: u64 = 5_000;

/// Time for which memory is reserved for a job whose outcome is unknown, in milliseconds. An append
/// without an answer may be carried out later.
const RESERVED_MS: u64 = 30_000;

/// Decision on a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Decision {
    /// The record may be stored. Memory is reserved for it.
    Store,
    /// The job is not stored.
    Refuse {
        /// Time that the caller should wait before it submits the job again, in milliseconds.
        wait_ms: u64,
    },
    /// There is no room for the job, and whether it is stored already can't be told.
    Undecided,
}

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reason {
    Capacity,
    Memory,
}

/// Outcome of the checks of one state of the shard.
enum Check {
    Passed,
    Failed { reason: Reason, wait_ms: u64 },
}

/// Memory that is reserved for jobs that are being stored.
#[derive(Debug, Default)]
pub(crate) struct Reservations(HashMap<Id, (u64, Share)>);

impl Reservations {
    fn add(&mut self, id: Id, share: Share, now_ms: u64) {
        self.0.insert(id, (now_ms + RESERVED_MS, share));
    }

    /// Releases the memory of a job that is not stored.
    pub(crate) fn release(&mut self, id: Id) {
        self.0.remove(&id);
    }

    /// Releases the memory of jobs that the shard knows, and of those that were not stored in time.
    pub(crate) fn release_known(&mut self, state: &Shard, now_ms: u64) {
        let is_needed = |id: &Id, until_ms: u64| state.state(*id).is_none() && now_ms < until_ms;
        self.0.retain(|id, (until_ms, _)| is_needed(id, *until_ms));
    }
}

impl Owner {
    /// Decides on a record. A refusal promises that the job doesn't run.
    pub(crate) async fn decide(&self, record: &Record) -> Decision {
        let Record::Submitted { id, queue, spec } = record else {
            return Decision::Store;
        };
        if self.is_ended() {
            return Decision::Store;
        }
        let asked_ms = clock::now().0;
        let reason = match self.check(*id, spec, record) {
            Check::Passed => return Decision::Store,
            Check::Failed { reason, .. } => reason,
        };
        // A submission of the same job through another VM may be stored and not read yet.
        if !self.read_to_end(asked_ms).await {
            return match reason {
                Reason::Capacity => Decision::Store,
                Reason::Memory => Decision::Undecided,
            };
        }
        match self.check(*id, spec, record) {
            Check::Passed => Decision::Store,
            Check::Failed { reason, wait_ms } => {
                events::REFUSED.log(format_args!(
                    "job={id} queue={queue} team={} reason={reason:?} wait_ms={wait_ms}",
                    spec.team.as_deref().unwrap_or_default()
                ));
                Decision::Refuse { wait_ms }
            }
        }
    }

    fn check(&self, id: Id, spec: &Spec, record: &Record) -> Check {
        let now_ms = clock::now().0;
        let state = self.state();
        let mut attempts = lock(&self.attempts);
        // An earlier attempt to store the job may still be carried out.
        if state.state(id).is_some() || attempts.contains(id, now_ms) {
            return Check::Passed;
        }
        let Some(share) = self.memory().reserve(spec.memory_bytes()) else {
            return Check::Failed {
                reason: Reason::Memory,
                wait_ms: MEMORY_WAIT_MS,
            };
        };
        match attempts.judge(&state, record, now_ms) {
            Some(wait_ms) => Check::Failed {
                reason: Reason::Capacity,
                wait_ms,
            },
            None => {
                lock(&self.reserved).add(id, share, now_ms);
                Check::Passed
            }
        }
    }

    /// Releases the memory that is reserved for a record which is not stored.
    pub(crate) fn release(&self, record: &Record) {
        if let Record::Submitted { id, .. } = record {
            lock(&self.reserved).release(*id);
        }
    }
}
