//! Planned stop: readiness is withdrawn, shards are handed over and open calls are answered.

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

/// Time between two checks of whether another process can take the shards over.
const HANDOVER_PERIOD: Duration = Duration::from_millis(200);

/// Time reserved for releasing shards at the end of a stop: the journal's flush and one call of the
/// log.
const RELEASE_RESERVE: Duration = Duration::from_millis(1_000);

/// Time reserved at the end of a stop for answering the calls that are still open.
const ANSWER_RESERVE: Duration = Duration::from_millis(300);

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
        self.calls_end
            .send_replace(Some(began + limit.saturating_sub(ANSWER_RESERVE)));
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

    /// Begins a planned stop: withdraws readiness and releases the shards. The shards are kept while
    /// no other process can take them over, because the log is unreachable or all peers are stopping
    /// too, for `limit` at most.
    pub async fn stop(self: &Arc<Self>, limit: Duration) {
        self.stopping.store(true, Ordering::Relaxed);
        self.update_ready();
        for peer in self.linked_owners() {
            self.offer_relay(&peer);
        }
        let until = Instant::now() + limit;
        while !self.held_shards().is_empty() && !self.can_hand_over().await {
            if Instant::now() + HANDOVER_PERIOD >= until {
                break;
            }
            tokio::time::sleep(HANDOVER_PERIOD).await;
        }
        self.release_all().await;
        self.notify_leaving();
    }

    async fn can_hand_over(&self) -> bool {
        !self.log_is_down() && self.a_peer_can_take_over().await
    }

    /// Waits until calls must be answered even without an outcome, because a planned stop ends.
    pub(crate) async fn calls_must_end(&self) {
        let mut calls_end = self.calls_end.subscribe();
        // The sender is dropped with the process.
        if let Ok(until) = calls_end
            .wait_for(Option::is_some)
            .await
            .map(|until| *until)
            && let Some(until) = until
        {
            tokio::time::sleep_until(until).await;
        }
    }

    /// Returns whether new calls that need another process or the log come too late.
    pub(crate) fn calls_have_ended(&self) -> bool {
        self.calls_end
            .borrow()
            .is_some_and(|until| Instant::now() >= until)
    }
}
