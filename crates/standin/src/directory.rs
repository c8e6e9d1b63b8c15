//! The platform's lagging list of VMs.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use rosemaryworks_core::target::{Instance, State, Worker};
use rosemaryworks_core::time::Instant;
use rosemaryworks_history::Event;
use rosemaryworks_history::file::Writer;
use rosemaryworks_platform::directory::Listing;

/// A change that the list shows later.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The VM is leaving.
    Leaving {
        /// Milliseconds until the VM stops, if the platform says so.
        within_ms: Option<u64>,
    },
    /// The VM is in service.
    Live,
    /// The VM is gone.
    Removed,
}

/// The list.
#[derive(Debug)]
pub struct Directory {
    history: Arc<Writer>,
    instances: Vec<Instance>,
    lag_ms: u64,
    state: Mutex<Shown>,
    workers: Vec<Worker>,
}

#[derive(Debug, Default)]
struct Shown {
    pending: Vec<(Instant, Arc<str>, Change)>,
    /// VMs that are not simply live.
    shown: BTreeMap<Arc<str>, Change>,
}

impl Directory {
    /// Creates a list of live VMs.
    #[must_use]
    pub fn new(
        workers: Vec<Worker>,
        instances: Vec<Instance>,
        lag_ms: u64,
        history: Arc<Writer>,
    ) -> Self {
        Self {
            history,
            instances,
            lag_ms,
            state: Mutex::default(),
            workers,
        }
    }

    /// Notes a change; the list shows it after its lag.
    pub fn change(&self, now: Instant, target: &Arc<str>, change: Change) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let at = now + self.lag_ms;
        state.pending.push((at, target.clone(), change));
    }

    /// Shows the changes whose time has come.
    pub fn tick(&self, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let split = state.pending.iter().take_while(|(at, ..)| *at <= now);
        let count = split.count();
        let due: Vec<_> = state.pending.drain(..count).collect();
        for (_, target, change) in due {
            if matches!(change, Change::Leaving { .. }) {
                self.history.record(Event::Leaving {
                    target: target.clone(),
                });
            }
            state.shown.insert(target, change);
        }
    }

    /// Returns the list as it is shown now.
    #[must_use]
    pub fn list(&self, now: Instant) -> Listing {
        self.tick(now);
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let shown = |name: &Arc<str>| match state.shown.get(name) {
            None | Some(Change::Live) => Some(State::Live),
            Some(Change::Leaving { within_ms }) => Some(State::Leaving {
                within_ms: *within_ms,
            }),
            Some(Change::Removed) => None,
        };
        let workers = self.workers.iter();
        let instances = self.instances.iter();
        Listing {
            workers: workers
                .filter_map(|worker| Some((worker.clone(), shown(&worker.name)?)))
                .collect(),
            instances: instances
                .filter_map(|instance| Some((instance.clone(), shown(&instance.name)?)))
                .collect(),
        }
    }
}
