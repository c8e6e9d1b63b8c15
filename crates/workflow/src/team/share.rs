//! Shares of the teams in full pools, by weight and dominant resource.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rosemaryworks_core::size::Size;

use crate::run::Job;
use crate::shard::Shard;
use crate::team::Teams;
use crate::team::usage::{PoolUse, Survey, TeamUse};

/// Teams that use more than their share of a pool, for one placement pass.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    over: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
}

impl Shares {
    pub(crate) fn new(survey: &Survey, teams: Option<&Teams>) -> Self {
        let Some(teams) = teams else {
            return Self::default();
        };
        let pools = survey.pools.iter();
        let over = pools.map(|(name, pool)| (name.clone(), over_share(pool, teams)));
        Self {
            over: over.filter(|(_, teams)| !teams.is_empty()).collect(),
        }
    }

    /// Returns whether any team uses more than its share.
    fn any(&self) -> bool {
        !self.over.is_empty()
    }

    /// Returns whether a team uses more than its share of a pool.
    fn is_over(&self, pool: &str, team: &str) -> bool {
        self.over
            .get(pool)
            .is_some_and(|teams| teams.contains(team))
    }

    /// Returns the teams that use more than their share of some pool.
    pub(crate) fn teams(&self) -> BTreeSet<&Arc<str>> {
        self.over.values().flatten().collect()
    }
}

/// Returns the teams that use more than their share of a pool; none if it has room for all waiting
/// tasks.
fn over_share(pool: &PoolUse, teams: &Teams) -> BTreeSet<Arc<str>> {
    let waiting = pool.waiting.values();
    let waiting = waiting.fold(Size::ZERO, |sum, size| sum + *size);
    if waiting.fits(&pool.free) {
        return BTreeSet::new();
    }
    let weight = |team: &Arc<str>| {
        let weight = teams.get(team).map_or(0.0, |team| team.weight);
        if weight.is_finite() {
            weight.max(0.0)
        } else {
            0.0
        }
    };
    let present: BTreeSet<&Arc<str>> = pool.teams.keys().chain(pool.waiting.keys()).collect();
    let total: f64 = present.iter().map(|team| weight(team)).sum();
    if total <= 0.0 {
        return BTreeSet::new();
    }
    let is_over = |(team, used): &(&Arc<str>, &TeamUse)| {
        dominant_share(&used.occupied, &pool.capacity) > weight(team) / total
    };
    let over = pool.teams.iter().filter(is_over);
    over.map(|(team, _)| team.clone()).collect()
}

/// Returns the largest fraction of any resource that a size takes.
fn dominant_share(used: &Size, capacity: &Size) -> f64 {
    let share = |used: u64, capacity: u64| match capacity {
        0 => 0.0,
        capacity => used as f64 / capacity as f64,
    };
    share(used.millicores, capacity.millicores)
        .max(share(used.memory_mb, capacity.memory_mb))
        .max(share(used.accelerators, capacity.accelerators))
}

impl Shard {
    /// Returns whether the team of a job uses more than its share of the job's pool.
    pub(crate) fn is_over_share(&self, job: &Job) -> bool {
        let Some(team) = job.spec.team.as_ref().filter(|_| self.quota.shares.any()) else {
            return false;
        };
        let queue = self.queues.get(&job.queue);
        queue.is_some_and(|queue| self.quota.shares.is_over(&queue.pool, team))
    }
}
