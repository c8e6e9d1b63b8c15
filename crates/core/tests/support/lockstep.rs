//! Two routing kernels that take the same events. One is told the time whenever the host likes, the
//! other one only when the time that it reported has come.

use std::ops::Deref;

use rosemaryworks_core::outcome::Request;
use rosemaryworks_core::routing::{Action, Event, Kernel, Start};
use rosemaryworks_core::time::Instant;

use crate::cell::start;

/// A kernel that is told the time often, checked against one that is told it when due.
pub(crate) struct Lockstep {
    often: Kernel,
    due: Kernel,
}

impl Lockstep {
    /// Creates the kernels of an epoch that is clean, or whose earlier requests are in doubt.
    pub(crate) fn new(
        now: u64,
        (clean, doubt): (bool, bool),
        gateways: &[&str],
        logged: &[(Request, u64)],
    ) -> Self {
        let aged = logged
            .iter()
            .map(|(request, at)| (request.clone(), now - at));
        let start = Start {
            remembered: aged.collect(),
            unrecorded: doubt,
            ..start(clean, gateways)
        };
        Self {
            often: Kernel::new(Instant(now), start.clone()),
            due: Kernel::new(Instant(now), start),
        }
    }

    pub(crate) fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let is_due = self.due.next_due(now).is_some_and(|at| at <= now);
        let name = format!("{event:?}");
        let due = match &event {
            Event::Tick if !is_due => Vec::new(),
            event => self.due.handle(now, event.clone()),
        };
        let often = self.often.handle(now, event);
        assert_eq!(often, due, "a due time is missing before {name} at {now:?}");
        let targets = (self.often.targets(), self.due.targets());
        assert_eq!(targets.0, targets.1, "a due time is missing after {name}");
        often
    }
}

impl Deref for Lockstep {
    type Target = Kernel;

    fn deref(&self) -> &Kernel {
        &self.often
    }
}
