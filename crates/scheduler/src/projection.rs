//! Projection of the cell stream: the state of each shard that a new owner needs.

mod jobs;
mod requests;

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryworks_core::job::{Id as JobId, Spec, Task};
use rosemaryworks_core::outcome::Request;
use rosemaryworks_core::ownership::{Ledger, Verdict};
use rosemaryworks_core::record::{Cell, Offset};
use rosemaryworks_core::shard::{Epoch, Id};
use rosemaryworks_core::time::Instant;

pub(crate) use jobs::{Ended, Job, Jobs};
pub(crate) use requests::Requests;

/// State of one shard as recorded in the log.
#[derive(Debug, Default)]
pub(crate) struct Shard {
    pub(crate) jobs: Jobs,
    pub(crate) requests: Requests,
}

/// A change that is passed on to the kernel of the shard's owner.
#[derive(Clone, Debug)]
pub(crate) enum Change {
    /// A caller cancelled the job.
    Cancelled(JobId),
    /// The job ended.
    Ended,
    /// The ends of these tasks are recorded.
    Finished(Vec<Task>),
    /// A job was accepted.
    Submitted {
        /// Contract of the job.
        contract: Arc<str>,
        /// The job.
        job: Arc<Spec>,
    },
}

/// State of all shards, built by applying the records of the cell stream in order.
#[derive(Debug, Default)]
pub(crate) struct Projection {
    pub(crate) ledger: Ledger,
    shards: BTreeMap<Id, Shard>,
}

impl Projection {
    /// Returns the recorded state of `shard`.
    pub(crate) fn shard(&self, shard: &Id) -> Option<&Shard> {
        self.shards.get(shard)
    }

    /// Returns the job `job` of `shard`, or of another shard of the same group, which is a service
    /// or a worker pool.
    ///
    /// A contract revision that changes whether the contract is pinned to one shard maps its ids to
    /// other shards. A job stays in the shard that accepted it.
    pub(crate) fn job(&self, shard: &Id, job: &JobId) -> Option<&Job> {
        let own = self.own_job(shard, job);
        own.or_else(|| {
            let mut others = self.siblings(shard);
            others.find_map(|(_, other)| other.jobs.get(job))
        })
    }

    /// Returns the shard that accepted the job: `shard` or another one of the same group.
    pub(crate) fn shard_of_job(&self, shard: &Id, job: &JobId) -> Option<Id> {
        if self.own_job(shard, job).is_some() {
            return Some(shard.clone());
        }
        let mut others = self.siblings(shard);
        let accepted_by = others.find(|(_, other)| other.jobs.get(job).is_some());
        accepted_by.map(|(id, _)| id.clone())
    }

    /// Returns the job `job` of `shard` itself.
    pub(crate) fn own_job(&self, shard: &Id, job: &JobId) -> Option<&Job> {
        self.shard(shard)?.jobs.get(job)
    }

    /// Returns whether another shard of the same group recorded the request.
    pub(crate) fn is_recorded_by_sibling(&self, shard: &Id, request: &Request) -> bool {
        self.siblings(shard)
            .any(|(_, other)| other.requests.contains(request))
    }

    /// Returns the other shards of the group of `shard`.
    fn siblings<'a, 'b>(
        &'a self,
        shard: &'b Id,
    ) -> impl Iterator<Item = (&'a Id, &'a Shard)> + use<'a, 'b> {
        let first = Id {
            index: 0,
            ..shard.clone()
        };
        let group = self.shards.range(first..);
        let group = group.take_while(|(id, _)| id.kind == shard.kind && id.group == shard.group);
        group.filter(|(id, _)| id.index != shard.index)
    }

