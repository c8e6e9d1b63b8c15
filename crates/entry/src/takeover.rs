//! Takeover of a shard whose claim was won: fences the previous owner, replays the shard's streams
//! and starts to act as the owner.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_workflow::{self as workflow, Id, Record, Shard, State};

use crate::codec;
use crate::events;
use crate::journal;
use crate::node::{Node, lock};
use crate::owner::Owner;
use crate::port::{self, Append, Fault, Guard, Stream, WorkerChange};
use crate::snapshot::Stored;
use crate::worker_list::{self, Position};

/// Time after which a start command to a worker is void, in milliseconds.
const START_TTL_MS: u64 = 2_000;

/// Pause before a call of the takeover that got no answer is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Upper bound of the retries of each read or append of a takeover.
const RETRIES_MAX: u32 = 30;

/// Records that are replayed without a pause, in which a VM with a tenth of a core renews no claim. Large
/// ones are replayed in smaller chunks, see [`codec::CHUNK_BYTES`].
const REPLAY_CHUNK: usize = 256;

/// What was replayed since the last pause.
#[derive(Debug, Default)]
struct Replayed {
    records: usize,
    bytes: usize,
}

/// Jobs that have ended according to the journal. They are not opened in a replay: the previous owner held
/// them one after the other, and all of them together may exceed the memory of a VM.
struct Ended(HashMap<Id, (State, Option<u64>)>);

impl Ended {
    fn read(progress: &[(u64, Vec<u8>)]) -> Self {
        let records = progress.iter();
        let finals = records.filter_map(|(_, record)| codec::final_state(record));
        Self(
            finals
                .map(|(id, state, at_ms)| (id, (state, at_ms)))
                .collect(),
        )
    }

    /// Replays a submission of the jobs' stream if its job has ended. Returns whether it is one.
    fn replay(&self, record: &[u8], offset: u64, state: &mut Shard) -> bool {
        if self.0.is_empty() {
            return false;
        }
        let Some((id, address, team)) = codec::origin(record) else {
            return false;
        };
        let Some((end, at_ms)) = self.0.get(&id) else {
            return false;
        };
        state.replay_ended(id, *end, *at_ms, address, team);
        state.note_logged(id, offset);
        true
    }

