//! Instance selection: the instances of a shard and the load balancing among them.

use std::collections::HashMap;
use std::sync::Arc;

use super::instance::Instance;
use crate::target::{self, State};
use crate::time::Instant;

/// Most probes started per call.
const PROBES_PER_CALL: usize = 64;

/// The instances of a shard.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    index: HashMap<Arc<str>, usize>,
    instances: Vec<Instance>,
    vacant_indexes: Vec<usize>,
    zones: HashMap<Arc<str>, usize>,
    zone_taken: Vec<u32>,
    grant_count: u64,
    /// Time until which a newly listed instance may run requests of earlier epochs.
    inherited_until: Instant,
}

impl Fleet {
    /// Creates an empty fleet whose instances may run requests of earlier epochs until
    /// `inherited_until`.
    pub(crate) fn new(inherited_until: Instant) -> Self {
        Self {
            inherited_until,
            ..Self::default()
        }
    }

    /// Returns the index of the instance `name`.
    pub(crate) fn find(&self, name: &str) -> Option<usize> {
        self.index.get(name).copied()
    }

    /// Returns an instance by its index.
    pub(crate) fn get(&self, number: usize) -> &Instance {
        &self.instances[number]
    }

    /// Returns an instance by its index.
    pub(crate) fn get_mut(&mut self, number: usize) -> &mut Instance {
        &mut self.instances[number]
    }

    /// Returns all known instances by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Instance)> {
        self.index
            .iter()
            .map(|(name, n)| (name, &self.instances[*n]))
    }

    /// Returns all known instances.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Instance> {
        self.instances.iter_mut()
    }

    /// Returns the index of the instance `name`, which is created if it is new.
    pub(crate) fn ensure(&mut self, now: Instant, name: &Arc<str>) -> usize {
        if let Some(number) = self.find(name) {
            return number;
        }
        let instance = Instance::new(now);
        let number = match self.vacant_indexes.pop() {
            Some(number) => {
                self.instances[number] = instance;
                number
            }
            None => {
                self.instances.push(instance);
                self.instances.len() - 1
            }
        };
        self.index.insert(name.clone(), number);
        number
    }

    /// Applies a new list of instances.
    pub(crate) fn update(&mut self, now: Instant, list: Vec<(target::Instance, State)>) {
        for instance in &mut self.instances {
            instance.listed = false;
        }
        for (info, state) in list {
            self.update_one(now, info, state);
        }
        self.remove_unlisted();
    }

    fn update_one(&mut self, now: Instant, info: target::Instance, state: State) {
        let zone = self.zone(&info.zone);
        let number = self.ensure(now, &info.name);
        let inherits = now < self.inherited_until;
        let until = self.inherited_until;
        let instance = &mut self.instances[number];
        if instance.info.is_none() && inherits {
            instance.occupancy_checked = false;
            instance.unknown = info.slots;
            instance.unknown_until = until;
        }
        instance.listed = true;
        instance.state = state;
        instance.zone = zone;
        instance.info = Some(info);
        instance.cap_unknown();
    }

    fn zone(&mut self, name: &Arc<str>) -> usize {
        if let Some(zone) = self.zones.get(name) {
            return *zone;
        }
        self.zone_taken.push(0);
        self.zones.insert(name.clone(), self.zone_taken.len() - 1);
        self.zone_taken.len() - 1
    }

    /// Removes instances that are not listed and have no slots taken.
    fn remove_unlisted(&mut self) {
        let instances = &mut self.instances;
        let vacant_indexes = &mut self.vacant_indexes;
        self.index.retain(|_, number| {
            let instance = &mut instances[*number];
            let keep = instance.listed || instance.taken() > 0;
            if !keep {
                *instance = Instance::new(Instant(0));
                vacant_indexes.push(*number);
            }
            keep
        });
    }

    /// Returns the index of the instance for the next request: the one that failed least recently,
    /// then the least loaded, then the one in the availability zone with the fewest slots taken,
    /// then the one used least recently.
    pub(crate) fn choose(&self, now: Instant, exclude: &[Arc<str>]) -> Option<usize> {
        let free = self
            .instances
            .iter()
            .enumerate()
            .filter(|(_, i)| i.is_free(now));
        free.filter(|(_, i)| !is_excluded(i, exclude))
            .min_by_key(|(_, i)| self.rank(now, i))
            .map(|(number, _)| number)
    }

    fn rank(&self, now: Instant, instance: &Instance) -> (Instant, u32, u32, u64) {
        let load = instance.taken() * 1_000 / instance.slots().max(1);
        let zone = self.zone_taken[instance.zone];
        (
            instance.recent_failure(now),
            load,
            zone,
            instance.last_grant,
        )
    }

    /// Counts a slot of an instance as taken.
    pub(crate) fn occupy(&mut self, number: usize) {
        self.grant_count += 1;
        let instance = &mut self.instances[number];
        instance.held += 1;
        instance.last_grant = self.grant_count;
        self.zone_taken[instance.zone] += 1;
    }

    /// Counts a held slot of an instance as free.
    pub(crate) fn release(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        instance.held = instance.held.saturating_sub(1);
        let zone = &mut self.zone_taken[instance.zone];
        *zone = zone.saturating_sub(1);
    }

    /// Returns the total number of slots of all instances in service.
    pub(crate) fn slots(&self, now: Instant) -> u64 {
        let usable = self.instances.iter().filter(|i| i.is_usable(now));
        usable.map(|i| u64::from(i.slots())).sum()
    }

    /// Returns whether any instance is live that is not in `exclude`.
    pub(crate) fn has_live(&self, exclude: &[Arc<str>]) -> bool {
        let mut live = self.instances.iter().filter(|i| i.is_live());
        live.any(|i| !is_excluded(i, exclude))
    }

    /// Returns the instances with requests of unknown origin whose last count arrived by `limit`
    /// and has not been compared with the grants of earlier epochs yet.
    pub(crate) fn unconfirmed(&self, limit: Instant) -> Vec<usize> {
        let with_unknown = self
            .instances
            .iter()
            .enumerate()
            .filter(|(_, i)| i.unknown > 0);
        let due = with_unknown.filter(|(_, i)| {
            i.last_count
                .is_some_and(|count| !count.confirmed && count.answered <= limit)
        });
        due.map(|(number, _)| number).collect()
    }

    /// Returns the names of the instances to probe now, and records the probes.
    pub(crate) fn due_probes(&mut self, now: Instant) -> Vec<Arc<str>> {
        let due = self.instances.iter_mut().filter(|i| i.is_probe_due(now));
        let mut names = Vec::new();
        for instance in due.take(PROBES_PER_CALL) {
            instance.record_probe(now);
            names.extend(instance.info.as_ref().map(|info| info.name.clone()));
        }
        names
    }
}

fn is_excluded(instance: &Instance, exclude: &[Arc<str>]) -> bool {
    let name = instance.info.as_ref().map(|info| &info.name);
    name.is_some_and(|name| exclude.contains(name))
}
