//! Exchange of parts of caps between the owners of the shards: who asks, and who gives how much.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::record::Record;
use crate::shard::Shard;
use crate::team::Teams;
use crate::team::account::{Account, Resource};
use crate::team::counter::{Members, WHOLE};
use crate::team::quota::{Ceiling, Room};

/// Smallest part that is given if it doesn't cover what is missing, in millionths. Each gift costs a
/// record.
const GIVEN_MIN: u64 = 5_000;

/// Time for which a shard doesn't start more than what another one leaves to it, in milliseconds.
/// Covers the time until that one asks again.
const CEILING_MS: u64 = 400;

/// Time after which a task or gang that needs more than an equal part takes precedence, in
/// milliseconds.
const STARVED_AFTER_MS: u64 = 1_000;

/// A set of shards that an owner uses, or uses together with earlier ones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// Digest of the set.
    #[serde(rename = "m")]
    pub members: u64,
    /// Version of the owner's configuration.
    #[serde(rename = "v")]
    pub version: u64,
    /// Shards whose confirmations the owner waits for before it uses the set alone.
    #[serde(default, rename = "a", skip_serializing_if = "BTreeSet::is_empty")]
    pub awaited: BTreeSet<u32>,
}

/// Request of an owner to the owner of another shard for parts of caps.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ask {
    /// Shard of the sender.
    #[serde(rename = "f")]
    pub from: u32,
    /// Digest of the sender's newest set of shards.
    #[serde(rename = "m")]
    pub members: u64,
    /// The set, once its record is durable.
    #[serde(rename = "c")]
    pub confirmed: Option<Confirmation>,
    /// Caps of which the sender lacks room.
    #[serde(rename = "w")]
    pub wants: Vec<Want>,
}

/// What an owner lacks of a cap, in millionths of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Want {
    /// Account of the cap.
    #[serde(rename = "t")]
    pub account: Account,
    /// Part that the sender has.
    #[serde(rename = "p")]
    pub part: u64,
    /// Part that its running tasks use. More than it has after a cap was lowered, or until a
    /// successor has learned the totals again.
    #[serde(rename = "u")]
    pub used: u64,
    /// Part that its running and waiting tasks need.
    #[serde(rename = "w")]
    pub wanted: u64,
    /// Part that its running tasks and the next waiting one, or the next gang, need.
    #[serde(rename = "n")]
    pub next: u64,
    /// Time for which that one has been held back, in milliseconds.
    #[serde(rename = "b")]
    pub held_ms: u64,
}

/// Answer to an [`Ask`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    /// Digest of the set of shards of the request.
    #[serde(rename = "m")]
    pub members: u64,
    /// Set that the receiver of the request uses, once its record is durable.
    #[serde(rename = "c")]
    pub confirmed: Option<Confirmation>,
    /// Totals that the receiver ever gave to the sender of the request within the set, in millionths,
    /// as far as they are durable.
    #[serde(rename = "t")]
    pub totals: Vec<(Account, u64)>,
}

/// Teams that are held back, in the order of their names, for logs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeldTeams {
    /// Teams that a cap holds back.
    pub capped: Vec<Arc<str>>,
    /// Teams that use more than their share of a full pool, whose steps are placed last.
    pub over_share: Vec<Arc<str>>,
    /// Steps that a cap holds back.
    pub steps: u32,
}

/// What a shard needs for a team, in millionths of the cap.
#[derive(Clone, Copy, Debug)]
struct Need {
    used: u64,
    wanted: u64,
    next: u64,
    held_ms: u64,
}

