//! Stand-ins for workers.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rosemaryworks_core::size::Size;
use rosemaryworks_node::clock;
use rosemaryworks_workflow::{
    Finished, Key, Order, Outcome, Refusal, Report, Running, StartOutcome, Stop, Worker as Listed,
};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::history::History;
use crate::log::{Log, SPREAD};
use crate::protocol::Protocol;
use crate::proxy::Proxy;
use crate::server;

/// Pool of every worker.
pub(crate) const POOL: &str = "pool";

/// Size of every worker.
const CAPACITY: Size = Size::new(8_000, 16_000);

/// Longest lease in milliseconds.
const HOLD_MAX_MS: u64 = 10_000;

/// Time that a stop takes in milliseconds.
const STOP_MS: u64 = 150;

/// Rate of the clocks of workers: the slowest that is allowed.
const CLOCK_RATE: f64 = 0.98;

struct Run {
    attempt: u32,
    millicores: u64,
    ends_ms: u64,
    how: Outcome,
}

#[derive(Default)]
struct State {
    token: u64,
    lease_ms: u64,
    runs: BTreeMap<Key, Run>,
    /// Highest attempt of each task that was started or stopped here.
    attempts: BTreeMap<Key, u32>,
    ends: Vec<Finished>,
    numbered: u64,
}

impl State {
    /// Takes a token. Returns whether it counts.
    fn admits(&mut self, token: u64) -> bool {
        let counts = token >= self.token;
        self.token = self.token.max(token);
        counts
    }

    fn extend(&mut self, deadline_ms: u64, now_ms: u64) {
        self.lease_ms = self.lease_ms.max(deadline_ms.min(now_ms + HOLD_MAX_MS));
    }
}

/// One life of a worker.
pub struct Incarnation {
    id: Arc<str>,
    born: u64,
    since: Instant,
    history: Arc<History>,
    state: Mutex<State>,
    ended: Notify,
    /// Share of the answers that get lost, in percent.
    loses_percent: Arc<AtomicU32>,
    calls: AtomicU64,
}

struct Alive {
    life: Arc<Incarnation>,
    served: JoinHandle<()>,
    ticked: JoinHandle<()>,
}

/// A worker through its lives.
pub(crate) struct Worker {
    pub(crate) proxy: Proxy,
    pub(crate) loses_percent: Arc<AtomicU32>,
    id: Arc<str>,
    address: SocketAddr,
    history: Arc<History>,
    protocol: Arc<dyn Protocol>,
    alive: Mutex<Option<Alive>>,
}

impl Worker {
    pub(crate) async fn start(
        index: usize,
        history: Arc<History>,
        protocol: Arc<dyn Protocol>,
        log: &Log,
    ) -> Arc<Self> {
        let (listener, address) = server::bind().await;
        let worker = Arc::new(Self {
            id: format!("i-{index}").into(),
            proxy: Proxy::start(address).await,
            loses_percent: Arc::default(),
            address,
            history,
            protocol,
            alive: Mutex::default(),
        });
        worker.begin(listener, log);
        worker
    }

    fn alive(&self) -> MutexGuard<'_, Option<Alive>> {
        self.alive.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin(&self, listener: TcpListener, log: &Log) {
        let life = Arc::new(Incarnation {
            id: self.id.clone(),
            born: clock::unix_ms(),
            since: Instant::now(),
            history: self.history.clone(),
            state: Mutex::default(),
            ended: Notify::new(),
            loses_percent: self.loses_percent.clone(),
            calls: AtomicU64::new(0),
        });
        let handler = self.protocol.worker(life.clone());
        let served = tokio::spawn(server::serve(listener, handler));
        let ticked = tokio::spawn(tick(life.clone()));
        let listed = Listed {
            address: self.proxy.address,
            incarnation: life.born,
            capacity: CAPACITY,
            draining: false,
            id: self.id.clone(),
            labels: vec!["a".into(), "r1".into()],
            pool: POOL.into(),
            rack: "r1".into(),
            remaining_ms: None,
        };
        self.protocol.publish_worker(log, &listed);
        *self.alive() = Some(Alive {
            life,
            served,
            ticked,
        });
    }

    /// Ends the life at once: nothing listens any more.
    pub(crate) fn crash(&self) {
        let Some(alive) = self.alive().take() else {
            return;
        };
        alive.served.abort();
        alive.ticked.abort();
        let runs = std::mem::take(&mut alive.life.state().runs);
        for key in runs.into_keys() {
            self.history.ended(key, &self.id, Outcome::Lapsed);
        }
    }

