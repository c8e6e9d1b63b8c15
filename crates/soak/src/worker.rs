//! Stand-ins for workers: they run simulated tasks under leases and check their own capacity.

mod clock;
mod run;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rosemaryworks_core::size::Size;
use rosemaryworks_node::clock::unix_ms;
use rosemaryworks_workflow::{
    Finished, Key, Order, Outcome, Refusal, Report, Running, StartOutcome, Stop,
    Worker as WorkerEntry,
};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

use crate::history::History;
use crate::layout::{Layout, clock_rate};
use crate::log::{DROP_STRIDE, Log};
use crate::network;
use crate::protocol::Protocol;
use crate::proxy::{Imposition, Mode, Proxy};
use crate::server;
use crate::worker::clock::Clock;
use crate::worker::run::Run;

/// Capacity of each worker.
const CAPACITY: Size = Size::new(8_000, 16_000);

/// Maximum remaining time of a lease in milliseconds. The worker shortens a longer one.
const LEASE_MAX_MS: u64 = 10_000;

/// Time that a run takes to stop, in milliseconds.
const STOP_DURATION_MS: u64 = 150;

#[derive(Default)]
struct State {
    /// Highest fencing token received.
    token: u64,
    lease_deadline_ms: u64,
    runs: BTreeMap<Key, Run>,
    /// Highest attempt of each task that was started or stopped on this worker.
    attempts: BTreeMap<Key, u32>,
    /// Ended runs that no owner has acknowledged yet.
    finished: Vec<Finished>,
    /// Number of the latest entry of `finished`.
    last_number: u64,
    /// Number of the latest entry of `finished` when a lease last expired.
    expired_number: u64,
    /// Time at which the worker was suspended.
    suspended_ms: Option<u64>,
}

impl State {
    /// Returns whether a fencing token is current, and stores it as the highest one if it is.
    fn accept_token(&mut self, token: u64) -> bool {
        let is_current = token >= self.token;
        self.token = self.token.max(token);
        is_current
    }

    /// Notes the ends before an expiry of the lease.
    fn note_expiry(&mut self, now_ms: u64) {
        if now_ms >= self.lease_deadline_ms {
            self.expired_number = self.last_number;
        }
    }

    fn extend_lease(&mut self, deadline_ms: u64, now_ms: u64) {
        self.lease_deadline_ms = self
            .lease_deadline_ms
            .max(deadline_ms.min(now_ms + LEASE_MAX_MS));
    }
}

/// One start of a worker, with its own clock and runs.
pub struct Incarnation {
    id: Arc<str>,
    started_unix_ms: u64,
    clock: Clock,
    history: Arc<History>,
    state: Mutex<State>,
    run_ended: Notify,
    /// Whether the worker is suspended.
    suspended: watch::Sender<bool>,
    /// Percentage of calls whose responses are dropped.
    dropped_percent: Arc<AtomicU32>,
    calls: AtomicU64,
}

/// A running incarnation with its background tasks.
struct Active {
    incarnation: Arc<Incarnation>,
    server: JoinHandle<()>,
    timer: JoinHandle<()>,
}

/// A worker across its incarnations.
pub(crate) struct Worker {
    /// Proxy of each process to the worker.
    pub(crate) proxies: Vec<Proxy>,
    pub(crate) dropped_percent: Arc<AtomicU32>,
    id: Arc<str>,
    pool: Arc<str>,
    clock_rate: f64,
    address: SocketAddr,
    history: Arc<History>,
    protocol: Arc<dyn Protocol>,
    active: Mutex<Option<Active>>,
}

impl Worker {
    pub(crate) async fn start(
        index: usize,
        layout: &Layout,
        history: Arc<History>,
        protocol: Arc<dyn Protocol>,
        log: &Log,
    ) -> Arc<Self> {
        let port = network::free_port();
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let listener = network::bind(address).await;
        let mut proxies = Vec::new();
        for process in 0..layout.processes {
            let proxy = Proxy::start_at(network::seen_by(process, port), address);
            proxies.push(proxy.await);
        }
        let worker = Arc::new(Self {
            id: format!("i-{index}").into(),
            pool: layout.pool_of_worker(index).clone(),
            clock_rate: clock_rate(index),
            proxies,
            dropped_percent: Arc::default(),
            address,
            history,
            protocol,
            active: Mutex::default(),
        });
        worker.start_incarnation(listener, log);
        worker
    }

