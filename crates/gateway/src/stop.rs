//! The planned stop: what is in flight ends by its deadline, and nothing is waited for beyond it.

use std::time::Duration;

use rosemaryworks_core::timing::DEADLINE_MAX_MS;

use crate::events;
use crate::gateway::Gateway;

/// Time within which every caller is told an outcome: the longest deadline and some more.
const CALLERS_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MAX_MS + 5_000);

/// Time after the last deadline in which owners acknowledge the ends of grants. Covers a takeover,
/// after which the new owner is told.
const REPORTS_TIMEOUT: Duration = Duration::from_secs(10);

const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Refuses new requests and waits until every caller was told an outcome and every request has ended
/// or its deadline has passed. Then waits a limited time for the owners' acknowledgements.
///
/// A request that an instance has not answered by its deadline is left behind. Its caller was told
/// `unknown`, and the owner keeps its slot until the instance reports it free.
pub async fn stop_gracefully(gateway: &Gateway) {
    gateway.stop();
    let remaining = || {
        let (callers, requests) = (gateway.waiting_callers(), gateway.requests_in_flight());
        format!(
            "callers={callers} requests={requests} reports={}",
            gateway.unacknowledged_reports()
        )
    };
    events::DRAINING.log(format_args!("{}", remaining()));
    let requests_done = async {
        while gateway.waiting_callers() + gateway.requests_before_deadline() > 0 {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    // Every deadline has passed by then.
    let _ = tokio::time::timeout(CALLERS_TIMEOUT, requests_done).await;
    let reports_done = async {
        while gateway.unacknowledged_reports() > 0 {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    // What is left is logged.
    let _ = tokio::time::timeout(REPORTS_TIMEOUT, reports_done).await;
    if gateway.waiting_callers() + gateway.requests_in_flight() + gateway.unacknowledged_reports()
        > 0
    {
        events::STOPPED_EARLY.log(format_args!("{}", remaining()));
    }
}
