//! State of one contract in a shard: limits, queue and position in the weighted fair order.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::bucket::Bucket;
use super::run_times::RunTimes;
use super::{Key, SlotRequest};
use crate::contract::Contract;
use crate::outcome::Request;
use crate::partition::Map;
use crate::shard::Id;
use crate::time::Instant;
use crate::timing::DEADLINE_MAX_MS;

/// A queued slot request.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    /// Identity of the slot request.
    pub(crate) key: Key,
    /// Identity of the request.
    pub(crate) request: Request,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Instances that must not be used.
    pub(crate) exclude: Vec<Arc<str>>,
    /// Time at which the slot request arrived.
    pub(crate) arrived: Instant,
    /// Time at which the caller stops waiting.
    pub(crate) deadline: Instant,
    /// Whether the intent has been written.
    pub(crate) intent_written: bool,
}

impl Waiting {
    /// Creates the entry for a slot request that arrived at `now`.
    pub(crate) fn new(now: Instant, slot_request: SlotRequest) -> Self {
        Self {
            key: slot_request.key,
            request: slot_request.request,
            idempotent: slot_request.idempotent,
            exclude: slot_request.exclude,
            arrived: now,
            deadline: now + slot_request.remaining_ms.min(DEADLINE_MAX_MS),
            intent_written: false,
        }
    }
}

/// This shard's share of a contract's limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Limits {
    /// Requests per second.
    pub(crate) rate: u64,
    /// Requests at once after an idle period.
    pub(crate) burst: u64,
    /// Requests dispatched at the same time.
    pub(crate) concurrency: u64,
    /// Requests queued.
    pub(crate) queue: u64,
}

impl Limits {
    /// Returns the share of the limits for `shard`, or `None` if the contract doesn't include the
    /// service.
    pub(crate) fn for_shard(contract: &Contract, partition: &Map, shard: &Id) -> Option<Self> {
        let service = contract.services.get(&shard.group)?;
        let pinning_limit = service.pinning_limit();
        let share =
            |limit: u32| partition.share(shard, &contract.name, u64::from(limit), pinning_limit);
        Some(Self {
            rate: share(service.rate),
            burst: share(service.burst),
            concurrency: share(service.concurrency),
            queue: share(service.queue),
        })
    }
}

/// State of one contract.
#[derive(Debug)]
pub(crate) struct Tenant {
    /// Share of contended capacity relative to other contracts.
    pub(crate) weight: f64,
    /// Limits; `None` if they are unknown or the contract doesn't include the service.
    pub(crate) limits: Option<Limits>,
    /// Rate limiter.
    pub(crate) bucket: Bucket,
    /// Slots taken.
    pub(crate) running: u64,
    /// Queued slot requests by sequence number.
    pub(crate) queue: BTreeMap<u64, Waiting>,
    /// Slot time used so far per unit of weight (stride scheduling): the contract with the least is
    /// served next.
    pub(crate) pass: f64,
    /// Estimated run times.
    pub(crate) run_times: RunTimes,
    /// Whether the contract's requests run much longer than those of other contracts.
    pub(crate) long: bool,
    /// Time at which a slot request was last queued.
    pub(crate) last_queued: Instant,
}

impl Tenant {
    /// Creates the state of a contract whose limits are unknown: none of its requests is admitted.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            weight: 1.0,
            limits: None,
            bucket: Bucket::new(now, 0, 0, 0),
            running: 0,
            queue: BTreeMap::new(),
            pass: 0.0,
            run_times: RunTimes::default(),
            long: false,
            last_queued: Instant(0),
        }
    }

    /// Returns whether the concurrency limit allows another request.
    pub(crate) fn is_below_concurrency_limit(&self) -> bool {
        self.limits
            .is_some_and(|limits| self.running < limits.concurrency)
    }
}
