//! Differential test of the placement kernel's due times: two kernels handle the same events. One
//! receives every tick, the other one only ticks at or after its due time. Both must act alike.

use std::ops::Deref;
use std::sync::Arc;

use rosemaryworks_core::job::{Id, Spec};
use rosemaryworks_core::placement::{Action, Event, Kernel, Refusal, Start};
use rosemaryworks_core::target::Worker;
use rosemaryworks_core::time::Instant;

/// A kernel that receives every tick, compared with one that receives only due ticks.
pub struct Lockstep {
    eager: Kernel,
    when_due: Kernel,
    /// Number of ticks, and of those that were due.
    pub ticks: (u64, u64),
}

impl Lockstep {
    pub fn new(now: Instant, start: Start) -> Self {
        Self {
            eager: Kernel::new(now, start.clone()),
            when_due: Kernel::new(now, start),
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
            false => self.when_due.handle(now, event.clone()),
        };
        let eager = self.eager.handle(now, event);
        assert_eq!(eager, due, "a due time is missing before {name} at {now:?}");
        eager
    }

    pub fn restore_unlisted(&mut self, now: Instant, workers: Vec<Worker>) {
        self.when_due.restore_unlisted(now, workers.clone());
        self.eager.restore_unlisted(now, workers);
    }

    pub fn reserve_admission(&mut self, contract: &Arc<str>, job: &Spec) -> Result<(), Refusal> {
        let due = self.when_due.reserve_admission(contract, job);
        let eager = self.eager.reserve_admission(contract, job);
        assert_eq!(eager, due, "admission of {}", job.id);
        eager
    }

    pub fn release_admission(&mut self, job: &Id, read_back: bool) {
        self.when_due.release_admission(job, read_back);
        self.eager.release_admission(job, read_back);
    }

    fn is_due(&self, now: Instant) -> bool {
        self.when_due.next_due(now).is_some_and(|at| at <= now)
    }
}

impl Deref for Lockstep {
    type Target = Kernel;

    fn deref(&self) -> &Kernel {
        &self.eager
    }
}
