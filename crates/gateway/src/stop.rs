//! Graceful stop: waits for the requests in flight until their deadlines, but not beyond.

use std::time::Duration;

use rosemaryworks_core::timing::DEADLINE_MAX_MS;

use crate::events;
use crate::gateway::Gateway;

/// Time in which every caller gets an outcome: the longest deadline and a margin.
const CALLERS_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MAX_MS + 5_000);

/// Time after the last deadline for owners to acknowledge the finish reports. Covers a takeover,
/// after which the report goes to the new owner.
const REPORTS_TIMEOUT: Duration = Duration::from_secs(10);

const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Rejects new requests and waits until every caller has an outcome and every request has ended or
/// its deadline has passed. Then waits a limited time for the owners' acknowledgements.
///
/// A request to which the instance has not responded by the deadline is abandoned. Its caller
/// received `unknown`, and the owner keeps its slot until the instance reports it free.
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
    // After a timeout every deadline has passed.
    let _ = tokio::time::timeout(CALLERS_TIMEOUT, requests_done).await;
    let reports_done = async {
        while gateway.unacknowledged_reports() > 0 {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    // After a timeout the remaining reports are logged below.
    let _ = tokio::time::timeout(REPORTS_TIMEOUT, reports_done).await;
    if gateway.waiting_callers() + gateway.requests_in_flight() + gateway.unacknowledged_reports()
        > 0
    {
        events::STOPPED_EARLY.log(format_args!("{}", remaining()));
    }
}
