//! Contracts that cover a whole deployment.

use std::sync::Arc;

use rosemaryworks_core::contract::{Contract, Pool, Service};
use rosemaryworks_core::job::Priority;
use rosemaryworks_core::size::Size;

use super::deployment::Deployment;

/// Returns a contract with the same limits for every service, and for every pool. Pools with
/// accelerators also allow `accelerators` of them.
pub(crate) fn uniform(
    deployment: &Deployment,
    (name, key): (&str, &str),
    service: Service,
    pool: Pool,
    accelerators: u64,
) -> Contract {
    let services = deployment.services.iter();
    let pools = deployment.pools.iter().map(|group| {
        let accelerators = if group.accelerators > 0 {
            accelerators
        } else {
            0
        };
        let size = Size {
            accelerators,
            ..pool.size
        };
        (Arc::from(group.name), Pool { size, ..pool })
    });
    Contract {
        name: name.into(),
        weight: 1,
        keys: vec![key.into()],
        services: services
            .map(|group| (Arc::from(group.name), service))
            .collect(),
        pools: pools.collect(),
        max_priority: Priority::Urgent,
        urgent_percent: 100,
    }
}
