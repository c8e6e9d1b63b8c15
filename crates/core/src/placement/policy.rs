//! Placement policies: how workers are picked for tasks and how waiting jobs are ordered.
//!
//! A policy is a set of plug-ins that share a name, one per kind of job. A plug-in registers itself
//! with `inventory`.

mod batch;
mod gang;
mod least_loaded;
mod random;
mod service;

use std::collections::HashMap;
use std::fmt::Debug;

use crate::job::Kind;
use crate::placement::fleet::Fleet;
use crate::placement::index::Slot;
use crate::placement::random::Random;
use crate::size::Size;

/// Name of the policy used by default.
pub const DEFAULT: &str = "default";

/// Constraints of a task on its worker.
#[derive(Debug)]
pub(crate) struct Request<'a> {
    pub(crate) size: Size,
    /// Whether the task may run long and must not use short-only workers.
    pub(crate) long: bool,
    /// Whether the task may use reserved workers: it is urgent or is expected to end before they
    /// are needed.
    pub(crate) backfill: bool,
    /// Workers that the task must avoid.
    pub(crate) avoid: &'a [Slot],
    /// Number of tasks of the job per rack.
    pub(crate) racks: &'a HashMap<u32, u32>,
}

/// Picks workers for one kind of job.
pub(crate) trait Policy: Debug + Sync {
    /// Returns a worker with capacity for the task.
    fn pick(&self, fleet: &Fleet, request: &Request<'_>, random: &mut Random) -> Option<Slot>;
}

/// How a policy orders waiting jobs and uses the pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rules {
    /// Whether priorities and contract weights order the jobs. Otherwise arrival does.
    pub(crate) fair: bool,
    /// Whether the first task that finds no capacity blocks all later ones.
    pub(crate) blocking: bool,
    /// Whether a share of the workers accepts only short tasks.
    pub(crate) short_only_share: bool,
    /// Whether waiting gangs and urgent jobs reserve workers.
    pub(crate) reserves: bool,
}

impl Rules {
    /// Rules of the baselines: first in, first out, without reserved capacity.
    pub(crate) const FIFO: Self = Self {
        fair: false,
        blocking: false,
        short_only_share: false,
        reserves: false,
    };
    /// Rules of the default policy.
    pub(crate) const FAIR_SHARE: Self = Self {
        fair: true,
        blocking: false,
        short_only_share: true,
        reserves: true,
    };
}

/// A policy for some kinds of jobs, registered under a name.
pub(crate) struct Plugin {
    pub(crate) name: &'static str,
    pub(crate) kinds: &'static [Kind],
    pub(crate) rules: Rules,
    pub(crate) policy: &'static dyn Policy,
}

inventory::collect!(Plugin);

/// Every kind of job.
pub(crate) const ALL_KINDS: &[Kind] = &[Kind::Batch, Kind::Gang, Kind::Service];

/// The plug-ins of one policy, by kind of job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Set {
    pub(crate) rules: Rules,
    batch: &'static dyn Policy,
    gang: &'static dyn Policy,
    service: &'static dyn Policy,
}

impl Set {
    /// Returns the policy `name`, or the default policy if there is none of that name.
    pub(crate) fn named(name: &str) -> Self {
        let known = names().contains(&name);
        let name = if known { name } else { DEFAULT };
        let plugin = |kind| find(name, kind).or_else(|| find(DEFAULT, kind));
        let policy =
            |kind| plugin(kind).map_or(&batch::BestFit as &dyn Policy, |found| found.policy);
        Self {
            rules: plugin(Kind::Batch).map_or(Rules::FAIR_SHARE, |found| found.rules),
            batch: policy(Kind::Batch),
            gang: policy(Kind::Gang),
            service: policy(Kind::Service),
        }
    }

    /// Returns the policy for a kind of job.
    pub(crate) fn for_kind(&self, kind: Kind) -> &'static dyn Policy {
        match kind {
            Kind::Batch => self.batch,
            Kind::Gang => self.gang,
            Kind::Service => self.service,
        }
    }
}

/// Returns the names of all registered policies, in alphabetical order.
#[must_use]
pub fn names() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<Plugin>()
        .map(|plugin| plugin.name)
        .collect();
    names.sort_unstable();
    names.dedup();
    names
}

fn find(name: &str, kind: Kind) -> Option<&'static Plugin> {
    inventory::iter::<Plugin>().find(|plugin| plugin.name == name && plugin.kinds.contains(&kind))
}
