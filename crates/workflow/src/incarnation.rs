//! Workers that started again under their ids.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::action::Action;
use crate::lost_attempt::Evidence;
use crate::shard::Shard;

/// Time from the start of an incarnation until the platform's directory certainly names it, in
/// milliseconds: a period of the workers' entries and the lag of the directory.
pub(crate) const LISTED_AFTER_MS: u64 = 2_500;

/// What calls that were meant for an earlier incarnation of a worker may do to the current one.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Restart {
    /// They are void: the worker has seen a later fencing token. It may still hold the longest lease
    /// because of them.
    #[serde(rename = "f")]
    Fenced,
    /// Nothing: the worker hasn't started again, or its lease is as granted again.
    #[default]
    #[serde(rename = "n")]
    None,
    /// They may still be carried out.
    #[serde(rename = "u")]
    Unfenced,
}

impl Restart {
    pub(crate) fn is_none(&self) -> bool {
        *self == Self::None
    }
}

/// A new incarnation of a worker, as its owner learns of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Incarnation {
    /// Worker.
    pub worker: Arc<str>,
    /// Incarnation, see [`crate::Worker::incarnation`].
    pub number: u64,
    /// Incarnation that the owner knew before.
    pub former_number: u64,
    /// Number of attempts that ended with the former incarnation.
    pub ended: usize,
    /// Number of attempts whose start the new incarnation may have carried out.
    pub pending: usize,
    /// Time on the owner's clock, in milliseconds, from which the lease of the new incarnation has
    /// certainly expired unless it is renewed; `None` if the owner counts on no lease.
    pub lease_expires_ms: Option<u64>,
}

/// A worker that didn't report to a successor, which takes all attempts of previous owners on it as
/// ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unreported {
    /// Worker.
    pub worker: Arc<str>,
    /// Incarnation that the owner counts on; 0 if it isn't known.
    pub incarnation: u64,
    /// Time since previous owners stopped commanding workers, in milliseconds.
    pub waited_ms: u64,
}

impl Shard {
    /// Resets the state for a new incarnation of a worker: the tasks of the previous one wait
    /// again, and steps with waiting tasks forget the answers of the advice service about it.
    pub(crate) fn begin_incarnation(&mut self, id: &Arc<str>, incarnation: u64, now_ms: u64) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let former_number = host.worker.incarnation;
        let lost = host.begin_incarnation(incarnation, now_ms);
        self.actions.push(Action::LogIncarnation(Incarnation {
            worker: id.clone(),
            number: incarnation,
            former_number,
            ended: lost.len(),
            pending: host.runs.len(),
            lease_expires_ms: host.lease.expires_at(),
        }));
        let expires_ms = host.lease.inherited_expiry(0);
        self.recovery.postpone(id, expires_ms);
        if !self.recovery.is_replaying() {
            // A successor must know of it although the directory may not name it.
            self.record_worker(id);
        }
        for (key, _) in lost {
            self.mark_run_lost(id, key, Evidence::NewIncarnation);
        }
        for key in self.waiting.keys() {
            if let Some(run) = self.step_run_mut(key) {
                run.advice.forget_worker(id);
            }
        }
        self.actions.push(Action::Renew(id.clone()));
        self.apply_older_entry(id, now_ms);
    }

    /// Applies an entry of the directory that was read before its incarnation was known to be the
    /// current one.
    fn apply_older_entry(&mut self, id: &str, now_ms: u64) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let incarnation = host.worker.incarnation;
        let entry = host.older_entry.take();
        if let Some(entry) = entry.filter(|entry| entry.incarnation == incarnation) {
            self.list_worker(entry, now_ms);
        }
    }
}
