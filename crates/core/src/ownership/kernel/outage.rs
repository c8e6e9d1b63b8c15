//! Outage mode: grants while the log is unreachable, and whether earlier owners may have left
//! unrecorded ones.

use super::Kernel;
use crate::ownership::action::Unrecorded;
use crate::ownership::peers::UNRECORDED_WINDOW_MS;
use crate::shard::{Epoch, Id};
use crate::time::Instant;

impl Kernel {
    /// Allows one grant without the log (outage mode) if the log counts as unreachable for a
    /// majority, this scheduler included, that supports this scheduler as the owner of `shard` in
    /// `epoch`. Only answers to heartbeats after the last one that reported the shard as settled
    /// count.
    ///
    /// The shard then is unsettled until the grant is passed to [`Self::confirm_unlogged_grants`].
    #[must_use]
    pub fn allow_unlogged_grant(&mut self, now: Instant, shard: &Id, epoch: Epoch) -> bool {
        let own_claim = self.own_claims.get_mut(shard);
        let Some(own_claim) =
            own_claim.filter(|own_claim| own_claim.active && own_claim.epoch == epoch)
        else {
            return false;
        };
        let permitted =
            self.log.unreachable && own_claim.outage_votes(now) >= self.settings.majority();
        own_claim.unlogged += u64::from(permitted);
        permitted
    }

    /// Records that `count` allowed grants are in the log now or were not used.
    pub fn confirm_unlogged_grants(&mut self, shard: &Id, epoch: Epoch, count: u64) {
        let own_claim = self.own_claims.get_mut(shard);
        if let Some(own_claim) = own_claim.filter(|own_claim| own_claim.epoch == epoch) {
            own_claim.unlogged = own_claim.unlogged.saturating_sub(count);
        }
    }

    /// Returns whether earlier owners may have dispatched requests that are not in the log.
    ///
    /// A majority must have agreed to that since the shard was last settled, and within
    /// [`UNRECORDED_WINDOW_MS`] or the age of the shard, whichever is shorter. It is ruled out if
    /// fewer schedulers than a majority can have done so.
    pub(super) fn unrecorded_dispatches(&self, now: Instant, shard: &Id) -> Unrecorded {
        let own_claim = &self.own_claims[shard];
        if own_claim.clean || own_claim.release_doubt_ms == Some(0) {
            return Unrecorded::None;
        }
        if own_claim.release_doubt_ms.is_some() {
            return Unrecorded::Possible;
        }
        let age_ms = self.unclaimed_at.get(shard).map(|at| now.since(*at));
        let window_ms = age_ms.map_or(UNRECORDED_WINDOW_MS, |age_ms| {
            age_ms.min(UNRECORDED_WINDOW_MS)
        });
        let supported_since = own_claim.majority_at.unwrap_or(now);
        let is_clear = self.settlement.is_clear(shard, own_claim.epoch)
            || self.log.unreachable_age_ms >= window_ms;
        let clear = usize::from(is_clear)
            + self
                .peers
                .count_clear(now, supported_since, window_ms, shard);
        match clear + self.settings.majority() > self.settings.schedulers.len() {
            true => Unrecorded::None,
            false => Unrecorded::Possible,
        }
    }
}
