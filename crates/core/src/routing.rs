//! Routing kernel: grants slots of one service shard's instances to requests.
//!
//! One [`Kernel`] exists per owned service shard and epoch. Its host feeds it events and carries out
//! the steps it returns.
//!
//! A slot is charged for every request that may run at an instance: grants that a gateway will
//! report on, grants whose report is missing, and requests of which only the number is known. The
//! kernel relies on its host and the gateways for this:
//!
//! - Contracts and the list of instances are fed before the first ask.
//! - A `Surveyed` is fed before the `OutstandingFinished` of any grant that it lists.
//! - A gateway lists a grant that it lost (`Finish::Lost`) until its deadline has passed. Where an
//!   instance can't tell its occupancy, surveys answered by all gateways are the only account of
//!   earlier requests.
//! - Every `WriteIntent` is followed by one `IntentWritten` or `IntentFailed`, even if the ask was withdrawn.

mod admission;
mod bucket;
mod demand;
mod dispatch;
mod due;
mod fleet;
mod instance;
mod learned;
mod memory;
mod release;
mod slots;
mod takeover;
mod tenant;
mod tenants;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::contract::Contract;
use crate::outcome::{Finish, NotRun, Request, Unknown};
use crate::partition::Map;
use crate::shard::Id;
use crate::size::Size;
use crate::target::{Instance, State};
use crate::time::Instant;
use crate::timing::DEADLINE_MAX_MS;
use crate::view;

use self::fleet::Fleet;
use self::memory::Memory;
use self::slots::Slots;
use self::tenants::Tenants;

/// Identity of an ask: the gateway and the gateway's own number for it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Name of the gateway.
    pub gateway: Arc<str>,
    /// Number of the ask, unique within the gateway's incarnation.
    pub number: u64,
}

/// A gateway asks for a slot for one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotRequest {
    /// Identity of the ask.
    pub key: Key,
    /// Identity of the request.
    pub request: Request,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Number of this attempt as the caller counts them, if it does; 1 is the first use of the id.
    pub attempt: Option<u32>,
    /// Milliseconds left until the caller's deadline when the gateway sent the ask.
    pub remaining_ms: u64,
    /// Instances that failed this request before.
    pub exclude: Vec<Arc<str>>,
}

/// Number of a granted slot, unique within the shard's epoch.
pub type Slot = u64;

/// A grant that a gateway still holds, as it reports to a new owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outstanding {
    /// Identity of the ask.
    pub key: Key,
    /// Identity of the request.
    pub request: Request,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Name of the instance.
    pub instance: Arc<str>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A gateway asks for a slot.
    SlotRequest(SlotRequest),
    /// A contract came into force, or a new revision of it.
    Contract(Arc<Contract>),
    /// A gateway's link is gone. Its slots stay taken until the instance reports them free.
    GatewayLost(Arc<str>),
    /// A gateway reports how a granted request ended.
    Finished {
        /// Slot of the grant.
        slot: Slot,
        /// How it ended.
        finish: Finish,
        /// Milliseconds from dispatch to the end of the answer.
        run_ms: u64,
    },
    /// The list of the shard's instances changed.
    Listed(Vec<(Instance, State)>),
    /// The log could not take the intent and no byte of it was stored.
    IntentFailed(Key),
    /// The intent was written and read back, or the log is away and the host holds majority
    /// support.
    IntentWritten(Key),
    /// An instance told how many requests it is serving.
    Occupancy {
        /// Name of the instance.
        instance: Arc<str>,
        /// Requests being served; `None` if the instance can't tell or can't be reached.
        busy: Option<u32>,
    },
    /// A gateway that held a grant of an earlier epoch reports how it ended.
    OutstandingFinished {
        /// Identity of the ask.
        key: Key,
        /// How it ended.
        finish: Finish,
    },
    /// A gateway answered the survey of a new owner.
    Surveyed {
        /// Name of the gateway.
        gateway: Arc<str>,
        /// Grants of earlier epochs that it still holds.
        outstanding: Vec<Outstanding>,
    },
    /// Time passed.
    Tick,
    /// The gateway no longer needs the slot it asked for.
    Withdrawn(Key),
}

/// What the host does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Answers the ask with a slot.
    Grant {
        /// Identity of the ask.
        key: Key,
        /// Slot granted.
        slot: Slot,
        /// Instance to send the request to.
        instance: Instance,
    },
    /// Writes an intent for a non-idempotent request, then reports `IntentWritten` or `IntentFailed`.
    WriteIntent {
        /// Identity of the ask.
        key: Key,
        /// Identity of the request.
        request: Request,
    },
    /// Asks an instance how many requests it is serving, then reports `Occupancy` once, within 5 s.
    Probe(Arc<str>),
    /// Answers the ask: not run.
    Refuse {
        /// Identity of the ask.
        key: Key,
        /// Why.
        reason: NotRun,
    },
    /// Answers the ask: unknown.
    ReportUnknown {
        /// Identity of the ask.
        key: Key,
        /// Why.
        reason: Unknown,
    },
}

