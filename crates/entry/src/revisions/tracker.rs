//! Which version of the configuration is in force, when it was last confirmed to be the newest, and
//! when other processes are asked for a newer one.

use std::collections::BTreeSet;
use std::time::Duration;

use rosemaryworks_wire::workflow::Revision;

/// Time between two rounds of questions in milliseconds. An owner that the log rejects learns a version
/// within one round, and the processes with a link to it within another one.
pub const ROUND_MS: u64 = 400;

/// Age of its last confirmation up to which a process without a configuration accepts one from another
/// process, in milliseconds. Requests that are sent later than this after a revision must not be
/// handled by an older one.
pub const FRESH_MS: u64 = 3_000;

/// Time-out of a fetched configuration beyond the time for which a narrow link carries it.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Rate at which a configuration arrives at least, in bytes per millisecond, which is 1 Mbit/s.
const FETCH_RATE_MIN: u64 = 125;

/// Processes that are asked in a round beside the owners. The log may reject a third of the VMs, so
/// that four in a row are rejected in about one round of a hundred.
const SAMPLED_MAX: usize = 4;

/// Upper bound of the owners that are asked in a round.
const OWNERS_MAX: usize = 8;

/// A read of the log whose failure shows that configurations may be missed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// Read of the claims, which fails sooner than a read that waits for a revision.
    Claims,
    /// Read of the configuration.
    Configuration,
}

/// Other processes with an open link.
#[derive(Clone, Debug)]
pub struct Peers<T> {
    /// Owners of shards.
    pub owners: Vec<T>,
    /// Processes that opened a link to this one, because it owns a shard.
    pub others: Vec<T>,
}

/// What to make of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Judgement {
    /// The version in force is confirmed.
    Confirm,
    /// Nothing follows from it.
    Ignore,
    /// The configuration comes into force.
    Take,
}

/// The version of the configuration that a process has, and its questions to others. Times are those
/// since the VM started, because a confirmation may be older than the process.
#[derive(Debug, Default)]
pub struct Tracker {
    version: Option<u64>,
    /// Time at which the version was the newest one for certain.
    confirmed_ms: Option<u64>,
    /// Offset in the log before which no newer version lies than the one in force.
    offset: Option<u64>,
    failing: BTreeSet<Source>,
    asked_ms: Option<u64>,
    rounds: usize,
    /// Whether a configuration is on its way from another process.
    is_fetching: bool,
}

impl Tracker {
    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the offset in the log before which no newer version lies than the one in force.
    #[must_use]
    pub fn offset(&self) -> Option<u64> {
        self.offset
    }

    /// Records that no version newer than the one in force lies before an offset.
    pub fn read_to(&mut self, offset: u64) {
        self.offset = self.offset.max(Some(offset));
    }

    /// Begins to fetch a configuration, unless one is on its way: a second one would delay the first on
    /// a narrow link. Returns the time-out, or `None` if nothing is to be fetched now.
    pub fn begin_fetch(&mut self, length: u64) -> Option<Duration> {
        if self.is_fetching {
            return None;
        }
        self.is_fetching = true;
        Some(FETCH_TIMEOUT + Duration::from_millis(length / FETCH_RATE_MIN))
    }

    /// Records that the configuration has arrived or will not.
    pub fn end_fetch(&mut self) {
        self.is_fetching = false;
    }

    /// Records the end of a read of the log. Returns whether this process begins to ask others.
    pub fn read_ended(&mut self, source: Source, answered: bool) -> bool {
        let asked = !self.failing.is_empty();
        match answered {
            true => self.failing.remove(&source),
            false => self.failing.insert(source),
        };
        !asked && !self.failing.is_empty()
    }

    /// Records that a version was the newest one at `at_ms`. An older version than the one in force is
    /// ignored.
    pub fn confirm(&mut self, version: u64, at_ms: u64) {
        if self.version > Some(version) {
            return;
        }
        if self.version < Some(version) {
            self.version = Some(version);
            self.confirmed_ms = None;
        }
        self.confirmed_ms = self.confirmed_ms.max(Some(at_ms));
    }

