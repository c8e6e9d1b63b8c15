//! Polls the list of VMs.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::register::Register;
use rosemaryworks_core::target::State;
use rosemaryworks_core::timing::VM_LIST_PERIOD_MS;
use rosemaryworks_node::clock;

use crate::events;
use crate::lock::lock;
use crate::shared::Shared;

/// Polls until the future is dropped.
pub(crate) async fn poll(shared: Arc<Shared>) {
    let mut polls = tokio::time::interval(Duration::from_millis(VM_LIST_PERIOD_MS));
    polls.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut down = false;
    loop {
        polls.tick().await;
        match shared.platform.directory.list().await {
            Ok(listing) => {
                if std::mem::take(&mut down) {
                    events::LIST_BACK.log(format_args!(
                        "workers={} instances={}",
                        listing.workers.len(),
                        listing.instances.len()
                    ));
                }
                lock(&shared.seen).note(clock::now(), &listing);
                *lock(&shared.listing) = Some(Arc::new(listing));
                for hosted in shared.all_hosted() {
                    hosted.list(&shared);
                }
            }
            Err(report) => {
                if !std::mem::replace(&mut down, true) {
                    events::LIST_FAILED.log(format_args!("reason={}", report.current_context()));
                }
            }
        }
    }
}

/// Returns the state of a listed target. One that operators drained is leaving.
pub(crate) fn state(register: &Register, target: &str, listed: State) -> State {
    match (listed, register.is_drained(target)) {
        (State::Live, true) => State::Leaving { within_ms: None },
        (state, _) => state,
    }
}
