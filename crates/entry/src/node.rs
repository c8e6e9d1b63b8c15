//! The entry process: its configuration, its view of the other processes and the shards it owns.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_node::status::Ready;
use rosemaryworks_wire::link::Peer;
use rosemaryworks_wire::{Hello, Role};
use rosemaryworks_workflow::memory::Pool;
use tokio::sync::{Notify, watch};

use crate::advice::service::Service;
use crate::claim::{Claims, Takeover};
use crate::config::Config;
use crate::events;
use crate::exchange::Exchange;
use crate::homes::Homes;
use crate::links::Link;
use crate::metrics::Metrics;
use crate::owner::Owner;
use crate::peers::Known;
use crate::permission::Permission;
use crate::port::{Advisor, Store, Workers};
use crate::reads::Observer;
use crate::relay::Relay;
use crate::revisions::{self, Extent, Position, Read, Source, Step};
use crate::settings::Settings;
use crate::skipped::Skipped;
use crate::submitter::Submitter;

/// Time without an answer after which the log counts as unreachable and the process as not ready,
/// in milliseconds. Longer than one lost answer and its retry.
const LOG_DOWN_MS: u64 = 450;

/// `Retry-After` of rejected calls in seconds.
const RETRY_AFTER_S: u64 = 1;

/// `Retry-After` of calls rejected at the start of an outage of the log, in seconds. Outages last
/// some seconds, and callers retry only a few times.
const RETRY_AFTER_EARLY_S: u64 = 2;

/// Age of an outage of the log up to which [`RETRY_AFTER_EARLY_S`] applies, in milliseconds.
const OUTAGE_EARLY_MS: u64 = 1_500;

/// Interfaces to the platform, metrics and readiness, which the parts of the process share.
#[derive(Clone)]
pub struct Context {
    /// The platform's log.
    pub store: Arc<dyn Store>,
    /// Commands to workers.
    pub workers: Arc<dyn Workers>,
    /// The advice service.
    pub advisor: Arc<dyn Advisor>,
    /// Metrics.
    pub metrics: Metrics,
    /// Readiness.
    pub ready: Ready,
}

/// The entry process, which its tasks share.
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) context: Context,
    pub(crate) hello: Hello,
    pub(crate) claims: Mutex<Claims>,
    pub(crate) claims_changed: Notify,
    /// Offset up to which the claims and the register of homes have been read.
    pub(crate) claims_read: watch::Sender<u64>,
    pub(crate) homes: Mutex<Homes>,
    /// Held while a shard is being listed in the register.
    pub(crate) listing: tokio::sync::Mutex<()>,
    /// Time at which this process last became the owner of a shard.
    pub(crate) entered_ms: AtomicU64,
    /// Notified when the log becomes unreachable.
    pub(crate) log_lost: Notify,
    /// Permission to command the workers of the owned shards.
    pub(crate) permission: Arc<Permission>,
    pub(crate) owned: Mutex<BTreeMap<u32, Arc<Owner>>>,
    /// Shards whose claims were won and whose takeover is not complete.
    pub(crate) taking_over: Mutex<BTreeMap<u32, Takeover>>,
    /// Links that this process opened to owners of shards.
    pub(crate) links: Mutex<HashMap<std::net::SocketAddr, Link>>,
    /// Peers that opened a link to this process.
    pub(crate) peers: Mutex<Vec<Peer>>,
    /// Commands that other processes send to workers for the owners of this one.
    pub(crate) exchange: Arc<Exchange>,
    /// Commands that this process sends for owners.
    pub(crate) relay: Relay,
    /// Processes that may claim a shard.
    pub(crate) known: Mutex<Known>,
    /// Whether this process has released its shards for good and is about to end.
    pub(crate) leaving: AtomicBool,
    /// Calls of the advice service from this VM.
    pub(crate) advice: Arc<Service>,
    pub(crate) stopping: AtomicBool,
    /// Whether a planned stop has released the shards, so that no further one may be held. Changes
    /// under the lock of `owned`.
    pub(crate) released: AtomicBool,
    /// Time at which a planned stop answers the calls that are still open.
    pub(crate) calls_end: watch::Sender<Option<tokio::time::Instant>>,
    /// Exchange of configurations with other processes.
    pub(crate) revisions: Arc<revisions::exchange::Exchange>,
    pub(crate) skipped_workers: Skipped,
    /// Memory for the jobs of all owned shards.
    pub(crate) memory: Pool,
    skipped_configurations: Skipped,
    config: RwLock<Option<Arc<Config>>>,
    submitters: Mutex<HashMap<u32, Arc<Submitter>>>,
    log_answered_ms: AtomicU64,
    log_down: AtomicBool,
    runtime: tokio::runtime::Handle,
}

