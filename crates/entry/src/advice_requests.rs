//! Advice requests of an owner, sent through the VM with the shortest queue.

use std::sync::Arc;

use rosemaryworks_node::clock;
use rosemaryworks_wire::link::Peer;
use rosemaryworks_workflow::Ask;

use crate::advice_balancer::Assignment;
use crate::events;
use crate::node::{Node, lock};
use crate::owner::Owner;

impl Owner {
    pub(crate) async fn request_advice(self: Arc<Self>, node: Arc<Node>, ask: Ask) {
        let began = clock::now();
        let (assignment, peer) = self.assign_peer(&node, ask.cost_ms);
        let permits = match &peer {
            Some(peer) => Node::request_advice_via(peer, &ask, assignment.queued_ms).await,
            None => {
                node.request_advice(ask.step, &ask.workers, ask.cost_ms)
                    .await
            }
        };
        match &permits {
            Some(_) => self.balancer().completed(&assignment),
            None => self.balancer().failed(&assignment, clock::now().0),
        }
        events::ADVISED.log(format_args!(
            "step={} asked={} good={} through={} took_ms={}",
            ask.step,
            ask.workers.len(),
            permits.as_ref().map_or(-1, |permits| permits.len() as i64),
            assignment.vm,
            clock::now().since(began)
        ));
        let now_ms = clock::now().0;
        let mut state = self.state();
        match permits {
            Some(permits) => state.advised(ask.step, permits, now_ms + ask.validity_ms, now_ms),
            None => state.unadvised(ask.step, now_ms),
        }
        drop(state);
        self.wake();
    }

    /// Assigns a request to a VM. Without a peer, the request is sent from this VM.
    fn assign_peer(&self, node: &Node, cost_ms: f64) -> (Assignment, Option<Peer>) {
        let mut peers: Vec<Peer> = lock(&node.peers).clone();
        peers.retain(|peer| !peer.is_closed());
        let own = node.settings.node.clone();
        let mut vms: Vec<Arc<str>> = peers.iter().map(|p| p.hello().node.clone()).collect();
        vms.push(own.clone());
        let assignment = self
            .balancer()
            .assign(&vms, cost_ms, clock::now().0)
            .unwrap_or(Assignment {
                vm: own,
                cost_ms,
                queued_ms: 0.0,
            });
        let peer = peers
            .into_iter()
            .rfind(|peer| peer.hello().node == assignment.vm);
        (assignment, peer)
    }
}
