//! In-memory log, and a fake scheduler that responds over a real link with replies set by the test.

#![allow(dead_code, unreachable_pub)]

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use error_stack::Report;
use rosemaryworks_core::record::Offset;
use rosemaryworks_node::settings::{Cell, Scheduler as Member};
use rosemaryworks_platform::log::{Append, Entry, Page};
use rosemaryworks_platform::{Answer, Failure, Fault, Log};
use rosemaryworks_wire::link::{Handler, Peer, Reply, serve};
use rosemaryworks_wire::{Hello, Message, Role};

/// A log in memory. While it is down, calls fail and have no effect.
#[derive(Clone, Default)]
pub struct MemoryLog(Arc<Mutex<Streams>>);

#[derive(Default)]
struct Streams {
    records: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    appends: HashMap<Arc<str>, Offset>,
    down: bool,
    lose_answers: bool,
}

impl MemoryLog {
    pub fn set_down(&self, down: bool) {
        self.0.lock().unwrap().down = down;
    }

    /// From now on, appends take effect but their responses are lost.
    pub fn lose_answers(&self) {
        self.0.lock().unwrap().lose_answers = true;
    }

    /// Adds a record without an append call.
    pub fn push(&self, stream: &str, record: &str) {
        let mut streams = self.0.lock().unwrap();
        streams
            .records
            .entry(stream.into())
            .or_default()
            .push(record.into());
    }

    pub fn records(&self, stream: &str) -> Vec<Arc<str>> {
        self.0
            .lock()
            .unwrap()
            .records
            .get(stream)
            .cloned()
            .unwrap_or_default()
    }

    fn page(&self, stream: &str, from: Offset) -> Result<Page, Report<Failure>> {
        let streams = self.0.lock().unwrap();
        if streams.down {
            return Err(down_error());
        }
        let records = streams.records.get(stream).cloned().unwrap_or_default();
        let entries = records.iter().enumerate().map(|(index, record)| Entry {
            offset: index as Offset + 1,
            record: record.clone(),
        });
        Ok(Page {
            entries: entries.filter(|entry| entry.offset >= from).collect(),
            first: 1,
            next: records.len() as Offset + 1,
        })
    }
}

fn down_error() -> Report<Failure> {
    Report::new(Failure::new(
        "call",
        "log",
        Fault::Unreached("down".to_owned()),
    ))
}

impl Log for MemoryLog {
    fn append(&self, append: Append) -> Answer<Offset> {
        let mut streams = self.0.lock().unwrap();
        if streams.down {
            return Box::pin(async { Err(down_error()) });
        }
        let records = streams.records.entry(append.stream).or_default();
        let offset = records.len() as Offset + 1;
        records.extend(append.records);
        streams.appends.insert(append.id, offset);
        let lost = streams.lose_answers;
        Box::pin(async move {
            match lost {
                true => {
                    let fault = Fault::Uncertain("answer lost".to_owned());
                    Err(Report::new(Failure::new("append", "log", fault)))
                }
                false => Ok(offset),
            }
        })
    }

    fn find(&self, _: &str, id: &str) -> Answer<Option<Offset>> {
        let streams = self.0.lock().unwrap();
        let answer = match streams.down {
            true => Err(down_error()),
            false => Ok(streams.appends.get(id).copied()),
        };
        Box::pin(async { answer })
    }

    fn read(&self, stream: &str, from: Offset, _: u32, wait_ms: u64) -> Answer<Page> {
        let (log, stream) = (self.clone(), stream.to_owned());
        Box::pin(async move {
            let page = log.page(&stream, from)?;
            if page.entries.is_empty() {
                tokio::time::sleep(Duration::from_millis(wait_ms.min(10))).await;
            }
            log.page(&stream, from)
        })
    }
}

type Respond = Box<dyn Fn(Message) -> Reply + Send + Sync>;

/// A fake scheduler on a real link. Records all calls and notices.
pub struct FakeScheduler {
    pub address: SocketAddr,
    state: Arc<State>,
    task: tokio::task::JoinHandle<()>,
}

