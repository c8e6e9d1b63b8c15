//! Dispatches calls, notices and link changes of gateways and other schedulers.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::routing::Event;
use rosemaryworks_wire::link::{Handler, Peer, Reply};
use rosemaryworks_wire::{Message, Role};

use crate::calls;
use crate::context::Context;
use crate::events;
use crate::host::Host;
use crate::survey;

/// Time within which a gateway must reconnect before it counts as lost.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Handler of all links of the process.
pub(crate) struct Dispatcher(pub(crate) Arc<Context>);

impl Handler for Dispatcher {
    fn call(&self, peer: &Peer, message: Message) -> Reply {
        calls::answer(&self.0, peer, message)
    }

    fn notice(&self, _peer: &Peer, message: Message) {
        match message {
            Message::Released(claims) => {
                self.0
                    .handle_ownership_event(rosemaryworks_core::ownership::Event::Released(claims));
            }
            Message::Withdraw { shard, key } => {
                if let Some(Host::Service(service)) = self.0.host(&shard) {
                    service.handle(Event::Withdrawn(key));
                }
            }
            _ => {}
        }
    }

    fn opened(&self, peer: &Peer) {
        let hello = peer.hello();
        events::LINK_OPENED.log(format_args!(
            "peer={} role={:?} incarnation={}",
            hello.node, hello.role, hello.incarnation
        ));
        if hello.role != Role::Gateway {
            return;
        }
        if self.0.gateways.opened(peer).is_some() {
            gateway_lost(&self.0, &hello.node);
        }
        for host in self.0.hosts() {
            let term = host.term();
            if !term.is_valid() {
                continue;
            }
            let _ = peer.notify(Message::Owned {
                shard: term.shard.clone(),
                epoch: term.epoch,
                owner: Some(self.0.settings.node.clone()),
            });
            if let Host::Service(service) = host {
                survey::start(&self.0, &service, peer);
            }
        }
    }

    fn closed(&self, peer: &Peer) {
        let hello = peer.hello().clone();
        events::LINK_CLOSED.log(format_args!(
            "peer={} role={:?} incarnation={}",
            hello.node, hello.role, hello.incarnation
        ));
        if hello.role != Role::Gateway {
            return;
        }
        let context = self.0.clone();
        tokio::spawn(async move {
            tokio::time::sleep(RECONNECT_TIMEOUT).await;
            // If a newer incarnation has connected, the loss of this one was handled at that time.
            if context.gateways.get(&hello.node).is_none() {
                gateway_lost(&context, &hello.node);
            }
        });
    }
}

fn gateway_lost(context: &Context, gateway: &Arc<str>) {
    events::GATEWAY_LOST.log(format_args!("gateway={gateway}"));
    for host in context.hosts() {
        if let Host::Service(service) = host {
            service.handle(Event::GatewayLost(gateway.clone()));
        }
    }
}
