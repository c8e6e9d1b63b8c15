//! The configuration: routes to queues, and pools of workers.

use std::collections::BTreeSet;
use std::sync::Arc;

use rosemaryworks_node::clock;
use rosemaryworks_workflow::{Address, Queue, Shard};
use serde::{Deserialize, Serialize};

use crate::access::Directory;
use crate::clients::Terms;

/// A route from a path to a queue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Host name in lower case.
    pub host: Arc<str>,
    /// Prefix of the path.
    pub prefix: Arc<str>,
    /// Queue.
    pub queue: Arc<Queue>,
    /// Whether calls need no key.
    pub anonymous: bool,
}

impl Route {
    /// Returns the digest of the host and the prefix, which stays the same when the route is renamed or
    /// sent to another pool.
    #[must_use]
    pub fn address(&self) -> Address {
        let host = self.host.to_ascii_lowercase();
        // 0 stands for an unknown address.
        Address(rosemaryworks_core::partition::hash(&[&host, &self.prefix]).max(1))
    }
}

/// A version of the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// Version number, which increases with each revision.
    pub version: u64,
    /// Routes, longest prefix first.
    pub routes: Vec<Route>,
    /// Pools of workers.
    pub pools: BTreeSet<Arc<str>>,
    /// Teams and their keys; `None` if the deployment has no teams.
    pub teams: Option<Directory>,
    /// Limits for requests of callers.
    #[serde(default)]
    pub terms: Terms,
}

impl Config {
    /// Returns the route with the longest prefix of `path`, and the rest of the path.
    #[must_use]
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Route, &'a str)> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter_map(|route| Some((route, path.strip_prefix(&*route.prefix)?)))
            .max_by_key(|(route, _)| route.prefix.len())
    }

    /// Returns the route with the same host and prefix as another one.
    pub(crate) fn same_address(&self, other: &Route) -> Option<&Route> {
        let is_same = |route: &&Route| {
            route.prefix == other.prefix && route.host.eq_ignore_ascii_case(&other.host)
        };
        self.routes.iter().find(is_same)
    }

    /// Returns the shards of all pools in the configuration, out of `count` shards.
    #[must_use]
    pub fn shards(&self, count: u32) -> BTreeSet<u32> {
        self.named_pools().map(|pool| shard(pool, count)).collect()
    }

    /// Returns whether the configuration names a pool.
    pub(crate) fn has_pool(&self, pool: &str) -> bool {
        self.named_pools().any(|named| **named == *pool)
    }

    /// Passes its queues and the teams to the shard `number` out of `count` shards.
    pub(crate) fn apply_to(&self, state: &mut Shard, number: u32, count: u32) {
        let is_own = |route: &&Route| shard(&route.queue.pool, count) == number;
        let own = || self.routes.iter().filter(is_own);
        state.set_queues(own().map(|route| (*route.queue).clone()));
        state.set_addresses(own().map(|route| (route.address(), route.queue.name.clone())));
        state.set_teams(self.teams.as_ref().map(Directory::teams).cloned());
        state.set_members(number, self.version, self.shards(count), clock::now().0);
    }

    fn named_pools(&self) -> impl Iterator<Item = &Arc<str>> {
        let pools = self.routes.iter().map(|route| &route.queue.pool);
        pools.chain(&self.pools)
    }
}

/// Returns whether two configurations name the same pools.
pub(crate) fn have_same_pools(a: Option<&Config>, b: Option<&Config>) -> bool {
    let pools = |config: &Config| {
        config
            .named_pools()
            .cloned()
            .collect::<BTreeSet<Arc<str>>>()
    };
    a.map(pools) == b.map(pools)
}

/// Returns the shard of a pool out of `count` shards.
#[must_use]
pub fn shard(pool: &str, count: u32) -> u32 {
    let hash = rosemaryworks_core::partition::hash(&[pool]);
    u32::try_from(hash % u64::from(count.max(1))).unwrap_or(0)
}
