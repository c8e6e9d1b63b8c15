//! Weighted fair queueing of the contracts of a shard.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use super::bucket::Bucket;
use super::demand::Demand;
use super::run_times::RunTimes;
use super::tenant::{Limits, Tenant, Waiting};
use crate::contract::Contract;
use crate::outcome::Request;
use crate::time::Instant;

/// Most slot requests queued in one shard.
pub(crate) const QUEUE_MAX: usize = 16_384;

/// Factor between median run times from which the slower contract is classified as long.
const LONG_FACTOR: f64 = 8.0;

/// Milliseconds after its last slot request for which slots are reserved for a contract of short
/// requests.
const PROTECTION_MS: u64 = 60_000;

/// Sequence number before the first one. Requeued slot requests get it or lower numbers.
const FIRST_SEQUENCE: u64 = 1 << 32;

/// Factor on the expected queueing time, to allow for errors of the estimated run times.
///
/// Without it, more than a tenth of the requests of a load spike missed their deadlines.
const WAIT_MARGIN: f64 = 1.1;

/// Slot time charged for a request without a run time estimate, in milliseconds.
const COST_UNKNOWN_MS: f64 = 10.0;

/// The contracts of a shard.
#[derive(Debug, Default)]
pub(crate) struct Tenants {
    index: HashMap<Arc<str>, usize>,
    all: Vec<Tenant>,
    backlogged: BTreeSet<usize>,
    deadlines: BTreeSet<(Instant, usize, u64)>,
    /// Non-idempotent requests in the queues.
    queued: HashSet<Request>,
    last_sequence: u64,
    virtual_time: f64,
    all_run_times: RunTimes,
    long_running: u64,
    short_demand: Demand,
    /// Fraction of the active contracts' total weight that belongs to those of short requests.
    short_share: f64,
    /// Earliest time at which the protection of an active contract ends, as of the last
    /// classification.
    protected_until: Option<Instant>,
}

impl Tenants {
    /// Returns the index of the contract `name`.
    pub(crate) fn find(&self, name: &str) -> Option<usize> {
        self.index.get(name).copied()
    }

    /// Returns a contract by its index.
    pub(crate) fn get(&self, tenant: usize) -> &Tenant {
        &self.all[tenant]
    }

    /// Returns a contract by its index.
    pub(crate) fn get_mut(&mut self, tenant: usize) -> &mut Tenant {
        &mut self.all[tenant]
    }

    /// Returns the index of the contract `name`, which is created with unknown limits if it is new.
    pub(crate) fn ensure(&mut self, now: Instant, name: &Arc<str>) -> usize {
        if let Some(tenant) = self.find(name) {
            return tenant;
        }
        self.all.push(Tenant::new(now));
        self.index.insert(name.clone(), self.all.len() - 1);
        self.all.len() - 1
    }

    /// Applies a revision of a contract. A new contract starts with the tokens that its rate yields
    /// in `level_ms`, or with a full bucket if that is `None`.
    pub(crate) fn update_contract(
        &mut self,
        now: Instant,
        contract: &Contract,
        limits: Option<Limits>,
        level_ms: Option<u64>,
    ) -> usize {
        let number = self.ensure(now, &contract.name);
        let tenant = &mut self.all[number];
        tenant.weight = f64::from(contract.weight.max(1));
        let (rate, burst) = limits.map_or((0, 0), |limits| (limits.rate, limits.burst));
        match tenant.limits {
            Some(_) => tenant.bucket.resize(now, rate, burst),
            None => {
                let level = level_ms.map_or(burst, |millis| rate * millis / 1_000);
                tenant.bucket = Bucket::new(now, rate, burst, level);
            }
        }
        tenant.limits = limits;
        number
    }

