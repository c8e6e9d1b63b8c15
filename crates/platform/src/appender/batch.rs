//! Writes batches of records. If the response to an append is lost, looks up in the log whether it
//! took effect.

use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use rosemaryworks_core::record::Offset;
use rosemaryworks_core::timing::{APPEND_INTERVAL_MS, LOG_UNREACHABLE_MS};
use rosemaryworks_node::clock;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::queue::{Item, Queue};
use crate::failure::{Failure, Fault};
use crate::health::Health;
use crate::log::{Append, Log};

/// Minimum time between the starts of two appends.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(APPEND_INTERVAL_MS);
/// Time after which an unanswered call marks the log as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(LOG_UNREACHABLE_MS);
const RETRY_DELAY: Duration = Duration::from_millis(200);
const EXPIRY_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Stream to which batches are appended.
pub(super) struct Destination {
    pub(super) log: Arc<dyn Log>,
    pub(super) health: Health,
    pub(super) stream: Arc<str>,
    /// Prefix of the ids of appends.
    pub(super) id_prefix: String,
}

/// Outcome of an append.
enum Outcome {
    NotWritten(String),
    Uncertain,
    Written(Offset),
}

/// Writes the items of `receiver` until every sender is dropped and the queue is empty.
pub(super) async fn run(destination: Destination, mut receiver: mpsc::UnboundedReceiver<Item>) {
    let mut queue = Queue::default();
    let mut number = 0_u64;
    loop {
        if queue.is_empty() {
            match receiver.recv().await {
                Some(item) => queue.push(item),
                None => return,
            }
        }
        drain(&mut receiver, &mut queue);
        queue.expire(Instant::now(), "not written in time");
        let batch = queue.take_batch();
        if batch.is_empty() {
            continue;
        }
        let started = Instant::now();
        number += 1;
        let id = format!("{}-{number}", destination.id_prefix);
        write(&destination, &id, batch, &mut receiver, &mut queue).await;
        tokio::time::sleep_until(started + MIN_APPEND_INTERVAL).await;
    }
}

fn drain(receiver: &mut mpsc::UnboundedReceiver<Item>, queue: &mut Queue) {
    while let Ok(item) = receiver.try_recv() {
        queue.push(item);
    }
}

/// Writes one batch, or returns it to the queue if it definitely was not written. An append with an
/// uncertain outcome is looked up until the log answers.
async fn write(
    destination: &Destination,
    id: &str,
    mut batch: Vec<Item>,
    receiver: &mut mpsc::UnboundedReceiver<Item>,
    queue: &mut Queue,
) {
    let records = batch.iter().map(|item| item.record.clone()).collect();
    let append = Append {
        stream: destination.stream.clone(),
        id: id.into(),
        records,
    };
    let call = destination.log.append(append);
    let answer = await_call(destination, call, &mut batch, receiver, queue).await;
    let mut outcome = classify(answer);
    if matches!(outcome, Outcome::Uncertain) {
        batch.iter_mut().for_each(|item| item.uncertain = true);
    }
    while matches!(outcome, Outcome::Uncertain) {
        let call = destination.log.find(&destination.stream, id);
        let answer = await_call(destination, call, &mut batch, receiver, queue).await;
        match answer {
            Ok(Some(offset)) => outcome = Outcome::Written(offset),
            Ok(None) => outcome = Outcome::NotWritten("append not found".to_owned()),
            Err(_) => wait(RETRY_DELAY, &mut batch, receiver, queue).await,
        }
    }
    match outcome {
        Outcome::Written(offset) => {
            destination.health.append(clock::now(), true);
            for (index, item) in batch.iter_mut().enumerate() {
                item.complete(Ok(offset + index as u64));
            }
        }
        Outcome::NotWritten(reason) => {
            destination.health.append(clock::now(), false);
            queue.requeue(batch);
            wait(RETRY_DELAY, &mut Vec::new(), receiver, queue).await;
            queue.expire(Instant::now(), &reason);
        }
        Outcome::Uncertain => {}
    }
}

fn classify(answer: Result<Offset, Report<Failure>>) -> Outcome {
    match answer {
        Ok(offset) => Outcome::Written(offset),
        Err(report) if report.current_context().had_no_effect() => {
            Outcome::NotWritten(report.current_context().to_string())
        }
        Err(_) => Outcome::Uncertain,
    }
}

/// Waits for a call and meanwhile fails every item whose deadline passes. Marks the log as
/// unreachable if the call is not answered within [`UNREACHABLE_AFTER`].
async fn await_call<T>(
    destination: &Destination,
    call: impl Future<Output = T>,
    batch: &mut [Item],
    receiver: &mut mpsc::UnboundedReceiver<Item>,
    queue: &mut Queue,
) -> T {
    tokio::pin!(call);
    let unreachable_at = Instant::now() + UNREACHABLE_AFTER;
    loop {
        tokio::select! {
            answer = &mut call => return answer,
            () = tokio::time::sleep(EXPIRY_CHECK_PERIOD) => {
                if Instant::now() >= unreachable_at {
                    destination.health.append(clock::now(), false);
                }
                expire(batch, receiver, queue);
            }
        }
    }
}

/// Waits for `delay` and meanwhile fails every item whose deadline passes.
async fn wait(
    delay: Duration,
    batch: &mut [Item],
    receiver: &mut mpsc::UnboundedReceiver<Item>,
    queue: &mut Queue,
) {
    let end = Instant::now() + delay;
    while Instant::now() < end {
        tokio::time::sleep(EXPIRY_CHECK_PERIOD).await;
        expire(batch, receiver, queue);
    }
}

/// Fails every item of the queue and of the batch in flight whose deadline has passed. The records
/// of the batch may have been written.
fn expire(batch: &mut [Item], receiver: &mut mpsc::UnboundedReceiver<Item>, queue: &mut Queue) {
    drain(receiver, queue);
    let now = Instant::now();
    queue.expire(now, "not written in time");
    for item in batch.iter_mut().filter(|item| item.is_expired(now)) {
        item.complete(Err(Fault::Uncertain("not confirmed in time".to_owned())));
    }
}
