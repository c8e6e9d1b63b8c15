//! Heartbeats and answers that schedulers exchange about ownership.

use std::sync::Arc;

use crate::shard::{Epoch, Id};

/// Reachability of the log as one scheduler observes it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogView {
    /// Whether the log counts as unreachable now.
    pub unreachable: bool,
    /// Milliseconds since the log last counted as unreachable, or since the start if it never did.
    pub unreachable_age_ms: u64,
}

/// A claim in the owner's heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Shard.
    pub shard: Id,
    /// Epoch that the claim created.
    pub epoch: Epoch,
    /// Whether the shard is settled: the owner is active, can reach the log, has recorded every
    /// request that it granted without the log, and has no reason to assume that earlier
    /// dispatches are unrecorded.
    pub settled: bool,
}

/// A heartbeat, which requests support for claims.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Name of the sender.
    pub node: Arc<str>,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Number of the heartbeat, counted by the sender's incarnation from 1.
    pub sequence: u64,
    /// Claims for which the sender requests support.
    pub claims: Vec<Claim>,
    /// Whether the sender is about to stop and claims no more shards.
    pub stopping: bool,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Support {
    /// Name of the supporter.
    pub node: Arc<str>,
    /// Incarnation of the supporter.
    pub incarnation: u64,
    /// Claims supported.
    pub claims: Vec<(Id, Epoch)>,
    /// Shards among the heartbeat's unsettled claims that the supporter is clear of: it can't have
    /// agreed to grants that are still unrecorded. Only an owner that is not active yet needs this,
    /// and its claims are unsettled.
    pub clear: Vec<Id>,
    /// Reachability of the log as the supporter observes it.
    pub log: LogView,
    /// Schedulers that the supporter suspects to be down.
    pub suspects: Vec<Arc<str>>,
}
