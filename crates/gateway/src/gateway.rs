//! State that all handlers and requests share.

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

/// What a gateway is made of.
pub struct Dependencies {
    /// Contracts in force.
    pub contracts: Contracts,
    /// Service instances.
    pub instances: Arc<dyn Instances>,
    /// Links to the schedulers.
    pub links: Links,
    /// Registry for the gateway's metrics.
    pub metrics: Metrics,
    /// Runtime on which requests are carried out.
    pub runtime: tokio::runtime::Handle,
}

/// The gateway. Clones share the same state.
#[derive(Clone)]
pub struct Gateway(Arc<Inner>);

/// What the clones of a [`Gateway`] share.
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
    /// Number of the next ask. Starts with the incarnation: an owner may still hold asks of the
    /// gateway's previous incarnation, and numbers used twice would be taken for the same ask.
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

    /// Closes each connection after the next answer from now on, so that callers move to other
    /// gateways and no request arrives on a connection that is being closed.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Tells whether connections are closed after their next answer.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Refuses requests from now on.
    pub fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Tells whether requests are refused.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Waits until requests are refused.
    pub(crate) async fn wait_until_stopping(&self) {
        // The sender lives as long as the gateway.
        let _ = self
            .stopping
            .subscribe()
            .wait_for(|stopping| *stopping)
            .await;
    }

    /// Tells whether the contracts in force are known.
    #[must_use]
    pub fn are_contracts_loaded(&self) -> bool {
        self.contracts.progress().known
    }

    /// Returns the number of callers who wait for an outcome.
    #[must_use]
    pub fn waiting_callers(&self) -> usize {
        self.callers.get()
    }

    /// Returns the number of requests in flight. A request stays in flight until its instance has
    /// answered, even if its caller was told an outcome.
    #[must_use]
    pub fn requests_in_flight(&self) -> usize {
        self.requests.get()
    }

    /// Returns the number of requests in flight whose deadlines have not passed.
    #[must_use]
    pub fn requests_before_deadline(&self) -> usize {
        self.requests.before_deadline(clock::now())
    }

    /// Returns the number of ended grants that no owner has acknowledged.
    #[must_use]
    pub fn unacknowledged_reports(&self) -> usize {
        self.reports.get()
    }

    /// Copies the totals of the links into the metrics.
    pub fn update_link_metrics(&self) {
        self.meters.update_link_bytes();
    }

    /// Returns a new key for an ask.
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

    /// Counts a caller like [`Gateway::caller`] unless requests are refused, which callers who go
    /// on asking could otherwise keep up for ever.
    pub(crate) fn count_caller_unless_stopping(&self) -> Option<Guard> {
        // Counted before the check, so that a stop that begins in between waits for the caller.
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
