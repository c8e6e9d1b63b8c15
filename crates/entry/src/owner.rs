//! An owned shard: its state machine, and the tasks that connect it to the log and the workers.

mod jobs;
mod queries;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_workflow::memory::Pool;
use rosemaryworks_workflow::{Action, Record, Shard};
use tokio::sync::Notify;

use crate::admission::Attempts;
use crate::advice::requester::Requester;
use crate::budget::Budget;
use crate::config::Config;
use crate::decision::Reservations;
use crate::events;
use crate::journal::Journal;
use crate::load::Load;
use crate::node::{Context, Node, lock};
use crate::permission::Permission;
use crate::port::Stream;
use crate::quota;
use crate::relayed::RelayedWorkers;
use crate::session::Session;
use crate::snapshot::Stored;
use crate::stall::Stall;
use crate::timeouts::Timeouts;
use crate::worker_list::Position;

/// Longest time between two ticks of the state machine.
const TICK: Duration = Duration::from_millis(100);

/// Shortest time between two ticks, so that events that arrive together share a tick.
const TICK_SPACING: Duration = Duration::from_millis(2);

/// Time between two ticks as a multiple of the duration of the last one, so that ticks leave most of
/// the CPU to calls.
const TICK_SPACING_FACTOR: u32 = 3;

/// Upper bound of the time between two ticks while there are changes.
const TICK_SPACING_MAX: Duration = Duration::from_millis(40);

/// Longest time for which a read waits at the log for a new job, in milliseconds.
const JOBS_WAIT_MS: u64 = 1_000;

/// Pause after a read that returned records. Most records arrive over links before they are read,
/// and each read is charged for.
const JOBS_PAUSE: Duration = Duration::from_millis(250);

/// Pause before a failed read is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Age of the last read of the shard's jobs above which the owner doesn't report queue lengths, in
/// milliseconds.
const JOBS_FRESH_MS: u64 = JOBS_WAIT_MS + 500;

/// Republications of the workers within the retention time of the log. If an outage delays one, there
/// is time left for the next.
const REPUBLICATIONS_PER_RETENTION: u64 = 3;

/// Time between two log lines with the usage of the pools, in milliseconds.
const USAGE_PERIOD_MS: u64 = 1_000;

/// Time between two looks at the VMs that offer to send commands, in milliseconds.
const RELAYS_PERIOD_MS: u64 = 250;

/// Longest wait for the journal to be flushed at a planned stop.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(400);

/// A shard that this process owns.
pub(crate) struct Owner {
    shard: u32,
    shards: u32,
    epoch: u64,
    context: Context,
    state: Mutex<Shard>,
    journal: Journal,
    snapshots: Journal,
    /// What the log holds of the shard's snapshot.
    pub(crate) stored: tokio::sync::Mutex<Stored>,
    changed: Notify,
    durable: Notify,
    ended: AtomicBool,
    /// Number of the last renewal of the claim.
    pub(crate) renewals: AtomicU64,
    /// Offset up to which the jobs have been read.
    jobs_read: AtomicU64,
    jobs_read_ms: AtomicU64,
    /// Start of the last read to the end of the stream that was made for a job query.
    full_read_ms: tokio::sync::Mutex<Option<u64>>,
    pub(crate) workers_read: Position,
    /// Notified when a configuration was applied.
    pub(crate) configured: Notify,
    /// Version of the configuration that was applied last.
    config_version: Mutex<Option<u64>>,
    sessions: Mutex<HashMap<Arc<str>, Arc<Session>>>,
    advice: Arc<Requester>,
    pub(crate) attempts: Mutex<Attempts>,
    timeouts: Mutex<Timeouts>,
    workers: RelayedWorkers,
    permission: Arc<Permission>,
    stall: Stall,
    load: Load,
    memory: Pool,
    pub(crate) reserved: Mutex<Reservations>,
}

