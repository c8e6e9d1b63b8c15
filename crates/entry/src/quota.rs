//! Exchange of parts of teams' caps between the owners of shards. How much an owner asks for and gives
//! is decided by the state machine of the shard.

mod answering;
mod asking;
mod report;

use std::future::Future;
use std::pin::Pin;
use std::sync::MutexGuard;
use std::time::Duration;

use rosemaryworks_workflow::{Ask, Grant, Shard};

pub(crate) use answering::answer;
pub(crate) use asking::ask_for_room;
pub(crate) use report::report;

/// An owned shard.
pub(crate) trait Holder: Send + Sync {
    /// Returns the state of the shard.
    fn state(&self) -> MutexGuard<'_, Shard>;

    /// Wakes the task that carries out the actions of the state machine.
    fn wake(&self);

    /// Returns whether ownership has ended.
    fn is_ended(&self) -> bool;

    /// Waits until more records are durable, for `limit` at most.
    fn wait_durable(&self, limit: Duration) -> Pin<Box<dyn Future<Output = ()> + Send + '_>>;
}

/// Access to the owners of the other shards.
pub(crate) trait Reach: Send + Sync {
    /// Passes a request to the owner of a shard. Returns `None` if it gives no answer.
    fn ask(&self, shard: u32, ask: Ask) -> Pin<Box<dyn Future<Output = Option<Grant>> + Send>>;
}
