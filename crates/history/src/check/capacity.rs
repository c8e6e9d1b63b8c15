//! Capacity: no worker or instance is assigned more work than its capacity.

use std::collections::HashMap;
use std::sync::Arc;

use rosemaryworks_core::size::Size;

use super::Finding;
use crate::record::{Event, Record, Refusal};

#[derive(Default)]
struct Worker {
    leases: HashMap<(Arc<str>, u32), Size>,
    size: Size,
}

#[derive(Default)]
struct Instance {
    running_requests: u32,
    connection_limit: u32,
    open_connections: u32,
    slots: u32,
}

#[derive(Default)]
struct State {
    instances: HashMap<Arc<str>, Instance>,
    workers: HashMap<Arc<str>, Worker>,
}

/// Checks the total lease size of a worker and the running requests and connections of an instance
/// whenever one is added. Work that a full target rejected is a violation as well: it was assigned
/// beyond capacity.
pub(super) fn check(records: &[Record]) -> Finding {
    let mut finding = Finding::new("capacity");
    let mut state = State::default();
    for record in records {
        check_worker(&mut state.workers, record, &mut finding);
        check_instance(&mut state.instances, record, &mut finding);
    }
    finding
}

fn check_worker(workers: &mut HashMap<Arc<str>, Worker>, record: &Record, finding: &mut Finding) {
    let at_us = record.at_us;
    match &record.event {
        Event::WorkerStarted { worker, size } => {
            workers.entry(worker.clone()).or_default().size = *size;
        }
        Event::LeaseGranted {
            worker,
            task,
            attempt,
            size,
            ..
        } => {
            let state = workers.entry(worker.clone()).or_default();
            state.leases.insert((task.clone(), *attempt), *size);
            let total = state
                .leases
                .values()
                .fold(Size::ZERO, |total, size| total + *size);
            finding.require(total.fits(&state.size), at_us, || {
                format!(
                    "worker {worker} has leases of {total:?}, more than its capacity of {:?}",
                    state.size
                )
            });
        }
        Event::LeaseEnded {
            worker,
            task,
            attempt,
            ..
        } => {
            let state = workers.entry(worker.clone()).or_default();
            state.leases.remove(&(task.clone(), *attempt));
        }
        Event::LeaseRefused {
            worker,
            task,
            attempt,
            reason: Refusal::Full,
            ..
        } => finding.require(false, at_us, || {
            format!("worker {worker} rejected task {task} attempt {attempt} as full")
        }),
        _ => {}
    }
}

fn check_instance(
    instances: &mut HashMap<Arc<str>, Instance>,
    record: &Record,
    finding: &mut Finding,
) {
    let at_us = record.at_us;
    let mut update = |name: &Arc<str>, change: &mut dyn FnMut(&mut Instance)| {
        change(instances.entry(name.clone()).or_default());
    };
    match &record.event {
        Event::InstanceStarted {
            instance,
            slots,
            connections,
        } => update(instance, &mut |state| {
            state.slots = *slots;
            state.connection_limit = *connections;
        }),
        Event::Arrived { instance, .. } => update(instance, &mut |state| {
            state.running_requests += 1;
            finding.require(state.running_requests <= state.slots, at_us, || {
                format!(
                    "instance {instance} runs {} requests with {} slots",
                    state.running_requests, state.slots
                )
            });
        }),
        Event::Served { instance, .. } => {
            update(instance, &mut |state| {
                state.running_requests = state.running_requests.saturating_sub(1)
            });
        }
        Event::Crashed { instance } => update(instance, &mut |state| state.running_requests = 0),
        Event::Connected { instance, .. } => update(instance, &mut |state| {
            state.open_connections += 1;
            finding.require(
                state.open_connections <= state.connection_limit,
                at_us,
                || {
                    format!(
                        "instance {instance} has {} connections, more than its limit of {}",
                        state.open_connections, state.connection_limit
                    )
                },
            );
        }),
        Event::Disconnected { instance, .. } => {
            update(instance, &mut |state| {
                state.open_connections = state.open_connections.saturating_sub(1)
            });
        }
        Event::Rejected {
            instance,
            request,
            reason: Refusal::Full,
        } => finding.require(false, at_us, || {
            format!(
                "instance {instance} rejected request {} as full",
                request.id
            )
        }),
        _ => {}
    }
}
