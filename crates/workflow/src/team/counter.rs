//! Bounded counter: divides the caps of teams over the shards.
//!
//! Of each cap, in millionths, a shard may use its base, plus what the other shards have announced as
//! given to it, minus what it has ever given to them. Totals only grow, so messages may be lost,
//! repeated, late or reordered. A giver announces a total once it is durable and subtracts it before,
//! so the parts of all shards never exceed one cap.
//!
//! When the set of shards changes, a shard uses the smallest of its parts in all sets that may be in
//! use, until every other shard has confirmed the newest one.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use rosemaryworks_core::partition;

use crate::team::account::Account;

/// A whole cap, in millionths.
pub(crate) const WHOLE: u64 = 1_000_000;

/// Time after which every owner knows a configuration, or a newer one, in milliseconds: 3 s until it
/// must be in force, 6 s more while the log is partly unavailable, and a margin. An owner without a
/// path to the platform is suspended by then.
const KNOWN_AFTER_MS: u64 = 9_500;

/// Time after which no other set than the newest one counts even without confirmations, in
/// milliseconds. An owner that never saw the newest set knows a newer configuration by half of that
/// time, and this owner knows it by then, too.
const SETTLED_AFTER_MS: u64 = 2 * KNOWN_AFTER_MS;

/// Shards between which caps are divided.
pub(crate) type Members = BTreeSet<u32>;

/// Totals in millionths, by account.
pub(crate) type Totals = Vec<(Account, u64)>;

/// Totals that one shard gave to another within a set of members.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Line {
    members: u64,
    account: Account,
    peer: u32,
}

impl Line {
    /// Returns the range of the lines of an account within a set of members.
    fn range(members: u64, account: &Account) -> RangeInclusive<Self> {
        let line = |peer| Self {
            members,
            account: account.clone(),
            peer,
        };
        line(u32::MIN)..=line(u32::MAX)
    }
}

/// A total that was given.
#[derive(Clone, Copy, Debug, Default)]
struct Given {
    total: u64,
    /// The highest total that is certainly durable.
    durable: u64,
    /// Number of the record of `total`.
    record: u64,
}

/// A set of members.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Set {
    digest: u64,
    members: Members,
}

impl Set {
    fn new(members: Members) -> Self {
        let digest = digest(&members);
        Self { digest, members }
    }
}

/// State of the counter in one shard, for all accounts.
#[derive(Debug)]
pub(crate) struct Counter {
    shard: u32,
    /// Version of the newest configuration.
    version: u64,
    /// Version in which the newest set was first seen.
    changed_version: u64,
    /// Time on the owner's clock at which this owner first saw the newest set.
    changed_ms: Option<u64>,
    /// Sets of members that other shards may use, the newest last.
    sets: Vec<Set>,
    /// Number of the record of the sets.
    record: u64,
    /// Shards that use the newest set.
    confirmed: Members,
    /// Shards of whose confirmations others have to wait.
    awaited: Members,
    given: BTreeMap<Line, Given>,
    received: BTreeMap<Line, u64>,
}

/// Returns a digest of a set of members, which is equal in all processes.
fn digest(members: &Members) -> u64 {
    let names: Vec<String> = members.iter().map(u32::to_string).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    partition::hash(&names)
}

/// Returns the base of a shard: an even part of the cap; the first shards get what is left over.
fn base(members: &Members, shard: u32) -> u64 {
    let count = members.len() as u64;
    let Some(index) = members.iter().position(|member| *member == shard) else {
        return 0;
    };
    WHOLE / count + u64::from((index as u64) < WHOLE % count)
}

impl Default for Counter {
    /// Creates the counter of a shard without members, whose parts are empty.
    fn default() -> Self {
        Self {
            shard: 0,
            version: 0,
            changed_version: 0,
            changed_ms: None,
            sets: vec![Set::new(Members::new())],
            record: 0,
            confirmed: Members::new(),
            awaited: Members::new(),
            given: BTreeMap::new(),
            received: BTreeMap::new(),
        }
    }
}

impl Counter {
    /// Sets the number of the shard.
    pub(crate) fn set_shard(&mut self, shard: u32) {
        self.shard = shard;
    }

    /// Returns whether the shard ever had members.
    pub(crate) fn is_started(&self) -> bool {
        self.sets.iter().any(|set| !set.members.is_empty())
    }

    /// Applies the sets that a previous owner recorded.
    pub(crate) fn replay_sets(&mut self, version: u64, sets: Vec<Members>) {
        if version >= self.version && !sets.is_empty() {
            (self.version, self.changed_version) = (version, version);
            self.sets = sets.into_iter().map(Set::new).collect();
        }
    }

    /// Applies totals that a previous owner recorded.
    pub(crate) fn replay_given(&mut self, members: u64, peer: u32, totals: &[(Account, u64)]) {
        for (account, total) in totals {
            let line = Line {
                members,
                peer,
                account: account.clone(),
            };
            let given = self.given.entry(line).or_default();
            given.total = given.total.max(*total);
            given.durable = given.total;
        }
    }

    /// Applies the members that a configuration names. Returns whether the sets have changed and must
    /// be recorded. An older configuration than that of a previous owner changes nothing.
    pub(crate) fn configure(&mut self, version: u64, members: Members, now_ms: u64) -> bool {
        let changed_ms = *self.changed_ms.get_or_insert(now_ms);
        if version < self.version {
            return false;
        }
        self.version = version;
        if self.sets.last().is_some_and(|set| set.members == members) {
            if changed_ms == now_ms {
                // What peers confirmed to a previous owner is not known.
                self.changed_version = version;
            }
            return false;
        }
        self.sets.retain(|set| set.members != members);
        self.sets.push(Set::new(members));
        (self.changed_version, self.changed_ms) = (version, Some(now_ms));
        self.confirmed.clear();
        self.awaited.clear();
        self.settle(now_ms);
        true
    }

