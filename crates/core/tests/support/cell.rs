//! Fixtures of routing tests: a cell with one service of one shard.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryworks_core::contract::{Contract, Service};
use rosemaryworks_core::job::Priority;
use rosemaryworks_core::outcome::Request;
use rosemaryworks_core::partition::Map;
use rosemaryworks_core::routing::{Event, Start};
use rosemaryworks_core::shard::Id;
use rosemaryworks_core::target::Instance;

pub(crate) fn start(clean: bool, gateways: &[&str]) -> Start {
    let mut partition = Map::default();
    partition.services.insert("s".into(), 1);
    Start {
        shard: Id::service("s", 0),
        partition: Arc::new(partition),
        gateways: gateways.iter().map(|name| (*name).into()).collect(),
        remembered: Vec::new(),
        unrecorded: false,
        clean,
    }
}

pub(crate) fn contract(name: &str, limits: Service) -> Event {
    Event::Contract(Arc::new(Contract {
        name: name.into(),
        weight: 1,
        keys: Vec::new(),
        services: BTreeMap::from([("s".into(), limits)]),
        pools: BTreeMap::new(),
        max_priority: Priority::Normal,
        urgent_percent: 0,
    }))
}

/// Returns an instance whose zone is the first character of its name.
pub(crate) fn instance(name: &str, slots: u32) -> Instance {
    Instance {
        name: name.into(),
        service: "s".into(),
        zone: name[..1].into(),
        address: "127.0.0.1:1".parse().unwrap(),
        slots,
        connections: 64,
    }
}

pub(crate) fn request(contract: &str, id: &str) -> Request {
    Request {
        contract: contract.into(),
        id: id.into(),
    }
}
