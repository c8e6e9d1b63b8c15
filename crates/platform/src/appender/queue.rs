//! Queue of records waiting to be appended, with a deadline for each.

use std::collections::VecDeque;
use std::sync::Arc;

use rosemaryworks_core::record::Offset;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::BATCH_MAX_RECORDS;
use crate::failure::Fault;

/// Record to append, with the channel that reports its offset to the caller.
#[derive(Debug)]
pub(super) struct Item {
    pub(super) record: Arc<str>,
    pub(super) deadline: Instant,
    pub(super) reply: Option<oneshot::Sender<Result<Offset, Fault>>>,
    /// Whether the record was part of an append whose response was lost. Such an append may still
    /// take effect after a lookup has not found it.
    pub(super) uncertain: bool,
}

impl Item {
    /// Sends the result to the caller, unless it was sent before or the caller stopped waiting.
    pub(super) fn complete(&mut self, result: Result<Offset, Fault>) {
        if let Some(reply) = self.reply.take() {
            let _ = reply.send(result);
        }
    }

    /// Reports to the caller that the record was not written, or that this is uncertain.
    pub(super) fn fail(&mut self, reason: &str) {
        let fault = match self.uncertain {
            true => Fault::Uncertain(reason.to_owned()),
            false => Fault::Unreached(reason.to_owned()),
        };
        self.complete(Err(fault));
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        self.deadline <= now
    }

    fn is_abandoned(&self) -> bool {
        self.reply.as_ref().is_none_or(oneshot::Sender::is_closed)
    }
}

/// Waiting records in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct Queue(VecDeque<Item>);

impl Queue {
    pub(super) fn push(&mut self, item: Item) {
        self.0.push_back(item);
    }

    /// Returns the items of a batch that was not written to the front of the queue.
    pub(super) fn requeue(&mut self, items: Vec<Item>) {
        for item in items.into_iter().rev() {
            // An item that was already reported as `Uncertain` must not be written again.
            if item.reply.is_some() {
                self.0.push_front(item);
            }
        }
    }

    /// Removes items past their deadline, or whose caller stopped waiting, and reports the failure.
    pub(super) fn expire(&mut self, now: Instant, reason: &str) {
        self.0.retain_mut(|item| {
            let expired = item.is_expired(now) || item.is_abandoned();
            if expired {
                item.fail(reason);
            }
            !expired
        });
    }

    /// Removes and returns the next batch.
    pub(super) fn take_batch(&mut self) -> Vec<Item> {
        let count = self.0.len().min(BATCH_MAX_RECORDS);
        self.0.drain(..count).collect()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
