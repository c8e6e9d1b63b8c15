//! Polls the list of VMs, which names all workers and service instances.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::register::Register;
use rosemaryworks_core::target::State;
use rosemaryworks_core::timing::VM_LIST_PERIOD_MS;
use rosemaryworks_node::clock;

use crate::context::Context;
use crate::events;
use crate::lock::lock;

/// Polls until the future is dropped.
pub(crate) async fn poll(context: Arc<Context>) {
    let mut polls = tokio::time::interval(Duration::from_millis(VM_LIST_PERIOD_MS));
    polls.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut failing = false;
    loop {
        polls.tick().await;
        match context.platform.directory.list().await {
            Ok(listing) => {
                if std::mem::take(&mut failing) {
                    events::LIST_RECOVERED.log(format_args!(
                        "workers={} instances={}",
                        listing.workers.len(),
                        listing.instances.len()
                    ));
                }
                lock(&context.roster).update(clock::now(), &listing);
                *lock(&context.listing) = Some(Arc::new(listing));
                for host in context.hosts() {
                    host.update_targets(&context);
                }
            }
            Err(report) => {
                if !std::mem::replace(&mut failing, true) {
                    events::LIST_FAILED.log(format_args!("reason={}", report.current_context()));
                }
            }
        }
    }
}

/// Returns the state of a listed target. A live target that operators drained counts as leaving.
pub(crate) fn effective_state(register: &Register, target: &str, listed: State) -> State {
    match (listed, register.is_drained(target)) {
        (State::Live, true) => State::Leaving { within_ms: None },
        (state, _) => state,
    }
}