    /// Returns the number of queued slot requests.
    pub(crate) fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Appends a slot request to its contract's queue and returns its sequence number.
    pub(crate) fn push(&mut self, now: Instant, tenant: usize, waiting: Waiting) -> u64 {
        self.last_sequence += 1;
        let seq = FIRST_SEQUENCE + self.last_sequence;
        if !self.all[tenant].long {
            self.short_demand.add(now, self.cost(tenant));
        }
        self.insert(now, tenant, seq, waiting);
        seq
    }

    /// Adds a slot request at the front of its contract's queue and returns its sequence number.
    pub(crate) fn push_first(&mut self, now: Instant, tenant: usize, waiting: Waiting) -> u64 {
        let first = self.all[tenant].queue.first_key_value();
        let seq = first.map_or(FIRST_SEQUENCE, |(seq, _)| seq - 1);
        self.insert(now, tenant, seq, waiting);
        seq
    }

    fn insert(&mut self, now: Instant, number: usize, seq: u64, waiting: Waiting) {
        let tenant = &mut self.all[number];
        if tenant.queue.is_empty() {
            // An idle contract earns no credit for capacity that others used meanwhile.
            tenant.pass = tenant.pass.max(self.virtual_time);
        }
        tenant.last_queued = now;
        self.deadlines.insert((waiting.deadline, number, seq));
        if !waiting.idempotent {
            self.queued.insert(waiting.request.clone());
        }
        tenant.queue.insert(seq, waiting);
        self.backlogged.insert(number);
    }

    /// Removes a slot request from its queue.
    pub(crate) fn remove(&mut self, number: usize, seq: u64) -> Option<Waiting> {
        let tenant = &mut self.all[number];
        let waiting = tenant.queue.remove(&seq)?;
        if tenant.queue.is_empty() {
            self.backlogged.remove(&number);
        }
        self.deadlines.remove(&(waiting.deadline, number, seq));
        self.queued.remove(&waiting.request);
        Some(waiting)
    }

    /// Returns whether a slot request for the non-idempotent `request` is queued.
    pub(crate) fn is_queued(&self, request: &Request) -> bool {
        self.queued.contains(request)
    }

    /// Returns the queued slot request with the earliest deadline, if that has passed.
    pub(crate) fn overdue(&self, now: Instant) -> Option<(usize, u64)> {
        let (deadline, tenant, seq) = self.deadlines.first()?;
        (*deadline <= now).then_some((*tenant, *seq))
    }

    /// Returns the contract to serve next, except for those in `skip`. Contracts of long requests
    /// may hold at most `long_max` slots in total.
    pub(crate) fn next_to_serve(&self, skip: &[usize], long_max: u64) -> Option<usize> {
        self.backlogged
            .iter()
            .copied()
            .filter(|number| !skip.contains(number))
            .filter(|number| self.is_ready(*number, long_max))
            .min_by(|a, b| self.all[*a].pass.total_cmp(&self.all[*b].pass))
    }

    /// Returns how many of `slots` contracts of long requests may hold in total.
    pub(crate) fn long_max(&self, slots: u64) -> u64 {
        self.short_demand.long_max(slots, self.short_share)
    }

    fn is_ready(&self, number: usize, long_max: u64) -> bool {
        let tenant = &self.all[number];
        tenant.is_below_concurrency_limit() && (!tenant.long || self.long_running < long_max)
    }

    /// Counts a slot as taken by contract `number`, charges it and returns the charge.
    pub(crate) fn charge(&mut self, number: usize) -> f64 {
        let cost = self.cost(number);
        let tenant = &mut self.all[number];
        self.virtual_time = self.virtual_time.max(tenant.pass);
        tenant.pass += cost / tenant.weight;
        self.count_taken(number);
        cost
    }

    /// Counts a slot as taken by contract `number` without a charge, as for grants of an earlier
    /// owner.
    pub(crate) fn count_taken(&mut self, number: usize) {
        let tenant = &mut self.all[number];
        tenant.running += 1;
        self.long_running += u64::from(tenant.long);
    }

