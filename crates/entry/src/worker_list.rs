//! The list of workers, which the owner of a shard reads and follows.
//!
//! Other writers may add entries to the list. An entry that can't be used changes nothing: it adds
//! no worker and doesn't count as the removal of one.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_workflow::{Shard, Worker};

use crate::config::{self, Config};
use crate::node::Node;
use crate::owner::Owner;
use crate::port::{Changes, Fault, WorkerChange};

/// Time between two reads of the list of workers. Attempts may start on a draining worker for 2 s
/// at most.
const POLL_PERIOD: Duration = Duration::from_millis(350);

/// How far the list has been read.
#[derive(Clone, Debug)]
pub(crate) struct Position {
    /// Offset of the next read.
    pub(crate) next: u64,
    /// Configuration by which the entries were judged.
    pub(crate) config: Option<Arc<Config>>,
}

/// Returns whether an entry may change the list. A worker of a pool that the configuration doesn't
/// name gets no tasks, and a takeover would wait for its answer. A listed worker whose pool is no
/// longer named may still run tasks.
pub(crate) fn is_usable(worker: &Worker, state: &Shard, config: Option<&Config>) -> bool {
    config.is_none_or(|config| config.has_pool(&worker.pool))
        || state
            .host(&worker.id)
            .is_some_and(|host| host.worker().pool == worker.pool)
}

impl Owner {
    /// Reads changes of the list of workers as they are appended.
    pub(crate) async fn follow_workers(self: Arc<Self>, node: Arc<Node>) {
        let Position { next, mut config } = self.workers_read.clone();
        let mut since = Some(next);
        while !self.is_ended() {
            tokio::time::sleep(POLL_PERIOD).await;
            let current = node.config();
            if !config::have_same_pools(config.as_deref(), current.as_deref()) {
                // Entries that were skipped may belong to a pool that is named now.
                since = None;
            }
            let asked_ms = clock::now().0;
            match self.context().store.workers(since).await {
                Ok(changes) => {
                    since = Some(changes.next);
                    config = current;
                    let has_more = changes.has_more;
                    let skipped = self.apply_worker_changes(changes, config.as_deref());
                    if !has_more {
                        self.state().workers_read(asked_ms);
                    }
                    node.skipped_workers.log(&skipped, clock::now().0);
                }
                Err(Fault::Expired { .. }) => since = None,
                Err(_) => node.observe_log_response(false),
            }
        }
    }

    /// Applies changes of the list of workers. Returns the keys of the entries that were skipped.
    fn apply_worker_changes(
        &self,
        changes: Changes<WorkerChange>,
        config: Option<&Config>,
    ) -> Vec<Arc<str>> {
        let now_ms = clock::now().0;
        let mut skipped = changes.skipped;
        let mut state = self.state();
        let mut missing = if changes.complete {
            state.host_ids()
        } else {
            Vec::new()
        };
        missing.retain(|id| !skipped.contains(id));
        for item in changes.items {
            match item {
                WorkerChange::Updated(worker) => {
                    missing.retain(|id| *id != worker.id);
                    if !is_usable(&worker, &state, config) {
                        skipped.push(worker.id);
                    } else if config::shard(&worker.pool, self.shards()) == self.shard() {
                        state.list_worker(worker, now_ms);
                    } else {
                        state.unlist_worker(&worker.id);
                    }
                }
                WorkerChange::Removed(id) => state.unlist_worker(&id),
            }
        }
        for id in missing {
            state.unlist_worker(&id);
        }
        drop(state);
        self.wake();
        skipped
    }
}
