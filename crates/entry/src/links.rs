//! Links between entry processes: every process dials the owners of shards.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_wire::Message;
use rosemaryworks_wire::link::{Client, Handler, Peer, Reply, serve};
use rosemaryworks_wire::workflow::{JobState, Message as Workflow};

use crate::node::{Node, lock};
use crate::port::Permits;

/// Time for an answer of another process.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after an unanswered call for which no records go through an owner, in milliseconds. Covers
/// the takeover of its shards.
const OWNER_PAUSE_MS: u64 = 1_500;

/// Time for an answer to a relayed question beyond its expected time. Another VM may answer sooner.
const ADVICE_SLACK_MS: u64 = 400;

/// Unanswered calls in a row after which a link is dialled anew.
const SILENT_CALLS_MAX: u32 = 2;

/// A link to an owner.
pub(crate) struct Dialled {
    client: Arc<Client>,
    silent: u32,
    /// Time of the last call without an answer.
    silent_ms: Option<u64>,
    was_open: bool,
}

struct Incoming(Arc<Node>);

impl Handler for Incoming {
    fn call(&self, peer: &Peer, message: Message) -> Reply {
        let (node, peer) = (self.0.clone(), peer.clone());
        Box::pin(async move {
            match message {
                Message::Workflow(message @ Workflow::Advise { .. }) => tokio::select! {
                    reply = node.reply(message) => Message::Workflow(reply),
                    // Questions of an owner that is gone would keep its successor's waiting.
                    () = peer.closed() => Message::Workflow(Workflow::Advised(None)),
                },
                Message::Workflow(message) => Message::Workflow(node.reply(message).await),
                other => other,
            }
        })
    }

    fn notice(&self, _peer: &Peer, message: Message) {
        match message {
            Message::Workflow(Workflow::Released { shard, epoch }) => {
                lock(&self.0.claims).released(shard, epoch);
                self.0.claims_changed.notify_one();
            }
            Message::Workflow(Workflow::Stored { shard, record }) => {
                if let Some(owner) = self.0.owner(shard) {
                    owner.stored(record);
                }
            }
            _ => {}
        }
    }

    fn opened(&self, peer: &Peer) {
        lock(&self.0.peers).push(peer.clone());
    }

    fn closed(&self, _peer: &Peer) {
        lock(&self.0.peers).retain(|peer| !peer.is_closed());
    }
}

/// Takes calls over links that this process dialled.
struct Outgoing(Arc<Node>);

impl Handler for Outgoing {
    fn call(&self, peer: &Peer, message: Message) -> Reply {
        Incoming(self.0.clone()).call(peer, message)
    }

    fn notice(&self, peer: &Peer, message: Message) {
        Incoming(self.0.clone()).notice(peer, message);
    }

    fn opened(&self, _peer: &Peer) {}

    fn closed(&self, _peer: &Peer) {
        // Its shards may be without an owner soon.
        self.0.claims_changed.notify_one();
    }
}

impl Node {
    pub(crate) fn serve_links(self: &Arc<Self>, listener: tokio::net::TcpListener) {
        let handler = Arc::new(Incoming(self.clone()));
        tokio::spawn(serve(listener, self.hello.clone(), handler));
    }

    /// Dials the owners of shards and closes links to processes that own none.
    pub(crate) fn dial_owners(self: &Arc<Self>) {
        let owners: BTreeMap<SocketAddr, Arc<str>> = lock(&self.claims).owners();
        let mut dialled = lock(&self.dialled);
        dialled.retain(|address, _| owners.contains_key(address));
        for (address, name) in owners {
            if address != self.settings.peer_listen {
                dialled
                    .entry(address)
                    .or_insert_with(|| self.dial(name, address));
            }
        }
    }

    /// Returns the owners whose link was open once and is closed.
    pub(crate) fn unlinked_owners(&self) -> std::collections::BTreeSet<SocketAddr> {
        let mut dialled = lock(&self.dialled);
        let mut unlinked = std::collections::BTreeSet::new();
        for (address, link) in dialled.iter_mut() {
            let open = link.client.peer().is_some();
            if link.was_open && !open {
                unlinked.insert(*address);
            }
            link.was_open |= open;
        }
        unlinked
    }

    /// Tells whether the links to all other owners are open.
    pub(crate) fn is_linked_to_owners(&self) -> bool {
        let dialled = lock(&self.dialled);
        dialled.values().all(|link| link.client.peer().is_some())
    }

    fn dial(self: &Arc<Self>, name: Arc<str>, address: SocketAddr) -> Dialled {
        let handler = Arc::new(Outgoing(self.clone()));
        let client = Client::start(name, address, self.hello.clone(), handler);
        Dialled {
            client: Arc::new(client),
            silent: 0,
            silent_ms: None,
            was_open: false,
        }
    }

