//! Routing kernel: grants slots of one service shard's instances to requests.
//!
//! One [`Kernel`] exists per owned service shard and epoch. Its host feeds it events and carries out
//! the steps it returns.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::contract::Contract;
use crate::outcome::{Finish, NotRun, Request, Unknown};
use crate::partition::Map;
use crate::shard::Id;
use crate::target::{Instance, State};
use crate::time::Instant;
use crate::view;

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
pub struct Ask {
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
    Ask(Ask),
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
    Intended(Key),
    /// An instance told how many requests it is serving.
    Occupied {
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
pub enum Step {
    /// Answers the ask with a slot.
    Grant {
        /// Identity of the ask.
        key: Key,
        /// Slot granted.
        slot: Slot,
        /// Instance to send the request to.
        instance: Instance,
    },
    /// Writes an intent for a non-idempotent request, then reports `Intended` or `IntentFailed`.
    Intend {
        /// Identity of the ask.
        key: Key,
        /// Identity of the request.
        request: Request,
    },
    /// Asks an instance how many requests it is serving, then reports `Occupied`.
    Probe(Arc<str>),
    /// Answers the ask: not run.
    Refuse {
        /// Identity of the ask.
        key: Key,
        /// Why.
        reason: NotRun,
    },
    /// Answers the ask: unknown.
    Unsure {
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
    pub doubt: bool,
    /// Whether nothing of an earlier epoch can be outstanding, as for a shard's first epoch.
    pub clean: bool,
}

/// The routing kernel of one shard and epoch.
#[derive(Debug)]
pub struct Kernel {
    _start: Start,
}

impl Kernel {
    /// Creates the kernel of a shard whose epoch starts at `now`.
    #[must_use]
    pub fn new(_now: Instant, start: Start) -> Self {
        Self { _start: start }
    }

    /// Takes an event and returns what to do next.
    pub fn handle(&mut self, _now: Instant, _event: Event) -> Vec<Step> {
        Vec::new()
    }

    /// Returns the shard's targets for operators.
    #[must_use]
    pub fn targets(&self) -> Vec<view::Target> {
        Vec::new()
    }
}
