//! State that all parts of the scheduler share.
//!
//! Locks are taken in the order `ownership`, `register`, `cell`, `hosted`, the lock of a hosted
//! kernel. None is held across an await.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use rosemaryworks_core::contract::Revision;
use rosemaryworks_core::ownership::{self, Action, LogView};
use rosemaryworks_core::partition::Map;
use rosemaryworks_core::record::Cell;
use rosemaryworks_core::register::Register;
use rosemaryworks_core::shard::Id;
use rosemaryworks_node::clock;
use rosemaryworks_node::status::Status;
use rosemaryworks_platform::appender::Appender;
use rosemaryworks_platform::directory::Listing;
use rosemaryworks_platform::health::Health;
use rosemaryworks_platform::{Directory, Instances, Log, Workers};
use rosemaryworks_wire::link::Client;
use rosemaryworks_wire::{Hello, Role};
use tokio::sync::mpsc;

use crate::fold::Fold;
use crate::gateways::Gateways;
use crate::hosted::Hosted;
use crate::lock::lock;
use crate::metrics::Counters;
use crate::readback::Readback;
use crate::seen::Seen;
use crate::settings::Settings;
use crate::term::Term;

/// Least time that a writer waits for the read-back of a record that was appended.
const READBACK_MIN: Duration = Duration::from_millis(300);

/// Longest time that a submission waits for the revision that the gateway has in force. Revisions
/// are read within milliseconds while the log answers.
const REVISION_MAX: Duration = Duration::from_secs(1);
const REVISION_PERIOD: Duration = Duration::from_millis(10);

/// The platform as the scheduler reaches it.
#[derive(Clone)]
pub struct Platform {
    /// The log.
    pub log: Arc<dyn Log>,
    /// The workers.
    pub workers: Arc<dyn Workers>,
    /// The service instances.
    pub instances: Arc<dyn Instances>,
    /// The list of VMs.
    pub directory: Arc<dyn Directory>,
}

/// What became of a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Written {
    /// The record was certainly not written and won't be.
    No(String),
    /// The record may be written now or later.
    Uncertain(String),
    /// The record was read back and is valid.
    Valid,
    /// The record was read back and has no effect.
    Void,
}

/// Fold of the cell stream and the writers that wait for their records.
#[derive(Debug, Default)]
pub(crate) struct CellState {
    pub(crate) fold: Fold,
    pub(crate) readback: Readback,
}

/// Shared state of the process.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) hello: Hello,
    pub(crate) partition: Arc<Map>,
    pub(crate) platform: Platform,
    pub(crate) health: Health,
    pub(crate) appender: Appender,
    pub(crate) config_appender: Appender,
    pub(crate) ownership: Mutex<ownership::Kernel>,
    pub(crate) steps: mpsc::UnboundedSender<Action>,
    pub(crate) register: Mutex<Register>,
    pub(crate) cell: Mutex<CellState>,
    pub(crate) hosted: Mutex<BTreeMap<Id, Hosted>>,
    pub(crate) peers: OnceLock<Vec<Client>>,
    pub(crate) gateways: Gateways,
    pub(crate) listing: Mutex<Option<Arc<Listing>>>,
    pub(crate) seen: Mutex<Seen>,
    pub(crate) status: Status,
    pub(crate) counters: Counters,
    pub(crate) progress: crate::progress::Progress,
}

impl Shared {
    /// Creates the state of a process that starts now. Must be called within a tokio runtime.
    pub(crate) fn new(
        settings: Settings,
        platform: Platform,
        status: Status,
        steps: mpsc::UnboundedSender<Action>,
    ) -> Arc<Self> {
        let hello = Hello {
            node: settings.node.clone(),
            role: Role::Scheduler,
            zone: settings.zone.clone(),
            incarnation: clock::incarnation(),
        };
        let now = clock::now();
        let health = Health::new(now);
        let kernel = ownership::Kernel::new(
            now,
            ownership::Settings {
                name: settings.node.clone(),
                incarnation: hello.incarnation,
                schedulers: names(&settings),
                shards: settings.cell.partition.shards(),
                retention_ms: settings.retention_ms,
            },
        );
        let appender = |stream| {
            let log = platform.log.clone();
            Appender::start(log, health.clone(), stream, &hello.node, hello.incarnation)
        };
        Arc::new(Self {
            partition: Arc::new(settings.cell.partition.clone()),
            appender: appender(rosemaryworks_platform::log::CELL),
            config_appender: appender(rosemaryworks_platform::log::CONTRACTS),
            counters: Counters::new(&status.metrics),
            settings,
            hello,
            platform,
            health,
            ownership: Mutex::new(kernel),
            steps,
            register: Mutex::default(),
            cell: Mutex::default(),
            hosted: Mutex::default(),
            peers: OnceLock::new(),
            gateways: Gateways::default(),
            listing: Mutex::default(),
            seen: Mutex::default(),
            status,
            progress: crate::progress::Progress::default(),
        })
    }

