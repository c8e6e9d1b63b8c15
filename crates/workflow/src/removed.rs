//! Workers that were removed: calls for them may still reach a worker that starts again under the same
//! id.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::host::Host;
use crate::incarnation::Restart;
use crate::shard::Shard;

/// What is kept about a removed worker.
#[derive(Clone, Copy, Debug)]
struct Entry {
    incarnation: u64,
    restart: Restart,
    /// Time on the owner's clock until which calls for it may be carried out, or a lease that they
    /// lengthened may last, in milliseconds.
    late_until_ms: u64,
}

/// Workers that were removed.
#[derive(Debug, Default)]
pub(crate) struct Removed {
    workers: BTreeMap<Arc<str>, Entry>,
    /// Highest token increments of a removed worker. A worker that is listed again has seen its
    /// earlier tokens and rejects lower ones.
    increments: u64,
}

impl Removed {
    /// Keeps what is needed of a worker that this owner used.
    pub(crate) fn add(&mut self, host: &Host) {
        self.increments = self.increments.max(host.token_increments);
        let entry = Entry {
            incarnation: host.worker.incarnation,
            restart: host.restart,
            late_until_ms: host.lease.affected_until(),
        };
        self.workers.insert(host.id(), entry);
    }

    /// Keeps a worker that a previous owner removed. Until when calls for it may be carried out is
    /// set once that owner is fenced.
    pub(crate) fn add_recorded(&mut self, worker: Arc<str>, incarnation: u64, restart: Restart) {
        let entry = Entry {
            incarnation,
            restart,
            late_until_ms: u64::MAX,
        };
        self.workers.insert(worker, entry);
    }

    /// Records that calls of previous owners may be carried out until `late_until_ms`.
    pub(crate) fn fenced(&mut self, late_until_ms: u64) {
        for entry in self.workers.values_mut() {
            entry.late_until_ms = entry.late_until_ms.min(late_until_ms);
        }
    }

    pub(crate) fn increments(&self) -> u64 {
        self.increments
    }

    pub(crate) fn forget(&mut self, worker: &str) {
        self.workers.remove(worker);
    }

    /// Forgets the workers that no call can reach any more.
    pub(crate) fn forget_unreachable(&mut self, now_ms: u64) {
        self.workers.retain(|_, entry| now_ms < entry.late_until_ms);
    }
}

impl Shard {
    /// Lets a worker that is listed again in another incarnation count as started again.
    pub(crate) fn restore_removed(&mut self, id: &str, now_ms: u64) {
        let entry = self.removed.workers.get(id).copied();
        self.removed.forget(id);
        let (Some(entry), Some(host)) = (entry, self.hosts.get_mut(id)) else {
            return;
        };
        host.lease.call_unanswered(entry.late_until_ms);
        let is_other = entry.incarnation != host.worker.incarnation;
        if (is_other || !entry.restart.is_none()) && now_ms < entry.late_until_ms {
            host.count_as_restarted(now_ms);
        }
    }
}
