//! The contract of the demo.

use std::sync::Arc;

use rosemaryworks_core::contract::{Contract, Pool, Service};
use rosemaryworks_core::job::Priority;
use rosemaryworks_core::size::Size;

use crate::cluster::deployment::Deployment;

/// Name of the contract.
pub(crate) const NAME: &str = "demo";

/// Key of the contract's callers.
pub(crate) const KEY: &str = "demo-key-0123456789";

/// Returns a contract that includes every service and pool of the deployment.
pub(crate) fn demo(deployment: &Deployment) -> Contract {
    let service = Service {
        rate: 500,
        burst: 500,
        concurrency: 100,
        queue: 200,
    };
    let pool = |accelerators| Pool {
        size: Size::new(200_000, 500_000).accelerators(accelerators),
        queue: 10_000,
    };
    let pools = deployment.pools.iter();
    let pools = pools.map(|group| {
        (
            Arc::from(group.name),
            pool(64 * u64::from(group.accelerators > 0)),
        )
    });
    let services = deployment.services.iter();
    Contract {
        name: NAME.into(),
        weight: 1,
        keys: vec![KEY.into()],
        services: services
            .map(|group| (Arc::from(group.name), service))
            .collect(),
        pools: pools.collect(),
        max_priority: Priority::Urgent,
        urgent_percent: 50,
    }
}
