//! Requests to the owners of the other shards, as long as this shard lacks room for a team.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_workflow::Ask;

use super::{Holder, Reach};

/// Time between two checks of whether the shard lacks room.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Shortest time between two requests to the same owner. Room moves within two such periods.
const ASK_PERIOD: Duration = Duration::from_millis(100);

/// Number of other shards per [`ASK_PERIOD`] between two requests, so that the requests of many
/// owners leave them time for their work.
const SHARDS_PER_PERIOD: u32 = 8;

/// Shards whose owners have not answered the last request.
type Pending = Arc<Mutex<BTreeSet<u32>>>;

/// Asks the owners of the other shards for room until ownership ends.
pub(crate) async fn ask_for_room(holder: Arc<dyn Holder>, reach: Arc<dyn Reach>) {
    let pending = Pending::default();
    while !holder.is_ended() {
        let ask = holder.state().ask(clock::now().0);
        let Some((ask, shards)) = ask else {
            tokio::time::sleep(CHECK_PERIOD).await;
            continue;
        };
        let count = u32::try_from(shards.len()).unwrap_or(u32::MAX);
        for shard in shards {
            let is_new = lock(&pending).insert(shard);
            if is_new {
                let mut ask = ask.clone();
                if !holder.state().has_heard(shard) {
                    ask.wants.clear();
                }
                let exchange = exchange(holder.clone(), reach.clone(), shard, ask);
                let pending = pending.clone();
                tokio::spawn(async move {
                    exchange.await;
                    lock(&pending).remove(&shard);
                });
            }
        }
        let periods = count.div_ceil(SHARDS_PER_PERIOD).max(1);
        tokio::time::sleep(ASK_PERIOD.saturating_mul(periods)).await;
    }
}

async fn exchange(holder: Arc<dyn Holder>, reach: Arc<dyn Reach>, shard: u32, ask: Ask) {
    // Without an answer the next request asks for the same.
    if let Some(grant) = reach.ask(shard, ask).await {
        holder.state().apply_grant(shard, grant, clock::now().0);
        holder.wake();
    }
}

fn lock(pending: &Pending) -> std::sync::MutexGuard<'_, BTreeSet<u32>> {
    pending.lock().unwrap_or_else(PoisonError::into_inner)
}
