//! Current owners of shards, as published by the schedulers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use rosemaryworks_core::shard::{Epoch, Id};
use tokio::sync::watch;

use crate::events;

/// Owner of a shard in an epoch. The name is `None` after the owner released the shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Owner {
    pub(crate) epoch: Epoch,
    pub(crate) name: Option<Arc<str>>,
}

/// Owners of all shards. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Owners(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    owners: Mutex<HashMap<Id, Owner>>,
    changes: watch::Sender<u64>,
}

impl Owners {
    /// Returns the last known owner of `shard`.
    pub(crate) fn get(&self, shard: &Id) -> Option<Owner> {
        self.with(|owners| owners.get(shard).cloned())
    }

    /// Returns the name of the owner of `shard`, or `None` if it currently has no known owner.
    pub(crate) fn name(&self, shard: &Id) -> Option<Arc<str>> {
        self.get(shard)?.name
    }

    /// Records the owner that a scheduler published. Ignores earlier epochs.
    pub(crate) fn update(&self, shard: &Id, epoch: Epoch, name: Option<Arc<str>>) {
        let owner = Owner { epoch, name };
        let changed = self.with(|owners| {
            let current = owners.get(shard);
            let newer = current.is_none_or(|current| supersedes(&owner, current));
            if newer {
                owners.insert(shard.clone(), owner.clone());
            }
            newer
        });
        if changed {
            let name = owner.name.as_deref().unwrap_or("none");
            events::OWNER_CHANGED.log(format_args!("shard={shard} epoch={epoch} owner={name}"));
            self.wake_waiters();
        }
    }

    /// Wakes all tasks that wait for a change of an owner or a link.
    pub(crate) fn wake_waiters(&self) {
        self.0.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified of every later change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.0.changes.subscribe()
    }

    fn with<T>(&self, operation: impl FnOnce(&mut HashMap<Id, Owner>) -> T) -> T {
        operation(&mut self.0.owners.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Returns whether `new` replaces `current`. Within an epoch, only a release does.
fn supersedes(new: &Owner, current: &Owner) -> bool {
    let released = new.epoch == current.epoch && new.name.is_none() && current.name.is_some();
    new.epoch > current.epoch || released
}
