//! Writes records that must reach the log sooner or later, however long the log is away.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use rosemaryworks_core::job::{End, Task};
use rosemaryworks_core::outcome::Request;
use rosemaryworks_core::record::Cell;
use tokio::sync::mpsc;

use crate::events;
use crate::shared::{Shared, Written};
use crate::term::Term;

const PATIENCE: Duration = Duration::from_secs(5);
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Most tasks, requests or records taken from the queue at once.
const BATCH_MAX: usize = 500;

/// Something to be written under the epoch of the term.
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
    /// Tells whether the item took a permit of the ownership kernel.
    fn is_unlogged(&self) -> bool {
        matches!(self, Self::Granted(_) | Self::Intent { .. })
    }
}

/// Queue of one hosted shard. The order of items is kept.
#[derive(Clone, Debug)]
pub(crate) struct Writer {
    items: mpsc::UnboundedSender<Item>,
    open: Arc<AtomicUsize>,
    /// Whether the last write failed.
    failing: Arc<AtomicBool>,
}

impl Writer {
    /// Creates a writer. Returns it with the queue that [`Writer::run`] writes.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<Item>) {
        let (items, receiver) = mpsc::unbounded_channel();
        let writer = Self {
            items,
            open: Arc::default(),
            failing: Arc::default(),
        };
        (writer, receiver)
    }

    /// Queues an item.
    pub(crate) fn push(&self, item: Item) {
        self.open.fetch_add(1, Ordering::SeqCst);
        // The receiver ends only with the epoch, after which nothing may be written.
        let _ = self.items.send(item);
    }

    /// Returns the number of items not yet written.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Writes the items of `receiver` until the term is over.
    pub(crate) async fn run(
        self,
        shared: Arc<Shared>,
        term: impl AsRef<Term> + Send + 'static,
        mut receiver: mpsc::UnboundedReceiver<Item>,
    ) {
        let mut items = Vec::new();
        loop {
            let count = receiver.recv_many(&mut items, BATCH_MAX).await;
            if count == 0 {
                return;
            }
            let unlogged = items.iter().filter(|item| item.is_unlogged()).count();
            let records = records(term.as_ref(), std::mem::take(&mut items));
            let writes = records.iter();
            let writes = writes.map(|record| self.persist(&shared, term.as_ref(), record));
            if join_all(writes).await.contains(&false) {
                return;
            }
            self.open.fetch_sub(count, Ordering::SeqCst);
            if unlogged > 0 {
                shared.recorded(term.as_ref(), unlogged);
            }
        }
    }

    /// Writes one record, however often it takes. Returns whether the epoch goes on.
    async fn persist(&self, shared: &Shared, term: &Term, record: &Cell) -> bool {
        while !term.is_over() {
            match shared.write(record, PATIENCE).await {
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

/// Joins neighbouring items of one kind into one record.
fn records(term: &Term, items: Vec<Item>) -> Vec<Cell> {
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
