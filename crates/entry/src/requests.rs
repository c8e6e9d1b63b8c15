//! Calls of customers: submit or cancel a job, query a job's state or a queue's length.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_wire::workflow::{JobState, Message};
use rosemaryworks_workflow::memory;
use rosemaryworks_workflow::{Id, Record, Spec, State};

use crate::codec;
use crate::config::Route;
use crate::decision::{Decision, MEMORY_WAIT_MS};
use crate::events;
use crate::links::CALL_TIMEOUT;
use crate::moves::{Finding, RETRY_PAUSE};
use crate::node::Node;
use crate::owner::Owner;
use crate::submitter::Outcome;

/// Time without an outcome after which a record is also sent to a peer. A slow log answers within a
/// quarter of a second.
const RELAY_AFTER: Duration = Duration::from_millis(300);

/// Age of the log's last answer up to which an append is sent without a probe, in milliseconds.
const LOG_RECENT_MS: u64 = 1_500;

/// Time for which a caller waits for a response if the call doesn't say, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 3_000;

/// Upper bound of the time for which a caller may ask to wait, in milliseconds.
const DEADLINE_MAX_MS: u64 = 30_000;

/// Time before the caller's deadline by which the response is sent, in milliseconds. Covers the
/// network latency to the caller.
const RESPONSE_MARGIN_MS: u64 = 150;

/// Upper bound of the record of a submission in bytes. The log accepts records of 256 KiB, and a
/// snapshot needs some bytes for the key.
const SUBMISSION_MAX_BYTES: usize = 255 * 1024;

/// Upper bound of the tasks of a job that are due when it is submitted. Each takes 80 bytes in every
/// process that owns the job's shard.
const TASKS_MAX: u64 = 100_000;

/// Returns the deadline for the response on the process's clock, for a caller that waits for
/// `wait_ms` from now.
#[must_use]
pub fn deadline_ms(wait_ms: Option<u64>) -> u64 {
    let wait_ms = wait_ms.unwrap_or(DEFAULT_DEADLINE_MS).min(DEADLINE_MAX_MS);
    clock::now().0 + wait_ms.saturating_sub(RESPONSE_MARGIN_MS)
}

/// Outcome of a submission or cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acceptance {
    /// It is stored.
    Accepted,
    /// The job can't start in time to be of use. It is not stored and never will be.
    Busy {
        /// Time that the caller should wait before it submits the job again, in milliseconds.
        wait_ms: u64,
    },
    /// It is not stored and never will be.
    Refused,
    /// No such job was accepted, or it belongs to another team.
    NoSuchJob,
    /// It is too large to be stored, or has more tasks than a process can hold.
    TooLarge,
    /// It may be stored.
    Unknown,
}

/// Outcome of a query for a job's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lookup {
    /// State of the job.
    State(State),
    /// No such job was accepted, it belongs to another team, or the state of the ended job is no
    /// longer retained.
    NoSuchJob,
    /// The owner of the job's shard can't be reached in time.
    Unavailable,
}

impl Node {
    /// Stores a job. `deadline_ms` is on the process's clock.
    pub async fn submit(
        self: &Arc<Self>,
        route: &Route,
        id: Id,
        spec: Spec,
        deadline_ms: u64,
    ) -> Acceptance {
        let began = clock::now();
        let has_too_many_tasks = spec.due_tasks(clock::unix_ms()) > TASKS_MAX;
        let spec = Spec {
            address: route.address(),
            ..spec
        };
        let record = Record::Submitted {
            id,
            queue: route.queue.name.clone(),
            spec: Arc::new(spec),
        };
        let is_too_large =
            has_too_many_tasks || codec::encode(&record).len() > SUBMISSION_MAX_BYTES;
        let outcome = match is_too_large {
            true => Acceptance::TooLarge,
            false => {
                let written = self.submit_until(route, id, &record, deadline_ms);
                self.while_calls_last(written).await
            }
        };
        let took_ms = clock::now().since(began);
        let metrics = &self.context.metrics;
        match outcome {
            Acceptance::Accepted => metrics.accepted.inc(),
            Acceptance::Busy { .. } => metrics.busy.inc(),
            Acceptance::NoSuchJob | Acceptance::Refused | Acceptance::TooLarge => {
                metrics.refused.inc()
            }
            Acceptance::Unknown => metrics.unknown.inc(),
        };
        metrics.accept_seconds.observe(took_ms as f64 / 1_000.0);
        events::SUBMITTED.log(format_args!(
            "job={id} queue={} outcome={outcome:?} took_ms={took_ms} store_down={}",
            route.queue.name,
            self.log_is_down()
        ));
        outcome
    }

    /// Returns whether this process has memory for a job with a number of steps.
    #[must_use]
    pub fn has_room_for(&self, steps: u64) -> bool {
        self.memory.has_room(memory::steps_min_bytes(steps))
    }

