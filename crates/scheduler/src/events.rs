//! Numbered log events of the scheduler, 401 to 499.

use log::Level::{Debug, Error, Info, Warn};
use rosemaryworks_node::event::Event;

/// A shard is owned and served from now on.
pub const ACTIVATED: Event = Event::new(401, Info, "shard activated");
/// A shard is no longer served by this process.
pub const DEACTIVATED: Event = Event::new(402, Info, "shard deactivated");
/// A claim is appended.
pub const CLAIMING: Event = Event::new(403, Info, "claiming shard");
/// A claim could not be appended.
pub const CLAIM_FAILED: Event = Event::new(404, Warn, "claim not appended");
/// A claim was read from the log.
pub const CLAIMED: Event = Event::new(405, Info, "shard claimed");
/// The owner of a shard gave it up.
pub const RELEASED: Event = Event::new(406, Info, "shard released");
/// A release could not be appended.
pub const RELEASE_FAILED: Event = Event::new(407, Warn, "release not appended");
/// Support of a majority was lost; the shard is not served until it comes back.
pub const SUSPENDED: Event = Event::new(408, Warn, "shard suspended");
/// The process started.
pub const STARTED: Event = Event::new(410, Info, "scheduler started");
/// The log and the contracts are known; the process is ready.
pub const READY: Event = Event::new(411, Info, "ready");
/// The log can't be read.
pub const LOG_FAILED: Event = Event::new(412, Warn, "log read failed");
/// The log can be read again.
pub const LOG_RECOVERED: Event = Event::new(413, Info, "log read again");
/// A record of the log can't be understood.
pub const RECORD_MALFORMED: Event = Event::new(414, Error, "record not understood");
/// Records expired before they were read.
pub const RECORDS_EXPIRED: Event = Event::new(415, Warn, "records expired unread");
/// The log is down at the start and the state was taken from a peer.
pub const SNAPSHOT_TAKEN: Event = Event::new(416, Info, "state taken from peer");
/// A contract came into force.
pub const CONTRACT_APPLIED: Event = Event::new(417, Info, "contract in force");
/// The list of VMs can't be read.
pub const LIST_FAILED: Event = Event::new(418, Warn, "list of VMs not read");
/// The list of VMs can be read again.
pub const LIST_RECOVERED: Event = Event::new(419, Info, "list of VMs read again");
/// A link is open.
pub const LINK_OPENED: Event = Event::new(420, Info, "link opened");
/// A link is closed.
pub const LINK_CLOSED: Event = Event::new(421, Info, "link closed");
/// A gateway is gone; its slots are held until the instances report them free.
pub const GATEWAY_LOST: Event = Event::new(422, Warn, "gateway lost");
/// A gateway reported its outstanding grants.
pub const SURVEYED: Event = Event::new(423, Info, "gateway surveyed");
/// Requests are dispatched without a record of them in the log.
pub const INTENTS_BUFFERED: Event =
    Event::new(424, Warn, "intents kept in memory while the log is away");
/// An intent may or may not be in the log.
pub const INTENT_UNCERTAIN: Event = Event::new(425, Warn, "intent uncertain");
/// A record of this owner has no effect because the shard has a newer epoch.
pub const RECORD_VOID: Event = Event::new(426, Warn, "record void");
/// A record could not be written and is written again.
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
/// The planned stop gave up waiting.
pub const STOP_INCOMPLETE: Event = Event::new(442, Warn, "stopped without release");
/// The status server has ended.
pub const STATUS_FAILED: Event = Event::new(443, Error, "status server failed");