    /// Applies the record at `offset`, which was written at `written`; `None` if it may be as old as
    /// the log retains records. Returns its verdict and the change for the shard's owner.
    pub(crate) fn apply(
        &mut self,
        written: Option<Instant>,
        offset: Offset,
        record: &Cell,
    ) -> (Verdict, Option<(Id, Change)>) {
        let verdict = self.ledger.apply(offset, record);
        if verdict != Verdict::Valid {
            return (verdict, None);
        }
        let id = shard_of(record);
        if self.is_duplicate_submission(id, record) {
            return (Verdict::Void, None);
        }
        let shard = self.shards.entry(id.clone()).or_default();
        let change = shard.apply(written, record);
        (verdict, change.map(|change| (id.clone(), change)))
    }

    /// Returns whether the record submits a job that another shard of the group has accepted.
    fn is_duplicate_submission(&self, shard: &Id, record: &Cell) -> bool {
        let Cell::Submitted { contract, job, .. } = record else {
            return false;
        };
        let job = JobId {
            contract: contract.clone(),
            job: job.id.clone(),
        };
        self.own_job(shard, &job).is_none() && self.job(shard, &job).is_some()
    }

    /// Removes expired request ids, and ended jobs that are too old or too many.
    pub(crate) fn expire(&mut self, unix_ms: u64, ended_max_ms: u64) {
        for shard in self.shards.values_mut() {
            shard.jobs.expire(unix_ms, ended_max_ms);
            shard.requests.expire(unix_ms);
        }
    }

    /// Returns the records of `shard` that were last written more than `age_ms` ago, or at an unknown
    /// time, to republish.
    pub(crate) fn republish(
        &mut self,
        now: Instant,
        shard: &Id,
        epoch: Epoch,
        age_ms: u64,
    ) -> Vec<Cell> {
        let Some(state) = self.shards.get_mut(shard) else {
            return Vec::new();
        };
        let mut records = state.jobs.republish(now, shard, epoch, age_ms);
        records.extend(state.requests.republish(now, shard, epoch, age_ms));
        records
    }
}

impl Shard {
    fn apply(&mut self, written: Option<Instant>, record: &Cell) -> Option<Change> {
        match record {
            Cell::Cancelled { job, .. } => self
                .jobs
                .cancel(job)
                .then(|| Change::Cancelled(job.clone())),
            Cell::Ended {
                job,
                state,
                reason,
                at_unix_ms,
                ..
            } => {
                let ended = Ended {
                    state: *state,
                    reason: reason.clone(),
                    at_unix_ms: *at_unix_ms,
                };
                self.jobs.end(job, ended).then_some(Change::Ended)
            }
            Cell::Finished { tasks, .. } => {
                let tasks = self.jobs.finish(tasks);
                (!tasks.is_empty()).then_some(Change::Finished(tasks))
            }
            Cell::Granted { tasks, .. } => {
                self.jobs.grant(tasks);
                None
            }
            Cell::Intent {
                requests,
                at_unix_ms,
                ..
            } => {
                self.requests.insert(written, requests, *at_unix_ms);
                None
            }
            Cell::Submitted {
                contract,
                job,
                at_unix_ms,
                ..
            } => {
                let job = self.jobs.submit(written, contract, job, *at_unix_ms)?;
                Some(Change::Submitted {
                    contract: contract.clone(),
                    job,
                })
            }
            Cell::Claim { .. } | Cell::Release { .. } | Cell::Standing { .. } => None,
        }
    }
}

/// Returns whether a record that was last written at `written` is to be republished.
pub(crate) fn is_due(written: Option<Instant>, now: Instant, age_ms: u64) -> bool {
    written.is_none_or(|written| now.since(written) > age_ms)
}

/// Returns the shard that a record belongs to.
pub(crate) fn shard_of(record: &Cell) -> &Id {
    match record {
        Cell::Cancelled { shard, .. }
        | Cell::Claim { shard, .. }
        | Cell::Ended { shard, .. }
        | Cell::Finished { shard, .. }
        | Cell::Granted { shard, .. }
        | Cell::Intent { shard, .. }
        | Cell::Release { shard, .. }
        | Cell::Standing { shard, .. }
        | Cell::Submitted { shard, .. } => shard,
    }
}
