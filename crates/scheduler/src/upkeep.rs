//! Periodic work: states again what is in force, forgets what is old, updates gauges.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_wire::link::traffic;

use crate::contracts;
use crate::hosted::Hosted;
use crate::lock::lock;
use crate::shared::Shared;
use crate::writer::Item;

const PERIOD: Duration = Duration::from_secs(1);

/// Works until the future is dropped.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut period = tokio::time::interval(PERIOD);
    period.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut contracts = contracts::Ages::default();
    loop {
        period.tick().await;
        let retention_ms = shared.settings.retention_ms;
        lock(&shared.cell)
            .fold
            .expire(clock::unix_ms(), retention_ms);
        for hosted in shared.all_hosted() {
            if hosted.term().holds() {
                restate(&shared, &hosted);
            }
            gauge(&shared, &hosted);
        }
        contracts::restate(&shared, &mut contracts).await;
        let traffic = traffic();
        shared
            .counters
            .link_bytes(traffic.sent_bytes(), traffic.received_bytes());
    }
}

/// Queues the records of an owned shard that would expire from the log.
fn restate(shared: &Shared, hosted: &Hosted) {
    let term = hosted.term();
    let age_ms = shared.settings.retention_ms / 2;
    let records = lock(&shared.cell)
        .fold
        .restate(clock::now(), &term.shard, term.epoch, age_ms);
    for record in records {
        hosted.writer().push(Item::Record(Box::new(record)));
    }
}

fn gauge(shared: &Shared, hosted: &Hosted) {
    let term = hosted.term();
    let shard = term.shard.to_string();
    shared.counters.margin(&shard, term.margin_ms());
    let queue = match hosted {
        Hosted::Pool(pool) => pool.open(shared),
        Hosted::Service(service) => service.waiting(),
    };
    shared.counters.queue(&shard, queue);
    let unwritten = hosted.writer().open();
    shared.counters.unwritten(&shard, unwritten);
}
