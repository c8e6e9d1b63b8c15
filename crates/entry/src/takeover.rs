//! From a won claim to a shard that is acted for.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_workflow::{self as workflow, Record, Shard};

use crate::events;
use crate::journal;
use crate::node::{Node, lock};
use crate::owner::Owner;
use crate::port::{Append, Fault, Guard, Listing, Stream};

/// Time for which an order to a worker may be on its way, in milliseconds.
const ORDER_MS: u64 = 2_000;

/// Pause before a step of a takeover that got no answer is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Repetitions of a step of a takeover.
const TRIES_MAX: u32 = 30;

impl Node {
    /// Takes over a shard whose claim was won. `alone` tells that the older owner has ended.
    pub(crate) async fn take_over(self: Arc<Self>, shard: u32, epoch: u64, alone: bool) {
        let began = clock::now();
        match self.prepare(shard, epoch, alone).await {
            Ok(owner) => {
                if self.stopping.load(Ordering::Relaxed) {
                    self.give_up(shard, epoch, true).await;
                    return;
                }
                let (jobs, workers) = owner.counts();
                events::ACTIVATED.log(format_args!(
                    "shard={shard} epoch={epoch} open_jobs={jobs} workers={workers} took_ms={}",
                    clock::now().since(began)
                ));
                {
                    let mut owned = lock(&self.owned);
                    if let Some(older) = owned.insert(shard, owner.clone()) {
                        older.end();
                    }
                    self.parts.metrics.shards.set(owned.len() as i64);
                }
                owner.start(&self);
            }
            Err(fault) => {
                events::TAKEOVER_FAILED.log(format_args!("shard={shard} epoch={epoch} {fault}"));
                self.give_up(shard, epoch, true).await;
            }
        }
    }

    async fn prepare(&self, shard: u32, epoch: u64, alone: bool) -> Result<Arc<Owner>, Fault> {
        let settings = workflow::Settings {
            lease_ms: self.settings.lease_ms(),
            order_ttl_ms: ORDER_MS,
            keep_ms: self.settings.keep_ms,
            early_ms: self.settings.early_ms / 2,
        };
        let mut state = Shard::new(settings, epoch);
        if let Some(config) = self.config() {
            let queues = config.routes.iter().map(|route| (*route.queue).clone());
            state.set_queues(queues);
        }
        // On slow days an answer of the log takes a quarter of a second.
        let (fenced, jobs, feed) = tokio::join!(
            self.fence(shard, epoch),
            self.read_all(Stream::Jobs, shard, 0),
            self.whole_list()
        );
        fenced?;
        let (jobs, jobs_next) = jobs?;
        let feed = feed?;
        // Complete only after the fence: until then an older owner may write. The ends that it wrote
        // may be of jobs that were stored after the first read.
        let (later, progress) = tokio::join!(
            self.read_all(Stream::Jobs, shard, jobs_next),
            self.read_all(Stream::Progress, shard, 0)
        );
        let (later, jobs_next) = later?;
        let (progress, _) = progress?;
        let now_ms = clock::now().0;
        for record in jobs.into_iter().chain(later).chain(progress) {
            state.replay(record, now_ms);
        }
        for listing in feed.items {
            if let Listing::Listed(worker) = listing
                && crate::config::shard(&worker.pool, self.settings.shards) == shard
            {
                state.list_worker(worker, now_ms);
            }
        }
        state.finish_replay(alone, now_ms);
        Ok(Owner::new(self, shard, state, jobs_next, feed.next))
    }

    /// Sets the epoch of the journal: from then on no older owner writes to it.
    async fn fence(&self, shard: u32, epoch: u64) -> Result<(), Fault> {
        let append = Append {
            stream: Stream::Progress,
            part: shard,
            records: Vec::new(),
            guard: Guard::Producer {
                name: journal::PRODUCER.into(),
                epoch,
                sequence: 0,
            },
        };
        let mut tries = 0;
        loop {
            match self.parts.store.append(append.clone()).await {
                Ok(_) => return Ok(()),
                Err(Fault::Refused(_) | Fault::Unknown(_)) if tries < TRIES_MAX => tries += 1,
                Err(fault) => return Err(fault),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Reads a partition from an offset to its end. Returns its records and the next offset.
    async fn read_all(
        &self,
        stream: Stream,
        shard: u32,
        from: u64,
    ) -> Result<(Vec<Record>, u64), Fault> {
        let mut records = Vec::new();
        let mut next = from;
        let mut tries = 0;
        loop {
            match self.parts.store.read(stream, shard, next, 0).await {
                Ok(page) => {
                    let decoded = page.records.iter().map(|record| &record.value);
                    records.extend(decoded.filter_map(|value| journal::decode(value)));
                    next = page.next;
                    if page.next >= page.end {
                        return Ok((records, next));
                    }
                }
                Err(Fault::Expired { first }) => next = first,
                Err(Fault::Refused(_) | Fault::Unknown(_)) if tries < TRIES_MAX => {
                    tries += 1;
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
                Err(fault) => return Err(fault),
            }
        }
    }

    async fn whole_list(&self) -> Result<crate::port::Feed<Listing>, Fault> {
        let mut tries = 0;
        loop {
            match self.parts.store.workers(None).await {
                Ok(feed) => return Ok(feed),
                Err(Fault::Refused(_) | Fault::Unknown(_)) if tries < TRIES_MAX => tries += 1,
                Err(fault) => return Err(fault),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}
