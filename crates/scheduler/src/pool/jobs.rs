//! Submissions, cancellations and states of jobs.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::job::{Id, Spec, State, Status};
use rosemaryworks_core::outcome::NotRun;
use rosemaryworks_core::placement::Refusal;
use rosemaryworks_core::record::Cell;
use rosemaryworks_core::view;
use rosemaryworks_node::clock;
use rosemaryworks_wire::Submission;

use super::Pool;
use crate::events;
use crate::lock::lock;
use crate::moved;
use crate::shared::{Shared, Written};

/// Patience with the append of a submission and its read-back.
const SUBMIT_PATIENCE: Duration = Duration::from_secs(1);

/// Longest time that a call waits for the end of a job.
const WAIT_MAX_MS: u64 = 60_000;

/// Period at which a waiting call looks again, should it have missed the end.
const WAIT_PERIOD: Duration = Duration::from_millis(500);

impl Pool {
    /// Accepts a job, or tells why not.
    pub(crate) async fn submit(
        &self,
        shared: &Shared,
        contract: Arc<str>,
        job: Box<Spec>,
    ) -> Submission {
        let id = Id {
            contract: contract.clone(),
            job: job.id.clone(),
        };
        if let Some(submission) = self.known(shared, &id, &job) {
            return submission;
        }
        let admitted = lock(&self.state).kernel.reserve_admission(&contract, &job);
        match admitted {
            Ok(()) => {}
            Err(Refusal::Later(reason)) => return Submission::Unavailable(reason),
            Err(Refusal::Never(reason)) => return Submission::Rejected(reason),
        }
        let record = Cell::Submitted {
            shard: self.term.shard.clone(),
            epoch: self.term.epoch,
            contract,
            job: job.clone(),
            at_unix_ms: clock::unix_ms(),
        };
        let written = shared.write(&record, SUBMIT_PATIENCE).await;
        let read_back = written == Written::Valid;
        lock(&self.state).kernel.release_admission(&id, read_back);
        match written {
            Written::Valid => {
                events::JOB_ACCEPTED.log(format_args!("shard={} job={id}", self.term.shard));
                // Of two submissions of one id, the one that comes first in the log counts.
                self.known(shared, &id, &job).unwrap_or(Submission::Unknown)
            }
            written => self.not_written(shared, written),
        }
    }

    /// Cancels a job, at the shard that holds it.
    pub(crate) async fn cancel(&self, shared: &Shared, id: &Id) -> Submission {
        let Some(status) = self.status(shared, id) else {
            return Submission::Rejected("no such job".into());
        };
        if status.state.is_terminal() {
            return Submission::Accepted(status);
        }
        let holder = lock(&shared.cell).fold.holder(&self.term.shard, id);
        match holder.filter(|holder| *holder != self.term.shard) {
            Some(holder) => moved::cancel(shared, &holder, id).await,
            None => self.cancel_own(shared, id).await,
        }
    }

    /// Cancels a job of this shard.
    pub(crate) async fn cancel_own(&self, shared: &Shared, id: &Id) -> Submission {
        let record = Cell::Cancelled {
            shard: self.term.shard.clone(),
            epoch: self.term.epoch,
            job: id.clone(),
        };
        match shared.write(&record, SUBMIT_PATIENCE).await {
            Written::Valid => match self.status(shared, id) {
                Some(status) => Submission::Accepted(status),
                None => Submission::Unknown,
            },
            written => self.not_written(shared, written),
        }
    }

    /// Returns what callers see of a job.
    pub(crate) fn status(&self, shared: &Shared, id: &Id) -> Option<Status> {
        let cell = lock(&shared.cell);
        let job = cell.fold.job(&self.term.shard, id)?;
        let recorded = job.status();
        let running = lock(&self.state).kernel.status(id);
        let Some(mut status) = running else {
            return Some(recorded);
        };
        match &job.ended {
            Some(ended) => {
                status.state = ended.state;
                status.reason.clone_from(&ended.reason);
            }
            // An end that isn't durable yet may not be told.
            None if status.state.is_terminal() => status.state = State::Running,
            None => {}
        }
        Some(status)
    }

    /// Waits for the end of a job, at most `wait_ms`, and returns its status.
    pub(crate) async fn wait(&self, shared: &Shared, id: &Id, wait_ms: u64) -> Option<Status> {
        let wait = Duration::from_millis(wait_ms.min(WAIT_MAX_MS));
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let ended = self.ended.notified();
            let status = self.status(shared, id)?;
            let now = tokio::time::Instant::now();
            if status.state.is_terminal() || now >= deadline || self.term.is_over() {
                return Some(status);
            }
            let period = WAIT_PERIOD.min(deadline - now);
            // Either way the status is looked up again.
            let _ = tokio::time::timeout(period, ended).await;
        }
    }

    /// Returns the tasks of a job for operators.
    pub(crate) fn tasks(&self, shared: &Shared, id: &Id) -> Option<Vec<view::Task>> {
        let running = lock(&self.state).kernel.tasks(id);
        let recorded = || {
            let cell = lock(&shared.cell);
            Some(cell.fold.job(&self.term.shard, id)?.views())
        };
        running.or_else(recorded)
    }

    /// Returns the ids of all jobs.
    pub(crate) fn ids(&self, shared: &Shared) -> Vec<Id> {
        let cell = lock(&shared.cell);
        let shard = cell.fold.shard(&self.term.shard);
        shard.map(|shard| shard.jobs.ids()).unwrap_or_default()
    }

    /// Answers the submission of an id that the log holds.
    fn known(&self, shared: &Shared, id: &Id, job: &Spec) -> Option<Submission> {
        let same = {
            let cell = lock(&shared.cell);
            let known = cell.fold.job(&self.term.shard, id)?;
            *known.spec == *job
        };
        match same {
            true => self.status(shared, id).map(Submission::Accepted),
            false => Some(Submission::Conflict),
        }
    }

    fn not_written(&self, shared: &Shared, written: Written) -> Submission {
        match written {
            Written::No(_) => Submission::Unavailable(NotRun::LogUnavailable),
            Written::Void => Submission::NotOwner {
                owner: shared.owner(&self.term.shard),
            },
            Written::Uncertain(_) | Written::Valid => Submission::Unknown,
        }
    }
}
