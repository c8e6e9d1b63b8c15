//! Failure detector: tracks the last message and the last answer of each other scheduler.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::message::{LogView, Support};
use crate::shard::Id;
use crate::time::Instant;
use crate::timing::{RETRY_WINDOW_MS, SUPPORT_MS, SUSPECT_AFTER_MS};

/// Gap between two events from which this process counts as paused, in milliseconds.
const PAUSE_DETECTED_MS: u64 = 1_000;

/// Milliseconds in which a new process reads the log to its end twice.
const CATCH_UP_MS: u64 = 1_500;

/// Another scheduler.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    pub(super) incarnation: u64,
    pub(super) stopping: bool,
    last_heard: Option<Instant>,
    last_answer: Option<Answer>,
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
    /// Time since which this process has run without a pause.
    listening_since: Instant,
    last_event: Instant,
    /// Time at which a peer or a new incarnation of one was last discovered.
    last_discovery: Instant,
}

impl Peers {
    pub(super) fn new(now: Instant, names: impl Iterator<Item = Arc<str>>) -> Self {
        Self {
            peers: names.map(|name| (name, Peer::default())).collect(),
            listening_since: now,
            last_event: now,
            last_discovery: now,
        }
    }

    /// Records that the process is running at `now`. After a pause, no peer is suspected until
    /// messages of all peers have had time to arrive.
    pub(super) fn observe_time(&mut self, now: Instant) {
        if now.since(self.last_event) > PAUSE_DETECTED_MS {
            self.listening_since = now;
        }
        self.last_event = now;
    }

    pub(super) fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Records a heartbeat. Returns false if the peer is not configured or the incarnation is
    /// outdated.
    pub(super) fn record_heartbeat(
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
            peer.last_answer = None;
            self.last_discovery = now;
        }
        peer.incarnation = incarnation;
        peer.stopping = stopping;
        peer.last_heard = Some(now);
        true
    }

    /// Records an answer to a heartbeat. Returns false if the peer is not configured or the
    /// incarnation is outdated.
    pub(super) fn record_answer(&mut self, now: Instant, sent: Instant, support: &Support) -> bool {
        let Some(peer) = self.peers.get_mut(&support.node) else {
            return false;
        };
        if support.incarnation < peer.incarnation {
            return false;
        }
        if support.incarnation > peer.incarnation {
            self.last_discovery = now;
        }
        peer.incarnation = support.incarnation;
        peer.last_heard = Some(now);
        if peer
            .last_answer
            .as_ref()
            .is_some_and(|last| last.sent > sent)
        {
            return true;
        }
        peer.last_answer = Some(Answer {
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
        let heard = self.peers.get(name).and_then(|peer| peer.last_heard);
        let since = heard.map_or(self.listening_since, |heard| {
            heard.max(self.listening_since)
        });
        now.since(since) > SUSPECT_AFTER_MS
    }

    /// Returns whether this process has had time to hear from every live peer.
    pub(super) fn has_heard_peers(&self, now: Instant) -> bool {
        now.since(self.listening_since) > SUSPECT_AFTER_MS
            || self.live(now).count() == self.peers.len()
    }

    /// Returns whether every peer has had time to read the log to its end since it was discovered.
    pub(super) fn is_stable(&self, now: Instant) -> bool {
        now.since(self.last_discovery) >= CATCH_UP_MS
    }

    /// Returns the names of peers that answered a recent heartbeat.
    pub(super) fn live(&self, now: Instant) -> impl Iterator<Item = &Arc<str>> {
        let is_recent = move |peer: &Peer| {
            let answer = peer.last_answer.as_ref();
            answer.is_some_and(|answer| now.since(answer.sent) <= SUSPECT_AFTER_MS)
        };
        self.peers
            .iter()
            .filter(move |(_, peer)| is_recent(peer))
            .map(|(name, _)| name)
    }

    /// Returns the names of suspected peers.
    pub(super) fn suspects(&self, now: Instant) -> Vec<Arc<str>> {
        let suspected = |name: &&Arc<str>| self.is_suspect(now, name);
        self.peers.keys().filter(suspected).cloned().collect()
    }

    /// Returns the number of peers other than `name` that may still receive messages from `name`,
    /// including those without a recent answer.
    pub(super) fn count_receiving(&self, now: Instant, name: &str) -> usize {
        let suspecting = |peer: &Peer| {
            let answer = peer.last_answer.as_ref();
            let suspects = |answer: &Answer| answer.suspects.iter().any(|s| **s == *name);
            answer.is_some_and(|a| now.since(a.sent) <= SUSPECT_AFTER_MS && suspects(a))
        };
        let others = self.peers.iter().filter(|(peer, _)| &***peer != name);
        others.filter(|(_, peer)| !suspecting(peer)).count()
    }

    /// Returns the number of peers that are clear of `shard`, or for which the log did not count as
    /// unreachable within the last `window_ms`. Only answers to heartbeats sent at or after
    /// `sent_from` count.
    pub(super) fn count_clear(
        &self,
        now: Instant,
        sent_from: Instant,
        window_ms: u64,
        shard: &Id,
    ) -> usize {
        let clear = |peer: &&Peer| {
            let Some(answer) = &peer.last_answer else {
                return false;
            };
            let last_unreachable = answer.received - answer.log.unreachable_age_ms;
            let clear = answer.clear.contains(shard) || now.since(last_unreachable) >= window_ms;
            answer.sent >= sent_from && clear
        };
        self.peers.values().filter(clear).count()
    }
}

/// Time before a takeover in which the log must have been reachable to rule out relevant unlogged
/// dispatches, in milliseconds. A dispatch relies on answers that are older by up to the validity
/// of support.
pub(super) const UNRECORDED_WINDOW_MS: u64 = RETRY_WINDOW_MS + SUPPORT_MS;