struct State {
    answer: Mutex<Arc<Respond>>,
    calls: Mutex<Vec<Message>>,
    notices: Mutex<Vec<Message>>,
    peers: Mutex<Vec<Peer>>,
}

impl Handler for State {
    fn call(&self, _: &Peer, message: Message) -> Reply {
        self.calls.lock().unwrap().push(message.clone());
        let answer = self.answer.lock().unwrap().clone();
        answer(message)
    }

    fn notice(&self, _: &Peer, message: Message) {
        self.notices.lock().unwrap().push(message);
    }

    fn opened(&self, peer: &Peer) {
        self.peers.lock().unwrap().push(peer.clone());
    }

    fn closed(&self, _: &Peer) {}
}

impl FakeScheduler {
    pub async fn start(name: &str) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let answer: Respond = Box::new(|_| Box::pin(async { Message::Done }));
        let state = Arc::new(State {
            answer: Mutex::new(Arc::new(answer)),
            calls: Mutex::default(),
            notices: Mutex::default(),
            peers: Mutex::default(),
        });
        let hello = Hello {
            node: name.into(),
            role: Role::Scheduler,
            zone: "milano".into(),
            incarnation: 1,
        };
        let task = tokio::spawn(serve(listener, hello, state.clone()));
        Self {
            address,
            state,
            task,
        }
    }

    /// Sets the replies to all calls from now on.
    pub fn answer(&self, answer: impl Fn(Message) -> Reply + Send + Sync + 'static) {
        *self.state.answer.lock().unwrap() = Arc::new(Box::new(answer));
    }

    pub fn calls(&self) -> Vec<Message> {
        self.state.calls.lock().unwrap().clone()
    }

    pub fn notices(&self) -> Vec<Message> {
        self.state.notices.lock().unwrap().clone()
    }

    /// Waits until the process under test has opened a link and returns the peer of that link.
    pub async fn peer(&self) -> Peer {
        for _ in 0..200 {
            let latest = self.state.peers.lock().unwrap().last().cloned();
            if let Some(peer) = latest.filter(|peer| !peer.is_closed()) {
                return peer;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("no link was opened");
    }
}

impl Drop for FakeScheduler {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub fn reply(message: Message) -> Reply {
    Box::pin(async { message })
}

/// Returns a reply that never arrives.
pub fn no_reply() -> Reply {
    Box::pin(std::future::pending())
}

pub fn cell(schedulers: &[(&str, SocketAddr)]) -> Cell {
    let members = schedulers.iter().map(|(name, peer)| Member {
        name: (*name).into(),
        zone: "milano".into(),
        peer: *peer,
    });
    Cell {
        name: "avvolgi".into(),
        schedulers: members.collect(),
        gateways: vec!["gateway-1".into()],
        partition: rosemaryworks_core::partition::Map {
            pools: [("cpu".into(), 1)].into(),
            services: [("booking".into(), 1)].into(),
        },
        log: "127.0.0.1:9".parse().unwrap(),
        directory: "127.0.0.1:9".parse().unwrap(),
    }
}

pub const TEAM_KEY: &str = "team-key-0123456789";

pub const OPERATOR_KEY: &str = "operator-key-0123456789";

pub fn contract_json() -> serde_json::Value {
    serde_json::json!({
        "name": "dala",
        "weight": 2,
        "keys": [TEAM_KEY],
        "services": { "booking": { "rate": 100, "burst": 100, "concurrency": 8, "queue": 50 } },
        "pools": { "cpu": { "size": { "millicores": 8000, "memory_mb": 8000 }, "queue": 50 } },
        "max_priority": "urgent",
        "urgent_percent": 50,
    })
}

/// Returns a record that publishes the contract as its first revision.
pub fn publish_record() -> String {
    let publish = serde_json::json!({ "publish": {
        "id": "setup",
        "expected": 0,
        "contract": contract_json(),
        "operator": "ada",
        "at_unix_ms": 1,
    }});
    publish.to_string()
}
