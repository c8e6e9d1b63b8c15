//! A worker VM: runs tasks under leases by a timer.

mod lease;
mod plan;
mod state;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use rosemaryworks_core::job::Task;
use rosemaryworks_core::placement::Report;
use rosemaryworks_core::target;
use rosemaryworks_core::time::Instant;
use rosemaryworks_history::Event;
use rosemaryworks_history::file::Writer;
use rosemaryworks_platform::http::Refusal;
use rosemaryworks_platform::workers::{Control, Grant, Sync};

use crate::settings;
use state::State;

/// Whether a VM answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reach {
    /// The VM runs but no call reaches it.
    Cut,
    /// The VM is gone with everything on it.
    Died,
    /// The VM answers.
    #[default]
    Up,
}

/// Progress of checkpointed tasks in milliseconds, shared by all workers.
#[derive(Clone, Debug, Default)]
pub struct Checkpoints(Arc<Mutex<HashMap<Task, u64>>>);

impl Checkpoints {
    fn with<T>(&self, act: impl FnOnce(&mut HashMap<Task, u64>) -> T) -> T {
        act(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn save(&self, task: &Task, done_ms: u64) {
        self.with(|saved| saved.insert(task.clone(), done_ms));
    }

    fn load(&self, task: &Task) -> u64 {
        self.with(|saved| saved.get(task).copied().unwrap_or(0))
    }
}

/// What all workers share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// Progress of checkpointed tasks.
    pub checkpoints: Checkpoints,
    /// History.
    pub history: Arc<Writer>,
    /// How tasks run.
    pub tasks: settings::Tasks,
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    /// The worker as the list of VMs shows it.
    pub target: target::Worker,
    shared: Shared,
    state: Mutex<State>,
}

impl Worker {
    /// Creates worker number `index`.
    #[must_use]
    pub fn new(target: target::Worker, index: usize, shared: Shared) -> Self {
        shared.history.record(Event::WorkerStarted {
            worker: target.name.clone(),
            size: target.size,
        });
        let slow = shared.tasks.clock_slow_percent;
        // Workers differ: every fifth has an exact clock, every fifth the slowest one.
        let slow = slow * (index as u64 % 5) / 4;
        let state = State::new(target.name.clone(), target.size, slow, shared.clone());
        Self {
            target,
            shared,
            state: Mutex::new(state),
        }
    }

    fn with<T>(&self, now: Instant, act: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.advance(now);
        act(&mut state)
    }

    /// Ends tasks that are done and leases that lapsed.
    pub fn tick(&self, now: Instant) {
        self.with(now, |_| ());
    }

    /// Returns whether the VM answers.
    #[must_use]
    pub fn reach(&self) -> Reach {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.reach
    }

    /// Takes a lease.
    ///
    /// # Errors
    ///
    /// Refuses an epoch older than one it has seen, and a task that doesn't fit.
    pub fn place(&self, now: Instant, grant: Grant) -> Result<(), Refusal> {
        self.with(now, |state| state.place(now, grant))
    }

    /// Renews all leases and reports.
    ///
    /// # Errors
    ///
    /// Refuses an epoch older than one it has seen.
    pub fn sync(&self, now: Instant, sync: &Sync) -> Result<Report, Refusal> {
        self.with(now, |state| state.sync(now, sync))
    }

    /// Changes a running task.
    ///
    /// # Errors
    ///
    /// Refuses an epoch older than one it has seen.
    pub fn control(&self, now: Instant, control: &Control) -> Result<(), Refusal> {
        self.with(now, |state| state.control(now, control))
    }

    /// Makes the VM answer or not. A VM that died comes back empty.
    pub fn set_reach(&self, now: Instant, reach: Reach) {
        self.with(now, |state| state.set_reach(reach));
    }

    /// Makes every task that starts from now on fail, or no longer.
    pub fn set_fails(&self, now: Instant, fails: bool) {
        self.with(now, |state| state.fails = fails);
    }

    /// Makes the VM announce with its reports that it is leaving, or no longer.
    pub fn set_leaving(&self, now: Instant, leaving: bool) {
        self.with(now, |state| state.leaving = leaving);
        if leaving {
            self.shared.history.record(Event::Leaving {
                target: self.target.name.clone(),
            });
        }
    }

    /// Returns the number of leases held.
    #[must_use]
    pub fn leases(&self, now: Instant) -> usize {
        self.with(now, |state| state.lease_count())
    }
}