    /// Returns the outcome of a submission that was not read for lack of memory. An earlier submission of
    /// the same job may be stored, so that it can't be refused.
    pub async fn decline(
        self: &Arc<Self>,
        route: &Route,
        id: Id,
        team: Option<Arc<str>>,
        deadline_ms: u64,
    ) -> Acceptance {
        match self.job_state(route, id, team, deadline_ms).await {
            Lookup::State(_) => Acceptance::Accepted,
            Lookup::NoSuchJob => Acceptance::Busy {
                wait_ms: MEMORY_WAIT_MS,
            },
            Lookup::Unavailable => Acceptance::Unknown,
        }
    }

    /// Stores the cancellation of a job on behalf of a team, if the caller has one.
    pub async fn cancel(
        self: &Arc<Self>,
        route: &Route,
        id: Id,
        team: Option<Arc<str>>,
        deadline_ms: u64,
    ) -> Acceptance {
        let cancelled = self.cancel_until(route, id, team, deadline_ms);
        let outcome = self.while_calls_last(cancelled).await;
        events::CANCELLED.log(format_args!(
            "job={id} queue={} outcome={outcome:?}",
            route.queue.name
        ));
        outcome
    }

    async fn cancel_until(
        self: &Arc<Self>,
        route: &Route,
        id: Id,
        team: Option<Arc<str>>,
        deadline_ms: u64,
    ) -> Acceptance {
        let chain = self.chain(route);
        let is_decided_here = team.is_some() || !chain.former.is_empty();
        let finding = match is_decided_here {
            true => self.find_until(route, id, team.as_ref(), deadline_ms).await,
            false => Finding::Unknown,
        };
        let (shard, is_known) = match finding {
            Finding::Known { shard, .. } => (shard, true),
            Finding::Unknown => (chain.current, team.is_none()),
            // Which shard knows the job, or whether it is one of the team's, can't be told.
            Finding::Unavailable => return Acceptance::Refused,
        };
        let record = Record::Cancelled { id, team };
        match self.write_until(shard, &record, deadline_ms).await {
            // The cancellation holds for a job of the team that is stored later. A job of another
            // team, to which it doesn't apply, gets the same answer.
            _ if !is_known => Acceptance::NoSuchJob,
            outcome => outcome,
        }
    }

    /// Waits for the outcome of a call that stores a record while calls are served.
    async fn while_calls_last(&self, call: impl Future<Output = Acceptance>) -> Acceptance {
        if self.calls_have_ended() {
            return Acceptance::Refused;
        }
        tokio::select! {
            outcome = call => outcome,
            () = self.calls_must_end() => Acceptance::Unknown,
        }
    }

    /// Stores a job in the shard that its address belongs to, unless a former one knows it.
    async fn submit_until(
        self: &Arc<Self>,
        route: &Route,
        id: Id,
        record: &Record,
        deadline_ms: u64,
    ) -> Acceptance {
        let Some(chain) = self.listed_chain(route, deadline_ms).await else {
            return Acceptance::Refused;
        };
        if !chain.former.is_empty() {
            let found = self.find_former(route.address(), &chain, id, deadline_ms);
            match found.await {
                Finding::Known { .. } => return Acceptance::Accepted,
                Finding::Unknown => {}
                Finding::Unavailable => return Acceptance::Unknown,
            }
        }
        self.write_until(chain.current, record, deadline_ms).await
    }

    async fn write_until(
        self: &Arc<Self>,
        shard: u32,
        record: &Record,
        deadline_ms: u64,
    ) -> Acceptance {
        let owner = self.owner(shard);
        let decision = match &owner {
            Some(owner) => owner.decide(record).await,
            None => Decision::Store,
        };
        match decision {
            Decision::Store => {}
            Decision::Refuse { wait_ms } => return Acceptance::Busy { wait_ms },
            Decision::Undecided => return Acceptance::Unknown,
        }
        let outcome = self
            .store_decided(shard, owner.as_ref(), record, deadline_ms)
            .await;
        if let Some(owner) = owner.filter(|_| outcome == Acceptance::Refused) {
            owner.release(record);
        }
        outcome
    }

