//! Read-back of appended records: reports to writers whether their records were valid when applied.

use std::collections::{BTreeMap, VecDeque};

use rosemaryworks_core::record::Offset;
use tokio::sync::oneshot;

/// Verdicts kept for writers that receive their offset after the record was read.
const VERDICTS_MAX: usize = 65_536;

/// Verdicts on the latest records read, and the writers that wait for a verdict.
#[derive(Debug, Default)]
pub(crate) struct Readback {
    verdicts: VecDeque<bool>,
    /// Offset of the oldest verdict kept.
    first_offset: Offset,
    waiters: BTreeMap<Offset, Vec<oneshot::Sender<bool>>>,
}

impl Readback {
    /// Returns the offset after the last record read.
    pub(crate) fn next_offset(&self) -> Offset {
        self.first_offset + self.verdicts.len() as Offset
    }

    /// Stores the verdict on the record at `offset` and wakes its writers.
    pub(crate) fn resolve(&mut self, offset: Offset, valid: bool) {
        if offset != self.next_offset() {
            self.verdicts.clear();
            self.first_offset = offset;
        }
        if self.verdicts.len() == VERDICTS_MAX {
            self.verdicts.pop_front();
            self.first_offset += 1;
        }
        self.verdicts.push_back(valid);
        for waiter in self.waiters.remove(&offset).into_iter().flatten() {
            let _ = waiter.send(valid);
        }
    }

    /// Returns a receiver of the verdict on the record at `offset`.
    pub(crate) fn wait(&mut self, offset: Offset) -> oneshot::Receiver<bool> {
        let (sender, receiver) = oneshot::channel();
        let index = offset.checked_sub(self.first_offset);
        let known = index.and_then(|index| self.verdicts.get(usize::try_from(index).ok()?));
        match known {
            Some(valid) => {
                let _ = sender.send(*valid);
            }
            None => self.waiters.entry(offset).or_default().push(sender),
        }
        receiver
    }
}
