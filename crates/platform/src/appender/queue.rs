//! Records waiting for an append.

use std::collections::VecDeque;
use std::sync::Arc;

use rosemaryworks_core::record::Offset;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::BATCH_MAX_RECORDS;
use crate::failure::Fault;

/// A record with the party that waits for its offset.
#[derive(Debug)]
pub(super) struct Item {
    pub(super) record: Arc<str>,
    pub(super) deadline: Instant,
    pub(super) reply: Option<oneshot::Sender<Result<Offset, Fault>>>,
    /// Whether the record was part of an append whose answer was lost. Such an append may take
    /// effect late, even after it was not found.
    pub(super) uncertain: bool,
}

impl Item {
    /// Tells the waiting party, unless it was told before or stopped waiting.
    pub(super) fn tell(&mut self, result: Result<Offset, Fault>) {
        if let Some(reply) = self.reply.take() {
            let _ = reply.send(result);
        }
    }

    /// Tells the waiting party that the record is not written.
    pub(super) fn give_up(&mut self, reason: &str) {
        let fault = match self.uncertain {
            true => Fault::Uncertain(reason.to_owned()),
            false => Fault::Unreached(reason.to_owned()),
        };
        self.tell(Err(fault));
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        self.deadline <= now
    }

    fn is_abandoned(&self) -> bool {
        self.reply.as_ref().is_none_or(oneshot::Sender::is_closed)
    }
}

/// Waiting records in order.
#[derive(Debug, Default)]
pub(super) struct Queue(VecDeque<Item>);

impl Queue {
    pub(super) fn push(&mut self, item: Item) {
        self.0.push_back(item);
    }

    /// Puts the items of a batch that was not written back to the front.
    pub(super) fn put_back(&mut self, items: Vec<Item>) {
        for item in items.into_iter().rev() {
            // An item whose party was told `Uncertain` must not be written again.
            if item.reply.is_some() {
                self.0.push_front(item);
            }
        }
    }

    /// Removes items past their deadline and tells their parties.
    pub(super) fn expire(&mut self, now: Instant, reason: &str) {
        self.0.retain_mut(|item| {
            let expired = item.is_expired(now) || item.is_abandoned();
            if expired {
                item.give_up(reason);
            }
            !expired
        });
    }

    /// Takes the next batch.
    pub(super) fn take(&mut self) -> Vec<Item> {
        let count = self.0.len().min(BATCH_MAX_RECORDS);
        self.0.drain(..count).collect()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
