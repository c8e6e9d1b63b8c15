//! Keeps the process's readiness up to date.

use std::time::Duration;

use rosemaryworks_node::status::Ready;

use crate::events;
use crate::gateway::Gateway;

const PERIOD: Duration = Duration::from_millis(200);

/// Periods between two requests for the contracts of the schedulers. Each answer carries them all.
const RESTORE_PERIODS: u32 = 5;

/// Watches what the gateway needs to serve, until the future is dropped. Takes the contracts from a
/// scheduler if the log is down at the start.
pub async fn watch(gateway: Gateway, ready: Ready) {
    let mut waited = 0;
    loop {
        let progress = gateway.contracts.progress();
        if !progress.known
            && let Some(error) = progress.failed
        {
            if waited == 0 {
                events::LOG_DOWN_AT_START.log(format_args!("error={error:?}"));
            }
            if waited % RESTORE_PERIODS == 0 {
                gateway.links.restore(&gateway.contracts).await;
            }
            waited += 1;
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
