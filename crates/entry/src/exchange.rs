//! Exchange of commands to workers between an owner and its relays, over their links.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rosemaryworks_node::{clock, late};
use rosemaryworks_wire::Message;
use rosemaryworks_wire::command::{Command, Outcome};
use rosemaryworks_wire::link::Peer;
use rosemaryworks_wire::workflow::Message as Workflow;
use tokio::sync::oneshot;

use crate::events;
use crate::node::lock;
use crate::stall::STALL_MS;

/// Time for which items wait for others, so that they share a message.
const BATCH_PERIOD: Duration = Duration::from_millis(3);

/// Upper bound of the items of a message. Keeps a message of starts with the longest texts below
/// the size limit of a frame.
const BATCH_MAX: usize = 400;

/// Items for one peer, which leave together.
pub(crate) struct Outbox<T> {
    peer: Peer,
    message: fn(Vec<(u64, T)>) -> Workflow,
    queue: Mutex<Vec<(u64, T)>>,
}

impl<T: Send + 'static> Outbox<T> {
    pub(crate) fn new(peer: Peer, message: fn(Vec<(u64, T)>) -> Workflow) -> Arc<Self> {
        Arc::new(Self {
            peer,
            message,
            queue: Mutex::default(),
        })
    }

    pub(crate) fn peer(&self) -> &Peer {
        &self.peer
    }

    /// Queues an item for the next message. Must be called within a tokio runtime.
    pub(crate) fn push(self: &Arc<Self>, number: u64, item: T) {
        let mut queue = lock(&self.queue);
        queue.push((number, item));
        if queue.len() == 1 {
            tokio::spawn(self.clone().flush());
        }
    }

    async fn flush(self: Arc<Self>) {
        let queued_ms = clock::uptime_ms();
        tokio::time::sleep(BATCH_PERIOD).await;
        let mut items = std::mem::take(&mut *lock(&self.queue));
        // A process that was frozen meanwhile may have lost its shard.
        if clock::uptime_ms().saturating_sub(queued_ms) >= STALL_MS {
            let peer = &self.peer.hello().node;
            events::COMMANDS_DROPPED.log(format_args!("peer={peer} count={}", items.len()));
            return;
        }
        while !items.is_empty() {
            let rest = items.split_off(items.len().min(BATCH_MAX));
            // Without a link the items are lost, as in a network cut.
            let _ = self.peer.notify(Message::Workflow((self.message)(items)));
            items = rest;
        }
    }
}

/// A process that offers to send commands.
struct Offer {
    millicores: u64,
    outbox: Arc<Outbox<Command>>,
}

/// A command without an outcome.
struct Pending {
    vm: Arc<str>,
    outcome: oneshot::Sender<Outcome>,
}

/// What became of a command that was passed to a relay.
pub(crate) enum Relayed {
    /// The relay reported the outcome.
    Outcome(Outcome),
    /// The relay gave no answer: the command may have been sent, or may still be sent.
    Lost,
    /// The command was not passed on.
    NotSent,
}

/// Offers of other processes and the commands that they carry out, for all owners of this process.
#[derive(Default)]
pub(crate) struct Exchange {
    offers: Mutex<HashMap<Arc<str>, Offer>>,
    pending: Mutex<HashMap<u64, Pending>>,
    next_number: AtomicU64,
}

impl Exchange {
    /// Records an offer; one of 0 thousandths of a core withdraws it.
    pub(crate) fn offered(&self, peer: &Peer, millicores: u64) {
        let vm = peer.hello().node.clone();
        let mut offers = lock(&self.offers);
        match millicores {
            0 => drop(offers.remove(&vm)),
            _ => {
                let outbox = Outbox::new(peer.clone(), Workflow::Commands);
                offers.insert(vm, Offer { millicores, outbox });
            }
        }
    }

    /// Handles the loss of a link: offers and commands of its peer end.
    pub(crate) fn closed(&self, peer: &Peer) {
        let vm = &peer.hello().node;
        let mut offers = lock(&self.offers);
        let ended = |offer: &Offer| offer.outbox.peer().is_same_link(peer);
        if offers.get(vm).is_some_and(ended) {
            offers.remove(vm);
            lock(&self.pending).retain(|_, pending| pending.vm != *vm);
        }
    }

    /// Returns the processes that offer to send commands, with the CPU of their VMs in thousandths
    /// of a core.
    pub(crate) fn offers(&self) -> Vec<(Arc<str>, u64)> {
        let offers = lock(&self.offers);
        let open = offers
            .iter()
            .filter(|(_, offer)| !offer.outbox.peer().is_closed());
        open.map(|(vm, offer)| (vm.clone(), offer.millicores))
            .collect()
    }

    /// Passes a command to a process and waits for its outcome, for `limit` at most.
    pub(crate) async fn relay(&self, vm: &Arc<str>, command: Command, limit: Duration) -> Relayed {
        let outbox = match lock(&self.offers).get(vm) {
            Some(offer) if !offer.outbox.peer().is_closed() => offer.outbox.clone(),
            _ => return Relayed::NotSent,
        };
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let pending = Pending {
            vm: vm.clone(),
            outcome: sender,
        };
        lock(&self.pending).insert(number, pending);
        let _guard = Guard {
            exchange: self,
            number,
        };
        outbox.push(number, command);
        match late::timeout(limit, receiver).await {
            Some(Ok(Outcome::Declined)) => Relayed::NotSent,
            Some(Ok(outcome)) => Relayed::Outcome(outcome),
            Some(Err(_)) | None => Relayed::Lost,
        }
    }

    /// Applies outcomes that a relay reported.
    pub(crate) fn ended(&self, outcomes: Vec<(u64, Outcome)>) {
        for (number, outcome) in outcomes {
            let pending = lock(&self.pending).remove(&number);
            if let Some(pending) = pending {
                // The caller may have stopped waiting.
                let _ = pending.outcome.send(outcome);
            }
        }
    }
}

/// Removes a command on drop, so that one that is cancelled or gets no answer leaves nothing behind.
struct Guard<'a> {
    exchange: &'a Exchange,
    number: u64,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        lock(&self.exchange.pending).remove(&self.number);
    }
}
