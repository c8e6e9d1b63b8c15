//! Events that the ownership kernel takes and steps that it returns.

use super::message::{Heartbeat, LogView, Support};
use crate::shard::{Epoch, Id};
use crate::time::Instant;

/// Whether earlier owners may have dispatched requests that they couldn't record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unrecorded {
    /// Every dispatch is recorded.
    None,
    /// Dispatches of the last two minutes may be unrecorded.
    Possible,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Everything that the log held when the last read began was applied.
    CaughtUp,
    /// A claim could not be appended.
    ClaimFailed(Id),
    /// A peer gave up these claims.
    Released(Vec<(Id, Epoch)>),
    /// Records before the next one have expired unread.
    RecordsExpired,
    /// The process is about to stop.
    Stop,
    /// A peer answered the heartbeat sent at `sent`.
    Supported {
        /// When the heartbeat was sent.
        sent: Instant,
        /// Number of the heartbeat.
        sequence: u64,
        /// The answer.
        support: Support,
    },
    /// Time passed.
    Tick(LogView),
}

/// What the host does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Acts as the owner from now on.
    Activate {
        /// Shard.
        shard: Id,
        /// Epoch.
        epoch: Epoch,
        /// Whether the shard had no earlier owner.
        clean: bool,
        /// Whether earlier dispatches may be unrecorded.
        unrecorded: Unrecorded,
        /// Whether this epoch was active before and only lacked support for a while.
        resumed: bool,
    },
    /// Sends a heartbeat to every other scheduler.
    Heartbeat(Heartbeat),
    /// Appends a claim to the cell stream.
    Claim {
        /// Shard.
        shard: Id,
        /// Epoch that the claim replaces.
        previous: Epoch,
    },
    /// Stops acting as the owner at once.
    Deactivate {
        /// Shard.
        shard: Id,
        /// Epoch.
        epoch: Epoch,
        /// Whether the epoch has ended; otherwise support may come back.
        ended: bool,
    },
    /// Appends the release of the shard to the cell stream.
    Release {
        /// Shard.
        shard: Id,
        /// Epoch.
        epoch: Epoch,
        /// Milliseconds for which the next owner has to doubt.
        doubt_ms: u64,
    },
    /// Appends the claim again before it expires from the log.
    Republish {
        /// Shard.
        shard: Id,
        /// Epoch.
        epoch: Epoch,
    },
}
