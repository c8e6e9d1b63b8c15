//! What schedulers tell each other about ownership.

use std::sync::Arc;

use crate::shard::{Epoch, Id};

/// How a scheduler sees the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogView {
    /// Whether the log is regarded as unreachable now.
    pub unreachable: bool,
    /// Milliseconds since it was last regarded so, or since the start if that can't be told.
    pub unreachable_age_ms: u64,
}

/// A claim as its owner reports it in a heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Shard.
    pub shard: Id,
    /// Epoch that the claim created.
    pub epoch: Epoch,
    /// Whether the owner acts, can reach the log, has recorded every request that it granted
    /// without the log, and no doubt period is running.
    pub settled: bool,
}

/// A heartbeat: asks for support of claims.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Name of the sender.
    pub node: Arc<str>,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Number of the heartbeat, counted by the sender's incarnation from 1.
    pub sequence: u64,
    /// Claims for which the sender asks for support.
    pub claims: Vec<Claim>,
    /// Whether the sender is about to stop and takes no shards.
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
    /// Shards of the heartbeat's unsettled claims of which the supporter is clear. Only an owner
    /// that doesn't act yet needs to know, and its claims are unsettled.
    pub clear: Vec<Id>,
    /// How the supporter sees the log.
    pub log: LogView,
    /// Schedulers that the supporter has not heard of for so long that they may be down.
    pub suspects: Vec<Arc<str>>,
}
