//! Numbered log events of the stand-in.

use log::Level;
use rosemaryworks_node::event::Event;

/// The stand-in is listening on all ports.
pub const SERVING: Event = Event::new(701, Level::Info, "stand-in started");
/// A failure was injected or cleared over the control port.
pub const FAULT: Event = Event::new(702, Level::Info, "fault injected");
/// A request to inject a failure was rejected.
pub const FAULT_REFUSED: Event = Event::new(703, Level::Warn, "fault injection rejected");
