//! Hosts the placement kernel of one worker shard.

mod actions;
mod jobs;

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

use crate::context::Context;
use crate::listing;
use crate::lock::lock;
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
    context: Weak<Context>,
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
    pub(crate) fn start(context: &Arc<Context>, term: Term, start: Start) -> Arc<Self> {
        let (writer, receiver) = Writer::new();
        let term = Arc::new(term);
        tokio::spawn(writer.clone().run(context.clone(), term.clone(), receiver));
        Arc::new(Self {
            term,
            context: Arc::downgrade(context),
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
    pub(crate) fn start_ticks(self: &Arc<Self>) {
        tokio::spawn(tick(self.clone()));
    }

    /// Hands an event to the kernel and carries out its steps.
    pub(crate) fn handle(self: &Arc<Self>, event: Event) {
        let actions = lock(&self.state).handle(event);
        for action in actions {
            self.execute(action);
        }
    }

    /// Tells the kernel that the ends of tasks are recorded.
    pub(crate) fn ends_recorded(self: &Arc<Self>, tasks: Vec<Task>) {
        for task in tasks {
            lock(&self.state).attempts.remove(&task);
            self.handle(Event::EndRecorded(task));
        }
    }

    /// Tells the kernel which workers were listed lately, so that it need not wait for the leases
    /// of workers that it has never heard of.
    pub(crate) fn restore_workers(&self, context: &Context) {
        let now = clock::now();
        let Some(recent) = lock(&context.roster).recent(now) else {
            return;
        };
        let own = recent.into_iter().filter(|worker| {
            let shard = context.partition.shard_of_rack(&worker.pool, &worker.rack);
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
    pub(crate) fn update_workers(self: &Arc<Self>, context: &Context) {
        let Some(listing) = lock(&context.listing).clone() else {
            return;
        };
        let listed = workers(context, &self.term, &listing);
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
        self.handle(Event::Listed(listed));
    }

    /// Returns the number of jobs that have not ended.
    pub(crate) fn unfinished_jobs(&self, context: &Context) -> usize {
        let cell = lock(&context.cell);
        let known = cell.projection.shard(&self.term.shard);
        known.map_or(0, |known| known.jobs.unfinished_count())
    }

    /// Wakes everything that waits for the end of a job.
    pub(crate) fn notify_waiters(&self) {
        self.ended.notify_waiters();
    }

    /// Wakes everything that waits, once the epoch is over.
    pub(crate) fn end(&self) {
        self.notify_waiters();
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
            self.timer.record_tick(now);
        }
        let actions = self.kernel.handle(now, event);
        self.reschedule(now);
        actions
    }

    /// Has the next tick come earlier if an event asks for it.
    fn reschedule(&mut self, now: Instant) {
        if !self.timer.is_due_within(now, TICK_MS) {
            let due = self.kernel.next_due(now);
            let min_interval_ms = self.min_interval_ms();
            self.timer.bring_forward(due, min_interval_ms);
        }
    }

    /// Plans the next tick and returns its time.
    fn plan_tick(&mut self) -> Option<Instant> {
        let due = self.kernel.next_due(clock::now());
        let min_interval_ms = self.min_interval_ms();
        self.timer.plan(due, min_interval_ms)
    }

    fn min_interval_ms(&self) -> u64 {
        match self.kernel.is_busy() {
            true => TICK_MS,
            false => TICK_IDLE_MS,
        }
    }
}

fn workers(context: &Context, term: &Term, listing: &Listing) -> Vec<(Worker, State)> {
    let register = lock(&context.register);
    let listed = listing.workers.iter();
    let own = listed.filter(|(worker, _)| {
        let shard = context.partition.shard_of_rack(&worker.pool, &worker.rack);
        shard.is_some_and(|shard| shard == term.shard)
    });
    own.map(|(worker, state)| {
        let state = listing::effective_state(&register, &worker.name, *state);
        (worker.clone(), state)
    })
    .collect()
}

async fn tick(pool: Arc<Pool>) {
    let rescheduled = lock(&pool.state).timer.rescheduled();
    let plan = || lock(&pool.state).plan_tick();
    timer::run(&pool.term, &rescheduled, plan, || pool.handle(Event::Tick)).await;
}
