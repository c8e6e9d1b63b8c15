//! Gateway on loopback with a fake platform and a fake scheduler.

#![allow(dead_code, unreachable_pub)]

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use error_stack::Report;
use rosemaryworks_admin::{Api, Contracts, Operator, Refusals};
use rosemaryworks_core::routing::{Key, SlotRequest};
use rosemaryworks_core::shard::{Epoch, Id};
use rosemaryworks_core::target::Instance;
use rosemaryworks_gateway::server::Servers;
use rosemaryworks_gateway::{Dependencies, Gateway, Links, Settings, readiness};
use rosemaryworks_node::http::{Client, Request as Call, Response as Reply};
use rosemaryworks_node::status::Status;
use rosemaryworks_node::{clock, logging};
use rosemaryworks_platform::appender::Appender;
use rosemaryworks_platform::health::Health;
use rosemaryworks_platform::instances::{Request, Response};
use rosemaryworks_platform::{Answer, Failure, Fault, Instances};
use rosemaryworks_wire::{Hello, Message, Role, Verdict};
use tokio::sync::watch;

#[path = "../../../admin/tests/support/fakes.rs"]
pub mod fakes;

use fakes::{FakeScheduler, MemoryLog, OPERATOR_KEY, TEAM_KEY, cell, publish_record, reply};

/// Behavior of an instance for the next request.
#[derive(Clone, Debug)]
pub enum Behavior {
    /// Responds with this status and body.
    Answer(u16, &'static str),
    /// Responds after this many milliseconds.
    Slow(u64),
    /// Responds that it did not run the request.
    Reject,
    /// Receives the request and closes the connection without a response.
    Disconnect,
    /// Can't be connected to.
    Unreached,
}

/// Name of an instance and a request that it received.
type Received = (Arc<str>, Request);

/// Service instances with scripted behavior; `Answer(200, "done")` by default.
#[derive(Clone, Default)]
pub struct FakeInstances {
    behaviors: Arc<Mutex<VecDeque<Behavior>>>,
    received: Arc<Mutex<Vec<Received>>>,
}

impl FakeInstances {
    pub fn script(&self, behaviors: &[Behavior]) {
        self.behaviors
            .lock()
            .unwrap()
            .extend(behaviors.iter().cloned());
    }

    /// Returns the requests that reached an instance.
    pub fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }
}

fn answer(status: u16, body: &str) -> Response {
    Response {
        status,
        headers: vec![("content-type".into(), "text/plain".into())],
        body: body.as_bytes().to_vec(),
    }
}

fn failed(fault: Fault) -> Report<Failure> {
    Report::new(Failure::new("send request", "instance", fault))
}

impl Instances for FakeInstances {
    fn occupancy(&self, _: &Instance) -> Answer<Option<u32>> {
        Box::pin(async { Ok(None) })
    }

    fn send(&self, instance: &Instance, request: Request) -> Answer<Response> {
        let behavior = self.behaviors.lock().unwrap().pop_front();
        let behavior = behavior.unwrap_or(Behavior::Answer(200, "done"));
        if !matches!(behavior, Behavior::Unreached) {
            let mut received = self.received.lock().unwrap();
            received.push((instance.name.clone(), request));
        }
        Box::pin(async move {
            match behavior {
                Behavior::Answer(status, body) => Ok(answer(status, body)),
                Behavior::Slow(millis) => {
                    tokio::time::sleep(Duration::from_millis(millis)).await;
                    Ok(answer(200, "late"))
                }
                Behavior::Reject => {
                    let mut response = answer(503, "busy");
                    let header = ("rosemary-not-run".into(), "true".into());
                    response.headers.push(header);
                    Ok(response)
                }
                Behavior::Disconnect => Err(failed(Fault::Uncertain("reset".to_owned()))),
                Behavior::Unreached => Err(failed(Fault::Unreached("refused".to_owned()))),
            }
        })
    }
}

/// Running gateway. It stops with the test's runtime.
pub struct Running {
    pub address: SocketAddr,
    pub admin: SocketAddr,
    pub gateway: Gateway,
    pub scheduler: FakeScheduler,
    pub instances: FakeInstances,
    pub log: MemoryLog,
    pub status: Status,
    client: Client,
    _stop: watch::Sender<bool>,
}

pub fn shard() -> Id {
    Id::service("booking", 0)
}

pub fn granted(epoch: u64, slot: u64, waited_ms: u64) -> Message {
    Message::Verdict(Verdict::Granted {
        epoch: Epoch(epoch),
        slot,
        instance: Instance {
            name: format!("booking-{slot}").into(),
            service: "booking".into(),
            zone: "milano".into(),
            address: "127.0.0.1:9".parse().unwrap(),
            slots: 8,
            connections: 64,
        },
        waited_ms,
    })
}

/// Grants every slot request in epoch 1 and acknowledges everything else.
pub fn grant_all(message: Message) -> rosemaryworks_wire::link::Reply {
    match message {
        Message::Ask { ask, .. } => reply(granted(1, ask.key.number, 0)),
        _ => reply(Message::Done),
    }
}

pub fn settings(scheduler: &FakeScheduler) -> Settings {
    Settings {
        node: "gateway-1".into(),
        zone: "milano".into(),
        listen: "127.0.0.1:0".parse().unwrap(),
        admin_listen: "127.0.0.1:0".parse().unwrap(),
        cell: cell(&[("scheduler-1", scheduler.address)]),
        log: logging::Settings::default(),
        operators: vec![Operator {
            name: "ada".into(),
            key: OPERATOR_KEY.into(),
        }],
        drain_ms: 0,
        retry_percent: 100,
        answers_max_bytes: 1024 * 1024,
        bodies_max_bytes: 2 * 1024 * 1024,
        http_threads: 1,
        runtime_threads: 1,
    }
}

