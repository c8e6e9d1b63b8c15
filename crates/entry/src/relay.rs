//! Relay: sends commands to workers on behalf of owners on other VMs.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_wire::Message;
use rosemaryworks_wire::command::{Command, Outcome};
use rosemaryworks_wire::link::Peer;
use rosemaryworks_wire::workflow::Message as Workflow;

use crate::exchange::Outbox;
use crate::node::{Node, lock};
use crate::port::Workers;
use crate::stall::Stall;

/// Upper bound of the commands under way; further ones are declined.
const COMMANDS_MAX: usize = 4_000;

/// Upper bound of the times in a command in milliseconds.
const TIMEOUT_MAX_MS: u64 = 5_000;

/// Time between two beats.
const BEAT_PERIOD: Duration = Duration::from_millis(100);

/// Time after a stall for which commands are declined, in milliseconds. They may have arrived before
/// it, and their owner may have been superseded since.
const DECLINE_MS: u64 = 200;

/// Commands that this process sends for owners.
pub(crate) struct Relay {
    outboxes: Mutex<HashMap<Arc<str>, Arc<Outbox<Outcome>>>>,
    under_way: AtomicUsize,
    stall: Stall,
    declines_until_ms: AtomicU64,
}

impl Relay {
    pub(crate) fn new() -> Self {
        Self {
            outboxes: Mutex::default(),
            under_way: AtomicUsize::new(0),
            stall: Stall::new(clock::uptime_ms()),
            declines_until_ms: AtomicU64::new(0),
        }
    }

    /// Notes stalls of this process until it ends.
    pub(crate) async fn beat(&self) {
        loop {
            let now_ms = clock::uptime_ms();
            if self.stall.stalled_ms(now_ms).is_some() {
                self.declines_until_ms
                    .store(now_ms + DECLINE_MS, Ordering::Relaxed);
            }
            self.stall.beat(now_ms);
            tokio::time::sleep(BEAT_PERIOD).await;
        }
    }

    fn may_send(&self) -> bool {
        let now_ms = clock::uptime_ms();
        self.stall.stalled_ms(now_ms).is_none()
            && now_ms >= self.declines_until_ms.load(Ordering::Relaxed)
            && self.under_way.load(Ordering::Relaxed) < COMMANDS_MAX
    }

    fn outbox(&self, peer: &Peer) -> Arc<Outbox<Outcome>> {
        let mut outboxes = lock(&self.outboxes);
        outboxes.retain(|_, outbox| !outbox.peer().is_closed());
        let new = || Outbox::new(peer.clone(), Workflow::Outcomes);
        let outbox = outboxes
            .entry(peer.hello().node.clone())
            .or_insert_with(new);
        if !outbox.peer().is_same_link(peer) {
            // The peer has opened its link again.
            *outbox = new();
        }
        outbox.clone()
    }
}

impl Node {
    /// Offers an owner to send commands for it, unless this process is stopping.
    pub(crate) fn offer_relay(&self, peer: &Peer) {
        let millicores = match self.stopping.load(Ordering::Relaxed) {
            true => 0,
            false => self.millicores(),
        };
        // An owner without the offer uses other relays.
        let _ = peer.notify(Message::Workflow(Workflow::Offers { millicores }));
    }

    /// Sends commands to workers on behalf of the owner at the other end of a link.
    pub(crate) fn send_for_peer(self: &Arc<Self>, peer: &Peer, commands: Vec<(u64, Command)>) {
        let outbox = self.relay.outbox(peer);
        let is_stopping = self.stopping.load(Ordering::Relaxed);
        for (number, command) in commands {
            if is_stopping || !self.relay.may_send() {
                outbox.push(number, Outcome::Declined);
                continue;
            }
            let (under_way, outbox) = (UnderWay::new(self.clone()), outbox.clone());
            tokio::spawn(async move {
                let context = &under_way.0.context;
                let outcome = send(&*context.workers, command).await;
                context.metrics.relayed.inc();
                outbox.push(number, outcome);
            });
        }
    }
}

/// Counts a command as under way until it is dropped.
struct UnderWay(Arc<Node>);

impl UnderWay {
    fn new(node: Arc<Node>) -> Self {
        node.relay.under_way.fetch_add(1, Ordering::Relaxed);
        Self(node)
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.relay.under_way.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn send(workers: &dyn Workers, command: Command) -> Outcome {
    let limit = |ms: u64| Duration::from_millis(ms.min(TIMEOUT_MAX_MS));
    match command {
        Command::Pace(pace) => Outcome::Taken(workers.pace(&pace).await),
        Command::Renew {
            worker,
            renewal,
            wait_ms,
            timeout_ms,
        } => {
            let wait_ms = wait_ms.min(TIMEOUT_MAX_MS);
            let renewed = workers.renew(&worker, &renewal, wait_ms, limit(timeout_ms));
            Outcome::Renewed(renewed.await)
        }
        Command::Start { order, timeout_ms } => {
            Outcome::Started(workers.start(&order, limit(timeout_ms)).await)
        }
        Command::Stop(stop) => Outcome::Taken(workers.stop(&stop).await),
    }
}
