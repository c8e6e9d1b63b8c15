//! Gateways that have a link to this process.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use rosemaryworks_wire::link::Peer;
use rosemaryworks_wire::{Message, Role};

use crate::lock::lock;

/// Open links to gateways by name.
#[derive(Default)]
pub(crate) struct Gateways(Mutex<BTreeMap<Arc<str>, Peer>>);

impl Gateways {
    /// Adds an open link. Returns the gateway's previous incarnation if the link is of a newer one.
    pub(crate) fn opened(&self, peer: &Peer) -> Option<u64> {
        let hello = peer.hello();
        if hello.role != Role::Gateway {
            return None;
        }
        let mut links = lock(&self.0);
        let before = links.get(&hello.node).map(|link| link.hello().incarnation);
        if before.is_some_and(|before| before > hello.incarnation) {
            return None;
        }
        links.insert(hello.node.clone(), peer.clone());
        before.filter(|before| *before < hello.incarnation)
    }

    /// Returns the open link to `name`.
    pub(crate) fn get(&self, name: &str) -> Option<Peer> {
        let links = lock(&self.0);
        links.get(name).filter(|peer| !peer.is_closed()).cloned()
    }

    /// Returns all open links.
    pub(crate) fn all(&self) -> Vec<Peer> {
        let links = lock(&self.0);
        let open = links.values().filter(|peer| !peer.is_closed());
        open.cloned().collect()
    }

    /// Sends a notice to every gateway with an open link.
    pub(crate) fn notify(&self, message: &Message) {
        for peer in self.all() {
            // A gateway whose link has just closed is notified when the link opens again.
            let _ = peer.notify(message.clone());
        }
    }
}
