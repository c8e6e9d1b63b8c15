//! Links to the schedulers, and the shard owners and grants that they report.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_admin::Contracts;
use rosemaryworks_node::clock;
use rosemaryworks_node::settings::Cell;
use rosemaryworks_wire::link::{Client, Handler, Peer, Reply};
use rosemaryworks_wire::{Hello, Message, Snapshot};

use crate::events;
use crate::grants::Grants;
use crate::owners::Owners;

const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);

/// Links to all schedulers of the cell, with the known shard owners and the grants in use. Clones
/// share the same links.
#[derive(Clone, Debug)]
pub struct Links {
    pub(crate) clients: Arc<[Client]>,
    pub(crate) owners: Owners,
    pub(crate) grants: Grants,
}

impl Links {
    /// Starts connecting to every scheduler. Must be called within a tokio runtime.
    #[must_use]
    pub fn start(cell: &Cell, hello: &Hello) -> Self {
        let owners = Owners::default();
        let grants = Grants::default();
        let handler: Arc<dyn Handler> = Arc::new(PeerHandler {
            owners: owners.clone(),
            grants: grants.clone(),
        });
        let connect = |scheduler: &rosemaryworks_node::settings::Scheduler| {
            let name = scheduler.name.clone();
            Client::start(name, scheduler.peer, hello.clone(), handler.clone())
        };
        Self {
            clients: cell.schedulers.iter().map(connect).collect(),
            owners,
            grants,
        }
    }

    /// Returns the links in the order of the settings.
    #[must_use]
    pub fn clients(&self) -> Arc<[Client]> {
        self.clients.clone()
    }

    /// Returns the open link to the scheduler `name`.
    pub(crate) fn peer(&self, name: &str) -> Option<Peer> {
        let client = self
            .clients
            .iter()
            .find(|client| &**client.name() == name)?;
        client.peer()
    }

    /// Returns one of the open links, selected by `number` modulo their count.
    pub(crate) fn any_peer(&self, number: u64) -> Option<Peer> {
        let open: Vec<Peer> = self.clients.iter().filter_map(Client::peer).collect();
        let index = number.checked_rem(open.len() as u64)?;
        open.into_iter().nth(usize::try_from(index).ok()?)
    }

    /// Restores the contracts and shard owners from the scheduler whose snapshot has the highest
    /// offset in the contracts stream. Returns whether any scheduler had contracts.
    pub async fn restore(&self, contracts: &Contracts) -> bool {
        let mut latest: Option<Snapshot> = None;
        for client in self.clients.iter() {
            let reply = client.call(Message::Snapshot, SNAPSHOT_TIMEOUT).await;
            if let Ok(Message::Snapshotted(snapshot)) = reply {
                let offset = snapshot.register.offset();
                let latest_offset = latest.as_ref().map_or(0, |latest| latest.register.offset());
                if offset > latest_offset {
                    latest = Some(*snapshot);
                }
            }
        }
        let Some(latest) = latest else { return false };
        let offset = latest.register.offset();
        contracts.restore(latest.register);
        for (shard, epoch, owner, _) in latest.owners {
            self.owners.update(&shard, epoch, Some(owner));
        }
        events::CONTRACTS_RESTORED.log(format_args!("offset={offset}"));
        true
    }

    /// Returns whether at least one link is open.
    #[must_use]
    pub fn has_open_link(&self) -> bool {
        self.clients.iter().any(|client| client.peer().is_some())
    }
}

struct PeerHandler {
    owners: Owners,
    grants: Grants,
}

impl Handler for PeerHandler {
    fn call(&self, peer: &Peer, message: Message) -> Reply {
        let reply = match message {
            Message::Survey { shard, epoch } => {
                let outstanding = self.grants.answer_survey(clock::now(), &shard, epoch);
                let owner = &peer.hello().node;
                self.owners.update(&shard, epoch, Some(owner.clone()));
                let count = outstanding.len();
                events::SURVEYED.log(format_args!(
                    "shard={shard} epoch={epoch} owner={owner} outstanding={count}"
                ));
                Message::Outstanding(outstanding)
            }
            _ => {
                let peer = &peer.hello().node;
                events::UNEXPECTED_MESSAGE.log(format_args!("peer={peer} kind=call"));
                Message::Done
            }
        };
        Box::pin(std::future::ready(reply))
    }

    fn notice(&self, peer: &Peer, message: Message) {
        match message {
            Message::Owned {
                shard,
                epoch,
                owner,
            } => self.owners.update(&shard, epoch, owner),
            _ => {
                let peer = &peer.hello().node;
                events::UNEXPECTED_MESSAGE.log(format_args!("peer={peer} kind=notice"));
            }
        }
    }

    fn opened(&self, peer: &Peer) {
        events::LINK_OPENED.log(format_args!("peer={}", peer.hello().node));
        self.owners.wake_waiters();
    }

    fn closed(&self, peer: &Peer) {
        events::LINK_CLOSED.log(format_args!("peer={}", peer.hello().node));
        self.owners.wake_waiters();
    }
}
