//! Survey of gateways: asks each for the grants of earlier epochs that it still uses.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::routing::Event;
use rosemaryworks_wire::Message;
use rosemaryworks_wire::link::Peer;

use crate::context::Context;
use crate::events;
use crate::service::Service;

const TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Surveys the gateway at the other end of `peer`, unless this was done before.
pub(crate) fn start(context: &Arc<Context>, service: &Arc<Service>, peer: &Peer) {
    let hello = peer.hello();
    if service.begin_survey(&hello.node, hello.incarnation) {
        tokio::spawn(survey(context.clone(), service.clone(), peer.clone()));
    }
}

async fn survey(context: Arc<Context>, service: Arc<Service>, peer: Peer) {
    let gateway = peer.hello().node.clone();
    let incarnation = peer.hello().incarnation;
    let term = &service.term;
    while !term.has_ended() {
        let call = Message::Survey {
            shard: term.shard.clone(),
            epoch: term.epoch,
        };
        if let Ok(Message::Outstanding(outstanding)) = peer.call(call, TIMEOUT).await {
            events::SURVEYED.log(format_args!(
                "shard={} epoch={} gateway={gateway} outstanding={}",
                term.shard,
                term.epoch,
                outstanding.len()
            ));
            service.handle(Event::Surveyed {
                gateway,
                outstanding,
            });
            return;
        }
        if peer.is_closed() {
            // The next link starts a new survey. One that opened meanwhile was skipped because of
            // this survey, so it is surveyed here.
            service.survey_failed(&gateway, incarnation);
            if let Some(next) = context.gateways.get(&gateway) {
                start(&context, &service, &next);
            }
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
