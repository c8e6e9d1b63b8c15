//! Periodic maintenance: republishes records before they expire, removes old state, updates gauges.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_wire::link::traffic;

use crate::context::Context;
use crate::contracts;
use crate::host::Host;
use crate::lock::lock;
use crate::writer::Item;

const PERIOD: Duration = Duration::from_secs(1);

/// Runs the maintenance until the future is dropped.
pub(crate) async fn run(context: Arc<Context>) {
    let mut period = tokio::time::interval(PERIOD);
    period.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut contracts = contracts::Ages::default();
    loop {
        period.tick().await;
        let retention_ms = context.settings.retention_ms;
        lock(&context.cell)
            .projection
            .expire(clock::unix_ms(), retention_ms);
        for host in context.hosts() {
            if host.term().is_valid() {
                republish(&context, &host);
            }
            update_gauges(&context, &host);
        }
        contracts::republish(&context, &mut contracts).await;
        let traffic = traffic();
        context
            .counters
            .link_bytes(traffic.sent_bytes(), traffic.received_bytes());
    }
}

/// Queues the records of an owned shard that would otherwise expire from the log.
fn republish(context: &Context, host: &Host) {
    let term = host.term();
    let age_ms = context.settings.retention_ms / 2;
    let records =
        lock(&context.cell)
            .projection
            .republish(clock::now(), &term.shard, term.epoch, age_ms);
    for record in records {
        host.writer().push(Item::Record(Box::new(record)));
    }
}

fn update_gauges(context: &Context, host: &Host) {
    let term = host.term();
    let shard = term.shard.to_string();
    context.counters.support_margin(&shard, term.margin_ms());
    let queue = match host {
        Host::Pool(pool) => pool.unfinished_jobs(context),
        Host::Service(service) => service.queue_length(),
    };
    context.counters.queue_length(&shard, queue);
    let unwritten = host.writer().pending();
    context.counters.unwritten(&shard, unwritten);
}
