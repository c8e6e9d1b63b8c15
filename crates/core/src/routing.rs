//! Routing: admission control, weighted fair queueing and dispatch of requests to service
//! instances.
//!
//! One [`Kernel`] exists per owned service shard and epoch. Gateways request a slot for each
//! request; the kernel grants slots of the shard's instances. Its host passes events to it and
//! carries out the actions that it returns.
//!
//! Every request that may be running at an instance occupies a slot: grants that a gateway will
//! report on, grants whose report is missing, and requests of which only the number is known. The
//! kernel requires the following of its host and of the gateways:
//!
//! - Contracts and the list of instances are passed before the first slot request.
//! - A `Surveyed` event precedes the `OutstandingFinished` event of any grant that it lists.
//! - A gateway lists a grant that it lost (`Finish::Lost`) until its deadline has passed. If an
//!   instance doesn't report its occupancy, surveys answered by all gateways are the only
//!   information about requests of earlier epochs.
//! - Every `WriteIntent` is followed by exactly one `IntentWritten` or `IntentFailed`, even if the
//!   slot request was withdrawn.

mod admission;
mod bucket;
mod demand;
mod dispatch;
mod due;
mod fleet;
mod instance;
mod release;
mod request_ids;
mod run_times;
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
use self::request_ids::RequestIds;
use self::slots::Slots;
use self::tenants::Tenants;

/// Identity of a slot request.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Name of the gateway.
    pub gateway: Arc<str>,
    /// Number of the slot request, unique within the gateway's incarnation.
    pub number: u64,
}

/// A gateway's request for a slot, in which to dispatch one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotRequest {
    /// Identity of the slot request.
    pub key: Key,
    /// Identity of the request.
    pub request: Request,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Number of this attempt, if the caller counts them; 1 is the first use of the request id.
    pub attempt: Option<u32>,
    /// Milliseconds until the caller's deadline at the time the gateway sent the slot request.
    pub remaining_ms: u64,
    /// Instances at which this request failed before.
    pub exclude: Vec<Arc<str>>,
}

/// Number of a taken slot, unique within the shard's epoch.
pub type Slot = u64;

/// A grant of an earlier epoch that a gateway still holds, as it reports to a new owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outstanding {
    /// Identity of the slot request.
    pub key: Key,
    /// Identity of the request.
    pub request: Request,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Name of the instance.
    pub instance: Arc<str>,
}

/// An input to the kernel.
#[derive(Clone, Debug)]
pub enum Event {
    /// A gateway requests a slot.
    SlotRequest(SlotRequest),
    /// A contract or a new revision of it came into force.
    Contract(Arc<Contract>),
    /// The connection to a gateway was lost. Its slots stay taken until the instances report them
    /// free.
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
    /// The intent could not be written, and no part of it was stored.
    IntentFailed(Key),
    /// The intent was written and read back, or the log is unreachable and a majority allowed the
    /// grant without it.
    IntentWritten(Key),
    /// An instance was probed for the number of requests that it is serving.
    Occupancy {
        /// Name of the instance.
        instance: Arc<str>,
        /// Requests being served; `None` if the instance doesn't report it or is unreachable.
        busy: Option<u32>,
    },
    /// A gateway reports how a request granted in an earlier epoch ended.
    OutstandingFinished {
        /// Identity of the slot request.
        key: Key,
        /// How it ended.
        finish: Finish,
    },
    /// A gateway answered the new owner's survey of outstanding grants.
    Surveyed {
        /// Name of the gateway.
        gateway: Arc<str>,
        /// Grants of earlier epochs that it still holds.
        outstanding: Vec<Outstanding>,
    },
    /// Periodic timer.
    Tick,
    /// The gateway no longer needs the slot that it requested.
    Withdrawn(Key),
}

/// An action for the host to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Grants the slot request.
    Grant {
        /// Identity of the slot request.
        key: Key,
        /// Slot granted.
        slot: Slot,
        /// Instance to send the request to.
        instance: Instance,
    },
    /// Writes an intent record for a non-idempotent request, then reports `IntentWritten` or
    /// `IntentFailed`.
    WriteIntent {
        /// Identity of the slot request.
        key: Key,
        /// Identity of the request.
        request: Request,
    },
    /// Probes an instance for the number of requests that it is serving, then reports `Occupancy`
    /// once, within 5 s.
    Probe(Arc<str>),
    /// Rejects the slot request: the request was not run.
    Refuse {
        /// Identity of the slot request.
        key: Key,
        /// Reason.
        reason: NotRun,
    },
    /// Rejects the slot request: whether an earlier attempt was run is unknown.
    ReportUnknown {
        /// Identity of the slot request.
        key: Key,
        /// Reason.
        reason: Unknown,
    },
}

