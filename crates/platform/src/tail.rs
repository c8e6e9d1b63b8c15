//! Tails a stream of the log by long polling.

use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use rosemaryworks_core::record::Offset;
use rosemaryworks_node::clock;

use crate::failure::{Failure, Fault};
use crate::health::Health;
use crate::log::{Entry, Log};

/// Milliseconds that a read waits for a new record.
pub const WAIT_MS: u64 = 500;

const PAGE_MAX_RECORDS: u32 = 1_000;
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Event of a followed stream.
#[derive(Clone, Debug)]
pub enum Event {
    /// All records before this offset have been delivered.
    CaughtUp(Offset),
    /// Records in offset order.
    Entries(Vec<Entry>),
    /// Records before this offset have expired unread; the follower continues from here. Later
    /// records republish the state that is still in force.
    Expired(Offset),
    /// A read failed and will be retried.
    Failed(Arc<Report<Failure>>),
}

/// Follows `stream` from offset `from` on until the future is dropped, and passes each event to
/// `on_event`.
pub async fn follow(
    log: Arc<dyn Log>,
    health: Health,
    stream: &str,
    from: Offset,
    mut on_event: impl FnMut(Event),
) {
    let mut from = from;
    let mut caught_up = false;
    loop {
        let wait_ms = if caught_up { WAIT_MS } else { 0 };
        match log.read(stream, from, PAGE_MAX_RECORDS, wait_ms).await {
            Ok(page) => {
                health.read(clock::now(), true);
                let end = page.entries.last().map_or(from, |entry| entry.offset + 1);
                if !page.entries.is_empty() {
                    on_event(Event::Entries(page.entries));
                }
                from = end;
                caught_up = end >= page.next;
                if caught_up {
                    on_event(Event::CaughtUp(end));
                }
            }
            Err(report) => match &report.current_context().fault {
                Fault::Expired { first } if *first > from => {
                    from = *first;
                    on_event(Event::Expired(from));
                }
                _ => {
                    health.read(clock::now(), false);
                    on_event(Event::Failed(Arc::new(report)));
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            },
        }
    }
}
