//! State of a shard that this scheduler has claimed.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::shard::Epoch;
use crate::time::Instant;
use crate::timing::{GRANT_VALID_MS, SUPPORT_MS};

/// The last answer of a supporter, for the decision on outage mode.
#[derive(Clone, Copy, Debug)]
pub(super) struct Vote {
    /// Number of the answered heartbeat.
    pub(super) sequence: u64,
    /// Time at which that heartbeat was sent.
    pub(super) sent: Instant,
    /// Whether the log counted as unreachable for the supporter.
    pub(super) unreachable: bool,
}

/// A valid claim by this incarnation of the scheduler.
#[derive(Clone, Debug)]
pub(super) struct OwnClaim {
    pub(super) epoch: Epoch,
    /// Send time of the last heartbeat that each supporter answered.
    pub(super) supported_at: BTreeMap<Arc<str>, Instant>,
    /// Last answer of each supporter.
    pub(super) votes: BTreeMap<Arc<str>, Vote>,
    /// Number of the last heartbeat that reported the shard as settled, 0 if none did.
    pub(super) settled_sequence: u64,
    /// Grants made without the log that are not recorded yet.
    pub(super) unlogged: u64,
    /// Whether the shard had no earlier owner.
    pub(super) clean: bool,
    /// `doubt_ms` of the previous owner's release record, if it released the shard.
    pub(super) release_doubt_ms: Option<u64>,
    /// Time at which a majority first supported the claim.
    pub(super) majority_at: Option<Instant>,
    /// Whether this scheduler acts as the owner now.
    pub(super) active: bool,
    /// Whether this scheduler has acted as the owner in this epoch.
    pub(super) started: bool,
    /// Whether the process is stopping and releases the shard.
    pub(super) releasing: bool,
    /// Time until which dispatches of earlier owners may be unrecorded.
    pub(super) unrecorded_until: Instant,
    /// Time at which to append the claim to the log again.
    pub(super) republish_at: Instant,
}

impl OwnClaim {
    /// Returns until when a majority supports the claim.
    pub(super) fn supported_until(&self, majority: usize) -> Instant {
        let mut sent: Vec<Instant> = self.supported_at.values().copied().collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        let oldest_needed = majority.checked_sub(1).and_then(|index| sent.get(index));
        oldest_needed.map_or(Instant(0), |sent| *sent + SUPPORT_MS)
    }

    /// Records that `name` supports the claim.
    pub(super) fn add_support(&mut self, name: &Arc<str>, vote: Vote) {
        let last = self.supported_at.entry(name.clone()).or_insert(vote.sent);
        *last = vote.sent.max(*last);
        let last = self.votes.entry(name.clone()).or_insert(vote);
        if vote.sequence >= last.sequence {
            *last = vote;
        }
    }

    /// Returns the number of schedulers that agree to outage mode.
    ///
    /// Only answers to heartbeats after the last one that reported the shard as settled count: a
    /// supporter that received that heartbeat may have become clear of the shard again.
    pub(super) fn outage_votes(&self, now: Instant) -> usize {
        let votes = self.votes.values();
        let valid = votes.filter(|vote| now < vote.sent + SUPPORT_MS);
        valid
            .filter(|vote| vote.unreachable && vote.sequence > self.settled_sequence)
            .count()
    }

    /// Returns whether every request granted by this or an earlier owner is recorded in the log.
    pub(super) fn is_settled(&self, now: Instant, unreachable: bool) -> bool {
        self.active && !unreachable && self.unlogged == 0 && now >= self.unrecorded_until
    }

    /// Returns the time from majority support to activation, in which grants of an earlier owner
    /// expire.
    pub(super) fn activation_delay_ms(&self) -> u64 {
        match self.clean || self.release_doubt_ms.is_some() {
            true => 0,
            false => GRANT_VALID_MS,
        }
    }
}
