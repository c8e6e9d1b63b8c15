//! Two placement kernels that take the same events. One is told the time whenever the host likes,
//! the other one only when the time that it reported has come.

use std::ops::Deref;
use std::sync::Arc;

use rosemaryworks_core::job::{Id, Spec};
use rosemaryworks_core::placement::{Action, Event, Kernel, Refusal, Start};
use rosemaryworks_core::target::Worker;
use rosemaryworks_core::time::Instant;

/// A kernel that is told the time often, checked against one that is told it when due.
pub struct Twin {
    often: Kernel,
    due: Kernel,
    /// Ticks of the host, and those among them that were due.
    pub ticks: (u64, u64),
}

impl Twin {
    pub fn new(now: Instant, start: Start) -> Self {
        Self {
            often: Kernel::new(now, start.clone()),
            due: Kernel::new(now, start),
            ticks: (0, 0),
        }
    }

    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let skipped = matches!(event, Event::Tick) && !self.is_due(now);
        self.ticks.0 += u64::from(matches!(event, Event::Tick));
        self.ticks.1 += u64::from(matches!(event, Event::Tick) && !skipped);
        let name = format!("{event:?}");
        let due = match skipped {
            true => Vec::new(),
            false => self.due.handle(now, event.clone()),
        };
        let often = self.often.handle(now, event);
        assert_eq!(often, due, "a due time is missing before {name} at {now:?}");
        often
    }

    pub fn restore_unlisted(&mut self, now: Instant, workers: Vec<Worker>) {
        self.due.restore_unlisted(now, workers.clone());
        self.often.restore_unlisted(now, workers);
    }

    pub fn reserve_admission(&mut self, contract: &Arc<str>, job: &Spec) -> Result<(), Refusal> {
        let due = self.due.reserve_admission(contract, job);
        let often = self.often.reserve_admission(contract, job);
        assert_eq!(often, due, "admission of {}", job.id);
        often
    }

    pub fn release_admission(&mut self, job: &Id, read_back: bool) {
        self.due.release_admission(job, read_back);
        self.often.release_admission(job, read_back);
    }

    fn is_due(&self, now: Instant) -> bool {
        self.due.next_due(now).is_some_and(|at| at <= now)
    }
}

impl Deref for Twin {
    type Target = Kernel;

    fn deref(&self) -> &Kernel {
        &self.often
    }
}
