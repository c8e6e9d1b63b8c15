//! Links between entry processes: every process opens a link to each owner of a shard.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use rosemaryworks_node::{clock, late};
use rosemaryworks_wire::Message;
use rosemaryworks_wire::link::{Bounds, Client, Handler, Peer, Reply, serve_within};
use rosemaryworks_wire::workflow::{JobState, Message as Workflow};
use rosemaryworks_workflow::{Ask, Grant, Shard};

use crate::config::Config;
use crate::node::{Node, lock};
use crate::owner::Owner;
use crate::quota;
use crate::revisions;

/// Time-out of a call to another process.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after an unanswered call for which no records are stored through an owner, in milliseconds.
/// Covers the takeover of its shards.
const OWNER_PAUSE_MS: u64 = 1_500;

/// Consecutive unanswered calls after which a link is reopened.
const UNANSWERED_CALLS_MAX: u32 = 2;

/// A link that this process opened to an owner.
pub(crate) struct Link {
    client: Arc<Client>,
    unanswered: u32,
    /// Time of the last call without an answer.
    last_unanswered_ms: Option<u64>,
    was_open: bool,
}

/// Handles calls over links that other processes opened.
struct Incoming(Arc<Node>);

impl Handler for Incoming {
    fn call(&self, peer: &Peer, message: Message) -> Reply {
        let (node, peer) = (self.0.clone(), peer.clone());
        Box::pin(async move {
            match message {
                Message::Workflow(message @ Workflow::Advise { .. }) => tokio::select! {
                    reply = node.advice.clone().handle(message) => Message::Workflow(reply),
                    // Requests of an owner that has ended would delay those of its successor.
                    () = peer.closed() => Message::Workflow(Workflow::Advised(None)),
                },
                Message::Workflow(Workflow::AskRevision { version, form }) => {
                    let config = node.config();
                    let config = config.as_deref();
                    let revision = node.revisions.answer(version, form, config, &peer);
                    Message::Workflow(Workflow::Revision(revision))
                }
                Message::Workflow(message) => Message::Workflow(node.handle_call(message).await),
                other => other,
            }
        })
    }

    fn notice(&self, peer: &Peer, message: Message) {
        match message {
            Message::Workflow(Workflow::Released { shard, epoch }) => {
                lock(&self.0.claims).released(shard, epoch);
                self.0.claims_changed.notify_one();
            }
            Message::Workflow(Workflow::Leaving) => {
                lock(&self.0.known).leaves(&peer.hello().node);
            }
            Message::Workflow(Workflow::Stored { shard, record }) => {
                if let Some(owner) = self.0.owner(shard) {
                    owner.apply_stored(record);
                }
            }
            Message::Workflow(Workflow::Commands(commands)) => {
                self.0.send_for_peer(peer, commands);
            }
            Message::Workflow(Workflow::Offers { millicores }) => {
                self.0.exchange.offered(peer, millicores);
            }
            Message::Workflow(Workflow::WithdrawAdvice { shard, epoch }) => {
                self.0.advice.end_owner(shard, epoch);
            }
            Message::Workflow(Workflow::Outcomes(outcomes)) => self.0.exchange.ended(outcomes),
            _ => {}
        }
    }

    fn opened(&self, peer: &Peer) {
        lock(&self.0.peers).push(peer.clone());
        self.0.link_was_opened(peer);
    }

    fn closed(&self, peer: &Peer) {
        lock(&self.0.peers).retain(|peer| !peer.is_closed());
        self.0.exchange.closed(peer);
        self.0.link_was_closed(peer);
    }
}

/// Handles calls over links that this process opened.
struct Outgoing(Arc<Node>);

impl Handler for Outgoing {
    fn call(&self, peer: &Peer, message: Message) -> Reply {
        Incoming(self.0.clone()).call(peer, message)
    }

    fn notice(&self, peer: &Peer, message: Message) {
        Incoming(self.0.clone()).notice(peer, message);
    }

    fn opened(&self, peer: &Peer) {
        self.0.link_was_opened(peer);
        self.0.offer_relay(peer);
    }

    fn closed(&self, peer: &Peer) {
        self.0.link_was_closed(peer);
        // The owner's shards may soon have no owner.
        self.0.claims_changed.notify_one();
    }
}