impl Owner {
    pub(crate) fn new(
        node: &Node,
        shard: u32,
        state: Shard,
        stored: Stored,
        jobs_next: u64,
        workers_read: Position,
    ) -> Arc<Self> {
        let epoch = state.epoch();
        let context = node.context.clone();
        let workers = RelayedWorkers::new(context.workers.clone(), node.exchange.clone());
        let config_version = workers_read.config.as_ref().map(|config| config.version);
        let [journal, snapshots] = [Stream::Progress, Stream::State].map(|stream| {
            let metrics = context.metrics.clone();
            Journal::new(context.store.clone(), stream, shard, epoch, metrics)
        });
        let advice = Requester::new(shard, epoch, &node.settings.node, &node.advice);
        Arc::new(Self {
            shard,
            shards: node.settings.shards,
            epoch,
            context,
            state: Mutex::new(state),
            journal,
            snapshots,
            stored: tokio::sync::Mutex::new(stored),
            changed: Notify::new(),
            durable: Notify::new(),
            ended: AtomicBool::new(false),
            renewals: AtomicU64::new(0),
            jobs_read: AtomicU64::new(jobs_next),
            jobs_read_ms: AtomicU64::new(clock::now().0),
            full_read_ms: tokio::sync::Mutex::default(),
            workers_read,
            configured: Notify::new(),
            config_version: Mutex::new(config_version),
            sessions: Mutex::default(),
            advice,
            attempts: Mutex::default(),
            timeouts: Mutex::default(),
            workers,
            permission: node.permission.clone(),
            stall: Stall::new(clock::uptime_ms()),
            load: Load::default(),
            memory: node.memory.clone(),
            reserved: Mutex::default(),
        })
    }

    pub(crate) fn shard(&self) -> u32 {
        self.shard
    }

    /// Returns the number of shards.
    pub(crate) fn shards(&self) -> u32 {
        self.shards
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, Shard> {
        lock(&self.state)
    }

    pub(crate) fn timeouts(&self) -> MutexGuard<'_, Timeouts> {
        lock(&self.timeouts)
    }

    pub(crate) fn load(&self) -> &Load {
        &self.load
    }

    /// Returns the commands to the shard's workers.
    pub(crate) fn workers(&self) -> &RelayedWorkers {
        &self.workers
    }

    pub(crate) fn context(&self) -> &Context {
        &self.context
    }

    pub(crate) fn snapshot_journal(&self) -> &Journal {
        &self.snapshots
    }

    pub(crate) fn permission(&self) -> &Permission {
        &self.permission
    }

    pub(crate) fn stall(&self) -> &Stall {
        &self.stall
    }

    /// Returns the memory for jobs of the process.
    pub(crate) fn memory(&self) -> &Pool {
        &self.memory
    }

    pub(crate) fn counts(&self) -> (usize, usize) {
        let state = self.state();
        (state.open_jobs(), state.host_ids().len())
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Ends ownership in this process: the shard's tasks stop.
    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        self.changed.notify_one();
        self.configured.notify_one();
        self.permission.wake();
        for session in lock(&self.sessions).values() {
            session.interrupt();
        }
    }

    /// Writes a snapshot and waits until it and all issued records are durable, for
    /// [`FLUSH_TIMEOUT`] at most.
    pub(crate) async fn flush(&self) {
        let until = clock::now().0 + FLUSH_TIMEOUT.as_millis() as u64;
        self.write_snapshot().await;
        let is_durable = || self.state().is_durable() && self.snapshots.is_written();
        while !is_durable() && clock::now().0 < until {
            tokio::time::sleep(TICK_SPACING).await;
        }
    }

    /// Returns whether no previous owner of the shard acts any more.
    pub(crate) fn has_fenced_predecessors(&self) -> bool {
        self.state().has_fenced_predecessors(clock::now().0)
    }

    /// Wakes the task that runs the state machine.
    pub(crate) fn wake(&self) {
        self.changed.notify_one();
    }

