//! What callers ask: submit, cancel, state of a job, length of a queue.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_wire::workflow::{JobState, Message};
use rosemaryworks_workflow::{Id, Queue, Record, Spec, State};

use crate::config;
use crate::events;
use crate::journal;
use crate::links::CALL_TIMEOUT;
use crate::node::Node;
use crate::submitter::Outcome;

/// Pause before the owner of a shard is asked again, in milliseconds.
const ASK_AGAIN: Duration = Duration::from_millis(80);

/// Time without an outcome after which a peer is asked to store a record as well. The log answers
/// within a quarter of a second on slow days.
const RELAY_AFTER: Duration = Duration::from_millis(300);

/// Age of the log's last answer up to which an append is sent without asking first, in milliseconds.
const STORE_RECENT_MS: u64 = 1_500;

/// Time for which a caller waits for a response if it doesn't tell, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// Longest time for which a caller may ask to wait, in milliseconds.
const DEADLINE_MAX_MS: u64 = 30_000;

/// Time before the caller's deadline at which a response is sent, in milliseconds. Covers the way
/// to the caller.
const MARGIN_MS: u64 = 150;

/// Returns the time on the process's clock by which a caller must have its response, if it waits for
/// `wait_ms` from now.
#[must_use]
pub fn deadline_ms(wait_ms: Option<u64>) -> u64 {
    let wait_ms = wait_ms.unwrap_or(DEADLINE_MS).min(DEADLINE_MAX_MS);
    clock::now().0 + wait_ms.saturating_sub(MARGIN_MS)
}

/// Outcome of a submission or cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Accepting {
    /// It is stored.
    Accepted,
    /// It is not stored and never will be.
    Refused,
    /// It may be stored.
    Unknown,
}

/// Outcome of a question about a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Inquiry {
    /// State of the job.
    State(State),
    /// No such job was accepted.
    NoSuchJob,
    /// The owner of the job can't be reached in time.
    Unavailable,
}

impl Node {
    /// Stores a job. `deadline_ms` is on the process's clock.
    pub async fn submit(
        self: &Arc<Self>,
        queue: &Queue,
        id: Id,
        spec: Spec,
        deadline_ms: u64,
    ) -> Accepting {
        let began = clock::now();
        let record = Record::Submitted {
            id,
            queue: queue.name.clone(),
            spec: Arc::new(spec),
        };
        let outcome = self.write(&queue.pool, &record, deadline_ms).await;
        let took_ms = clock::now().since(began);
        let metrics = &self.parts.metrics;
        match outcome {
            Accepting::Accepted => metrics.accepted.inc(),
            Accepting::Refused => metrics.refused.inc(),
            Accepting::Unknown => metrics.unknown.inc(),
        };
        metrics.accept_seconds.observe(took_ms as f64 / 1_000.0);
        events::SUBMITTED.log(format_args!(
            "job={id} queue={} outcome={outcome:?} took_ms={took_ms} store_down={}",
            queue.name,
            self.store_is_down()
        ));
        outcome
    }

    /// Stores the cancellation of a job.
    pub async fn cancel(self: &Arc<Self>, queue: &Queue, id: Id, deadline_ms: u64) -> Accepting {
        let record = Record::Cancelled { id };
        let outcome = self.write(&queue.pool, &record, deadline_ms).await;
        events::CANCELLED.log(format_args!(
            "job={id} queue={} outcome={outcome:?}",
            queue.name
        ));
        outcome
    }

