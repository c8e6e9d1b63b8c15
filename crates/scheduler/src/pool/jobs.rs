//! Submission, cancellation and status of jobs.

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
use crate::context::{Context, Written};
use crate::events;
use crate::forward;
use crate::lock::lock;

/// Timeout of the append of a submission or cancellation with its read-back.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of the read to the end of the log before a job counts as unknown. Shorter than the
/// sender of a forwarded cancellation waits.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that a call waits for the end of a job.
const WAIT_MAX_MS: u64 = 60_000;

/// Period at which a waiting call rereads the status, in case it missed the notification.
const RECHECK_PERIOD: Duration = Duration::from_millis(500);

impl Pool {
    /// Accepts a job, or returns the reason for rejecting it.
    pub(crate) async fn submit(
        &self,
        context: &Context,
        contract: Arc<str>,
        job: Box<Spec>,
    ) -> Submission {
        let id = Id {
            contract: contract.clone(),
            job: job.id.clone(),
        };
        if let Some(submission) = self.recorded_submission(context, &id, &job) {
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
        let written = context.write(&record, SUBMIT_TIMEOUT).await;
        let read_back = written == Written::Valid;
        lock(&self.state).kernel.release_admission(&id, read_back);
        match written {
            Written::Valid => {
                events::JOB_ACCEPTED.log(format_args!("shard={} job={id}", self.term.shard));
                // Of two submissions of one id, the first in the log counts.
                self.recorded_submission(context, &id, &job)
                    .unwrap_or(Submission::Unknown)
            }
            written => self.write_failed(context, written),
        }
    }

    /// Cancels a job at the shard that accepted it.
    pub(crate) async fn cancel(&self, context: &Context, id: &Id) -> Submission {
        // The sender may have read the record of the job earlier than this process.
        if self.status(context, id).is_none() && !context.catch_up(CATCH_UP_TIMEOUT).await {
            return Submission::Unavailable(NotRun::LogUnavailable);
        }
        let Some(status) = self.status(context, id) else {
            return Submission::Rejected("no such job".into());
        };
        if status.state.is_terminal() {
            return Submission::Accepted(status);
        }
        let accepted_by = lock(&context.cell)
            .projection
            .shard_of_job(&self.term.shard, id);
        match accepted_by.filter(|shard| *shard != self.term.shard) {
            Some(shard) => forward::cancel(context, &shard, id).await,
            None => self.cancel_own(context, id).await,
        }
    }

    /// Cancels a job of this shard.
    pub(crate) async fn cancel_own(&self, context: &Context, id: &Id) -> Submission {
        let record = Cell::Cancelled {
            shard: self.term.shard.clone(),
            epoch: self.term.epoch,
            job: id.clone(),
        };
        match context.write(&record, SUBMIT_TIMEOUT).await {
            Written::Valid => match self.status(context, id) {
                Some(status) => Submission::Accepted(status),
                None => Submission::Unknown,
            },
            written => self.write_failed(context, written),
        }
    }

    /// Returns the status of a job for callers.
    pub(crate) fn status(&self, context: &Context, id: &Id) -> Option<Status> {
        let cell = lock(&context.cell);
        let job = cell.projection.job(&self.term.shard, id)?;
        let recorded = job.status();
        let current = lock(&self.state).kernel.status(id);
        let Some(mut status) = current else {
            return Some(recorded);
        };
        match &job.ended {
            Some(ended) => {
                status.state = ended.state;
                status.reason.clone_from(&ended.reason);
            }
            // An end that isn't durable yet must not be reported.
            None if status.state.is_terminal() => status.state = State::Running,
            None => {}
        }
        Some(status)
    }

    /// Waits for the end of a job, at most `wait_ms` or [`WAIT_MAX_MS`], and returns its status.
    pub(crate) async fn wait(&self, context: &Context, id: &Id, wait_ms: u64) -> Option<Status> {
        let wait = Duration::from_millis(wait_ms.min(WAIT_MAX_MS));
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let signal = self.end_signal.notified();
            let status = self.status(context, id)?;
            let now = tokio::time::Instant::now();
            if status.state.is_terminal() || now >= deadline || self.term.has_ended() {
                return Some(status);
            }
            let period = RECHECK_PERIOD.min(deadline - now);
            // The status is read again in either case.
            let _ = tokio::time::timeout(period, signal).await;
        }
    }

    /// Returns the tasks of a job for operators.
    pub(crate) fn tasks(&self, context: &Context, id: &Id) -> Option<Vec<view::Task>> {
        let current = lock(&self.state).kernel.tasks(id);
        let recorded = || {
            let cell = lock(&context.cell);
            Some(cell.projection.job(&self.term.shard, id)?.task_views())
        };
        current.or_else(recorded)
    }

    /// Returns the ids of all jobs.
    pub(crate) fn job_ids(&self, context: &Context) -> Vec<Id> {
        let cell = lock(&context.cell);
        let shard = cell.projection.shard(&self.term.shard);
        shard.map(|shard| shard.jobs.ids()).unwrap_or_default()
    }

    /// Returns the reply to a submission whose id is in the log already.
    fn recorded_submission(&self, context: &Context, id: &Id, job: &Spec) -> Option<Submission> {
        let same = {
            let cell = lock(&context.cell);
            let known = cell.projection.job(&self.term.shard, id)?;
            *known.spec == *job
        };
        match same {
            true => self.status(context, id).map(Submission::Accepted),
            false => Some(Submission::Conflict),
        }
    }

    fn write_failed(&self, context: &Context, written: Written) -> Submission {
        match written {
            Written::No(_) => Submission::Unavailable(NotRun::LogUnavailable),
            Written::Void => Submission::NotOwner {
                owner: context.owner(&self.term.shard),
            },
            Written::Uncertain(_) | Written::Valid => Submission::Unknown,
        }
    }
}
