//! The planned stop: what is in flight ends by its deadline, and nothing is waited for beyond it.

use std::time::Duration;

use rosemaryworks_core::timing::DEADLINE_MAX_MS;

use crate::events;
use crate::gateway::Gateway;

/// Time within which every caller is told an outcome: the longest deadline and some more.
const CALLERS_MAX: Duration = Duration::from_millis(DEADLINE_MAX_MS + 5_000);

/// Time after the last deadline in which owners acknowledge the ends of grants. Covers a takeover,
/// after which the new owner is told.
const REPORTS_MAX: Duration = Duration::from_secs(10);

const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Refuses new requests and waits until every caller was told an outcome and every request has ended
/// or its deadline has passed. Then waits a limited time for the owners' acknowledgements.
///
/// A request that an instance has not answered by its deadline is left behind. Its caller was told
/// `unknown`, and the owner keeps its slot until the instance reports it free.
pub async fn finish(gateway: &Gateway) {
    gateway.stop();
    let left = || {
        let (callers, requests) = (gateway.callers(), gateway.requests());
        format!(
            "callers={callers} requests={requests} reports={}",
            gateway.reports()
        )
    };
    events::DRAINING.log(format_args!("{}", left()));
    let told = async {
        while gateway.callers() + gateway.requests_in_time() > 0 {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    // Every deadline has passed by then.
    let _ = tokio::time::timeout(CALLERS_MAX, told).await;
    let reported = async {
        while gateway.reports() > 0 {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    // What is left is logged.
    let _ = tokio::time::timeout(REPORTS_MAX, reported).await;
    if gateway.callers() + gateway.requests() + gateway.reports() > 0 {
        events::LEFT.log(format_args!("{}", left()));
    }
}
