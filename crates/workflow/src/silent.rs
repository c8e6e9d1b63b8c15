//! Workers that don't answer, against takeovers that wait for them.
//!
//! A successor can't ask a silent worker what it runs, and would hold back every inherited task
//! until the worker's lease has expired. The owner therefore records what a silent worker may run;
//! the worker gets no more tasks until its return is durable, too.

use std::sync::Arc;

use crate::host::Liveness;
use crate::incarnation::Restart;
use crate::record::Record;
use crate::shard::Shard;
use crate::task::Key;

/// Time without an answer after which the tasks of a worker are recorded, in milliseconds. Longer
/// than most lost answers take.
const RECORD_AFTER_MS: u64 = 300;

/// What is recorded about a worker that doesn't answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) enum Silence {
    /// Nothing, or the return of the worker is durable.
    #[default]
    Unrecorded,
    /// The worker may run these tasks and no others.
    Recorded(Vec<Key>),
    /// The record with this number says that the worker exists or answers again. Until it is durable,
    /// a successor would not expect further tasks on the worker.
    Returning(u64),
}

impl Shard {
    /// Records the tasks of a worker that doesn't answer, and that it runs none any more once its
    /// lease has expired.
    pub(crate) fn record_silence(&mut self, id: &Arc<str>, now_ms: u64) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let is_silent = host.liveness == Liveness::Unresponsive
            && host
                .unresponsive_since_ms
                .is_some_and(|since| now_ms >= since + RECORD_AFTER_MS);
        // This owner doesn't know the attempts of a worker that has never reported to it.
        if !is_silent || self.recovery.may_run_attempts(id) {
            return;
        }
        let is_due = match &host.silence {
            Silence::Recorded(tasks) => !tasks.is_empty() && host.runs.is_empty(),
            Silence::Unrecorded | Silence::Returning(_) => true,
        };
        if is_due {
            let tasks: Vec<Key> = host.runs.keys().copied().collect();
            host.silence = Silence::Recorded(tasks.clone());
            let worker = id.clone();
            self.record(Record::WorkerSilent { worker, tasks });
        }
    }

    /// Lets a worker have tasks only once the records issued so far are durable, the last of which
    /// names it: a successor that finds it in no list must know it.
    pub(crate) fn use_once_recorded(&mut self, id: &Arc<str>) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.silence = Silence::Returning(self.issued_records);
            self.awaiting_records.insert(id.clone());
        }
    }

    /// Records that a worker answers again if its silence was recorded.
    pub(crate) fn record_return(&mut self, id: &str) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if matches!(host.silence, Silence::Recorded(_)) {
            host.silence = Silence::Unrecorded;
            let id = host.id();
            self.record_worker(&id);
            self.use_once_recorded(&id);
        }
    }

    /// Records a worker, and the tasks that it may run if it doesn't answer.
    pub(crate) fn record_worker(&mut self, id: &Arc<str>) {
        let Some(host) = self.hosts.get(id) else {
            return;
        };
        let (worker, restart) = (host.worker.clone(), host.restart);
        let silent = match &host.silence {
            Silence::Recorded(tasks) => Some(tasks.clone()),
            Silence::Unrecorded | Silence::Returning(_) => None,
        };
        self.record(Record::WorkerAdded { worker, restart });
        if let Some(tasks) = silent {
            let worker = id.clone();
            self.record(Record::WorkerSilent { worker, tasks });
        }
    }

    /// Records that calls for earlier incarnations of a worker are void, and lets the worker have
    /// tasks once that is durable: a successor must know that it may hold the longest lease.
    pub(crate) fn record_restart(&mut self, id: &Arc<str>) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.silence = Silence::Unrecorded;
        }
        self.record_worker(id);
        self.use_once_recorded(id);
    }

    /// Records that a worker that started again is as any other again.
    pub(crate) fn settle(&mut self, id: &Arc<str>, now_ms: u64) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if host.has_settled(now_ms) {
            host.restart = Restart::None;
            self.record_worker(id);
        }
    }
}
