//! Takeover of the shard after its claim was won, as `takeover.rs` does it.

use rosemaryworks_core::size::Size;
use rosemaryworks_workflow::{Queue, Record, Settings, Shard, Worker as Entry};

use super::log::{Request, Response};
use super::process::{Input, Listed, Owner, Purpose, Takeover};
use super::restart;
use super::world::World;

/// Pause before a call without an answer is retried, in milliseconds.
const RETRY_PAUSE_MS: u64 = 60;

/// Upper bound of the retries of a takeover.
const RETRIES_MAX: u32 = 30;

fn settings(lease_max_ms: u64) -> Settings {
    Settings {
        lease_ms: 4_000,
        lease_max_ms,
        order_ttl_ms: 2_000,
        keep_ms: 120_000,
        early_ms: 0,
    }
}

fn queue() -> Queue {
    Queue {
        max_attempts: 4,
        advice: None,
        name: "q".into(),
        pool: "pool".into(),
        priority: 0,
        slack_factor: 1.5,
        slo_ms: 250,
    }
}

/// Returns the entry of a worker in the list.
pub(crate) fn entry(worker: usize, incarnation: u64) -> Entry {
    Entry {
        address: "127.0.0.1:1".parse().expect("an address"),
        incarnation,
        capacity: Size::new(4_000, 16_384),
        draining: false,
        id: format!("w{worker}").into(),
        labels: vec!["a".into(), "r1".into()],
        pool: "pool".into(),
        rack: "r1".into(),
        remaining_ms: None,
    }
}

/// Returns the index of a worker with an identifier.
pub(crate) fn worker_index(id: &str) -> usize {
    id[1..].parse().expect("the index of a worker")
}

impl World {
    /// Makes a call of the takeover.
    pub(crate) fn continue_takeover(&mut self, process: usize, purpose: Purpose) {
        let asked_ms = self.clock_ms(process);
        let Some(takeover) = &self.processes[process].takeover else {
            return;
        };
        let (purpose, request) = match purpose {
            Purpose::Fence => {
                let epoch = takeover.epoch;
                (purpose, Request::Fence { epoch })
            }
            Purpose::ReplayJobs => (purpose, Request::ReadJobs { from: 0 }),
            Purpose::ReplayWorkers { .. } => {
                let lag_ms = restart::draw_lag(&mut self.rng);
                let request = Request::ReadWorkers { from: 0, lag_ms };
                (Purpose::ReplayWorkers { asked_ms }, request)
            }
            _ => (purpose, Request::ReadProgress),
        };
        self.call_log(process, purpose, request);
    }

    pub(crate) fn takeover_answered(
        &mut self,
        process: usize,
        purpose: Purpose,
        response: Option<Response>,
    ) {
        let now_ms = self.clock_ms(process);
        let has_slow_calls = self.network.takeover_call_ms > 0;
        let Some(takeover) = &mut self.processes[process].takeover else {
            return;
        };
        if response.is_some() {
            takeover.claim.progressed(now_ms);
        }
        match (&purpose, response) {
            (Purpose::Fence, Some(Response::Appended(_))) => {
                self.continue_takeover(process, Purpose::ReplayJobs);
                if !has_slow_calls {
                    self.continue_takeover(process, Purpose::ReplayProgress);
                }
            }
            (Purpose::ReplayJobs, Some(Response::Records(jobs, next))) => {
                takeover.jobs = Some((jobs, next));
                if has_slow_calls {
                    // Many pages are read one after the other.
                    self.continue_takeover(process, Purpose::ReplayProgress);
                }
                self.complete_takeover(process);
            }
            (Purpose::ReplayProgress, Some(Response::Records(progress, _))) => {
                takeover.progress = Some(progress);
                self.complete_takeover(process);
            }
            (Purpose::ReplayWorkers { asked_ms }, Some(Response::Workers(entries, next))) => {
                takeover.workers = Some(Listed {
                    entries,
                    next,
                    asked_ms: *asked_ms,
                });
                self.complete_takeover(process);
            }
            (_, None) if takeover.retries < RETRIES_MAX => {
                takeover.retries += 1;
                self.set_timer(process, RETRY_PAUSE_MS, Input::Takeover { purpose });
            }
            _ => self.processes[process].takeover = None,
        }
    }

