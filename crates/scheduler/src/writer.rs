//! Group commit of records that must reach the log eventually: a queue with batched writes that are
//! retried for as long as the log is unreachable.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use rosemaryworks_core::backlog::Backlog;
use rosemaryworks_core::job::{End, Task};
use rosemaryworks_core::outcome::Request;
use rosemaryworks_core::record::Cell;
use rosemaryworks_core::time::Instant;
use rosemaryworks_core::timing::REQUEST_ID_RETENTION_MS;
use rosemaryworks_node::clock;
use tokio::sync::mpsc;

use crate::context::{Context, Written};
use crate::events;
use crate::term::Term;

const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Most tasks, requests or records taken from the queue at once.
const BATCH_MAX: usize = 500;

/// Period at which expired items are dropped while the log is unreachable.
const EXPIRE_PERIOD: Duration = Duration::from_secs(1);

/// An item to be written under the epoch of the term.
#[derive(Clone, Debug)]
pub(crate) enum Item {
    /// A task ended.
    End(Task, End),
    /// A lease was granted without the log.
    Granted(Task),
    /// A request was dispatched without the log.
    Intent { request: Request, at_unix_ms: u64 },
    /// Any other record.
    Record(Box<Cell>),
}

impl Item {
    /// Returns the time at which the item expires if it is pushed now. The id of a request is kept
    /// for [`REQUEST_ID_RETENTION_MS`]; all other items are needed whenever the log is reachable
    /// again.
    fn expires(&self) -> Option<Instant> {
        matches!(self, Self::Intent { .. }).then(|| clock::now() + REQUEST_ID_RETENTION_MS)
    }

    /// Returns whether the ownership kernel counts the item as a grant made without the log.
    fn is_unlogged(&self) -> bool {
        matches!(self, Self::Granted(_) | Self::Intent { .. })
    }
}

/// An item with the time at which it expires.
type Queued = (Item, Option<Instant>);

/// Queue of one owned shard's records. The order of items is kept.
///
/// While the log is unreachable, the number of intents is bounded by the request ids that the
/// routing kernel keeps, and the number of all other items by the tasks and jobs that were accepted
/// before.
#[derive(Clone, Debug)]
pub(crate) struct Writer {
    items: mpsc::UnboundedSender<Queued>,
    pending: Arc<AtomicUsize>,
    /// Whether the last write failed.
    failing: Arc<AtomicBool>,
}

