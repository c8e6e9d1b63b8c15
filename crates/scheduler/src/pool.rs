//! Hosts the placement kernel of one worker shard.

mod jobs;
mod steps;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, Weak};

use rosemaryworks_core::job::Task;
use rosemaryworks_core::placement::{Action, Attempt, Event, Kernel, Start};
use rosemaryworks_core::target::{State, Worker};
use rosemaryworks_core::time::Instant;
use rosemaryworks_core::view;
use rosemaryworks_node::clock;
use rosemaryworks_platform::directory::Listing;
use tokio::sync::Notify;

use crate::listing;
use crate::lock::lock;
use crate::shared::Shared;
use crate::term::Term;
use crate::timer::{self, Timer};
use crate::writer::Writer;

/// Least time between two ticks in milliseconds; bounds the work of one tick and joins due times.
const TICK_MS: u64 = 50;

/// The same while no task waits or runs.
const TICK_IDLE_MS: u64 = 200;

/// The placement kernel of one shard and epoch.
pub(crate) struct Pool {
    pub(crate) term: Arc<Term>,
    shared: Weak<Shared>,
    state: Mutex<Inner>,
    pub(crate) writer: Writer,
    /// Signalled when a job ends or the epoch does.
    ended: Notify,
}

struct Inner {
    kernel: Kernel,
    timer: Timer,
    workers: HashMap<Arc<str>, Worker>,
    listed: Vec<(Worker, State)>,
    /// Attempts that were placed or reported last, of tasks whose end isn't recorded.
    attempts: HashMap<Task, Attempt>,
}

impl Pool {
    /// Creates the kernel of a shard whose epoch starts now. Must be called within a tokio runtime.
    pub(crate) fn start(shared: &Arc<Shared>, term: Term, start: Start) -> Arc<Self> {
        let (writer, receiver) = Writer::new();
        let term = Arc::new(term);
        tokio::spawn(writer.clone().run(shared.clone(), term.clone(), receiver));
        Arc::new(Self {
            term,
            shared: Arc::downgrade(shared),
            state: Mutex::new(Inner {
                kernel: Kernel::new(clock::now(), start),
                timer: Timer::new(),
                workers: HashMap::new(),
                listed: Vec::new(),
                attempts: HashMap::new(),
            }),
            writer,
            ended: Notify::new(),
        })
    }

    /// Starts to tick, once the kernel was told all that is known.
    pub(crate) fn run(self: &Arc<Self>) {
        tokio::spawn(tick(self.clone()));
    }

    /// Hands an event to the kernel and carries out its steps.
    pub(crate) fn feed(self: &Arc<Self>, event: Event) {
        let steps = lock(&self.state).handle(event);
        for step in steps {
            self.carry_out(step);
        }
    }

    /// Tells the kernel that the ends of tasks are recorded.
    pub(crate) fn recorded(self: &Arc<Self>, tasks: Vec<Task>) {
        for task in tasks {
            lock(&self.state).attempts.remove(&task);
            self.feed(Event::EndRecorded(task));
        }
    }

    /// Tells the kernel which workers were listed lately, so that it need not wait for the leases
    /// of workers that it has never heard of.
    pub(crate) fn recall(&self, shared: &Shared) {
        let now = clock::now();
        let Some(lately) = lock(&shared.seen).lately(now) else {
            return;
        };
        let own = lately.into_iter().filter(|worker| {
            let shard = shared.partition.shard_of_rack(&worker.pool, &worker.rack);
            shard.is_some_and(|shard| shard == self.term.shard)
        });
        let own: Vec<Worker> = own.collect();
        let mut state = lock(&self.state);
        for worker in &own {
            state.workers.insert(worker.name.clone(), worker.clone());
        }
        state.kernel.restore_unlisted(now, own);
        state.reschedule(now);
    }

    /// Hands over the list of workers if it changed.
    pub(crate) fn list(self: &Arc<Self>, shared: &Shared) {
        let Some(listing) = lock(&shared.listing).clone() else {
            return;
        };
        let listed = workers(shared, &self.term, &listing);
        {
            let mut state = lock(&self.state);
            if state.listed == listed {
                return;
            }
            state.listed.clone_from(&listed);
            let named = listed.iter().map(|(w, _)| (w.name.clone(), w.clone()));
            // A worker that is no longer listed may still hold leases.
            state.workers.extend(named);
        }
        self.feed(Event::Listed(listed));
    }

    /// Returns the number of jobs that have not ended.
    pub(crate) fn open(&self, shared: &Shared) -> usize {
        let cell = lock(&shared.cell);
        let known = cell.fold.shard(&self.term.shard);
        known.map_or(0, |known| known.jobs.open())
    }

    /// Wakes everything that waits for the end of a job.
    pub(crate) fn wake(&self) {
        self.ended.notify_waiters();
    }

    /// Wakes everything that waits, once the epoch is over.
    pub(crate) fn end(&self) {
        self.wake();
        lock(&self.state).timer.end();
    }

    pub(crate) fn targets(&self) -> Vec<view::Target> {
        lock(&self.state).kernel.targets()
    }
}

impl Inner {
    fn handle(&mut self, event: Event) -> Vec<Action> {
        let now = clock::now();
        if matches!(event, Event::Tick) {
            self.timer.ticked(now);
        }
        let steps = self.kernel.handle(now, event);
        self.reschedule(now);
        steps
    }

    /// Has the next tick come earlier if an event asks for it.
    fn reschedule(&mut self, now: Instant) {
        if !self.timer.is_near(now, TICK_MS) {
            let due = self.kernel.next_due(now);
            let gap_ms = self.gap_ms();
            self.timer.advance(due, gap_ms);
        }
    }

    /// Plans the next tick and returns its time.
    fn plan(&mut self) -> Option<Instant> {
        let due = self.kernel.next_due(clock::now());
        let gap_ms = self.gap_ms();
        self.timer.plan(due, gap_ms)
    }

    fn gap_ms(&self) -> u64 {
        match self.kernel.is_busy() {
            true => TICK_MS,
            false => TICK_IDLE_MS,
        }
    }
}

fn workers(shared: &Shared, term: &Term, listing: &Listing) -> Vec<(Worker, State)> {
    let register = lock(&shared.register);
    let listed = listing.workers.iter();
    let own = listed.filter(|(worker, _)| {
        let shard = shared.partition.shard_of_rack(&worker.pool, &worker.rack);
        shard.is_some_and(|shard| shard == term.shard)
    });
    own.map(|(worker, state)| {
        let state = listing::state(&register, &worker.name, *state);
        (worker.clone(), state)
    })
    .collect()
}

async fn tick(pool: Arc<Pool>) {
    let earlier = lock(&pool.state).timer.earlier();
    let plan = || lock(&pool.state).plan();
    timer::run(&pool.term, &earlier, plan, || pool.feed(Event::Tick)).await;
}
