//! A shard that this scheduler has claimed.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::shard::Epoch;
use crate::time::Instant;
use crate::timing::{GRANT_VALID_MS, SUPPORT_MS};

/// The last answer of a supporter, as far as outage mode is concerned.
#[derive(Clone, Copy, Debug)]
pub(super) struct Vote {
    /// Number of the heartbeat that it answers.
    pub(super) sequence: u64,
    /// When that heartbeat was sent.
    pub(super) sent: Instant,
    /// Whether the supporter regarded the log as unreachable.
    pub(super) unreachable: bool,
}

/// A valid claim of this incarnation.
#[derive(Clone, Debug)]
pub(super) struct Mine {
    pub(super) epoch: Epoch,
    /// When the heartbeat was sent that each supporter answered last.
    pub(super) support: BTreeMap<Arc<str>, Instant>,
    /// What each supporter said of the log last.
    pub(super) votes: BTreeMap<Arc<str>, Vote>,
    /// Number of the last heartbeat that reported the shard as settled, 0 if none did.
    pub(super) settled: u64,
    /// Permits to grant without the log whose records are not in the log yet.
    pub(super) unlogged: u64,
    /// Whether the shard had no earlier owner.
    pub(super) clean: bool,
    /// Unrecorded stated by the previous owner, if it released the shard.
    pub(super) released: Option<u64>,
    pub(super) majority_at: Option<Instant>,
    pub(super) active: bool,
    pub(super) started: bool,
    pub(super) releasing: bool,
    pub(super) doubt_until: Instant,
    pub(super) restate_at: Instant,
}

impl Mine {
    pub(super) fn supported_until(&self, majority: usize) -> Instant {
        let mut sent: Vec<Instant> = self.support.values().copied().collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        let weakest = majority.checked_sub(1).and_then(|index| sent.get(index));
        weakest.map_or(Instant(0), |sent| *sent + SUPPORT_MS)
    }

    /// Notes that `name` supports the claim.
    pub(super) fn support(&mut self, name: &Arc<str>, vote: Vote) {
        let last = self.support.entry(name.clone()).or_insert(vote.sent);
        *last = vote.sent.max(*last);
        let last = self.votes.entry(name.clone()).or_insert(vote);
        if vote.sequence >= last.sequence {
            *last = vote;
        }
    }

    /// Returns the number of schedulers that agree to outage mode. An answer to a heartbeat before
    /// the last one that reported the shard as settled doesn't count: the supporter may regard
    /// itself as clear again.
    pub(super) fn agreeing(&self, now: Instant) -> usize {
        let votes = self.votes.values();
        let valid = votes.filter(|vote| now < vote.sent + SUPPORT_MS);
        valid
            .filter(|vote| vote.unreachable && vote.sequence > self.settled)
            .count()
    }

    /// Tells whether no request that this or an earlier owner granted can be missing in the log.
    pub(super) fn is_settled(&self, now: Instant, unreachable: bool) -> bool {
        self.active && !unreachable && self.unlogged == 0 && now >= self.doubt_until
    }

    pub(super) fn wait_ms(&self) -> u64 {
        match self.clean || self.released.is_some() {
            true => 0,
            false => GRANT_VALID_MS,
        }
    }
}
