//! The list of workers, which the owner of a shard reads and follows.
//!
//! Other writers may add entries to the list. An entry that can't be used changes nothing: it adds
//! no worker and doesn't count as the removal of one.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_node::clock;

use crate::config;
use crate::node::Node;
use crate::owner::Owner;
use crate::port::{Changes, Fault, WorkerChange};

/// Time between two reads of the list of workers. Attempts may start on a draining worker for 2 s
/// at most.
const POLL_PERIOD: Duration = Duration::from_millis(350);

impl Owner {
    /// Reads changes of the list of workers as they are appended.
    pub(crate) async fn follow_workers(self: Arc<Self>, node: Arc<Node>) {
        let mut since = Some(self.workers_next);
        while !self.is_ended() {
            tokio::time::sleep(POLL_PERIOD).await;
            match self.context().store.workers(since).await {
                Ok(changes) => {
                    since = Some(changes.next);
                    let skipped = changes.skipped.clone();
                    self.apply_worker_changes(changes);
                    node.skipped_workers.log(&skipped, clock::now().0);
                }
                Err(Fault::Expired { .. }) => since = None,
                Err(_) => node.observe_log_response(false),
            }
        }
    }

    fn apply_worker_changes(&self, changes: Changes<WorkerChange>) {
        let now_ms = clock::now().0;
        let mut state = self.state();
        let mut missing = if changes.complete {
            state.host_ids()
        } else {
            Vec::new()
        };
        missing.retain(|id| !changes.skipped.contains(id));
        for item in changes.items {
            match item {
                WorkerChange::Updated(worker) => {
                    missing.retain(|id| *id != worker.id);
                    if config::shard(&worker.pool, self.shards()) == self.shard() {
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
    }
}
