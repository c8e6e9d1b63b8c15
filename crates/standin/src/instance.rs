//! A service instance: answers requests by a timer.

mod ask;

use std::sync::{Arc, Mutex, PoisonError};

use rosemaryworks_core::target;
use rosemaryworks_history::Event;
use rosemaryworks_history::file::Writer;
use rosemaryworks_history::record::{Refusal, Request};

pub use ask::Ask;

/// How an instance behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Behaviour {
    /// Connections are closed at once and nothing runs.
    pub crashed: bool,
    /// Answers are cut in the middle.
    pub cuts: bool,
    /// Requests are refused because the instance is leaving.
    pub leaving: bool,
    /// Run time of requests in percent of what they ask for.
    pub percent: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            crashed: false,
            cuts: false,
            leaving: false,
            percent: 100,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    busy: u32,
    /// Grows with every crash; a request of an earlier life no longer counts.
    life: u64,
    notified: bool,
    open: u32,
}

/// A request that runs, with the life of the instance in which it began.
#[derive(Debug)]
pub struct Run {
    life: u64,
    request: Request,
}

/// An instance.
#[derive(Debug)]
pub struct Instance {
    /// The instance as the list of VMs shows it.
    pub target: target::Instance,
    history: Arc<Writer>,
    state: Mutex<State>,
}

impl Instance {
    /// Creates an instance.
    #[must_use]
    pub fn new(target: target::Instance, history: Arc<Writer>) -> Self {
        history.record(Event::InstanceStarted {
            instance: target.name.clone(),
            slots: target.slots,
            connections: target.connections,
        });
        Self {
            target,
            history,
            state: Mutex::default(),
        }
    }

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the behaviour.
    #[must_use]
    pub fn behaviour(&self) -> Behaviour {
        self.with(|state| state.behaviour)
    }

    /// Changes the behaviour. A crash ends every request that runs.
    pub fn change(&self, act: impl FnOnce(&mut Behaviour)) {
        self.with(|state| {
            let crashed = state.behaviour.crashed;
            act(&mut state.behaviour);
            if state.behaviour.crashed && !crashed {
                state.life += 1;
                state.busy = 0;
                self.history.record(Event::Crashed {
                    instance: self.target.name.clone(),
                });
            }
        });
    }

    /// Counts a connection that was opened and tells whether the instance accepts it.
    pub fn connect(&self) -> bool {
        self.with(|state| {
            state.open += 1;
            self.history.record(Event::Connected {
                instance: self.target.name.clone(),
                open: state.open,
            });
            !state.behaviour.crashed && state.open <= self.target.connections
        })
    }

    /// Counts a connection that was closed.
    pub fn disconnect(&self) {
        self.with(|state| {
            state.open = state.open.saturating_sub(1);
            self.history.record(Event::Disconnected {
                instance: self.target.name.clone(),
                open: state.open,
            });
        });
    }

    /// Begins to run a request.
    ///
    /// # Errors
    ///
    /// Refuses a request if every slot is taken or the instance is leaving.
    pub fn begin(&self, request: Request) -> Result<Run, Refusal> {
        self.with(|state| {
            let refusal = match (state.behaviour.leaving, state.busy >= self.target.slots) {
                (true, _) => Some(Refusal::Leaving),
                (false, true) => Some(Refusal::Full),
                (false, false) => None,
            };
            if let Some(reason) = refusal {
                self.refuse(state, request, reason);
                return Err(reason);
            }
            state.busy += 1;
            self.history.record(Event::Arrived {
                instance: self.target.name.clone(),
                request: request.clone(),
                busy: state.busy,
            });
            Ok(Run {
                life: state.life,
                request,
            })
        })
    }

    fn refuse(&self, state: &mut State, request: Request, reason: Refusal) {
        self.history.record(Event::Rejected {
            instance: self.target.name.clone(),
            request,
            reason,
        });
        // The first refusal is the first notice that callers can receive.
        if reason == Refusal::Leaving && !state.notified {
            state.notified = true;
            self.history.record(Event::Leaving {
                target: self.target.name.clone(),
            });
        }
    }

    /// Ends a request. Returns whether the instance lived through it.
    pub fn end(&self, run: Run) -> bool {
        self.with(|state| {
            if run.life != state.life {
                return false;
            }
            state.busy = state.busy.saturating_sub(1);
            self.history.record(Event::Served {
                instance: self.target.name.clone(),
                request: run.request,
                busy: state.busy,
            });
            true
        })
    }

    /// Returns the number of requests that run.
    #[must_use]
    pub fn busy(&self) -> u32 {
        self.with(|state| state.busy)
    }
}
