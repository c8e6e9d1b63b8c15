//! Attempts that the owner regards as ended although no worker has reported their end.

use std::sync::Arc;

use crate::action::Action;
use crate::run::Placement;
use crate::shard::Shard;
use crate::start::Refusal;
use crate::task::Key;

/// Why the owner regards an attempt as ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// The worker's report lists the attempt neither as running nor as ended.
    Absent,
    /// The lease of the worker has expired.
    LeaseExpired,
    /// The worker has started again.
    NewIncarnation,
    /// The worker refused the start.
    StartRefused(Refusal),
    /// Another worker answers at the worker's address.
    WrongInstance,
}

/// An attempt that the owner regards as ended, so that its task may start again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostAttempt {
    /// Worker of the attempt.
    pub worker: Arc<str>,
    /// Task of the attempt.
    pub key: Key,
    /// Number of the attempt.
    pub attempt: u32,
    /// Why it counts as ended.
    pub evidence: Evidence,
    /// Time on the owner's clock, in milliseconds, from which the lease of the worker has certainly
    /// expired; `None` if no lease of the current incarnation is known.
    pub lease_expires_ms: Option<u64>,
    /// Time on the owner's clock, in milliseconds, at which the worker stopped answering; `None` if
    /// it answers.
    pub unresponsive_since_ms: Option<u64>,
}

impl Shard {
    /// Removes attempts on a worker and makes their tasks wait again.
    pub(crate) fn mark_runs_lost(&mut self, id: &str, keys: Vec<Key>, evidence: Evidence) {
        for key in keys {
            if let Some(host) = self.hosts.get_mut(id) {
                host.remove(&key);
            }
            self.mark_run_lost(id, key, evidence);
        }
    }

    /// Makes the task of an attempt that its worker no longer runs wait again.
    pub(crate) fn mark_run_lost(&mut self, worker: &str, key: Key, evidence: Evidence) {
        let Some(step) = self.step_run_mut(key.step) else {
            return;
        };
        let Some(task) = step.tasks.get(key.index as usize) else {
            return;
        };
        if !matches!(&task.placement, Placement::Assigned(on) if &**on == worker) {
            return;
        }
        let attempt = task.attempt;
        step.set_placement(key.index, Placement::Waiting);
        self.enqueue(key.step);
        let host = self.hosts.get(worker);
        self.actions.push(Action::LogLost(LostAttempt {
            worker: worker.into(),
            key,
            attempt,
            evidence,
            lease_expires_ms: host.and_then(|host| host.lease.expires_at()),
            unresponsive_since_ms: host.and_then(|host| host.unresponsive_since_ms),
        }));
    }
}
