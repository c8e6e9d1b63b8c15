//! Answers to requests of other owners.

use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_workflow::{Ask, Grant};

use super::Holder;
use crate::events;

/// Longest wait until what is given is durable, in milliseconds. After that, the answer tells only
/// what was durable before; the next one tells the rest.
const DURABLE_WAIT_MS: u64 = 200;

/// Longest time between two checks of whether it is durable.
const CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Answers a request; `None` if ownership has ended.
pub(crate) async fn answer(holder: &dyn Holder, ask: &Ask) -> Option<Grant> {
    if holder.is_ended() {
        return None;
    }
    let began_ms = clock::now().0;
    let (before, issued) = {
        let mut state = holder.state();
        let before = state.issued_records();
        state.apply_ask(ask, began_ms);
        (before, state.issued_records())
    };
    if issued > before {
        holder.wake();
        let is_durable = || holder.state().has_durable(issued);
        while !is_durable() && clock::now().0 < began_ms + DURABLE_WAIT_MS {
            if holder.is_ended() {
                return None;
            }
            holder.wait_durable(CHECK_PERIOD).await;
        }
        events::ROOM_GIVEN.log(format_args!(
            "to={} teams={} durable={} took_ms={}",
            ask.from,
            ask.wants.len(),
            is_durable(),
            clock::now().0.saturating_sub(began_ms)
        ));
    }
    let grant = holder.state().grant(ask, clock::now().0);
    Some(grant)
}
