//! Failure detection: last contact with and last answers of the other schedulers.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::message::{LogView, Support};
use crate::shard::Id;
use crate::time::Instant;
use crate::timing::{RETRY_WINDOW_MS, SUPPORT_MS, SUSPECT_AFTER_MS};

/// Gap between two events that indicates that this process was paused, in milliseconds.
const PAUSE_MS: u64 = 1_000;

/// Milliseconds in which a new process reads the log to its end twice.
const QUIET_MS: u64 = 1_500;

/// Another scheduler.
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
    /// Time at which the heartbeat was sent.
    sent: Instant,
    /// Time at which the answer arrived.
    received: Instant,
    log: LogView,
    clear: Vec<Id>,
    suspects: Vec<Arc<str>>,
}

/// All other schedulers.
#[derive(Clone, Debug)]
pub(super) struct Peers {
    peers: BTreeMap<Arc<str>, Peer>,
    /// Start of the time in which this process has run without a pause.
    listening: Instant,
    last: Instant,
    /// Time at which a peer or a new incarnation of one was last discovered.
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

    /// Records that the process is running at `now`. After a pause, no peer is suspected until
    /// messages of all peers have had time to arrive.
    pub(super) fn running(&mut self, now: Instant) {
        if now.since(self.last) > PAUSE_MS {
            self.listening = now;
        }
        self.last = now;
    }

    pub(super) fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Records a heartbeat. Returns false if the peer is not configured or the incarnation is
    /// outdated.
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

    /// Records an answer to a heartbeat. Returns false if the peer is not configured or the
    /// incarnation is outdated.
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

    /// Returns whether `name` is suspected to be down because no message arrived from it.
    pub(super) fn is_suspect(&self, now: Instant, name: &str) -> bool {
        let heard = self.peers.get(name).and_then(|peer| peer.heard);
        let since = heard.map_or(self.listening, |heard| heard.max(self.listening));
        now.since(since) > SUSPECT_AFTER_MS
    }

    /// Returns whether this process has had time to hear from every live peer.
    pub(super) fn is_settled(&self, now: Instant) -> bool {
        now.since(self.listening) > SUSPECT_AFTER_MS || self.live(now).count() == self.peers.len()
    }

    /// Returns whether every peer has had time to read the log to its end since it was discovered.
    pub(super) fn is_quiet(&self, now: Instant) -> bool {
        now.since(self.newest) >= QUIET_MS
    }

    /// Returns the names of peers that answered a recent heartbeat.
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

    /// Returns the names of suspected peers.
    pub(super) fn suspects(&self, now: Instant) -> Vec<Arc<str>> {
        let suspected = |name: &&Arc<str>| self.is_suspect(now, name);
        self.peers.keys().filter(suspected).cloned().collect()
    }

    /// Returns the number of peers other than `name` that may still receive messages from `name`,
    /// including those without a recent answer.
    pub(super) fn hearers(&self, now: Instant, name: &str) -> usize {
        let deaf = |peer: &Peer| {
            let answer = peer.answer.as_ref();
            let suspects = |answer: &Answer| answer.suspects.iter().any(|s| **s == *name);
            answer.is_some_and(|a| now.since(a.sent) <= SUSPECT_AFTER_MS && suspects(a))
        };
        let others = self.peers.iter().filter(|(peer, _)| &***peer != name);
        others.filter(|(_, peer)| !deaf(peer)).count()
    }

    /// Returns the number of peers that are clear of `shard`, or for which the log did not count as
    /// unreachable within the last `window_ms`. Only answers to heartbeats sent at or after `asked`
    /// count.
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

/// Time before a takeover in which the log must have been reachable to rule out relevant unlogged
/// dispatches, in milliseconds. A dispatch relies on answers that are older by up to the validity
/// of support.
pub(super) const DOUBT_WINDOW_MS: u64 = RETRY_WINDOW_MS + SUPPORT_MS;
