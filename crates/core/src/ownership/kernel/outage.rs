//! Outage mode: grants while the log is unreachable, and whether earlier owners may have left
//! unrecorded ones.

use super::Kernel;
use crate::ownership::action::Unrecorded;
use crate::ownership::peers::DOUBT_WINDOW_MS;
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
        let mine = self.mine.get_mut(shard);
        let Some(mine) = mine.filter(|mine| mine.active && mine.epoch == epoch) else {
            return false;
        };
        let permitted = self.log.unreachable && mine.agreeing(now) >= self.settings.majority();
        mine.unlogged += u64::from(permitted);
        permitted
    }

    /// Records that `count` allowed grants are in the log now or were not used.
    pub fn confirm_unlogged_grants(&mut self, shard: &Id, epoch: Epoch, count: u64) {
        let mine = self.mine.get_mut(shard);
        if let Some(mine) = mine.filter(|mine| mine.epoch == epoch) {
            mine.unlogged = mine.unlogged.saturating_sub(count);
        }
    }

    /// Returns whether earlier owners may have dispatched requests that are not in the log.
    ///
    /// A majority must have agreed to that since the shard was last settled, and within the window.
    /// It is ruled out if fewer schedulers than a majority can have done so.
    pub(super) fn doubt(&self, now: Instant, shard: &Id) -> Unrecorded {
        let mine = &self.mine[shard];
        if mine.clean || mine.released == Some(0) {
            return Unrecorded::None;
        }
        if mine.released.is_some() {
            return Unrecorded::Possible;
        }
        let age = self.born.get(shard).map(|born| now.since(*born));
        let window = age.map_or(DOUBT_WINDOW_MS, |age| age.min(DOUBT_WINDOW_MS));
        let asked = mine.majority_at.unwrap_or(now);
        let own =
            self.settlement.is_clear(shard, mine.epoch) || self.log.unreachable_age_ms >= window;
        let clear = usize::from(own) + self.peers.without_doubt(now, asked, window, shard);
        match clear + self.settings.majority() > self.settings.schedulers.len() {
            true => Unrecorded::None,
            false => Unrecorded::Possible,
        }
    }
}
