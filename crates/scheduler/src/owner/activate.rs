//! Starts the kernel of a shard that this process owns from now on.

use std::sync::Arc;

use rosemaryworks_core::ownership::Unrecorded;
use rosemaryworks_core::partition::hash;
use rosemaryworks_core::placement;
use rosemaryworks_core::routing;
use rosemaryworks_core::shard::{Epoch, Id, Kind};
use rosemaryworks_node::clock;
use rosemaryworks_wire::Message;

use crate::events;
use crate::fold::Job;
use crate::hosted::Hosted;
use crate::lock::lock;
use crate::pool::Pool;
use crate::service::Service;
use crate::shared::Shared;
use crate::survey;
use crate::term::Term;

/// What the ownership kernel says of the epoch.
pub(super) struct Terms {
    pub(super) shard: Id,
    pub(super) epoch: Epoch,
    pub(super) clean: bool,
    pub(super) unrecorded: Unrecorded,
    pub(super) resumed: bool,
}

/// Starts or resumes to act as the owner.
pub(super) fn activate(shared: &Arc<Shared>, terms: &Terms) {
    events::ACTIVATED.log(format_args!(
        "shard={} epoch={} clean={} doubt={:?} resumed={}",
        terms.shard, terms.epoch, terms.clean, terms.unrecorded, terms.resumed
    ));
    if !terms.resumed {
        shared.counters.activation();
        start(shared, terms);
    }
    shared.gateways.notify(&Message::Owned {
        shard: terms.shard.clone(),
        epoch: terms.epoch,
        owner: Some(shared.settings.node.clone()),
    });
    if let Some(Hosted::Service(service)) = shared.hosted(&terms.shard) {
        for peer in shared.gateways.all() {
            survey::start(shared, &service, &peer);
        }
    }
}

fn start(shared: &Arc<Shared>, terms: &Terms) {
    let valid_until = lock(&shared.ownership).valid_until(&terms.shard, terms.epoch);
    let term = Term::new(terms.shard.clone(), terms.epoch, valid_until);
    match terms.shard.kind {
        Kind::Pool => start_pool(shared, terms, term),
        Kind::Service => start_service(shared, terms, term),
    }
}

fn start_service(shared: &Arc<Shared>, terms: &Terms, term: Term) {
    let cell = lock(&shared.cell);
    let known = cell.fold.shard(&terms.shard);
    let remembered = known.map(|known| known.requests.remembered(clock::unix_ms()));
    let start = routing::Start {
        shard: terms.shard.clone(),
        partition: shared.partition.clone(),
        gateways: shared.settings.cell.gateways.clone(),
        remembered: remembered.unwrap_or_default(),
        unrecorded: terms.unrecorded == Unrecorded::Possible,
        clean: terms.clean,
    };
    drop(cell);
    let hosted = Hosted::Service(Service::start(shared, term, start));
    // An ask that came before the instances and contracts would be refused.
    hosted.list(shared);
    let register = lock(&shared.register);
    for entry in register.iter() {
        hosted.contract(&entry.contract);
    }
    lock(&shared.hosted).insert(terms.shard.clone(), hosted);
}

fn start_pool(shared: &Arc<Shared>, terms: &Terms, term: Term) {
    let start = placement::Start {
        shard: terms.shard.clone(),
        partition: shared.partition.clone(),
        clean: terms.clean,
        policy: shared.settings.placement_policy.clone(),
        seed: hash(&[&terms.shard.to_string(), &terms.epoch.to_string()]),
    };
    let pool = Pool::start(shared, term, start);
    let hosted = Hosted::Pool(pool.clone());
    pool.recall(shared);
    // A submission that came before the workers and contracts would be rejected.
    hosted.list(shared);
    let register = lock(&shared.register);
    let cell = lock(&shared.cell);
    for entry in register.iter() {
        hosted.contract(&entry.contract);
    }
    let known = cell.fold.shard(&terms.shard);
    let jobs = known.map(|known| known.jobs.unfinished());
    let restored: Vec<placement::Event> = jobs.into_iter().flatten().map(restored).collect();
    for event in restored {
        pool.feed(event);
    }
    // Records read from here on are told to the kernel one by one.
    lock(&shared.hosted).insert(terms.shard.clone(), hosted);
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