impl Running {
    /// Starts a gateway whose log contains the contract and whose scheduler grants all slot
    /// requests.
    pub async fn start() -> Self {
        let log = MemoryLog::default();
        log.push("contracts", &publish_record());
        let running = Self::start_with(log, |_| {}).await;
        running.scheduler.answer(grant_all);
        running.announce_owner(1, Some("scheduler-1")).await;
        running.wait_ready().await;
        running
    }

    pub async fn start_with(log: MemoryLog, change: impl FnOnce(&mut Settings)) -> Self {
        let scheduler = FakeScheduler::start("scheduler-1").await;
        let mut settings = settings(&scheduler);
        change(&mut settings);
        let instances = FakeInstances::default();
        let status = Status::default();
        status.ready.clear("starting");
        let (servers, contracts) = build_servers(&settings, &log, &instances, &status);
        let health = Health::new(clock::now());
        let contracts_log = log.clone();
        tokio::spawn(async move { contracts.follow(Arc::new(contracts_log), health).await });
        let gateway = servers.gateway.clone();
        tokio::spawn(readiness::watch(gateway.clone(), status.ready.clone()));
        let callers = TcpListener::bind("127.0.0.1:0").unwrap();
        let operators = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = callers.local_addr().unwrap();
        let admin = operators.local_addr().unwrap();
        let (stop, stopped) = watch::channel(false);
        std::thread::spawn(move || {
            let system = ntex::rt::System::new("test", ntex::rt::DefaultRuntime);
            system.block_on(servers.run(callers, operators, stopped))
        });
        Self {
            address,
            admin,
            gateway,
            scheduler,
            instances,
            log,
            status,
            client: Client::start(1),
            _stop: stop,
        }
    }

    /// Publishes the owner of the service shard to the gateway.
    pub async fn announce_owner(&self, epoch: u64, owner: Option<&str>) {
        let notice = Message::Owned {
            shard: shard(),
            epoch: Epoch(epoch),
            owner: owner.map(Into::into),
        };
        self.scheduler.peer().await.notify(notice).unwrap();
    }

    pub async fn wait_ready(&self) {
        eventually(|| self.status.ready.get()).await;
    }

    /// Creates a request of the contract's team with `headers` in place of, or in addition to, the
    /// default ones.
    pub fn call(&self, id: &str, headers: &[(&str, &str)]) -> Call {
        let url = format!("http://{}/v1/services/booking", self.address);
        let key = format!("Bearer {TEAM_KEY}");
        let defaults = [
            ("rosemary-contract", "dala"),
            ("rosemary-request-id", id),
            ("rosemary-deadline-ms", "3000"),
            ("authorization", &*key),
        ];
        let mut call = Call::new("POST", url, Duration::from_secs(10)).body("quote");
        for (name, value) in defaults {
            if !headers.iter().any(|(other, _)| *other == name) {
                call = call.header(name, value);
            }
        }
        headers
            .iter()
            .fold(call, |call, (name, value)| call.header(name, value))
    }

    pub async fn send(&self, call: Call) -> Reply {
        self.client.send(call).await.unwrap()
    }

    /// Sends a request and returns status, outcome and reason.
    pub async fn outcome(&self, id: &str, headers: &[(&str, &str)]) -> (u16, String, String) {
        let response = self.send(self.call(id, headers)).await;
        let outcome = response.header("rosemary-outcome").unwrap_or("").to_owned();
        let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
        let reason = body["reason"].as_str().unwrap_or("").to_owned();
        (response.status, outcome, reason)
    }

    pub fn slot_requests(&self) -> Vec<SlotRequest> {
        let requests = self
            .scheduler
            .calls()
            .into_iter()
            .filter_map(|call| match call {
                Message::Ask { ask, .. } => Some(ask),
                _ => None,
            });
        requests.collect()
    }

    pub fn withdrawn_keys(&self) -> Vec<Key> {
        let keys = self
            .scheduler
            .notices()
            .into_iter()
            .filter_map(|notice| match notice {
                Message::Withdraw { key, .. } => Some(key),
                _ => None,
            });
        keys.collect()
    }
}

fn build_servers(
    settings: &Settings,
    log: &MemoryLog,
    instances: &FakeInstances,
    status: &Status,
) -> (Servers, Contracts) {
    let contracts = Contracts::default();
    let hello = Hello {
        node: settings.node.clone(),
        role: Role::Gateway,
        zone: settings.zone.clone(),
        incarnation: 1,
    };
    let links = Links::start(&settings.cell, &hello);
    let appender = |stream| {
        let health = Health::new(clock::now());
        Appender::start(Arc::new(log.clone()), health, stream, "gateway-1", 1)
    };
    let runtime = tokio::runtime::Handle::current();
    let api = Api {
        cell: Arc::new(settings.cell.clone()),
        contracts: contracts.clone(),
        operators: settings.operators.clone().into(),
        schedulers: links.clients(),
        contracts_appender: appender("contracts"),
        refusals: Refusals::new(appender("audit")),
        log: Arc::new(log.clone()),
        runtime: runtime.clone(),
    };
    let dependencies = Dependencies {
        contracts: contracts.clone(),
        instances: Arc::new(instances.clone()),
        links,
        metrics: status.metrics.clone(),
        runtime,
    };
    let servers = Servers {
        gateway: Gateway::new(settings, dependencies),
        api,
        status: status.clone(),
        threads: 1,
    };
    (servers, contracts)
}

/// Waits up to 4 s until `condition` returns true.
pub async fn eventually(condition: impl Fn() -> bool) {
    for _ in 0..400 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("condition not met within 4 s");
}
