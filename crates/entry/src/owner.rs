//! A shard that this process owns: its kernel and the tasks that serve it.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_wire::workflow::JobState;
use rosemaryworks_workflow::{Action, Id, Order, Pace, Record, Shard, StartOutcome, State, Stop};
use tokio::sync::Notify;

use crate::advice_lanes::Lanes;
use crate::config::{self, Config};
use crate::events;
use crate::journal::{self, Journal};
use crate::node::{Node, Parts, lock};
use crate::patience::Patience;
use crate::port::{Fault, Listing, Page, Stream};
use crate::session::Session;

/// Longest time between two ticks of the kernel.
const TICK: Duration = Duration::from_millis(100);

/// Time from one tick to the next at least, so that events that arrive together share one.
const TICK_SPACING: Duration = Duration::from_millis(2);

/// Time between two reads of the list of workers. The bound on starts at leaving workers is 2 s.
const LIST_PERIOD: Duration = Duration::from_millis(350);

/// Longest wait of the log for a new job.
const JOBS_WAIT_MS: u64 = 1_000;

/// Pause after a read that brought records. Most records arrive over links before they are read, and
/// each read is priced.
const JOBS_PAUSE: Duration = Duration::from_millis(250);

/// Pause before a read that failed is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time since the last read of the shard's jobs after which the owner can't tell how many wait, in
/// milliseconds.
const FRESH_MS: u64 = JOBS_WAIT_MS + 500;

/// Restatements of open jobs within the time for which the log keeps records. A restatement that is
/// held up by an outage leaves time for the next one.
const RESTATEMENTS: u64 = 3;

/// Time between two log lines of the use of the pools in milliseconds.
const USAGE_PERIOD_MS: u64 = 1_000;

/// Longest wait for the journal at a planned stop.
const FLUSH_MAX: Duration = Duration::from_millis(400);

/// A shard that this process owns.
pub(crate) struct Owner {
    shard: u32,
    shards: u32,
    epoch: u64,
    parts: Parts,
    state: Mutex<Shard>,
    journal: Journal,
    changed: Notify,
    written: Notify,
    ended: AtomicBool,
    beat: AtomicU64,
    /// Offset up to which the jobs were read.
    jobs_read: AtomicU64,
    jobs_read_ms: AtomicU64,
    /// Begin of the last read for a question.
    read_ms: tokio::sync::Mutex<Option<u64>>,
    workers_next: u64,
    sessions: Mutex<HashMap<Arc<str>, Arc<Session>>>,
    lanes: Mutex<Lanes>,
    patience: Mutex<Patience>,
}

impl Owner {
    pub(crate) fn new(
        node: &Node,
        shard: u32,
        state: Shard,
        jobs_next: u64,
        workers_next: u64,
    ) -> Arc<Self> {
        let epoch = state.epoch();
        let parts = node.parts.clone();
        let journal = Journal::new(parts.store.clone(), shard, epoch, parts.metrics.clone());
        Arc::new(Self {
            shard,
            shards: node.settings.shards,
            epoch,
            parts,
            state: Mutex::new(state),
            journal,
            changed: Notify::new(),
            written: Notify::new(),
            ended: AtomicBool::new(false),
            beat: AtomicU64::new(0),
            jobs_read: AtomicU64::new(jobs_next),
            jobs_read_ms: AtomicU64::new(clock::now().0),
            read_ms: tokio::sync::Mutex::default(),
            workers_next,
            sessions: Mutex::default(),
            lanes: Mutex::default(),
            patience: Mutex::default(),
        })
    }

    pub(crate) fn shard(&self) -> u32 {
        self.shard
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(crate) fn next_beat(&self) -> u64 {
        self.beat.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, Shard> {
        lock(&self.state)
    }

    pub(crate) fn lanes(&self) -> MutexGuard<'_, Lanes> {
        lock(&self.lanes)
    }

    pub(crate) fn patience(&self) -> MutexGuard<'_, Patience> {
        lock(&self.patience)
    }