/// Returns the part that a shard may use of what it and the sender of a request have together. Each
/// gets what it wants, up to one half or what the other leaves over. A next task that needs more gets
/// it once it has waited for some time, the longest first.
fn kept(own: &Need, own_shard: u32, part: u64, want: &Want, from: u32) -> u64 {
    let total = part + want.part;
    let fair = own
        .wanted
        .min((total / 2).max(total.saturating_sub(want.wanted)));
    let is_starved = |alone: u64, held_ms: u64, fair: u64| {
        alone > fair && alone <= WHOLE && held_ms >= STARVED_AFTER_MS
    };
    if want.used > want.part {
        // Both together must not start anything beyond the cap.
        return total.saturating_sub(want.used).min(fair);
    }
    let own_starved = is_starved(own.next.saturating_sub(own.used), own.held_ms, fair);
    let starved = is_starved(
        want.next.saturating_sub(want.used),
        want.held_ms,
        total - fair,
    );
    // With equal times, the lower shard comes first.
    let is_first = (want.held_ms, own_shard) > (own.held_ms, from);
    if starved && (!own_starved || is_first) {
        return total.saturating_sub(want.next).min(fair);
    }
    match own_starved {
        true => fair.max(own.next.min(total)),
        false => fair,
    }
}

impl Shard {
    /// Returns a request for parts of caps and the shards whose owners get it; `None` if this shard
    /// lacks none and knows that all others use the same set of shards.
    #[must_use]
    pub fn ask(&self, now_ms: u64) -> Option<(Ask, Members)> {
        let has_caps = self.teams.as_ref().is_some_and(Teams::has_caps);
        let counter = &self.quota.counter;
        let others = counter.others();
        if !has_caps || !counter.is_started() || others.is_empty() {
            return None;
        }
        let wants = self.wants(now_ms);
        if wants.is_empty() && counter.is_settled() {
            return None;
        }
        let ask = Ask {
            from: counter.shard(),
            members: counter.newest(),
            confirmed: self.confirmed_members(now_ms),
            wants,
        };
        Some((ask, others))
    }

    fn confirmed_members(&self, now_ms: u64) -> Option<Confirmation> {
        let counter = &self.quota.counter;
        // Until it is fenced, a previous owner may use an earlier set.
        let is_confirmed = self.recovery.is_fenced(now_ms)
            && counter.is_started()
            && counter.is_durable(self.durable_records);
        is_confirmed.then(|| Confirmation {
            members: counter.newest(),
            version: counter.version(),
            awaited: match counter.is_settled() {
                true => Members::new(),
                false => counter.others(),
            },
        })
    }

    fn wants(&self, now_ms: u64) -> Vec<Want> {
        let mut wants = Vec::new();
        for (team, room) in &self.quota.rooms {
            for resource in Resource::ALL {
                wants.extend(self.want(Account::new(team, resource), room, now_ms));
            }
        }
        wants
    }

    /// Returns what this shard lacks of a cap, if anything.
    fn want(&self, account: Account, room: &Room, now_ms: u64) -> Option<Want> {
        let resource = account.resource;
        let (part, used) = (self.quota.part(&account), room.known_part(resource));
        let held = self.quota.held.get(&account.team);
        let held = held.map(|held| (held.next_part(resource), held.since_ms));
        // With more than the whole cap, it waits for tasks of this shard.
        let held = held.filter(|(next, _)| *next > part && *next <= WHOLE);
        if held.is_none() && used <= part {
            return None;
        }
        Some(Want {
            account,
            part,
            used,
            wanted: held.map_or(used, |(next, _)| room.wanted_part(resource).max(next)),
            next: held.map_or(used, |(next, _)| next),
            held_ms: held.map_or(0, |(_, since_ms)| now_ms.saturating_sub(since_ms)),
        })
    }

    /// Applies a request of another shard's owner: gives what this shard neither uses nor is about to
    /// use. [`Self::grant`] tells the result, of which the latest part becomes durable later.
    pub fn apply_ask(&mut self, ask: &Ask, now_ms: u64) {
        self.apply_confirmation(ask.from, ask.confirmed.clone(), now_ms);
        // Until then a previous owner may start tasks within what would be given.
        if !self.recovery.is_fenced(now_ms) || ask.members != self.quota.counter.newest() {
            return;
        }
        let survey = self.survey();
        self.quota.rooms = self.rooms(&survey, now_ms);
        let mut totals = Vec::new();
        for want in &ask.wants {
            totals.extend(self.give(want, ask.from, now_ms));
        }
        if !totals.is_empty() {
            self.record(Record::Given {
                members: ask.members,
                shard: ask.from,
                totals,
            });
        }
    }

