//! No VM is ever given more work than it can hold.

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

/// Checks the sum of sizes, the slots and the connections at each VM after every event. Work that
/// a full VM refused was given to it all the same.
pub(super) fn check(records: &[Record]) -> Finding {
    let mut finding = Finding::new("capacity");
    let mut state = State::default();
    for record in records {
        at_worker(&mut state.workers, record, &mut finding);
        at_instance(&mut state.instances, record, &mut finding);
    }
    finding
}

fn at_worker(workers: &mut HashMap<Arc<str>, Worker>, record: &Record, finding: &mut Finding) {
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
            let sum = state
                .leases
                .values()
                .fold(Size::ZERO, |sum, size| sum + *size);
            finding.require(sum.fits(&state.size), at_us, || {
                format!("worker {worker} holds {sum:?} of {:?}", state.size)
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
            format!("worker {worker} had no room for task {task} attempt {attempt}")
        }),
        _ => {}
    }
}

fn at_instance(
    instances: &mut HashMap<Arc<str>, Instance>,
    record: &Record,
    finding: &mut Finding,
) {
    let at_us = record.at_us;
    let mut state = |name: &Arc<str>, act: &mut dyn FnMut(&mut Instance)| {
        act(instances.entry(name.clone()).or_default());
    };
    match &record.event {
        Event::InstanceStarted {
            instance,
            slots,
            connections,
        } => state(instance, &mut |it| {
            it.slots = *slots;
            it.connections = *connections;
        }),
        Event::Arrived { instance, .. } => state(instance, &mut |it| {
            it.busy += 1;
            finding.require(it.busy <= it.slots, at_us, || {
                format!(
                    "instance {instance} runs {} requests of {}",
                    it.busy, it.slots
                )
            });
        }),
        Event::Served { instance, .. } => {
            state(instance, &mut |it| it.busy = it.busy.saturating_sub(1));
        }
        Event::Crashed { instance } => state(instance, &mut |it| it.busy = 0),
        Event::Connected { instance, .. } => state(instance, &mut |it| {
            it.open += 1;
            finding.require(it.open <= it.connections, at_us, || {
                format!(
                    "instance {instance} has {} connections of {}",
                    it.open, it.connections
                )
            });
        }),
        Event::Disconnected { instance, .. } => {
            state(instance, &mut |it| it.open = it.open.saturating_sub(1));
        }
        Event::Rejected {
            instance,
            request,
            reason: Refusal::Full,
        } => finding.require(false, at_us, || {
            format!("instance {instance} had no slot for request {}", request.id)
        }),
        _ => {}
    }
}