    fn active(&self) -> MutexGuard<'_, Option<Active>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start_incarnation(&self, listener: TcpListener, log: &Log) {
        let incarnation = Arc::new(Incarnation {
            id: self.id.clone(),
            started_unix_ms: unix_ms(),
            clock: Clock::start(self.clock_rate),
            history: self.history.clone(),
            state: Mutex::default(),
            run_ended: Notify::new(),
            suspended: watch::Sender::new(false),
            dropped_percent: self.dropped_percent.clone(),
            calls: AtomicU64::new(0),
        });
        let handler = self.protocol.worker(incarnation.clone());
        let server = tokio::spawn(server::serve(listener, handler));
        let timer = tokio::spawn(run_timer(incarnation.clone()));
        let entry = WorkerEntry {
            address: network::published(self.address.port()),
            incarnation: incarnation.started_unix_ms,
            capacity: CAPACITY,
            draining: false,
            id: self.id.clone(),
            labels: vec!["a".into(), "r1".into()],
            pool: self.pool.clone(),
            rack: "r1".into(),
            remaining_ms: None,
        };
        self.protocol.publish_worker(log, &entry);
        *self.active() = Some(Active {
            incarnation,
            server,
            timer,
        });
    }

    /// Returns the running incarnation.
    pub(crate) fn incarnation(&self) -> Option<Arc<Incarnation>> {
        let active = self.active();
        active.as_ref().map(|active| active.incarnation.clone())
    }

    /// Imposes a network fault of the connections of all processes.
    pub(crate) fn impose(&self, mode: Mode) -> Vec<Imposition> {
        self.proxies
            .iter()
            .map(|proxy| proxy.impose(mode))
            .collect()
    }

    /// Crashes the worker: closes its listener and connections and ends its runs.
    pub(crate) fn crash(&self) {
        let Some(active) = self.active().take() else {
            return;
        };
        active.server.abort();
        active.timer.abort();
        let runs = std::mem::take(&mut active.incarnation.state().runs);
        for key in runs.into_keys() {
            self.history.record_end(key, &self.id, Outcome::Lapsed);
        }
    }

    /// Starts a new incarnation with the same identifier and address.
    ///
    /// # Panics
    ///
    /// Panics if the address can't be bound within five seconds.
    pub(crate) async fn restart(&self, log: &Log) {
        if self.active().is_some() {
            return;
        }
        let listener = network::bind(self.address).await;
        self.start_incarnation(listener, log);
    }
}

async fn run_timer(incarnation: Arc<Incarnation>) {
    loop {
        tokio::time::sleep(Duration::from_millis(10)).await;
        incarnation.end_due_runs();
    }
}

impl Incarnation {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the worker's identifier.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the time on the worker's clock in milliseconds.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns whether the response to the next call is to be dropped.
    pub fn drops_response(&self) -> bool {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        call * DROP_STRIDE % 100 < u64::from(self.dropped_percent.load(Ordering::Relaxed))
    }

    /// Suspends the worker: its runs make no progress until [`Self::resume`]. Its clock goes on, so that
    /// its lease may lapse.
    pub(crate) fn suspend(&self) {
        let now_ms = self.clock_ms();
        self.state().suspended_ms.get_or_insert(now_ms);
        self.suspended.send_replace(true);
    }

    /// Suspends the worker and stops its clock, as if its VM were suspended.
    pub(crate) fn stand_still(&self) {
        self.clock.stop();
        self.suspend();
        let state = self.state();
        // The ends that no owner has acknowledged are void once the lease has expired.
        let ended = state.finished.iter().map(|end| end.key);
        let keys: Vec<Key> = state.runs.keys().copied().chain(ended).collect();
        drop(state);
        for key in keys {
            self.history.record_standstill(key, &self.id);
        }
    }

    /// Resumes the worker, its runs and its clock.
    pub(crate) fn resume(&self) {
        self.clock.resume();
        // A lapse of the lease takes effect before a run completes.
        self.end_due_runs();
        let now_ms = self.clock_ms();
        let mut state = self.state();
        let since_ms = state.suspended_ms.take().unwrap_or(now_ms);
        for run in state.runs.values_mut() {
            run.ends_ms += now_ms - since_ms;
        }
        drop(state);
        self.suspended.send_replace(false);
    }

    /// Waits while the worker is suspended.
    async fn until_resumed(&self) {
        let mut suspended = self.suspended.subscribe();
        // Fails only once the sender is gone.
        let _ = suspended.wait_for(|suspended| !suspended).await;
    }

    /// Ends the runs that have completed or been stopped, and all runs once the lease has lapsed.
    fn end_due_runs(&self) {
        let now_ms = self.clock_ms();
        let mut state = self.state();
        state.note_expiry(now_ms);
        let lapsed = now_ms >= state.lease_deadline_ms;
        let suspended = state.suspended_ms.is_some();
        let completed = |run: &Run| now_ms >= run.ends_ms && !suspended;
        let is_due = |run: &Run| lapsed || completed(run);
        let due = state.runs.iter().filter(|(_, run)| is_due(run));
        let due: Vec<Key> = due.map(|(key, _)| *key).collect();
        for key in &due {
            let Some(run) = state.runs.remove(key) else {
                continue;
            };
            let outcome = match completed(&run) {
                true => run.outcome,
                false => Outcome::Lapsed,
            };
            state.last_number += 1;
            let end = Finished {
                number: state.last_number,
                key: *key,
                attempt: run.attempt,
                how: outcome,
                checkpoint: None,
            };
            state.finished.push(end);
            self.history.record_end(*key, &self.id, outcome);
        }
        drop(state);
        if !due.is_empty() {
            self.run_ended.notify_waiters();
        }
    }