/// Locks a value. If another holder panicked, the value stays usable.
pub(crate) fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Creates the process.
    #[must_use]
    pub fn new(
        settings: Settings,
        mut context: Context,
        runtime: tokio::runtime::Handle,
    ) -> Arc<Self> {
        context.store = Observer::new(context.store, context.metrics.clone());
        let hello = Hello {
            node: settings.node.clone(),
            role: Role::Entry,
            zone: settings.zone.clone(),
            incarnation: clock::incarnation(),
        };
        context.ready.clear("no configuration yet");
        let advice = Service::new(context.advisor.clone(), context.metrics.clone());
        let revisions = revisions::exchange::Exchange::new(context.metrics.clone());
        let memory = Pool::new(settings.limits().job_bytes);
        Arc::new(Self {
            settings,
            context,
            hello,
            claims: Mutex::default(),
            claims_changed: Notify::new(),
            claims_read: watch::Sender::new(0),
            homes: Mutex::default(),
            listing: tokio::sync::Mutex::default(),
            entered_ms: AtomicU64::new(0),
            log_lost: Notify::new(),
            permission: Arc::default(),
            owned: Mutex::default(),
            taking_over: Mutex::default(),
            links: Mutex::default(),
            peers: Mutex::default(),
            exchange: Arc::default(),
            relay: Relay::new(),
            known: Mutex::default(),
            leaving: AtomicBool::new(false),
            advice,
            stopping: AtomicBool::new(false),
            released: AtomicBool::new(false),
            calls_end: watch::Sender::new(None),
            revisions: Arc::new(revisions),
            skipped_workers: Skipped::new("workers"),
            memory,
            skipped_configurations: Skipped::new("configurations"),
            config: RwLock::new(None),
            submitters: Mutex::default(),
            log_answered_ms: AtomicU64::new(clock::now().0),
            log_down: AtomicBool::new(false),
            runtime,
        })
    }

    /// Starts the background tasks: configuration, claims and links. Must be called within a tokio
    /// runtime.
    pub fn start(self: &Arc<Self>, link_listener: tokio::net::TcpListener) {
        self.serve_links(link_listener);
        tokio::spawn(self.clone().watch_configuration());
        tokio::spawn(self.revisions.clone().run(self.clone()));
        tokio::spawn(self.clone().keep_claims());
        tokio::spawn(self.clone().follow_claims());
        tokio::spawn(self.clone().keep_permission());
        let node = self.clone();
        tokio::spawn(async move { node.relay.beat().await });
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a configuration into force, unless that version or a later one already is.
    pub(crate) fn configure(&self, config: Arc<Config>) {
        {
            let mut current = self.config.write().unwrap_or_else(PoisonError::into_inner);
            if current
                .as_ref()
                .is_some_and(|current| current.version >= config.version)
            {
                return;
            }
            *current = Some(config.clone());
        }
        events::CONFIGURED.log(format_args!(
            "version={} routes={} pools={}",
            config.version,
            config.routes.len(),
            config.pools.len()
        ));
        let owners: Vec<Arc<Owner>> = lock(&self.owned).values().cloned().collect();
        for owner in owners {
            owner.configure(&config);
        }
        // The first configuration determines which shards exist.
        self.claims_changed.notify_one();
        self.update_ready();
    }

    /// Records whether a call of the log was answered, and updates readiness.
    pub(crate) fn observe_log_response(self: &Arc<Self>, answered: bool) {
        let now_ms = clock::now().0;
        if answered {
            self.log_answered_ms.store(now_ms, Ordering::Relaxed);
            if self.log_down.swap(false, Ordering::Relaxed) {
                events::LOG_REACHABLE.log(format_args!("node={}", self.settings.node));
                self.claims_changed.notify_one();
            }
        } else {
            let silent_ms = now_ms.saturating_sub(self.log_answered_ms.load(Ordering::Relaxed));
            if silent_ms >= LOG_DOWN_MS && !self.log_down.swap(true, Ordering::Relaxed) {
                events::LOG_UNREACHABLE.log(format_args!(
                    "node={} silent_ms={silent_ms}",
                    self.settings.node
                ));
                self.log_lost.notify_one();
            }
        }
        self.update_ready();
    }

    /// Returns the time since the last answer of the log in milliseconds.
    pub(crate) fn log_response_age_ms(&self) -> u64 {
        let answered_ms = self.log_answered_ms.load(Ordering::Relaxed);
        clock::now().0.saturating_sub(answered_ms)
    }

    /// Returns whether the log counts as unreachable.
    pub(crate) fn log_is_down(&self) -> bool {
        self.log_down.load(Ordering::Relaxed)
    }

    pub(crate) fn update_ready(&self) {
        let ready = &self.context.ready;
        if self.stopping.load(Ordering::Relaxed) {
            ready.clear("stopping");
        } else if self.config().is_none() {
            ready.clear("no configuration yet");
        } else if self.log_is_down() {
            ready.clear("the log doesn't answer");
        } else {
            ready.set();
        }
    }

    /// Returns the `Retry-After` of a rejected call in seconds.
    #[must_use]
    pub fn retry_after_s(&self) -> u64 {
        let early = self.log_is_down() && self.log_response_age_ms() < OUTAGE_EARLY_MS;
        match early {
            true => RETRY_AFTER_EARLY_S,
            false => RETRY_AFTER_S,
        }
    }

    /// Returns the submitter that writes the jobs of a shard.
    pub(crate) fn submitter(&self, shard: u32) -> Arc<Submitter> {
        let mut submitters = lock(&self.submitters);
        let start = || {
            let _guard = self.runtime.enter();
            let producer = format!("{}-{}", self.settings.node, self.hello.incarnation);
            let store = self.context.store.clone();
            // A job is known for longer than that after its end, also if its submission was delayed.
            let abandon_ms = self.settings.keep_ms / 2;
            let queue_bytes = self.settings.limits().queue_bytes;
            Submitter::start(store, shard, producer.into(), abandon_ms, queue_bytes)
        };
        submitters.entry(shard).or_insert_with(start).clone()
    }

    /// Returns the owned shard if this process is its owner.
    pub(crate) fn owner(&self, shard: u32) -> Option<Arc<Owner>> {
        lock(&self.owned).get(&shard).cloned()
    }

    /// Applies changes of the configuration until the process ends.
    async fn watch_configuration(self: Arc<Self>) {
        /// Longest time for which a read waits at the log for a change, in milliseconds. A
        /// connection that fails silently is noticed within 2.5 s, which is this time plus the
        /// time-out of a call; a revision must be in force 2 s after its publication on VMs that
        /// had no such failure for 3 s.
        const WAIT_MS: u64 = 1_800;
        const RETRY_PAUSE: Duration = Duration::from_millis(150);
        let mut position = Position::default();
        let mut answered = true;
        loop {
            // A version that came from another process needs no read.
            if let Some(offset) = self.revisions.offset() {
                position.skip_to(offset);
            }
            // After a failure, only a call without a wait detects the return of the log soon.
            let wait_ms = match self.log_is_down() || !answered {
                true => 0,
                false => WAIT_MS,
            };
            let asked_ms = clock::uptime_ms();
            let read = position.next_read(wait_ms);
            let changes = self.context.store.configuration(read).await;
            answered = matches!(changes, Ok(_) | Err(crate::port::Fault::Expired { .. }));
            match changes {
                Ok(changes) => {
                    self.observe_log_response(true);
                    let newest = changes.items.iter().map(|config| config.version).max();
                    // Without a change the log has waited for the whole time.
                    let waited = match read {
                        Read::After { wait_ms, .. }
                            if newest.is_none() && clock::uptime_ms() >= asked_ms + wait_ms =>
                        {
                            wait_ms
                        }
                        _ => 0,
                    };
                    self.skipped_configurations
                        .log(&changes.skipped, clock::now().0);
                    let extent = Extent {
                        next: changes.next,
                        end: changes.end,
                        usable: changes.items.len(),
                        unusable: changes.skipped.len(),
                    };
                    for config in changes.items {
                        self.configure(config);
                    }
                    if position.ended(extent) == Step::Current {
                        let read_ms = asked_ms + waited;
                        self.revisions
                            .read_from_log(newest, read_ms, position.offset());
                    }
                    self.revisions.read_ended(Source::Configuration, true);
                }
                Err(crate::port::Fault::Expired { .. }) => position.expired(),
                Err(_) => {
                    position.failed();
                    self.observe_log_response(false);
                    self.revisions.read_ended(Source::Configuration, false);
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}