    /// Counts a slot of contract `number` as free.
    pub(crate) fn release(&mut self, number: usize) {
        let tenant = &mut self.all[number];
        tenant.running = tenant.running.saturating_sub(1);
        self.long_running = self.long_running.saturating_sub(u64::from(tenant.long));
    }

    /// Replaces the charge for a request by the slot time that it used.
    pub(crate) fn adjust_charge(&mut self, number: usize, charged: f64, used_ms: u64) {
        let tenant = &mut self.all[number];
        tenant.pass += (used_ms as f64 - charged) / tenant.weight;
    }

    /// Adds the run time of an answered request to the estimates.
    pub(crate) fn record_run_time(&mut self, number: usize, run_ms: u64) {
        self.all[number].run_times.observe(run_ms);
        self.all_run_times.observe(run_ms);
    }

    fn run_times(&self, number: usize) -> Option<&RunTimes> {
        let own = &self.all[number].run_times;
        [own, &self.all_run_times]
            .into_iter()
            .find(|run_times| run_times.has_enough_samples())
    }

    fn cost(&self, number: usize) -> f64 {
        self.run_times(number)
            .map_or(COST_UNKNOWN_MS, |run_times| run_times.mean_ms().max(1.0))
    }

    /// Returns the estimated milliseconds until the last queued request of contract `number` is
    /// answered, if the shard has `slots` and contracts of long requests may hold `long_max` of
    /// them.
    pub(crate) fn expected_ms(&self, number: usize, slots: u64, long_max: u64) -> f64 {
        let Some(run_times) = self.run_times(number) else {
            return 0.0;
        };
        let tenant = &self.all[number];
        let weights: f64 = self.backlogged.iter().map(|n| self.all[*n].weight).sum();
        let usable = if tenant.long { long_max } else { slots } as f64;
        let fair = usable * tenant.weight / weights.max(tenant.weight);
        let limit = tenant.limits.map_or(0, |limits| limits.concurrency) as f64;
        let wait = tenant.queue.len() as f64 * run_times.mean_ms() / fair.min(limit).max(1.0);
        wait * WAIT_MARGIN + run_times.p95_ms()
    }

    /// Returns whether a request of contract `number` with `remaining_ms` left is more likely than
    /// not to miss its deadline.
    pub(crate) fn likely_misses_deadline(&self, number: usize, remaining_ms: u64) -> bool {
        let run_times = self.run_times(number);
        run_times.is_some_and(|run_times| (remaining_ms as f64) < run_times.median_ms())
    }

    /// Classifies contracts as long whose requests run much longer than those of another active
    /// contract.
    pub(crate) fn classify(&mut self, now: Instant) {
        self.short_demand.update(now);
        let is_active = |tenant: &Tenant| now.since(tenant.last_queued) < PROTECTION_MS;
        let shortest = self
            .all
            .iter()
            .filter(|tenant| tenant.run_times.has_enough_samples() && is_active(tenant))
            .map(|tenant| tenant.run_times.median_ms())
            .fold(f64::INFINITY, f64::min);
        self.long_running = 0;
        let (mut short, mut total) = (0.0, 0.0);
        for tenant in &mut self.all {
            let median = tenant.run_times.median_ms();
            tenant.long =
                tenant.run_times.has_enough_samples() && median > LONG_FACTOR * (shortest + 1.0);
            self.long_running += u64::from(tenant.long) * tenant.running;
            if is_active(tenant) {
                total += tenant.weight;
                short += if tenant.long { 0.0 } else { tenant.weight };
            }
        }
        self.short_share = if total > 0.0 { short / total } else { 0.0 };
        let active = self.all.iter().filter(|tenant| is_active(tenant));
        let ends = active.map(|tenant| tenant.last_queued + PROTECTION_MS);
        self.protected_until = ends.min();
    }

    /// Returns when the classification may change without a further event.
    pub(crate) fn next_classification(&self) -> Option<Instant> {
        let times = [self.short_demand.ends_at(), self.protected_until];
        times.into_iter().flatten().min()
    }
}
