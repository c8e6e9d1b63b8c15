//! Tracks which shards this scheduler is clear of.
//!
//! An owner needs a majority's agreement to grant requests while the log is unreachable (outage
//! mode). A scheduler is clear of a shard if it has not agreed to outage mode since the shard was
//! last settled, that is, since all grants were recorded. If enough schedulers are clear, no
//! unrecorded grants can exist.

use std::collections::BTreeMap;

use super::message::Claim;
use crate::shard::{Epoch, Id};

/// Position of a heartbeat among those of all owners of a shard: by epoch, then by number. An epoch
/// belongs to one incarnation, which numbers its heartbeats.
type Position = (Epoch, u64);

/// Heartbeats about one shard that this incarnation received and supported.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// The last heartbeat that reported the shard as settled.
    settled: Option<Position>,
    /// The last heartbeat whose answer agreed to outage mode.
    agreed: Option<Position>,
    /// The last such heartbeat of an epoch before that of `agreed`.
    agreed_before: Option<Position>,
}

impl Entry {
    fn agree(&mut self, position: Option<Position>) {
        if self.agreed.map(|agreed| agreed.0) < position.map(|position| position.0) {
            self.agreed_before = self.agreed;
        }
        self.agreed = self.agreed.max(position);
    }
}

/// Heartbeats about all shards that this incarnation received and supported. Not persisted: a
/// restarted scheduler is clear of no shard.
#[derive(Clone, Debug, Default)]
pub(super) struct Settlement(BTreeMap<Id, Entry>);

impl Settlement {
    /// Records a claim of heartbeat `sequence` that this scheduler supports.
    ///
    /// A heartbeat of a replaced owner may arrive late, so a settled shard counts only in a
    /// supported claim, and only if the log was read to its end since the start (`caught_up`): any
    /// claim for which an earlier incarnation agreed to outage mode is then known.
    pub(super) fn record_supported(
        &mut self,
        claim: &Claim,
        sequence: u64,
        unreachable: bool,
        caught_up: bool,
    ) {
        let position = Some((claim.epoch, sequence));
        let entry = self.0.entry(claim.shard.clone()).or_default();
        match claim.settled {
            true if caught_up => entry.settled = entry.settled.max(position),
            false if unreachable => entry.agree(position),
            _ => {}
        }
    }

    /// Returns whether a heartbeat reported `shard` as settled and no later heartbeat of an epoch
    /// before `epoch` was answered with agreement to outage mode.
    pub(super) fn is_clear(&self, shard: &Id, epoch: Epoch) -> bool {
        let Some(entry) = self.0.get(shard) else {
            return false;
        };
        let agreed = match entry.agreed {
            Some(agreed) if agreed.0 == epoch => entry.agreed_before,
            agreed => agreed,
        };
        entry.settled.is_some() && agreed <= entry.settled
    }
}
