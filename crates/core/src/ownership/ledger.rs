//! Current epoch and owner of every shard, built from the cell stream.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::record::{Cell, Offset};
use crate::shard::{Epoch, Id};

/// The current epoch of a shard and its owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ownership {
    /// Epoch.
    pub epoch: Epoch,
    /// Scheduler that claimed the shard.
    pub owner: Arc<str>,
    /// Incarnation of the owner.
    pub incarnation: u64,
    /// Whether the owner released the shard.
    pub released: bool,
    /// `doubt_ms` of the owner's release record.
    pub doubt_ms: u64,
    /// Offset of the last record that contains this claim.
    pub published: Offset,
    /// Whether the previous epoch is unknown, so that a `Standing` record may replace this claim.
    tentative: bool,
}

impl Ownership {
    /// Returns whether the previous epoch is unknown to the reader.
    pub(super) fn is_tentative(&self) -> bool {
        self.tentative
    }
}

/// Effect of a record at its offset.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The claim is valid and creates a new epoch.
    Claimed,
    /// The record was applied before.
    AlreadyApplied,
    /// The owner released the shard.
    Released,
    /// The record repeats the current claim, or establishes it for a reader that missed the claim.
    Republished,
    /// The record was written by the current owner.
    Valid,
    /// The record has no effect.
    Void,
}

/// Epoch and owner of every shard at an offset of the cell stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ledger {
    offset: Offset,
    /// Whether records expired before they were read, or the ledger was restored from a peer.
    partial: bool,
    ownerships: BTreeMap<Id, Ownership>,
}

impl Ledger {
    /// Creates the ledger from a peer's state at `offset`.
    #[must_use]
    pub fn restore(
        offset: Offset,
        owners: impl IntoIterator<Item = (Id, Epoch, Arc<str>, u64)>,
    ) -> Self {
        let ownership = |(shard, epoch, owner, incarnation)| {
            let ownership = Ownership {
                epoch,
                owner,
                incarnation,
                released: false,
                doubt_ms: 0,
                published: offset,
                tentative: false,
            };
            (shard, ownership)
        };
        Self {
            offset,
            partial: true,
            ownerships: owners.into_iter().map(ownership).collect(),
        }
    }

    /// Returns the offset of the last record applied.
    #[must_use]
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// Returns the current claim of `shard`.
    #[must_use]
    pub fn get(&self, shard: &Id) -> Option<&Ownership> {
        self.ownerships.get(shard)
    }

    /// Returns the current epoch of `shard`, or [`Epoch::NONE`].
    #[must_use]
    pub fn epoch(&self, shard: &Id) -> Epoch {
        self.get(shard)
            .map_or(Epoch::NONE, |ownership| ownership.epoch)
    }

    /// Returns the owner of `shard` unless it was released.
    #[must_use]
    pub fn owner(&self, shard: &Id) -> Option<&Arc<str>> {
        self.get(shard)
            .filter(|ownership| !ownership.released)
            .map(|ownership| &ownership.owner)
    }

    /// Returns all claimed shards.
    pub fn iter(&self) -> impl Iterator<Item = (&Id, &Ownership)> {
        self.ownerships.iter()
    }

    /// Returns whether expired records may have created epochs that are unknown to the reader.
    pub(super) fn is_partial(&self) -> bool {
        self.partial
    }

    /// Marks the ledger as partial, because records expired from the log before they were read.
    pub fn records_expired(&mut self) {
        self.partial = true;
    }

    /// Applies the record at `offset` and returns its effect.
    pub fn apply(&mut self, offset: Offset, record: &Cell) -> Verdict {
        if offset <= self.offset {
            return Verdict::AlreadyApplied;
        }
        self.offset = offset;
        match record {
            Cell::Claim {
                shard,
                previous,
                owner,
                incarnation,
            } => self.claim(offset, shard, *previous, owner, *incarnation),
            Cell::Release {
                shard,
                epoch,
                doubt_ms,
            } => self.release(shard, *epoch, *doubt_ms),
            Cell::Standing {
                shard,
                epoch,
                owner,
                incarnation,
            } => self.republish(offset, shard, *epoch, owner, *incarnation),
            Cell::Cancelled { shard, epoch, .. }
            | Cell::Ended { shard, epoch, .. }
            | Cell::Finished { shard, epoch, .. }
            | Cell::Granted { shard, epoch, .. }
            | Cell::Intent { shard, epoch, .. }
            | Cell::Submitted { shard, epoch, .. } => self.check_epoch(shard, *epoch),
        }
    }

    fn claim(
        &mut self,
        offset: Offset,
        shard: &Id,
        previous: Epoch,
        owner: &Arc<str>,
        incarnation: u64,
    ) -> Verdict {
        let unknown = self.partial && !self.ownerships.contains_key(shard);
        if !unknown && previous != self.epoch(shard) {
            return Verdict::Void;
        }
        let ownership = Ownership {
            epoch: Epoch(offset),
            owner: owner.clone(),
            incarnation,
            released: false,
            doubt_ms: 0,
            published: offset,
            tentative: unknown,
        };
        self.ownerships.insert(shard.clone(), ownership);
        Verdict::Claimed
    }

    fn release(&mut self, shard: &Id, epoch: Epoch, doubt_ms: u64) -> Verdict {
        match self.ownerships.get_mut(shard) {
            Some(ownership) if ownership.epoch == epoch && !ownership.released => {
                ownership.released = true;
                ownership.doubt_ms = doubt_ms;
                Verdict::Released
            }
            _ => Verdict::Void,
        }
    }

    fn republish(
        &mut self,
        offset: Offset,
        shard: &Id,
        epoch: Epoch,
        owner: &Arc<str>,
        incarnation: u64,
    ) -> Verdict {
        let establishes = match self.ownerships.get_mut(shard) {
            Some(ownership) if ownership.epoch == epoch && !ownership.released => {
                ownership.published = offset;
                ownership.tentative = false;
                return Verdict::Republished;
            }
            Some(ownership) => ownership.tentative || (self.partial && epoch > ownership.epoch),
            None => self.partial,
        };
        if !establishes {
            return Verdict::Void;
        }
        let ownership = Ownership {
            epoch,
            owner: owner.clone(),
            incarnation,
            released: false,
            doubt_ms: 0,
            published: offset,
            tentative: false,
        };
        self.ownerships.insert(shard.clone(), ownership);
        Verdict::Republished
    }

    /// Returns whether a record was written by the current owner. If the shard's epoch is unknown
    /// because the claim has expired, the record is accepted: its owner republishes the claim soon.
    fn check_epoch(&self, shard: &Id, epoch: Epoch) -> Verdict {
        let valid = match self.ownerships.get(shard) {
            Some(ownership) => ownership.epoch == epoch && !ownership.released,
            None => self.partial,
        };
        match valid {
            true => Verdict::Valid,
            false => Verdict::Void,
        }
    }
}