    pub(crate) fn parts(&self) -> &Parts {
        &self.parts
    }

    pub(crate) fn counts(&self) -> (usize, usize) {
        let state = self.state();
        (state.open_jobs(), state.host_ids().len())
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Stops acting for the shard.
    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        self.changed.notify_one();
        for session in lock(&self.sessions).values() {
            session.interrupt();
        }
    }

    /// Waits until what happened so far is durable, for a short time.
    pub(crate) async fn flush(&self) {
        let until = clock::now().0 + FLUSH_MAX.as_millis() as u64;
        while !self.state().is_durable() && clock::now().0 < until {
            tokio::time::sleep(TICK_SPACING).await;
        }
    }

    /// Tells the kernel's driver that something changed.
    pub(crate) fn kick(&self) {
        self.changed.notify_one();
    }

    /// Puts a configuration into force.
    pub(crate) fn configure(&self, config: &Config) {
        let queues = config.routes.iter().map(|route| (*route.queue).clone());
        self.state().set_queues(queues);
        self.kick();
    }

    /// Takes a record that is stored, before it is read from the log.
    pub(crate) fn stored(&self, record: Record) {
        self.take_job(&mut self.state(), record);
        self.kick();
    }

    fn take_job(&self, state: &mut Shard, record: Record) {
        match record {
            Record::Submitted { id, queue, spec } => state.submit(id, queue, spec),
            Record::Cancelled { id } => state.cancel(id, clock::now().0),
            // Ends are written by owners, to another stream.
            _ => {}
        }
    }

    /// Answers a question about a job. A job that isn't known may have been stored by another process
    /// a moment ago, so the stream is read to its end before a job is said not to exist.
    pub(crate) async fn inquire(&self, job: Id) -> JobState {
        if self.is_ended() {
            return JobState::Unavailable;
        }
        let asked_ms = clock::now().0;
        if let Some(state) = self.known(job) {
            return JobState::State(state);
        }
        if !self.read_to_end(asked_ms).await {
            return JobState::Unavailable;
        }
        self.known(job).map_or(JobState::Unknown, JobState::State)
    }

    fn known(&self, job: Id) -> Option<State> {
        self.state().state(job)
    }

    /// Reads the jobs to the end that the stream had at `asked_ms` or later. Questions that wait for
    /// each other share a read.
    async fn read_to_end(&self, asked_ms: u64) -> bool {
        let mut read_ms = self.read_ms.lock().await;
        if read_ms.is_some_and(|began_ms| began_ms > asked_ms) {
            return true;
        }
        let began_ms = clock::now().0;
        let from = self.jobs_read.load(Ordering::Relaxed);
        let read = self.parts.store.read(Stream::Jobs, self.shard, from, 0);
        let Ok(page) = read.await else {
            return false;
        };
        self.take_jobs(&page);
        let whole = page.next >= page.end;
        if whole {
            *read_ms = Some(began_ms);
        }
        whole
    }

    fn is_fresh(&self) -> bool {
        clock::now().0 < self.jobs_read_ms.load(Ordering::Relaxed) + FRESH_MS
    }

    /// Returns the number of waiting jobs of a queue.
    pub(crate) fn length(&self, queue: &str) -> Option<u64> {
        let fresh = !self.is_ended() && self.is_fresh();
        fresh.then(|| self.state().pending_jobs(queue))
    }

    /// Starts the tasks that serve the shard.
    pub(crate) fn start(self: &Arc<Self>, node: &Arc<Node>) {
        tokio::spawn(self.clone().drive(node.clone()));
        tokio::spawn(self.clone().follow_jobs(node.clone()));
        tokio::spawn(self.clone().follow_workers(node.clone()));
        tokio::spawn(self.clone().write_journal(node.clone()));
        self.kick();
    }