    /// Records that the log had nothing newer at `at_ms`.
    pub fn confirm_current(&mut self, at_ms: u64) {
        if let Some(version) = self.version {
            self.confirm(version, at_ms);
        }
    }

    /// Returns the time until the next round of questions in milliseconds; `None` while the log answers.
    #[must_use]
    pub fn next_round_in(&self, now_ms: u64) -> Option<u64> {
        if self.failing.is_empty() {
            return None;
        }
        let due_ms = self.asked_ms.map_or(0, |asked_ms| asked_ms + ROUND_MS);
        Some(due_ms.saturating_sub(now_ms))
    }

    /// Begins a round. Returns whom to ask: the owners, and some of the others, which change with each
    /// round.
    pub fn begin_round<T>(&mut self, peers: Peers<T>, now_ms: u64) -> Vec<T> {
        self.asked_ms = Some(now_ms);
        let round = self.rounds;
        self.rounds = self.rounds.wrapping_add(1);
        let mut asked = rotated(peers.owners, round, OWNERS_MAX);
        asked.extend(rotated(peers.others, round, SAMPLED_MAX));
        asked
    }

    /// Returns the answer to a process that has the version `asked`, and whether the configuration is
    /// to be added to it.
    #[must_use]
    pub fn answer(&self, asked: Option<u64>, now_ms: u64) -> (Revision, bool) {
        let confirmed = self.confirmed_ms;
        let revision = Revision {
            version: self.version,
            age_ms: confirmed.map(|at_ms| now_ms.saturating_sub(at_ms)),
            offset: self.offset,
            length: None,
            config: None,
        };
        (revision, self.version > asked)
    }

    /// Judges the answer to a question of `asked_ms`. The answer may have been given right after the
    /// question, so its confirmation is as old as the question and the age that the answer states.
    #[must_use]
    pub fn judge(&self, revision: &Revision, asked_ms: u64, now_ms: u64) -> Judgement {
        let Some(version) = revision.version else {
            return Judgement::Ignore;
        };
        let age_ms = confirmed_ms(revision, asked_ms).map(|at_ms| now_ms.saturating_sub(at_ms));
        let is_fresh = age_ms.is_some_and(|age_ms| age_ms <= FRESH_MS);
        match self.version {
            None if is_fresh => Judgement::Take,
            // A revoked key may be valid in it.
            None => Judgement::Ignore,
            Some(own) if own < version => Judgement::Take,
            Some(own) if own == version && age_ms.is_some() => Judgement::Confirm,
            Some(_) => Judgement::Ignore,
        }
    }

    /// Applies an answer that was judged to confirm or to be taken.
    pub fn accept(&mut self, version: u64, revision: &Revision, asked_ms: u64) {
        if let Some(offset) = revision.offset
            && self.version <= Some(version)
        {
            self.read_to(offset);
        }
        match confirmed_ms(revision, asked_ms) {
            Some(at_ms) => self.confirm(version, at_ms),
            None if self.version < Some(version) => {
                self.version = Some(version);
                self.confirmed_ms = None;
            }
            None => {}
        }
    }
}

/// Returns the time at which the version of an answer was the newest one for certain; `None` if it
/// never was, or before the clock began.
fn confirmed_ms(revision: &Revision, asked_ms: u64) -> Option<u64> {
    asked_ms.checked_sub(revision.age_ms?)
}

/// Returns up to `limit` items, beginning with another one in each round.
fn rotated<T>(mut items: Vec<T>, round: usize, limit: usize) -> Vec<T> {
    if !items.is_empty() {
        let count = items.len();
        items.rotate_left(round.wrapping_mul(limit) % count);
    }
    items.truncate(limit);
    items
}
