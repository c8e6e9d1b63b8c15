//! The stream of a shard's jobs, which the owner follows.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use rosemaryworks_node::clock;

use crate::codec;
use crate::node::Node;
use crate::owner::{JOBS_PAUSE, JOBS_WAIT_MS, Owner, RETRY_PAUSE};
use crate::port::{Fault, Page, Stream};

impl Owner {
    /// Reads the jobs and cancellations of the shard as they are appended.
    pub(super) async fn follow_jobs(self: Arc<Self>, node: Arc<Node>) {
        while !self.is_ended() {
            let asked_ms = clock::now().0;
            let next = self.jobs_read.load(Ordering::Relaxed);
            // Jobs count as new only after a read that began when previous owners had stopped.
            let fenced_in_ms = self.state().fenced_in(asked_ms);
            let wait_ms = fenced_in_ms.unwrap_or(JOBS_WAIT_MS).min(JOBS_WAIT_MS);
            let read = self
                .context
                .store
                .read(Stream::Jobs, self.shard, next, wait_ms);
            match read.await {
                Ok(page) => {
                    node.observe_log_response(true);
                    self.apply_jobs(&page, asked_ms).await;
                    self.jobs_read.store(page.next, Ordering::Relaxed);
                    if !page.records.is_empty() {
                        self.wake();
                        tokio::time::sleep(JOBS_PAUSE).await;
                    }
                }
                Err(Fault::Expired { first }) => self.jobs_read.store(first, Ordering::Relaxed),
                Err(_) => {
                    node.observe_log_response(false);
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Applies a page of jobs that was requested at `asked_ms`. Lets other tasks run after every
    /// [`codec::CHUNK_BYTES`] of it.
    pub(super) async fn apply_jobs(&self, page: &Page, asked_ms: u64) {
        let mut bytes = 0;
        for (offset, record) in page.with_offsets() {
            self.apply_job(offset, &record.value);
            bytes += record.value.len();
            if bytes >= codec::CHUNK_BYTES {
                bytes = 0;
                tokio::task::yield_now().await;
            }
        }
        let mut state = self.state();
        state.retained_from(page.first);
        state.read_to(page.next);
        if page.next >= page.end {
            state.jobs_read(asked_ms);
            self.jobs_read_ms.store(clock::now().0, Ordering::Relaxed);
        }
    }

    fn apply_job(&self, offset: u64, encoded: &[u8]) {
        let submitted = codec::compressed_submission(encoded);
        // Most jobs are known before their records are read.
        let is_known = submitted.is_some_and(|id| self.state().note_logged(id, offset));
        let record = match is_known {
            true => None,
            false => codec::decode(encoded),
        };
        // A move that is recorded meanwhile begins either before this record or after it.
        let mut state = self.state();
        if let Some(record) = record {
            state.apply_stored(record, Some(offset), clock::now().0);
        }
        state.read_to(offset + 1);
    }
}
