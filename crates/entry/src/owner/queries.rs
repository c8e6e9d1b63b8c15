//! Queries of callers that the owner of a shard answers.

use std::sync::atomic::Ordering;

use rosemaryworks_node::clock;
use rosemaryworks_wire::workflow::JobState;
use rosemaryworks_workflow::{Address, Id, State};

use crate::owner::{JOBS_FRESH_MS, Owner};
use crate::port::Stream;

impl Owner {
    /// Returns the state of a job to a caller of a team. Another process may have stored an unknown
    /// job a moment ago, so the stream is read to its end before the job is reported as unknown.
    pub(crate) async fn job_state(&self, job: Id, team: Option<&str>) -> JobState {
        if self.is_ended() {
            return JobState::Unavailable;
        }
        let queried_ms = clock::now().0;
        if let Some(state) = self.known_state(job, team) {
            return JobState::State(state);
        }
        if !self.read_to_end(queried_ms).await {
            return JobState::Unavailable;
        }
        self.known_state(job, team)
            .map_or(JobState::Unknown, JobState::State)
    }

    fn known_state(&self, job: Id, team: Option<&str>) -> Option<State> {
        let state = self.state();
        state.state(job).filter(|_| state.is_accessible(job, team))
    }

    /// Reads the jobs up to the end that the stream had at `queried_ms` or later. Queries that wait
    /// at the same time share a read.
    pub(crate) async fn read_to_end(&self, queried_ms: u64) -> bool {
        let mut full_read_ms = self.full_read_ms.lock().await;
        if full_read_ms.is_some_and(|began_ms| began_ms > queried_ms) {
            return true;
        }
        let began_ms = clock::now().0;
        let from = self.jobs_read.load(Ordering::Relaxed);
        let read = self.context.store.read(Stream::Jobs, self.shard, from, 0);
        let Ok(page) = read.await else {
            return false;
        };
        self.apply_jobs(&page, began_ms).await;
        let complete = page.next >= page.end;
        if complete {
            *full_read_ms = Some(began_ms);
        }
        complete
    }

    fn jobs_are_fresh(&self) -> bool {
        clock::now().0 < self.jobs_read_ms.load(Ordering::Relaxed) + JOBS_FRESH_MS
    }

    /// Returns the number of waiting jobs of a queue; `None` if ownership has ended or
    /// the jobs were not read recently.
    pub(crate) fn queue_length(&self, address: Address, queue: &str) -> Option<u64> {
        let fresh = !self.is_ended() && self.jobs_are_fresh();
        fresh.then(|| self.state().pending_jobs(address, queue))
    }
}
