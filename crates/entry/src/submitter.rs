//! Writes submitted jobs and cancellations to a shard's stream with group commit.
//!
//! One append is in flight at a time; records that arrive meanwhile form the next batch. An append
//! without an answer is retried with the same sequence number until the log reports its outcome, so
//! no record is written twice, and no record that was acknowledged to its caller is lost. It is
//! abandoned after a time: a submission that is stored late could start a job again that has ended and
//! been forgotten.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rosemaryworks_node::clock;
use tokio::sync::{Notify, oneshot};

use crate::events;
use crate::port::{Append, Fault, Guard, Record, Store, Stream};

/// Pause before an append that was refused or got no answer is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Bound of the queue of waiting records. It fills up only while the log doesn't answer.
const QUEUE_MAX: usize = 2_000;

/// Upper bound of the size of an append in bytes. The log accepts 2 MiB.
const APPEND_MAX_BYTES: usize = 512 * 1024;

/// Outcome of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// The record is stored.
    Stored,
    /// The record is not stored and never will be.
    Refused,
    /// The record may be stored, now or later.
    Unknown,
}

struct Item {
    value: Vec<u8>,
    /// Time at which the caller stops waiting.
    deadline_ms: u64,
    /// Time until which refused appends are retried.
    retry_until_ms: u64,
    reply: oneshot::Sender<Outcome>,
}

/// Records that wait for the append in flight.
#[derive(Default)]
struct Queue {
    items: VecDeque<Item>,
    bytes: usize,
}

impl Queue {
    fn has_room(&self, length: usize, bytes_max: usize) -> bool {
        let bytes = self.bytes + length;
        self.items.len() < QUEUE_MAX && (self.items.is_empty() || bytes <= bytes_max)
    }

    fn push(&mut self, item: Item) {
        self.bytes += item.value.len();
        self.items.push_back(item);
    }

    /// Drops records whose callers have stopped waiting. None of them was sent.
    fn drop_expired(&mut self) {
        let items = std::mem::take(&mut self.items).into();
        let rest = expire(items, Outcome::Refused, |item| item.deadline_ms);
        self.bytes = rest.iter().map(|item| item.value.len()).sum();
        self.items = rest.into();
    }
}

/// Writer of one shard's stream.
pub(crate) struct Submitter {
    store: Arc<dyn Store>,
    shard: u32,
    producer: Arc<str>,
    /// Time after which an append without an answer is abandoned, in milliseconds.
    abandon_ms: u64,
    /// Upper bound of the bytes of waiting records.
    queue_max_bytes: usize,
    queue: Mutex<Queue>,
    added: Notify,
}

impl Submitter {
    /// Starts a writer. Must be called within a tokio runtime.
    pub(crate) fn start(
        store: Arc<dyn Store>,
        shard: u32,
        producer: Arc<str>,
        abandon_ms: u64,
        queue_max_bytes: usize,
    ) -> Arc<Self> {
        let submitter = Arc::new(Self {
            store,
            shard,
            producer,
            abandon_ms,
            queue_max_bytes,
            queue: Mutex::default(),
            added: Notify::new(),
        });
        tokio::spawn(submitter.clone().run());
        submitter
    }

    /// Queues a record. The outcome arrives by `deadline_ms` or shortly after it; by
    /// `retry_until_ms` if the log refuses every append.
    pub(crate) fn write(
        &self,
        value: Vec<u8>,
        deadline_ms: u64,
        retry_until_ms: u64,
    ) -> oneshot::Receiver<Outcome> {
        let (reply, outcome) = oneshot::channel();
        let item = Item {
            value,
            deadline_ms,
            retry_until_ms: retry_until_ms.min(deadline_ms),
            reply,
        };
        let mut queue = self.queue();
        let length = item.value.len();
        if !queue.has_room(length, self.queue_max_bytes) {
            queue.drop_expired();
        }
        if queue.has_room(length, self.queue_max_bytes) {
            queue.push(item);
            self.added.notify_one();
        } else {
            // The caller may have stopped waiting.
            let _ = item.reply.send(Outcome::Refused);
        }
        outcome
    }

