//! Caps of teams in a placement pass: what the shard may start for each team.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryworks_core::size::Size;

use crate::job::Step;
use crate::record::Record;
use crate::run::StepRun;
use crate::shard::Shard;
use crate::task::StepKey;
use crate::team::account::{Account, Resource};
use crate::team::counter::{Counter, Members, WHOLE};
use crate::team::share::Shares;
use crate::team::usage::Survey;
use crate::team::{Team, Teams};

/// Time after the last pass that held a team back for which it counts as held back, in milliseconds.
/// Passes are at most 100 ms apart.
const HELD_FOR_MS: u64 = 250;

/// State of the caps in a shard.
#[derive(Debug, Default)]
pub(crate) struct Quota {
    pub(crate) counter: Counter,
    /// Shards whose owners have answered a request.
    pub(crate) heard: Members,
    /// Members of the last configuration with its version, once known.
    members: Option<(u64, Members)>,
    /// Teams with caps, as of the current placement pass.
    pub(crate) rooms: BTreeMap<Arc<str>, Room>,
    pub(crate) shares: Shares,
    /// Teams that the cap holds back.
    pub(crate) held: BTreeMap<Arc<str>, Held>,
    /// Parts of caps above which nothing starts, because another shard has asked for the rest.
    pub(crate) ceilings: BTreeMap<Account, Ceiling>,
    /// Steps held back by a cap in the current pass.
    pub(crate) held_steps: u32,
}

/// What a team may start in the current placement pass.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Room {
    cap: Size,
    /// What the team may use in this shard.
    limit: Size,
    /// What it uses at most: its attempts, and others that may be running after a takeover.
    used: Size,
    /// What its attempts use.
    known: Size,
    /// Size of the waiting tasks, as far as the pools have capacity for them.
    waiting: Size,
}

/// A team that its cap holds back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    pub(crate) since_ms: u64,
    /// Time of the last pass that held the team back.
    at_ms: u64,
    cap: Size,
    /// What the attempts use together with the first waiting task or gang.
    next: Size,
}

impl Held {
    /// Returns the part of the cap that the first waiting task or gang needs, in millionths.
    pub(crate) fn next_part(&self, resource: Resource) -> u64 {
        needed_part(&self.cap, &self.next, resource)
    }
}

/// A part of a cap that the shard doesn't exceed for a while.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ceiling {
    pub(crate) part: u64,
    pub(crate) until_ms: u64,
}

/// Returns the part of a cap that a size needs of a resource, in millionths, rounded up. Saturates
/// above the whole.
pub(crate) fn needed_part(cap: &Size, size: &Size, resource: Resource) -> u64 {
    let part = match resource.of(cap) {
        0 => 0,
        cap => (u128::from(resource.of(size)) * u128::from(WHOLE)).div_ceil(u128::from(cap)),
    };
    u64::try_from(part).unwrap_or(u64::MAX)
}

/// Returns the amount of a resource that a part of a cap allows, rounded down.
fn allowed(cap: &Size, part: u64, resource: Resource) -> u64 {
    match resource.of(cap) {
        0 => u64::MAX,
        cap => {
            let amount = u128::from(cap) * u128::from(part) / u128::from(WHOLE);
            u64::try_from(amount).unwrap_or(u64::MAX)
        }
    }
}

impl Room {
    fn admits(&self, size: &Size) -> bool {
        (self.used + *size).fits(&self.limit)
    }

    /// Returns the part of the cap that may be in use, in millionths.
    pub(crate) fn used_part(&self, resource: Resource) -> u64 {
        needed_part(&self.cap, &self.used, resource)
    }

    /// Returns the part of the cap that the known attempts use, in millionths.
    pub(crate) fn known_part(&self, resource: Resource) -> u64 {
        needed_part(&self.cap, &self.known, resource)
    }

    /// Returns the part of the cap in use and waited for, in millionths.
    pub(crate) fn wanted_part(&self, resource: Resource) -> u64 {
        needed_part(&self.cap, &(self.known + self.waiting), resource).min(WHOLE)
    }
}

impl Quota {
    /// Returns the part of a cap that may be used at `now_ms`. Where no members are known, the
    /// shard is the only one.
    fn usable_part(&self, account: &Account, now_ms: u64) -> u64 {
        let part = self.part(account);
        match self.ceilings.get(account) {
            Some(ceiling) if now_ms < ceiling.until_ms => part.min(ceiling.part),
            _ => part,
        }
    }

    /// Returns the part of a cap that belongs to this shard.
    pub(crate) fn part(&self, account: &Account) -> u64 {
        match self.members {
            Some(_) => self.counter.part(account),
            None => WHOLE,
        }
    }

    /// Returns whether the cap of a team allows starts of a total size.
    fn admits(&self, team: &Arc<str>, size: &Size) -> bool {
        self.rooms.get(team).is_none_or(|room| room.admits(size))
    }

    /// Counts a start.
    pub(crate) fn charge(&mut self, team: &Arc<str>, size: Size) {
        if let Some(room) = self.rooms.get_mut(team) {
            room.used += size;
            room.known += size;
        }
    }
}

impl Shard {
    /// Replaces the teams; `None` if the configuration names none.
    pub fn set_teams(&mut self, teams: Option<Teams>) {
        self.teams = teams;
    }

    /// Returns the part of a cap that this shard may use, in millionths.
    #[must_use]
    pub fn cap_part(&self, account: &Account) -> u64 {
        self.quota.part(account)
    }

