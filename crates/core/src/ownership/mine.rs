//! A shard that this scheduler has claimed.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::shard::Epoch;
use crate::time::Instant;
use crate::timing::{GRANT_VALID_MS, SUPPORT_MS};

/// A valid claim of this incarnation.
#[derive(Clone, Debug)]
pub(super) struct Mine {
    pub(super) epoch: Epoch,
    /// When the heartbeat was sent that each supporter answered last.
    pub(super) support: BTreeMap<Arc<str>, Instant>,
    /// Whether the shard had no earlier owner.
    pub(super) clean: bool,
    /// Doubt stated by the previous owner, if it released the shard.
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

    pub(super) fn wait_ms(&self) -> u64 {
        match self.clean || self.released.is_some() {
            true => 0,
            false => GRANT_VALID_MS,
        }
    }
}
