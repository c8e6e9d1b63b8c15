//! The two deployments with the sizes of docs/design.md, section 1.

/// Workers of one pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Pool {
    pub(crate) name: &'static str,
    pub(crate) shards: u32,
    pub(crate) workers: usize,
    pub(crate) per_rack: usize,
    pub(crate) cores: u64,
    pub(crate) memory_gb: u64,
    pub(crate) accelerators: u64,
}

/// Instances of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Service {
    pub(crate) name: &'static str,
    pub(crate) shards: u32,
    pub(crate) instances: usize,
}

/// A deployment of one cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) zones: &'static [&'static str],
    pub(crate) pools: Vec<Pool>,
    pub(crate) services: Vec<Service>,
    /// Entry VMs; each runs one gateway and one scheduler.
    pub(crate) entry_vms: usize,
}

impl Deployment {
    /// Returns the deployment `name`.
    pub(crate) fn find(name: &str) -> Option<Self> {
        [avvolgi(), dala()]
            .into_iter()
            .find(|deployment| deployment.name == name)
    }

    /// Returns the availability zone of member `index` of a group that is spread evenly over all
    /// zones.
    pub(crate) fn zone(&self, index: usize) -> &'static str {
        self.zones[index % self.zones.len()]
    }
}

/// Returns the deployment of Cartoleria Avvolgi Franchising.
pub(crate) fn avvolgi() -> Deployment {
    let cpu = Pool {
        name: "cpu",
        shards: 2,
        workers: 35,
        per_rack: 5,
        cores: 16,
        memory_gb: 32,
        accelerators: 0,
    };
    let gpu = Pool {
        name: "gpu",
        shards: 1,
        workers: 13,
        per_rack: 3,
        cores: 64,
        memory_gb: 256,
        accelerators: 8,
    };
    Deployment {
        name: "avvolgi",
        zones: &["milano", "torino", "bologna"],
        pools: vec![cpu, gpu],
        services: vec![
            Service {
                name: "shop-operations",
                shards: 3,
                instances: 35,
            },
            Service {
                name: "print-design",
                shards: 2,
                instances: 13,
            },
        ],
        entry_vms: 6,
    }
}

/// Returns the deployment of Dala Greenhouse Heat Hire.
pub(crate) fn dala() -> Deployment {
    let cpu = Pool {
        name: "cpu",
        shards: 2,
        workers: 35,
        per_rack: 4,
        cores: 64,
        memory_gb: 128,
        accelerators: 0,
    };
    let gpu = Pool {
        name: "gpu",
        shards: 1,
        workers: 13,
        per_rack: 3,
        cores: 128,
        memory_gb: 256,
        accelerators: 8,
    };
    Deployment {
        name: "dala",
        zones: &["almaty-1", "almaty-2", "almaty-3", "almaty-4"],
        pools: vec![cpu, gpu],
        services: vec![
            Service {
                name: "booking",
                shards: 3,
                instances: 35,
            },
            Service {
                name: "planning",
                shards: 2,
                instances: 13,
            },
        ],
        entry_vms: 6,
    }
}