    /// Begins a new life under the same name and address.
    ///
    /// # Panics
    ///
    /// Panics if the address can't be used again within five seconds.
    pub(crate) async fn revive(&self, log: &Log) {
        if self.alive().is_some() {
            return;
        }
        for _ in 0..100 {
            if let Ok(listener) = TcpListener::bind(self.address).await {
                self.begin(listener, log);
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("{} can't listen on {} again", self.id, self.address);
    }
}

async fn tick(life: Arc<Incarnation>) {
    loop {
        tokio::time::sleep(Duration::from_millis(10)).await;
        life.end_due();
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
        1_000 + (self.since.elapsed().as_millis() as f64 * CLOCK_RATE) as u64
    }

    /// Tells whether the answer to the next call gets lost.
    pub fn drops_response(&self) -> bool {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        call * SPREAD % 100 < u64::from(self.loses_percent.load(Ordering::Relaxed))
    }

    /// Ends what has completed, was stopped, or whose lease lapsed.
    fn end_due(&self) {
        let now_ms = self.clock_ms();
        let mut state = self.state();
        let lapsed = now_ms >= state.lease_ms;
        let is_due = |run: &Run| lapsed || now_ms >= run.ends_ms;
        let due = state.runs.iter().filter(|(_, run)| is_due(run));
        let due: Vec<Key> = due.map(|(key, _)| *key).collect();
        for key in &due {
            let Some(run) = state.runs.remove(key) else {
                continue;
            };
            let how = match now_ms >= run.ends_ms {
                true => run.how,
                false => Outcome::Lapsed,
            };
            state.numbered += 1;
            let end = Finished {
                number: state.numbered,
                key: *key,
                attempt: run.attempt,
                how,
                checkpoint: None,
            };
            state.ends.push(end);
            self.history.ended(*key, &self.id, how);
        }
        drop(state);
        if !due.is_empty() {
            self.ended.notify_waiters();
        }
    }

    /// Starts a run. Its text tells its time, its size and how often runs of it fail.
    pub fn start(&self, order: &Order) -> StartOutcome {
        let clock_ms = self.clock_ms();
        let mut state = self.state();
        if !state.admits(order.token) {
            return StartOutcome::Refused(Refusal::Fenced);
        }
        if order.deadline_ms < clock_ms {
            return StartOutcome::Refused(Refusal::Late);
        }
        state.extend(order.deadline_ms, clock_ms);
        let there = state.runs.get(&order.key).map(|run| run.attempt);
        if there == Some(order.attempt) {
            return StartOutcome::Accepted { clock_ms };
        }
        let last = state.attempts.get(&order.key).copied().unwrap_or(0);
        if there.is_some() || order.attempt <= last {
            return StartOutcome::Refused(Refusal::Old);
        }
        let millicores = field(&order.text, "cpu=");
        let used: u64 = state.runs.values().map(|run| run.millicores).sum();
        if used + millicores > CAPACITY.millicores {
            self.overfilled(&state, order, millicores);
        }
        let fails = draw(order.key, order.attempt) < field(&order.text, "fails=");
        let run = Run {
            attempt: order.attempt,
            millicores,
            ends_ms: clock_ms + field(&order.text, "ms="),
            how: if fails {
                Outcome::Failed
            } else {
                Outcome::Done
            },
        };
        state.runs.insert(order.key, run);
        state.attempts.insert(order.key, order.attempt);
        drop(state);
        self.history.started(order.key, &self.id);
        StartOutcome::Accepted { clock_ms }
    }

    fn overfilled(&self, state: &State, order: &Order, millicores: u64) {
        let now_ms = self.clock_ms();
        let held = |(key, run): (&Key, &Run)| {
            let left_ms = run.ends_ms.saturating_sub(now_ms);
            format!(
                "{key}#{} of {} {:?} in {left_ms} ms",
                run.attempt, run.millicores, run.how
            )
        };
        let held: Vec<String> = state.runs.iter().map(held).collect();
        self.history.violate(format!(
            "{} gets {}#{} of {millicores} beyond its size: {held:?}",
            self.id, order.key, order.attempt
        ));
    }

    /// Stops a run. Returns whether the order's token counts.
    pub fn stop(&self, stop: &Stop) -> bool {
        let now_ms = self.clock_ms();
        let mut state = self.state();
        if !state.admits(stop.token) {
            return false;
        }
        let last = state.attempts.entry(stop.key).or_default();
        *last = stop.attempt.max(*last);
        let run = state.runs.get_mut(&stop.key);
        if let Some(run) = run.filter(|run| run.attempt == stop.attempt) {
            run.ends_ms = run.ends_ms.min(now_ms + STOP_MS);
            run.how = Outcome::Stopped;
        }
        true
    }

    /// Renews the lease and reports, as soon as there is an end or after `wait`. None if the token
    /// doesn't count.
    pub async fn poll(
        &self,
        token: u64,
        deadline_ms: Option<u64>,
        acknowledged: u64,
        wait: Duration,
    ) -> Option<Report> {
        self.renew(token, deadline_ms, acknowledged)?;
        let ended = self.ended.notified();
        if self.state().ends.is_empty() {
            // Without an end the report tells what runs.
            let _ = tokio::time::timeout(wait, ended).await;
        }
        let clock_ms = self.clock_ms();
        let state = self.state();
        let running = state.runs.iter().map(|(key, run)| Running {
            key: *key,
            attempt: run.attempt,
            checkpoint: None,
            percent: (clock_ms % 100) as u32,
            metric: 0.0,
        });
        Some(Report {
            incarnation: self.born,
            clock_ms,
            finished: state.ends.clone(),
            running: running.collect(),
        })
    }

    fn renew(&self, token: u64, deadline_ms: Option<u64>, acknowledged: u64) -> Option<()> {
        let now_ms = self.clock_ms();
        let mut state = self.state();
        if !state.admits(token) {
            return None;
        }
        if let Some(deadline_ms) = deadline_ms {
            state.extend(deadline_ms, now_ms);
        }
        let ends = std::mem::take(&mut state.ends);
        let (forgotten, kept): (Vec<_>, Vec<_>) =
            ends.into_iter().partition(|end| end.number <= acknowledged);
        state.ends = kept;
        drop(state);
        for end in forgotten {
            self.history.noted(end.key, &self.id);
        }
        Some(())
    }
}

fn field(text: &str, name: &str) -> u64 {
    let part = text.split(' ').find_map(|part| part.strip_prefix(name));
    part.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Returns a number from 0 to 99 that follows from a task and its attempt.
fn draw(key: Key, attempt: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key, attempt).hash(&mut hasher);
    hasher.finish() % 100
}