impl quota::Reach for Arc<Node> {
    fn ask(&self, shard: u32, ask: Ask) -> Pin<Box<dyn Future<Output = Option<Grant>> + Send>> {
        let node = self.clone();
        Box::pin(async move {
            node.context.metrics.room_requests.inc();
            if let Some(owner) = node.owner(shard) {
                return quota::answer(&*owner, &ask).await;
            }
            let message = Workflow::AskRoom { shard, ask };
            match node.call_owner(shard, message, CALL_TIMEOUT).await {
                Some(Workflow::RoomGiven(grant)) => grant,
                _ => None,
            }
        })
    }
}

impl quota::Holder for Owner {
    fn state(&self) -> MutexGuard<'_, Shard> {
        Owner::state(self)
    }

    fn wake(&self) {
        Owner::wake(self);
    }

    fn is_ended(&self) -> bool {
        Owner::is_ended(self)
    }

    fn wait_durable(&self, limit: Duration) -> Pin<Box<dyn Future<Output = ()> + Send + '_>> {
        Box::pin(Owner::wait_durable(self, limit))
    }
}

impl revisions::exchange::Process for Node {
    fn configure(&self, config: Arc<Config>) {
        Node::configure(self, config);
    }

    fn peers(&self) -> revisions::Peers<Peer> {
        let mut others = lock(&self.peers).clone();
        others.retain(|peer| !peer.is_closed());
        revisions::Peers {
            owners: self.linked_owners(),
            others,
        }
    }
}

impl Node {
    pub(crate) fn serve_links(self: &Arc<Self>, listener: tokio::net::TcpListener) {
        let handler = Arc::new(Incoming(self.clone()));
        let limits = self.settings.limits();
        let bounds = Bounds {
            links: limits.links,
            partial_bytes: limits.link_bytes / 2,
            queued_bytes: limits.link_bytes / 2,
        };
        tokio::spawn(serve_within(bounds, listener, self.hello.clone(), handler));
    }

    fn link_was_opened(&self, peer: &Peer) {
        lock(&self.known).opened(&peer.hello().node);
        if self.leaving.load(Ordering::Relaxed) {
            let _ = peer.notify(Message::Workflow(Workflow::Leaving));
        }
    }

    fn link_was_closed(&self, peer: &Peer) {
        lock(&self.known).closed(&peer.hello().node, clock::now().0);
    }

    /// Opens links to the owners of shards and closes links to processes that own none.
    pub(crate) fn dial_owners(self: &Arc<Self>) {
        let owners: BTreeMap<SocketAddr, Arc<str>> = lock(&self.claims).owners();
        let mut links = lock(&self.links);
        links.retain(|address, _| owners.contains_key(address));
        for (address, name) in owners {
            if address != self.settings.peer_listen {
                links
                    .entry(address)
                    .or_insert_with(|| self.dial(name, address));
            }
        }
    }

    /// Returns the owners whose link was open before and is now closed.
    pub(crate) fn unlinked_owners(&self) -> std::collections::BTreeSet<SocketAddr> {
        let mut links = lock(&self.links);
        let mut unlinked = std::collections::BTreeSet::new();
        for (address, link) in links.iter_mut() {
            let open = link.client.peer().is_some();
            if link.was_open && !open {
                unlinked.insert(*address);
            }
            link.was_open |= open;
        }
        unlinked
    }

    /// Returns whether the links to all other owners are open.
    pub(crate) fn is_linked_to_owners(&self) -> bool {
        let links = lock(&self.links);
        links.values().all(|link| link.client.peer().is_some())
    }

    fn dial(self: &Arc<Self>, name: Arc<str>, address: SocketAddr) -> Link {
        let handler = Arc::new(Outgoing(self.clone()));
        let client = Client::start(name, address, self.hello.clone(), handler);
        Link {
            client: Arc::new(client),
            unanswered: 0,
            last_unanswered_ms: None,
            was_open: false,
        }
    }

