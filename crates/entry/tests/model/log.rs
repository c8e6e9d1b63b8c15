//! The platform's log with the streams of one shard.

use rosemaryworks_entry::claim::Claim;
use rosemaryworks_workflow::{Record, Worker};

/// A call of the log.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    /// Appends a claim, if the stream ends at the given offset.
    AppendClaim { claim: Claim, end: Option<u64> },
    /// Appends a job.
    AppendJob(Record),
    /// Appends records of an owner. Each number takes effect once.
    AppendProgress {
        epoch: u64,
        number: u64,
        records: Vec<Record>,
    },
    /// Rejects appends of earlier epochs from now on.
    Fence { epoch: u64 },
    /// Returns the newest claim.
    NewestClaim,
    /// Returns the claims from an offset to the end.
    ReadClaims { from: u64 },
    /// Returns the jobs from an offset to the end.
    ReadJobs { from: u64 },
    /// Returns all records of owners.
    ReadProgress,
    /// Returns the changes of the list of workers from an offset to the end as of some time ago; the
    /// newest entry of each worker from 0.
    ReadWorkers { from: u64, lag_ms: u64 },
}

/// Answer of the log.
#[derive(Clone, Debug)]
pub(crate) enum Response {
    /// The append took effect; the stream ends at the offset.
    Appended(u64),
    /// Claims and the offset after them.
    Claims(Vec<Claim>, u64),
    /// A later epoch has fenced the stream.
    Fenced,
    /// The stream doesn't end at the expected offset.
    Mismatch,
    /// Records and the offset after them.
    Records(Vec<Record>, u64),
    /// Entries of the list of workers and the offset after them.
    Workers(Vec<Worker>, u64),
}

/// Streams of the log.
#[derive(Debug, Default)]
pub(crate) struct Log {
    claims: Vec<Claim>,
    jobs: Vec<Record>,
    progress: Vec<Record>,
    /// Entries of the list of workers with their times.
    workers: Vec<(u64, Worker)>,
    epoch: u64,
    next_number: u64,
}

impl Log {
    pub(crate) fn execute(&mut self, request: Request, now_ms: u64) -> Response {
        match request {
            Request::AppendClaim { claim, end } => self.append_claim(claim, end),
            Request::AppendJob(record) => {
                self.jobs.push(record);
                Response::Appended(self.jobs.len() as u64)
            }
            Request::AppendProgress {
                epoch,
                number,
                records,
            } => self.append_progress(epoch, number, records),
            Request::Fence { epoch } if epoch < self.epoch => Response::Fenced,
            Request::Fence { epoch } => {
                if epoch > self.epoch {
                    self.epoch = epoch;
                    self.next_number = 0;
                }
                Response::Appended(self.progress.len() as u64)
            }
            Request::NewestClaim => {
                let newest = self.claims.last().cloned();
                Response::Claims(newest.into_iter().collect(), self.claims.len() as u64)
            }
            Request::ReadClaims { from } => {
                let claims = self.claims[from as usize..].to_vec();
                Response::Claims(claims, self.claims.len() as u64)
            }
            Request::ReadJobs { from } => {
                let jobs = self.jobs[from as usize..].to_vec();
                Response::Records(jobs, self.jobs.len() as u64)
            }
            Request::ReadProgress => {
                Response::Records(self.progress.clone(), self.progress.len() as u64)
            }
            Request::ReadWorkers { from, lag_ms } => {
                self.read_workers(from, now_ms.saturating_sub(lag_ms))
            }
        }
    }

    pub(crate) fn list_worker(&mut self, worker: Worker, now_ms: u64) {
        self.workers.push((now_ms, worker));
    }

    fn read_workers(&self, from: u64, at_ms: u64) -> Response {
        let listed = self
            .workers
            .iter()
            .filter(|(listed_ms, _)| *listed_ms <= at_ms);
        let next = from.max(listed.count() as u64);
        let entries = self.workers[from as usize..next as usize].iter();
        let entries: Vec<&Worker> = entries.map(|(_, worker)| worker).collect();
        let is_newest = |index: usize, worker: &Worker| {
            let mut later = entries[index + 1..].iter();
            from > 0 || later.all(|other| other.id != worker.id)
        };
        let read = entries.iter().enumerate();
        let read = read.filter(|(index, worker)| is_newest(*index, worker));
        let read = read.map(|(_, worker)| Worker::clone(worker)).collect();
        Response::Workers(read, next)
    }

    fn append_claim(&mut self, claim: Claim, end: Option<u64>) -> Response {
        if end.is_some_and(|end| end != self.claims.len() as u64) {
            return Response::Mismatch;
        }
        self.claims.push(claim);
        Response::Appended(self.claims.len() as u64)
    }

    fn append_progress(&mut self, epoch: u64, number: u64, records: Vec<Record>) -> Response {
        if epoch < self.epoch {
            return Response::Fenced;
        }
        if number == self.next_number {
            self.next_number += 1;
            self.progress.extend(records);
        }
        Response::Appended(self.progress.len() as u64)
    }
}
