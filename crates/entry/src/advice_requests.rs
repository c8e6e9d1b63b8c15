//! Advice requests of an owner, sent through the VM with the shortest queue.

use std::sync::Arc;

use rosemaryworks_node::clock;
use rosemaryworks_wire::link::Peer;
use rosemaryworks_workflow::AdviceRequest;

use crate::advice_balancer::Assignment;
use crate::events;
use crate::node::{Node, lock};
use crate::owner::Owner;

impl Owner {
    pub(crate) async fn request_advice(self: Arc<Self>, node: Arc<Node>, request: AdviceRequest) {
        let began = clock::now();
        let (assignment, peer) = self.assign_peer(&node, request.cost_ms);
        let permits = match &peer {
            Some(peer) => Node::request_advice_via(peer, &request, assignment.queued_ms).await,
            None => {
                node.request_advice(request.step, &request.workers, request.cost_ms)
                    .await
            }
        };
        match &permits {
            Some(_) => self.balancer().completed(&assignment),
            None => self.balancer().failed(&assignment, clock::now().0),
        }
        events::ADVISED.log(format_args!(
            "step={} asked={} good={} through={} took_ms={}",
            request.step,
            request.workers.len(),
            permits.as_ref().map_or(-1, |permits| permits.len() as i64),
            assignment.vm,
            clock::now().since(began)
        ));
        let now_ms = clock::now().0;
        let mut state = self.state();
        match permits {
            Some(permits) => {
                let until_ms = now_ms.saturating_add(request.validity_ms);
                state.advice_received(request.step, permits, until_ms, now_ms);
            }
            None => state.advice_failed(request.step, now_ms),
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
