//! An entry process on an in-memory log, with workers that run nothing to its end.
#![allow(dead_code)] // Each test file uses a part.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rosemaryworks_core::size::Size;
use rosemaryworks_entry::clients::Terms;
use rosemaryworks_entry::port::{
    Answer, Append, Appended, Changes, Fault, Page, Record, Store, Stream, WorkerChange,
};
use rosemaryworks_entry::revisions::Read;
use rosemaryworks_entry::{Config, Context, Metrics, Node, Route, Settings};
use rosemaryworks_node::status::Status;
use rosemaryworks_workflow::{Id, Queue, Spec, Step, Worker};

pub(crate) mod advisor;
mod door;
mod partition;
mod sender;
mod workers;

use door::Door;
use partition::Partition;
use sender::Sender;
pub(crate) use workers::StandInWorkers;

type Streams = BTreeMap<(u8, u32), Partition>;

/// Time that a fence takes in milliseconds, so that concurrent reads finish first.
const FENCE_MS: u64 = 50;

/// Time that a call needs to reach the log.
const NETWORK_DELAY: Duration = Duration::from_millis(3);

/// Time between two looks of a waiting read at the configuration.
const CONFIG_POLL: Duration = Duration::from_millis(5);

/// Time within which a process that starts has opened its links.
pub(crate) const LINK_OPEN: Duration = Duration::from_millis(600);

/// An in-memory log.
#[derive(Default)]
pub(crate) struct Log {
    records: Arc<Mutex<Streams>>,
    /// Retention time of records in milliseconds; 0 for no limit. The newest record of each key is
    /// retained in any case.
    pub(crate) retention_ms: AtomicU64,
    /// Records that the previous owner and its callers write just before the journal is fenced.
    pub(crate) before_fence: Mutex<Vec<(Stream, rosemaryworks_workflow::Record)>>,
    pub(crate) down: Arc<AtomicBool>,
    /// Time that a read of the claims takes in milliseconds.
    pub(crate) claims_read_ms: AtomicU64,
    /// Time that a read of the jobs without a wait takes in milliseconds.
    pub(crate) jobs_read_ms: AtomicU64,
    /// Complete list of workers and the keys of skipped entries.
    pub(crate) list: Mutex<(Vec<WorkerChange>, Vec<Arc<str>>)>,
    /// Makes the next read of the jobs panic.
    pub(crate) panic_at_jobs: AtomicBool,
    /// Whether the changes of the list have expired, so that the complete list is read again.
    pub(crate) list_expired: AtomicBool,
    /// Configuration, if it isn't the default one.
    pub(crate) config: Arc<Mutex<Option<Config>>>,
    /// Configuration that the operator publishes while the journal is being fenced.
    pub(crate) config_at_fence: Mutex<Option<Config>>,
    pub(crate) workers: Arc<StandInWorkers>,
    pub(crate) advice: Arc<advisor::Service>,
}

fn index(stream: Stream) -> u8 {
    match stream {
        Stream::Claims => 0,
        Stream::Jobs => 1,
        Stream::Progress => 2,
        Stream::State => 3,
    }
}

fn put(
    records: &Mutex<Streams>,
    stream: Stream,
    partition: u32,
    record: &rosemaryworks_workflow::Record,
) {
    let mut value = Vec::new();
    ciborium::into_writer(record, &mut value).expect("a record");
    let mut records = records.lock().expect("the lock");
    let stream = records.entry((index(stream), partition)).or_default();
    stream.append(vec![Record { key: None, value }]);
}

impl Log {
    /// Appends a record on behalf of another process.
    pub(crate) fn put(
        &self,
        stream: Stream,
        partition: u32,
        record: &rosemaryworks_workflow::Record,
    ) {
        put(&self.records, stream, partition, record);
    }

    /// Answers after a wait; fails if the log is down by then.
    fn answer<T: Send + 'static>(&self, value: T, wait_ms: u64) -> Answer<T> {
        let down = self.down.clone();
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            match down.load(Ordering::Relaxed) {
                true => Err(Fault::Refused("down".into())),
                false => Ok(value),
            }
        })
    }

    fn page(&self, stream: Stream, partition: u32, from: u64) -> Result<Page, Fault> {
        let retention = match self.retention_ms.load(Ordering::Relaxed) {
            0 => None,
            ms => Some(Duration::from_millis(ms)),
        };
        let mut records = self.records.lock().expect("the lock");
        let partition = records.entry((index(stream), partition)).or_default();
        partition.expire(retention);
        partition.read(from)
    }
}

