//! Planned stops: the balancer is told, shards are given up, calls are served to their end.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rosemaryworks_node::event;
use tokio::time::Instant;

use crate::node::Node;

/// Time for which new connections still come after the balancer was told, at most: two probes a
/// second apart, and the second that the first may take to come.
const BALANCER_DELAY: Duration = Duration::from_millis(2_600);

/// Time between two looks at what a stop waits for.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Time kept for giving up shards at the end of a stop: the journal's flush and one call of the log.
const RELEASE_RESERVE: Duration = Duration::from_millis(1_000);

/// Where callers come in.
pub trait Frontend: Send + Sync {
    /// Makes every further response the last one of its connection.
    fn close(&self);

    /// Returns the number of calls without a response.
    fn open_calls(&self) -> usize;
}

impl Node {
    /// Stops the process as planned, within the time of its settings.
    pub async fn stop_serving(self: &Arc<Self>, frontend: &dyn Frontend) {
        event::STOPPING.log(format_args!("open={}", frontend.open_calls()));
        let began = Instant::now();
        frontend.close();
        let limit = Duration::from_millis(self.settings.stop_ms);
        // Shards that can't be given up in time lapse.
        let waits = limit.saturating_sub(RELEASE_RESERVE);
        let _ = tokio::time::timeout(limit, self.stop(waits)).await;
        while began.elapsed() < limit
            && (began.elapsed() < BALANCER_DELAY || frontend.open_calls() > 0)
        {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        // The last responses are written by the servers' thread.
        tokio::time::sleep(POLL_PERIOD * 2).await;
        event::STOPPED.log(format_args!("open={}", frontend.open_calls()));
    }

    /// Begins a planned stop: the balancer is told, and shards are given up. While the log is away
    /// no other process can take a shard over, so the shards stay here until it is back, for
    /// `limit` at most.
    pub async fn stop(self: &Arc<Self>, limit: Duration) {
        self.stopping.store(true, Ordering::Relaxed);
        self.update_ready();
        let until = Instant::now() + limit;
        while self.store_is_down() && Instant::now() < until {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        self.release_all().await;
    }
}
