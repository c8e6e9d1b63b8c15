//! Numbered log events of the gateway. Events of single requests are logged at level `debug`; the
//! metrics count them.

use log::Level;
use rosemaryworks_node::event::Event;

/// The gateway is ready for requests.
pub const READY: Event = Event::new(501, Level::Info, "ready");
/// The log is unreachable at the start.
pub const LOG_UNREACHABLE_AT_START: Event =
    Event::new(502, Level::Warn, "log is unreachable at start");
/// Contracts were restored from a scheduler because the log is unreachable.
pub const CONTRACTS_RESTORED: Event =
    Event::new(503, Level::Info, "contracts restored from scheduler");
/// A link to a scheduler is open.
pub(crate) const LINK_OPENED: Event = Event::new(504, Level::Info, "link opened");
/// A link to a scheduler is closed.
pub(crate) const LINK_CLOSED: Event = Event::new(505, Level::Warn, "link closed");
/// A shard has a new owner.
pub(crate) const OWNER_CHANGED: Event = Event::new(506, Level::Info, "owner changed");
/// The gateway answered a new owner's survey of the outstanding grants of a shard.
pub(crate) const SURVEYED: Event = Event::new(507, Level::Info, "survey of new owner answered");
/// A grant arrived too late to be used.
pub(crate) const GRANT_UNUSED: Event =
    Event::new(508, Level::Debug, "expired grant returned unused");
/// No verdict on a slot request arrived.
pub(crate) const VERDICT_LOST: Event = Event::new(509, Level::Debug, "no verdict received");
/// An instance sent no complete response.
pub(crate) const INSTANCE_FAILED: Event =
    Event::new(510, Level::Debug, "no complete response from instance");
/// A request ended after its caller stopped waiting.
pub(crate) const ANSWERED_LATE: Event = Event::new(
    511,
    Level::Debug,
    "request ended after its caller stopped waiting",
);
/// A peer sent a message that the gateway doesn't handle.
pub(crate) const UNEXPECTED_MESSAGE: Event = Event::new(512, Level::Warn, "unexpected message");
/// The gateway rejects new requests and waits for those in flight. Follows the time in which
/// [`Gateway::drain`](crate::Gateway::drain) closes connections.
pub const DRAINING: Event = Event::new(513, Level::Info, "draining");
/// The gateway failed to start.
pub const START_FAILED: Event = Event::new(514, Level::Error, "start failed");
/// The gateway stops with requests past their deadlines, or unacknowledged reports to owners.
pub const STOPPED_EARLY: Event = Event::new(
    515,
    Level::Warn,
    "stopped with requests or reports unfinished",
);