    /// Replays a record of the snapshot.
    fn replay_snapshot(&self, record: Record, state: &mut Shard, now_ms: u64) {
        match &record {
            Record::Submitted { id, spec, .. } if self.0.contains_key(id) => {
                let (end, at_ms) = self.0[id];
                state.replay_ended(*id, end, at_ms, spec.address, spec.team.clone());
            }
            _ => state.replay(record, now_ms),
        }
    }
}

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
                    self.abandon(shard, epoch).await;
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
                self.abandon(shard, epoch).await;
            }
        }
    }

    /// Ends a takeover that isn't complete: its claim is renewed no more, and released.
    async fn abandon(&self, shard: u32, epoch: u64) {
        if let Some(takeover) = lock(&self.taking_over).get_mut(&shard) {
            takeover.end();
        }
        self.release_claim(shard, epoch, true).await;
    }

    /// Enters the owner of a shard. Returns `false` if a planned stop has released the shards, or
    /// another process has claimed the shard during the takeover.
    fn enter(&self, owner: &Arc<Owner>) -> bool {
        let mut owned = lock(&self.owned);
        if self.released.load(Ordering::Relaxed) || self.is_superseded(owner) {
            return false;
        }
        let takeover = lock(&self.taking_over).remove(&owner.shard());
        let renewals = takeover.map_or(0, |takeover| takeover.renewals());
        owner.renewals.store(renewals, Ordering::Relaxed);
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
        let mut state = Shard::new(settings, epoch).with_memory(self.memory.clone());
        let config = self.config();
        if let Some(config) = &config {
            config.apply_to(&mut state, shard, self.settings.shards);
        }
        // In parallel, because a slow log takes a quarter of a second for each answer.
        let (progress_fenced, snapshot_fenced, jobs, changes) = tokio::join!(
            self.fence(Stream::Progress, shard, epoch),
            self.fence(Stream::State, shard, epoch),
            self.read_all(Stream::Jobs, shard, epoch, 0),
            self.read_workers(shard, epoch)
        );
        progress_fenced?;
        snapshot_fenced?;
        let (jobs, jobs_next) = jobs?;
        let changes = changes?;
        // These reads are complete only after the fence: until then the previous owner may write.
        // The ends that it wrote may belong to jobs that were stored after the first read.
        let (later, progress, snapshot) = tokio::join!(
            self.read_all(Stream::Jobs, shard, epoch, jobs_next),
            self.read_all(Stream::Progress, shard, epoch, 0),
            self.read_snapshot(shard, epoch)
        );
        let (later, jobs_next) = later?;
        let (progress, _) = progress?;
        let snapshot = snapshot?;
        let now_ms = clock::now().0;
        let stored = Stored::new(&snapshot);
        let ended = Ended::read(&progress);
        let mut replayed = Replayed::default();
        for entry in &snapshot {
            let records = codec::decode_all(&entry.value);
            let bytes = entry.value.len() / records.len().max(1);
            for record in records {
                ended.replay_snapshot(record, &mut state, now_ms);
                self.pause_replay(shard, bytes, &mut replayed).await;
            }
        }
        // Moves decide about the jobs that follow.
        for (_, record) in &progress {
            if codec::is_move(record)
                && let Some(record) = codec::decode(record)
            {
                state.replay(record, now_ms);
            }
        }
        for (offset, record) in jobs.iter().chain(&later) {
            let bytes = record.len();
            if !ended.replay(record, *offset, &mut state)
                && let Some(record) = codec::decode(record)
            {
                state.apply_stored(record, Some(*offset), now_ms);
            }
            self.pause_replay(shard, bytes, &mut replayed).await;
        }
        for (_, record) in &progress {
            let bytes = record.len();
            if let Some(record) = codec::decode(record) {
                state.replay(record, now_ms);
            }
            self.pause_replay(shard, bytes, &mut replayed).await;
        }
        state.read_to(jobs_next);
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
        let call = || self.context.store.append(append.clone());
        self.complete(shard, epoch, call).await?;
        Ok(())
    }

    /// Reads a partition from an offset to its end. Returns its encoded records with their offsets,
    /// and the next offset. A decoded job may take a hundred times its record.
    async fn read_all(
        &self,
        stream: Stream,
        shard: u32,
        epoch: u64,
        from: u64,
    ) -> Result<(Vec<(u64, Vec<u8>)>, u64), Fault> {
        let mut records = Vec::new();
        let mut next = from;
        loop {
            let call = || self.context.store.read(stream, shard, next, 0);
            match self.complete(shard, epoch, call).await {
                Ok(page) => {
                    let encoded = page.with_offsets();
                    records.extend(encoded.map(|(offset, record)| (offset, record.value.clone())));
                    next = page.next;
                    if page.next >= page.end {
                        return Ok((records, next));
                    }
                }
                Err(Fault::Expired { first }) => next = first,
                Err(fault) => return Err(fault),
            }
        }
    }

    /// Reads the snapshot of a shard.
    async fn read_snapshot(&self, shard: u32, epoch: u64) -> Result<Vec<port::Record>, Fault> {
        let call = || self.context.store.newest(Stream::State, shard);
        Ok(self.complete(shard, epoch, call).await?.records)
    }

    async fn read_workers(
        &self,
        shard: u32,
        epoch: u64,
    ) -> Result<port::Changes<WorkerChange>, Fault> {
        let call = || self.context.store.workers(None);
        self.complete(shard, epoch, call).await
    }

    /// Makes a call of a takeover, with retries while no other process claims the shard.
    async fn complete<T>(
        &self,
        shard: u32,
        epoch: u64,
        call: impl Fn() -> port::Answer<T>,
    ) -> Result<T, Fault> {
        let mut retries = 0;
        loop {
            match call().await {
                Ok(answer) => {
                    self.takeover_progressed(shard);
                    return Ok(answer);
                }
                Err(Fault::Refused(_) | Fault::Unknown(_))
                    if retries < RETRIES_MAX && !self.is_claimed_after(shard, epoch) =>
                {
                    retries += 1;
                }
                Err(fault) => return Err(fault),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Records that a part of the takeover of a shard was completed, so that its claim is renewed.
    fn takeover_progressed(&self, shard: u32) {
        if let Some(takeover) = lock(&self.taking_over).get_mut(&shard) {
            takeover.progressed(clock::now().0);
        }
    }

    /// Lets other tasks run, among them the renewal of the claim, after every [`REPLAY_CHUNK`] records or
    /// [`codec::CHUNK_BYTES`] of a replay.
    async fn pause_replay(&self, shard: u32, bytes: usize, replayed: &mut Replayed) {
        replayed.records += 1;
        replayed.bytes += bytes;
        if replayed.records >= REPLAY_CHUNK || replayed.bytes >= codec::CHUNK_BYTES {
            *replayed = Replayed::default();
            self.takeover_progressed(shard);
            tokio::task::yield_now().await;
        }
    }
}