    /// Records that `peer` uses a set of members by a configuration, and that it waits for the
    /// confirmations of `awaited`. Returns whether the sets have changed and must be recorded.
    pub(crate) fn confirm(
        &mut self,
        peer: u32,
        members: u64,
        version: u64,
        awaited: &Members,
        now_ms: u64,
    ) -> bool {
        if members == self.newest() && version >= self.changed_version {
            self.confirmed.insert(peer);
            if !self.is_settled() {
                self.awaited.extend(awaited);
            }
        }
        self.settle(now_ms)
    }

    /// Drops the earlier sets if no shard uses them any more. Returns whether it did.
    pub(crate) fn settle(&mut self, now_ms: u64) -> bool {
        if self.is_settled() {
            return false;
        }
        let is_known = |changed_ms| now_ms >= changed_ms + SETTLED_AFTER_MS;
        if !self.changed_ms.is_some_and(is_known) && !self.others().is_subset(&self.confirmed) {
            return false;
        }
        self.awaited.clear();
        let newest = self.sets.split_off(self.sets.len() - 1);
        self.sets = newest;
        true
    }

    /// Sets the number of the record of the sets.
    pub(crate) fn recorded(&mut self, record: u64) {
        self.record = record;
    }

    /// Returns whether the newest set of members is the only one in use.
    pub(crate) fn is_settled(&self) -> bool {
        self.sets.len() == 1
    }

    /// Returns the other shards in any of the sets, and those that they wait for.
    pub(crate) fn others(&self) -> Members {
        let sets = self.sets.iter().map(|set| &set.members);
        let all = sets.chain([&self.awaited]).flatten().copied();
        all.filter(|shard| *shard != self.shard).collect()
    }

    pub(crate) fn shard(&self) -> u32 {
        self.shard
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn sets(&self) -> Vec<Members> {
        self.sets.iter().map(|set| set.members.clone()).collect()
    }

    /// Returns the digest of the newest set.
    pub(crate) fn newest(&self) -> u64 {
        self.sets.last().map_or(0, |set| set.digest)
    }

    /// Returns whether a successor would use the newest set, too. Only then it may be confirmed.
    pub(crate) fn is_durable(&self, durable_records: u64) -> bool {
        self.record <= durable_records
    }

    /// Returns the part of a cap that the shard may use.
    pub(crate) fn part(&self, account: &Account) -> u64 {
        let parts = self.sets.iter().map(|set| self.part_in(set, account));
        parts.min().unwrap_or(0)
    }

    fn part_in(&self, set: &Set, account: &Account) -> u64 {
        let received = self.received.range(Line::range(set.digest, account));
        let received: u64 = received.map(|(_, total)| *total).sum();
        let given = self.given.range(Line::range(set.digest, account));
        let given: u64 = given.map(|(_, given)| given.total).sum();
        (base(&set.members, self.shard) + received).saturating_sub(given)
    }

    /// Gives a part of a cap to another shard, with a record of the number `record`. Returns
    /// the new total. Gives nothing while the sets are in transition.
    pub(crate) fn give(
        &mut self,
        peer: u32,
        account: &Account,
        amount: u64,
        record: u64,
        durable_records: u64,
    ) -> Option<u64> {
        let is_member = self
            .sets
            .last()
            .is_some_and(|set| set.members.contains(&peer));
        let amount = amount.min(self.part(account));
        if !self.is_settled() || !is_member || peer == self.shard || amount == 0 {
            return None;
        }
        let line = Line {
            members: self.newest(),
            peer,
            account: account.clone(),
        };
        let given = self.given.entry(line).or_default();
        given.durable = given.announced(durable_records);
        given.total += amount;
        given.record = record;
        Some(given.total)
    }

    /// Returns the durable totals that the shard gave to another one in a set of members.
    pub(crate) fn announced(&self, members: u64, peer: u32, durable_records: u64) -> Totals {
        let lines = self.given.iter();
        let lines = lines.filter(|(line, _)| line.members == members && line.peer == peer);
        let totals =
            lines.map(|(line, given)| (line.account.clone(), given.announced(durable_records)));
        totals.filter(|(_, total)| *total > 0).collect()
    }

    /// Applies totals that another shard has announced as given to this one in a set of members.
    pub(crate) fn receive(&mut self, members: u64, peer: u32, totals: Totals) {
        for (account, total) in totals {
            let line = Line {
                members,
                peer,
                account,
            };
            let received = self.received.entry(line).or_default();
            *received = (*received).max(total);
        }
    }

    /// Returns all totals that the shard gave, by set and receiver.
    pub(crate) fn totals(&self) -> BTreeMap<(u64, u32), Totals> {
        let mut totals: BTreeMap<(u64, u32), Totals> = BTreeMap::new();
        for (line, given) in &self.given {
            let entry = totals.entry((line.members, line.peer)).or_default();
            entry.push((line.account.clone(), given.total));
        }
        totals
    }
}

impl Given {
    fn announced(&self, durable_records: u64) -> u64 {
        match self.record <= durable_records {
            true => self.total,
            false => self.durable,
        }
    }
}