    /// Starts a run. The order's text sets its duration, its processor use and the percentage of runs
    /// that fail.
    pub fn start(&self, order: &Order) -> StartOutcome {
        let clock_ms = self.clock_ms();
        let mut state = self.state();
        if !state.accept_token(order.token) {
            return StartOutcome::Refused(Refusal::Fenced);
        }
        if order.deadline_ms < clock_ms {
            return StartOutcome::Refused(Refusal::Late);
        }
        state.note_expiry(clock_ms);
        state.extend_lease(order.deadline_ms, clock_ms);
        let running = state.runs.get(&order.key).map(|run| run.attempt);
        if running == Some(order.attempt) {
            return StartOutcome::Accepted { clock_ms };
        }
        let last = state.attempts.get(&order.key).copied().unwrap_or(0);
        if running.is_some() || order.attempt <= last {
            return StartOutcome::Refused(Refusal::Old);
        }
        let millicores = run::parse_field(&order.text, "cpu=");
        let used: u64 = state.runs.values().map(|run| run.millicores).sum();
        if used + millicores > CAPACITY.millicores {
            self.report_overcommit(&state, order, millicores);
        }
        let fails =
            run::hash_percent(order.key, order.attempt) < run::parse_field(&order.text, "fails=");
        let duration_ms = run::parse_field(&order.text, "ms=");
        let run = Run {
            attempt: order.attempt,
            millicores,
            duration_ms,
            ends_ms: clock_ms + duration_ms,
            outcome: if fails {
                Outcome::Failed
            } else {
                Outcome::Done
            },
        };
        state.runs.insert(order.key, run);
        state.attempts.insert(order.key, order.attempt);
        drop(state);
        self.history
            .record_start(order.key, order.attempt, &self.id);
        StartOutcome::Accepted { clock_ms }
    }

    fn report_overcommit(&self, state: &State, order: &Order, millicores: u64) {
        let now_ms = self.clock_ms();
        let describe = |(key, run): (&Key, &Run)| {
            let remaining_ms = run.ends_ms.saturating_sub(now_ms);
            format!(
                "{key}#{} of {} millicores, {:?} in {remaining_ms} ms",
                run.attempt, run.millicores, run.outcome
            )
        };
        let running: Vec<String> = state.runs.iter().map(describe).collect();
        self.history.add_violation(format!(
            "{} was assigned {}#{} of {millicores} millicores beyond its capacity: {running:?}",
            self.id, order.key, order.attempt
        ));
    }

    /// Stops a run. Returns whether the fencing token is current.
    pub fn stop(&self, stop: &Stop) -> bool {
        let now_ms = self.clock_ms();
        let mut state = self.state();
        if !state.accept_token(stop.token) {
            return false;
        }
        let last = state.attempts.entry(stop.key).or_default();
        *last = stop.attempt.max(*last);
        let run = state.runs.get_mut(&stop.key);
        if let Some(run) = run.filter(|run| run.attempt == stop.attempt) {
            run.ends_ms = run.ends_ms.min(now_ms + STOP_DURATION_MS);
            run.outcome = Outcome::Stopped;
        }
        true
    }

    /// Renews the lease and returns a report as soon as a run has ended, or after `wait`. Returns `None`
    /// if the fencing token is stale.
    pub async fn poll(
        &self,
        token: u64,
        deadline_ms: Option<u64>,
        acknowledged: u64,
        wait: Duration,
    ) -> Option<Report> {
        self.renew_lease(token, deadline_ms, acknowledged)?;
        let ended = self.run_ended.notified();
        if self.state().finished.is_empty() {
            // After the timeout the report lists the runs in progress.
            let _ = tokio::time::timeout(wait, ended).await;
        }
        self.until_resumed().await;
        let clock_ms = self.clock_ms();
        let state = self.state();
        let running = state.runs.iter().map(|(key, run)| Running {
            key: *key,
            attempt: run.attempt,
            checkpoint: None,
            percent: run.percent(clock_ms),
            metric: 0.0,
        });
        Some(Report {
            may_have_more_ends: false,
            incarnation: self.started_unix_ms,
            clock_ms,
            finished: state.finished.clone(),
            running: running.collect(),
        })
    }

    fn renew_lease(&self, token: u64, deadline_ms: Option<u64>, acknowledged: u64) -> Option<()> {
        let now_ms = self.clock_ms();
        let mut state = self.state();
        if !state.accept_token(token) {
            return None;
        }
        state.note_expiry(now_ms);
        if let Some(deadline_ms) = deadline_ms {
            state.extend_lease(deadline_ms, now_ms);
        }
        let expired_number = state.expired_number;
        let finished = std::mem::take(&mut state.finished);
        let (removed, kept): (Vec<_>, Vec<_>) = finished
            .into_iter()
            .partition(|end| end.number <= acknowledged);
        state.finished = kept;
        drop(state);
        for end in removed.iter().filter(|end| end.number > expired_number) {
            self.history
                .record_acknowledgement(end.key, end.attempt, &self.id);
        }
        Some(())
    }
}
