//! Host of the routing kernel of one service shard.

mod actions;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use rosemaryworks_core::outcome::{Finish, NotRun, Unknown};
use rosemaryworks_core::routing::{Action, Event, Kernel, Key, Slot, SlotRequest, Start};
use rosemaryworks_core::target::{Instance, State};
use rosemaryworks_core::time::Instant;
use rosemaryworks_core::view;
use rosemaryworks_node::clock;
use rosemaryworks_platform::directory::Listing;
use rosemaryworks_wire::Verdict;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::listing;
use crate::lock::lock;
use crate::term::Term;
use crate::timer::{self, Timer};
use crate::writer::Writer;

/// Least time between two ticks in milliseconds. Bounds the work of one tick and lets due times
/// that are close together share a tick.
const TICK_MS: u64 = 20;

/// Least time between two ticks while no request waits for a slot, in milliseconds.
const TICK_IDLE_MS: u64 = 100;

/// Milliseconds after the caller's deadline at which a slot request without a decision is
/// abandoned.
const DECISION_SLACK_MS: u64 = 1_000;

/// Host of the routing kernel of one shard and epoch.
pub(crate) struct Service {
    pub(crate) term: Arc<Term>,
    context: Weak<Context>,
    state: Mutex<Inner>,
    pub(crate) writer: Writer,
    /// Whether a planned stop has begun, so that new slot requests are rejected.
    draining: AtomicBool,
    /// Time of the last log line on an uncertain intent, as an [`Instant`]; 0 if there was none.
    uncertain_logged_at: AtomicU64,
    /// Whether the last intent was kept in memory instead of the log.
    buffers_intents: AtomicBool,
}

struct Inner {
    kernel: Kernel,
    timer: Timer,
    waiting: HashMap<Key, oneshot::Sender<Verdict>>,
    /// Slot requests whose intents are being written.
    writing_intents: BTreeSet<Key>,
    instances: HashMap<Arc<str>, Instance>,
    listed: Vec<(Instance, State)>,
    /// Gateways that were surveyed or are being surveyed, with their incarnations.
    surveyed: BTreeSet<(Arc<str>, u64)>,
}

impl Service {
    /// Creates the kernel of a shard whose epoch starts now. Must be called within a tokio runtime.
    pub(crate) fn start(context: &Arc<Context>, term: Term, start: Start) -> Arc<Self> {
        let (writer, receiver) = Writer::new();
        let term = Arc::new(term);
        tokio::spawn(writer.clone().run(context.clone(), term.clone(), receiver));
        let service = Arc::new(Self {
            term,
            context: Arc::downgrade(context),
            state: Mutex::new(Inner {
                kernel: Kernel::new(clock::now(), start),
                timer: Timer::new(),
                waiting: HashMap::new(),
                writing_intents: BTreeSet::new(),
                instances: HashMap::new(),
                listed: Vec::new(),
                surveyed: BTreeSet::new(),
            }),
            writer,
            draining: AtomicBool::new(false),
            uncertain_logged_at: AtomicU64::new(0),
            buffers_intents: AtomicBool::new(false),
        });
        tokio::spawn(tick(service.clone()));
        service
    }

