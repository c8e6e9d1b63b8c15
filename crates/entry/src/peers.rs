//! Other entry processes that may claim a shard, without I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time for which a process without a link counts as one that may have claimed a shard, in
/// milliseconds. Every process links to the owners as soon as it reads the claims.
const MEMORY_MS: u64 = 10_000;

/// Time after which a process without a link is forgotten, in milliseconds. Longer than outages of the
/// log, in which the last proof stays as old as the outage.
const FORGET_MS: u64 = 600_000;

/// Links with one process.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    open: u32,
    /// Time at which the last link was closed.
    closed_ms: u64,
    /// Whether the process announced that it ends.
    leaving: bool,
}

/// The processes with which this one has or had links.
#[derive(Debug, Default)]
pub struct Known {
    contacts: BTreeMap<Arc<str>, Contact>,
}

impl Known {
    /// Records that a link with a process was opened.
    pub fn opened(&mut self, node: &Arc<str>) {
        let contact = self.contacts.entry(node.clone()).or_default();
        contact.open += 1;
        contact.leaving = false;
    }

    /// Records that a link with a process was closed.
    pub fn closed(&mut self, node: &str, now_ms: u64) {
        if let Some(contact) = self.contacts.get_mut(node) {
            contact.open = contact.open.saturating_sub(1);
            contact.closed_ms = now_ms;
        }
        self.contacts.retain(|_, contact| {
            contact.open > 0 || !contact.leaving && now_ms < contact.closed_ms + FORGET_MS
        });
    }

    /// Records that a process announced that it ends and claims no shard any more.
    pub fn leaves(&mut self, node: &str) {
        if let Some(contact) = self.contacts.get_mut(node) {
            contact.leaving = true;
        }
    }

    /// Returns the processes that may have claimed a shard at some time since `since_ms`.
    #[must_use]
    pub fn since(&self, since_ms: u64) -> BTreeSet<Arc<str>> {
        let may_claim = |contact: &Contact| {
            !contact.leaving && (contact.open > 0 || contact.closed_ms + MEMORY_MS > since_ms)
        };
        let known = self.contacts.iter();
        known
            .filter(|(_, contact)| may_claim(contact))
            .map(|(node, _)| node.clone())
            .collect()
    }
}