    async fn write(self: &Arc<Self>, pool: &str, record: &Record, deadline_ms: u64) -> Accepting {
        let shard = config::shard(pool, self.settings.shards);
        if self.store_is_down() {
            // The followers of the log notice its return, so nothing has to wait here.
            return self.store_through_peer(shard, record, deadline_ms).await;
        }
        let through_owner = match self.owner(shard) {
            Some(_) => Accepting::Refused,
            None => self.store_through_owner(shard, record, deadline_ms).await,
        };
        if through_owner == Accepting::Accepted {
            return through_owner;
        }
        // An append to a log that is away stays in doubt; a read doesn't.
        let recent = self.store_silent_ms() < STORE_RECENT_MS;
        if through_owner == Accepting::Refused && !recent && !self.log_answers().await {
            self.store_answered(false);
            return Accepting::Refused;
        }
        match (
            self.write_here(shard, record, deadline_ms).await,
            through_owner,
        ) {
            (Accepting::Refused, Accepting::Unknown) => Accepting::Unknown,
            (outcome, _) => outcome,
        }
    }

    /// Stores a record from this VM, and through a peer if the log doesn't answer soon.
    async fn write_here(
        self: &Arc<Self>,
        shard: u32,
        record: &Record,
        deadline_ms: u64,
    ) -> Accepting {
        let written =
            self.submitter(shard)
                .write(journal::encode(record), deadline_ms, deadline_ms);
        tokio::pin!(written);
        let first = tokio::time::timeout(RELAY_AFTER, &mut written).await;
        let outcome = match first {
            Ok(outcome) => accepting(outcome.ok()),
            Err(_) => {
                let relayed = self.store_through_peer(shard, record, deadline_ms).await;
                if relayed == Accepting::Accepted {
                    return relayed;
                }
                let left_ms = deadline_ms.saturating_sub(clock::now().0);
                let last = tokio::time::timeout(Duration::from_millis(left_ms), written).await;
                match (accepting(last.ok().and_then(Result::ok)), relayed) {
                    (Accepting::Refused, relayed) => relayed,
                    (own, _) => own,
                }
            }
        };
        if outcome == Accepting::Accepted {
            self.tell_stored(shard, record);
        }
        outcome
    }

    /// Returns the state of a job.
    pub async fn inquire(self: &Arc<Self>, queue: &Queue, id: Id, deadline_ms: u64) -> Inquiry {
        let shard = config::shard(&queue.pool, self.settings.shards);
        loop {
            let answer = match self.owner(shard) {
                Some(owner) => owner.inquire(id).await,
                None => match self
                    .call_owner(shard, Message::QueryJob { shard, job: id }, CALL_TIMEOUT)
                    .await
                {
                    Some(Message::JobState(answer)) => answer,
                    _ => JobState::Unavailable,
                },
            };
            match answer {
                JobState::State(state) => return Inquiry::State(state),
                JobState::Unknown => return Inquiry::NoSuchJob,
                JobState::Unavailable => {}
            }
            if clock::now().0 + ASK_AGAIN.as_millis() as u64 >= deadline_ms {
                return Inquiry::Unavailable;
            }
            tokio::time::sleep(ASK_AGAIN).await;
        }
    }

    /// Returns the number of jobs of a queue of which no task has started; `None` if the owner of
    /// the queue can't be reached in time.
    pub async fn length(self: &Arc<Self>, queue: &Queue, deadline_ms: u64) -> Option<u64> {
        let shard = config::shard(&queue.pool, self.settings.shards);
        loop {
            let length = match self.owner(shard) {
                Some(owner) => owner.length(&queue.name),
                None => {
                    let queue = queue.name.clone();
                    match self
                        .call_owner(shard, Message::Length { shard, queue }, CALL_TIMEOUT)
                        .await
                    {
                        Some(Message::LengthIs(length)) => length,
                        _ => None,
                    }
                }
            };
            if length.is_some() || clock::now().0 + ASK_AGAIN.as_millis() as u64 >= deadline_ms {
                return length;
            }
            tokio::time::sleep(ASK_AGAIN).await;
        }
    }
}

fn accepting(outcome: Option<Outcome>) -> Accepting {
    match outcome {
        Some(Outcome::Stored) => Accepting::Accepted,
        Some(Outcome::Refused) => Accepting::Refused,
        Some(Outcome::Unknown) | None => Accepting::Unknown,
    }
}