impl Store for Log {
    fn append(&self, append: Append) -> Answer<Appended> {
        if append.stream == Stream::Progress && append.records.is_empty() {
            let late = std::mem::take(&mut *self.before_fence.lock().expect("the lock"));
            let published = self.config_at_fence.lock().expect("the lock").take();
            if published.is_some() {
                *self.config.lock().expect("the lock") = published;
            }
            let records = self.records.clone();
            return Box::pin(async move {
                tokio::time::sleep(Duration::from_millis(FENCE_MS)).await;
                for (stream, record) in late {
                    put(&records, stream, 0, &record);
                }
                Ok(Appended { end: 0 })
            });
        }
        let mut records = self.records.lock().expect("the lock");
        let partition = (index(append.stream), append.partition);
        let stream = records.entry(partition).or_default();
        if !self.down.load(Ordering::Relaxed) {
            if let Err(fault) = stream.check(&append) {
                return Box::pin(async { Err(fault) });
            }
            stream.append(append.records);
        }
        let end = stream.end();
        self.answer(Appended { end }, 0)
    }

    /// Returns only the records present before the wait; later ones are returned by the next read.
    fn read(&self, stream: Stream, partition: u32, from: u64, wait_ms: u64) -> Answer<Page> {
        if stream == Stream::Jobs && self.panic_at_jobs.swap(false, Ordering::Relaxed) {
            panic!("injected");
        }
        let delay_ms = match stream {
            Stream::Claims => self.claims_read_ms.load(Ordering::Relaxed),
            Stream::Jobs if wait_ms == 0 => self.jobs_read_ms.load(Ordering::Relaxed),
            _ => 0,
        };
        match self.page(stream, partition, from) {
            Ok(page) => self.answer(page, wait_ms + delay_ms),
            Err(fault) => Box::pin(async { Err(fault) }),
        }
    }

    /// Returns the newest record of each key as of the time at which the call reaches the log.
    fn newest(&self, stream: Stream, partition: u32) -> Answer<Page> {
        let (records, down) = (self.records.clone(), self.down.clone());
        Box::pin(async move {
            tokio::time::sleep(NETWORK_DELAY).await;
            if down.load(Ordering::Relaxed) {
                return Err(Fault::Refused("down".into()));
            }
            let mut records = records.lock().expect("the lock");
            let partition = records.entry((index(stream), partition)).or_default();
            Ok(partition.newest())
        })
    }

    fn configuration(&self, read: Read) -> Answer<Changes<Arc<Config>>> {
        let (since, wait_ms) = match read {
            Read::Newest => (None, 0),
            Read::After { offset, wait_ms } => (Some(offset), wait_ms),
            Read::Part { offset } => (Some(offset), 0),
        };
        let (config, down) = (self.config.clone(), self.down.clone());
        let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        Box::pin(async move {
            loop {
                let current = config.lock().expect("the lock").clone();
                let current = current.unwrap_or_else(|| configuration(1, &["pool"]));
                if down.load(Ordering::Relaxed) {
                    return Err(Fault::Refused("down".into()));
                }
                let is_new = since.is_none_or(|since| current.version > since);
                if is_new || tokio::time::Instant::now() >= until {
                    return Ok(Changes {
                        next: current.version,
                        end: current.version,
                        bytes: 0,
                        items: vec![Arc::new(current)],
                        skipped: Vec::new(),
                        has_more: false,
                        complete: since.is_none(),
                    });
                }
                tokio::time::sleep(CONFIG_POLL).await;
            }
        })
    }

    fn workers(&self, since: Option<u64>) -> Answer<Changes<WorkerChange>> {
        if since.is_some() && self.list_expired.swap(false, Ordering::Relaxed) {
            return Box::pin(async { Err(Fault::Expired { first: 1 }) });
        }
        let (items, skipped) = match since {
            None => self.list.lock().expect("the lock").clone(),
            Some(_) => Default::default(),
        };
        let changes = Changes {
            items,
            skipped,
            next: 0,
            end: 0,
            has_more: false,
            complete: since.is_none(),
            bytes: 0,
        };
        self.answer(changes, 0)
    }
}

