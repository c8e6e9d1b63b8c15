//! Table of the slots taken in a shard.

use std::collections::BTreeMap;

use super::tenant::Waiting;
use super::{Key, Slot};
use crate::time::Instant;

/// What a taken slot is used for.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// No gateway will report on the grant; the request may still run at the instance.
    Unresolved {
        /// Time after which the gateway sends nothing more to the instance for this grant, apart
        /// from requests in flight.
        since: Instant,
        /// Time by which the request must have ended.
        until: Instant,
    },
    /// A gateway holds the grant and will report on it.
    Granted,
    /// A gateway holds the grant, which was made in an earlier epoch.
    Outstanding,
    /// Reserved for a slot request whose intent is being written.
    Reserved(Box<Waiting>),
}

/// A taken slot.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    /// Index of the instance.
    pub(crate) instance: usize,
    /// Index of the contract.
    pub(crate) tenant: usize,
    /// Identity of the slot request.
    pub(crate) key: Key,
    /// Time at which the slot was taken.
    pub(crate) since: Instant,
    /// Slot time charged to the contract, in milliseconds.
    pub(crate) charged: f64,
    /// What the slot is used for.
    pub(crate) phase: Phase,
}

/// The slots taken in a shard, numbered in the order in which they were taken.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    last: Slot,
    held: BTreeMap<Slot, Held>,
}

impl Slots {
    /// Adds a slot and returns its number.
    pub(crate) fn add(&mut self, held: Held) -> Slot {
        self.last += 1;
        self.held.insert(self.last, held);
        self.last
    }

    /// Returns the state of a slot.
    pub(crate) fn get_mut(&mut self, slot: Slot) -> Option<&mut Held> {
        self.held.get_mut(&slot)
    }

    /// Returns the state of a slot.
    pub(crate) fn get(&self, slot: Slot) -> Option<&Held> {
        self.held.get(&slot)
    }

    /// Removes a slot.
    pub(crate) fn remove(&mut self, slot: Slot) -> Option<Held> {
        self.held.remove(&slot)
    }

    /// Returns the slots that match `filter`.
    pub(crate) fn select(&self, filter: impl Fn(&Held) -> bool) -> Vec<Slot> {
        let chosen = self.held.iter().filter(|(_, held)| filter(held));
        chosen.map(|(slot, _)| *slot).collect()
    }

    /// Returns the first slot taken after `limit`.
    pub(crate) fn first_after(&self, limit: Instant) -> Option<&Held> {
        self.held.values().find(|held| held.since > limit)
    }

    /// Returns the slots taken at `limit` or before.
    pub(crate) fn taken_before(&self, limit: Instant) -> Vec<Slot> {
        let old = self.held.iter().take_while(|(_, held)| held.since <= limit);
        old.map(|(slot, _)| *slot).collect()
    }
}