    /// Passes an event to the kernel and carries out its actions.
    pub(crate) fn handle(self: &Arc<Self>, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let actions = lock(&self.state).handle(event);
            for action in actions {
                self.execute(action, &mut events);
            }
        }
    }

    /// Decides on a slot request.
    pub(crate) async fn request_slot(self: Arc<Self>, request: SlotRequest) -> Verdict {
        if self.draining.load(Ordering::SeqCst) {
            return self.not_owner();
        }
        let key = request.key.clone();
        let idempotent = request.idempotent;
        let received = clock::now();
        let decision_timeout =
            Duration::from_millis(request.remaining_ms.saturating_add(DECISION_SLACK_MS));
        let (sender, receiver) = oneshot::channel();
        lock(&self.state).waiting.insert(key.clone(), sender);
        self.handle(Event::SlotRequest(request));
        if !self.term.is_valid() {
            // Support may have ended after `suspend` answered the requests that waited then.
            self.suspend();
        }
        match tokio::time::timeout(decision_timeout, receiver).await {
            Ok(Ok(verdict)) => self.confirm_grant(verdict, received),
            // A later request with the same key replaced this one.
            Ok(Err(_)) => self.not_owner(),
            Err(_) => {
                lock(&self.state).waiting.remove(&key);
                self.handle(Event::Withdrawn(key));
                match idempotent {
                    true => Verdict::NotRun(NotRun::Deadline),
                    false => Verdict::Unknown(Unknown::Deadline),
                }
            }
        }
    }

    /// Adds the waiting time to a grant if the term is still valid. Otherwise returns the slot
    /// unused, and `NotOwner` in place of a grant or a rejection.
    fn confirm_grant(self: &Arc<Self>, verdict: Verdict, received: Instant) -> Verdict {
        match (verdict, self.term.valid_at()) {
            (
                Verdict::Granted {
                    epoch,
                    slot,
                    instance,
                    ..
                },
                Some(valid_at),
            ) => {
                let waited_ms = valid_at.since(received);
                Verdict::Granted {
                    epoch,
                    slot,
                    instance,
                    waited_ms,
                }
            }
            (Verdict::Granted { slot, .. }, None) => {
                self.return_slot(slot);
                self.not_owner()
            }
            (Verdict::NotRun(_), None) => self.not_owner(),
            (verdict, _) => verdict,
        }
    }

    fn return_slot(self: &Arc<Self>, slot: Slot) {
        self.handle(Event::Finished {
            slot,
            finish: Finish::Unused,
            run_ms: 0,
        });
    }

    /// Answers a slot request, unless it was answered before. Returns whether the waiting call
    /// received the answer.
    fn reply(&self, key: &Key, verdict: Verdict) -> bool {
        let sender = lock(&self.state).waiting.remove(key);
        sender.is_some_and(|sender| sender.send(verdict).is_ok())
    }

    fn not_owner(&self) -> Verdict {
        let context = self.context.upgrade();
        let owner = context.and_then(|context| context.owner(&self.term.shard));
        let is_self = |owner: &Arc<str>| {
            self.context
                .upgrade()
                .is_some_and(|context| context.settings.node == *owner)
        };
        Verdict::NotOwner {
            owner: owner.filter(|owner| !is_self(owner)),
        }
    }

    /// Rejects new slot requests and those that only wait for a slot, so that their gateways retry
    /// at the next owner.
    ///
    /// A request whose intent is being written is still granted here: the next owner would have to
    /// answer that it may have been dispatched.
    pub(crate) fn drain(self: &Arc<Self>) {
        self.draining.store(true, Ordering::SeqCst);
        let queued: Vec<Key> = {
            let state = lock(&self.state);
            let keys = state.waiting.keys();
            keys.filter(|key| !state.writing_intents.contains(key))
                .cloned()
                .collect()
        };
        for key in queued {
            self.reply(&key, self.not_owner());
            self.handle(Event::Withdrawn(key));
        }
    }

    /// Returns whether no intent is being written.
    pub(crate) fn is_drained(&self) -> bool {
        lock(&self.state).writing_intents.is_empty()
    }

    /// Rejects every waiting slot request, because this process can't act as the owner at the
    /// moment.
    pub(crate) fn suspend(self: &Arc<Self>) {
        let waiting = std::mem::take(&mut lock(&self.state).waiting);
        for (key, sender) in waiting {
            let _ = sender.send(self.not_owner());
            self.handle(Event::Withdrawn(key));
        }
    }

    /// Stops the ticks, once the epoch has ended.
    pub(crate) fn end(&self) {
        lock(&self.state).timer.end();
    }

    /// Passes the list of instances to the kernel if it changed.
    pub(crate) fn update_instances(self: &Arc<Self>, context: &Context) {
        let Some(listing) = lock(&context.listing).clone() else {
            return;
        };
        let listed = instances(context, &self.term, &listing);
        {
            let mut state = lock(&self.state);
            if state.listed == listed {
                return;
            }
            state.listed.clone_from(&listed);
            let by_name = listed.iter().map(|(i, _)| (i.name.clone(), i.clone()));
            state.instances = by_name.collect();
        }
        self.handle(Event::Listed(listed));
    }

    pub(crate) fn targets(&self) -> Vec<view::Target> {
        lock(&self.state).kernel.targets()
    }

    /// Returns the number of slot requests without an answer.
    pub(crate) fn queue_length(&self) -> usize {
        lock(&self.state).waiting.len()
    }

    /// Marks a gateway's incarnation as surveyed. Returns whether it wasn't before.
    pub(crate) fn begin_survey(&self, gateway: &Arc<str>, incarnation: u64) -> bool {
        let mut state = lock(&self.state);
        state.surveyed.insert((gateway.clone(), incarnation))
    }

    /// Clears the mark of a survey that failed, so that it is repeated.
    pub(crate) fn survey_failed(&self, gateway: &Arc<str>, incarnation: u64) {
        let mut state = lock(&self.state);
        state.surveyed.remove(&(gateway.clone(), incarnation));
    }
}

impl Inner {
    fn handle(&mut self, event: Event) -> Vec<Action> {
        let now = clock::now();
        if matches!(event, Event::Tick) {
            self.timer.record_tick(now);
        }
        let actions = self.kernel.handle(now, event);
        if !self.timer.is_due_within(now, TICK_MS) {
            let due = self.kernel.next_due(now);
            let min_interval_ms = self.min_interval_ms();
            self.timer.bring_forward(due, min_interval_ms);
        }
        actions
    }

    /// Schedules the next tick and returns its time.
    fn schedule_tick(&mut self) -> Option<Instant> {
        let due = self.kernel.next_due(clock::now());
        let min_interval_ms = self.min_interval_ms();
        self.timer.schedule(due, min_interval_ms)
    }

    fn min_interval_ms(&self) -> u64 {
        match self.kernel.has_queued() {
            true => TICK_MS,
            false => TICK_IDLE_MS,
        }
    }
}

fn instances(context: &Context, term: &Term, listing: &Listing) -> Vec<(Instance, State)> {
    let register = lock(&context.register);
    let listed = listing.instances.iter();
    let own = listed.filter(|(instance, _)| {
        let shard = context
            .partition
            .shard_of_instance(&instance.service, &instance.name);
        shard.is_some_and(|shard| shard == term.shard)
    });
    own.map(|(instance, state)| {
        let state = listing::effective_state(&register, &instance.name, *state);
        (instance.clone(), state)
    })
    .collect()
}

async fn tick(service: Arc<Service>) {
    let rescheduled = lock(&service.state).timer.rescheduled();
    let schedule = || lock(&service.state).schedule_tick();
    let tick = || service.handle(Event::Tick);
    timer::run(&service.term, &rescheduled, schedule, tick).await;
}
