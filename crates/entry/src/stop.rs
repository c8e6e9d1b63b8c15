//! Planned stop: readiness is withdrawn, shards are released and open calls are completed.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rosemaryworks_node::event;
use tokio::time::Instant;

use crate::node::Node;

/// Upper bound of the time for which new connections still arrive after readiness was withdrawn:
/// two probes a second apart, and up to a second until the first of them.
const BALANCER_DELAY: Duration = Duration::from_millis(2_600);

/// Time between two checks of the conditions that a stop waits for.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Time reserved for releasing shards at the end of a stop: the journal's flush and one call of the
/// log.
const RELEASE_RESERVE: Duration = Duration::from_millis(1_000);

/// Server of the callers' connections.
pub trait Frontend: Send + Sync {
    /// Marks every further response as the last one of its connection.
    fn close(&self);

    /// Returns the number of calls without a response.
    fn open_calls(&self) -> usize;
}

impl Node {
    /// Stops the process as planned, within the configured time.
    pub async fn stop_serving(self: &Arc<Self>, frontend: &dyn Frontend) {
        event::STOPPING.log(format_args!("open={}", frontend.open_calls()));
        let began = Instant::now();
        frontend.close();
        let limit = Duration::from_millis(self.settings.stop_ms);
        // Claims of shards that can't be released in time expire.
        let wait_max = limit.saturating_sub(RELEASE_RESERVE);
        let _ = tokio::time::timeout(limit, self.stop(wait_max)).await;
        while began.elapsed() < limit
            && (began.elapsed() < BALANCER_DELAY || frontend.open_calls() > 0)
        {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        // The HTTP thread writes the last responses.
        tokio::time::sleep(POLL_PERIOD * 2).await;
        event::STOPPED.log(format_args!("open={}", frontend.open_calls()));
    }

    /// Begins a planned stop: withdraws readiness and releases the shards. While the log is
    /// unreachable no other process can take a shard over, so the shards are kept until it is
    /// reachable again, for `limit` at most.
    pub async fn stop(self: &Arc<Self>, limit: Duration) {
        self.stopping.store(true, Ordering::Relaxed);
        self.update_ready();
        let until = Instant::now() + limit;
        while self.log_is_down() && Instant::now() < until {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        self.release_all().await;
    }
}
