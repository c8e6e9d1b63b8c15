//! Questions of an owner to the advice service, put through the VM with the shortest queue.

use std::sync::Arc;

use rosemaryworks_node::clock;
use rosemaryworks_wire::link::Peer;
use rosemaryworks_workflow::AdviceRequest;

use crate::advice_lanes::Turn;
use crate::events;
use crate::node::{Node, lock};
use crate::owner::Owner;

impl Owner {
    pub(crate) async fn ask(self: Arc<Self>, node: Arc<Node>, ask: AdviceRequest) {
        let began = clock::now();
        let (turn, peer) = self.choose_peer(&node, ask.cost_ms);
        let permits = match &peer {
            Some(peer) => Node::advise_through(peer, &ask, turn.before_ms).await,
            None => node.advise_here(ask.step, &ask.workers, ask.cost_ms).await,
        };
        match &permits {
            Some(_) => self.lanes().ended(&turn),
            None => self.lanes().failed(&turn, clock::now().0),
        }
        events::ADVISED.log(format_args!(
            "step={} asked={} good={} through={} took_ms={}",
            ask.step,
            ask.workers.len(),
            permits.as_ref().map_or(-1, |permits| permits.len() as i64),
            turn.vm,
            clock::now().since(began)
        ));
        let now_ms = clock::now().0;
        let mut state = self.state();
        match permits {
            Some(permits) => {
                state.advice_received(ask.step, permits, now_ms + ask.validity_ms, now_ms)
            }
            None => state.advice_failed(ask.step, now_ms),
        }
        drop(state);
        self.kick();
    }

    /// Chooses the VM from which a question is asked; no peer stands for this VM.
    fn choose_peer(&self, node: &Node, cost_ms: f64) -> (Turn, Option<Peer>) {
        let mut peers: Vec<Peer> = lock(&node.peers).clone();
        peers.retain(|peer| !peer.is_closed());
        let own = node.settings.node.clone();
        let mut vms: Vec<Arc<str>> = peers.iter().map(|p| p.hello().node.clone()).collect();
        vms.push(own.clone());
        let turn = self
            .lanes()
            .choose(&vms, cost_ms, clock::now().0)
            .unwrap_or(Turn {
                vm: own,
                cost_ms,
                before_ms: 0.0,
            });
        let peer = peers.into_iter().rfind(|peer| peer.hello().node == turn.vm);
        (turn, peer)
    }
}
