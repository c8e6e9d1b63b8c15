//! What callers, operators and the injector share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use rosemaryworks_core::contract::{Contract, Pool, Service};
use rosemaryworks_core::job::Priority;
use rosemaryworks_core::size::Size;
use rosemaryworks_history::Event;
use rosemaryworks_history::file::Writer;
use rosemaryworks_node::http::{Client, Request};

use crate::cluster::deployment::Deployment;
use crate::cluster::ports::Ports;
use crate::cluster::settings::OPERATOR_KEY;

/// Contract with ample limits.
pub(crate) const LARGE: &str = "large";

/// Contract whose limits are soon reached.
pub(crate) const SMALL: &str = "small";

/// Key of the callers of every contract.
pub(crate) const KEY: &str = "faults-key-0123456789";

/// Shared by all parties of the driver.
#[derive(Debug)]
pub(crate) struct Scene {
    pub(crate) client: Client,
    pub(crate) deployment: Deployment,
    pub(crate) gateways: usize,
    pub(crate) history: Writer,
    pub(crate) ports: Ports,
    /// Whether operators publish without pause.
    pub(crate) race: AtomicBool,
    /// Grows with every cancel wave.
    pub(crate) waves: AtomicU64,
    numbers: AtomicU64,
    stopping: AtomicBool,
}

impl Scene {
    pub(crate) fn new(
        deployment: Deployment,
        ports: Ports,
        client: Client,
        history: Writer,
    ) -> Self {
        Self {
            client,
            gateways: deployment.entries,
            deployment,
            history,
            ports,
            race: AtomicBool::new(false),
            waves: AtomicU64::new(0),
            numbers: AtomicU64::new(1),
            stopping: AtomicBool::new(false),
        }
    }

    pub(crate) fn note(&self, event: Event) {
        self.history.record(event);
    }

    /// Returns a number that is used once.
    pub(crate) fn number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    pub(crate) fn gateway(&self, index: usize) -> Arc<str> {
        format!("gateway-{}", index + 1).into()
    }

    /// Returns a request of a caller of `contract` to a gateway.
    pub(crate) fn call(
        &self,
        gateway: usize,
        contract: &str,
        method: &'static str,
        path: &str,
        timeout: Duration,
    ) -> Request {
        let port = self.ports.gateway(gateway);
        Request::new(method, format!("http://127.0.0.1:{port}{path}"), timeout)
            .header("authorization", &format!("Bearer {KEY}"))
            .header("rosemary-contract", contract)
            .header("content-type", "application/json")
    }

    /// Returns a request of an operator to a gateway.
    pub(crate) fn admin(
        &self,
        gateway: usize,
        method: &'static str,
        path: &str,
        timeout: Duration,
    ) -> Request {
        let port = self.ports.gateway_admin(gateway);
        Request::new(method, format!("http://127.0.0.1:{port}{path}"), timeout)
            .header("authorization", &format!("Bearer {OPERATOR_KEY}"))
    }

    /// Returns a contract with limits on every service and pool. `weight` tells publishes apart.
    pub(crate) fn contract(&self, name: &str, weight: u32) -> Contract {
        let (rate, concurrency) = if name == SMALL { (5, 2) } else { (2_000, 400) };
        let service = Service {
            rate,
            burst: rate,
            concurrency,
            queue: concurrency,
        };
        let pool = |accelerators: u64| Pool {
            size: Size::new(400_000, 2_000_000).accelerators(accelerators),
            queue: 10_000,
        };
        let services = self.deployment.services.iter();
        let pools = self.deployment.pools.iter();
        Contract {
            name: name.into(),
            weight,
            keys: vec![KEY.into()],
            services: services.map(|it| (Arc::from(it.name), service)).collect(),
            pools: pools
                .map(|it| {
                    (
                        Arc::from(it.name),
                        pool(64 * u64::from(it.accelerators > 0)),
                    )
                })
                .collect(),
            max_priority: Priority::Urgent,
            urgent_percent: 50,
        }
    }
}