    fn queue(&self) -> std::sync::MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(self: Arc<Self>) {
        let mut sequence = 0;
        let mut epoch = 1;
        loop {
            self.added.notified().await;
            while let Some(batch) = self.next_batch() {
                match self.append_until_resolved(batch, epoch, sequence).await {
                    Sequence::Advance => sequence += 1,
                    Sequence::Keep => {}
                    Sequence::Reset => {
                        epoch += 1;
                        sequence = 0;
                    }
                }
            }
        }
    }

    fn next_batch(&self) -> Option<Vec<Item>> {
        let mut queue = self.queue();
        let mut bytes = 0;
        let mut batch = Vec::new();
        while let Some(item) = queue.items.pop_front() {
            if batch.is_empty() || bytes + item.value.len() <= APPEND_MAX_BYTES {
                bytes += item.value.len();
                batch.push(item);
            } else {
                queue.items.push_front(item);
                break;
            }
        }
        queue.bytes -= bytes;
        (!batch.is_empty()).then_some(batch)
    }

    /// Retries an append until its outcome is known.
    async fn append_until_resolved(
        &self,
        mut batch: Vec<Item>,
        epoch: u64,
        sequence: u64,
    ) -> Sequence {
        let mut records: Vec<Record> = Vec::new();
        let began_ms = clock::now().0;
        let mut unresolved = false;
        let mut refused = false;
        loop {
            if unresolved && clock::now().0 >= began_ms + self.abandon_ms {
                let shard = self.shard;
                events::SUBMIT_FAILED
                    .log(format_args!("shard={shard} abandoned without an answer"));
                reply_all(batch, Outcome::Unknown);
                return Sequence::Reset;
            }
            if unresolved {
                batch = expire(batch, Outcome::Unknown, |item| item.deadline_ms);
            } else {
                // A record that waited for the previous append is tried once, even after
                // `retry_until_ms`.
                let until_ms = match refused {
                    true => |item: &Item| item.retry_until_ms,
                    false => |item: &Item| item.deadline_ms,
                };
                batch = expire(batch, Outcome::Refused, until_ms);
                if batch.is_empty() {
                    return Sequence::Keep;
                }
                records = batch
                    .iter()
                    .map(|item| Record {
                        key: None,
                        value: item.value.clone(),
                    })
                    .collect();
            }
            let append = Append {
                stream: Stream::Jobs,
                partition: self.shard,
                records: records.clone(),
                guard: Guard::Producer {
                    name: self.producer.clone(),
                    epoch,
                    sequence,
                },
            };
            match self.store.append(append).await {
                Ok(_) => {
                    reply_all(batch, Outcome::Stored);
                    return Sequence::Advance;
                }
                Err(Fault::Unknown(_)) => unresolved = true,
                Err(Fault::Refused(_)) => refused = true,
                Err(fault) => {
                    events::SUBMIT_FAILED.log(format_args!("shard={} {fault}", self.shard));
                    let outcome = if unresolved {
                        Outcome::Unknown
                    } else {
                        Outcome::Refused
                    };
                    reply_all(batch, outcome);
                    return Sequence::Reset;
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Effect of an append on the sequence number of the next one.
enum Sequence {
    /// The append took effect.
    Advance,
    /// Nothing was appended; the sequence number is used again.
    Keep,
    /// The producer starts over with a higher epoch.
    Reset,
}

fn reply_all(batch: Vec<Item>, outcome: Outcome) {
    for item in batch {
        // The caller may have stopped waiting.
        let _ = item.reply.send(outcome);
    }
}

/// Replies to the items whose time has passed and returns the others.
fn expire(batch: Vec<Item>, outcome: Outcome, until_ms: fn(&Item) -> u64) -> Vec<Item> {
    let now_ms = clock::now().0;
    let (expired, rest) = batch.into_iter().partition(|item| now_ms >= until_ms(item));
    reply_all(expired, outcome);
    rest
}