impl Log {
    /// Appends a claim of the only shard by another process.
    pub(crate) fn put_claim(&self, epoch: u64) {
        self.put_renewal(epoch, 0);
    }

    /// Appends a renewal of a claim of the only shard by another process.
    pub(crate) fn put_renewal(&self, epoch: u64, renewal: u64) {
        let address = "127.0.0.1:9".parse().expect("an address");
        self.put_renewal_at(epoch, renewal, address);
    }

    /// The same by a process that accepts links at an address.
    pub(crate) fn put_renewal_at(&self, epoch: u64, renewal: u64, address: std::net::SocketAddr) {
        let claim = rosemaryworks_entry::claim::Claim {
            epoch,
            node: "other".into(),
            incarnation: 5,
            address,
            renewal,
            unfinished: false,
            millicores: 500,
            taking_over: false,
        };
        let mut value = Vec::new();
        ciborium::into_writer(&claim, &mut value).expect("a claim");
        let mut records = self.records.lock().expect("the lock");
        let key = Some(rosemaryworks_entry::claim::key(0));
        let stream = records.entry((index(Stream::Claims), 0)).or_default();
        stream.append(vec![Record { key, value }]);
    }

    /// Returns the number of claims and renewals written so far.
    pub(crate) fn claim_count(&self) -> usize {
        self.record_count(Stream::Claims)
    }

    /// Returns the number of records written so far to the first partition of a stream.
    pub(crate) fn record_count(&self, stream: Stream) -> usize {
        let records = self.records.lock().expect("the lock");
        let partition = records.get(&(index(stream), 0));
        partition.map_or(0, |partition| partition.end() as usize)
    }

    /// Returns the epoch of the newest claim, which is all that a process that starts can read.
    pub(crate) fn newest_claim_epoch(&self) -> u64 {
        let records = self.records.lock().expect("the lock");
        let newest = records[&(index(Stream::Claims), 0)].newest().records;
        let key = Some(rosemaryworks_entry::claim::key(0));
        let newest = newest.into_iter().find(|record| record.key == key);
        let newest = newest.expect("a claim");
        let claim: rosemaryworks_entry::claim::Claim =
            ciborium::from_reader(newest.value.as_slice()).expect("a claim");
        claim.epoch
    }
}

/// Returns a configuration with one queue and the given pools.
pub(crate) fn configuration(version: u64, pools: &[&str]) -> Config {
    Config {
        version,
        teams: None,
        routes: vec![route()],
        pools: pools.iter().map(|pool| (*pool).into()).collect(),
        terms: Terms::default(),
    }
}

/// Returns the entry of a worker in the list.
pub(crate) fn worker(id: &str, pool: &str) -> WorkerChange {
    WorkerChange::Updated(Worker {
        address: "127.0.0.1:1".parse().expect("an address"),
        incarnation: 7,
        capacity: Size::new(4_000, 16_384),
        draining: false,
        id: id.into(),
        labels: Vec::new(),
        pool: pool.into(),
        rack: "".into(),
        remaining_ms: None,
    })
}

/// Returns the record of a job with one task.
pub(crate) fn submitted(id: Id) -> rosemaryworks_workflow::Record {
    submitted_to(&queue().name, id)
}

/// The same for a job of another queue.
pub(crate) fn submitted_to(queue: &Arc<str>, id: Id) -> rosemaryworks_workflow::Record {
    submission(queue, id, 1)
}

/// The same for a job with steps that run one after the other.
pub(crate) fn submitted_steps(id: Id, steps: u16) -> rosemaryworks_workflow::Record {
    submission(&queue().name, id, steps)
}

/// The same for a job with a text of `bytes` bytes.
pub(crate) fn submitted_text(id: Id, bytes: usize) -> rosemaryworks_workflow::Record {
    let mut record = submitted(id);
    if let rosemaryworks_workflow::Record::Submitted { spec, .. } = &mut record {
        Arc::make_mut(spec).text = "x".repeat(bytes).into();
    }
    record
}

fn submission(queue: &Arc<str>, id: Id, steps: u16) -> rosemaryworks_workflow::Record {
    let step = |number: u16| Step {
        after: number.checked_sub(1).into_iter().collect(),
        count: 1,
        ..Step::default()
    };
    rosemaryworks_workflow::Record::Submitted {
        id,
        queue: queue.clone(),
        spec: Arc::new(Spec {
            steps: (0..steps).map(step).collect(),
            ..Spec::default()
        }),
    }
}

