//! Keeps the process's readiness up to date.

use std::time::Duration;

use rosemaryworks_node::status::Ready;

use crate::events;
use crate::gateway::Gateway;

const PERIOD: Duration = Duration::from_millis(200);

/// Watches what the gateway needs to serve, until the future is dropped. Takes the contracts from a
/// scheduler if the log is down at the start.
pub async fn watch(gateway: Gateway, ready: Ready) {
    let mut warned = false;
    loop {
        let progress = gateway.contracts.progress();
        if !progress.known
            && let Some(error) = progress.failed
        {
            if !warned {
                events::LOG_DOWN_AT_START.log(format_args!("error={error:?}"));
                warned = true;
            }
            gateway.links.restore(&gateway.contracts).await;
        }
        update(&gateway, &ready);
        gateway.meter_links();
        tokio::time::sleep(PERIOD).await;
    }
}

fn update(gateway: &Gateway, ready: &Ready) {
    match missing(gateway) {
        Some(reason) => ready.clear(reason),
        None if !ready.get() => {
            ready.set();
            events::READY.log(format_args!("node={}", gateway.node));
        }
        None => {}
    }
}

fn missing(gateway: &Gateway) -> Option<&'static str> {
    if !gateway.contracts.progress().known {
        return Some("the contracts are not known yet");
    }
    if !gateway.links.is_any_open() {
        return Some("no scheduler is linked");
    }
    None
}