    /// Applies a configuration, unless that version or a later one was applied before.
    pub(crate) fn configure(&self, config: &Config) {
        {
            let mut applied = lock(&self.config_version);
            if *applied >= Some(config.version) {
                return;
            }
            *applied = Some(config.version);
            config.apply_to(&mut self.state(), self.shard, self.shards);
        }
        self.configured.notify_one();
        self.wake();
    }

    /// Applies a record that is known to be stored before it is read from the log.
    pub(crate) fn apply_stored(self: &Arc<Self>, record: Record) {
        let now_ms = clock::now().0;
        let is_applied = self.state().apply_stored(record, None, now_ms);
        if is_applied {
            self.wake();
        } else {
            let owner = self.clone();
            tokio::spawn(async move {
                owner.read_to_end(now_ms).await;
                owner.wake();
            });
        }
    }

    /// Starts the tasks that serve the shard.
    pub(crate) fn start(self: &Arc<Self>, node: &Arc<Node>) {
        self.supervise(node, self.clone().run_state_machine(node.clone()));
        self.supervise(node, self.clone().follow_jobs(node.clone()));
        self.supervise(node, self.clone().follow_workers(node.clone()));
        self.supervise(node, self.clone().write_journal(node.clone()));
        self.supervise(node, self.clone().write_snapshots(node.clone()));
        self.supervise(node, self.clone().keep_snapshot(node.clone()));
        self.supervise(node, self.clone().list_addresses(node.clone()));
        self.supervise(node, self.clone().release_addresses(node.clone()));
        let reach = Arc::new(node.clone());
        self.supervise(node, quota::ask_for_room(self.clone(), reach));
        self.wake();
    }

    /// Runs a task of the shard. If it panics, the shard is released: an owner that lacks one of its
    /// tasks would renew its claim and do nothing.
    fn supervise(&self, node: &Arc<Node>, task: impl Future<Output = ()> + Send + 'static) {
        let (node, shard, epoch) = (node.clone(), self.shard, self.epoch);
        let task = tokio::spawn(task);
        tokio::spawn(async move {
            let Err(error) = task.await else { return };
            events::PANICKED.log(format_args!("shard={shard} epoch={epoch} {error}"));
            // Workers and the journal fence this owner.
            node.give_up(shard, epoch, "a task panicked").await;
        });
    }

    async fn write_journal(self: Arc<Self>, node: Arc<Node>) {
        let written = |count| {
            self.state().mark_durable(count);
            self.durable.notify_waiters();
        };
        let fault = self.journal.run(written).await;
        node.step_down(self.shard, self.epoch, &fault.to_string());
    }

    async fn write_snapshots(self: Arc<Self>, node: Arc<Node>) {
        let fault = self.snapshots.run(|_| {}).await;
        node.step_down(self.shard, self.epoch, &fault.to_string());
    }

    /// Waits until more records are durable, for `limit` at most.
    pub(crate) async fn wait_durable(&self, limit: Duration) {
        // A missed wake-up costs no more than the limit.
        let _ = tokio::time::timeout(limit, self.durable.notified()).await;
    }