/// Initial state of a kernel at the start of an epoch.
#[derive(Clone, Debug)]
pub struct Start {
    /// Shard.
    pub shard: Id,
    /// Partitioning of the cell, by which limits are split.
    pub partition: Arc<Map>,
    /// Gateways of the cell, which are surveyed for outstanding grants.
    pub gateways: Vec<Arc<str>>,
    /// Non-idempotent requests that earlier owners recorded, with the age of each in milliseconds.
    pub remembered: Vec<(Request, u64)>,
    /// Whether earlier owners may have dispatched requests without recording them.
    pub unrecorded: bool,
    /// Whether no grant of an earlier epoch can be outstanding, as in a shard's first epoch.
    ///
    /// Otherwise the host starts the kernel only after unused grants of earlier epochs have
    /// expired.
    pub clean: bool,
}

/// State of a slot request.
#[derive(Clone, Debug)]
enum Stage {
    /// Withdrawn while its intent was being written.
    Abandoned(Request),
    /// Holds a granted slot.
    Granted(Slot),
    /// Holds a reserved slot while its intent is being written.
    WritingIntent(Slot),
    /// Waits in the queue of its contract.
    Queued { tenant: usize, seq: u64 },
}

/// The routing kernel of one shard and epoch.
#[derive(Debug)]
pub struct Kernel {
    start: Start,
    started: Instant,
    now: Instant,
    fleet: Fleet,
    request_ids: RequestIds,
    /// Slots of grants of earlier epochs that gateways reported in the survey.
    outstanding: BTreeMap<Key, Slot>,
    stages: BTreeMap<Key, Stage>,
    slots: Slots,
    tenants: Tenants,
    /// Gateways that have not answered the survey.
    unsurveyed: BTreeSet<Arc<str>>,
    /// Whether a request may be running that no gateway will report in the survey.
    unreported: bool,
    /// Whether the list of instances was received.
    listed: bool,
    /// Whether contracts must be reclassified because of an event since the last `Tick`.
    needs_classification: bool,
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
            request_ids: RequestIds::new(now, &remembered),
            outstanding: BTreeMap::new(),
            stages: BTreeMap::new(),
            slots: Slots::default(),
            tenants: Tenants::default(),
            unsurveyed,
            unreported: false,
            listed: false,
            needs_classification: false,
            start,
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        self.needs_classification = !matches!(event, Event::Tick);
        let mut actions = Vec::new();
        match event {
            Event::SlotRequest(slot_request) => self.request_slot(slot_request, &mut actions),
            Event::Contract(contract) => self.update_contract(&contract),
            Event::GatewayLost(gateway) => self.gateway_lost(&gateway),
            Event::Finished {
                slot,
                finish,
                run_ms,
            } => self.finished(slot, finish, run_ms),
            Event::Listed(list) => self.update_instances(list),
            Event::IntentFailed(key) => self.intent_failed(&key, &mut actions),
            Event::IntentWritten(key) => self.intent_written(&key, &mut actions),
            Event::Occupancy { instance, busy } => self.update_occupancy(&instance, busy),
            Event::OutstandingFinished { key, finish } => self.outstanding_finished(&key, finish),
            Event::Surveyed {
                gateway,
                outstanding,
            } => self.surveyed(&gateway, outstanding),
            Event::Tick => self.tick(),
            Event::Withdrawn(key) => self.withdraw(&key),
        }
        self.dispatch(&mut actions);
        self.send_probes(&mut actions);
        actions
    }

    /// Returns the shard's instances as reported to operators.
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
            instance if instance.unreachable => Some("unreachable"),
            instance if !instance.occupancy_checked => Some("occupancy-unknown"),
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

    fn update_instances(&mut self, list: Vec<(Instance, State)>) {
        self.listed = true;
        self.fleet.update(self.now, list);
    }

    fn tick(&mut self) {
        self.request_ids.expire(self.now);
        self.tenants.classify(self.now);
        self.resolve_overdue();
        self.expire_unknown();
        self.confirm_outstanding();
    }

    fn send_probes(&mut self, actions: &mut Vec<Action>) {
        actions.extend(
            self.fleet
                .due_probes(self.now)
                .into_iter()
                .map(Action::Probe),
        );
    }
}
