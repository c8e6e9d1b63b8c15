//! Readiness: the gateway is ready once it has the contracts and a link to a scheduler.

use std::time::Duration;

use rosemaryworks_node::status::Ready;

use crate::events;
use crate::gateway::Gateway;

const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Readiness checks between two attempts to restore the contracts from the schedulers. Kept rare
/// because each reply contains all contracts.
const CHECKS_PER_RESTORE: u32 = 5;

/// Updates the readiness periodically until the future is dropped. Restores the contracts from a
/// scheduler if the log is unreachable at the start.
pub async fn watch(gateway: Gateway, ready: Ready) {
    let mut checks_without_log = 0;
    loop {
        let progress = gateway.contracts.progress();
        if !progress.known
            && let Some(error) = progress.failed
        {
            if checks_without_log == 0 {
                events::LOG_UNREACHABLE_AT_START.log(format_args!("error={error:?}"));
            }
            if checks_without_log % CHECKS_PER_RESTORE == 0 {
                gateway.links.restore(&gateway.contracts).await;
            }
            checks_without_log += 1;
        }
        update(&gateway, &ready);
        gateway.update_link_metrics();
        tokio::time::sleep(CHECK_PERIOD).await;
    }
}

fn update(gateway: &Gateway, ready: &Ready) {
    match unready_reason(gateway) {
        Some(reason) => ready.clear(reason),
        None if !ready.get() => {
            ready.set();
            events::READY.log(format_args!("node={}", gateway.node));
        }
        None => {}
    }
}

fn unready_reason(gateway: &Gateway) -> Option<&'static str> {
    if !gateway.contracts.progress().known {
        return Some("the contracts are not known yet");
    }
    if !gateway.links.has_open_link() {
        return Some("no scheduler is linked");
    }
    None
}
