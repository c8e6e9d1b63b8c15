//! Test cell: schedulers in one process, each on its own runtime, and one gateway.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rosemaryworks_core::contract::{Contract, Pool, Revision, Service};
use rosemaryworks_core::job::{Id as JobId, Kind, Priority, Spec, Status};
use rosemaryworks_core::outcome::{Finish, Request};
use rosemaryworks_core::partition::Map;
use rosemaryworks_core::record::Config;
use rosemaryworks_core::routing::{Key, SlotRequest};
use rosemaryworks_core::shard::Id;
use rosemaryworks_core::size::Size;
use rosemaryworks_node::settings::{Cell as CellSettings, Scheduler as Entry};
use rosemaryworks_node::status::Status as NodeStatus;
use rosemaryworks_platform::log::CONTRACTS;
use rosemaryworks_scheduler::{Platform, Scheduler, Settings};
use rosemaryworks_standin::port;
use rosemaryworks_wire::link::{Client, Handler, Peer, Reply};
use rosemaryworks_wire::{Hello, Message, Role, Submission, Verdict, View};
use tokio::runtime::{Builder, Runtime};

use crate::log::MemoryLog;
use crate::targets::Targets;

const CALL_TIMEOUT: Duration = Duration::from_secs(15);

pub(crate) const SHARDS_ONLY: Message = Message::Inspect {
    view: View::Shards,
    after: None,
};

pub(crate) struct Process {
    runtime: Runtime,
    scheduler: Option<Scheduler>,
    /// The process's access to the log.
    pub(crate) log: MemoryLog,
    pub(crate) status: NodeStatus,
}

/// Schedulers by name, the platform and a gateway that holds no grants.
pub(crate) struct Cell {
    pub(crate) log: MemoryLog,
    pub(crate) targets: Targets,
    pub(crate) processes: BTreeMap<Arc<str>, Process>,
    settings: CellSettings,
    gateway: Runtime,
    links: BTreeMap<Arc<str>, Client>,
    next_key: AtomicU64,
    retention_ms: u64,
}

struct Gateway;

impl Handler for Gateway {
    fn call(&self, _peer: &Peer, message: Message) -> Reply {
        let reply = match message {
            Message::Survey { .. } => Message::Outstanding(Vec::new()),
            _ => Message::Done,
        };
        Box::pin(std::future::ready(reply))
    }

    fn notice(&self, _peer: &Peer, _message: Message) {}

    fn opened(&self, _peer: &Peer) {}

    fn closed(&self, _peer: &Peer) {}
}

pub(crate) fn service() -> Id {
    Id::service("booking", 0)
}

pub(crate) fn pool() -> Id {
    Id::pool("cpu", 0)
}

fn runtime() -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap()
}

impl Cell {
    /// Starts `count` schedulers and waits until one owns each shard.
    pub(crate) fn start(count: usize) -> Self {
        Self::with_retention(count, 3_600_000)
    }

    /// As [`Cell::start`], for a log that keeps records for `retention_ms`.
    pub(crate) fn with_retention(count: usize, retention_ms: u64) -> Self {
        Self::with_pool_shards(count, retention_ms, 1)
    }

    /// As [`Cell::with_retention`], with `pool_shards` worker shards.
    pub(crate) fn with_pool_shards(count: usize, retention_ms: u64, pool_shards: u32) -> Self {
        let entry = |index| Entry {
            name: format!("s{index}").into(),
            zone: "a".into(),
            peer: port::unused(),
        };
        let settings = CellSettings {
            name: "cell".into(),
            schedulers: (0..count).map(entry).collect(),
            gateways: vec!["g1".into()],
            partition: Map {
                pools: [("cpu".into(), pool_shards)].into(),
                services: [("booking".into(), 1)].into(),
            },
            log: port::unused(),
            directory: port::unused(),
        };
        let mut cell = Self {
            log: MemoryLog::default(),
            targets: Targets::default(),
            processes: BTreeMap::new(),
            settings,
            gateway: runtime(),
            links: BTreeMap::new(),
            next_key: AtomicU64::new(0),
            retention_ms,
        };
        cell.log.push(CONTRACTS, &publish_record("shops"));
        for index in 0..count {
            cell.spawn(index);
        }
        cell.dial();
        cell.wait_for("every shard has an owner", || {
            cell.owner(&service()).is_some() && cell.owner(&pool()).is_some()
        });
        cell
    }

