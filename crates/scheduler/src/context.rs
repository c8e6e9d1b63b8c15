//! State of the process that all parts of the scheduler share.
//!
//! Locks are taken in the order `ownership`, `register`, `cell`, `hosts`, the lock of a host's
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
use rosemaryworks_platform::log::CELL;
use rosemaryworks_platform::{Directory, Instances, Log, Workers};
use rosemaryworks_wire::link::Client;
use rosemaryworks_wire::{Hello, Role};
use tokio::sync::mpsc;

use crate::gateways::Gateways;
use crate::host::Host;
use crate::lock::lock;
use crate::metrics::Counters;
use crate::projection::Projection;
use crate::readback::Readback;
use crate::roster::Roster;
use crate::settings::Settings;
use crate::term::Term;

/// Least time that a writer waits for the read-back of an appended record.
const READ_BACK_TIMEOUT_MIN: Duration = Duration::from_millis(300);

/// Longest time that a submission waits for the contract revision that the gateway applies.
/// Revisions are read within milliseconds while the log is reachable.
const REVISION_TIMEOUT: Duration = Duration::from_secs(1);
const REVISION_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Clients of the platform's services.
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

/// Result of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Written {
    /// The record was definitely not written and won't be.
    No(String),
    /// The record may be written now or later.
    Uncertain(String),
    /// The record was read back and is valid.
    Valid,
    /// The record was read back and has no effect.
    Void,
}

/// Projection of the cell stream, and the read-back that its writers wait for.
#[derive(Debug, Default)]
pub(crate) struct CellState {
    pub(crate) projection: Projection,
    pub(crate) readback: Readback,
}

/// State, clients and links of the process.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) hello: Hello,
    pub(crate) partition: Arc<Map>,
    pub(crate) platform: Platform,
    pub(crate) health: Health,
    pub(crate) appender: Appender,
    pub(crate) config_appender: Appender,
    pub(crate) ownership: Mutex<ownership::Kernel>,
    pub(crate) actions: mpsc::UnboundedSender<Action>,
    /// Contracts and drained targets according to the contracts stream.
    pub(crate) register: Mutex<Register>,
    pub(crate) cell: Mutex<CellState>,
    pub(crate) hosts: Mutex<BTreeMap<Id, Host>>,
    pub(crate) peers: OnceLock<Vec<Client>>,
    pub(crate) gateways: Gateways,
    pub(crate) listing: Mutex<Option<Arc<Listing>>>,
    pub(crate) roster: Mutex<Roster>,
    pub(crate) status: Status,
    pub(crate) counters: Counters,
    pub(crate) progress: crate::progress::Progress,
}