    /// Gives a part of a cap to a shard. Returns the new total, whose record is issued next.
    fn give(&mut self, want: &Want, to: u32, now_ms: u64) -> Option<(Account, u64)> {
        let resource = want.account.resource;
        let room = self.quota.rooms.get(&want.account.team)?;
        let held = self.quota.held.get(&want.account.team);
        let own = Need {
            used: room.used_part(resource),
            wanted: room.wanted_part(resource),
            next: held.map_or(0, |held| held.next_part(resource)),
            held_ms: held.map_or(0, |held| now_ms.saturating_sub(held.since_ms)),
        };
        let shard = self.quota.counter.shard();
        let part = self.quota.counter.part(&want.account);
        let kept = kept(&own, shard, part, want, to);
        let lacking = want.wanted.saturating_sub(want.part);
        let kept = kept.max(part.saturating_sub(lacking));
        if kept < own.used {
            // What tasks of this shard release goes to the sender when it asks again.
            let ceiling = Ceiling {
                part: kept,
                until_ms: now_ms + CEILING_MS,
            };
            self.quota.ceilings.insert(want.account.clone(), ceiling);
        }
        let amount = part.saturating_sub(kept.max(own.used));
        if amount < GIVEN_MIN.min(want.next.saturating_sub(want.part)) {
            return None;
        }
        let (record, durable) = (self.issued_records + 1, self.durable_records);
        let counter = &mut self.quota.counter;
        let total = counter.give(to, &want.account, amount, record, durable)?;
        Some((want.account.clone(), total))
    }

    /// Returns the answer to a request, as far as what it tells is durable.
    #[must_use]
    pub fn grant(&self, ask: &Ask, now_ms: u64) -> Grant {
        let counter = &self.quota.counter;
        Grant {
            members: ask.members,
            confirmed: self.confirmed_members(now_ms),
            totals: counter.announced(ask.members, ask.from, self.durable_records),
        }
    }

    /// Returns the number of the last record issued, after which an answer tells everything given so
    /// far.
    #[must_use]
    pub fn issued_records(&self) -> u64 {
        self.issued_records
    }

    /// Returns whether the first `records` records are durable.
    #[must_use]
    pub fn has_durable(&self, records: u64) -> bool {
        self.durable_records >= records
    }

    /// Returns whether the owner of another shard has answered this owner. Until then this one doesn't
    /// know what that shard has given, and asks for nothing more.
    #[must_use]
    pub fn has_heard(&self, shard: u32) -> bool {
        self.quota.heard.contains(&shard)
    }

    /// Applies the answer of the owner of another shard.
    pub fn apply_grant(&mut self, from: u32, grant: Grant, now_ms: u64) {
        self.apply_confirmation(from, grant.confirmed, now_ms);
        self.quota
            .counter
            .receive(grant.members, from, grant.totals);
        self.quota.heard.insert(from);
    }

    fn apply_confirmation(&mut self, from: u32, confirmed: Option<Confirmation>, now_ms: u64) {
        let Some(confirmed) = confirmed else { return };
        let (members, version) = (confirmed.members, confirmed.version);
        let counter = &mut self.quota.counter;
        if counter.confirm(from, members, version, &confirmed.awaited, now_ms) {
            self.record_members();
        }
    }

    /// Returns the teams that are held back.
    #[must_use]
    pub fn held_teams(&self) -> HeldTeams {
        HeldTeams {
            capped: self.quota.held.keys().cloned().collect(),
            over_share: self.quota.shares.teams().into_iter().cloned().collect(),
            steps: self.quota.held_steps,
        }
    }
}
