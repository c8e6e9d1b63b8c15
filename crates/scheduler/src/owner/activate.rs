//! Starts the kernel of a shard whose ownership this process takes over.

use std::sync::Arc;

use rosemaryworks_core::ownership::Unrecorded;
use rosemaryworks_core::partition::hash;
use rosemaryworks_core::placement;
use rosemaryworks_core::routing;
use rosemaryworks_core::shard::{Epoch, Id, Kind};
use rosemaryworks_node::clock;
use rosemaryworks_wire::Message;

use crate::context::Context;
use crate::events;
use crate::host::Host;
use crate::lock::lock;
use crate::pool::Pool;
use crate::projection::Job;
use crate::service::Service;
use crate::survey;
use crate::term::Term;

/// Parameters of an activation, from the ownership kernel.
pub(super) struct Activation {
    pub(super) shard: Id,
    pub(super) epoch: Epoch,
    /// Whether the shard had no earlier owner.
    pub(super) clean: bool,
    /// Whether earlier dispatches may be unrecorded.
    pub(super) unrecorded: Unrecorded,
    /// Whether this epoch was active before and regained its support.
    pub(super) resumed: bool,
}

/// Starts or resumes acting as the owner.
pub(super) fn activate(context: &Arc<Context>, activation: &Activation) {
    events::ACTIVATED.log(format_args!(
        "shard={} epoch={} clean={} doubt={:?} resumed={}",
        activation.shard,
        activation.epoch,
        activation.clean,
        activation.unrecorded,
        activation.resumed
    ));
    if !activation.resumed {
        context.counters.activation();
        start(context, activation);
    }
    context.gateways.notify(&Message::Owned {
        shard: activation.shard.clone(),
        epoch: activation.epoch,
        owner: Some(context.settings.node.clone()),
    });
    if let Some(Host::Service(service)) = context.host(&activation.shard) {
        for peer in context.gateways.all() {
            survey::start(context, &service, &peer);
        }
    }
}

fn start(context: &Arc<Context>, activation: &Activation) {
    let valid_until = lock(&context.ownership).valid_until(&activation.shard, activation.epoch);
    let term = Term::new(activation.shard.clone(), activation.epoch, valid_until);
    match activation.shard.kind {
        Kind::Pool => start_pool(context, activation, term),
        Kind::Service => start_service(context, activation, term),
    }
}

fn start_service(context: &Arc<Context>, activation: &Activation, term: Term) {
    let cell = lock(&context.cell);
    let recorded = cell.projection.shard(&activation.shard);
    let remembered = recorded.map(|recorded| recorded.requests.unexpired(clock::unix_ms()));
    let start = routing::Start {
        shard: activation.shard.clone(),
        partition: context.partition.clone(),
        gateways: context.settings.cell.gateways.clone(),
        remembered: remembered.unwrap_or_default(),
        unrecorded: activation.unrecorded == Unrecorded::Possible,
        clean: activation.clean,
    };
    drop(cell);
    let host = Host::Service(Service::start(context, term, start));
    // A slot request that arrived before the instances and contracts would be rejected.
    host.update_targets(context);
    let register = lock(&context.register);
    for entry in register.iter() {
        host.update_contract(&entry.contract);
    }
    lock(&context.hosts).insert(activation.shard.clone(), host);
}

fn start_pool(context: &Arc<Context>, activation: &Activation, term: Term) {
    let start = placement::Start {
        shard: activation.shard.clone(),
        partition: context.partition.clone(),
        clean: activation.clean,
        policy: context.settings.placement_policy.clone(),
        seed: hash(&[&activation.shard.to_string(), &activation.epoch.to_string()]),
    };
    let pool = Pool::start(context, term, start);
    let host = Host::Pool(pool.clone());
    pool.restore_workers(context);
    // A submission that arrived before the workers and contracts would be rejected.
    host.update_targets(context);
    let register = lock(&context.register);
    let cell = lock(&context.cell);
    for entry in register.iter() {
        host.update_contract(&entry.contract);
    }
    let recorded = cell.projection.shard(&activation.shard);
    let jobs = recorded.map(|recorded| recorded.jobs.unfinished());
    let restored: Vec<placement::Event> = jobs.into_iter().flatten().map(restored).collect();
    for event in restored {
        pool.handle(event);
    }
    // From here on, each record that is read is passed to the kernel on its own.
    lock(&context.hosts).insert(activation.shard.clone(), host);
    drop(cell);
    drop(register);
    pool.start_ticks();
}

fn restored(job: &Job) -> placement::Event {
    placement::Event::Restored {
        contract: job.contract.clone(),
        job: job.spec.as_ref().clone(),
        tasks: job.tasks(),
        cancelled: job.cancelled,
        age_ms: clock::unix_ms().saturating_sub(job.at_unix_ms),
    }
}
