//! Capacity: no VM is assigned more work than it can hold.

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
    busy: u32,
    connections: u32,
    open: u32,
    slots: u32,
}

#[derive(Default)]
struct State {
    instances: HashMap<Arc<str>, Instance>,
    workers: HashMap<Arc<str>, Worker>,
}

/// Checks the total lease size, the running requests and the connections of each VM after every
/// event. Work that a full VM rejected is a violation as well: it was assigned beyond capacity.
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
            state.connections = *connections;
        }),
        Event::Arrived { instance, .. } => update(instance, &mut |state| {
            state.busy += 1;
            finding.require(state.busy <= state.slots, at_us, || {
                format!(
                    "instance {instance} runs {} requests with {} slots",
                    state.busy, state.slots
                )
            });
        }),
        Event::Served { instance, .. } => {
            update(instance, &mut |state| {
                state.busy = state.busy.saturating_sub(1)
            });
        }
        Event::Crashed { instance } => update(instance, &mut |state| state.busy = 0),
        Event::Connected { instance, .. } => update(instance, &mut |state| {
            state.open += 1;
            finding.require(state.open <= state.connections, at_us, || {
                format!(
                    "instance {instance} has {} connections, more than its limit of {}",
                    state.open, state.connections
                )
            });
        }),
        Event::Disconnected { instance, .. } => {
            update(instance, &mut |state| {
                state.open = state.open.saturating_sub(1)
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
