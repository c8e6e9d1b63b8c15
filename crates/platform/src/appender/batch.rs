//! Writes batches and finds out what became of an append whose answer was lost.

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

const GAP: Duration = Duration::from_millis(APPEND_INTERVAL_MS);
const LATE: Duration = Duration::from_millis(LOG_UNREACHABLE_MS);
const RETRY_DELAY: Duration = Duration::from_millis(200);
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// The stream that batches go to.
pub(super) struct Target {
    pub(super) log: Arc<dyn Log>,
    pub(super) health: Health,
    pub(super) stream: Arc<str>,
    pub(super) prefix: String,
}

/// What became of an append.
enum Outcome {
    NotWritten(String),
    Uncertain,
    Written(Offset),
}

/// Writes the items of `receiver` until every sender is gone and the queue is empty.
pub(super) async fn run(target: Target, mut receiver: mpsc::UnboundedReceiver<Item>) {
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
        let batch = queue.take();
        if batch.is_empty() {
            continue;
        }
        let started = Instant::now();
        number += 1;
        let id = format!("{}-{number}", target.prefix);
        write(&target, &id, batch, &mut receiver, &mut queue).await;
        tokio::time::sleep_until(started + GAP).await;
    }
}

fn drain(receiver: &mut mpsc::UnboundedReceiver<Item>, queue: &mut Queue) {
    while let Ok(item) = receiver.try_recv() {
        queue.push(item);
    }
}

/// Writes one batch, or puts it back if it was certainly not written.
async fn write(
    target: &Target,
    id: &str,
    mut batch: Vec<Item>,
    receiver: &mut mpsc::UnboundedReceiver<Item>,
    queue: &mut Queue,
) {
    let records = batch.iter().map(|item| item.record.clone()).collect();
    let append = Append {
        stream: target.stream.clone(),
        id: id.into(),
        records,
    };
    let call = target.log.append(append);
    let answer = watch(target, call, &mut batch, receiver, queue).await;
    let mut outcome = classify(answer);
    if matches!(outcome, Outcome::Uncertain) {
        batch.iter_mut().for_each(|item| item.uncertain = true);
    }
    while matches!(outcome, Outcome::Uncertain) {
        let call = target.log.find(&target.stream, id);
        let answer = watch(target, call, &mut batch, receiver, queue).await;
        match answer {
            Ok(Some(offset)) => outcome = Outcome::Written(offset),
            Ok(None) => outcome = Outcome::NotWritten("append not found".to_owned()),
            Err(_) => pause(RETRY_DELAY, &mut batch, receiver, queue).await,
        }
    }
    match outcome {
        Outcome::Written(offset) => {
            target.health.append(clock::now(), true);
            for (index, item) in batch.iter_mut().enumerate() {
                item.tell(Ok(offset + index as u64));
            }
        }
        Outcome::NotWritten(reason) => {
            target.health.append(clock::now(), false);
            queue.put_back(batch);
            pause(RETRY_DELAY, &mut Vec::new(), receiver, queue).await;
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

/// Waits for a call and meanwhile tells every party whose patience ends.
async fn watch<T>(
    target: &Target,
    call: impl Future<Output = T>,
    batch: &mut [Item],
    receiver: &mut mpsc::UnboundedReceiver<Item>,
    queue: &mut Queue,
) -> T {
    tokio::pin!(call);
    let late = Instant::now() + LATE;
    loop {
        tokio::select! {
            answer = &mut call => return answer,
            () = tokio::time::sleep(CHECK_PERIOD) => {
                if Instant::now() >= late {
                    target.health.append(clock::now(), false);
                }
                expire(batch, receiver, queue);
            }
        }
    }
}

async fn pause(
    delay: Duration,
    batch: &mut [Item],
    receiver: &mut mpsc::UnboundedReceiver<Item>,
    queue: &mut Queue,
) {
    let end = Instant::now() + delay;
    while Instant::now() < end {
        tokio::time::sleep(CHECK_PERIOD).await;
        expire(batch, receiver, queue);
    }
}

fn expire(batch: &mut [Item], receiver: &mut mpsc::UnboundedReceiver<Item>, queue: &mut Queue) {
    drain(receiver, queue);
    let now = Instant::now();
    queue.expire(now, "not written in time");
    for item in batch.iter_mut().filter(|item| item.is_expired(now)) {
        item.tell(Err(Fault::Uncertain("not confirmed in time".to_owned())));
    }
}