pub(crate) fn queue() -> Queue {
    Queue {
        max_attempts: 4,
        advice: None,
        name: "queue".into(),
        pool: "pool".into(),
        priority: 0,
        slack_factor: 1.5,
        slo_ms: 250,
    }
}

/// Returns the route of the default configuration.
pub(crate) fn route() -> Route {
    route_to(queue())
}

/// Returns a route to a queue.
pub(crate) fn route_to(queue: Queue) -> Route {
    Route {
        anonymous: false,
        host: "host".into(),
        prefix: "/".into(),
        queue: Arc::new(queue),
    }
}

/// A process and its log.
pub(crate) struct Process {
    pub(crate) node: Arc<Node>,
    pub(crate) log: Arc<Log>,
    pub(crate) door: Arc<Door>,
    pub(crate) metrics: Metrics,
}

impl Process {
    /// Starts a process and waits until it owns its shard. Must be called within a tokio runtime.
    pub(crate) async fn start() -> Self {
        Self::start_on(Arc::default()).await
    }

    /// The same on a log with existing records.
    pub(crate) async fn start_on(log: Arc<Log>) -> Self {
        let process = Self::launch(log, |_| {}).await;
        process.wait_for_shards(1).await;
        process
    }

    /// Starts a further process on the log of another one, and waits until it has opened its link to
    /// the owner.
    pub(crate) async fn start_peer(&self, name: &str) -> Self {
        let peer = Self::launch(self.log.clone(), |settings| settings.node = name.into()).await;
        tokio::time::sleep(LINK_OPEN).await;
        peer
    }

    /// Returns how many commands to workers a process sent.
    pub(crate) fn sent_by(&self, node: &str) -> usize {
        let sent = self.log.workers.sent.lock().expect("the lock");
        sent.get(node).copied().unwrap_or(0)
    }

    /// Starts a process with changed settings. Must be called within a tokio runtime.
    pub(crate) async fn launch(log: Arc<Log>, change: impl FnOnce(&mut Settings)) -> Self {
        Self::launch_with(log, change, false).await
    }

    /// Starts a process whose reads of the configuration the log rejects.
    pub(crate) async fn launch_rejected(log: Arc<Log>, name: &str) -> Self {
        Self::launch_with(log, |settings| settings.node = name.into(), true).await
    }

    async fn launch_with(
        log: Arc<Log>,
        change: impl FnOnce(&mut Settings),
        is_rejected: bool,
    ) -> Self {
        let links = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a free port");
        let address = links.local_addr().expect("an address");
        let mut settings = Settings {
            node: "n".into(),
            zone: "z".into(),
            listen: address,
            readiness_listen: address,
            peer_listen: address,
            metrics_listen: address,
            shards: 1,
            cores: 1.0,
            own_workers: None,
            memory_mb: None,
            max_fds: None,
            stop_ms: 5_000,
            lease_max_ms: 4_000,
            keep_ms: 120_000,
            retention_ms: 300_000,
            early_ms: 0,
            log: rosemaryworks_node::logging::Settings::default(),
        };
        change(&mut settings);
        let status = Status::default();
        let metrics = Metrics::register(&status.metrics);
        let door = Arc::new(Door {
            log: log.clone(),
            closed: AtomicBool::new(false),
            claims_closed: AtomicBool::new(false),
            configuration_closed: AtomicBool::new(is_rejected),
            lose_claims_read: AtomicBool::new(false),
            silent: AtomicBool::new(false),
        });
        let context = Context {
            store: door.clone(),
            workers: Arc::new(Sender::new(&settings.node, &log.workers)),
            advisor: Arc::new(advisor::Advisor {
                vm: settings.node.to_string(),
                service: log.advice.clone(),
            }),
            metrics: metrics.clone(),
            ready: status.ready.clone(),
        };
        let node = Node::new(settings, context, tokio::runtime::Handle::current());
        node.start(links);
        Self {
            node,
            log,
            door,
            metrics,
        }
    }

    pub(crate) async fn wait_for_shards(&self, count: i64) {
        for _ in 0..500 {
            if self.metrics.shards.get() == count {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("{} shards owned, not {count}", self.metrics.shards.get());
    }
}