    /// Tells whether the owner of a shard is another process with an open link that answered its
    /// last call.
    pub(crate) fn owner_answers(&self, shard: u32) -> bool {
        let address = lock(&self.claims).get(shard).map(|claim| claim.address);
        let dialled = lock(&self.dialled);
        let link = address.and_then(|address| dialled.get(&address));
        link.is_some_and(|link| {
            let paused = |at| clock::now().0 < at + OWNER_PAUSE_MS;
            link.client.peer().is_some() && !link.silent_ms.is_some_and(paused)
        })
    }

    /// Calls the owner of a shard; `None` if it can't be reached.
    pub(crate) async fn call_owner(
        self: &Arc<Self>,
        shard: u32,
        message: Workflow,
        timeout: Duration,
    ) -> Option<Workflow> {
        let address = lock(&self.claims).get(shard)?.address;
        let client = lock(&self.dialled).get(&address)?.client.clone();
        let reply = client.call(Message::Workflow(message), timeout).await;
        let mut dialled = lock(&self.dialled);
        let link = dialled.get_mut(&address)?;
        match reply {
            Ok(Message::Workflow(reply)) => {
                link.silent = 0;
                link.silent_ms = None;
                Some(reply)
            }
            Ok(_) => None,
            Err(_) => {
                link.silent += 1;
                link.silent_ms = Some(clock::now().0);
                if link.silent >= SILENT_CALLS_MAX {
                    // A connection that went silent without a reset is only noticed so.
                    let name = link.client.name().clone();
                    *link = self.dial(name, address);
                }
                None
            }
        }
    }

    async fn reply(self: &Arc<Self>, message: Workflow) -> Workflow {
        match message {
            Workflow::Advise {
                step,
                workers,
                cost_ms,
            } => Workflow::Advised(self.advise_here(step, &workers, cost_ms).await),
            Workflow::QueryJob { shard, job } => Workflow::JobState(match self.owner(shard) {
                Some(owner) => owner.inquire(job).await,
                None => JobState::Unavailable,
            }),
            Workflow::Length { shard, queue } => {
                Workflow::LengthIs(self.owner(shard).and_then(|owner| owner.length(&queue)))
            }
            Workflow::IsLogUp => Workflow::LogUp(self.log_answers().await),
            Workflow::Store {
                shard,
                record,
                timeout_ms,
            } => Workflow::StoreEnded(self.store_for_peer(shard, &record, timeout_ms).await),
            other => other,
        }
    }

    /// Returns a link to every process that this one is linked with.
    pub(crate) fn linked(&self) -> Vec<Peer> {
        let mut peers: Vec<Peer> = lock(&self.peers).clone();
        peers.extend(
            lock(&self.dialled)
                .values()
                .filter_map(|link| link.client.peer()),
        );
        peers.retain(|peer| !peer.is_closed());
        peers
    }

    /// Tells the owner of a shard of a record that is stored.
    pub(crate) fn tell_stored(&self, shard: u32, record: &rosemaryworks_workflow::Record) {
        if let Some(owner) = self.owner(shard) {
            owner.stored(record.clone());
            return;
        }
        let Some(address) = lock(&self.claims).get(shard).map(|claim| claim.address) else {
            return;
        };
        if let Some(link) = lock(&self.dialled).get(&address) {
            let record = record.clone();
            let message = Message::Workflow(Workflow::Stored { shard, record });
            // An owner that misses the notice reads the record from the log.
            let _ = link.client.notify(message);
        }
    }

    /// Puts a question to the advice service from this VM, after those that came before.
    pub(crate) async fn advise_here(
        &self,
        step: rosemaryworks_workflow::StepKey,
        workers: &[Arc<str>],
        cost_ms: f64,
    ) -> Option<Permits> {
        let _turn = self.advice_turn.acquire().await.ok()?;
        self.parts.metrics.questions.inc();
        self.parts.advisor.advise(step, workers, cost_ms).await.ok()
    }

    /// Puts a question to the advice service from the VM of a peer.
    pub(crate) async fn advise_through(
        peer: &Peer,
        ask: &rosemaryworks_workflow::AdviceRequest,
        before_ms: f64,
    ) -> Option<Permits> {
        let expected_ms = (ask.cost_ms + before_ms) as u64;
        let timeout = Duration::from_millis(expected_ms + ADVICE_SLACK_MS);
        let message = Workflow::Advise {
            step: ask.step,
            workers: ask.workers.clone(),
            cost_ms: ask.cost_ms,
        };
        match peer.call(Message::Workflow(message), timeout).await {
            Ok(Message::Workflow(Workflow::Advised(permits))) => permits,
            _ => None,
        }
    }

    /// Tells every process with a link that a shard was given up.
    pub(crate) fn tell_released(&self, shard: u32, epoch: u64) {
        for peer in self.linked() {
            // A process that misses the notice finds the claim given up, or lapsed, at a look.
            let _ = peer.notify(Message::Workflow(Workflow::Released { shard, epoch }));
        }
    }
}
