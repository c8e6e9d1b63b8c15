//! Connections of a listener, of which the longest without a request makes room for a new one.

use std::collections::HashMap;
use std::hash::Hash;

/// Time in milliseconds from its start for which a connection is kept. A connection that replaces
/// another one sooner would let clients that reconnect at once displace ordinary clients before
/// their request arrives; with a longer time such clients fill the listener and keep others out.
const GRACE_MS: u64 = 30;

struct Connection {
    /// Whether a request is being answered.
    busy: bool,
    opened_ms: u64,
    /// Time of the last request or response, or of the connection's start.
    since_ms: u64,
}

/// Outcome of a new connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Entry<K> {
    /// The connection is served.
    Admitted,
    /// The connection is closed: all others have requests or are new.
    Refused,
    /// The connection is served and the named one is closed.
    Replaces(K),
}

/// Connections of a listener.
pub struct Connections<K> {
    limit: usize,
    open: HashMap<K, Connection>,
}

impl<K: Clone + Eq + Hash> Connections<K> {
    /// Creates the connections of a listener that serves at most `limit`.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: HashMap::new(),
        }
    }

    /// Decides on a new connection.
    pub fn open(&mut self, now_ms: u64, key: K) -> Entry<K> {
        let entry = match self.open.len() < self.limit {
            true => Entry::Admitted,
            false => match self.longest_idle(now_ms) {
                Some(idle) => {
                    self.open.remove(&idle);
                    Entry::Replaces(idle)
                }
                None => return Entry::Refused,
            },
        };
        let connection = Connection {
            busy: false,
            opened_ms: now_ms,
            since_ms: now_ms,
        };
        self.open.insert(key, connection);
        entry
    }

    /// Notes that a request begins or ends.
    pub fn set_busy(&mut self, now_ms: u64, key: &K, busy: bool) {
        if let Some(connection) = self.open.get_mut(key) {
            connection.busy = busy;
            connection.since_ms = now_ms;
        }
    }

    /// Notes that a connection is closed.
    pub fn closed(&mut self, key: &K) {
        self.open.remove(key);
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.open.len()
    }

    fn longest_idle(&self, now_ms: u64) -> Option<K> {
        let idle = self.open.iter().filter(|(_, connection)| {
            !connection.busy && connection.opened_ms + GRACE_MS <= now_ms
        });
        let longest = idle.min_by_key(|(_, connection)| connection.since_ms);
        longest.map(|(key, _)| key.clone())
    }
}
