//! From the records of older owners to a state that may act.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::host::Liveness;
use crate::job::State;
use crate::record::Record;
use crate::shard::Shard;
use crate::target::Worker;

/// Rate of the slowest clock of a worker against the owner's.
const SLOWEST_RATE: f64 = 0.98;

/// Time beyond the longest lease after which no run of an older owner is left, in milliseconds.
const MARGIN_MS: u64 = 500;

/// Time after which an older owner that still acts has surely met a worker that refuses its token, in
/// milliseconds: it looks at each worker with runs every 0.8 s.
const FENCED_MS: u64 = 1_200;

/// What an owner still has to learn about its predecessors.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    stage: Stage,
    /// Workers that older owners used.
    hosted: BTreeMap<Arc<str>, Worker>,
    /// Workers that may hold runs of an older owner.
    unseen: BTreeSet<Arc<str>>,
    /// Owner's time from which such runs have surely lapsed.
    lapsed_ms: u64,
    /// Owner's time from which no older owner acts any more.
    fenced_ms: u64,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Stage {
    #[default]
    Replaying,
    Surveying,
    Settled,
}

impl Recovery {
    pub(crate) fn is_replaying(&self) -> bool {
        self.stage == Stage::Replaying
    }

    /// Tells whether tasks that an older owner may have started may start again.
    pub(crate) fn is_settled(&self) -> bool {
        self.stage == Stage::Settled
    }

    /// Tells whether no older owner may start tasks of new jobs any more: until then it may start them
    /// on workers that haven't seen the token of this one.
    pub(crate) fn is_fenced(&self, now_ms: u64) -> bool {
        match self.stage {
            Stage::Replaying => false,
            Stage::Surveying => now_ms >= self.fenced_ms,
            Stage::Settled => true,
        }
    }

    pub(crate) fn seen(&mut self, worker: &str) {
        self.unseen.remove(worker);
        self.settle();
    }

    pub(crate) fn tick(&mut self, now_ms: u64) {
        if self.stage == Stage::Surveying && now_ms >= self.lapsed_ms {
            self.unseen.clear();
        }
        self.settle();
    }

    fn settle(&mut self) {
        if self.stage == Stage::Surveying && self.unseen.is_empty() {
            self.stage = Stage::Settled;
        }
    }
}

impl Shard {
    /// Replays a record of the shard's streams.
    pub fn replay(&mut self, record: Record, now_ms: u64) {
        match record {
            Record::Submitted { id, queue, spec } => self.submit(id, queue, spec),
            Record::Cancelled { id } => self.cancel(id, now_ms),
            Record::Ended {
                key,
                attempt,
                how,
                checkpoint: saved,
            } => self.apply_end(key, attempt, how, saved, now_ms),
            Record::WorkerAdded { worker } => {
                self.recovery.hosted.insert(worker.id.clone(), worker);
            }
            Record::WorkerRemoved { worker } => {
                self.recovery.hosted.remove(&worker);
            }
            Record::Final { id, state } => {
                let open = self.jobs.get(&id).is_some_and(|job| !job.is_ended());
                if open && state != State::Cancelled {
                    self.end_job(id, state, 0, now_ms);
                }
            }
        }
    }

    /// Ends the replay: what comes from now on is new. Workers listed so far, and those that older
    /// owners used, may hold runs of an older owner. `alone` tells that no older owner acts any more.
    pub fn finish_replay(&mut self, alone: bool, now_ms: u64) {
        for (id, worker) in std::mem::take(&mut self.recovery.hosted) {
            if !self.hosts.contains_key(&id) {
                self.list_worker(worker, now_ms);
                self.unlist_worker(&id);
            }
        }
        self.record_hosts();
        let unseen = self
            .hosts
            .iter()
            .filter(|(_, host)| host.sight == Liveness::Unconfirmed);
        self.recovery.unseen = unseen.map(|(id, _)| id.clone()).collect();
        let lease_ms = (self.settings.lease_ms as f64 / SLOWEST_RATE) as u64;
        self.recovery.lapsed_ms = now_ms + lease_ms + MARGIN_MS;
        self.recovery.fenced_ms = if alone { now_ms } else { now_ms + FENCED_MS };
        self.recovery.stage = Stage::Surveying;
        self.recovery.settle();
    }
    /// Records every worker anew: the records of older owners expire.
    pub(crate) fn record_hosts(&mut self) {
        let workers: Vec<Worker> = self
            .hosts
            .values()
            .map(|host| host.worker.clone())
            .collect();
        for worker in workers {
            self.record(Record::WorkerAdded { worker });
        }
    }
}