    /// Starts the scheduler `index`.
    pub(crate) fn spawn(&mut self, index: usize) {
        let entry = &self.settings.schedulers[index];
        let settings = Settings {
            node: entry.name.clone(),
            zone: "a".into(),
            peer_listen: entry.peer,
            status_listen: port::unused(),
            cell: self.settings.clone(),
            log: Default::default(),
            placement_policy: "default".into(),
            retention_ms: self.retention_ms,
            runtime_threads: 1,
        };
        let log = self.log.for_process();
        let platform = Platform {
            log: Arc::new(log.clone()),
            workers: Arc::new(self.targets.clone()),
            instances: Arc::new(self.targets.clone()),
            directory: Arc::new(self.targets.clone()),
        };
        let runtime = runtime();
        let node_status = NodeStatus::default();
        let status = node_status.clone();
        let scheduler = runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind(settings.peer_listen).await;
            Scheduler::start(settings, platform, listener.unwrap(), status)
        });
        let process = Process {
            runtime,
            scheduler: Some(scheduler),
            log,
            status: node_status,
        };
        let name = self.settings.schedulers[index].name.clone();
        self.processes.insert(name, process);
    }

    /// Connects the gateway to every scheduler.
    fn dial(&mut self) {
        let hello = Hello {
            node: "g1".into(),
            role: Role::Gateway,
            zone: "a".into(),
            incarnation: 1,
        };
        let _guard = self.gateway.enter();
        for entry in &self.settings.schedulers {
            let name = entry.name.clone();
            let handler = Arc::new(Gateway);
            let link = Client::start(name.clone(), entry.peer, hello.clone(), handler);
            self.links.insert(name, link);
        }
    }

    /// Waits up to 10 s until `condition` is true.
    pub(crate) fn wait_for(&self, what: &str, condition: impl Fn() -> bool) {
        let end = Instant::now() + Duration::from_secs(10);
        while !condition() {
            assert!(Instant::now() < end, "not in time: {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Stops the scheduler without a planned stop, like a crash.
    pub(crate) fn kill(&mut self, name: &str) {
        let mut process = self.processes.remove(name).unwrap();
        drop(process.scheduler.take());
        // The address is free again once the tasks have ended.
        process.runtime.shutdown_timeout(Duration::from_secs(1));
    }

    /// Stops the scheduler with a planned stop.
    pub(crate) fn stop(&mut self, name: &str) {
        let mut process = self.processes.remove(name).unwrap();
        let scheduler = process.scheduler.take().unwrap();
        process.runtime.block_on(scheduler.stop());
        process.runtime.shutdown_background();
    }

    /// Kills the schedulers and starts them again.
    pub(crate) fn restart(&mut self, names: &[Arc<str>]) {
        names.iter().for_each(|name| self.kill(name));
        for index in 0..self.settings.schedulers.len() {
            if names.contains(&self.settings.schedulers[index].name) {
                self.spawn(index);
            }
        }
    }

    /// Blocks every task of the scheduler for `pause`.
    pub(crate) fn pause(&self, name: &str, pause: Duration) {
        let runtime = &self.processes[name].runtime;
        runtime.spawn(async move { std::thread::sleep(pause) });
    }

    /// Calls one scheduler.
    pub(crate) fn call(&self, name: &str, message: Message) -> Option<Message> {
        let call = self.links[name].call(message, CALL_TIMEOUT);
        self.gateway.block_on(call).ok()
    }

    /// Returns the scheduler that serves `shard` now.
    pub(crate) fn owner(&self, shard: &Id) -> Option<Arc<str>> {
        let is_owner = |name: &&Arc<str>| match self.call(name, SHARDS_ONLY) {
            Some(Message::Inspected(inspected)) => inspected.shards.iter().any(|s| s.0 == *shard),
            _ => false,
        };
        self.processes.keys().find(is_owner).cloned()
    }

    /// Requests a slot from `name` on another thread.
    pub(crate) fn request_slot_in_background(
        &self,
        name: &str,
        id: &str,
        idempotent: bool,
    ) -> JoinHandle<Option<Verdict>> {
        let message = self.slot_request(id, idempotent);
        let peer = self.links[name].peer().unwrap();
        let handle = self.gateway.handle().clone();
        std::thread::spawn(
            move || match handle.block_on(peer.call(message, CALL_TIMEOUT)) {
                Ok(Message::Verdict(verdict)) => Some(verdict),
                _ => None,
            },
        )
    }

    fn slot_request(&self, id: &str, idempotent: bool) -> Message {
        let number = self.next_key.fetch_add(1, Ordering::SeqCst);
        let slot_request = SlotRequest {
            key: Key {
                gateway: "g1".into(),
                number,
            },
            request: Request {
                contract: "shops".into(),
                id: id.into(),
            },
            idempotent,
            attempt: Some(1),
            remaining_ms: 10_000,
            exclude: Vec::new(),
        };
        Message::Ask {
            shard: service(),
            ask: slot_request,
        }
    }

    /// Requests a slot from `name`.
    pub(crate) fn request_slot(&self, name: &str, id: &str, idempotent: bool) -> Verdict {
        let message = self.slot_request(id, idempotent);
        match self.call(name, message) {
            Some(Message::Verdict(verdict)) => {
                self.finish(name, &verdict);
                verdict
            }
            other => panic!("{name} answered {other:?}"),
        }
    }

    /// Requests a slot from the shard's owner, until a scheduler owns it and decides.
    pub(crate) fn request_slot_from_owner(&self, id: &str, idempotent: bool) -> Verdict {
        let end = Instant::now() + Duration::from_secs(10);
        loop {
            if let Some(owner) = self.owner(&service()) {
                match self.request_slot(&owner, id, idempotent) {
                    Verdict::NotOwner { .. } => {}
                    verdict => return verdict,
                }
            }
            assert!(Instant::now() < end, "no owner in time");
        }
    }

    fn finish(&self, name: &str, verdict: &Verdict) {
        if let Verdict::Granted { epoch, slot, .. } = verdict {
            let finish = Message::Finish {
                shard: service(),
                epoch: *epoch,
                slot: *slot,
                finish: Finish::Answered,
                run_ms: 1,
            };
            self.call(name, finish);
        }
    }

    /// Submits a job of one task to `name`.
    pub(crate) fn submit(&self, name: &str, id: &str, run_ms: u64) -> Submission {
        let message = Message::Submit {
            shard: pool(),
            contract: "shops".into(),
            revision: Revision(1),
            job: Box::new(job(id, run_ms)),
        };
        match self.call(name, message) {
            Some(Message::Submission(submission)) => submission,
            other => panic!("{name} answered {other:?}"),
        }
    }

    /// Submits a job of a contract that is not published yet, and publishes the contract after
    /// `publish_ms` if that is given.
    pub(crate) fn submit_before_publish(&self, name: &str, publish_ms: Option<u64>) -> Submission {
        let message = Message::Submit {
            shard: pool(),
            contract: "late".into(),
            revision: Revision(1),
            job: Box::new(job("early", 1)),
        };
        let peer = self.links[name].peer().unwrap();
        let call = self
            .gateway
            .spawn(async move { peer.call(message, CALL_TIMEOUT).await });
        if let Some(publish_ms) = publish_ms {
            std::thread::sleep(Duration::from_millis(publish_ms));
            self.log.push(CONTRACTS, &publish_record("late"));
        }
        match self.gateway.block_on(call) {
            Ok(Ok(Message::Submission(submission))) => submission,
            other => panic!("{name} answered {other:?}"),
        }
    }

    /// Submits jobs of one task to `name` concurrently.
    pub(crate) fn submit_concurrently(&self, name: &str, ids: &[String]) -> Vec<Submission> {
        let peer = self.links[name].peer().unwrap();
        let calls = ids.iter().map(|id| {
            let message = Message::Submit {
                shard: pool(),
                contract: "shops".into(),
                revision: Revision(1),
                job: Box::new(job(id, 60_000)),
            };
            let peer = peer.clone();
            self.gateway
                .spawn(async move { peer.call(message, CALL_TIMEOUT).await })
        });
        let calls: Vec<_> = calls.collect();
        let answer = |call| match self.gateway.block_on(call) {
            Ok(Ok(Message::Submission(submission))) => submission,
            other => panic!("{name} answered {other:?}"),
        };
        calls.into_iter().map(answer).collect()
    }

    /// Cancels a job at `name`.
    pub(crate) fn cancel(&self, name: &str, id: &str) -> Submission {
        let job = JobId {
            contract: "shops".into(),
            job: id.into(),
        };
        let message = Message::Cancel { shard: pool(), job };
        match self.call(name, message) {
            Some(Message::Submission(submission)) => submission,
            other => panic!("{name} answered {other:?}"),
        }
    }

    /// Returns the status of a job according to `name`, after waiting for its end.
    pub(crate) fn status(&self, name: &str, id: &str, wait_ms: u64) -> Option<Status> {
        let job = JobId {
            contract: "shops".into(),
            job: id.into(),
        };
        let message = Message::Status {
            shard: pool(),
            job,
            wait_ms,
        };
        match self.call(name, message) {
            Some(Message::JobStatus(status)) => Some(status),
            _ => None,
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        let names: Vec<_> = self.processes.keys().cloned().collect();
        names.iter().for_each(|name| self.kill(name));
    }
}

pub(crate) fn job(id: &str, run_ms: u64) -> Spec {
    Spec {
        id: id.into(),
        kind: Kind::Batch,
        pool: "cpu".into(),
        tasks: 1,
        size: Size::new(1_000, 1_000),
        run_ms,
        priority: Priority::Normal,
        deadline_ms: None,
        restart: false,
        work: None,
        payload: None,
    }
}

fn publish_record(name: &str) -> Config {
    let service = Service {
        rate: 1_000,
        burst: 1_000,
        concurrency: 100,
        queue: 100,
    };
    let pool = Pool {
        size: Size::new(64_000, 128_000),
        queue: 100,
    };
    Config::Publish {
        id: format!("publish-{name}").into(),
        expected: Revision(0),
        contract: Box::new(Contract {
            name: name.into(),
            weight: 1,
            keys: vec!["key".into()],
            services: [("booking".into(), service)].into(),
            pools: [("cpu".into(), pool)].into(),
            max_priority: Priority::Urgent,
            urgent_percent: 50,
        }),
        operator: "operator".into(),
        at_unix_ms: 1,
    }
}
