//! Numbered log events of the gateway. Events of single requests have the level `debug`; the metrics
//! count them.

use log::Level;
use rosemaryworks_node::event::Event;

/// The gateway is ready for requests.
pub const READY: Event = Event::new(501, Level::Info, "ready");
/// The log can't be reached at the start.
pub const LOG_UNREACHABLE_AT_START: Event = Event::new(502, Level::Warn, "log is down at start");
/// Contracts were taken from a scheduler because the log can't be reached.
pub const CONTRACTS_RESTORED: Event =
    Event::new(503, Level::Info, "contracts taken from scheduler");
/// A link to a scheduler is open.
pub(crate) const LINK_OPENED: Event = Event::new(504, Level::Info, "link opened");
/// A link to a scheduler is closed.
pub(crate) const LINK_CLOSED: Event = Event::new(505, Level::Warn, "link closed");
/// A shard has a new owner.
pub(crate) const OWNER_CHANGED: Event = Event::new(506, Level::Info, "owner changed");
/// A new owner asked for the outstanding grants of a shard.
pub(crate) const SURVEYED: Event = Event::new(507, Level::Info, "surveyed");
/// A grant arrived too late to be used.
pub(crate) const GRANT_UNUSED: Event = Event::new(508, Level::Debug, "grant not used");
/// A verdict did not arrive.
pub(crate) const VERDICT_LOST: Event = Event::new(509, Level::Debug, "verdict lost");
/// An instance did not give a whole answer.
pub(crate) const INSTANCE_FAILED: Event = Event::new(510, Level::Debug, "instance failed");
/// A request ended after its caller's deadline.
pub(crate) const ANSWERED_LATE: Event = Event::new(511, Level::Debug, "answered late");
/// A link carried a message that the gateway doesn't take.
pub(crate) const UNEXPECTED_MESSAGE: Event = Event::new(512, Level::Warn, "unexpected message");
/// The gateway refuses new requests and waits for those in flight.
pub const DRAINING: Event = Event::new(513, Level::Info, "draining");
/// The gateway can't be started.
pub const START_FAILED: Event = Event::new(514, Level::Error, "start failed");
/// The gateway stops although requests past their deadlines, or reports to owners, are left.
pub const STOPPED_EARLY: Event = Event::new(515, Level::Warn, "stopped before all requests ended");
