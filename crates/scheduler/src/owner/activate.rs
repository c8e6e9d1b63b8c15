//! Starts the kernel of a shard that this process owns from now on.

use std::sync::Arc;

use rosemaryworks_core::ownership::Doubt;
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

/// What the ownership kernel says of the epoch.
pub(super) struct Terms {
    pub(super) shard: Id,
    pub(super) epoch: Epoch,
    pub(super) clean: bool,
    pub(super) doubt: Doubt,
    pub(super) resumed: bool,
}

/// Starts or resumes to act as the owner.
pub(super) fn activate(context: &Arc<Context>, terms: &Terms) {
    events::ACTIVATED.log(format_args!(
        "shard={} epoch={} clean={} doubt={:?} resumed={}",
        terms.shard, terms.epoch, terms.clean, terms.doubt, terms.resumed
    ));
    if !terms.resumed {
        context.counters.activation();
        start(context, terms);
    }
    context.gateways.notify(&Message::Owned {
        shard: terms.shard.clone(),
        epoch: terms.epoch,
        owner: Some(context.settings.node.clone()),
    });
    if let Some(Host::Service(service)) = context.host(&terms.shard) {
        for peer in context.gateways.all() {
            survey::start(context, &service, &peer);
        }
    }
}

fn start(context: &Arc<Context>, terms: &Terms) {
    let valid_until = lock(&context.ownership).valid_until(&terms.shard, terms.epoch);
    let term = Term::new(terms.shard.clone(), terms.epoch, valid_until);
    match terms.shard.kind {
        Kind::Pool => start_pool(context, terms, term),
        Kind::Service => start_service(context, terms, term),
    }
}

fn start_service(context: &Arc<Context>, terms: &Terms, term: Term) {
    let cell = lock(&context.cell);
    let known = cell.projection.shard(&terms.shard);
    let remembered = known.map(|known| known.requests.remembered(clock::unix_ms()));
    let start = routing::Start {
        shard: terms.shard.clone(),
        partition: context.partition.clone(),
        gateways: context.settings.cell.gateways.clone(),
        remembered: remembered.unwrap_or_default(),
        doubt: terms.doubt == Doubt::Possible,
        clean: terms.clean,
    };
    drop(cell);
    let host = Host::Service(Service::start(context, term, start));
    // An ask that came before the instances and contracts would be refused.
    host.list(context);
    let register = lock(&context.register);
    for entry in register.iter() {
        host.contract(&entry.contract);
    }
    lock(&context.hosts).insert(terms.shard.clone(), host);
}

fn start_pool(context: &Arc<Context>, terms: &Terms, term: Term) {
    let start = placement::Start {
        shard: terms.shard.clone(),
        partition: context.partition.clone(),
        clean: terms.clean,
        policy: context.settings.placement_policy.clone(),
        seed: hash(&[&terms.shard.to_string(), &terms.epoch.to_string()]),
    };
    let pool = Pool::start(context, term, start);
    let host = Host::Pool(pool.clone());
    pool.recall(context);
    // A submission that came before the workers and contracts would be rejected.
    host.list(context);
    let register = lock(&context.register);
    let cell = lock(&context.cell);
    for entry in register.iter() {
        host.contract(&entry.contract);
    }
    let known = cell.projection.shard(&terms.shard);
    let jobs = known.map(|known| known.jobs.unfinished());
    let restored: Vec<placement::Event> = jobs.into_iter().flatten().map(restored).collect();
    for event in restored {
        pool.feed(event);
    }
    // Records read from here on are told to the kernel one by one.
    lock(&context.hosts).insert(terms.shard.clone(), host);
    drop(cell);
    drop(register);
    pool.run();
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
