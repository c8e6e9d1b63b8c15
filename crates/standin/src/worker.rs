//! Simulated worker VM: runs tasks for their run time while their leases are valid.

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

/// Whether a VM can be reached.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Availability {
    /// The VM has crashed and lost its state.
    Down,
    /// The VM runs but no call reaches it.
    Partitioned,
    /// The VM runs and can be reached.
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

/// State and settings shared by all workers.
#[derive(Clone, Debug)]
pub struct Context {
    /// Progress of checkpointed tasks.
    pub checkpoints: Checkpoints,
    /// History file.
    pub history: Arc<Writer>,
    /// Default behaviour of tasks.
    pub tasks: settings::Tasks,
}

/// A worker VM.
#[derive(Debug)]
pub struct Worker {
    /// The worker as the list of VMs contains it.
    pub target: target::Worker,
    context: Context,
    state: Mutex<State>,
}

impl Worker {
    /// Creates a worker. Its `index` determines its clock drift.
    #[must_use]
    pub fn new(target: target::Worker, index: usize, context: Context) -> Self {
        context.history.record(Event::WorkerStarted {
            worker: target.name.clone(),
            size: target.size,
        });
        let max_slow_percent = context.tasks.clock_slow_percent;
        // Clock drift differs: every fifth worker has an exact clock, every fifth the slowest one.
        let slow_percent = max_slow_percent * (index as u64 % 5) / 4;
        let state = State::new(
            target.name.clone(),
            target.size,
            slow_percent,
            context.clone(),
        );
        Self {
            target,
            context,
            state: Mutex::new(state),
        }
    }

    fn with<T>(&self, now: Instant, act: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.advance(now);
        act(&mut state)
    }

    /// Finishes completed tasks and expired leases.
    pub fn tick(&self, now: Instant) {
        self.with(now, |_| ());
    }

    /// Returns whether the VM can be reached.
    #[must_use]
    pub fn availability(&self) -> Availability {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.availability
    }

    /// Accepts a lease and starts its task.
    ///
    /// # Errors
    ///
    /// Rejects an epoch older than the highest one received, and a task that doesn't fit.
    pub fn place(&self, now: Instant, grant: Grant) -> Result<(), Refusal> {
        self.with(now, |state| state.place(now, grant))
    }

    /// Renews all leases, removes acknowledged results and returns a report.
    ///
    /// # Errors
    ///
    /// Rejects an epoch older than the highest one received.
    pub fn sync(&self, now: Instant, sync: &Sync) -> Result<Report, Refusal> {
        self.with(now, |state| state.sync(now, sync))
    }

    /// Checkpoints, stops or throttles a running task.
    ///
    /// # Errors
    ///
    /// Rejects an epoch older than the highest one received.
    pub fn control(&self, now: Instant, control: &Control) -> Result<(), Refusal> {
        self.with(now, |state| state.control(now, control))
    }

    /// Changes whether the VM can be reached. A VM that went down restarts without state.
    pub fn set_availability(&self, now: Instant, availability: Availability) {
        self.with(now, |state| state.set_availability(availability));
    }

    /// Sets whether every task that starts from now on fails.
    pub fn set_fails(&self, now: Instant, fails: bool) {
        self.with(now, |state| state.fails = fails);
    }

    /// Sets whether the VM announces in its reports that it is leaving.
    pub fn set_leaving(&self, now: Instant, leaving: bool) {
        self.with(now, |state| state.leaving = leaving);
        if leaving {
            self.context.history.record(Event::Leaving {
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
