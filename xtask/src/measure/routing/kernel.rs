//! Adapter that runs the production routing kernel as a router of the simulation.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant as WallClock};

use rosemaryworks_core::contract::{Contract, Service};
use rosemaryworks_core::job::Priority;
use rosemaryworks_core::outcome::{Finish, Request as Identity};
use rosemaryworks_core::partition::Map;
use rosemaryworks_core::routing::{Action, Event, Kernel, Key, Slot, SlotRequest, Start};
use rosemaryworks_core::shard::Id;
use rosemaryworks_core::target::{Instance, State};
use rosemaryworks_core::time::Instant;

use super::load::Request;
use super::sim::{Decision, Router, SLOTS};

const ZONES: [&str; 3] = ["milano", "torino", "bologna"];

/// The routing kernel with instances `0`, `1` and so on, and contracts `c0`, `c1` and so on.
pub(crate) struct KernelRouter {
    kernel: Kernel,
    instances: usize,
    slots: HashMap<usize, Slot>,
    /// Events handled.
    pub(crate) events: u64,
    /// Wall-clock time spent in the kernel.
    pub(crate) kernel_time: Duration,
}

impl KernelRouter {
    /// Creates a kernel for `instances` and contracts with `weights`.
    pub(crate) fn new(instances: usize, weights: &[u32]) -> Self {
        let mut partition = Map::default();
        partition.services.insert("s".into(), 1);
        let start = Start {
            shard: Id::service("s", 0),
            partition: Arc::new(partition),
            gateways: Vec::new(),
            remembered: Vec::new(),
            unrecorded: false,
            clean: true,
        };
        let mut routing = Self {
            kernel: Kernel::new(Instant(0), start),
            instances,
            slots: HashMap::new(),
            events: 0,
            kernel_time: Duration::ZERO,
        };
        for (number, weight) in weights.iter().enumerate() {
            let contract = contract(number, *weight);
            routing.handle_event(0, Event::Contract(Arc::new(contract)));
        }
        routing.update_instances(0, 0);
        routing
    }

    /// Passes the list of instances to the kernel, the first `leaving_count` as leaving.
    fn update_instances(&mut self, now: u64, leaving_count: usize) -> Vec<Decision> {
        let state = |n| match n < leaving_count {
            true => State::Leaving { within_ms: None },
            false => State::Live,
        };
        let listed = (0..self.instances).map(|n| (instance(n), state(n)));
        self.handle_event(now, Event::Listed(listed.collect()))
    }

    fn handle_event(&mut self, now: u64, event: Event) -> Vec<Decision> {
        let begin = WallClock::now();
        let actions = self.kernel.handle(Instant(now / 1_000), event);
        self.kernel_time += begin.elapsed();
        self.events += 1;
        actions
            .into_iter()
            .filter_map(|action| self.decide(action))
            .collect()
    }

    fn decide(&mut self, action: Action) -> Option<Decision> {
        match action {
            Action::Grant {
                key,
                slot,
                instance,
            } => {
                let request = key.number as usize;
                self.slots.insert(request, slot);
                let instance = instance.name.parse().ok()?;
                Some(Decision::Dispatch { request, instance })
            }
            Action::Refuse { key, .. } | Action::ReportUnknown { key, .. } => {
                Some(Decision::Refuse(key.number as usize))
            }
            Action::WriteIntent { .. } | Action::Probe(_) => None,
        }
    }

    fn key(number: usize) -> Key {
        Key {
            gateway: "g".into(),
            number: number as u64,
        }
    }
}

fn contract(number: usize, weight: u32) -> Contract {
    let limits = Service {
        rate: 1_000_000,
        burst: 1_000_000,
        concurrency: 100_000,
        queue: 10_000,
    };
    Contract {
        name: format!("c{number}").into(),
        weight,
        keys: Vec::new(),
        services: BTreeMap::from([("s".into(), limits)]),
        pools: BTreeMap::new(),
        max_priority: Priority::Normal,
        urgent_percent: 0,
    }
}

fn instance(number: usize) -> Instance {
    Instance {
        name: number.to_string().into(),
        service: "s".into(),
        zone: ZONES[number % ZONES.len()].into(),
        address: ([127, 0, 0, 1], 1).into(),
        slots: SLOTS as u32,
        connections: 64,
    }
}

impl Router for KernelRouter {
    fn arrive(&mut self, now: u64, number: usize, request: &Request) -> Vec<Decision> {
        let slot_request = SlotRequest {
            key: Self::key(number),
            request: Identity {
                contract: format!("c{}", request.contract).into(),
                id: number.to_string().into(),
            },
            idempotent: true,
            attempt: None,
            remaining_ms: request.deadline.saturating_sub(now) / 1_000,
            exclude: request
                .failed
                .iter()
                .map(|n| n.to_string().into())
                .collect(),
        };
        self.handle_event(now, Event::SlotRequest(slot_request))
    }

    fn finish(&mut self, now: u64, number: usize, _: usize, run: Option<u64>) -> Vec<Decision> {
        let Some(slot) = self.slots.remove(&number) else {
            return Vec::new();
        };
        let outcome = run.map_or(Finish::Rejected, |_| Finish::Answered);
        let run_ms = run.unwrap_or(0) / 1_000;
        self.handle_event(
            now,
            Event::Finished {
                slot,
                finish: outcome,
                run_ms,
            },
        )
    }

    /// Does nothing: the kernel knows the deadline and expires the request itself.
    fn expire(&mut self, _now: u64, _number: usize) -> Vec<Decision> {
        Vec::new()
    }

    fn set_leaving(&mut self, now: u64, count: usize) -> Vec<Decision> {
        self.update_instances(now, count)
    }

    fn tick(&mut self, now: u64) -> Vec<Decision> {
        self.handle_event(now, Event::Tick)
    }
}