    /// Runs the ownership kernel and queues its steps in order.
    pub(crate) fn own<T>(&self, act: impl FnOnce(&mut ownership::Kernel) -> (T, Vec<Action>)) -> T {
        let mut kernel = lock(&self.ownership);
        let (result, steps) = act(&mut kernel);
        for hosted in lock(&self.hosted).values() {
            let term = hosted.term();
            term.extend(kernel.valid_until(&term.shard, term.epoch));
        }
        for step in steps {
            // The receiver lives as long as the process.
            let _ = self.steps.send(step);
        }
        result
    }

    /// Hands an event to the ownership kernel.
    pub(crate) fn ownership_event(&self, event: ownership::Event) {
        self.own(|kernel| ((), kernel.handle(clock::now(), event)));
    }

    /// Returns how this process sees the log now.
    pub(crate) fn log_view(&self) -> LogView {
        let now = clock::now();
        LogView {
            unreachable: self.health.unreachable(now),
            unreachable_age_ms: self.health.unreachable_age_ms(now),
        }
    }

    /// Takes a permit for one grant without the log, if a majority agrees to that. The holder writes
    /// the grant to the log later and then calls [`Self::recorded`].
    pub(crate) fn permit(&self, term: &Term) -> bool {
        let mut kernel = lock(&self.ownership);
        term.holds() && kernel.allow_unlogged_grant(clock::now(), &term.shard, term.epoch)
    }

    /// Notes that the grants of `count` permits are in the log.
    pub(crate) fn recorded(&self, term: &Term, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        lock(&self.ownership).confirm_unlogged_grants(&term.shard, term.epoch, count);
    }

    /// Returns the owner of `shard` that this process knows of.
    pub(crate) fn owner(&self, shard: &Id) -> Option<Arc<str>> {
        let cell = lock(&self.cell);
        cell.fold.ledger.owner(shard).cloned()
    }

    /// Returns the kernel hosted for `shard`, active or not.
    pub(crate) fn hosted(&self, shard: &Id) -> Option<Hosted> {
        lock(&self.hosted).get(shard).cloned()
    }

    /// Returns all kernels hosted.
    pub(crate) fn all_hosted(&self) -> Vec<Hosted> {
        lock(&self.hosted).values().cloned().collect()
    }

    /// Waits until this process applies `revision` of a contract or a newer one, for at most
    /// [`REVISION_MAX`]. Returns whether it does.
    pub(crate) async fn applies(&self, contract: &str, revision: Revision) -> bool {
        let deadline = tokio::time::Instant::now() + REVISION_MAX;
        let known = || {
            lock(&self.register)
                .get(contract)
                .map(|entry| entry.revision)
        };
        while known().unwrap_or_default() < revision {
            if tokio::time::Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(REVISION_PERIOD).await;
        }
        true
    }

    /// Appends `record` to the cell stream and waits until it is read back, for at most `patience`
    /// in all or a little longer if the append took most of it.
    pub(crate) async fn write(&self, record: &Cell, patience: Duration) -> Written {
        let text = match serde_json::to_string(record) {
            Ok(text) => text,
            Err(error) => return Written::No(error.to_string()),
        };
        let deadline = tokio::time::Instant::now() + patience;
        let offset = match self.appender.append(text, patience).await {
            Ok(offset) => offset,
            Err(report) => {
                let failure = report.current_context();
                self.counters.append(false);
                return match failure.had_no_effect() {
                    true => Written::No(failure.to_string()),
                    false => Written::Uncertain(failure.to_string()),
                };
            }
        };
        self.counters.append(true);
        let verdict = lock(&self.cell).readback.wait(offset);
        let deadline = deadline.max(tokio::time::Instant::now() + READBACK_MIN);
        match tokio::time::timeout_at(deadline, verdict).await {
            Ok(Ok(true)) => Written::Valid,
            Ok(Ok(false)) => Written::Void,
            _ => Written::Uncertain(format!("record at offset {offset} not read back in time")),
        }
    }
}

fn names(settings: &Settings) -> Vec<Arc<str>> {
    let schedulers = settings.cell.schedulers.iter();
    schedulers.map(|scheduler| scheduler.name.clone()).collect()
}
