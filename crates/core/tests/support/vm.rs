//! Fake worker, and fixtures of placement tests.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryworks_core::contract::{Contract, Pool};
use rosemaryworks_core::job::{Kind, Priority, Spec, Task};
use rosemaryworks_core::partition::Map;
use rosemaryworks_core::placement::{Attempt, Finished, Lease, Report, Result, Start};
use rosemaryworks_core::shard;
use rosemaryworks_core::size::Size;
use rosemaryworks_core::target::{State, Worker};
use rosemaryworks_core::timing::LEASE_MS;

/// Returns a batch job of one task on one core that runs for 1 s.
pub fn job(id: &str) -> Spec {
    Spec {
        id: id.into(),
        kind: Kind::Batch,
        pool: "cpu".into(),
        tasks: 1,
        size: Size::new(1_000, 1_000),
        run_ms: 1_000,
        priority: Priority::Normal,
        deadline_ms: None,
        restart: true,
        work: None,
        payload: None,
    }
}

/// Returns a contract whose limits exceed the pool.
pub fn contract(name: &str) -> Contract {
    Contract {
        name: name.into(),
        weight: 1,
        keys: Vec::new(),
        services: BTreeMap::new(),
        pools: BTreeMap::from([(
            "cpu".into(),
            Pool {
                size: Size::new(1_000_000, 1_000_000),
                queue: 100_000,
            },
        )]),
        max_priority: Priority::Urgent,
        urgent_percent: 100,
    }
}

/// State of a lease at the fake worker.
#[derive(Clone, Debug)]
pub struct RunningLease {
    pub attempt: Attempt,
    pub size: Size,
    pub epoch: u64,
    pub started: u64,
    pub expires: u64,
    pub checkpointed: bool,
}

/// A fake worker.
#[derive(Clone, Debug)]
pub struct Vm {
    pub target: Worker,
    pub state: State,
    pub listed: bool,
    /// Whether calls reach the VM.
    pub reachable: bool,
    /// Whether every task on the VM fails.
    pub fails_tasks: bool,
    pub epoch: u64,
    pub leases: BTreeMap<Task, RunningLease>,
    pub finished: Vec<Finished>,
}

impl Vm {
    pub fn finish(&mut self, task: &Task, result: Result, now: u64) {
        if let Some(lease) = self.leases.remove(task) {
            self.finished.push(Finished {
                task: task.clone(),
                attempt: lease.attempt,
                result,
                run_ms: now - lease.started,
            });
        }
    }

    pub fn sync(&mut self, acknowledge: &[(Task, Attempt)], epoch: u64, now: u64) -> Report {
        let acknowledged =
            |entry: &Finished| acknowledge.contains(&(entry.task.clone(), entry.attempt));
        self.finished.retain(|entry| !acknowledged(entry));
        let renew = |(task, lease): (&Task, &mut RunningLease)| {
            lease.expires = now + LEASE_MS;
            lease.epoch = epoch;
            Lease {
                task: task.clone(),
                attempt: lease.attempt,
                size: lease.size,
                used: lease.size,
                used_age_ms: 0,
                checkpointed: lease.checkpointed,
            }
        };
        Report {
            leases: self.leases.iter_mut().map(renew).collect(),
            finished: self.finished.clone(),
            leaving: false,
        }
    }
}

/// Returns the parameters of a kernel of the only shard.
pub fn start(clean: bool, policy: &str, seed: u64) -> Start {
    let mut map = Map::default();
    map.pools.insert("cpu".into(), 1);
    Start {
        shard: shard::Id::pool("cpu", 0),
        partition: Arc::new(map),
        clean,
        policy: policy.into(),
        seed,
    }
}