    /// Sets the shards between which caps are divided, as named by the configuration `version`, and
    /// the number of this shard. Without it, this shard uses the whole caps. Must be called after
    /// [`Self::set_teams`].
    pub fn set_members(&mut self, shard: u32, version: u64, members: Members, now_ms: u64) {
        let has_caps = self.teams.as_ref().is_some_and(Teams::has_caps);
        if !has_caps && self.quota.members.is_none() {
            return;
        }
        self.quota.counter.set_shard(shard);
        self.quota.members = Some((version, members));
        if !self.recovery.is_replaying() {
            self.apply_members(now_ms);
        }
    }

    /// Applies the members once the records of previous owners have been replayed.
    pub(crate) fn apply_members(&mut self, now_ms: u64) {
        let Some((version, members)) = self.quota.members.clone() else {
            return;
        };
        if self.quota.counter.configure(version, members, now_ms) {
            self.record_members();
        }
    }

    /// Records the sets of members, which a successor must use as well.
    pub(crate) fn record_members(&mut self) {
        let record = self.members_record();
        self.record(record);
        self.quota.counter.recorded(self.issued_records);
    }

    fn members_record(&self) -> Record {
        Record::Members {
            version: self.quota.counter.version(),
            sets: self.quota.counter.sets(),
        }
    }

    /// Returns the records of the caps in a snapshot; none if no caps were ever divided.
    pub(crate) fn quota_records(&self) -> Vec<Record> {
        if !self.quota.counter.is_started() {
            return Vec::new();
        }
        let totals = self.quota.counter.totals().into_iter();
        let given = totals.map(|((members, shard), totals)| Record::Given {
            members,
            shard,
            totals,
        });
        std::iter::once(self.members_record())
            .chain(given)
            .collect()
    }

    /// Computes what teams use and may start.
    pub(crate) fn begin_pass(&mut self, now_ms: u64) {
        self.quota.held_steps = 0;
        if self.teams.is_none() {
            self.quota.rooms.clear();
            self.quota.held.clear();
            self.quota.shares = Shares::default();
            return;
        }
        if self.quota.counter.settle(now_ms) {
            self.record_members();
        }
        self.quota
            .held
            .retain(|_, held| now_ms < held.at_ms + HELD_FOR_MS);
        self.quota
            .ceilings
            .retain(|_, ceiling| now_ms < ceiling.until_ms);
        let survey = self.survey();
        self.quota.rooms = self.rooms(&survey, now_ms);
        self.quota.shares = Shares::new(&survey, self.teams.as_ref());
    }

    /// Returns what the teams with caps may start.
    pub(crate) fn rooms(&self, survey: &Survey, now_ms: u64) -> BTreeMap<Arc<str>, Room> {
        let teams = self.teams.iter().flat_map(Teams::iter);
        let room = |team: &Team| {
            let known = survey.charged.get(&team.name).copied().unwrap_or_default();
            let unreported = survey.unreported.get(&team.name).copied();
            let mut waiting = Size::ZERO;
            for pool in survey.pools.values() {
                if let Some(size) = pool.waiting.get(&team.name) {
                    waiting += size.min(&pool.free);
                }
            }
            let limit = |resource| {
                let account = Account::new(&team.name, resource);
                let part = self.quota.usable_part(&account, now_ms);
                allowed(&team.cap, part, resource)
            };
            let room = Room {
                cap: team.cap,
                limit: Size {
                    millicores: limit(Resource::Processor),
                    memory_mb: limit(Resource::Memory),
                    accelerators: limit(Resource::Accelerators),
                },
                used: known + unreported.unwrap_or_default() + survey.unknown,
                known,
                waiting,
            };
            (team.name.clone(), room)
        };
        let capped = teams.filter(|team| team.cap != Size::ZERO);
        capped.map(room).collect()
    }

    /// Returns whether the cap of a job's team doesn't allow to start a task of a step, or its gang.
    pub(crate) fn is_held_back(&self, key: StepKey) -> bool {
        if self.quota.rooms.is_empty() {
            return false;
        }
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let (Some(team), Some(step)) = (&job.spec.team, job.spec.steps.get(key.step as usize))
        else {
            return false;
        };
        !self.quota.admits(team, &unit(step))
    }

    /// Notes that a cap holds a step back. `may_fit` says whether its pool has capacity for it.
    pub(crate) fn note_held_back(&mut self, key: StepKey, step: &Step, may_fit: bool, now_ms: u64) {
        self.quota.held_steps += 1;
        let team = self
            .jobs
            .get(&key.job)
            .and_then(|job| job.spec.team.clone());
        let Some((team, room)) = team.and_then(|team| {
            let room = self.quota.rooms.get(&team).copied()?;
            Some((team, room))
        }) else {
            return;
        };
        if !may_fit && !step.gang && !step.service {
            return;
        }
        // What may be running after a takeover is soon known; others need not make room for it.
        let next = room.known + unit(step);
        let held = self.quota.held.entry(team).or_insert(Held {
            since_ms: now_ms,
            at_ms: 0,
            cap: room.cap,
            next,
        });
        // The first step in the placement order counts.
        if held.at_ms < now_ms {
            (held.at_ms, held.cap, held.next) = (now_ms, room.cap, next);
        }
    }
}

/// Returns what starts together: a task, or all members of a gang.
fn unit(step: &Step) -> Size {
    match step.gang {
        true => step.size.times(u64::from(step.count)),
        false => step.size,
    }
}

impl StepRun {
    /// Resets the wait for capacity of a step that a cap holds back.
    pub(crate) fn held_back(&mut self) {
        self.blocked_since_ms = None;
    }
}