    /// Stores a record that the owner, if it is this process, has not refused.
    async fn store_decided(
        self: &Arc<Self>,
        shard: u32,
        owner: Option<&Arc<Owner>>,
        record: &Record,
        deadline_ms: u64,
    ) -> Acceptance {
        if self.log_is_down() {
            // The background reads detect the return of the log, so this call needs no probe.
            return self.store_via_peer(shard, record, deadline_ms).await;
        }
        let via_owner = match owner {
            // This process is the owner: nothing has been sent yet.
            Some(_) => Acceptance::Refused,
            None => self.store_via_owner(shard, record, deadline_ms).await,
        };
        if matches!(via_owner, Acceptance::Accepted | Acceptance::Busy { .. }) {
            return via_owner;
        }
        // The log is probed with a read first: an append without an answer would leave an
        // unresolved outcome.
        let recent = self.log_response_age_ms() < LOG_RECENT_MS;
        if via_owner == Acceptance::Refused && !recent && !self.log_answers().await {
            self.observe_log_response(false);
            return Acceptance::Refused;
        }
        match (self.write_here(shard, record, deadline_ms).await, via_owner) {
            (Acceptance::Refused | Acceptance::Busy { .. }, Acceptance::Unknown) => {
                Acceptance::Unknown
            }
            (outcome, _) => outcome,
        }
    }

    /// Stores a record from this VM, and also through a peer if the log doesn't answer soon.
    async fn write_here(
        self: &Arc<Self>,
        shard: u32,
        record: &Record,
        deadline_ms: u64,
    ) -> Acceptance {
        let written = self
            .submitter(shard)
            .write(codec::encode(record), deadline_ms, deadline_ms);
        tokio::pin!(written);
        let first = tokio::time::timeout(RELAY_AFTER, &mut written).await;
        let outcome = match first {
            Ok(outcome) => acceptance(outcome.ok()),
            Err(_) => {
                let via_peer = self.store_via_peer(shard, record, deadline_ms).await;
                if via_peer == Acceptance::Accepted {
                    return via_peer;
                }
                let left_ms = deadline_ms.saturating_sub(clock::now().0);
                let last = tokio::time::timeout(Duration::from_millis(left_ms), written).await;
                match (acceptance(last.ok().and_then(Result::ok)), via_peer) {
                    (Acceptance::Refused, via_peer) => via_peer,
                    (own, _) => own,
                }
            }
        };
        if outcome == Acceptance::Accepted {
            self.notify_stored(shard, record);
        }
        outcome
    }

    /// Returns the state of a job to a caller of a team, if it has one.
    pub async fn job_state(
        self: &Arc<Self>,
        route: &Route,
        id: Id,
        team: Option<Arc<str>>,
        deadline_ms: u64,
    ) -> Lookup {
        let finding = tokio::select! {
            finding = self.find_until(route, id, team.as_ref(), deadline_ms) => finding,
            () = self.calls_must_end() => Finding::Unavailable,
        };
        match finding {
            Finding::Known {
                state: JobState::State(state),
                ..
            } => Lookup::State(state),
            Finding::Unknown => Lookup::NoSuchJob,
            Finding::Known { .. } | Finding::Unavailable => Lookup::Unavailable,
        }
    }

    /// Looks for a job in the shards of its address until all of them have answered.
    async fn find_until(
        self: &Arc<Self>,
        route: &Route,
        id: Id,
        team: Option<&Arc<str>>,
        deadline_ms: u64,
    ) -> Finding {
        loop {
            let finding = self.find(&self.chain(route), id, team).await;
            let is_late = clock::now().0 + RETRY_PAUSE.as_millis() as u64 >= deadline_ms;
            if finding != Finding::Unavailable || is_late {
                return finding;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns the number of jobs of a queue of which no task has started; `None` if the owners of
    /// the shards can't be reached in time.
    pub async fn queue_length(self: &Arc<Self>, route: &Route, deadline_ms: u64) -> Option<u64> {
        tokio::select! {
            length = self.queue_length_until(route, deadline_ms) => length,
            () = self.calls_must_end() => None,
        }
    }

    async fn queue_length_until(self: &Arc<Self>, route: &Route, deadline_ms: u64) -> Option<u64> {
        loop {
            let mut total = Some(0);
            for shard in self.chain(route).shards() {
                let length = self.length_in(shard, route).await;
                total = total.zip(length).map(|(total, length)| total + length);
            }
            if total.is_some() || clock::now().0 + RETRY_PAUSE.as_millis() as u64 >= deadline_ms {
                return total;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn length_in(self: &Arc<Self>, shard: u32, route: &Route) -> Option<u64> {
        if let Some(owner) = self.owner(shard) {
            return owner.queue_length(route.address(), &route.queue.name);
        }
        let question = Message::Length {
            shard,
            queue: route.queue.name.clone(),
            address: route.address(),
        };
        match self.call_owner(shard, question, CALL_TIMEOUT).await {
            Some(Message::LengthIs(length)) => length,
            _ => None,
        }
    }
}

fn acceptance(outcome: Option<Outcome>) -> Acceptance {
    match outcome {
        Some(Outcome::Stored) => Acceptance::Accepted,
        Some(Outcome::Refused) => Acceptance::Refused,
        Some(Outcome::Unknown) | None => Acceptance::Unknown,
    }
}
