//! Simulated VM list of the platform. Changes become visible only after a configured lag.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use rosemaryworks_core::target::{Instance, State, Worker};
use rosemaryworks_core::time::Instant;
use rosemaryworks_history::Event;
use rosemaryworks_history::file::Writer;
use rosemaryworks_platform::directory::Listing;

/// A change of a VM that becomes visible after the lag.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The VM is leaving.
    Leaving {
        /// Milliseconds until the VM stops, if the platform announces a time.
        within_ms: Option<u64>,
    },
    /// The VM is in service.
    Live,
    /// The VM is removed from the list.
    Removed,
}

/// The list of VMs.
#[derive(Debug)]
pub struct Directory {
    history: Arc<Writer>,
    instances: Vec<Instance>,
    lag_ms: u64,
    state: Mutex<Changes>,
    workers: Vec<Worker>,
}

#[derive(Debug, Default)]
struct Changes {
    /// Changes with the time at which they become visible.
    pending: Vec<(Instant, Arc<str>, Change)>,
    /// Last visible change of each VM; a VM without one is live.
    visible: BTreeMap<Arc<str>, Change>,
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

    /// Records a change that becomes visible after the lag.
    pub fn change(&self, now: Instant, target: &Arc<str>, change: Change) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let at = now + self.lag_ms;
        state.pending.push((at, target.clone(), change));
    }

    /// Makes changes visible once their lag has passed.
    pub fn tick(&self, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = state.pending.iter().take_while(|(at, ..)| *at <= now);
        let count = elapsed.count();
        let due: Vec<_> = state.pending.drain(..count).collect();
        for (_, target, change) in due {
            if matches!(change, Change::Leaving { .. }) {
                self.history.record(Event::Leaving {
                    target: target.clone(),
                });
            }
            state.visible.insert(target, change);
        }
    }

    /// Returns the list as callers see it at `now`.
    #[must_use]
    pub fn list(&self, now: Instant) -> Listing {
        self.tick(now);
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let visible_state = |name: &Arc<str>| match state.visible.get(name) {
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
                .filter_map(|worker| Some((worker.clone(), visible_state(&worker.name)?)))
                .collect(),
            instances: instances
                .filter_map(|instance| Some((instance.clone(), visible_state(&instance.name)?)))
                .collect(),
        }
    }
}
