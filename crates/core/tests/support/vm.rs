//! A fake worker, and the jobs and contracts of placement tests.

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

/// Returns a contract that may use all of the pool.
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

/// A lease as the fake worker holds it.
#[derive(Clone, Debug)]
pub struct Live {
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
    /// Whether every task that starts here fails.
    pub bad: bool,
    pub epoch: u64,
    pub leases: BTreeMap<Task, Live>,
    pub finished: Vec<Finished>,
}

impl Vm {
    pub fn finish(&mut self, task: &Task, result: Result, now: u64) {
        if let Some(live) = self.leases.remove(task) {
            self.finished.push(Finished {
                task: task.clone(),
                attempt: live.attempt,
                result,
                run_ms: now - live.started,
            });
        }
    }

    pub fn sync(&mut self, acknowledge: &[(Task, Attempt)], epoch: u64, now: u64) -> Report {
        let acknowledged =
            |entry: &Finished| acknowledge.contains(&(entry.task.clone(), entry.attempt));
        self.finished.retain(|entry| !acknowledged(entry));
        let lease = |(task, live): (&Task, &mut Live)| {
            live.expires = now + LEASE_MS;
            live.epoch = epoch;
            Lease {
                task: task.clone(),
                attempt: live.attempt,
                size: live.size,
                used: live.size,
                used_age_ms: 0,
                checkpointed: live.checkpointed,
            }
        };
        Report {
            leases: self.leases.iter_mut().map(lease).collect(),
            finished: self.finished.clone(),
            leaving: false,
        }
    }
}

/// Returns the start of an epoch of the only shard.
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