/// What a kernel knows at the start of an epoch.
#[derive(Clone, Debug)]
pub struct Start {
    /// Shard.
    pub shard: Id,
    /// Partition of the cell, by which limits are split.
    pub partition: Arc<Map>,
    /// Gateways of the cell; each is surveyed.
    pub gateways: Vec<Arc<str>>,
    /// Non-idempotent requests that earlier owners recorded, with the age of each in milliseconds.
    pub remembered: Vec<(Request, u64)>,
    /// Whether earlier owners may have dispatched requests that they couldn't record.
    pub unrecorded: bool,
    /// Whether nothing of an earlier epoch can be outstanding, as for a shard's first epoch.
    ///
    /// Otherwise the host starts the kernel once no gateway begins to use a grant of an earlier
    /// epoch any more.
    pub clean: bool,
}

/// Where an ask stands.
#[derive(Clone, Debug)]
enum Place {
    /// Withdrawn while its intent was being written.
    Abandoned(Request),
    /// Holds a granted slot.
    Granted(Slot),
    /// Holds a reserved slot while its intent is being written.
    Intending(Slot),
    /// Waits in the queue of a contract.
    Queued { tenant: usize, seq: u64 },
}

/// The routing kernel of one shard and epoch.
#[derive(Debug)]
pub struct Kernel {
    start: Start,
    started: Instant,
    now: Instant,
    fleet: Fleet,
    memory: Memory,
    outstanding: BTreeMap<Key, Slot>,
    places: BTreeMap<Key, Place>,
    slots: Slots,
    tenants: Tenants,
    /// Gateways that have not answered the survey.
    unsurveyed: BTreeSet<Arc<str>>,
    /// Whether a request may be running that no gateway reports to the survey any more.
    unreported: bool,
    /// Whether the list of instances arrived.
    listed: bool,
    /// Whether an event since the last `Tick` may change how contracts are classified.
    stirred: bool,
}

impl Kernel {
    /// Creates the kernel of a shard whose epoch starts at `now`.
    #[must_use]
    pub fn new(now: Instant, mut start: Start) -> Self {
        let remembered = std::mem::take(&mut start.remembered);
        let (inherited_until, unsurveyed) = match start.clean {
            true => (Instant(0), BTreeSet::new()),
            false => (
                now + DEADLINE_MAX_MS,
                start.gateways.iter().cloned().collect(),
            ),
        };
        Self {
            started: now,
            now,
            fleet: Fleet::new(inherited_until),
            memory: Memory::new(now, &remembered),
            outstanding: BTreeMap::new(),
            places: BTreeMap::new(),
            slots: Slots::default(),
            tenants: Tenants::default(),
            unsurveyed,
            unreported: false,
            listed: false,
            stirred: false,
            start,
        }
    }

    /// Takes an event and returns what to do next.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        self.stirred = !matches!(event, Event::Tick);
        let mut steps = Vec::new();
        match event {
            Event::SlotRequest(ask) => self.ask(ask, &mut steps),
            Event::Contract(contract) => self.revise(&contract),
            Event::GatewayLost(gateway) => self.gateway_lost(&gateway),
            Event::Finished {
                slot,
                finish,
                run_ms,
            } => self.finished(slot, finish, run_ms),
            Event::Listed(list) => self.list(list),
            Event::IntentFailed(key) => self.intent_failed(&key, &mut steps),
            Event::IntentWritten(key) => self.intended(&key, &mut steps),
            Event::Occupancy { instance, busy } => self.occupied(&instance, busy),
            Event::OutstandingFinished { key, finish } => self.outstanding_finished(&key, finish),
            Event::Surveyed {
                gateway,
                outstanding,
            } => self.surveyed(&gateway, outstanding),
            Event::Tick => self.tick(),
            Event::Withdrawn(key) => self.withdraw(&key),
        }
        self.dispatch(&mut steps);
        self.probe(&mut steps);
        steps
    }

    /// Returns the shard's targets for operators.
    #[must_use]
    pub fn targets(&self) -> Vec<view::Target> {
        let mut targets: Vec<_> = self
            .fleet
            .iter()
            .map(|(name, instance)| self.target(name, instance))
            .collect();
        targets.sort_by(|a, b| a.name.cmp(&b.name));
        targets
    }

    fn target(&self, name: &Arc<str>, instance: &instance::Instance) -> view::Target {
        let condition = match instance {
            instance if instance.out => Some("unreachable"),
            instance if !instance.counted => Some("occupancy-unknown"),
            instance if !instance.listed => Some("unlisted"),
            _ => None,
        };
        view::Target {
            name: name.clone(),
            shard: self.start.shard.clone(),
            state: instance.state,
            size: Size::ZERO,
            held: Size::ZERO,
            slots: instance.slots(),
            taken: instance.taken(),
            condition: condition.map(Into::into),
        }
    }

    fn list(&mut self, list: Vec<(Instance, State)>) {
        self.listed = true;
        self.fleet.list(self.now, list);
    }

    fn tick(&mut self) {
        self.memory.expire(self.now);
        self.tenants.classify(self.now);
        self.doubt_overdue();
        self.expire_unknown();
        self.confirm_outstanding();
    }

    fn probe(&mut self, steps: &mut Vec<Action>) {
        steps.extend(self.fleet.probes(self.now).into_iter().map(Action::Probe));
    }
}
