//! The contract of the demo.

use rosemaryworks_core::contract::{Contract, Pool, Service};
use rosemaryworks_core::size::Size;

use crate::cluster::contract::uniform;
use crate::cluster::deployment::Deployment;

/// Name of the contract.
pub(crate) const NAME: &str = "demo";

/// API key of the contract.
pub(crate) const KEY: &str = "demo-key-0123456789";

const ACCELERATORS: u64 = 64;

const SERVICE: Service = Service {
    rate: 500,
    burst: 500,
    concurrency: 100,
    queue: 200,
};

const POOL: Pool = Pool {
    size: Size::new(200_000, 500_000),
    queue: 10_000,
};

/// Returns a contract with limits for every service and pool of the deployment.
pub(crate) fn demo(deployment: &Deployment) -> Contract {
    uniform(deployment, (NAME, KEY), SERVICE, POOL, ACCELERATORS)
}
