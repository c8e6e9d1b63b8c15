//! What this scheduler knows of the others.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::message::{LogView, Support};
use crate::shard::Id;
use crate::time::Instant;
use crate::timing::{RETRY_WINDOW_MS, SUPPORT_MS, SUSPECT_AFTER_MS};

/// Gap between two events after which this process is taken to have been paused, in milliseconds.
const PAUSE_MS: u64 = 1_000;

/// Milliseconds that a new process needs to follow the log to its end twice.
const QUIET_MS: u64 = 1_500;

/// One other scheduler.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    pub(super) incarnation: u64,
    pub(super) stopping: bool,
    heard: Option<Instant>,
    answer: Option<Answer>,
}

/// The last answer of a peer to a heartbeat.
#[derive(Clone, Debug)]
struct Answer {
    /// When the heartbeat was sent.
    sent: Instant,
    /// When the answer arrived.
    received: Instant,
    log: LogView,
    clear: Vec<Id>,
    suspects: Vec<Arc<str>>,
}

/// All other schedulers.
#[derive(Clone, Debug)]
pub(super) struct Peers {
    peers: BTreeMap<Arc<str>, Peer>,
    /// Since when this process listens without a pause.
    listening: Instant,
    last: Instant,
    /// When the last peer or new incarnation of a peer appeared.
    newest: Instant,
}

impl Peers {
    pub(super) fn new(now: Instant, names: impl Iterator<Item = Arc<str>>) -> Self {
        Self {
            peers: names.map(|name| (name, Peer::default())).collect(),
            listening: now,
            last: now,
            newest: now,
        }
    }

    /// Notes that the process runs at `now`. After a pause nobody is suspected until the others had
    /// time to be heard again.
    pub(super) fn running(&mut self, now: Instant) {
        if now.since(self.last) > PAUSE_MS {
            self.listening = now;
        }
        self.last = now;
    }

    pub(super) fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Notes a heartbeat. Returns whether the peer is configured and the incarnation is not an old
    /// one.
    pub(super) fn beat(
        &mut self,
        now: Instant,
        name: &str,
        incarnation: u64,
        stopping: bool,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        if incarnation < peer.incarnation {
            return false;
        }
        if incarnation > peer.incarnation {
            peer.answer = None;
            self.newest = now;
        }
        peer.incarnation = incarnation;
        peer.stopping = stopping;
        peer.heard = Some(now);
        true
    }

    /// Notes an answer to a heartbeat. Returns whether it counts.
    pub(super) fn answered(&mut self, now: Instant, sent: Instant, support: &Support) -> bool {
        let Some(peer) = self.peers.get_mut(&support.node) else {
            return false;
        };
        if support.incarnation < peer.incarnation {
            return false;
        }
        if support.incarnation > peer.incarnation {
            self.newest = now;
        }
        peer.incarnation = support.incarnation;
        peer.heard = Some(now);
        if peer.answer.as_ref().is_some_and(|last| last.sent > sent) {
            return true;
        }
        peer.answer = Some(Answer {
            sent,
            received: now,
            log: support.log,
            clear: support.clear.clone(),
            suspects: support.suspects.clone(),
        });
        true
    }

    /// Tells whether nothing was heard of `name` for so long that it may be down.
    pub(super) fn is_suspect(&self, now: Instant, name: &str) -> bool {
        let heard = self.peers.get(name).and_then(|peer| peer.heard);
        let since = heard.map_or(self.listening, |heard| heard.max(self.listening));
        now.since(since) > SUSPECT_AFTER_MS
    }

    /// Tells whether this process has listened long enough for every live peer to be heard.
    pub(super) fn is_settled(&self, now: Instant) -> bool {
        now.since(self.listening) > SUSPECT_AFTER_MS || self.live(now).count() == self.peers.len()
    }

    /// Tells whether every peer had time to read the log to its end since it appeared.
    pub(super) fn is_quiet(&self, now: Instant) -> bool {
        now.since(self.newest) >= QUIET_MS
    }

    /// Returns the names of peers that answered a heartbeat of late.
    pub(super) fn live(&self, now: Instant) -> impl Iterator<Item = &Arc<str>> {
        let fresh = move |peer: &Peer| {
            let answer = peer.answer.as_ref();
            answer.is_some_and(|answer| now.since(answer.sent) <= SUSPECT_AFTER_MS)
        };
        self.peers
            .iter()
            .filter(move |(_, peer)| fresh(peer))
            .map(|(name, _)| name)
    }

    /// Returns the names of suspected peers, as this process tells others.
    pub(super) fn suspects(&self, now: Instant) -> Vec<Arc<str>> {
        let suspected = |name: &&Arc<str>| self.is_suspect(now, name);
        self.peers.keys().filter(suspected).cloned().collect()
    }

    /// Returns the number of peers other than `name` that may hear `name`. A peer without a fresh
    /// answer may.
    pub(super) fn hearers(&self, now: Instant, name: &str) -> usize {
        let deaf = |peer: &Peer| {
            let answer = peer.answer.as_ref();
            let suspects = |answer: &Answer| answer.suspects.iter().any(|s| **s == *name);
            answer.is_some_and(|a| now.since(a.sent) <= SUSPECT_AFTER_MS && suspects(a))
        };
        let others = self.peers.iter().filter(|(peer, _)| &***peer != name);
        others.filter(|(_, peer)| !deaf(peer)).count()
    }

    /// Returns the number of peers that are clear of `shard`, or certainly did not regard the log as
    /// unreachable within `window_ms` before now, as they said in answers to heartbeats sent at or
    /// after `asked`.
    pub(super) fn without_doubt(
        &self,
        now: Instant,
        asked: Instant,
        window_ms: u64,
        shard: &Id,
    ) -> usize {
        let clear = |peer: &&Peer| {
            let Some(answer) = &peer.answer else {
                return false;
            };
            let doubtful = answer.received - answer.log.unreachable_age_ms;
            let clear = answer.clear.contains(shard) || now.since(doubtful) >= window_ms;
            answer.sent >= asked && clear
        };
        self.peers.values().filter(clear).count()
    }
}

/// Window before a takeover in which unlogged dispatches matter, in milliseconds. A dispatch relies
/// on answers that are up to the validity of support older.
pub(super) const DOUBT_WINDOW_MS: u64 = RETRY_WINDOW_MS + SUPPORT_MS;
