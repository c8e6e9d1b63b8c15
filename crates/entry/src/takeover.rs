//! Takeover of a shard whose claim was won: fences the previous owner, replays the shard's streams
//! and starts to act as the owner.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_workflow::{self as workflow, Record, Shard};

use crate::events;
use crate::journal;
use crate::node::{Node, lock};
use crate::owner::Owner;
use crate::port::{self, Append, Fault, Guard, Stream, WorkerChange};
use crate::snapshot::{Stored, decode};
use crate::worker_list::{self, Position};

/// Time after which a start command to a worker is void, in milliseconds.
const START_TTL_MS: u64 = 2_000;

/// Pause before a call of the takeover that got no answer is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Upper bound of the retries of each read or append of a takeover.
const RETRIES_MAX: u32 = 30;

impl Node {
    /// Takes over a shard whose claim was won. `predecessor_ended` says that the previous owner has
    /// certainly ended.
    pub(crate) async fn take_over(
        self: Arc<Self>,
        shard: u32,
        epoch: u64,
        predecessor_ended: bool,
    ) {
        let began = clock::now();
        match self.recover(shard, epoch, predecessor_ended).await {
            Ok(owner) => {
                if !self.enter(&owner) {
                    let reason = "released or claimed again meanwhile";
                    events::TAKEOVER_FAILED
                        .log(format_args!("shard={shard} epoch={epoch} {reason}"));
                    self.release_claim(shard, epoch, true).await;
                    return;
                }
                let (jobs, workers) = owner.counts();
                events::ACTIVATED.log(format_args!(
                    "shard={shard} epoch={epoch} open_jobs={jobs} workers={workers} took_ms={}",
                    clock::now().since(began)
                ));
                // A revision that came into force since the takeover began was passed on to the
                // shards that were owned by then.
                if let Some(config) = self.config() {
                    owner.configure(&config);
                }
                owner.start(&self);
            }
            Err(fault) => {
                events::TAKEOVER_FAILED.log(format_args!("shard={shard} epoch={epoch} {fault}"));
                self.release_claim(shard, epoch, true).await;
            }
        }
    }

    /// Enters the owner of a shard. Returns `false` if a planned stop has released the shards, or
    /// another process has claimed the shard during the takeover.
    fn enter(&self, owner: &Arc<Owner>) -> bool {
        let mut owned = lock(&self.owned);
        if self.released.load(Ordering::Relaxed) || self.is_superseded(owner) {
            return false;
        }
        self.entered_ms.store(clock::now().0, Ordering::Relaxed);
        if let Some(older) = owned.insert(owner.shard(), owner.clone()) {
            older.end();
        }
        self.context.metrics.shards.set(owned.len() as i64);
        true
    }