    /// Begins to act as the owner once all reads are complete.
    fn complete_takeover(&mut self, process: usize) {
        let now_ms = self.clock_ms(process);
        let state = &mut self.processes[process];
        let is_read = |takeover: &mut Takeover| {
            let records_read = takeover.jobs.is_some() && takeover.progress.is_some();
            records_read && takeover.workers.is_some()
        };
        let Some(takeover) = state.takeover.take_if(is_read) else {
            return;
        };
        let Some(listed) = takeover.workers else {
            return;
        };
        let workers_next = listed.next;
        let epoch = takeover.epoch;
        let mut shard = Shard::new(settings(self.lease_max_ms), epoch);
        shard.set_queues([queue()]);
        let (jobs, jobs_next) = takeover.jobs.unwrap_or_default();
        let records = jobs
            .into_iter()
            .chain(takeover.progress.unwrap_or_default());
        for record in records {
            shard.replay(record, now_ms);
        }
        restart::apply_list(&mut shard, listed, now_ms);
        shard.finish_replay(takeover.predecessor_ended, now_ms);
        if state.is_superseded(epoch) {
            return;
        }
        let mut owner = Owner::new(epoch, shard, jobs_next, workers_next);
        owner.renewals = takeover.claim.renewals();
        state.owner = Some(owner);
        let real_ms = self.now_ms;
        self.history.took_over(epoch, real_ms);
        self.history
            .note(|| format!("{real_ms}: p{process} took over {epoch}"));
        self.input_after(process, 0, Input::ReadJobs { epoch });
        if self.rules.restarts {
            self.set_timer(
                process,
                restart::LIST_PERIOD_MS,
                Input::ReadWorkers { epoch },
            );
        }
        self.wake_owner(process, 0);
    }

    pub(crate) fn read_jobs(&mut self, process: usize, epoch: u64) {
        let asked_ms = self.clock_ms(process);
        let Some(owner) = self.processes[process].owner_of(epoch) else {
            return;
        };
        let from = owner.jobs_next;
        let purpose = Purpose::Jobs { epoch, asked_ms };
        self.call_log(process, purpose, Request::ReadJobs { from });
    }

    pub(crate) fn jobs_answered(
        &mut self,
        process: usize,
        epoch: u64,
        asked_ms: u64,
        response: Option<Response>,
    ) {
        self.observe_log(process, response.is_some());
        let now_ms = self.clock_ms(process);
        let Some(owner) = self.processes[process].owner_of(epoch) else {
            return;
        };
        let mut pause_ms = 100;
        if let Some(Response::Records(jobs, next)) = response {
            for job in jobs {
                apply_job(&mut owner.shard, job, now_ms);
            }
            owner.jobs_next = next;
            owner.shard.jobs_read(asked_ms);
            pause_ms = 250;
        }
        self.set_timer(process, pause_ms, Input::ReadJobs { epoch });
        self.wake_owner(process, 2);
    }

    /// Applies a job that is stored and may not have been read yet.
    pub(crate) fn apply_stored(&mut self, process: usize, record: Record) {
        let now_ms = self.clock_ms(process);
        if let Some(owner) = &mut self.processes[process].owner {
            apply_job(&mut owner.shard, record, now_ms);
            self.wake_owner(process, 2);
        }
    }
}

fn apply_job(shard: &mut Shard, record: Record, now_ms: u64) {
    if let Record::Submitted { id, queue, spec } = record {
        shard.submit(id, queue, spec, now_ms);
    }
}
