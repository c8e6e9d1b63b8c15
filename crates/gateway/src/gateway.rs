//! State shared by all handlers and requests.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use rosemaryworks_admin::Contracts;
use rosemaryworks_core::routing::Key;
use rosemaryworks_core::time::Instant;
use rosemaryworks_node::clock;
use rosemaryworks_node::metrics::Metrics;
use rosemaryworks_node::settings::Cell;
use rosemaryworks_platform::Instances;
use tokio::sync::watch;

use crate::body_memory::Limiter;
use crate::inflight::{Counter, Guard, InFlight, RequestGuard};
use crate::links::Links;
use crate::metrics::Meters;
use crate::response_cache::Cache;
use crate::retry_budget::Budget;
use crate::settings::Settings;

/// Dependencies of a gateway.
pub struct Dependencies {
    /// Contracts in force.
    pub contracts: Contracts,
    /// Service instances.
    pub instances: Arc<dyn Instances>,
    /// Links to the schedulers.
    pub links: Links,
    /// Registry for the gateway's metrics.
    pub metrics: Metrics,
    /// Runtime on which requests are executed.
    pub runtime: tokio::runtime::Handle,
}

/// The gateway. Clones share the same state.
#[derive(Clone)]
pub struct Gateway(Arc<Inner>);

/// State shared by the clones of a [`Gateway`].
pub struct Inner {
    pub(crate) node: Arc<str>,
    pub(crate) cell: Cell,
    pub(crate) contracts: Contracts,
    pub(crate) instances: Arc<dyn Instances>,
    pub(crate) links: Links,
    pub(crate) runtime: tokio::runtime::Handle,
    pub(crate) response_cache: Cache,
    pub(crate) body_memory: Limiter,
    pub(crate) retry_budget: Budget,
    pub(crate) meters: Meters,
    /// Number of the next slot request. Starts at the incarnation, which is the start time in
    /// microseconds: an owner may still hold slot requests of the gateway's previous incarnation,
    /// and would take a reused number for the same request.
    next_request_number: AtomicU64,
    draining: AtomicBool,
    stopping: watch::Sender<bool>,
    callers: Counter,
    requests: InFlight,
    reports: Counter,
}

impl std::ops::Deref for Gateway {
    type Target = Inner;

    fn deref(&self) -> &Inner {
        &self.0
    }
}

impl fmt::Debug for Gateway {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gateway")
            .field("node", &self.node)
            .finish_non_exhaustive()
    }
}

impl Gateway {
    /// Creates a gateway.
    #[must_use]
    pub fn new(settings: &Settings, dependencies: Dependencies) -> Self {
        Self(Arc::new(Inner {
            node: settings.node.clone(),
            cell: settings.cell.clone(),
            contracts: dependencies.contracts,
            instances: dependencies.instances,
            links: dependencies.links,
            runtime: dependencies.runtime,
            response_cache: Cache::new(settings.answers_max_bytes),
            body_memory: Limiter::new(settings.bodies_max_bytes),
            retry_budget: Budget::new(settings.retry_percent),
            meters: Meters::new(&dependencies.metrics),
            next_request_number: AtomicU64::new(clock::incarnation()),
            draining: AtomicBool::new(false),
            stopping: watch::Sender::new(false),
            callers: Counter::default(),
            requests: InFlight::default(),
            reports: Counter::default(),
        }))
    }

    /// Returns the name of the gateway.
    #[must_use]
    pub fn node(&self) -> &Arc<str> {
        &self.node
    }

    /// From now on closes each connection after its next response, so that callers move to other
    /// gateways and no request arrives on a connection that is being closed.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether connections are closed after their next response.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Rejects new requests from now on.
    pub fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Returns whether new requests are rejected.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Waits until new requests are rejected.
    pub(crate) async fn wait_until_stopping(&self) {
        // Can't fail: the gateway holds the sender.
        let _ = self
            .stopping
            .subscribe()
            .wait_for(|stopping| *stopping)
            .await;
    }

    /// Returns whether the contracts in force are loaded.
    #[must_use]
    pub fn are_contracts_loaded(&self) -> bool {
        self.contracts.progress().known
    }

    /// Returns the number of callers that wait for an outcome.
    #[must_use]
    pub fn waiting_callers(&self) -> usize {
        self.callers.get()
    }

    /// Returns the number of requests in flight. A request stays in flight until its instance has
    /// responded, even if its caller already has an outcome.
    #[must_use]
    pub fn requests_in_flight(&self) -> usize {
        self.requests.get()
    }

    /// Returns the number of requests in flight whose deadlines have not passed.
    #[must_use]
    pub fn requests_before_deadline(&self) -> usize {
        self.requests.before_deadline(clock::now())
    }

    /// Returns the number of finished grants whose report no owner has acknowledged.
    #[must_use]
    pub fn unacknowledged_reports(&self) -> usize {
        self.reports.get()
    }

    /// Copies the byte totals of the links into the metrics.
    pub fn update_link_metrics(&self) {
        self.meters.update_link_bytes();
    }

    /// Returns the key of the next slot request.
    pub(crate) fn next_key(&self) -> Key {
        Key {
            gateway: self.node.clone(),
            number: self.next_request_number.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Counts a caller as waiting until the returned guard is dropped.
    pub(crate) fn count_caller(&self) -> Guard {
        self.callers.enter()
    }

    /// Counts a caller like [`Gateway::count_caller`] unless new requests are rejected. Otherwise
    /// callers that keep polling could delay a stop without end.
    pub(crate) fn count_caller_unless_stopping(&self) -> Option<Guard> {
        // Counted before the check, so that a stop that begins in between waits for this caller.
        let guard = self.count_caller();
        (!self.is_stopping()).then_some(guard)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn count_request(&self, deadline: Instant) -> RequestGuard {
        self.requests.enter(deadline)
    }

    /// Counts a report as not acknowledged until the returned guard is dropped.
    pub(crate) fn count_report(&self) -> Guard {
        self.reports.enter()
    }
}
