//! Suspension of owners that have no proof of their ownership.

use rosemaryworks_node::clock;

use crate::events;
use crate::owner::Owner;

impl Owner {
    /// Waits as [`Self::until_permitted`], and logs the wait and a stall of this process.
    pub(crate) async fn await_permission(&self) -> u64 {
        let (shard, epoch) = (self.shard(), self.epoch());
        if let Some(stalled_ms) = self.stall().stalled_ms(clock::uptime_ms()) {
            events::STALLED.log(format_args!(
                "shard={shard} epoch={epoch} stalled_ms={stalled_ms}"
            ));
        }
        let began = clock::now();
        let mut checked_ms = began.0;
        if !self.is_ended() && !self.permission().is_valid(began.0) {
            let age_ms = self.permission().age_ms(began.0).unwrap_or(began.0);
            events::SUSPENDED.log(format_args!(
                "shard={shard} epoch={epoch} claims_age_ms={age_ms}"
            ));
            self.context().metrics.suspensions.inc();
            checked_ms = self.until_permitted().await;
            if !self.is_ended() {
                events::RESUMED.log(format_args!(
                    "shard={shard} epoch={epoch} suspended_ms={}",
                    clock::now().since(began)
                ));
            }
        }
        self.stall().beat(clock::uptime_ms());
        checked_ms
    }

    /// Waits until this owner may command workers or has ended. Returns the time in milliseconds at
    /// which that was checked, from which the deadlines of commands count: the process may be paused
    /// right after the check.
    pub(crate) async fn until_permitted(&self) -> u64 {
        let mut proofs = self.permission().proofs();
        loop {
            let now_ms = clock::now().0;
            if self.is_ended() || self.permission().is_valid(now_ms) {
                return now_ms;
            }
            // The sender is dropped with the process.
            if proofs.changed().await.is_err() {
                return now_ms;
            }
        }
    }
}
