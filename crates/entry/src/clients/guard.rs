//! Shared limits of a process, their metrics and their log lines.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rosemaryworks_node::clock;
use tokio::sync::Notify;

use super::bodies::{Bodies, Grant};
use super::limits::{Limits, Listener};
use crate::events;
use crate::metrics::Metrics;

/// Least time between two log lines about refused clients, in milliseconds.
const LOG_PERIOD_MS: u64 = 10_000;

/// Why a client is refused or its connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Its body was the slowest one when the memory for bodies ran out.
    Memory,
    /// Its body did not arrive in time.
    Slow,
    /// All connections of the listener are in use.
    Connections,
    /// Its job has no room beside those that are open.
    Jobs,
}

#[derive(Default)]
struct Log {
    last_ms: Option<u64>,
    skipped: u64,
}

struct State {
    bodies: Bodies,
    /// Bodies that may be given up, each with the notification of its reader.
    readers: HashMap<u64, Arc<Notify>>,
    log: Log,
}

/// Limits of what clients make the process hold, and what they hold.
pub struct Clients {
    limits: Limits,
    metrics: Metrics,
    state: Mutex<State>,
}

impl Clients {
    /// Creates the state of a process with `limits`.
    #[must_use]
    pub fn new(limits: Limits, metrics: Metrics) -> Arc<Self> {
        let state = State {
            bodies: Bodies::new(limits.body_bytes),
            readers: HashMap::new(),
            log: Log::default(),
        };
        Arc::new(Self {
            limits,
            metrics,
            state: Mutex::new(state),
        })
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Begins a body. Its memory is released when the guard is dropped.
    #[must_use]
    pub fn begin_body(self: &Arc<Self>) -> BodyGuard {
        let mut state = self.state();
        let id = state.bodies.begin(clock::now().0);
        let lost = Arc::new(Notify::new());
        state.readers.insert(id, lost.clone());
        BodyGuard {
            clients: self.clone(),
            id,
            lost,
        }
    }

    /// Notes the number of open connections to a listener.
    pub fn set_connections(&self, listener: Listener, count: usize) {
        if listener == Listener::Callers {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.metrics.caller_connections.set(count);
        }
    }

    /// Counts a refusal and logs it, one line in ten seconds.
    pub fn refused(&self, refusal: Refusal) {
        let counter = match refusal {
            Refusal::Jobs | Refusal::Memory => &self.metrics.refused_memory,
            Refusal::Slow => &self.metrics.refused_slow,
            Refusal::Connections => &self.metrics.refused_connections,
        };
        counter.inc();
        let now_ms = clock::now().0;
        let mut state = self.state();
        let recent = |last_ms: u64| now_ms < last_ms + LOG_PERIOD_MS;
        if state.log.last_ms.is_some_and(recent) {
            state.log.skipped += 1;
            return;
        }
        let count = std::mem::take(&mut state.log.skipped) + 1;
        state.log.last_ms = Some(now_ms);
        let (held, limit) = (state.bodies.held(), state.bodies.limit());
        drop(state);
        events::CLIENT_REFUSED.log(format_args!(
            "reason={refusal:?} count={count} held_bytes={held} limit_bytes={limit}"
        ));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reserve(&self, reserve: impl FnOnce(&mut Bodies, u64) -> Grant) -> Result<(), Refusal> {
        let mut state = self.state();
        let grant = reserve(&mut state.bodies, clock::now().0);
        let (outcome, given_up) = match grant {
            Grant::Granted(given_up) => (Ok(()), given_up),
            Grant::Refused(given_up) => (Err(Refusal::Memory), given_up),
        };
        for id in given_up {
            if let Some(reader) = state.readers.remove(&id) {
                reader.notify_one();
            }
        }
        let held = i64::try_from(state.bodies.held()).unwrap_or(i64::MAX);
        self.metrics.body_bytes.set(held);
        outcome
    }
}

/// Memory of one body.
pub struct BodyGuard {
    clients: Arc<Clients>,
    id: u64,
    lost: Arc<Notify>,
}

impl BodyGuard {
    /// Reserves memory for `bytes` more that are received.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the body is given up.
    pub fn grow(&self, bytes: usize) -> Result<(), Refusal> {
        self.clients
            .reserve(|bodies, now_ms| bodies.grow(now_ms, self.id, bytes as u64))
    }

    /// Reserves `bytes` more for the decoded form of a complete body, which is no longer given up.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the memory doesn't suffice.
    pub fn complete(&self, bytes: u64) -> Result<(), Refusal> {
        self.clients
            .reserve(|bodies, now_ms| bodies.complete(now_ms, self.id, bytes))
    }

    /// Waits until the body is given up in favor of a faster one.
    pub async fn lost(&self) {
        self.lost.notified().await;
    }
}

impl Drop for BodyGuard {
    fn drop(&mut self) {
        let mut state = self.clients.state();
        state.readers.remove(&self.id);
        state.bodies.end(self.id);
        let held = i64::try_from(state.bodies.held()).unwrap_or(i64::MAX);
        self.clients.metrics.body_bytes.set(held);
    }
}
