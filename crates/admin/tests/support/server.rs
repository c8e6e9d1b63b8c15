//! Administration API on loopback with an in-memory log and a fake scheduler.

#![allow(dead_code, unreachable_pub)]

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use ntex::web::{App, HttpServer};
use rosemaryworks_admin::{Api, Contracts, Operator, Refusals, routes};
use rosemaryworks_node::clock;
use rosemaryworks_node::http::{Client, Request};
use rosemaryworks_platform::appender::Appender;
use rosemaryworks_platform::health::Health;
use rosemaryworks_wire::link::{Client as Link, Handler, Peer, Reply};
use rosemaryworks_wire::{Hello, Message, Role};
use serde_json::{Value, json};

pub mod fakes;

use fakes::{FakeScheduler, MemoryLog, OPERATOR_KEY, cell, contract_json, reply};

/// Link handler that ignores notices and replies with `Done` to every call.
struct Idle;

impl Handler for Idle {
    fn call(&self, _: &Peer, _: Message) -> Reply {
        reply(Message::Done)
    }

    fn notice(&self, _: &Peer, _: Message) {}

    fn opened(&self, _: &Peer) {}

    fn closed(&self, _: &Peer) {}
}

/// A running administration API.
pub struct Server {
    pub address: SocketAddr,
    pub log: MemoryLog,
    pub scheduler: FakeScheduler,
    pub contracts: Contracts,
    client: Client,
}

impl Server {
    /// Starts the API and waits until it has loaded the contracts.
    pub async fn start() -> Self {
        let server = Self::start_with(MemoryLog::default()).await;
        while !server.contracts.progress().known {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        server
    }

    pub async fn start_with(log: MemoryLog) -> Self {
        let scheduler = FakeScheduler::start("scheduler-1").await;
        let contracts = Contracts::default();
        let api = api(&log, &scheduler, &contracts);
        let (follower, stream) = (contracts.clone(), log.clone());
        let health = Health::new(clock::now());
        tokio::spawn(async move { follower.follow(Arc::new(stream), health).await });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            let system = ntex::rt::System::new("test", ntex::rt::DefaultRuntime);
            system.block_on(async move {
                let app = async move || App::new().state(api.clone()).configure(routes);
                let server = HttpServer::new(app).workers(1).disable_signals();
                server.listen(listener).unwrap().run().await
            })
        });
        scheduler.peer().await;
        Self {
            address,
            log,
            scheduler,
            contracts,
            client: Client::start(1),
        }
    }

    /// Calls the API with the operator's key.
    pub async fn call(&self, method: &'static str, path: &str, body: Value) -> (u16, Value) {
        self.call_as(OPERATOR_KEY, method, path, body).await
    }

    pub async fn call_as(
        &self,
        key: &str,
        method: &'static str,
        path: &str,
        body: Value,
    ) -> (u16, Value) {
        let url = format!("http://{}{path}", self.address);
        let mut call = Request::new(method, url, Duration::from_secs(20))
            .header("authorization", &format!("Bearer {key}"));
        if !body.is_null() {
            call = call.body(body.to_string());
        }
        let response = self.client.send(call).await.unwrap();
        let body = serde_json::from_slice(&response.body).unwrap_or_default();
        (response.status, body)
    }

    /// Publishes the contract of the tests with the given rate.
    pub async fn publish(&self, id: &str, expected: u64, rate: u64) -> (u16, Value) {
        let body = publication(id, expected, rate);
        self.call("PUT", "/v1/contracts/dala", body).await
    }
}

pub fn publication(id: &str, expected: u64, rate: u64) -> Value {
    let mut contract = contract_json();
    contract["services"]["booking"]["rate"] = json!(rate);
    json!({ "id": id, "expected": expected, "contract": contract })
}

fn api(log: &MemoryLog, scheduler: &FakeScheduler, contracts: &Contracts) -> Api {
    let hello = Hello {
        node: "gateway-1".into(),
        role: Role::Gateway,
        zone: "milano".into(),
        incarnation: 1,
    };
    let handler: Arc<dyn Handler> = Arc::new(Idle);
    let link = Link::start("scheduler-1".into(), scheduler.address, hello, handler);
    let appender = |stream| {
        let health = Health::new(clock::now());
        Appender::start(Arc::new(log.clone()), health, stream, "gateway-1", 1)
    };
    let operator = Operator {
        name: "ada".into(),
        key: OPERATOR_KEY.into(),
    };
    Api {
        cell: Arc::new(cell(&[("scheduler-1", scheduler.address)])),
        contracts: contracts.clone(),
        operators: [operator].into(),
        schedulers: [link].into(),
        contracts_appender: appender("contracts"),
        refusals: Refusals::new(appender("audit")),
        log: Arc::new(log.clone()),
        runtime: tokio::runtime::Handle::current(),
    }
}
