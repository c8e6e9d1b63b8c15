//! Which shards this scheduler is clear of: whose earlier owners it can't have helped to grant
//! requests that are not in the log.

use std::collections::BTreeMap;

use super::message::Claim;
use crate::shard::{Epoch, Id};

/// Position of a heartbeat among those of all owners of a shard. A newer epoch is later; an epoch
/// belongs to one incarnation, whose heartbeats are numbered.
type Position = (Epoch, u64);

/// What this incarnation heard and answered about one shard.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// The last heartbeat that reported the shard as settled.
    settled: Option<Position>,
    /// The last heartbeat in answer to which this scheduler agreed to outage mode.
    agreed: Option<Position>,
    /// The last one of an epoch before that of `agreed`.
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

/// What this incarnation heard and answered about all shards. Volatile: a restarted scheduler is
/// clear of nothing.
#[derive(Clone, Debug, Default)]
pub(super) struct Settlement(BTreeMap<Id, Entry>);

impl Settlement {
    /// Notes a claim of heartbeat `sequence` that this scheduler answers with support.
    ///
    /// An owner that was replaced may still send a heartbeat from the time before, so a report of a
    /// settled shard counts only for a supported claim, and only if the log was read to its end
    /// since the start (`caught_up`): a claim that an earlier incarnation agreed to was in it.
    pub(super) fn supported(
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

    /// Tells whether this scheduler heard that `shard` is settled and did not agree to outage mode
    /// in answer to a later heartbeat of an epoch before `epoch`.
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
