//! Numbered log events of the scheduler, 401 to 499.

use log::Level::{Debug, Error, Info, Warn};
use rosemaryworks_node::event::Event;

/// This process started to serve a shard that it owns.
pub const ACTIVATED: Event = Event::new(401, Info, "shard activated");
/// This process stopped serving a shard because its epoch ended.
pub const DEACTIVATED: Event = Event::new(402, Info, "shard deactivated");
/// The process is about to append a claim.
pub const CLAIMING: Event = Event::new(403, Info, "claiming shard");
/// A claim could not be appended.
pub const CLAIM_FAILED: Event = Event::new(404, Warn, "claim not appended");
/// A claim was read from the log.
pub const CLAIMED: Event = Event::new(405, Info, "shard claimed");
/// The owner of a shard released it.
pub const RELEASED: Event = Event::new(406, Info, "shard released");
/// A release could not be appended.
pub const RELEASE_FAILED: Event = Event::new(407, Warn, "release not appended");
/// The owner lost the support of a majority and suspends the shard until it is restored.
pub const SUSPENDED: Event = Event::new(408, Warn, "shard suspended");
/// The process started.
pub const STARTED: Event = Event::new(410, Info, "scheduler started");
/// The cell stream and the contracts are loaded; the process is ready.
pub const READY: Event = Event::new(411, Info, "ready");
/// Reads of the log started to fail.
pub const LOG_FAILED: Event = Event::new(412, Warn, "log read failed");
/// Reads of the log succeed again.
pub const LOG_RECOVERED: Event = Event::new(413, Info, "log reads recovered");
/// A record of the log is malformed.
pub const RECORD_MALFORMED: Event = Event::new(414, Error, "malformed record");
/// Records expired before they were read.
pub const RECORDS_EXPIRED: Event = Event::new(415, Warn, "records expired unread");
/// The log is unreachable at start-up; the state was restored from a peer's snapshot.
pub const SNAPSHOT_TAKEN: Event = Event::new(416, Info, "state restored from peer");
/// A contract revision came into force.
pub const CONTRACT_APPLIED: Event = Event::new(417, Info, "contract in force");
/// Reads of the list of VMs started to fail.
pub const LIST_FAILED: Event = Event::new(418, Warn, "list of VMs not read");
/// Reads of the list of VMs succeed again.
pub const LIST_RECOVERED: Event = Event::new(419, Info, "list of VMs recovered");
/// A link was opened.
pub const LINK_OPENED: Event = Event::new(420, Info, "link opened");
/// A link was closed.
pub const LINK_CLOSED: Event = Event::new(421, Info, "link closed");
/// A gateway is gone; its slots stay occupied until the instances report them free.
pub const GATEWAY_LOST: Event = Event::new(422, Warn, "gateway lost");
/// A gateway reported its outstanding grants.
pub const SURVEYED: Event = Event::new(423, Info, "gateway surveyed");
/// Requests are dispatched before their intents are in the log.
pub const INTENTS_BUFFERED: Event = Event::new(
    424,
    Warn,
    "intents kept in memory while the log is unreachable",
);
/// An intent may or may not be in the log.
pub const INTENT_UNCERTAIN: Event = Event::new(425, Warn, "intent uncertain");
/// A record of this owner has no effect because the shard has a newer epoch.
pub const RECORD_VOID: Event = Event::new(426, Warn, "record void");
/// A record could not be written; the write is retried.
pub const WRITE_RETRIED: Event = Event::new(427, Warn, "record not written yet");
/// A call to a worker failed.
pub const WORKER_FAILED: Event = Event::new(428, Debug, "worker call failed");
/// A worker has seen a newer epoch of the shard.
pub const WORKER_FENCED: Event = Event::new(429, Warn, "worker fenced");
/// A job was accepted.
pub const JOB_ACCEPTED: Event = Event::new(430, Debug, "job accepted");
/// A job ended.
pub const JOB_ENDED: Event = Event::new(431, Debug, "job ended");
/// The process begins its planned stop.
pub const STOPPING: Event = Event::new(440, Info, "planned stop");
/// The planned stop is complete.
pub const STOPPED: Event = Event::new(441, Info, "stopped");
/// The planned stop timed out before all shards were released.
pub const STOP_INCOMPLETE: Event = Event::new(442, Warn, "stopped without release");
/// The status server has ended.
pub const STATUS_FAILED: Event = Event::new(443, Error, "status server failed");
