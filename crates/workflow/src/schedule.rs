//! Jobs with occurrences that have not begun, by the time at which the next one is due.

use std::collections::{BTreeSet, HashMap};

use crate::job::Id;

/// Jobs by the Unix time at which they are to be visited, in milliseconds.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    by_time: BTreeSet<(u64, Id)>,
    times: HashMap<Id, u64>,
}

impl Schedule {
    /// Sets the time at which a job is visited.
    pub(crate) fn insert(&mut self, id: Id, at_ms: u64) {
        self.remove(&id);
        self.times.insert(id, at_ms);
        self.by_time.insert((at_ms, id));
    }

    pub(crate) fn remove(&mut self, id: &Id) {
        if let Some(at_ms) = self.times.remove(id) {
            self.by_time.remove(&(at_ms, *id));
        }
    }

    /// Removes and returns up to `count` jobs that are due.
    pub(crate) fn take_due(&mut self, unix_ms: u64, count: usize) -> Vec<Id> {
        let due = self
            .by_time
            .iter()
            .take_while(|(at_ms, _)| *at_ms <= unix_ms);
        let due: Vec<Id> = due.take(count).map(|(_, id)| *id).collect();
        for id in &due {
            self.remove(id);
        }
        due
    }
}
