//! Log lines about skipped entries of other writers, at a bounded rate.

use std::sync::{Arc, Mutex};

use crate::events;
use crate::node::lock;

/// Shortest time between two log lines about a list, in milliseconds. A writer may repeat an entry
/// with each of its heartbeats.
const LOG_PERIOD_MS: u64 = 10_000;

/// Skipped entries of one list.
#[derive(Debug)]
pub struct Skipped {
    list: &'static str,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Entries skipped since the last line.
    count: usize,
    logged_ms: Option<u64>,
}

impl Skipped {
    /// Creates the state of a list without skipped entries.
    #[must_use]
    pub fn new(list: &'static str) -> Self {
        Self {
            list,
            state: Mutex::default(),
        }
    }

    /// Logs that entries were skipped: one line, with their number since the last line and the
    /// first key.
    pub fn log(&self, keys: &[Arc<str>], now_ms: u64) {
        let Some(first) = keys.first() else { return };
        let mut state = lock(&self.state);
        state.count += keys.len();
        if (state.logged_ms).is_some_and(|at_ms| now_ms < at_ms + LOG_PERIOD_MS) {
            return;
        }
        state.logged_ms = Some(now_ms);
        let count = std::mem::take(&mut state.count);
        // The key is quoted and escaped, because another writer may put anything into it.
        events::RECORD_SKIPPED.log(format_args!(
            "list={} count={count} key={first:?}",
            self.list
        ));
    }
}
