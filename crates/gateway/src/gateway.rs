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

use crate::answers::Answers;
use crate::bodies::Bodies;
use crate::budget::Budget;
use crate::inflight::{Count, Counted, Flying, InFlight};
use crate::links::Links;
use crate::metrics::Meters;
use crate::settings::Settings;

/// What a gateway is made of.
pub struct Parts {
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
pub struct Gateway(Arc<Shared>);

/// What the clones of a [`Gateway`] share.
pub struct Shared {
    pub(crate) node: Arc<str>,
    pub(crate) cell: Cell,
    pub(crate) contracts: Contracts,
    pub(crate) instances: Arc<dyn Instances>,
    pub(crate) links: Links,
    pub(crate) runtime: tokio::runtime::Handle,
    pub(crate) answers: Answers,
    pub(crate) bodies: Bodies,
    pub(crate) budget: Budget,
    pub(crate) meters: Meters,
    /// Number of the next ask. Starts with the incarnation: an owner may still hold asks of the
    /// gateway's previous incarnation, and numbers used twice would be taken for the same ask.
    number: AtomicU64,
    draining: AtomicBool,
    stopping: watch::Sender<bool>,
    callers: Count,
    requests: InFlight,
    reports: Count,
}

impl std::ops::Deref for Gateway {
    type Target = Shared;

    fn deref(&self) -> &Shared {
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
    pub fn new(settings: &Settings, parts: Parts) -> Self {
        Self(Arc::new(Shared {
            node: settings.node.clone(),
            cell: settings.cell.clone(),
            contracts: parts.contracts,
            instances: parts.instances,
            links: parts.links,
            runtime: parts.runtime,
            answers: Answers::new(settings.answers_max_bytes),
            bodies: Bodies::new(settings.bodies_max_bytes),
            budget: Budget::new(settings.retry_percent),
            meters: Meters::new(&parts.metrics),
            number: AtomicU64::new(clock::incarnation()),
            draining: AtomicBool::new(false),
            stopping: watch::Sender::new(false),
            callers: Count::default(),
            requests: InFlight::default(),
            reports: Count::default(),
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
    pub(crate) async fn stopped(&self) {
        // The sender lives as long as the gateway.
        let _ = self
            .stopping
            .subscribe()
            .wait_for(|stopping| *stopping)
            .await;
    }

    /// Tells whether the contracts in force are known.
    #[must_use]
    pub fn contracts_known(&self) -> bool {
        self.contracts.progress().known
    }

    /// Returns the number of callers who wait for an outcome.
    #[must_use]
    pub fn callers(&self) -> usize {
        self.callers.get()
    }

    /// Returns the number of requests in flight. A request stays in flight until its instance has
    /// answered, even if its caller was told an outcome.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.get()
    }

    /// Returns the number of requests in flight whose deadlines have not passed.
    #[must_use]
    pub fn requests_in_time(&self) -> usize {
        self.requests.in_time(clock::now())
    }

    /// Returns the number of ended grants that no owner has acknowledged.
    #[must_use]
    pub fn reports(&self) -> usize {
        self.reports.get()
    }

    /// Copies the totals of the links into the metrics.
    pub fn meter_links(&self) {
        self.meters.links();
    }

    /// Returns a new key for an ask.
    pub(crate) fn key(&self) -> Key {
        Key {
            gateway: self.node.clone(),
            number: self.number.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Counts a caller as waiting until the returned guard is dropped.
    pub(crate) fn caller(&self) -> Counted {
        self.callers.enter()
    }

    /// Counts a caller like [`Gateway::caller`] unless requests are refused, which callers who go
    /// on asking could otherwise keep up for ever.
    pub(crate) fn caller_unless_stopping(&self) -> Option<Counted> {
        // Counted before the check, so that a stop that begins in between waits for the caller.
        let caller = self.caller();
        (!self.is_stopping()).then_some(caller)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn request(&self, deadline: Instant) -> Flying {
        self.requests.enter(deadline)
    }

    /// Counts a report as not acknowledged until the returned guard is dropped.
    pub(crate) fn report(&self) -> Counted {
        self.reports.enter()
    }
}
