//! Input events and output actions of the ownership kernel.

use super::message::{Heartbeat, LogView, Support};
use crate::shard::{Epoch, Id};
use crate::time::Instant;

/// Whether earlier owners may have dispatched requests without recording them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unrecorded {
    /// Every dispatch is recorded.
    None,
    /// Dispatches of the last two minutes may be unrecorded.
    Possible,
}

/// An input to the kernel.
#[derive(Clone, Debug)]
pub enum Event {
    /// Every record that was in the log when the last read began has been applied.
    CaughtUp,
    /// A claim could not be appended.
    ClaimFailed(Id),
    /// A peer released these claims.
    Released(Vec<(Id, Epoch)>),
    /// Records expired from the log before they were read.
    RecordsExpired,
    /// The process is about to stop.
    Stop,
    /// A peer answered the heartbeat sent at `sent`.
    Supported {
        /// Time at which the heartbeat was sent.
        sent: Instant,
        /// Number of the heartbeat.
        sequence: u64,
        /// The answer.
        support: Support,
    },
    /// Periodic timer, with the current reachability of the log.
    Tick(LogView),
}

/// An action for the host to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Starts to act as the owner.
    Activate {
        /// Shard.
        shard: Id,
        /// Epoch.
        epoch: Epoch,
        /// Whether the shard had no earlier owner.
        clean: bool,
        /// Whether earlier dispatches may be unrecorded.
        unrecorded: Unrecorded,
        /// Whether this epoch was active before and regained its support.
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
        /// Whether the epoch has ended; otherwise it may become active again.
        ended: bool,
    },
    /// Appends the release of the shard to the cell stream.
    Release {
        /// Shard.
        shard: Id,
        /// Epoch.
        epoch: Epoch,
        /// Milliseconds for which the next owner must assume unrecorded dispatches.
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
