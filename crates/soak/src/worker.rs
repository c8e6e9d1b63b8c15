//! Stand-ins for workers: they run simulated tasks under leases and check their own capacity.

mod clock;
mod incarnation;
mod run;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rosemaryworks_core::size::Size;
use rosemaryworks_node::clock::unix_ms;
use rosemaryworks_workflow::{Outcome, Worker as WorkerEntry};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

use crate::history::History;
use crate::late::{self, Late, Lateness};
use crate::layout::{Layout, clock_rate};
use crate::log::Log;
use crate::network;
use crate::permit::Permits;
use crate::protocol::Protocol;
use crate::proxy::{Imposition, Mode, Proxy};
use crate::server::{self, Handler};
use crate::worker::clock::Clock;
pub use crate::worker::incarnation::Incarnation;

/// Capacity of each worker.
const CAPACITY: Size = Size::new(8_000, 16_000);

/// A running incarnation with its background tasks.
struct Active {
    incarnation: Arc<Incarnation>,
    handler: Arc<dyn Handler>,
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
    lease_max_ms: u64,
    services: Services,
    active: Mutex<Option<Active>>,
    /// Number of faults by which some calls are carried out late.
    late_faults: Arc<AtomicU32>,
    rng: Mutex<SmallRng>,
    /// Last time on the clock of the former life.
    last_clock_ms: AtomicU64,
}

/// What all workers share.
pub(crate) struct Services {
    pub(crate) history: Arc<History>,
    pub(crate) permits: Arc<Permits>,
    pub(crate) protocol: Arc<dyn Protocol>,
}

impl Worker {
    pub(crate) async fn start(
        index: usize,
        seed: u64,
        layout: &Layout,
        services: Services,
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
            lease_max_ms: layout.lease_max_ms,
            services,
            active: Mutex::default(),
            late_faults: Arc::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            last_clock_ms: AtomicU64::new(clock::FIRST_MS),
        });
        worker.start_incarnation(listener, clock::FIRST_MS, log);
        worker
    }

    fn active(&self) -> MutexGuard<'_, Option<Active>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn rng(&self) -> MutexGuard<'_, SmallRng> {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start_incarnation(self: &Arc<Self>, listener: TcpListener, clock_ms: u64, log: &Log) {
        let incarnation = Arc::new(Incarnation {
            id: self.id.clone(),
            started_unix_ms: unix_ms(),
            clock: Clock::start(clock_ms, self.clock_rate),
            lease_max_ms: self.lease_max_ms,
            history: self.services.history.clone(),
            state: Mutex::default(),
            run_ended: Notify::new(),
            suspended: watch::Sender::new(false),
            dropped_percent: self.dropped_percent.clone(),
            calls: AtomicU64::new(0),
        });
        incarnation.note(&format!("starts with clock {clock_ms} ms"));
        let handler = self.services.protocol.worker(incarnation.clone());
        let late = Arc::new(Late {
            worker: Arc::downgrade(self),
            life: handler.clone(),
        });
        let server = tokio::spawn(server::serve(listener, late));
        let timer = tokio::spawn(incarnation::run_timer(incarnation.clone()));
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
        let permits = &self.services.permits;
        permits.set_life(self.id.clone(), incarnation.started_unix_ms);
        self.services.protocol.publish_worker(log, &entry);
        *self.active() = Some(Active {
            incarnation,
            handler,
            server,
            timer,
        });
    }

    /// Returns the running incarnation.
    pub(crate) fn incarnation(&self) -> Option<Arc<Incarnation>> {
        let active = self.active();
        active.as_ref().map(|active| active.incarnation.clone())
    }

    /// Returns the running incarnation and the handler of its calls.
    pub(crate) fn current(&self) -> Option<(Arc<Incarnation>, Arc<dyn Handler>)> {
        let active = self.active();
        let active = active.as_ref()?;
        Some((active.incarnation.clone(), active.handler.clone()))
    }

    /// Has some calls carried out late until the returned value is dropped.
    pub(crate) fn delay(&self) -> Lateness {
        Lateness::begin(&self.late_faults)
    }

    /// Returns the delay of the next call, or `None` if it isn't late.
    pub(crate) fn draw_delay(&self) -> Option<Duration> {
        if self.late_faults.load(Ordering::Relaxed) == 0 {
            return None;
        }
        let mut rng = self.rng();
        let is_late = rng.random_range(0..100) < late::LATE_PERCENT;
        is_late.then(|| Duration::from_millis(rng.random_range(late::LATE_MS)))
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
        let runs = active.incarnation.crash();
        active.incarnation.note("crashes");
        let clock_ms = active.incarnation.clock_ms();
        self.last_clock_ms.store(clock_ms, Ordering::Relaxed);
        for key in runs {
            self.services
                .history
                .record_end(key, &self.id, Outcome::Lapsed);
        }
    }

    /// Starts a new incarnation with the same identifier and address.
    ///
    /// # Panics
    ///
    /// Panics if the address can't be bound within five seconds.
    pub(crate) async fn restart(self: &Arc<Self>, log: &Log) {
        if self.active().is_some() {
            return;
        }
        let listener = network::bind(self.address).await;
        let last_ms = self.last_clock_ms.load(Ordering::Relaxed);
        let clock_ms = clock::draw_base(last_ms, &mut self.rng());
        self.start_incarnation(listener, clock_ms, log);
    }
}