impl Context {
    /// Creates the state of a process that starts now. Must be called within a tokio runtime.
    pub(crate) fn new(
        settings: Settings,
        platform: Platform,
        status: Status,
        actions: mpsc::UnboundedSender<Action>,
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
                schedulers: scheduler_names(&settings),
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
            appender: appender(CELL),
            config_appender: appender(rosemaryworks_platform::log::CONTRACTS),
            counters: Counters::new(&status.metrics),
            settings,
            hello,
            platform,
            health,
            ownership: Mutex::new(kernel),
            actions,
            register: Mutex::default(),
            cell: Mutex::default(),
            hosts: Mutex::default(),
            peers: OnceLock::new(),
            gateways: Gateways::default(),
            listing: Mutex::default(),
            roster: Mutex::default(),
            status,
            progress: crate::progress::Progress::default(),
        })
    }

    /// Runs `update` on the ownership kernel, updates the terms and queues the actions in order.
    pub(crate) fn update_ownership<T>(
        &self,
        update: impl FnOnce(&mut ownership::Kernel) -> (T, Vec<Action>),
    ) -> T {
        let mut kernel = lock(&self.ownership);
        let (result, actions) = update(&mut kernel);
        for host in lock(&self.hosts).values() {
            let term = host.term();
            term.set_valid_until(kernel.valid_until(&term.shard, term.epoch));
        }
        for action in actions {
            // The receiver lasts as long as the process.
            let _ = self.actions.send(action);
        }
        result
    }

    /// Passes an event to the ownership kernel.
    pub(crate) fn handle_ownership_event(&self, event: ownership::Event) {
        self.update_ownership(|kernel| ((), kernel.handle(clock::now(), event)));
    }

    /// Returns whether the log is unreachable for this process now, and how long ago it last was.
    pub(crate) fn log_view(&self) -> LogView {
        let now = clock::now();
        LogView {
            unreachable: self.health.unreachable(now),
            unreachable_age_ms: self.health.unreachable_age_ms(now),
        }
    }

    /// Returns whether one grant may be made before it is in the log, which a majority must allow.
    /// The caller writes the grant to the log later and then calls
    /// [`Self::confirm_unlogged_grants`].
    pub(crate) fn allow_unlogged_grant(&self, term: &Term) -> bool {
        let mut kernel = lock(&self.ownership);
        term.is_valid() && kernel.allow_unlogged_grant(clock::now(), &term.shard, term.epoch)
    }

    /// Confirms that `count` grants made without the log are in the log now, or no longer needed.
    pub(crate) fn confirm_unlogged_grants(&self, term: &Term, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        lock(&self.ownership).confirm_unlogged_grants(&term.shard, term.epoch, count);
    }

    /// Returns the owner of `shard` according to the records read so far.
    pub(crate) fn owner(&self, shard: &Id) -> Option<Arc<str>> {
        let cell = lock(&self.cell);
        cell.projection.ledger.owner(shard).cloned()
    }

    /// Returns the host of `shard`, active or not.
    pub(crate) fn host(&self, shard: &Id) -> Option<Host> {
        lock(&self.hosts).get(shard).cloned()
    }

    /// Returns all hosts.
    pub(crate) fn hosts(&self) -> Vec<Host> {
        lock(&self.hosts).values().cloned().collect()
    }

    /// Waits until this process applies `revision` of a contract or a newer one, for at most
    /// [`REVISION_TIMEOUT`]. Returns whether it does.
    pub(crate) async fn wait_for_revision(&self, contract: &str, revision: Revision) -> bool {
        let deadline = tokio::time::Instant::now() + REVISION_TIMEOUT;
        let applied = || {
            lock(&self.register)
                .get(contract)
                .map(|entry| entry.revision)
        };
        while applied().unwrap_or_default() < revision {
            if tokio::time::Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(REVISION_POLL_PERIOD).await;
        }
        true
    }

    /// Waits until this process has applied the records that the cell stream holds now, for at most
    /// `timeout`. Returns whether it has.
    pub(crate) async fn catch_up(&self, timeout: Duration) -> bool {
        let caught_up = async {
            let next = lock(&self.cell).readback.next_offset().max(1);
            let read = self.platform.log.read(CELL, next, 1, 0).await;
            let Ok(page) = read else { return false };
            let applied = match page.next.checked_sub(1) {
                Some(last) if last >= next => lock(&self.cell).readback.wait(last),
                _ => return true,
            };
            applied.await.is_ok()
        };
        tokio::time::timeout(timeout, caught_up)
            .await
            .unwrap_or(false)
    }

    /// Appends `record` to the cell stream and waits until it is read back, for at most `timeout`
    /// in all, or a little longer if the append took most of it.
    pub(crate) async fn write(&self, record: &Cell, timeout: Duration) -> Written {
        let text = match serde_json::to_string(record) {
            Ok(text) => text,
            Err(error) => return Written::No(error.to_string()),
        };
        let deadline = tokio::time::Instant::now() + timeout;
        let offset = match self.appender.append(text, timeout).await {
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
        let deadline = deadline.max(tokio::time::Instant::now() + READ_BACK_TIMEOUT_MIN);
        match tokio::time::timeout_at(deadline, verdict).await {
            Ok(Ok(true)) => Written::Valid,
            Ok(Ok(false)) => Written::Void,
            _ => Written::Uncertain(format!("record at offset {offset} not read back in time")),
        }
    }
}

fn scheduler_names(settings: &Settings) -> Vec<Arc<str>> {
    let schedulers = settings.cell.schedulers.iter();
    schedulers.map(|scheduler| scheduler.name.clone()).collect()
}