    /// Runs the state machine until ownership ends.
    async fn run_state_machine(self: Arc<Self>, node: Arc<Node>) {
        let republish_ms = node.settings.retention_ms / REPUBLICATIONS_PER_RETENTION;
        let mut republished_ms = clock::now().0;
        let mut logged_ms = republished_ms;
        let mut assigned_ms = 0;
        let mut budget = Budget::default();
        loop {
            let now_ms = self.await_permission().await;
            if clock::now().0 >= assigned_ms + RELAYS_PERIOD_MS {
                assigned_ms = clock::now().0;
                self.assign_relays(&node);
            }
            if self.is_ended() {
                self.advice.withdraw(&lock(&node.peers));
                return;
            }
            let load = self.advice.load(&lock(&node.peers));
            self.set_advice_load(load);
            let began = std::time::Instant::now();
            let (actions, cost, has_more) = {
                let mut state = self.state();
                state.set_pass_budget(budget.evaluations());
                if clock::now().0 >= republished_ms + republish_ms {
                    republished_ms = clock::now().0;
                    state.record_workers();
                }
                if let Some(proven_ms) = self.permission.proven_ms() {
                    state.confirm_ownership(proven_ms);
                }
                state.tick(now_ms, clock::unix_ms());
                lock(&self.reserved).release_known(&state, now_ms);
                let open = state.open_jobs();
                self.context.metrics.open_jobs.set(open as i64);
                self.context
                    .metrics
                    .job_bytes
                    .set(self.memory.held() as i64);
                let peak = self.memory.peak();
                self.context.metrics.job_bytes_peak.set(peak as i64);
                let actions = state.take_actions();
                (actions, state.pass_cost(), state.has_more_to_place())
            };
            let took = began.elapsed();
            budget.observe(cost, took);
            self.load.add_tick(took);
            self.context
                .metrics
                .tick_seconds
                .observe(took.as_secs_f64());
            for action in actions {
                self.execute(&node, action);
            }
            if has_more {
                self.wake();
            }
            let spacing =
                (began.elapsed() * TICK_SPACING_FACTOR).clamp(TICK_SPACING, TICK_SPACING_MAX);
            if clock::now().0 >= logged_ms + USAGE_PERIOD_MS {
                logged_ms = clock::now().0;
                self.log_usage();
            }
            let pause = std::time::Instant::now();
            tokio::time::sleep(spacing).await;
            self.load
                .add_lateness(pause.elapsed().saturating_sub(spacing));
            // Without a change, the next tick handles what is due by time.
            let _ = tokio::time::timeout(TICK, self.changed.notified()).await;
        }
    }

    fn execute(self: &Arc<Self>, node: &Arc<Node>, action: Action) {
        match action {
            Action::RequestAdvice(request) => {
                let (peers, sink) = (lock(&node.peers).clone(), self.clone());
                tokio::spawn(self.advice.clone().request(peers, request, sink));
            }
            Action::StepDown => {
                node.step_down(self.shard, self.epoch, "a worker reported a later owner")
            }
            Action::Forward { shard, record } => {
                tokio::spawn(node.clone().forward(self.clone(), shard, record));
            }
            Action::Release => {
                let (node, shard, epoch) = (node.clone(), self.shard, self.epoch);
                tokio::spawn(async move { node.give_up(shard, epoch, "tokens used up").await });
            }
            Action::Renew(id) => self.session(&id).interrupt(),
            Action::LogIncarnation(incarnation) => self.log_incarnation(&incarnation),
            Action::LogLost(lost) => self.log_lost(&lost),
            Action::LogUnreported(unreported) => self.log_unreported(&unreported),
            Action::Pace(pace) => {
                tokio::spawn(self.clone().send_pace(pace));
            }
            Action::Record(record) => {
                if let Record::Final { id, state, .. } = &record {
                    events::ENDED.log(format_args!(
                        "job={id} state={state:?} shard={} epoch={}",
                        self.shard, self.epoch
                    ));
                }
                self.journal.push(&record);
            }
            Action::Start(order) => {
                tokio::spawn(self.clone().send_start(order));
            }
            Action::Stop(stop) => {
                tokio::spawn(self.clone().send_stop(stop));
            }
        }
    }

    pub(crate) fn session(self: &Arc<Self>, id: &Arc<str>) -> Arc<Session> {
        let mut sessions = lock(&self.sessions);
        let start = || Session::start(self.clone(), id.clone());
        sessions.entry(id.clone()).or_insert_with(start).clone()
    }

    pub(crate) fn forget_session(&self, id: &str) {
        lock(&self.sessions).remove(id);
    }
}