impl Writer {
    /// Creates a writer. Returns it with the queue that [`Writer::run`] writes.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<Queued>) {
        let (items, receiver) = mpsc::unbounded_channel();
        let writer = Self {
            items,
            pending: Arc::default(),
            failing: Arc::default(),
        };
        (writer, receiver)
    }

    /// Queues an item.
    pub(crate) fn push(&self, item: Item) {
        self.pending.fetch_add(1, Ordering::SeqCst);
        let expires = item.expires();
        // The receiver ends only with the epoch, after which nothing may be written.
        let _ = self.items.send((item, expires));
    }

    /// Returns the number of items that are neither written nor expired.
    pub(crate) fn pending(&self) -> usize {
        self.pending.load(Ordering::SeqCst)
    }

    /// Writes the items of `receiver` until the term has ended.
    pub(crate) async fn run(
        self,
        context: Arc<Context>,
        term: impl AsRef<Term> + Send + 'static,
        mut receiver: mpsc::UnboundedReceiver<Queued>,
    ) {
        let mut backlog = Backlog::default();
        loop {
            if backlog.is_empty() {
                match receiver.recv().await {
                    Some((item, expires)) => backlog.push(item, expires),
                    None => return,
                }
            }
            drain_queue(&mut receiver, &mut backlog);
            let items = backlog.take(BATCH_MAX);
            let count = items.len();
            let unlogged = items.iter().filter(|item| item.is_unlogged()).count();
            let write = self.persist_all(&context, term.as_ref(), items);
            let mut expired = |dropped| self.complete(&context, term.as_ref(), dropped, dropped);
            if !expire_while_writing(write, &mut receiver, &mut backlog, &mut expired).await {
                return;
            }
            self.complete(&context, term.as_ref(), count, unlogged);
        }
    }

    /// Completes `count` items that are written or expired, `unlogged` of which are grants made
    /// without the log.
    fn complete(&self, context: &Context, term: &Term, count: usize, unlogged: usize) {
        self.pending.fetch_sub(count, Ordering::SeqCst);
        if unlogged > 0 {
            context.confirm_unlogged_grants(term, unlogged);
        }
    }

    /// Writes items, retrying until they are written or the epoch ends. Returns whether all were
    /// written.
    async fn persist_all(&self, context: &Context, term: &Term, items: Vec<Item>) -> bool {
        let records = coalesce(term, items);
        let writes = records.iter();
        let writes = writes.map(|record| self.persist(context, term, record));
        !join_all(writes).await.contains(&false)
    }

    /// Writes one record, retrying until it is written or the epoch ends. Returns whether it was
    /// written.
    async fn persist(&self, context: &Context, term: &Term, record: &Cell) -> bool {
        while !term.has_ended() {
            match context.write(record, WRITE_TIMEOUT).await {
                Written::Valid => {
                    self.failing.store(false, Ordering::SeqCst);
                    return true;
                }
                Written::Void => {
                    events::RECORD_VOID
                        .log(format_args!("shard={} epoch={}", term.shard, term.epoch));
                    return false;
                }
                Written::No(reason) | Written::Uncertain(reason) => {
                    if !self.failing.swap(true, Ordering::SeqCst) {
                        events::WRITE_RETRIED
                            .log(format_args!("shard={} reason={reason}", term.shard));
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
        false
    }
}

/// Waits for a write and meanwhile drops expired items. Only intents expire, and each of them is a
/// grant made without the log. Returns the result of the write.
async fn expire_while_writing(
    write: impl Future<Output = bool>,
    receiver: &mut mpsc::UnboundedReceiver<Queued>,
    backlog: &mut Backlog<Item>,
    expired: &mut impl FnMut(usize),
) -> bool {
    tokio::pin!(write);
    loop {
        tokio::select! {
            succeeded = &mut write => return succeeded,
            () = tokio::time::sleep(EXPIRE_PERIOD) => {
                drain_queue(receiver, backlog);
                expired(backlog.expire(clock::now()));
            }
        }
    }
}

fn drain_queue(receiver: &mut mpsc::UnboundedReceiver<Queued>, backlog: &mut Backlog<Item>) {
    while let Ok((item, expires)) = receiver.try_recv() {
        backlog.push(item, expires);
    }
}

/// Coalesces consecutive items of one kind into one record.
fn coalesce(term: &Term, items: Vec<Item>) -> Vec<Cell> {
    let (shard, epoch) = (&term.shard, term.epoch);
    let mut records: Vec<Cell> = Vec::new();
    for item in items {
        match (item, records.last_mut()) {
            (Item::End(task, end), Some(Cell::Finished { tasks, .. })) => tasks.push((task, end)),
            (Item::End(task, end), _) => records.push(Cell::Finished {
                shard: shard.clone(),
                epoch,
                tasks: vec![(task, end)],
            }),
            (Item::Granted(task), Some(Cell::Granted { tasks, .. })) => tasks.push(task),
            (Item::Granted(task), _) => records.push(Cell::Granted {
                shard: shard.clone(),
                epoch,
                tasks: vec![task],
            }),
            (
                Item::Intent {
                    request,
                    at_unix_ms,
                },
                Some(Cell::Intent {
                    requests,
                    at_unix_ms: at,
                    ..
                }),
            ) => {
                requests.push(request);
                *at = at_unix_ms.max(*at);
            }
            (
                Item::Intent {
                    request,
                    at_unix_ms,
                },
                _,
            ) => records.push(Cell::Intent {
                shard: shard.clone(),
                epoch,
                requests: vec![request],
                at_unix_ms,
            }),
            (Item::Record(record), _) => records.push(*record),
        }
    }
    records
}