    async fn recover(
        &self,
        shard: u32,
        epoch: u64,
        predecessor_ended: bool,
    ) -> Result<Arc<Owner>, Fault> {
        let settings = workflow::Settings {
            lease_ms: self.settings.lease_ms(),
            lease_max_ms: self.settings.lease_max_ms,
            order_ttl_ms: START_TTL_MS,
            keep_ms: self.settings.keep_ms,
            early_ms: self.settings.early_ms / 2,
        };
        let mut state = Shard::new(settings, epoch);
        let config = self.config();
        if let Some(config) = &config {
            config.apply_to(&mut state, shard, self.settings.shards);
        }
        // In parallel, because a slow log takes a quarter of a second for each answer.
        let (progress_fenced, snapshot_fenced, jobs, changes) = tokio::join!(
            self.fence(Stream::Progress, shard, epoch),
            self.fence(Stream::State, shard, epoch),
            self.read_all(Stream::Jobs, shard, 0),
            self.read_workers()
        );
        progress_fenced?;
        snapshot_fenced?;
        let (jobs, jobs_next) = jobs?;
        let changes = changes?;
        // These reads are complete only after the fence: until then the previous owner may write.
        // The ends that it wrote may belong to jobs that were stored after the first read.
        let (later, progress, snapshot) = tokio::join!(
            self.read_all(Stream::Jobs, shard, jobs_next),
            self.read_all(Stream::Progress, shard, 0),
            self.read_snapshot(shard)
        );
        let (later, jobs_next) = later?;
        let (progress, _) = progress?;
        let snapshot = snapshot?;
        let now_ms = clock::now().0;
        let stored = Stored::new(&snapshot);
        for record in snapshot.iter().flat_map(|record| decode(&record.value)) {
            state.replay(record, now_ms);
        }
        for (offset, record) in jobs.into_iter().chain(later) {
            state.apply_stored(record, Some(offset), now_ms);
        }
        for (_, record) in progress {
            state.replay(record, now_ms);
        }
        let mut skipped = changes.skipped;
        for change in changes.items {
            let WorkerChange::Updated(worker) = change else {
                continue;
            };
            if !worker_list::is_usable(&worker, &state, config.as_deref()) {
                skipped.push(worker.id);
            } else if crate::config::shard(&worker.pool, self.settings.shards) == shard {
                state.list_worker(worker, now_ms);
            }
        }
        self.skipped_workers.log(&skipped, now_ms);
        state.finish_replay(predecessor_ended, now_ms);
        let workers_read = Position {
            next: changes.next,
            config,
        };
        let owner = Owner::new(self, shard, state, stored, jobs_next, workers_read);
        Ok(owner)
    }

    /// Sets the epoch of a journal; appends of earlier owners are rejected from then on.
    async fn fence(&self, stream: Stream, shard: u32, epoch: u64) -> Result<(), Fault> {
        let append = Append {
            stream,
            partition: shard,
            records: Vec::new(),
            guard: Guard::Producer {
                name: journal::PRODUCER.into(),
                epoch,
                sequence: 0,
            },
        };
        let mut retries = 0;
        loop {
            match self.context.store.append(append.clone()).await {
                Ok(_) => return Ok(()),
                Err(Fault::Refused(_) | Fault::Unknown(_)) if retries < RETRIES_MAX => retries += 1,
                Err(fault) => return Err(fault),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Reads a partition from an offset to its end. Returns its records with their offsets, and the
    /// next offset.
    async fn read_all(
        &self,
        stream: Stream,
        shard: u32,
        from: u64,
    ) -> Result<(Vec<(u64, Record)>, u64), Fault> {
        let mut records = Vec::new();
        let mut next = from;
        let mut retries = 0;
        loop {
            match self.context.store.read(stream, shard, next, 0).await {
                Ok(page) => {
                    let decode = |(offset, record): (u64, &port::Record)| {
                        Some((offset, journal::decode(&record.value)?))
                    };
                    records.extend(page.with_offsets().filter_map(decode));
                    next = page.next;
                    if page.next >= page.end {
                        return Ok((records, next));
                    }
                }
                Err(Fault::Expired { first }) => next = first,
                Err(Fault::Refused(_) | Fault::Unknown(_)) if retries < RETRIES_MAX => {
                    retries += 1;
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
                Err(fault) => return Err(fault),
            }
        }
    }

    /// Reads the snapshot of a shard.
    async fn read_snapshot(&self, shard: u32) -> Result<Vec<port::Record>, Fault> {
        let mut retries = 0;
        loop {
            match self.context.store.newest(Stream::State, shard).await {
                Ok(page) => return Ok(page.records),
                Err(Fault::Refused(_) | Fault::Unknown(_)) if retries < RETRIES_MAX => retries += 1,
                Err(fault) => return Err(fault),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn read_workers(&self) -> Result<crate::port::Changes<WorkerChange>, Fault> {
        let mut retries = 0;
        loop {
            match self.context.store.workers(None).await {
                Ok(changes) => return Ok(changes),
                Err(Fault::Refused(_) | Fault::Unknown(_)) if retries < RETRIES_MAX => retries += 1,
                Err(fault) => return Err(fault),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}
