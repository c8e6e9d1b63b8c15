//! Host of one routing kernel with one gateway.

use std::sync::Arc;

use rosemaryworks_core::contract::Service;
use rosemaryworks_core::outcome::{Finish, NotRun, Request, Unknown};
use rosemaryworks_core::routing::{Action, Event, Kernel, Key, Slot, SlotRequest, Start};
use rosemaryworks_core::target::State;
use rosemaryworks_core::time::Instant;

use crate::cell::{contract, instance, request};

/// A routing kernel with one gateway `g`, and the actions of the last event.
pub(crate) struct Host {
    pub(crate) kernel: Kernel,
    now: u64,
    pub(crate) next: u64,
    pub(crate) steps: Vec<Action>,
}

pub(crate) fn limits(rate: u32, concurrency: u32, queue: u32) -> Service {
    Service {
        rate,
        burst: rate,
        concurrency,
        queue,
    }
}

pub(crate) fn listed(names: &[(&str, State)]) -> Event {
    let instance_of = |(name, state): &(&str, State)| (instance(name, 8), *state);
    Event::Listed(names.iter().map(instance_of).collect())
}

impl Host {
    pub(crate) fn new(start: Start, instances: &[(&str, State)]) -> Self {
        let mut host = Self {
            kernel: Kernel::new(Instant(1_000_000), start),
            now: 1_000_000,
            next: 0,
            steps: Vec::new(),
        };
        host.feed(contract("c", limits(1_000, 1_000, 1_000)));
        host.feed(listed(instances));
        host
    }

    pub(crate) fn feed(&mut self, event: Event) -> Vec<Action> {
        self.steps = self.kernel.handle(Instant(self.now), event);
        self.steps.clone()
    }

    pub(crate) fn wait(&mut self, millis: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        let end = self.now + millis;
        while self.now < end {
            self.now = end.min(self.now + 20);
            actions.extend(self.feed(Event::Tick));
        }
        actions
    }

    pub(crate) fn key(&mut self) -> Key {
        self.next += 1;
        Key {
            gateway: "g".into(),
            number: self.next,
        }
    }

    pub(crate) fn request_grant(&mut self, id: &str, idempotent: bool) -> (Key, Vec<Action>) {
        self.request_grant_with(request("c", id), idempotent, 10_000, &[])
    }

    pub(crate) fn request_grant_with(
        &mut self,
        request: Request,
        idempotent: bool,
        remaining_ms: u64,
        exclude: &[&str],
    ) -> (Key, Vec<Action>) {
        let key = self.key();
        let actions = self.feed(Event::SlotRequest(SlotRequest {
            key: key.clone(),
            request,
            idempotent,
            attempt: None,
            remaining_ms,
            exclude: exclude.iter().map(|name| (*name).into()).collect(),
        }));
        (key, actions)
    }

    pub(crate) fn grants(&mut self, count: usize) -> Vec<(Slot, Arc<str>)> {
        (0..count)
            .filter_map(|_| grant_of(&self.request_grant("id", true).1))
            .collect()
    }

    pub(crate) fn finish(&mut self, slot: Slot, finish: Finish, run_ms: u64) -> Vec<Action> {
        self.feed(Event::Finished {
            slot,
            finish,
            run_ms,
        })
    }

    pub(crate) fn report_occupancy(&mut self, name: &str, busy: Option<u32>) -> Vec<Action> {
        let instance = name.into();
        self.feed(Event::Occupancy { instance, busy })
    }

    pub(crate) fn taken(&self, name: &str) -> u32 {
        let targets = self.kernel.targets();
        let target = targets.iter().find(|target| &*target.name == name);
        target.map_or(0, |target| target.taken)
    }
}

pub(crate) fn grant_of(actions: &[Action]) -> Option<(Slot, Arc<str>)> {
    actions.iter().find_map(|action| match action {
        Action::Grant { slot, instance, .. } => Some((*slot, instance.name.clone())),
        _ => None,
    })
}

pub(crate) fn refusal_of(actions: &[Action]) -> Option<NotRun> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { reason, .. } => Some(reason.clone()),
        _ => None,
    })
}

pub(crate) fn unknown_of(actions: &[Action]) -> Option<Unknown> {
    actions.iter().find_map(|action| match action {
        Action::ReportUnknown { reason, .. } => Some(reason.clone()),
        _ => None,
    })
}
