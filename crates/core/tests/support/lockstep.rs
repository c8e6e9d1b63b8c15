//! Differential test of the routing kernel's due times: two kernels handle the same events. One
//! receives every tick, the other one only ticks at or after its due time. Both must act alike.

use std::ops::Deref;

use rosemaryworks_core::outcome::Request;
use rosemaryworks_core::routing::{Action, Event, Kernel, Start};
use rosemaryworks_core::time::Instant;

use crate::cell::start;

/// A kernel that receives every tick, compared with one that receives only due ticks.
pub(crate) struct Lockstep {
    eager: Kernel,
    when_due: Kernel,
}

impl Lockstep {
    /// Creates the kernels of an epoch. `clean` means that there were no earlier requests,
    /// `unrecorded` that earlier owners may have dispatched requests without recording them.
    pub(crate) fn new(
        now: u64,
        (clean, unrecorded): (bool, bool),
        gateways: &[&str],
        logged: &[(Request, u64)],
    ) -> Self {
        let with_age = logged
            .iter()
            .map(|(request, at)| (request.clone(), now - at));
        let start = Start {
            remembered: with_age.collect(),
            unrecorded,
            ..start(clean, gateways)
        };
        Self {
            eager: Kernel::new(Instant(now), start.clone()),
            when_due: Kernel::new(Instant(now), start),
        }
    }

    pub(crate) fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let is_due = self.when_due.next_due(now).is_some_and(|at| at <= now);
        let name = format!("{event:?}");
        let due = match &event {
            Event::Tick if !is_due => Vec::new(),
            event => self.when_due.handle(now, event.clone()),
        };
        let eager = self.eager.handle(now, event);
        assert_eq!(eager, due, "a due time is missing before {name} at {now:?}");
        let targets = (self.eager.targets(), self.when_due.targets());
        assert_eq!(targets.0, targets.1, "a due time is missing after {name}");
        eager
    }
}

impl Deref for Lockstep {
    type Target = Kernel;

    fn deref(&self) -> &Kernel {
        &self.eager
    }
}