    /// Returns whether the owner of a shard is another process with an open link and no recent
    /// unanswered call.
    pub(crate) fn owner_answers(&self, shard: u32) -> bool {
        let address = lock(&self.claims).get(shard).map(|claim| claim.address);
        let links = lock(&self.links);
        let link = address.and_then(|address| links.get(&address));
        link.is_some_and(|link| {
            let paused = |at| clock::now().0 < at + OWNER_PAUSE_MS;
            link.client.peer().is_some() && !link.last_unanswered_ms.is_some_and(paused)
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
        let client = lock(&self.links).get(&address)?.client.clone();
        let call = client.call(Message::Workflow(message), timeout + late::EXTENSION_MAX);
        let reply = late::timeout(timeout, call).await;
        let mut links = lock(&self.links);
        let link = links.get_mut(&address)?;
        match reply {
            Some(Ok(Message::Workflow(reply))) => {
                link.unanswered = 0;
                link.last_unanswered_ms = None;
                Some(reply)
            }
            Some(Ok(_)) => None,
            Some(Err(_)) | None => {
                link.unanswered += 1;
                link.last_unanswered_ms = Some(clock::now().0);
                if link.unanswered >= UNANSWERED_CALLS_MAX {
                    // A connection that fails without a reset is noticed only by unanswered calls.
                    let name = link.client.name().clone();
                    *link = self.dial(name, address);
                }
                None
            }
        }
    }

    async fn handle_call(self: &Arc<Self>, message: Workflow) -> Workflow {
        match message {
            Workflow::QueryJob { shard, job, team } => {
                Workflow::JobState(match self.owner(shard) {
                    Some(owner) => owner.job_state(job, team.as_deref()).await,
                    None => JobState::Unavailable,
                })
            }
            Workflow::QueryFormer { shard, question } => {
                Workflow::JobState(match self.owner(shard) {
                    Some(owner) => owner.answer_former(&question).await,
                    None => JobState::Unavailable,
                })
            }
            Workflow::Length {
                shard,
                queue,
                address,
            } => Workflow::LengthIs(
                self.owner(shard)
                    .and_then(|owner| owner.queue_length(address, &queue)),
            ),
            Workflow::IsCandidate => Workflow::Candidate(self.can_take_over().await),
            Workflow::AskOwnership {
                owned,
                seeks_candidate,
            } => self.report_ownership(&owned, seeks_candidate).await,
            Workflow::AskRoom { shard, ask } => Workflow::RoomGiven(match self.owner(shard) {
                Some(owner) => quota::answer(&*owner, &ask).await,
                None => None,
            }),
            Workflow::Store {
                shard,
                record,
                timeout_ms,
            } => self.store_for_peer(shard, &record, timeout_ms).await,
            other => other,
        }
    }

    /// Returns the open links to owners.
    pub(crate) fn linked_owners(&self) -> Vec<Peer> {
        let links = lock(&self.links);
        links
            .values()
            .filter_map(|link| link.client.peer())
            .collect()
    }

    /// Returns an open link to every process that has one with this process.
    pub(crate) fn linked_peers(&self) -> Vec<Peer> {
        let mut peers: Vec<Peer> = lock(&self.peers).clone();
        peers.extend(self.linked_owners());
        peers.retain(|peer| !peer.is_closed());
        peers
    }

    /// Notifies the owner of a shard that a record is stored.
    pub(crate) fn notify_stored(&self, shard: u32, record: &rosemaryworks_workflow::Record) {
        if let Some(owner) = self.owner(shard) {
            owner.apply_stored(record.clone());
            return;
        }
        let Some(address) = lock(&self.claims).get(shard).map(|claim| claim.address) else {
            return;
        };
        if let Some(link) = lock(&self.links).get(&address) {
            let record = record.clone();
            let message = Message::Workflow(Workflow::Stored { shard, record });
            // An owner that misses the notification reads the record from the log.
            let _ = link.client.notify(message);
        }
    }

    /// Notifies all linked processes, and those that link later, that this one is about to end.
    pub(crate) fn notify_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        for peer in self.linked_peers() {
            // An owner that misses the notification counts this process among those that may claim.
            let _ = peer.notify(Message::Workflow(Workflow::Leaving));
        }
    }

    /// Notifies all linked processes that a shard was released.
    pub(crate) fn notify_released(&self, shard: u32, epoch: u64) {
        for peer in self.linked_peers() {
            // A process that misses the notification finds the claim released, or expired, when it
            // reads the claims.
            let _ = peer.notify(Message::Workflow(Workflow::Released { shard, epoch }));
        }
    }
}
