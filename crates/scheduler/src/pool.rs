//! Host of the placement kernel of one worker shard.

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

/// Least time between two ticks in milliseconds. Bounds the work of one tick and lets due times
/// that are close together share a tick.
const TICK_MS: u64 = 50;

/// Least time between two ticks while no task waits or runs, in milliseconds.
const TICK_IDLE_MS: u64 = 200;

/// Host of the placement kernel of one shard and epoch.
pub(crate) struct Pool {
    pub(crate) term: Arc<Term>,
    context: Weak<Context>,
    state: Mutex<Inner>,
    pub(crate) writer: Writer,
    /// Signalled when a job ends or the epoch does.
    end_signal: Notify,
}

struct Inner {
    kernel: Kernel,
    timer: Timer,
    workers: HashMap<Arc<str>, Worker>,
    listed: Vec<(Worker, State)>,
    /// Latest attempt that was placed or reported, of each task whose end isn't recorded.
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
            end_signal: Notify::new(),
        })
    }

    /// Starts the ticks, once the kernel's initial state is complete.
    pub(crate) fn start_ticks(self: &Arc<Self>) {
        tokio::spawn(tick(self.clone()));
    }

    /// Passes an event to the kernel and carries out its actions.
    pub(crate) fn handle(self: &Arc<Self>, event: Event) {
        let actions = lock(&self.state).handle(event);
        for action in actions {
            self.execute(action);
        }
    }

    /// Informs the kernel that the ends of tasks are recorded.
    pub(crate) fn ends_recorded(self: &Arc<Self>, tasks: Vec<Task>) {
        for task in tasks {
            lock(&self.state).attempts.remove(&task);
            self.handle(Event::EndRecorded(task));
        }
    }

    /// Gives the kernel the workers that were listed recently, so that it need not wait out the
    /// leases of workers it doesn't know.
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

    /// Passes the list of workers to the kernel if it changed.
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
            let by_name = listed.iter().map(|(w, _)| (w.name.clone(), w.clone()));
            // A worker that is no longer listed may still hold leases.
            state.workers.extend(by_name);
        }
        self.handle(Event::Listed(listed));
    }

    /// Returns the number of jobs that have not ended.
    pub(crate) fn unfinished_jobs(&self, context: &Context) -> usize {
        let cell = lock(&context.cell);
        let recorded = cell.projection.shard(&self.term.shard);
        recorded.map_or(0, |recorded| recorded.jobs.unfinished_count())
    }

    /// Wakes the calls that wait for the end of a job.
    pub(crate) fn notify_waiters(&self) {
        self.end_signal.notify_waiters();
    }

    /// Wakes all waiting calls and the tick task, once the epoch has ended.
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

    /// Moves the next tick to an earlier time if the last event made it due earlier.
    fn reschedule(&mut self, now: Instant) {
        if !self.timer.is_due_within(now, TICK_MS) {
            let due = self.kernel.next_due(now);
            let min_interval_ms = self.min_interval_ms();
            self.timer.bring_forward(due, min_interval_ms);
        }
    }

    /// Schedules the next tick and returns its time.
    fn schedule_tick(&mut self) -> Option<Instant> {
        let due = self.kernel.next_due(clock::now());
        let min_interval_ms = self.min_interval_ms();
        self.timer.schedule(due, min_interval_ms)
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
    let schedule = || lock(&pool.state).schedule_tick();
    timer::run(&pool.term, &rescheduled, schedule, || {
        pool.handle(Event::Tick)
    })
    .await;
}
