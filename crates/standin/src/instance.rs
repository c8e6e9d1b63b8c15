//! Simulated service instance: each request occupies a slot for its run time, then gets a response.

mod spec;

use std::sync::{Arc, Mutex, PoisonError};

use rosemaryworks_core::target;
use rosemaryworks_history::Event;
use rosemaryworks_history::file::Writer;
use rosemaryworks_history::record::{Refusal, Request};

pub use spec::Spec;

/// Current behaviour of an instance, changed by injected failures.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Behaviour {
    /// Connections are closed at once and no request runs.
    pub crashed: bool,
    /// Connections are closed in the middle of responses.
    pub truncates: bool,
    /// Requests are rejected because the instance is leaving.
    pub leaving: bool,
    /// Run time of requests in percent of the requested one.
    pub percent: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            crashed: false,
            truncates: false,
            leaving: false,
            percent: 100,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    /// Running requests.
    busy: u32,
    /// Incremented by every crash. Requests of an earlier incarnation are lost.
    incarnation: u64,
    /// Whether the instance has recorded the event that it is leaving.
    leaving_recorded: bool,
    /// Open connections.
    open: u32,
}

/// A running request and the incarnation of the instance that runs it.
#[derive(Debug)]
pub struct Run {
    incarnation: u64,
    request: Request,
}

/// A service instance.
#[derive(Debug)]
pub struct Instance {
    /// The instance as the list of VMs contains it.
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

    /// Changes the behaviour. A crash loses all running requests.
    pub fn change(&self, act: impl FnOnce(&mut Behaviour)) {
        self.with(|state| {
            let crashed = state.behaviour.crashed;
            act(&mut state.behaviour);
            if state.behaviour.crashed && !crashed {
                state.incarnation += 1;
                state.busy = 0;
                self.history.record(Event::Crashed {
                    instance: self.target.name.clone(),
                });
            }
        });
    }

    /// Counts an opened connection and returns whether the instance accepts it.
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

    /// Counts a closed connection.
    pub fn disconnect(&self) {
        self.with(|state| {
            state.open = state.open.saturating_sub(1);
            self.history.record(Event::Disconnected {
                instance: self.target.name.clone(),
                open: state.open,
            });
        });
    }

    /// Starts a request.
    ///
    /// # Errors
    ///
    /// Rejects the request if all slots are occupied or the instance is leaving.
    pub fn begin(&self, request: Request) -> Result<Run, Refusal> {
        self.with(|state| {
            let reason = match (state.behaviour.leaving, state.busy >= self.target.slots) {
                (true, _) => Some(Refusal::Leaving),
                (false, true) => Some(Refusal::Full),
                (false, false) => None,
            };
            if let Some(reason) = reason {
                self.reject(state, request, reason);
                return Err(reason);
            }
            state.busy += 1;
            self.history.record(Event::Arrived {
                instance: self.target.name.clone(),
                request: request.clone(),
                busy: state.busy,
            });
            Ok(Run {
                incarnation: state.incarnation,
                request,
            })
        })
    }

    fn reject(&self, state: &mut State, request: Request, reason: Refusal) {
        self.history.record(Event::Rejected {
            instance: self.target.name.clone(),
            request,
            reason,
        });
        // Callers learn from the first rejection at the earliest that the instance is leaving, so
        // the event is recorded only then.
        if reason == Refusal::Leaving && !state.leaving_recorded {
            state.leaving_recorded = true;
            self.history.record(Event::Leaving {
                target: self.target.name.clone(),
            });
        }
    }

    /// Finishes a request. Returns `false` if the instance crashed meanwhile.
    pub fn end(&self, run: Run) -> bool {
        self.with(|state| {
            if run.incarnation != state.incarnation {
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

    /// Returns the number of running requests.
    #[must_use]
    pub fn busy(&self) -> u32 {
        self.with(|state| state.busy)
    }
}