    async fn write_journal(self: Arc<Self>, node: Arc<Node>) {
        let written = |count| {
            self.state().mark_durable(count);
            self.written.notify_waiters();
        };
        let fault = self.journal.run(written).await;
        node.depose(self.shard, self.epoch, &fault.to_string());
    }

    /// Waits until more ends are durable, or `limit` has passed.
    pub(crate) async fn wait_written(&self, limit: Duration) {
        // A wake-up that is missed costs no more than the limit.
        let _ = tokio::time::timeout(limit, self.written.notified()).await;
    }

    /// Runs the kernel until the shard is given up.
    async fn drive(self: Arc<Self>, node: Arc<Node>) {
        let restate_ms = node.settings.retention_ms / RESTATEMENTS;
        let mut restated_ms = clock::now().0;
        let mut logged_ms = restated_ms;
        while !self.is_ended() {
            let actions = {
                let mut state = self.state();
                if clock::now().0 >= restated_ms + restate_ms {
                    restated_ms = clock::now().0;
                    state.republish();
                }
                state.tick(clock::now().0, clock::unix_ms());
                let open = state.open_jobs();
                self.parts.metrics.open_jobs.set(open as i64);
                state.take_actions()
            };
            for action in actions {
                self.carry_out(&node, action);
            }
            if clock::now().0 >= logged_ms + USAGE_PERIOD_MS {
                logged_ms = clock::now().0;
                self.log_usage();
            }
            tokio::time::sleep(TICK_SPACING).await;
            // Without a change, what is due by time is looked for.
            let _ = tokio::time::timeout(TICK, self.changed.notified()).await;
        }
    }

    fn log_usage(&self) {
        let usage = self.state().usage(clock::now().0);
        for (pool, usage) in usage {
            events::USAGE.log(format_args!(
                "pool={pool} epoch={} workers={} empty={} free_millicores={}/{} free_mebibytes={}/{} \
                 free_accelerators={}/{} steps={} gangs={} tasks={}",
                self.epoch,
                usage.workers,
                usage.empty,
                usage.free.millicores,
                usage.capacity.millicores,
                usage.free.memory_mb,
                usage.capacity.memory_mb,
                usage.free.accelerators,
                usage.capacity.accelerators,
                usage.steps,
                usage.gangs,
                usage.tasks
            ));
        }
    }

    fn carry_out(self: &Arc<Self>, node: &Arc<Node>, action: Action) {
        match action {
            Action::RequestAdvice(ask) => {
                tokio::spawn(self.clone().ask(node.clone(), ask));
            }
            Action::StepDown => node.depose(self.shard, self.epoch, "a worker knows a later owner"),
            Action::Renew(id) => self.session(&id).interrupt(),
            Action::Pace(pace) => {
                tokio::spawn(self.clone().pace(pace));
            }
            Action::Record(record) => {
                if let Record::Final { id, state } = &record {
                    events::ENDED.log(format_args!(
                        "job={id} state={state:?} shard={} epoch={}",
                        self.shard, self.epoch
                    ));
                }
                self.journal.push(record);
            }
            Action::Start(order) => {
                tokio::spawn(self.clone().order(order));
            }
            Action::Stop(stop) => {
                tokio::spawn(self.clone().stop(stop));
            }
        }
    }

    fn session(self: &Arc<Self>, id: &Arc<str>) -> Arc<Session> {
        let mut sessions = lock(&self.sessions);
        let start = || Session::start(self.clone(), id.clone());
        sessions.entry(id.clone()).or_insert_with(start).clone()
    }

    pub(crate) fn forget_session(&self, id: &str) {
        lock(&self.sessions).remove(id);
    }

    async fn order(self: Arc<Self>, order: Order) {
        if self.is_ended() {
            return;
        }
        let began = clock::now();
        let timeout = self.patience().order();
        let outcome = self.parts.workers.start(&order, timeout).await;
        if matches!(outcome, StartOutcome::Accepted { .. }) {
            self.patience().answered(clock::now().since(began));
        }
        events::STARTED.log(format_args!(
            "task={} attempt={} worker={} token={} outcome={outcome:?} took_ms={}",
            order.key,
            order.attempt,
            order.worker,
            order.token,
            clock::now().since(began)
        ));
        self.parts.metrics.starts.inc();
        if !matches!(outcome, StartOutcome::Accepted { .. }) {
            self.parts.metrics.start_faults.inc();
        }
        self.state().start_answered(&order, outcome, clock::now().0);
        self.session(&order.worker).wake();
        self.kick();
    }

    async fn stop(self: Arc<Self>, stop: Stop) {
        if self.is_ended() {
            return;
        }
        let taken = self.parts.workers.stop(&stop).await;
        events::STOPPED.log(format_args!(
            "task={} attempt={} worker={} taken={taken}",
            stop.key, stop.attempt, stop.worker
        ));
        if !taken {
            self.state()
                .stop_failed(&stop.worker, stop.key, stop.attempt);
        }
        self.session(&stop.worker).wake();
    }

    async fn pace(self: Arc<Self>, pace: Pace) {
        if self.is_ended() {
            return;
        }
        let taken = self.parts.workers.pace(&pace).await;
        events::PACED.log(format_args!(
            "task={} worker={} percent={} taken={taken}",
            pace.run.key, pace.run.worker, pace.percent
        ));
    }

    /// Follows the jobs and cancellations of the shard.
    async fn follow_jobs(self: Arc<Self>, node: Arc<Node>) {
        while !self.is_ended() {
            let next = self.jobs_read.load(Ordering::Relaxed);
            let read = self
                .parts
                .store
                .read(Stream::Jobs, self.shard, next, JOBS_WAIT_MS);
            match read.await {
                Ok(page) => {
                    node.store_answered(true);
                    self.take_jobs(&page);
                    self.jobs_read.store(page.next, Ordering::Relaxed);
                    if !page.records.is_empty() {
                        self.kick();
                        tokio::time::sleep(JOBS_PAUSE).await;
                    }
                }
                Err(Fault::Expired { first }) => self.jobs_read.store(first, Ordering::Relaxed),
                Err(_) => {
                    node.store_answered(false);
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn take_jobs(&self, page: &Page) {
        let mut state = self.state();
        for record in &page.records {
            if let Some(record) = journal::decode(&record.value) {
                self.take_job(&mut state, record);
            }
        }
        if page.next >= page.end {
            self.jobs_read_ms.store(clock::now().0, Ordering::Relaxed);
        }
    }

    /// Follows the list of workers.
    async fn follow_workers(self: Arc<Self>, node: Arc<Node>) {
        let mut since = Some(self.workers_next);
        while !self.is_ended() {
            tokio::time::sleep(LIST_PERIOD).await;
            match self.parts.store.workers(since).await {
                Ok(feed) => {
                    since = Some(feed.next);
                    self.take_list(feed.items, feed.whole);
                }
                Err(Fault::Expired { .. }) => since = None,
                Err(_) => node.store_answered(false),
            }
        }
    }

    fn take_list(&self, items: Vec<Listing>, whole: bool) {
        let now_ms = clock::now().0;
        let mut state = self.state();
        let mut missing = if whole { state.host_ids() } else { Vec::new() };
        for item in items {
            match item {
                Listing::Listed(worker) => {
                    missing.retain(|id| *id != worker.id);
                    if config::shard(&worker.pool, self.shards) == self.shard {
                        state.list_worker(worker, now_ms);
                    } else {
                        state.unlist_worker(&worker.id);
                    }
                }
                Listing::Unlisted(id) => state.unlist_worker(&id),
            }
        }
        for id in missing {
            state.unlist_worker(&id);
        }
        drop(state);
        self.kick();
    }
}
